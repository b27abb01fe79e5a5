package balancer

// Decisions: which workers' load reports are requested, and which requests wait for them.

import (
	"time"
)

// awaitWorkerState makes q wait for the first list, or for load reports from the least loaded workers of its
// draw, if either is useful. It reports whether q waits.
//
// If many dispatchers share the workers, each one's own counts are zero and what it knows of the queues is
// outdated. A worker whose report does not arrive soon has been removed or is busy.
func (b *Balancer) awaitWorkerState(now time.Duration, q *request) bool {
	q.checked, q.reportsReceived, q.waitingSince = q.checked[:0], 0, now
	q.startRoute()
	if q.waiting = b.awaitsFirstList(now, q); q.waiting {
		b.waiting = append(b.waiting, q)
		return true
	}
	b.loadsStale = b.settings.LoadReportsByCheck && b.settings.Limits.HealthChecks &&
		float64(len(b.workers))*b.observedSeconds >
			float64(b.arrivals*b.minTimeout.Seconds())*staleReportTimeouts
	if !b.loadsStale {
		return false
	}
	draw := b.drawWorkers(now, q)
	for i := range min(checksPerDraw, len(draw)) {
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

// releaseWaiting dispatches the requests that have all the load reports that they wait for, or have waited
// long enough.
func (b *Balancer) releaseWaiting(now time.Duration) {
	b.waiting = filter(b.waiting, func(q *request) bool {
		wait := q.class.LatencyObjective / checkWaitDivisor
		if !q.responded &&
			(b.awaitsFirstList(now, q) || q.reportsReceived < len(q.checked) && now-q.waitingSince < wait) {
			return true
		}
		if q.waiting = false; q.responded {
			b.removeIfDone(q)
		} else if !b.startAttempt(now, q) {
			b.rejectOrFail(q)
		}
		return false
	})
}

// checkStalest requests the load report of the worker whose report was requested longest ago, if load reports
// come only with health checks. It is called once for each request.
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
