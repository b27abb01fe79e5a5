package balancer

// Decisions: which workers are ejected as outliers.

import (
	"math"
	"time"
)

// healthy reports whether w is not ejected for q. If no worker is healthy, all are drawn (the panic mode).
//
// Hazard: a worker that responds with an error at once, or can't be reached, keeps a low count of requests in
// flight and would win every draw.
func (b *Balancer) healthy(now time.Duration, q *request, w *worker) bool {
	if q.class.Idempotency == NonIdempotent {
		return b.fadedFailureScore(now, w) < ejectionScore/2
	}
	return b.fadedFailureScore(now, w) < ejectionScore
}

// fadedFailureScore is w's failure score, which halves every half of the least timeout.
func (b *Balancer) fadedFailureScore(now time.Duration, w *worker) float64 {
	if b.unresponsive(now, w) {
		return 1
	}
	if w.failureScore > 0 { // else the power is computed for every healthy worker
		w.failureScore *= math.Exp2(-float64(now-w.failureScoreAt) / float64(b.minTimeout/2))
	}
	w.failureScoreAt = now
	return w.failureScore
}

// observeFailure takes a failure at w that this dispatcher has met, or another one has reported.
func (b *Balancer) observeFailure(now time.Duration, w *worker) {
	w.failureScore = b.fadedFailureScore(now, w) + fastWeight*(1-w.failureScore)
}

// unresponsive reports whether w runs a request of this dispatcher and has missed several progress reports.
func (b *Balancer) unresponsive(now time.Duration, w *worker) bool {
	return w.running > 0 && b.settings.ProgressInterval > 0 &&
		now-w.progressAt > silentIntervals*b.settings.ProgressInterval
}
