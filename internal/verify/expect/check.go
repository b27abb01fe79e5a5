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

// maxNamedWorkers limits how many workers a failure message lists with their counts.
const maxNamedWorkers = 6

// checkSamples compares the sampled outcomes with the expectation and adds failures to r.
func (s *Suite) checkSamples(r *Result, e *Expectation, c *sampleCounts) {
	s.checkShares(r, "goes_to", e.FirstAttempts, c.firstAttempts, c.samples, c.samples)
	s.checkShares(r, "falls_back_to", e.SecondAttempts, c.secondAttempts, c.withSecondAttempt, c.samples)
	for _, selector := range e.NoAttempts {
		if n := s.countMatching(c.attempted, selector); n > 0 {
			r.failf("never %v: got attempts there in %d of %d samples: %s", selector, n, c.samples,
				formatCounts(c.attempted))
		}
	}
	if e.MaxAttempts > 0 && c.maxAttempts > e.MaxAttempts {
		r.failf("tried_at_most %d: got %d attempts", e.MaxAttempts, c.maxAttempts)
	}
	if e.Served != nil && *e.Served && c.served < c.samples {
		r.failf("served: expected always, got %d of %d samples; %d rejected, %d failed", c.served, c.samples,
			c.rejected, c.failed)
	}
	if e.Served != nil && !*e.Served && c.served > 0 {
		r.failf("served: expected never, got %d of %d samples", c.served, c.samples)
	}
	if e.Rejected != nil {
		r.checkRejections(e.Rejected, c)
	}
}

// checkShares checks the expected shares of the first or second attempts. counts holds the attempts by
// worker, total is their sum.
func (s *Suite) checkShares(r *Result, key string, shares []AttemptShare, counts map[string]int, total,
	samples int) {
	for _, share := range shares {
		if total < samples*9/10 {
			r.failf("%s %v: only %d of %d samples have such an attempt", key, share.WorkerSelector,
				total, samples)
			continue
		}
		got := float64(s.countMatching(counts, share.WorkerSelector)) / float64(max(total, 1))
		if math.Abs(got-*share.Fraction) > share.Tolerance {
			r.failf("%s %v: expected %.3g within %.3g, got %.3g of %d samples: %s", key, share.WorkerSelector,
				*share.Fraction, share.Tolerance, got, total, formatCounts(counts))
		}
	}
}

// checkRejections checks the samples of a job that is expected to be rejected and that no rule rejects.
func (r *Result) checkRejections(want *Rejection, c *sampleCounts) {
	if want.Reason != "" {
		r.failf("refused: expected the reason %q of a rule, but no rule rejects the job", want.Reason)
	} else if c.rejected < c.samples {
		r.failf("refused: expected always, got %d of %d samples; %d served, %d failed", c.rejected, c.samples,
			c.served, c.failed)
	} else if least := time.Duration(want.MinRetryAfter); c.minRetryAfter < least {
		r.failf("refused: expected a retry after %v at least, got %v", least, c.minRetryAfter)
	}
}

// countMatching returns the sum of the counts of the selected workers.
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

// String returns the conditions in the form "zone seeb and kind fast".
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

// formatCounts lists workers with their counts, the largest count first.
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
