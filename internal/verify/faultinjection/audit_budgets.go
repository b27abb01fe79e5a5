package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// budgetShare is a time in which an instance held itself entitled to a share of the slow-start
// budgets of workers that warm up: share index of total equal ones.
type budgetShare struct {
	instance     string
	index, total int
	from, to     time.Duration
}

// shareTolerance is what rounding may add to a sum of shares.
const shareTolerance = 1e-9

// auditBudgetShares looks for a moment at which instances held more than the whole of a slow-start
// budget, or two of them the same share, and counts the shares. As each instance has written, its
// share ends with its lease: also that of one that was stalled, and wrote nothing.
func auditBudgetShares(all []auditEntry) (violations []string, shares int) {
	held, violations := readBudgetShares(all)
	var current []budgetShare
	for _, s := range held {
		if s.to <= s.from {
			continue
		}
		shares++
		current = slices.DeleteFunc(current, func(other budgetShare) bool { return other.to <= s.from })
		sum := 1 / float64(s.total)
		for _, other := range current {
			sum += 1 / float64(other.total)
			if other.index == s.index && other.total == s.total {
				violations = append(violations, fmt.Sprintf(
					"%s takes part %d of %d of cold workers' budgets at %v, which %s has until %v",
					s.instance, s.index, s.total, s.from, other.instance, other.to))
			}
		}
		if sum > 1+shareTolerance {
			violations = append(violations, fmt.Sprintf(
				"with %s's part %d of %d at %v, %.3f of cold workers' budgets are taken: %v",
				s.instance, s.index, s.total, s.from, sum, current))
		}
		current = append(current, s)
	}
	return violations, shares
}

// readBudgetShares reads the shares that instances held, in the order of their beginning. A share
// ends at the latest with the next entry on shares of its instance, or when that starts again.
func readBudgetShares(all []auditEntry) (shares []budgetShare, violations []string) {
	current := map[string]int{} // by instance: the place of its newest share in the list, and one more
	for _, e := range all {
		if e.event != "part" && e.event != "start" {
			continue
		}
		if n := current[e.instance]; n > 0 {
			shares[n-1].to = min(shares[n-1].to, e.at)
			delete(current, e.instance)
		}
		if e.event == "start" || strings.TrimSpace(e.args) == "none" {
			continue
		}
		s, ok := parseBudgetShare(e)
		if !ok {
			violations = append(violations, fmt.Sprintf("%s: %q is no part", e.instance, e.args))
			continue
		}
		shares = append(shares, s)
		current[e.instance] = len(shares)
	}
	slices.SortStableFunc(shares, func(a, b budgetShare) int { return cmp.Compare(a.from, b.from) })
	return shares, violations
}

func parseBudgetShare(e auditEntry) (s budgetShare, ok bool) {
	args := strings.Fields(e.args)
	if len(args) != 3 {
		return s, false
	}
	index, indexErr := strconv.Atoi(args[0])
	total, totalErr := strconv.Atoi(args[1])
	until, untilErr := strconv.ParseInt(args[2], 10, 64)
	if indexErr != nil || totalErr != nil || untilErr != nil || index < 0 || index >= total {
		return s, false
	}
	return budgetShare{e.instance, index, total, e.at, time.Duration(until)}, true
}
