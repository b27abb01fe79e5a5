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
func Compile(f *File, names Names) (*Table, Problems, error) {
	c := &compiler{f: f, names: names, t: &Table{pools: map[string]*pool{}}}
	if len(f.Rules) > maxRules || len(f.Pools) > maxPools {
		c.bad(
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
		c.pool(i)
	}
	seen := map[string]int{}
	for i := range f.Rules {
		name := f.Rules[i].Name
		if first, ok := seen[name]; ok && name != "" {
			c.bad(
				"rule",
				i,
				"name",
				fmt.Sprintf("rule %d (%s)", i+1, name),
				"rule %d has this name, too",
				first+1,
			)
		}
		seen[name] = i
		c.rule(i)
	}
	if len(c.problems) > 0 {
		return nil, nil, c.problems
	}
	c.t.index(names)
	return c.t, c.shadows(), nil
}

type compiler struct {
	f        *File
	names    Names
	t        *Table
	problems Problems
}

func (c *compiler) bad(array string, n int, key, who, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.f.place(array, n, key), who, fmt.Sprintf(format, args...)})
}

func (c *compiler) pool(n int) {
	s := &c.f.Pools[n]
	who := fmt.Sprintf("pool %q", s.Name)
	if s.Name == "" {
		c.bad("pool", n, "name", who, "it has no name")
	}
	if c.t.pools[s.Name] != nil {
		c.bad("pool", n, "name", who, "there are two of this name")
	}
	p := &pool{name: s.Name, cells: s.Cells, labels: s.Labels}
	set := func(key string, given, known []string) []bool {
		if len(given) == 0 {
			return nil
		}
		numbers, unknown := find(given, known)
		for _, name := range unknown {
			c.bad("pool", n, key, who, "there is no %s %q, so no worker can ever be in it", key, name)
		}
		in := make([]bool, len(known))
		for _, i := range numbers {
			in[i] = true
		}
		return in
	}
	p.zones, p.kinds = set("zone", s.Zones, c.names.Zones), set("kind", s.Kinds, c.names.Kinds)
	c.t.pools[s.Name] = p
}

// route makes an order of pools.
func (c *compiler) route(n int, who string, names []string, spill string) *Route {
	r := &Route{spill: spill}
	for _, name := range names {
		p := c.t.pools[name]
		switch {
		case p == nil:
			c.bad("rule", n, "prefer", who, "there is no pool %q", name)
		case !slices.Contains(r.pools, p):
			r.pools = append(r.pools, p)
		}
	}
	return r
}

