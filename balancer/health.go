package balancer

// Decisions: which workers are trusted.

import (
	"math"
	"time"
)

// trusted reports whether w is well enough for q to be drawn; if no worker is, all are drawn. Hazard: one
// that errors at once, or can't be reached, keeps a low count and wins until its record is minded.
func (b *Balancer) trusted(now time.Duration, q *request, w *worker) bool {
	if q.class.Idempotency == NonIdempotent {
		return b.illness(now, w) < suspect/2
	}
	return b.illness(now, w) < suspect
}

// illness is the record of w's failures, faded since.
func (b *Balancer) illness(now time.Duration, w *worker) float64 {
	if b.silent(now, w) {
		return 1
	}
	if w.ill > 0 { // else the power is wasted on every healthy worker
		w.ill *= math.Exp2(-float64(now-w.illT) / float64(b.patience/2))
	}
	w.illT = now
	return w.ill
}

// fails takes a failure at w, met by this dispatcher or told by another.
func (b *Balancer) fails(now time.Duration, w *worker) { w.ill = b.illness(now, w) + blend*(1-w.ill) }

// silent reports whether w runs a job of ours and has told nothing for long.
func (b *Balancer) silent(now time.Duration, w *worker) bool {
	return w.running > 0 && b.set.ProgressInterval > 0 && now-w.heard > quiet*b.set.ProgressInterval
}
