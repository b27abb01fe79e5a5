package balancer

import (
	"math"
	"time"
)

// The constants of the decisions. Those without a source were chosen by runs of the simulator and of the
// model world; docs/measurements.md has the figures.
const (
	// fastWeight is the weight of a new success, failure or health check in its average. slowWeight is that
	// of what varies far more, a running time or the load report of a response; a quarter of it that of a
	// worker's own running times.
	fastWeight, slowWeight = 0.3, 0.08
	// fullPriorSeconds: so many seconds of full workers count as much as all that was observed of a kind.
	fullPriorSeconds = 4
	// nearlyFullShare of its slots may be free at a worker that counts as full.
	nearlyFullShare = 0.25
	// maxRunTimeFactor is how many usual running times a single one may count for.
	maxRunTimeFactor = 4
	// ejectionScore is the failure score from which a worker is ejected. For a non-idempotent request, which
	// a failure loses, half of it is enough.
	ejectionScore = 0.25
	// waitDrainRate is how many seconds an observed wait shortens by each second. Scores are flat from 2 to
	// 8.
	waitDrainRate = 2
	// earlyWaitShare of a usual running time is the least wait that counts as one.
	earlyWaitShare = 0.25
	// silentIntervals: a worker that has missed so many progress reports is unresponsive.
	silentIntervals = 3
	// homeStepLoad is how many requests each worker between a dispatcher's home and a worker counts for.
	homeStepLoad = 0.25
	// crossZoneLoad is how much load another zone counts for, as a multiple of its cost.
	crossZoneLoad = 10
	// maxCrossZoneLoad bounds that: a worker of this zone that is half full is no better than an idle remote
	// one.
	maxCrossZoneLoad = 0.5
	// minQuotaBurst is the least number of requests that a tenant's token bucket holds.
	minQuotaBurst = 5
	// checkedChoices is how many workers of a draw get a health check.
	checkedChoices = 3
	// checkWaitDivisor: a request waits this part of its latency objective for the load reports.
	checkWaitDivisor = 16
	// manyDispatchers is how many must not request the list at the same time.
	manyDispatchers = 8
	// firstListSpread: many dispatchers spread their first calls for the list over this part of the least
	// timeout.
	firstListSpread = 16
	// firstListDivisor: requests wait for the first list for this part of the least timeout, and of their
	// own.
	firstListDivisor = 2
	// maxListBackoff is the longest wait before the list is requested again. Hazard: when its service is back
	// after a long outage, all that it has to report counts as reported 6 s later.
	maxListBackoff = 4 * time.Second
	// staleTimeouts: load reports older than so many of the least timeouts are no measure of a queue.
	staleTimeouts = 2
	// epsilon keeps divisors off zero.
	epsilon = 1e-9
	// maxStall is how long a process may be stalled between reading its clock and writing to a socket.
	maxStall = 150 * time.Millisecond
)

// place gives a request without an attempt in flight its next one, maybe after waiting for load reports, or
// its final response.
func (b *Balancer) place(now time.Duration, q *request) {
	if !b.awaitWorkerState(now, q) && !b.startAttempt(now, q) {
		b.rejectOrFail(q)
	}
}

// startAttempt starts an attempt if a worker is eligible and the wait there acceptable, and reports whether
// it has.
//
// Where the request's route has tiers, the first one with such a worker is used, as far as the route lets the
// request spill over. Ejected workers come after all tiers.
func (b *Balancer) startAttempt(now time.Duration, q *request) bool {
	for q.startRoute(); ; {
		w := b.pickWorker(now, q)
		if w != nil && (w.owedRequest && len(q.attempts) == 0 || b.worthWaiting(now, q, w)) {
			b.send(now, q, w)
			return true
		}
		if !q.nextTier(w != nil) {
			return false
		}
	}
}

// sweepInterval is the time between sweeps: an overdue response must fall into the response slack.
func (b *Balancer) sweepInterval() time.Duration {
	return max(b.settings.Rules.ResponseSlack/2, b.settings.MinEventInterval, time.Millisecond)
}

// sweep does what no event calls for.
func (b *Balancer) sweep(now time.Duration) {
	if b.settings.ReportsStart {
		b.updateUnstartedWaits(now)
	}
	b.hedge(now)
	for i := len(b.requests) - 1; i >= 0; i-- {
		// Hazard: an attempt's end is never reported, and the client's time runs out without a response.
		if q := b.requests[i]; !q.responded && now >= q.deadline {
			b.rejectOrFail(q)
		}
	}
	b.releaseWaiting(now)
	b.updateAverages(now)
	if b.rejectedCount+b.failedCount > 0 && now >= b.loggedAt+b.minTimeout {
		b.loggedAt = now
		b.actions.Log(b.summary(now))
	}
}

// updateUnstartedWaits updates how long workers have left attempts unstarted.
func (b *Balancer) updateUnstartedWaits(now time.Duration) {
	for _, q := range b.requests {
		for i := range q.attempts {
			if a := &q.attempts[i]; !a.ended && a.startedAt == 0 {
				a.worker.unstartedWait = max(a.worker.unstartedWait, (now - a.sentAt).Seconds())
			}
		}
	}
}

// updateAverages fades the averages, which go back one slow-start window, and adds the time that has passed.
//
// Hazard: each sweep would visit every worker of many; so this runs 64 times in a window.
func (b *Balancer) updateAverages(now time.Duration) {
	window := max(b.settings.Rules.SlowStartWindow, time.Second)
	if now < b.averagedAt+window/64 {
		return
	}
	dt := (now - b.averagedAt).Seconds()
	b.averagedAt = now
	b.fadeAverages(math.Exp(-dt / window.Seconds()))
	b.observedSeconds += dt
	for _, w := range b.workers {
		if w.State == Ready && b.warmUpFactor(now, w) == 1 {
			b.kindLoads[w.Kind].add(0, dt, w.lastReportFull)
		}
	}
}
