package balancer

// Decisions: whether a request is worth its wait, or is rejected.

import (
	"math"
	"time"
)

// worthWaiting decides whether q joins the queue at w or is rejected, by the wait to be expected there.
//
// Hazard: load above capacity, which the paper leaves out: every response is late and work is wasted. A class
// waits up to the least latency objective of the classes that earn more, times the square of its rank among
// them: those that earn more keep capacity. A request that is late already has the rank of what it may still
// earn.
func (b *Balancer) worthWaiting(now time.Duration, q *request, w *worker) bool {
	wait := b.expectedWait(now, w)
	if q.overQuota && b.waitingShare > slowWeight {
		return false // hazard: requests over quota fill every gap, and others wait or are rejected
	}
	if recent := b.fadedRecentWait(now); (now - w.lastWaitAt).Seconds() > recent {
		// Hazard: one of many dispatchers meets each worker too seldom to know its queue.
		wait = max(wait, recent)
	}
	slack := b.waitSlack(now, q.Class, w)
	limit := slack - (now - q.arrivedAt).Seconds()
	rates := b.classRates()
	rate, notAbove := rates[q.Class], 1.0
	if limit < 0 && wait+b.expectedRunTime(q)*b.relativeRunTime(now, w) < (q.deadline-now).Seconds() {
		// Hazard: what a failing worker loses is late by then, and failing it earns nothing. It counts for
		// what a late response earns, and so gives way to all others.
		limit, rate = slack, rate*q.class.LateShare
	}
	if q.overQuota {
		// Hazard: what one tenant sends beyond its share takes the capacity of all others.
		rate, notAbove = rate*b.settings.OverQuotaWeight, 0
	}
	for i, r := range rates {
		switch {
		case r < rate:
			notAbove++
		case r > rate:
			limit = min(limit, b.waitSlack(now, i, w))
		}
	}
	rank := notAbove / float64(len(rates))
	return wait <= limit*rank*rank
}

// chargeQuota spends a token for a request of its tenant's bucket, or marks the request as over quota. A
// dispatcher's part of a quota is an equal one, or the part of theirs that the other tenants use here, if
// that is more.
func (b *Balancer) chargeQuota(now time.Duration, q *request) {
	if q.Tenant < 0 || q.Tenant >= len(b.quotas) || b.settings.OverQuotaWeight >= 1 ||
		b.settings.Tenants[q.Tenant].QuotaPerSecond <= 0 {
		return // not limited
	}
	offered, allowed := 0.0, 0.0
	for i, other := range b.quotas {
		if i != q.Tenant {
			offered += other.offered
			allowed += b.settings.Tenants[i].QuotaPerSecond
		}
	}
	bucket := &b.quotas[q.Tenant]
	fraction := max(1/float64(b.settings.DispatcherCount), offered/max(allowed*b.observedSeconds, epsilon))
	rate := b.settings.Tenants[q.Tenant].QuotaPerSecond * fraction
	burst := max(rate*b.settings.Rules.SlowStartWindow.Seconds(), minQuotaBurst)
	bucket.tokens = min(bucket.tokens+rate*(now-bucket.updatedAt).Seconds(), burst)
	bucket.updatedAt = now
	bucket.offered++
	if q.overQuota = bucket.tokens < 1; !q.overQuota {
		bucket.tokens--
	}
}

// waitSlack is the wait at w, in seconds, that leaves a usual request of the class within its latency
// objective.
func (b *Balancer) waitSlack(now time.Duration, class int, w *worker) float64 {
	c := &b.settings.Classes[class]
	return max(0, c.LatencyObjective.Seconds()+
		(c.ObjectiveStretch-b.relativeRunTime(now, w))*b.classRunTimes[class]/2)
}

// expectedWait is the wait to be expected at w, in seconds, by the requests in flight there.
func (b *Balancer) expectedWait(now time.Duration, w *worker) float64 {
	slots := b.slotsOf(w)
	if b.settings.ReportsStart && b.kindSlots[w.Kind] < 1 {
		// Hazard: slots that are never reported read as one, and all requests are rejected.
		return b.observedWait(now, w)
	}
	return max(0, b.slotsInUse(now, w)+1-slots) / slots * b.meanRunTime * b.relativeRunTime(now, w)
}

// classRates gives, by class, what serving it adds to the goal for each unit of work. The result is valid
// until the next call.
func (b *Balancer) classRates() []float64 {
	total, worst := 0.0, math.Inf(1)
	for i, t := range b.classTallies {
		total += t.offered * b.settings.Classes[i].PriorityWeight
		worst = min(worst, t.servedShare())
	}
	for i, t := range b.classTallies {
		rate := b.settings.Goal.Overall * b.settings.Classes[i].PriorityWeight / max(total, epsilon)
		if t.servedShare() == worst {
			rate += b.settings.Goal.WorstClass / max(t.offered, epsilon)
		}
		if !b.settings.WeightByWork {
			rate /= max(b.classRunTimes[i], epsilon)
		}
		b.rateBuffer[i] = rate
	}
	return b.rateBuffer
}

// servedShare is the share of what was offered that was served in time, near one while little was offered.
func (t tally) servedShare() float64 { return (t.served + 1) / (t.offered + 1) }

// goalUnits is what a request counts for in the goal.
func (b *Balancer) goalUnits(q *request) float64 {
	if !b.settings.WeightByWork {
		return 1
	}
	return b.expectedWork(q)
}
