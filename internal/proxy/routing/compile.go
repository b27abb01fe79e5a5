package routing

import (
	"fmt"
	"slices"
)

// Limits of a file. They bound the size of the index, which has a bit for each pair of rule and value.
const (
	maxRules = 10_000
	maxPools = 1_000
)

// The names of the arrays of tables in a file.
const (
	poolArray = "pool"
	ruleArray = "rule"
)

// Compile compiles a file into a Table. The error is nil or of type Problems, and contains all problems with
// the file. The warnings are about rules that can never match.
//
// The wording and order of the problems are fixed: a group replicates them when it checks a change of its
// rules, so instances of all versions must return the same texts in the same order.
func Compile(f *File, names KnownNames) (*Table, Problems, error) {
	c := &compiler{file: f, names: names, table: &Table{pools: map[string]*pool{}}}
	if len(f.Rules) > maxRules || len(f.Pools) > maxPools {
		c.addProblem(element{array: ruleArray, label: "the file"}, "",
			"there are %d rules and %d pools; %d and %d are allowed", len(f.Rules), len(f.Pools), maxRules,
			maxPools)
		return nil, nil, c.problems
	}
	for i := range f.Pools {
		c.compilePool(i)
	}
	seen := map[string]int{}
	for i := range f.Rules {
		name := f.Rules[i].Name
		if first, ok := seen[name]; ok && name != "" {
			c.addProblem(c.ruleElement(i), "name", "rule %d has this name, too", first+1)
		}
		seen[name] = i
		c.compileRule(i)
	}
	if len(c.problems) > 0 {
		return nil, nil, c.problems
	}
	c.table.buildIndex(names)
	return c.table, shadowedRules(c.table.rules), nil
}

type compiler struct {
	file     *File
	names    KnownNames
	table    *Table
	problems Problems
}

// element is an element of one of the file's arrays, with the label that identifies it in problems.
type element struct {
	array string
	index int
	label string
}

func (c *compiler) ruleElement(n int) element {
	return element{ruleArray, n, fmt.Sprintf("rule %d (%s)", n+1, c.file.Rules[n].Name)}
}

// addProblem adds a problem with a key of an element, or with the element itself if key is empty.
func (c *compiler) addProblem(elem element, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.file.position(elem.array, elem.index, key), elem.label,
		fmt.Sprintf(format, args...)})
}

func (c *compiler) compilePool(n int) {
	spec := &c.file.Pools[n]
	elem := element{poolArray, n, fmt.Sprintf("pool %q", spec.Name)}
	if spec.Name == "" {
		c.addProblem(elem, "name", "it has no name")
	}
	if c.table.pools[spec.Name] != nil {
		c.addProblem(elem, "name", "there are two of this name")
	}
	c.table.pools[spec.Name] = &pool{name: spec.Name, cells: spec.Cells, labels: spec.Labels,
		zones: c.compileSet(elem, "zone", spec.Zones, c.names.Zones),
		kinds: c.compileSet(elem, "kind", spec.Kinds, c.names.Kinds)}
}

// compileSet returns, for each known name, whether it is in the set. It returns nil if the set is not given.
func (c *compiler) compileSet(elem element, key string, set, known []string) []bool {
	if len(set) == 0 {
		return nil
	}
	numbers, unknown := resolveNames(set, known)
	for _, name := range unknown {
		c.addProblem(elem, key, "there is no %s %q, so no worker can ever be in it", key, name)
	}
	in := make([]bool, len(known))
	for _, i := range numbers {
		in[i] = true
	}
	return in
}

// compileRoute returns a route through the named pools, in order of preference and without duplicates.
func (c *compiler) compileRoute(elem element, pools []string, spillover Spillover) *Route {
	r := &Route{spillover: spillover}
	for _, name := range pools {
		p := c.table.pools[name]
		switch {
		case p == nil:
			c.addProblem(elem, "prefer", "there is no pool %q", name)
		case !slices.Contains(r.pools, p):
			r.pools = append(r.pools, p)
		}
	}
	return r
}
