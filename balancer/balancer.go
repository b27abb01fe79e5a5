package balancer

import (
	"time"

	"moorstack/internal/portablemath"
)

// The constants of the decisions.
const (
	// fastWeight is the weight of a new success, failure or health check in its moving average. slowWeight is
	// the weight of values with a far larger variance: running times and load reports in responses. The
	// run-time factors of workers and of kinds use a quarter of slowWeight.
	fastWeight, slowWeight = 0.3, 0.08
	// fullPriorSeconds is the weight of a kind's average rate in kindRate: once its full workers have been
	// observed for this many seconds, their rate and the average rate count equally.
	fullPriorSeconds = 4
	// nearlyFullShare is the largest share of free slots with which a worker counts as full.
	nearlyFullShare = 0.25
	// maxRunTimeFactor caps a single running time, as a multiple of the expected one.
	maxRunTimeFactor = 4
	// ejectionScore is the failure score from which a worker is ejected. Half of it is enough for
	// non-idempotent requests, because a failure loses them.
	ejectionScore = 0.25
	// waitDrainRate is the number of seconds by which an observed wait shrinks each second.
	waitDrainRate = 2
	// minWaitShare is the shortest delay that counts as a wait, as a share of the mean running time.
	minWaitShare = 0.25
	// unresponsiveIntervals is the number of missed progress reports after which a worker counts as
	// unresponsive.
	unresponsiveIntervals = 3
	// ringStepLoad is the load, in requests, that is added to a worker's load for each step on the ring
	// between the dispatcher and the worker.
	ringStepLoad = 0.25
	// crossZoneLoad is the load that is added for a worker in another zone, as a multiple of Costs.CrossZone.
	crossZoneLoad = 10
	// maxCrossZoneLoad bounds that load, so that a half-full worker of this zone is not preferred to an idle
	// one of another zone.
	maxCrossZoneLoad = 0.5
	// minQuotaBurst is the least number of requests that a tenant's token bucket holds.
	minQuotaBurst = 5
	// checksPerDraw is the number of workers of a draw that get a health check.
	checksPerDraw = 3
	// checkWaitDivisor limits how long a request waits for load reports: its latency objective divided by
	// this.
	checkWaitDivisor = 16
	// listSpreadThreshold is the least number of dispatchers whose calls for the list are spread over time.
	listSpreadThreshold = 8
	// firstListSpreadDivisor sets the period over which first calls for the list are spread: the least
	// timeout of a class divided by this.
	firstListSpreadDivisor = 16
	// firstListWaitDivisor limits how long a request waits for the first list: at most its timeout divided by
	// this after its arrival, and at most the least timeout of a class divided by this after the start.
	firstListWaitDivisor = 2
	// maxListBackoff is the longest wait before the list is requested again. A state that discovery reports
	// after a long outage counts as known 6 s after the outage ends, so the list must be requested before
	// that.
	maxListBackoff = 4 * time.Second
	// staleReportTimeouts is the age from which load reports are too old to estimate a queue, as a multiple
	// of the least timeout of a class.
	staleReportTimeouts = 2
	// epsilon prevents division by zero.
	epsilon = 1e-9
	// maxStall is how long the process may be suspended between reading its clock and writing to a socket.
	maxStall = 150 * time.Millisecond
)

// dispatch starts the next attempt of a request that has none in flight, possibly after waiting for load
// reports, or sends its final response.
func (b *Balancer) dispatch(now time.Duration, q *request) {
	if !b.awaitWorkerState(now, q) && !b.startAttempt(now, q) {
		b.rejectOrFail(q)
	}
}

// startAttempt starts an attempt if a worker is eligible and the wait there is acceptable, and reports
// whether it did.
//
// If the request's route has tiers, the first tier with such a worker is used, as long as the route lets the
// request spill over. Ejected workers are tried after all tiers.
func (b *Balancer) startAttempt(now time.Duration, q *request) bool {
	for q.startRoute(); ; {
		w := b.pickWorker(now, q)
		if w != nil && (!q.MustFinish || b.expectedToFinish(now, q, w)) &&
			(w.needsTrialRequest && len(q.attempts) == 0 || b.admits(now, q, w)) {
			b.send(now, q, w)
			return true
		}
		if !q.nextTier(w != nil) {
			return false
		}
	}
}

// sweepInterval is the time between sweeps. It is at most half of the response slack, so that an overdue
// request is responded to within the slack.
func (b *Balancer) sweepInterval() time.Duration {
	return max(b.settings.Rules.ResponseSlack/2, b.settings.MinEventInterval, time.Millisecond)
}

// sweep does the periodic work that no event triggers.
func (b *Balancer) sweep(now time.Duration) {
	if b.settings.ReportsStart {
		b.updateUnstartedWaits(now)
	}
	b.hedge(now)
	for i := len(b.requests) - 1; i >= 0; i-- {
		// If the end of an attempt is never reported, its client still needs a response in time.
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

// updateUnstartedWaits updates how long each worker has left the oldest attempt unstarted.
func (b *Balancer) updateUnstartedWaits(now time.Duration) {
	for _, q := range b.requests {
		for i := range q.attempts {
			if a := &q.attempts[i]; !a.ended && a.startedAt == 0 {
				a.worker.unstartedWait = max(a.worker.unstartedWait, (now - a.sentAt).Seconds())
			}
		}
	}
}

// updateAverages decays the averages, which cover about one slow-start window, and adds the time since the
// last update.
//
// It runs 64 times in a window, because visiting every worker in each sweep would cost too much where there
// are many.
func (b *Balancer) updateAverages(now time.Duration) {
	window := max(b.settings.Rules.SlowStartWindow, time.Second)
	if now < b.averagedAt+window/64 {
		return
	}
	dt := (now - b.averagedAt).Seconds()
	b.averagedAt = now
	b.decayAverages(portablemath.Exp(-dt / window.Seconds()))
	b.observedSeconds += dt
	for _, w := range b.workers {
		if w.State == Ready && b.warmUpFactor(now, w) == 1 {
			b.kindLoads[w.Kind].add(0, dt, w.lastReportFull)
		}
	}
}
