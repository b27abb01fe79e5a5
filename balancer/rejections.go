package balancer

// Decisions: final responses that don't come from a worker.

import (
	"time"
)

// rejectOrFail sends the final response to a request that no worker serves: a rejection if a retry is
// harmless, or else a failure.
func (b *Balancer) rejectOrFail(q *request) {
	if !b.rejectable(q) {
		b.fail(q)
		return
	}
	q.responded = true
	b.rejectedCount++
	b.actions.Reject(q.ID, b.jitter(b.settings.Limits.MaxRetryAfter/8))
	b.removeIfDone(q)
}

// fail sends a final response that does not promise that a retry is harmless. An unprocessable request must
// fail at once: otherwise it would be sent to one worker after another, all of which would count as failing,
// and its client would be made to retry.
func (b *Balancer) fail(q *request) {
	q.responded = true
	b.failedCount++
	b.actions.Fail(q.ID)
	b.removeIfDone(q)
}

// jitter returns a random duration from d to 2d, so that waiting callers don't return at the same time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d + time.Duration(b.rng.Int64N(int64(d)+1))
}
