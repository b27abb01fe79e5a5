package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// span is a time in which an instance held itself for entitled to a part of cold workers' budgets.
type span struct {
	who      string
	me, of   int
	from, to time.Duration
}

// auditParts looks for a moment at which instances held more than the whole of a cold worker's budget, or
// two of them the same part. By their own words, each part ends with its instance's lease: also that of one
// that stood still, and wrote nothing.
func auditParts(all []entry) (broken []string, parts int) {
	var spans []span
	open := map[string]int{} // by instance: its newest span, and one more
	for _, e := range all {
		if e.what != "part" && e.what != "start" {
			continue
		}
		if n := open[e.who]; n > 0 {
			spans[n-1].to = min(spans[n-1].to, e.at)
			delete(open, e.who)
		}
		words := strings.Fields(e.rest)
		if e.what == "start" || len(words) == 1 && words[0] == "none" {
			continue
		}
		x := span{who: e.who, from: e.at}
		ok := len(words) == 3
		if ok {
			var until int64
			var bad [3]error
			x.me, bad[0] = strconv.Atoi(words[0])
			x.of, bad[1] = strconv.Atoi(words[1])
			until, bad[2] = strconv.ParseInt(words[2], 10, 64)
			x.to = time.Duration(until)
			ok = bad == [3]error{} && x.of > 0 && x.me >= 0 && x.me < x.of
		}
		if !ok {
			broken = append(broken, fmt.Sprintf("%s: %q is no part", e.who, e.rest))
			continue
		}
		spans = append(spans, x)
		open[e.who] = len(spans)
	}
	slices.SortStableFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var now []span
	for _, x := range spans {
		if x.to <= x.from {
			continue
		}
		parts++
		now = slices.DeleteFunc(now, func(y span) bool { return y.to <= x.from })
		sum := 1 / float64(x.of)
		for _, y := range now {
			sum += 1 / float64(y.of)
			if y.me == x.me && y.of == x.of {
				broken = append(broken, fmt.Sprintf("%s takes part %d of %d of cold workers' budgets at %v, "+
					"which %s has until %v", x.who, x.me, x.of, x.from, y.who, y.to))
			}
		}
		if sum > 1+1e-9 {
			broken = append(broken, fmt.Sprintf("with %s's part %d of %d at %v, %.3f of cold workers' "+
				"budgets are taken: %v", x.who, x.me, x.of, x.from, sum, now))
		}
		now = append(now, x)
	}
	return broken, parts
}
