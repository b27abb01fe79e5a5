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
	Mutation string `json:"what"`
	Rule     string `json:"rule"`
	KilledBy string `json:"killed,omitempty"` // by which expectation, or by the rules being refused
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
			list = append(list, s.runMutation(m.what, s.rules.Rules[n].Name, m.change))
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
		{"matches nothing", func(f *routing.File) { f.Rules[n].Match.RouteKeyPrefix = "\x00" }},
	}
	if n+1 < len(s.rules.Rules) && mayOverlap(&was, &s.rules.Rules[n+1]) {
		list = append(list, mutation{"after the next one", func(f *routing.File) {
			f.Rules[n], f.Rules[n+1] = f.Rules[n+1], f.Rules[n]
		}})
	}
	if len(was.Match.Classes) > 0 {
		list = append(list, mutation{"for the other classes", func(f *routing.File) {
			f.Rules[n].Match.Classes = complement(
				was.Match.Classes,
				append(slices.Clone(s.knownNames.Classes), ""),
			)
		}})
	}
	if len(was.Match.Tenants) > 0 {
		list = append(list, mutation{"for the other tenants", func(f *routing.File) {
			f.Rules[n].Match.Tenants = complement(
				was.Match.Tenants,
				append(slices.Clone(s.knownNames.Tenants), ""),
			)
		}})
	}
	if len(was.Match.Hosts) > 0 {
		list = append(list, mutation{"for any host", func(f *routing.File) { f.Rules[n].Match.Hosts = nil }})
	}
	if len(was.Match.PathPrefixes) > 0 {
		list = append(
			list,
			mutation{"for any path", func(f *routing.File) { f.Rules[n].Match.PathPrefixes = nil }},
		)
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
	return append(list, s.actionMutations(n, was)...)
}

// actionMutations are the mutations of what a rule says, not of what it matches.
func (s *Suite) actionMutations(n int, was routing.RuleSpec) []mutation {
	var list []mutation
	for i := range was.PreferredPools {
		if len(was.PreferredPools) > 1 {
			list = append(list, mutation{"without the pool " + was.PreferredPools[i], func(f *routing.File) {
				f.Rules[n].PreferredPools = slices.Delete(slices.Clone(was.PreferredPools), i, i+1)
			}})
		}
	}
	if len(was.PreferredPools) == 1 && len(was.Split) == 0 {
		list = append(
			list,
			mutation{"to any worker", func(f *routing.File) { f.Rules[n].PreferredPools = nil }},
		)
	}
	if len(was.PreferredPools) > 1 {
		list = append(list, mutation{"with its pools the other way round", func(f *routing.File) {
			f.Rules[n].PreferredPools = slices.Clone(was.PreferredPools)
			slices.Reverse(f.Rules[n].PreferredPools)
		}})
	}
	if len(was.Split) > 1 {
		list = append(list, mutation{"with its parts exchanged", func(f *routing.File) {
			f.Rules[n].Split = slices.Clone(was.Split)
			a, b := &f.Rules[n].Split[0], &f.Rules[n].Split[1]
			a.Pool, b.Pool = b.Pool, a.Pool
		}})
	}
	if was.MaxAttempts > 0 {
		list = append(
			list,
			mutation{"with any number of attempts", func(f *routing.File) { f.Rules[n].MaxAttempts = 0 }},
		)
	}
	if was.RejectReason != "" {
		list = append(list, mutation{"without refusing", func(f *routing.File) {
			f.Rules[n].RejectReason, f.Rules[n].RetryAfter = "", 0
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

// mayOverlap says whether two rules may match the same job: only then their order matters.
func mayOverlap(a, b *routing.RuleSpec) bool {
	meet := func(x, y []string) bool {
		return len(x) == 0 || len(y) == 0 ||
			slices.ContainsFunc(x, func(v string) bool { return slices.Contains(y, v) })
	}
	// A job over Faktory has no headers.
	bare := func(r *routing.RuleSpec) bool { return slices.Equal(r.Match.Frontends, []string{"faktory"}) }
	if bare(a) && len(b.Match.Headers) > 0 || bare(b) && len(a.Match.Headers) > 0 {
		return false
	}
	return meet(a.Match.Classes, b.Match.Classes) && meet(a.Match.Tenants, b.Match.Tenants) &&
		meet(a.Match.Frontends, b.Match.Frontends) && meet(a.Match.Queues, b.Match.Queues)
}

func complement(these, of []string) []string {
	var rest []string
	for _, name := range of {
		if !slices.Contains(these, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// runMutation runs all expectations against changed rules, until one fails.
func (s *Suite) runMutation(what, rule string, change func(*routing.File)) Mutant {
	m := Mutant{Mutation: what, Rule: rule}
	changed := *s.rules
	changed.Rules = slices.Clone(s.rules.Rules)
	changed.Pools = slices.Clone(s.rules.Pools)
	change(&changed)
	table, _, err := routing.Compile(&changed, s.knownNames)
	if err != nil {
		m.KilledBy = "the rules are refused: " + string(bytes.SplitN([]byte(err.Error()), []byte("\n"), 2)[0])
		return m
	}
	mutant := *s
	mutant.table = table
	for _, r := range mutant.Run(nil) {
		if !r.Passed() {
			m.KilledBy = r.Name
			return m
		}
	}
	return m
}

// RoutingChange is a job whose way is another between two configurations.
type RoutingChange struct {
	Job    string `json:"job"`
	Before string `json:"Was"`
	After  string `json:"Now"`
}

// CompareRules lists the jobs whose way is another by two tables: one, as small as can be, for
// each pair of ways. The jobs are made from all that the rules of both name, and from
// values that neither names.
func CompareRules(
	names routing.KnownNames,
	was, now *routing.File,
	most int,
) (changes []RoutingChange, jobs int, err error) {
	a, _, err := routing.Compile(was, names)
	if err != nil {
		return nil, 0, err
	}
	b, _, err := routing.Compile(now, names)
	if err != nil {
		return nil, 0, err
	}
	seen := map[[2]string]bool{}
	routing.EnumerateJobs(names, was, now, func(j *routing.Job) bool {
		jobs++
		w, n := describeDecision(names, a.Decide(j)), describeDecision(names, b.Decide(j))
		if key := [2]string{w, n}; w != n && !seen[key] {
			// The space goes from plain jobs to special ones, so the first is the smallest.
			seen[key] = true
			changes = append(changes, RoutingChange{Job: routing.DescribeJob(names, j), Before: w, After: n})
		}
		return len(changes) < most
	})
	return changes, jobs, nil
}

// describeDecision says in words where a decision sends a job. The rule's name is no part of it.
func describeDecision(names routing.KnownNames, d routing.Decision) string {
	if d.RejectReason != "" {
		return fmt.Sprintf("refused (%s), return after %v", d.RejectReason, d.RetryAfter)
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
	if d.MaxAttempts > 0 {
		text += fmt.Sprintf(", %d attempts", d.MaxAttempts)
	}
	if d.AttemptTimeout > 0 {
		text += fmt.Sprintf(", %v each", time.Duration(d.AttemptTimeout))
	}
	return text
}
