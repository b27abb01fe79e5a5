package balancer

// Decisions: what is learned of workers from the ends of attempts and from load reports.

import (
	"cmp"
	"time"
)

// learn takes what the end of an attempt shows of its worker.
func (b *Balancer) learn(now time.Duration, q *request, a *attempt, o *AttemptOutcome) {
	w := a.worker
	b.applyLoadReport(w, &o.Report)
	switch o.Result {
	case ServerError, ConnectionReset, ConnectFailed:
		b.observeFailure(now, w)
		// Hazard: each of many dispatchers would lose non-idempotent requests to w before it knows. A broken
		// connection may be this dispatcher's alone.
		if o.Result == ServerError && b.settings.Limits.PeerMessages {
			b.actions.SendPeer(AllPeers, w.peerMessage())
		}
	case WorkerFull:
		// Its queue is full: the wait there is a running time at least.
		w.lastWait, w.lastWaitAt = max(b.observedWait(now, w), b.meanRunTime*b.relativeRunTime(now, w)), now
		// Hazard: without reports of starts no request is observed to meet no wait, and only long ones count.
		if b.settings.ReportsStart {
			b.observeWait(now, w.lastWait)
		}
	case OK:
		w.failureScore = b.fadedFailureScore(now, w) * (1 - fastWeight)
		b.learnRunTime(now, q, a)
	}
}

// learnRunTime takes the running time of a request that was served.
func (b *Balancer) learnRunTime(now time.Duration, q *request, a *attempt) {
	w := a.worker
	if b.warmUpFactor(now, w) == 1 {
		b.kindLoads[w.Kind].add(b.hintedWork(q), 0, w.lastReportFull)
	}
	ran := (now - max(a.sentAt, a.startedAt)).Seconds()
	usual := &b.classRunTimes[q.Class]
	*usual = cmp.Or(*usual, ran)
	if hint := q.ExpectedWork.Seconds(); hint > 0 {
		b.hintRatio += slowWeight * (min(ran/hint, maxRunTimeFactor) - b.hintRatio)
	}
	expected := max(b.expectedRunTime(q), epsilon)
	ran = min(ran, maxRunTimeFactor*expected)
	sample := ran / expected * b.warmUpFactor(now, w)
	// Hazards: each of many workers is met too seldom to know it by itself; running times of nothing would
	// leave a factor of zero.
	kind := &b.kindRunTimeFactors[w.Kind]
	*kind = max(slowWeight, *kind+slowWeight/4*(sample/w.runTimeFactor-*kind))
	w.runTimeFactor = max(slowWeight, w.runTimeFactor+slowWeight/4*(sample / *kind - w.runTimeFactor))
	*usual += slowWeight * (ran - *usual)
	b.meanRunTime += slowWeight * (ran - b.meanRunTime)
	c := q.class
	if (now - q.arrivedAt).Seconds() <= c.LatencyObjective.Seconds()+c.ObjectiveStretch*ran {
		b.classTallies[q.Class].served += b.goalUnits(q)
	}
}

// applyLoadReport takes a load report, if there is one. It is delayed and noisy, and so is averaged.
//
// Hazard: reports in responses come only from where requests go, so that all dispatchers follow the same
// outdated reports, reject by them, and get no others: they count little. Health checks reach every worker
// alike, and their reports count more.
func (b *Balancer) applyLoadReport(w *worker, r *LoadReport) {
	if !r.Received || r.FreeSlots < 0 {
		return
	}
	b.kindSlots[w.Kind] = max(b.kindSlots[w.Kind], r.FreeSlots)
	w.lastReportFull = r.FreeSlots <= nearlyFullShare*b.kindSlots[w.Kind]
	inUse := b.kindSlots[w.Kind] - r.FreeSlots + max(r.QueueLength, 0)
	weight := slowWeight
	if b.settings.LoadReportsByCheck {
		weight = fastWeight
	}
	if b.loadsStale {
		weight = 1 // what was known before is outdated
	}
	w.othersInFlight += weight * (inUse - w.inFlight - w.otherProcessInFlight - w.othersInFlight)
}

// fadedRecentWait is the wait that requests have met lately, at any worker, in seconds. It shortens with
// time.
func (b *Balancer) fadedRecentWait(now time.Duration) float64 {
	return max(0, b.recentWait-(now-b.recentWaitAt).Seconds())
}

// observeWait takes a wait that a request has met, in seconds.
func (b *Balancer) observeWait(now time.Duration, wait float64) {
	recent := b.fadedRecentWait(now)
	b.recentWait, b.recentWaitAt = recent+fastWeight*(wait-recent), now
	if b.waitingShare *= 1 - slowWeight; wait > earlyWaitShare*b.meanRunTime {
		b.waitingShare += slowWeight
	}
}
