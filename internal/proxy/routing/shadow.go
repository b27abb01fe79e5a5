package routing

import (
	"fmt"
	"slices"
	"strings"
)

// shadowedRules returns a warning for each rule that can never match because an earlier rule matches every
// job that it matches.
func shadowedRules(rules []*Rule) Problems {
	var warnings Problems
	for j, later := range rules {
		for _, earlier := range rules[:j] {
			if covers(&earlier.spec.Match, &later.spec.Match) {
				warnings = append(warnings, Problem{later.Position,
					fmt.Sprintf("rule %d (%s)", later.Number, later.Name),
					fmt.Sprintf("can never match: rule %d (%s) matches all its jobs", earlier.Number,
						earlier.Name)})
				break
			}
		}
	}
	return warnings
}

// covers reports whether a matches every job that b matches.
func covers(a, b *MatchSpec) bool {
	equal := func(outer, inner string) bool { return outer == inner }
	isHostWithin := func(outer, inner string) bool {
		return outer == inner || strings.HasPrefix(outer, "*") && strings.HasSuffix(inner, outer[1:])
	}
	isPathWithin := func(outer, inner string) bool { return strings.HasPrefix(inner, outer) }
	for name, v := range a.Headers {
		if w, ok := b.Headers[name]; !ok || v != anyValue && v != w {
			return false
		}
	}
	return listCovers(a.Classes, b.Classes, equal) && listCovers(a.Tenants, b.Tenants, equal) &&
		listCovers(a.Fronts, b.Fronts, equal) && listCovers(a.Queues, b.Queues, equal) &&
		listCovers(a.JobTypes, b.JobTypes, equal) && listCovers(a.Hosts, b.Hosts, isHostWithin) &&
		listCovers(a.PathPrefixes, b.PathPrefixes, isPathWithin) &&
		strings.HasPrefix(b.RouteKeyPrefix, a.RouteKeyPrefix) && a.MinWork <= b.MinWork &&
		(a.WorkBelow == 0 || b.WorkBelow > 0 && b.WorkBelow <= a.WorkBelow)
}

// listCovers reports whether each element of inner is within an element of outer. An empty list matches
// everything.
func listCovers(outer, inner []string, isWithin func(outer, inner string) bool) bool {
	if len(outer) == 0 {
		return true
	}
	return len(inner) > 0 && !slices.ContainsFunc(inner, func(in string) bool {
		return !slices.ContainsFunc(outer, func(out string) bool { return isWithin(out, in) })
	})
}
