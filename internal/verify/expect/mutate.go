package expect

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"moorstack/internal/proxy/routing"
)

// Mutant is the rules with one of them broken, and whether some expectation fails for it.
type Mutant struct {
	What   string `json:"what"`
	Rule   string `json:"rule"`
	Killed string `json:"killed,omitempty"` // by which expectation, or by the rules being refused
}

// Mutate breaks each rule in turn, in memory, and says which breakings no expectation
// notices.
func (s *Suite) Mutate() []Mutant {
	if s.rules == nil {
		return nil
	}
	var list []Mutant
	for n := range s.rules.Rules {
		for _, m := range s.mutations(n) {
			list = append(list, s.try(m.what, s.rules.Rules[n].Name, m.change))
		}
	}
	return list
}

type mutation struct {
	what   string
	change func(*routing.File)
}

func (s *Suite) mutations(n int) []mutation {
	was := s.rules.Rules[n]
	list := []mutation{
		{"dropped", func(f *routing.File) { f.Rules = slices.Delete(f.Rules, n, n+1) }},
		{"matches nothing", func(f *routing.File) { f.Rules[n].Match.KeyPrefix = "\x00" }},
	}
	if n+1 < len(s.rules.Rules) && overlap(&was, &s.rules.Rules[n+1]) {
		list = append(list, mutation{"after the next one", func(f *routing.File) {
			f.Rules[n], f.Rules[n+1] = f.Rules[n+1], f.Rules[n]
		}})
	}
	if len(was.Match.Classes) > 0 {
		list = append(list, mutation{"for the other classes", func(f *routing.File) {
			f.Rules[n].Match.Classes = others(was.Match.Classes, append(slices.Clone(s.names.Classes), ""))
		}})
	}
	if len(was.Match.Tenants) > 0 {
		list = append(list, mutation{"for the other tenants", func(f *routing.File) {
			f.Rules[n].Match.Tenants = others(was.Match.Tenants, append(slices.Clone(s.names.Tenants), ""))
		}})
	}
	if len(was.Match.Hosts) > 0 {
		list = append(list, mutation{"for any host", func(f *routing.File) { f.Rules[n].Match.Hosts = nil }})
	}
	if len(was.Match.Paths) > 0 {
		list = append(list, mutation{"for any path", func(f *routing.File) { f.Rules[n].Match.Paths = nil }})
	}
	if len(was.Match.Headers) > 0 {
		list = append(
			list,
			mutation{"for any header", func(f *routing.File) { f.Rules[n].Match.Headers = nil }},
		)
	}
	if len(was.Match.Queues) > 0 {
		list = append(
			list,
			mutation{"for any queue", func(f *routing.File) { f.Rules[n].Match.Queues = nil }},
		)
	}
	if was.Match.CostBelow > 0 {
		list = append(
			list,
			mutation{"for any cost", func(f *routing.File) { f.Rules[n].Match.CostBelow = 0 }},
		)
	}
	return append(list, s.terms(n, was)...)
}

// terms are the mutations of what a rule says, not of what it matches.
func (s *Suite) terms(n int, was routing.RuleSpec) []mutation {
	var list []mutation
	for i := range was.Prefer {
		if len(was.Prefer) > 1 {
			list = append(list, mutation{"without the pool " + was.Prefer[i], func(f *routing.File) {
				f.Rules[n].Prefer = slices.Delete(slices.Clone(was.Prefer), i, i+1)
			}})
		}
	}
	if len(was.Prefer) == 1 && len(was.Split) == 0 {
		list = append(list, mutation{"to any worker", func(f *routing.File) { f.Rules[n].Prefer = nil }})
	}
	if len(was.Prefer) > 1 {
		list = append(list, mutation{"with its pools the other way round", func(f *routing.File) {
			f.Rules[n].Prefer = slices.Clone(was.Prefer)
			slices.Reverse(f.Rules[n].Prefer)
		}})
	}
	if len(was.Split) > 1 {
		list = append(list, mutation{"with its parts exchanged", func(f *routing.File) {
			f.Rules[n].Split = slices.Clone(was.Split)
			a, b := &f.Rules[n].Split[0], &f.Rules[n].Split[1]
			a.Pool, b.Pool = b.Pool, a.Pool
		}})
	}
	if was.Attempts > 0 {
		list = append(
			list,
			mutation{"with any number of attempts", func(f *routing.File) { f.Rules[n].Attempts = 0 }},
		)
	}
	if was.Refuse != "" {
		list = append(list, mutation{"without refusing", func(f *routing.File) {
			f.Rules[n].Refuse, f.Rules[n].RetryAfter = "", 0
		}}, mutation{"with half the time to return", func(f *routing.File) { f.Rules[n].RetryAfter /= 2 }})
	}
	if was.Class != "" {
		list = append(
			list,
			mutation{"without giving a class", func(f *routing.File) { f.Rules[n].Class = "" }},
		)
	}
	return list
}

