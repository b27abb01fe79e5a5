package balancer

// Decisions: final answers that no worker gives.

import (
	"time"
)

// answer gives the final answer of a job that nobody serves: a refusal where the effect allows, or a failure.
func (b *Balancer) answer(q *request) {
	if !b.refusable(q) {
		b.fail(q)
		return
	}
	q.over = true
	b.refused++
	b.act.Reject(q.ID, b.spread(b.set.Limits.MaxRetryAfter/8))
	b.forget(q)
}

// fail gives the final answer that promises nothing. Hazard: a job that workers can't read is sent to one
// after the other, all of which then count as ill, and its client is told to come again.
func (b *Balancer) fail(q *request) {
	q.over = true
	b.failed++
	b.act.Fail(q.ID)
	b.forget(q)
}

// spread is d to 2d at random, so that those who wait don't come back together.
func (b *Balancer) spread(d time.Duration) time.Duration {
	return d + time.Duration(b.rng.Int64N(int64(d)+1))
}
