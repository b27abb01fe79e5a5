package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds on a file: the index has a bit for each rule and value.
const (
	maxRules = 10_000
	maxPools = 1_000
)

// Compile makes a Table. Everything that is wrong comes back at once, as Problems; the
// warnings are of rules that can do nothing.
func Compile(f *File, names KnownNames) (*Table, Problems, error) {
	c := &compiler{file: f, names: names, table: &Table{pools: map[string]*pool{}}}
	if len(f.Rules) > maxRules || len(f.Pools) > maxPools {
		c.addProblem(
			"rule",
			0,
			"",
			"the file",
			"there are %d rules and %d pools; %d and %d are allowed",
			len(f.Rules),
			len(f.Pools),
			maxRules,
			maxPools,
		)
		return nil, nil, c.problems
	}
	for i := range f.Pools {
		c.compilePool(i)
	}
	seen := map[string]int{}
	for i := range f.Rules {
		name := f.Rules[i].Name
		if first, ok := seen[name]; ok && name != "" {
			c.addProblem(
				"rule",
				i,
				"name",
				fmt.Sprintf("rule %d (%s)", i+1, name),
				"rule %d has this name, too",
				first+1,
			)
		}
		seen[name] = i
		c.compileRule(i)
	}
	if len(c.problems) > 0 {
		return nil, nil, c.problems
	}
	c.table.buildIndex(names)
	return c.table, c.shadowedRules(), nil
}

type compiler struct {
	file     *File
	names    KnownNames
	table    *Table
	problems Problems
}

func (c *compiler) addProblem(array string, n int, key, who, format string, args ...any) {
	c.problems = append(
		c.problems,
		Problem{c.file.position(array, n, key), who, fmt.Sprintf(format, args...)},
	)
}

func (c *compiler) compilePool(n int) {
	s := &c.file.Pools[n]
	who := fmt.Sprintf("pool %q", s.Name)
	if s.Name == "" {
		c.addProblem("pool", n, "name", who, "it has no name")
	}
	if c.table.pools[s.Name] != nil {
		c.addProblem("pool", n, "name", who, "there are two of this name")
	}
	p := &pool{name: s.Name, cells: s.Cells, labels: s.Labels}
	set := func(key string, given, known []string) []bool {
		if len(given) == 0 {
			return nil
		}
		numbers, unknown := resolveNames(given, known)
		for _, name := range unknown {
			c.addProblem("pool", n, key, who, "there is no %s %q, so no worker can ever be in it", key, name)
		}
		in := make([]bool, len(known))
		for _, i := range numbers {
			in[i] = true
		}
		return in
	}
	p.zones, p.kinds = set("zone", s.Zones, c.names.Zones), set("kind", s.Kinds, c.names.Kinds)
	c.table.pools[s.Name] = p
}

// compileRoute makes an order of pools.
func (c *compiler) compileRoute(n int, who string, names []string, spill string) *Route {
	r := &Route{spillover: spill}
	for _, name := range names {
		p := c.table.pools[name]
		switch {
		case p == nil:
			c.addProblem("rule", n, "prefer", who, "there is no pool %q", name)
		case !slices.Contains(r.pools, p):
			r.pools = append(r.pools, p)
		}
	}
	return r
}

