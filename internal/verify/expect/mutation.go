package expect

import (
	"slices"
	"strings"

	"moorstack/internal/proxy/routing"
)

// Mutant is the result of a mutation: a copy of the rules in which one rule was broken on purpose.
type Mutant struct {
	Mutation string `json:"what"`
	Rule     string `json:"rule"`
	// KilledBy is the expectation that fails, or the reason why the rules don't compile; empty: the mutant
	// survives.
	KilledBy string `json:"killed,omitempty"`
}

// Mutate applies all mutations to each rule, one at a time and in memory, and runs the expectations on each
// mutant.
func (s *Suite) Mutate() []Mutant {
	if s.rules == nil {
		return nil
	}
	var list []Mutant
	for n := range s.rules.Rules {
		for _, m := range s.mutations(n) {
			list = append(list, s.runMutation(m, s.rules.Rules[n].Name))
		}
	}
	return list
}

// runMutation applies a mutation to a copy of the rules and reports the first expectation that fails.
func (s *Suite) runMutation(m mutation, rule string) Mutant {
	result := Mutant{Mutation: m.name, Rule: rule}
	rules := *s.rules
	rules.Rules, rules.Pools = slices.Clone(s.rules.Rules), slices.Clone(s.rules.Pools)
	m.apply(&rules)
	table, _, err := routing.Compile(&rules, s.knownNames)
	if err != nil {
		firstLine, _, _ := strings.Cut(err.Error(), "\n")
		result.KilledBy = "the rules are invalid: " + firstLine
		return result
	}
	mutant := *s
	mutant.table = table
	for _, r := range mutant.Run(nil) {
		if !r.Passed() {
			result.KilledBy = r.Name
			return result
		}
	}
	return result
}

// mutation breaks a rule in one way.
type mutation struct {
	name  string
	apply func(*routing.File)
}

// mutations returns the mutations that apply to the nth rule.
func (s *Suite) mutations(n int) []mutation {
	return slices.Concat(s.ruleMutations(n), s.matchMutations(n), s.destinationMutations(n),
		s.termMutations(n))
}

// ruleMutations returns the mutations that drop, disable or move the rule.
func (s *Suite) ruleMutations(n int) []mutation {
	list := []mutation{
		{"dropped", func(f *routing.File) { f.Rules = slices.Delete(f.Rules, n, n+1) }},
		{"matches nothing", func(f *routing.File) { f.Rules[n].Match.RouteKeyPrefix = "\x00" }},
	}
	if n+1 < len(s.rules.Rules) && mayOverlap(&s.rules.Rules[n].Match, &s.rules.Rules[n+1].Match) {
		list = append(list, mutation{"moved after the next rule", func(f *routing.File) {
			f.Rules[n], f.Rules[n+1] = f.Rules[n+1], f.Rules[n]
		}})
	}
	return list
}

// matchMutations returns the mutations that invert or drop a condition of the rule.
func (s *Suite) matchMutations(n int) (list []mutation) {
	match := s.rules.Rules[n].Match
	add := func(applies bool, name string, mutate func(*routing.MatchSpec)) {
		if applies {
			list = append(list, mutation{name, func(f *routing.File) { mutate(&f.Rules[n].Match) }})
		}
	}
	add(len(match.Classes) > 0, "for the other classes", func(m *routing.MatchSpec) {
		m.Classes = complement(match.Classes, s.knownNames.Classes)
	})
	add(len(match.Tenants) > 0, "for the other tenants", func(m *routing.MatchSpec) {
		m.Tenants = complement(match.Tenants, s.knownNames.Tenants)
	})
	add(len(match.Hosts) > 0, "for any host", func(m *routing.MatchSpec) { m.Hosts = nil })
	add(len(match.PathPrefixes) > 0, "for any path", func(m *routing.MatchSpec) { m.PathPrefixes = nil })
	add(len(match.Headers) > 0, "for any header", func(m *routing.MatchSpec) { m.Headers = nil })
	add(len(match.Queues) > 0, "for any queue", func(m *routing.MatchSpec) { m.Queues = nil })
	add(match.WorkBelow > 0, "for any cost", func(m *routing.MatchSpec) { m.WorkBelow = 0 })
	return list
}

// destinationMutations returns the mutations that change the pools to which the rule sends jobs.
func (s *Suite) destinationMutations(n int) (list []mutation) {
	rule := s.rules.Rules[n]
	pools := rule.PreferredPools
	if len(pools) > 1 {
		for i, pool := range pools {
			list = append(list, mutation{"without the pool " + pool, func(f *routing.File) {
				f.Rules[n].PreferredPools = slices.Delete(slices.Clone(pools), i, i+1)
			}})
		}
	}
	if len(pools) == 1 && len(rule.Split) == 0 {
		list = append(list, mutation{"to any worker", func(f *routing.File) {
			f.Rules[n].PreferredPools = nil
		}})
	}
	if len(pools) > 1 {
		list = append(list, mutation{"with its pools in reverse order", func(f *routing.File) {
			f.Rules[n].PreferredPools = slices.Clone(pools)
			slices.Reverse(f.Rules[n].PreferredPools)
		}})
	}
	if len(rule.Split) > 1 {
		list = append(list, mutation{"with the pools of its split exchanged", func(f *routing.File) {
			split := slices.Clone(rule.Split)
			split[0].Pool, split[1].Pool = split[1].Pool, split[0].Pool
			f.Rules[n].Split = split
		}})
	}
	return list
}

// termMutations returns the mutations that change the rule's attempt limit, rejection or class.
func (s *Suite) termMutations(n int) (list []mutation) {
	rule := s.rules.Rules[n]
	if rule.MaxAttempts > 0 {
		list = append(list, mutation{"with any number of attempts", func(f *routing.File) {
			f.Rules[n].MaxAttempts = 0
		}})
	}
	if rule.RejectReason != "" {
		list = append(list, mutation{"without rejecting", func(f *routing.File) {
			f.Rules[n].RejectReason, f.Rules[n].RetryAfter = "", 0
		}}, mutation{"with half the retry delay", func(f *routing.File) { f.Rules[n].RetryAfter /= 2 }})
	}
	if rule.Class != "" {
		list = append(list, mutation{"without setting a class", func(f *routing.File) {
			f.Rules[n].Class = ""
		}})
	}
	return list
}

// mayOverlap reports whether two rules may match the same job. Only then does their order matter.
func mayOverlap(a, b *routing.MatchSpec) bool {
	intersect := func(x, y []string) bool {
		return len(x) == 0 || len(y) == 0 ||
			slices.ContainsFunc(x, func(v string) bool { return slices.Contains(y, v) })
	}
	// Jobs from the Faktory front have no headers.
	headerless := func(m *routing.MatchSpec) bool {
		return slices.Equal(m.Fronts, []string{routing.FrontFaktory})
	}
	if headerless(a) && len(b.Headers) > 0 || headerless(b) && len(a.Headers) > 0 {
		return false
	}
	return intersect(a.Classes, b.Classes) && intersect(a.Tenants, b.Tenants) &&
		intersect(a.Fronts, b.Fronts) && intersect(a.Queues, b.Queues)
}

// complement returns the known names and the empty name, except those in without.
func complement(without, known []string) []string {
	var rest []string
	for _, name := range append(slices.Clone(known), "") {
		if !slices.Contains(without, name) {
			rest = append(rest, name)
		}
	}
	return rest
}