// overlap says whether two rules may match the same job: only then their order matters.
func overlap(a, b *routing.RuleSpec) bool {
	meet := func(x, y []string) bool {
		return len(x) == 0 || len(y) == 0 ||
			slices.ContainsFunc(x, func(v string) bool { return slices.Contains(y, v) })
	}
	// A job over Faktory has no headers.
	bare := func(r *routing.RuleSpec) bool { return slices.Equal(r.Match.Fronts, []string{"faktory"}) }
	if bare(a) && len(b.Match.Headers) > 0 || bare(b) && len(a.Match.Headers) > 0 {
		return false
	}
	return meet(a.Match.Classes, b.Match.Classes) && meet(a.Match.Tenants, b.Match.Tenants) &&
		meet(a.Match.Fronts, b.Match.Fronts) && meet(a.Match.Queues, b.Match.Queues)
}

func others(these, of []string) []string {
	var rest []string
	for _, name := range of {
		if !slices.Contains(these, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// try runs all expectations against changed rules, until one fails.
func (s *Suite) try(what, rule string, change func(*routing.File)) Mutant {
	m := Mutant{What: what, Rule: rule}
	changed := *s.rules
	changed.Rules = slices.Clone(s.rules.Rules)
	changed.Pools = slices.Clone(s.rules.Pools)
	change(&changed)
	table, _, err := routing.Compile(&changed, s.names)
	if err != nil {
		m.Killed = "the rules are refused: " + string(bytes.SplitN([]byte(err.Error()), []byte("\n"), 2)[0])
		return m
	}
	mutant := *s
	mutant.table = table
	for _, r := range mutant.Run(nil) {
		if !r.OK() {
			m.Killed = r.Name
			return m
		}
	}
	return m
}

// Change is a job whose way is another between two configurations.
type Change struct {
	Job      string `json:"job"`
	Was, Now string
}

// Against lists the jobs whose way is another by two tables: one, as small as can be, for
// each pair of ways. The jobs are made from all that the rules of both name, and from
// values that neither names.
func Against(names routing.Names, was, now *routing.File, most int) (changes []Change, jobs int, err error) {
	a, _, err := routing.Compile(was, names)
	if err != nil {
		return nil, 0, err
	}
	b, _, err := routing.Compile(now, names)
	if err != nil {
		return nil, 0, err
	}
	seen := map[[2]string]bool{}
	routing.Space(names, was, now, func(j *routing.Job) bool {
		jobs++
		w, n := way(names, a.Decide(j)), way(names, b.Decide(j))
		if key := [2]string{w, n}; w != n && !seen[key] {
			// The space goes from plain jobs to special ones, so the first is the smallest.
			seen[key] = true
			changes = append(changes, Change{Job: routing.Describe(names, j), Was: w, Now: n})
		}
		return len(changes) < most
	})
	return changes, jobs, nil
}

// way says in words where a decision sends a job. The rule's name is no part of it.
func way(names routing.Names, d routing.Decision) string {
	if d.Refused != "" {
		return fmt.Sprintf("refused (%s), return after %v", d.Refused, d.RetryAfter)
	}
	if d.Class < 0 {
		return "turned away: no class"
	}
	text := names.Classes[d.Class] + " to "
	if r, ok := d.Route.(*routing.Route); ok && r != nil {
		text += fmt.Sprintf("%v", r)
	} else {
		text += "any worker"
	}
	if d.Attempts > 0 {
		text += fmt.Sprintf(", %d attempts", d.Attempts)
	}
	if d.Timeout > 0 {
		text += fmt.Sprintf(", %v each", time.Duration(d.Timeout))
	}
	return text
}