func (c *compiler) compileRule(n int) {
	s := &c.file.Rules[n]
	who := fmt.Sprintf("rule %d (%s)", n+1, s.Name)
	r := &Rule{Number: n + 1, Name: s.Name, Position: c.file.position("rule", n, ""), spec: s, class: -1,
		minCost: time.Duration(s.Match.MinCost), costBelow: time.Duration(s.Match.CostBelow)}
	c.table.rules = append(c.table.rules, r)
	for _, word := range []struct{ key, text string }{{"name", s.Name}, {"refuse", s.RejectReason}} {
		// They go into headers of answers.
		if len(word.text) > 200 ||
			strings.ContainsFunc(word.text, func(r rune) bool { return r < ' ' || r > '~' }) {
			c.addProblem("rule", n, word.key, who, "%.40q is not plain text of up to 200 bytes", word.text)
		}
	}
	if s.Name == "" {
		c.addProblem("rule", n, "", who, "it has no name")
	}
	for _, l := range []struct {
		key          string
		given, known []string
	}{{"class", s.Match.Classes, c.names.Classes}, {"tenant", s.Match.Tenants, c.names.Tenants},
		{"front", s.Match.Frontends, []string{"http", "faktory"}}} {
		_, unknown := resolveNames(l.given, l.known)
		for _, name := range unknown {
			if name != "" || l.key == "front" {
				c.addProblem("rule", n, "match", who, "there is no %s %q", l.key, name)
			}
		}
	}
	for _, h := range s.Match.Hosts {
		if h == "" || strings.Contains(strings.TrimPrefix(h, "*."), "*") || strings.HasPrefix(h, ".") {
			c.addProblem("rule", n, "match", who, "host: %q is neither a host nor \"*.\" before a domain", h)
		}
	}
	for _, p := range s.Match.PathPrefixes {
		if !strings.HasPrefix(p, "/") {
			c.addProblem("rule", n, "match", who, "path_prefix: %q does not begin with /", p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Match.Headers)) {
		if name == "" || s.Match.Headers[name] == "" {
			c.addProblem("rule", n, "match", who, "header: %q wants no value; \"*\" is any", name)
		}
		r.headers = append(r.headers, [2]string{name, s.Match.Headers[name]})
	}
	if r.costBelow > 0 && r.costBelow <= r.minCost {
		c.addProblem("rule", n, "match", who, "no cost is from %v and below %v", r.minCost, r.costBelow)
	}
	if s.Class != "" {
		if i := slices.Index(c.names.Classes, s.Class); i >= 0 {
			r.class = i
		} else if c.names.Classes != nil {
			c.addProblem("rule", n, "class", who, "there is no class %q", s.Class)
		}
	}
	if s.MaxAttempts < 0 || s.MaxAttempts > 100 {
		c.addProblem("rule", n, "attempts", who, "%d is not from 1 to 100", s.MaxAttempts)
	}
	c.compileAction(n, who, s, r)
}

// compileAction reads where a rule sends jobs.
func (c *compiler) compileAction(n int, who string, s *RuleSpec, r *Rule) {
	if s.RejectReason != "" {
		if len(s.PreferredPools)+len(s.Split) > 0 || s.MaxAttempts > 0 || s.AttemptTimeout > 0 {
			c.addProblem(
				"rule",
				n,
				"refuse",
				who,
				"a rule that refuses sends nowhere, and has no attempts or time-out",
			)
		}
		if time.Duration(s.RetryAfter) > time.Hour {
			c.addProblem("rule", n, "retry_after", who, "%v is over an hour", time.Duration(s.RetryAfter))
		}
		return
	}
	if s.RetryAfter > 0 {
		c.addProblem("rule", n, "retry_after", who, "it goes with refuse")
	}
	switch s.Spillover {
	case "":
		s.Spillover = "empty"
	case "never", "empty", "busy":
	default:
		c.addProblem("rule", n, "spill", who, "%q is not never, empty or busy", s.Spillover)
	}
	if len(s.PreferredPools) > 0 {
		r.preferred = c.compileRoute(n, who, s.PreferredPools, s.Spillover)
	}
	switch s.SplitBy {
	case "", "key", "tenant", "id":
	default:
		c.addProblem("rule", n, "split_by", who, "%q is not key, tenant or id", s.SplitBy)
	}
	for _, part := range s.Split {
		if part.Weight < 0 || part.Weight > 1_000_000 {
			c.addProblem(
				"rule",
				n,
				"split",
				who,
				"the weight %d of %s is not from 0 to 1000000",
				part.Weight,
				part.Pool,
			)
			continue
		}
		r.totalWeight += part.Weight
		r.split = append(
			r.split,
			c.compileRoute(n, who, append([]string{part.Pool}, s.PreferredPools...), s.Spillover),
		)
	}
	if len(s.Split) > 0 && r.totalWeight == 0 {
		c.addProblem("rule", n, "split", who, "the weights add up to zero, so no part gets anything")
	}
}

// buildIndex makes the table's index.
func (t *Table) buildIndex(names KnownNames) {
	t.wordCount = (len(t.rules) + 63) / 64
	t.all = make([]uint64, t.wordCount)
	for i := range t.rules {
		t.all[i/64] |= 1 << (i % 64)
	}
	numbers := func(known []string) func(string) int {
		return func(name string) int { return slices.Index(known, name) } // "" is -1: names none
	}
	same := func(s string) string { return s }
	buildDimension(t, &t.classes, func(m *MatchSpec) []string { return m.Classes }, numbers(names.Classes))
	buildDimension(t, &t.tenants, func(m *MatchSpec) []string { return m.Tenants }, numbers(names.Tenants))
	buildDimension(t, &t.frontends, func(m *MatchSpec) []string { return m.Frontends }, same)
	buildDimension(t, &t.queues, func(m *MatchSpec) []string { return m.Queues }, same)
	buildDimension(t, &t.jobTypes, func(m *MatchSpec) []string { return m.JobTypes }, same)
	buildDimension(t, &t.hosts, func(m *MatchSpec) []string { return m.Hosts }, func(h string) string {
		return strings.TrimPrefix(h, "*")
	})
	buildDimension(t, &t.pathPrefixes, func(m *MatchSpec) []string { return m.PathPrefixes }, same)
	for p := range t.pathPrefixes.named {
		if !slices.Contains(t.pathPrefixLengths, len(p)) {
			t.pathPrefixLengths = append(t.pathPrefixLengths, len(p))
		}
	}
	slices.Sort(t.pathPrefixLengths)
}

func buildDimension[K comparable](
	t *Table,
	d *dimension[K],
	values func(*MatchSpec) []string,
	key func(string) K,
) {
	d.any, d.named = make([]uint64, t.wordCount), map[K][]uint64{}
	for i, r := range t.rules {
		if len(values(&r.spec.Match)) == 0 {
			d.any[i/64] |= 1 << (i % 64)
		}
	}
	for i, r := range t.rules {
		for _, v := range values(&r.spec.Match) {
			d.used = true
			k := key(v)
			if d.named[k] == nil {
				d.named[k] = slices.Clone(d.any)
			}
			d.named[k][i/64] |= 1 << (i % 64)
		}
	}
}

// shadowedRules finds the rules that can never match because one rule before them takes all
// that they match.
func (c *compiler) shadowedRules() Problems {
	var warnings Problems
	for j, later := range c.table.rules {
		for _, earlier := range c.table.rules[:j] {
			if covers(earlier, later) {
				warnings = append(
					warnings,
					Problem{later.Position, fmt.Sprintf("rule %d (%s)", later.Number, later.Name),
						fmt.Sprintf("can never match: rule %d (%s) takes all", earlier.Number, earlier.Name)},
				)
				break
			}
		}
	}
	return warnings
}

// covers says whether every job that b matches is matched by a.
func covers(a, b *Rule) bool {
	x, y := &a.spec.Match, &b.spec.Match
	within := func(outer, inner []string, fits func(outer, inner string) bool) bool {
		if len(outer) == 0 {
			return true
		}
		return len(inner) > 0 && !slices.ContainsFunc(inner, func(in string) bool {
			return !slices.ContainsFunc(outer, func(out string) bool { return fits(out, in) })
		})
	}
	equal := func(out, in string) bool { return out == in }
	for name, v := range x.Headers {
		if w, ok := y.Headers[name]; !ok || v != "*" && v != w {
			return false
		}
	}
	return within(x.Classes, y.Classes, equal) && within(x.Tenants, y.Tenants, equal) &&
		within(
			x.Frontends,
			y.Frontends,
			equal,
		) && within(x.Queues, y.Queues, equal) && within(x.JobTypes, y.JobTypes, equal) &&
		within(x.Hosts, y.Hosts, func(out, in string) bool {
			return out == in || strings.HasPrefix(out, "*") && strings.HasSuffix(in, out[1:])
		}) &&
		within(
			x.PathPrefixes,
			y.PathPrefixes,
			func(out, in string) bool { return strings.HasPrefix(in, out) },
		) &&
		strings.HasPrefix(y.RouteKeyPrefix, x.RouteKeyPrefix) && x.MinCost <= y.MinCost &&
		(x.CostBelow == 0 || y.CostBelow > 0 && y.CostBelow <= x.CostBelow)
}
