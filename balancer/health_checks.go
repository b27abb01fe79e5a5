package balancer

// Decisions: which workers' load reports are requested, and which requests wait for them.

import (
	"time"
)

// awaitWorkerState has q wait for the first list, or for load reports of the least loaded workers of its
// draw, if that is of use. It reports whether q waits.
//
// Hazard: where many dispatchers share workers, each one's counts are zero and what it knows of a queue is
// outdated. A report that does not come soon shows a worker that is removed or busy.
func (b *Balancer) awaitWorkerState(now time.Duration, q *request) bool {
	q.checked, q.answered, q.waitingSince = q.checked[:0], 0, now
	q.startRoute()
	if q.waiting = b.awaitsFirstList(now, q); q.waiting {
		b.waiting = append(b.waiting, q)
		return true
	}
	b.loadsStale = b.settings.LoadReportsByCheck && b.settings.Limits.HealthChecks &&
		float64(len(b.workers))*b.observedSeconds > b.arrivals*b.minTimeout.Seconds()*staleTimeouts
	if !b.loadsStale {
		return false
	}
	draw := b.drawWorkers(now, q)
	for i := range min(checkedChoices, len(draw)) {
		w := b.leastLoaded(now, q, draw[i:])
		q.checked = append(q.checked, w)
		w.checkedAt = now
		b.actions.CheckHealth(w.ID)
	}
	if q.waiting = len(q.checked) > 0; q.waiting {
		b.waiting = append(b.waiting, q)
	}
	return q.waiting
}

// releaseWaiting places the requests that have all load reports that they wait for, or have waited long
// enough.
func (b *Balancer) releaseWaiting(now time.Duration) {
	b.waiting = filter(b.waiting, func(q *request) bool {
		wait := q.class.LatencyObjective / checkWaitDivisor
		if !q.responded &&
			(b.awaitsFirstList(now, q) || q.answered < len(q.checked) && now-q.waitingSince < wait) {
			return true
		}
		if q.waiting = false; q.responded {
			b.forget(q)
		} else if !b.startAttempt(now, q) {
			b.rejectOrFail(q)
		}
		return false
	})
}

// checkStalest requests the load report of the worker whose last one is oldest, where reports come no other
// way: one for each request.
func (b *Balancer) checkStalest(now time.Duration) {
	if !b.settings.LoadReportsByCheck || !b.settings.Limits.HealthChecks {
		return
	}
	var stalest *worker
	for _, w := range b.workers {
		if w.State == Ready && (stalest == nil || w.checkedAt < stalest.checkedAt) {
			stalest = w
		}
	}
	if stalest != nil {
		stalest.checkedAt = now
		b.actions.CheckHealth(stalest.ID)
	}
}