func (c *compiler) rule(n int) {
	s := &c.f.Rules[n]
	who := fmt.Sprintf("rule %d (%s)", n+1, s.Name)
	r := &Rule{Number: n + 1, Name: s.Name, Place: c.f.place("rule", n, ""), spec: s, class: -1,
		costFrom: time.Duration(s.Match.CostFrom), below: time.Duration(s.Match.CostBelow)}
	c.t.rules = append(c.t.rules, r)
	for _, word := range []struct{ key, text string }{{"name", s.Name}, {"refuse", s.Refuse}} {
		// They go into headers of answers.
		if len(word.text) > 200 ||
			strings.ContainsFunc(word.text, func(r rune) bool { return r < ' ' || r > '~' }) {
			c.bad("rule", n, word.key, who, "%.40q is not plain text of up to 200 bytes", word.text)
		}
	}
	if s.Name == "" {
		c.bad("rule", n, "", who, "it has no name")
	}
	for _, l := range []struct {
		key          string
		given, known []string
	}{{"class", s.Match.Classes, c.names.Classes}, {"tenant", s.Match.Tenants, c.names.Tenants},
		{"front", s.Match.Fronts, []string{"http", "faktory"}}} {
		_, unknown := find(l.given, l.known)
		for _, name := range unknown {
			if name != "" || l.key == "front" {
				c.bad("rule", n, "match", who, "there is no %s %q", l.key, name)
			}
		}
	}
	for _, h := range s.Match.Hosts {
		if h == "" || strings.Contains(strings.TrimPrefix(h, "*."), "*") || strings.HasPrefix(h, ".") {
			c.bad("rule", n, "match", who, "host: %q is neither a host nor \"*.\" before a domain", h)
		}
	}
	for _, p := range s.Match.Paths {
		if !strings.HasPrefix(p, "/") {
			c.bad("rule", n, "match", who, "path_prefix: %q does not begin with /", p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Match.Headers)) {
		if name == "" || s.Match.Headers[name] == "" {
			c.bad("rule", n, "match", who, "header: %q wants no value; \"*\" is any", name)
		}
		r.headers = append(r.headers, [2]string{name, s.Match.Headers[name]})
	}
	if r.below > 0 && r.below <= r.costFrom {
		c.bad("rule", n, "match", who, "no cost is from %v and below %v", r.costFrom, r.below)
	}
	if s.Class != "" {
		if i := slices.Index(c.names.Classes, s.Class); i >= 0 {
			r.class = i
		} else if c.names.Classes != nil {
			c.bad("rule", n, "class", who, "there is no class %q", s.Class)
		}
	}
	if s.Attempts < 0 || s.Attempts > 100 {
		c.bad("rule", n, "attempts", who, "%d is not from 1 to 100", s.Attempts)
	}
	c.way(n, who, s, r)
}

// way reads where a rule sends jobs.
func (c *compiler) way(n int, who string, s *RuleSpec, r *Rule) {
	if s.Refuse != "" {
		if len(s.Prefer)+len(s.Split) > 0 || s.Attempts > 0 || s.Timeout > 0 {
			c.bad(
				"rule",
				n,
				"refuse",
				who,
				"a rule that refuses sends nowhere, and has no attempts or time-out",
			)
		}
		if time.Duration(s.RetryAfter) > time.Hour {
			c.bad("rule", n, "retry_after", who, "%v is over an hour", time.Duration(s.RetryAfter))
		}
		return
	}
	if s.RetryAfter > 0 {
		c.bad("rule", n, "retry_after", who, "it goes with refuse")
	}
	switch s.Spill {
	case "":
		s.Spill = "empty"
	case "never", "empty", "busy":
	default:
		c.bad("rule", n, "spill", who, "%q is not never, empty or busy", s.Spill)
	}
	if len(s.Prefer) > 0 {
		r.prefer = c.route(n, who, s.Prefer, s.Spill)
	}
	switch s.SplitBy {
	case "", "key", "tenant", "id":
	default:
		c.bad("rule", n, "split_by", who, "%q is not key, tenant or id", s.SplitBy)
	}
	for _, part := range s.Split {
		if part.Weight < 0 || part.Weight > 1_000_000 {
			c.bad(
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
		r.weights += part.Weight
		r.split = append(r.split, c.route(n, who, append([]string{part.Pool}, s.Prefer...), s.Spill))
	}
	if len(s.Split) > 0 && r.weights == 0 {
		c.bad("rule", n, "split", who, "the weights add up to zero, so no part gets anything")
	}
}

// index makes the table's index.
func (t *Table) index(names Names) {
	t.words = (len(t.rules) + 63) / 64
	t.all = make([]uint64, t.words)
	for i := range t.rules {
		t.all[i/64] |= 1 << (i % 64)
	}
	numbers := func(known []string) func(string) int {
		return func(name string) int { return slices.Index(known, name) } // "" is -1: names none
	}
	same := func(s string) string { return s }
	build(t, &t.classes, func(m *MatchSpec) []string { return m.Classes }, numbers(names.Classes))
	build(t, &t.tenants, func(m *MatchSpec) []string { return m.Tenants }, numbers(names.Tenants))
	build(t, &t.fronts, func(m *MatchSpec) []string { return m.Fronts }, same)
	build(t, &t.queues, func(m *MatchSpec) []string { return m.Queues }, same)
	build(t, &t.types, func(m *MatchSpec) []string { return m.Types }, same)
	build(t, &t.hosts, func(m *MatchSpec) []string { return m.Hosts }, func(h string) string {
		return strings.TrimPrefix(h, "*")
	})
	build(t, &t.paths, func(m *MatchSpec) []string { return m.Paths }, same)
	for p := range t.paths.named {
		if !slices.Contains(t.lengths, len(p)) {
			t.lengths = append(t.lengths, len(p))
		}
	}
	slices.Sort(t.lengths)
}

func build[K comparable](t *Table, d *dimension[K], values func(*MatchSpec) []string, key func(string) K) {
	d.any, d.named = make([]uint64, t.words), map[K][]uint64{}
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

// shadows finds the rules that can never match because one rule before them takes all
// that they match.
func (c *compiler) shadows() Problems {
	var warnings Problems
	for j, later := range c.t.rules {
		for _, earlier := range c.t.rules[:j] {
			if covers(earlier, later) {
				warnings = append(
					warnings,
					Problem{later.Place, fmt.Sprintf("rule %d (%s)", later.Number, later.Name),
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
			x.Fronts,
			y.Fronts,
			equal,
		) && within(x.Queues, y.Queues, equal) && within(x.Types, y.Types, equal) &&
		within(x.Hosts, y.Hosts, func(out, in string) bool {
			return out == in || strings.HasPrefix(out, "*") && strings.HasSuffix(in, out[1:])
		}) &&
		within(x.Paths, y.Paths, func(out, in string) bool { return strings.HasPrefix(in, out) }) &&
		strings.HasPrefix(y.KeyPrefix, x.KeyPrefix) && x.CostFrom <= y.CostFrom &&
		(x.CostBelow == 0 || y.CostBelow > 0 && y.CostBelow <= x.CostBelow)
}
