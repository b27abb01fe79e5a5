package expect

import (
	"math"
	"time"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// The balancer makes random choices, so expected shares are checked statistically: the number of samples is
// large enough for the estimate to be within the tolerance with a probability of 99%. The seeds of the
// samples are fixed, so repeated runs give the same result.
const (
	// normalQuantile99 is the two-sided 99% quantile of the normal distribution.
	normalQuantile99 = 2.576
	// MaxSamples is the largest number of samples. An expected share that requires more is rejected.
	MaxSamples = 20_000
	// minSamples is the smallest number of samples. It detects an attempt that must never happen, but does in
	// 1.5% of the cases, with a probability of 99%.
	minSamples = 300
)

// requiredSamples returns how many samples are required to estimate a share within a tolerance.
func requiredSamples(share, tolerance float64) int {
	worst := share // the variance is largest at 0.5
	for _, p := range []float64{share - tolerance, share + tolerance, 0.5} {
		if p >= 0 && p <= 1 && math.Abs(p-share) <= tolerance*(1+1e-9) && p*(1-p) > worst*(1-worst) {
			worst = p
		}
	}
	n := normalQuantile99 * normalQuantile99 * worst * (1 - worst) / (tolerance * tolerance)
	return max(int(math.Ceil(n)), minSamples)
}

// sampleCounts counts the outcomes of an expectation's samples.
type sampleCounts struct {
	samples           int
	firstAttempts     map[string]int // by worker
	secondAttempts    map[string]int // by worker
	withSecondAttempt int
	attempted         map[string]int // by worker: samples with at least one attempt there
	served            int
	rejected          int
	failed            int
	maxAttempts       int
	minRetryAfter     time.Duration // the smallest of all rejections; -1: no job was rejected
}

// sample runs the job as often as the expectation requires, each time in a new simulation.
func (s *Suite) sample(e *Expectation, j *Job, d routing.Decision) (*sampleCounts, error) {
	n := minSamples
	for _, list := range [][]AttemptShare{e.FirstAttempts, e.SecondAttempts} {
		for _, share := range list {
			n = max(n, requiredSamples(*share.Fraction, share.Tolerance))
		}
	}
	firstAttemptOnly := len(e.NoAttempts)+len(e.SecondAttempts) == 0 && e.Rejected == nil &&
		e.Served == nil && e.MaxAttempts == 0
	counts := &sampleCounts{samples: n, firstAttempts: map[string]int{}, secondAttempts: map[string]int{},
		attempted: map[string]int{}, minRetryAfter: -1}
	for i := range n {
		sim, err := s.newSimulation(e, s.sampleSeed(i))
		if err != nil {
			return nil, err
		}
		if err := sim.run(j, d, firstAttemptOnly); err != nil {
			return nil, err
		}
		counts.add(sim)
	}
	return counts, nil
}

// sampleSeed returns the seed of the nth sample.
func (s *Suite) sampleSeed(n int) uint64 { return s.Seed<<32 + uint64(n) }

func (c *sampleCounts) add(sim *simulation) {
	c.maxAttempts = max(c.maxAttempts, len(sim.attempts))
	seen := map[string]bool{}
	for i, endpoint := range sim.attempts {
		name := endpoint.worker.Name
		switch i {
		case 0:
			c.firstAttempts[name]++
		case 1:
			c.secondAttempts[name]++
			c.withSecondAttempt++
		}
		if !seen[name] {
			seen[name] = true
			c.attempted[name]++
		}
	}
	if sim.response == nil {
		return
	}
	switch sim.response.Kind {
	case broker.Served:
		c.served++
	case broker.Rejected:
		c.rejected++
		if c.minRetryAfter < 0 || sim.response.RetryAfter < c.minRetryAfter {
			c.minRetryAfter = sim.response.RetryAfter
		}
	default:
		c.failed++
	}
}
