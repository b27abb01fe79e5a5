package expect

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"moorstack/balancer"
)

// maxNamedWorkers is how many workers a failure names with their counts.
const maxNamedWorkers = 6

// checkSamples checks the samples of an expectation.
func (s *Suite) checkSamples(r *Result, e *Expectation, c *sampleCounts) {
	s.checkShares(r, "goes_to", e.FirstAttempts, c.firstAttempts, c.samples, c.samples)
	s.checkShares(r, "falls_back_to", e.SecondAttempts, c.secondAttempts, c.withSecondAttempt, c.samples)
	for _, selector := range e.NoAttempts {
		if n := s.countMatching(c.attempted, selector); n > 0 {
			r.failf("never %v: got there in %d of %d draws: %s", selector, n, c.samples,
				formatCounts(c.attempted))
		}
	}
	if e.MaxAttempts > 0 && c.maxAttempts > e.MaxAttempts {
		r.failf("tried_at_most %d: got %d attempts", e.MaxAttempts, c.maxAttempts)
	}
	if e.Served != nil && *e.Served && c.served < c.samples {
		r.failf("served: expected always, got %d of %d draws; %d refused, %d failed", c.served, c.samples,
			c.rejected, c.failed)
	}
	if e.Served != nil && !*e.Served && c.served > 0 {
		r.failf("served: expected never, got %d of %d draws", c.served, c.samples)
	}
	if e.Rejected != nil {
		r.checkRejections(e.Rejected, c)
	}
}

// checkShares checks the shares of some attempts, of which there are counts by worker and a total.
func (s *Suite) checkShares(r *Result, key string, shares []AttemptShare, counts map[string]int, total,
	samples int) {
	for _, share := range shares {
		if total < samples*9/10 {
			r.failf("%s %v: only %d of %d draws have such an attempt at all", key, share.WorkerSelector,
				total, samples)
			continue
		}
		got := float64(s.countMatching(counts, share.WorkerSelector)) / float64(max(total, 1))
		if math.Abs(got-*share.Fraction) > share.Tolerance {
			r.failf("%s %v: expected %.3g within %.3g, got %.3g of %d draws: %s", key, share.WorkerSelector,
				*share.Fraction, share.Tolerance, got, total, formatCounts(counts))
		}
	}
}

// checkRejections checks a job that is expected to be rejected, and that no rule has rejected.
func (r *Result) checkRejections(want *Rejection, c *sampleCounts) {
	if want.Reason != "" {
		r.failf("refused: expected a rule's reason %q, got no refusal by a rule", want.Reason)
	} else if c.rejected < c.samples {
		r.failf("refused: expected always, got %d of %d draws; %d served, %d failed", c.rejected, c.samples,
			c.served, c.failed)
	} else if least := time.Duration(want.MinRetryAfter); c.minRetryAfter < least {
		r.failf("refused: expected to return after %v at least, got %v", least, c.minRetryAfter)
	}
}

// countMatching counts the attempts at the workers of a set.
func (s *Suite) countMatching(counts map[string]int, selector WorkerSelector) int {
	n := 0
	for name, k := range counts {
		if s.matchesSelector(s.workers[name], selector) {
			n += k
		}
	}
	return n
}

func (s *Suite) matchesSelector(w *Worker, selector WorkerSelector) bool {
	if selector.Pool != "" {
		worker := balancer.Worker{Zone: slices.Index(s.knownNames.Zones, w.Zone),
			Kind: slices.Index(s.knownNames.Kinds, w.Kind), Cell: w.Cell, Labels: w.Labels}
		if s.table == nil || !s.table.PoolContains(selector.Pool, &worker) {
			return false
		}
	}
	matches := func(condition, value string) bool { return condition == "" || condition == value }
	return matches(selector.Zone, w.Zone) && matches(selector.Kind, w.Kind) &&
		matches(selector.Worker, w.Name)
}

// String lists the conditions, as in "zone seeb and kind fast".
func (w WorkerSelector) String() string {
	var parts []string
	for _, condition := range []struct{ key, value string }{
		{"zone", w.Zone}, {"kind", w.Kind}, {"pool", w.Pool}, {"worker", w.Worker},
	} {
		if condition.value != "" {
			parts = append(parts, condition.key+" "+condition.value)
		}
	}
	return strings.Join(parts, " and ")
}

// formatCounts lists workers with their counts, the largest first.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(a, b))
	})
	var parts []string
	for i, name := range names {
		if i == maxNamedWorkers {
			parts = append(parts, fmt.Sprintf("%d others", len(names)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return formatNames(parts)
}

func formatNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
