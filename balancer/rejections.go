package balancer

// Decisions: final responses that no worker gives.

import (
	"time"
)

// rejectOrFail gives the final response to a request that no worker serves: a rejection, if a retry is
// harmless, or else a failure.
func (b *Balancer) rejectOrFail(q *request) {
	if !b.rejectable(q) {
		b.fail(q)
		return
	}
	q.responded = true
	b.rejectedCount++
	b.actions.Reject(q.ID, b.jitter(b.settings.Limits.MaxRetryAfter/8))
	b.forget(q)
}

// fail gives the final response that promises nothing. Hazard: a request that workers can't read is otherwise
// sent to one after the other, all of which then count as failing, and its client is made to retry.
func (b *Balancer) fail(q *request) {
	q.responded = true
	b.failedCount++
	b.actions.Fail(q.ID)
	b.forget(q)
}

// jitter is d to 2d at random, so that those who wait don't come back at the same time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d + time.Duration(b.rng.Int64N(int64(d)+1))
}
