package balancer

// Decisions: which workers are asked for their loads, and who waits for the answers.

import (
	"time"
)

// ask holds q and asks the least loaded of its draw for their loads, if that is of use.
//
// Hazard: where many dispatchers share workers, each one's counts are zero and what it knows of a queue is
// long past. An answer that does not come soon tells of a worker that is gone or busy.
func (b *Balancer) ask(now time.Duration, q *request) bool {
	q.asked, q.heard, q.heldT = q.asked[:0], 0, now
	q.start()
	if q.holding = b.awaitsList(now, q); q.holding {
		b.asking = append(b.asking, q)
		return true
	}
	b.blind = b.set.LoadReportsByCheck && b.set.Limits.HealthChecks &&
		float64(len(b.workers))*b.watched > b.arrived*b.patience.Seconds()*stale
	if !b.blind {
		return false
	}
	draw := b.drawn(now, q)
	for i := range min(choices, len(draw)) {
		w := b.least(now, q, draw[i:])
		q.asked = append(q.asked, w)
		w.asked = now
		b.act.CheckHealth(w.ID)
	}
	if q.holding = len(q.asked) > 0; q.holding {
		b.asking = append(b.asking, q)
	}
	return q.holding
}

// release places the requests that have heard from all asked, or have waited long enough.
func (b *Balancer) release(now time.Duration) {
	b.asking = keep(b.asking, func(q *request) bool {
		wait := q.class.LatencyObjective / brief
		if !q.over && (b.awaitsList(now, q) || q.heard < len(q.asked) && now-q.heldT < wait) {
			return true
		}
		if q.holding = false; q.over {
			b.forget(q)
		} else if !b.try(now, q) {
			b.answer(q)
		}
		return false
	})
}

// askLoads probes the worker with the oldest news, where reports come no other way: one a request.
func (b *Balancer) askLoads(now time.Duration) {
	if !b.set.LoadReportsByCheck || !b.set.Limits.HealthChecks {
		return
	}
	var oldest *worker
	for _, w := range b.workers {
		if w.State == Ready && (oldest == nil || w.asked < oldest.asked) {
			oldest = w
		}
	}
	if oldest != nil {
		oldest.asked = now
		b.act.CheckHealth(oldest.ID)
	}
}
