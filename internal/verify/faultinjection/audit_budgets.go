package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// budgetShare is a period in which an instance used a share of the slow-start budgets of workers that
// are not warm yet: the share number index, from 0 on, of total equal shares.
type budgetShare struct {
	instance     string
	index, total int
	from, to     time.Duration
}

// shareTolerance is the rounding error allowed in a sum of shares.
const shareTolerance = 1e-9

// auditBudgetShares reports when instances together held more than a whole slow-start budget, or two
// of them the same share, and counts the shares. Each entry includes the time at which the lease ends,
// and with it the share. The share of an instance that is stalled, and thus writes nothing, ends then
// too.
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
					"%s holds share %d of %d of the slow-start budgets at %v, which %s holds until %v",
					s.instance, s.index, s.total, s.from, other.instance, other.to))
			}
		}
		if sum > 1+shareTolerance {
			violations = append(violations, fmt.Sprintf(
				"with %s's share %d of %d at %v, %.3f of the slow-start budgets are held: %v",
				s.instance, s.index, s.total, s.from, sum, current))
		}
		current = append(current, s)
	}
	return violations, shares
}

// readBudgetShares returns the shares that instances held, sorted by when they began. A share also ends
// with the next entry of its instance on shares, and when its instance starts again.
func readBudgetShares(all []auditEntry) (shares []budgetShare, violations []string) {
	current := map[string]int{} // by instance: the index of its newest share in the list, plus 1
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
			violations = append(violations, fmt.Sprintf("%s: invalid journal entry on a share: %q",
				e.instance, e.args))
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
