package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// budgetShare is a time in which an instance held itself for entitled to a part of cold workers' budgets.
type budgetShare struct {
	instance     string
	index, total int
	from, to     time.Duration
}

// auditBudgetShares looks for a moment at which instances held more than the whole of a cold worker's
// budget, or two of them the same part. By their own words, each part ends with its instance's lease: also
// that of one that stood still, and wrote nothing.
func auditBudgetShares(all []auditEntry) (broken []string, parts int) {
	var spans []budgetShare
	open := map[string]int{} // by instance: its newest span, and one more
	for _, e := range all {
		if e.event != "part" && e.event != "start" {
			continue
		}
		if n := open[e.instance]; n > 0 {
			spans[n-1].to = min(spans[n-1].to, e.at)
			delete(open, e.instance)
		}
		words := strings.Fields(e.args)
		if e.event == "start" || len(words) == 1 && words[0] == "none" {
			continue
		}
		x := budgetShare{instance: e.instance, from: e.at}
		ok := len(words) == 3
		if ok {
			var until int64
			var bad [3]error
			x.index, bad[0] = strconv.Atoi(words[0])
			x.total, bad[1] = strconv.Atoi(words[1])
			until, bad[2] = strconv.ParseInt(words[2], 10, 64)
			x.to = time.Duration(until)
			ok = bad == [3]error{} && x.total > 0 && x.index >= 0 && x.index < x.total
		}
		if !ok {
			broken = append(broken, fmt.Sprintf("%s: %q is no part", e.instance, e.args))
			continue
		}
		spans = append(spans, x)
		open[e.instance] = len(spans)
	}
	slices.SortStableFunc(spans, func(a, b budgetShare) int { return cmp.Compare(a.from, b.from) })
	var now []budgetShare
	for _, x := range spans {
		if x.to <= x.from {
			continue
		}
		parts++
		now = slices.DeleteFunc(now, func(y budgetShare) bool { return y.to <= x.from })
		sum := 1 / float64(x.total)
		for _, y := range now {
			sum += 1 / float64(y.total)
			if y.index == x.index && y.total == x.total {
				broken = append(broken, fmt.Sprintf("%s takes part %d of %d of cold workers' budgets at %v, "+
					"which %s has until %v", x.instance, x.index, x.total, x.from, y.instance, y.to))
			}
		}
		if sum > 1+1e-9 {
			broken = append(broken, fmt.Sprintf("with %s's part %d of %d at %v, %.3f of cold workers' "+
				"budgets are taken: %v", x.instance, x.index, x.total, x.from, sum, now))
		}
		now = append(now, x)
	}
	return broken, parts
}
