package balancer

// Decisions: what is learned of workers from the ends of attempts and from load reports.

import (
	"cmp"
	"time"
)

// learnFromOutcome updates what is known of a worker from the end of an attempt.
func (b *Balancer) learnFromOutcome(now time.Duration, q *request, a *attempt, o *AttemptOutcome) {
	w := a.worker
	b.applyLoadReport(w, &o.Report)
	switch o.Result {
	case ServerError, ConnectionReset, ConnectFailed:
		b.observeFailure(now, w)
		// Peers are notified, because otherwise each of many dispatchers would lose non-idempotent requests
		// to w before it had seen a failure. Connection errors are not sent, because they may affect this
		// dispatcher only.
		if o.Result == ServerError && b.settings.Limits.PeerMessages {
			b.actions.SendPeer(AllPeers, w.peerMessage())
		}
	case WorkerFull:
		// Its queue is full, so the wait there is at least one running time.
		w.lastWait, w.lastWaitAt = max(b.observedWait(now, w), b.meanRunTime*b.relativeRunTime(now, w)), now
		// Without reports of starts, requests that start without a wait are not seen, and only long waits
		// would be counted.
		if b.settings.ReportsStart {
			b.observeWait(now, w.lastWait)
		}
	case OK:
		w.failureScore = b.decayedFailureScore(now, w) * (1 - fastWeight)
		b.learnRunTime(now, q, a)
	}
}

// learnRunTime updates the averages with the running time of a request that was served.
func (b *Balancer) learnRunTime(now time.Duration, q *request, a *attempt) {
	w := a.worker
	if b.warmUpFactor(now, w) == 1 {
		b.kindLoads[w.Kind].add(b.hintedWork(q), 0, w.lastReportFull)
	}
	ran := (now - max(a.sentAt, a.startedAt)).Seconds()
	usual := &b.classRunTimes[q.Class]
	*usual = cmp.Or(*usual, ran)
	if hint := q.ExpectedWork.Seconds(); hint > 0 {
		b.hintRatio = movingAverage(b.hintRatio, min(ran/hint, maxRunTimeFactor), slowWeight)
	}
	expected := max(b.expectedRunTime(q), epsilon)
	ran = min(ran, maxRunTimeFactor*expected)
	sample := ran / expected * b.warmUpFactor(now, w)
	// Each kind has its own factor: if there are many workers, a dispatcher sends to each one too rarely to
	// learn a factor for each worker. The lower bound keeps running times of zero from making a factor zero.
	kind := &b.kindRunTimeFactors[w.Kind]
	*kind = max(slowWeight, movingAverage(*kind, sample/w.runTimeFactor, slowWeight/4))
	w.runTimeFactor = max(slowWeight, movingAverage(w.runTimeFactor, sample / *kind, slowWeight/4))
	*usual = movingAverage(*usual, ran, slowWeight)
	b.meanRunTime = movingAverage(b.meanRunTime, ran, slowWeight)
	c := q.class
	if (now - q.arrivedAt).Seconds() <= c.LatencyObjective.Seconds()+float64(c.ObjectiveStretch*ran) {
		b.classTallies[q.Class].served += b.goalUnits(q)
	}
}

// applyLoadReport updates the estimate of other dispatchers' requests from a load report, if there is one.
// Reports are delayed and noisy, so they are averaged.
//
// Reports in responses come only from workers that get requests. If they counted much, all dispatchers would
// follow the same outdated reports, reject requests because of them, and so get no newer ones. Health checks
// reach all workers equally, so their reports count more.
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
	w.othersInFlight += float64(weight * (inUse - w.inFlight - w.predecessorInFlight - w.othersInFlight))
}

// decayedRecentWait returns the recent wait of requests at any worker, in seconds. It shrinks over time.
func (b *Balancer) decayedRecentWait(now time.Duration) float64 {
	return max(0, b.recentWait-(now-b.recentWaitAt).Seconds())
}

// observeWait updates the averages with the wait of a request, in seconds.
func (b *Balancer) observeWait(now time.Duration, wait float64) {
	recent := b.decayedRecentWait(now)
	b.recentWait, b.recentWaitAt = movingAverage(recent, wait, fastWeight), now
	if b.waitingShare = float64(b.waitingShare * (1 - slowWeight)); wait > minWaitShare*b.meanRunTime {
		b.waitingShare += slowWeight
	}
}

// movingAverage returns an exponential moving average after one more sample, which counts with the given
// weight.
//
// The conversion rounds the product, here and in all sums of this package: where the processor has fused
// multiply-add, the compiler may otherwise leave that rounding out, and dispatchers on different processors
// would decide differently.
func movingAverage(average, sample, weight float64) float64 {
	return average + float64(weight*(sample-average))
}
