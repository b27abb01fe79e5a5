package balancer

// Decisions: which workers are ejected as outliers.

import (
	"time"

	"moorstack/internal/portablemath"
)

// healthy reports whether w is not ejected for q. If no worker is healthy, all are drawn (panic mode).
//
// Without ejection, a worker that responds with errors at once or can't be reached would win every draw,
// because it has few requests in flight.
func (b *Balancer) healthy(now time.Duration, q *request, w *worker) bool {
	if q.class.Idempotency == NonIdempotent {
		return b.decayedFailureScore(now, w) < ejectionScore/2
	}
	return b.decayedFailureScore(now, w) < ejectionScore
}

// decayedFailureScore returns w's failure score, whose half-life is half of the least timeout. It is 1 for an
// unresponsive worker.
func (b *Balancer) decayedFailureScore(now time.Duration, w *worker) float64 {
	if b.unresponsive(now, w) {
		return 1
	}
	if w.failureScore > 0 { // skips computing the power for healthy workers
		w.failureScore *= portablemath.Exp2(-float64(now-w.failureScoreAt) / float64(b.minTimeout/2))
	}
	w.failureScoreAt = now
	return w.failureScore
}

// observeFailure records a failure at w, seen by this dispatcher or reported by another.
func (b *Balancer) observeFailure(now time.Duration, w *worker) {
	w.failureScore = b.decayedFailureScore(now, w) + float64(fastWeight*(1-w.failureScore))
}

// unresponsive reports whether w runs a request of this dispatcher and has missed several progress reports.
func (b *Balancer) unresponsive(now time.Duration, w *worker) bool {
	return w.running > 0 && b.settings.ProgressInterval > 0 &&
		now-w.progressAt > unresponsiveIntervals*b.settings.ProgressInterval
}
