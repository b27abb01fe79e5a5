package balancer

// Decisions: admission. A request is rejected if it would wait too long.

import (
	"math"
	"time"
)

// admits reports whether q may join the queue at w; if not, it is rejected. The expected wait there decides.
//
// The paper does not cover load above capacity. Without admission control every response would then be late
// and the work on it wasted. A class may wait up to the least wait slack of the classes with a higher value
// for each unit of work, times the square of its own rank by value. Capacity thus remains for the classes
// with the highest value. A request that is already late is ranked by the value of a late response.
func (b *Balancer) admits(now time.Duration, q *request, w *worker) bool {
	wait := b.expectedWait(now, w)
	if q.overQuota && b.waitingShare > slowWeight {
		// Otherwise requests over quota would use every slot that becomes free, and other requests would wait
		// or be rejected.
		return false
	}
	if recent := b.decayedRecentWait(now); (now - w.lastWaitAt).Seconds() > recent {
		// One of many dispatchers sends to each worker too rarely to know its queue.
		wait = max(wait, recent)
	}
	slack := b.waitSlack(now, q.Class, w)
	limit := slack - (now - q.arrivedAt).Seconds()
	rates := b.classValueRates()
	rate, notAbove := rates[q.Class], 1.0
	runTime := float64(b.expectedRunTime(q) * b.relativeRunTime(now, w))
	if limit < 0 && wait+runTime < (q.deadline-now).Seconds() {
		// A request that was lost by a failing worker is late when it is retried, and failing it has no
		// value. It is ranked by the value of a late response, that is, below all requests that are not late.
		limit, rate = slack, rate*q.class.LateShare
	}
	if q.overQuota {
		// Otherwise a tenant's requests beyond its quota would use the capacity of all others.
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

// expectedToFinish reports whether q, if it is sent to w now, is expected to end within its timeout.
func (b *Balancer) expectedToFinish(now time.Duration, q *request, w *worker) bool {
	runTime := float64(b.expectedRunTime(q) * b.relativeRunTime(now, w))
	return b.expectedWait(now, w)+runTime <= (q.deadline - now).Seconds()
}

// chargeQuota spends a token of the tenant's bucket for a request, or marks the request as over quota. This
// dispatcher's fraction of the quota is an equal share, or the fraction of their own quotas that the other
// tenants use here, if that is larger.
func (b *Balancer) chargeQuota(now time.Duration, q *request) {
	if q.Tenant < 0 || q.Tenant >= len(b.quotas) || b.settings.OverQuotaWeight >= 1 ||
		b.settings.Tenants[q.Tenant].QuotaPerSecond <= 0 {
		return // no quota
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
	bucket.tokens = min(bucket.tokens+float64(rate*(now-bucket.updatedAt).Seconds()), burst)
	bucket.updatedAt = now
	bucket.offered++
	if q.overQuota = bucket.tokens < 1; !q.overQuota {
		bucket.tokens--
	}
}

// waitSlack returns the wait at w, in seconds, with which a usual request of the class still meets its
// latency objective.
func (b *Balancer) waitSlack(now time.Duration, class int, w *worker) float64 {
	c := &b.settings.Classes[class]
	stretch := c.ObjectiveStretch - b.relativeRunTime(now, w)
	return max(0, c.LatencyObjective.Seconds()+float64(stretch*b.classRunTimes[class]/2))
}

// expectedWait returns the expected wait at w, in seconds, from the requests in flight there.
func (b *Balancer) expectedWait(now time.Duration, w *worker) float64 {
	slots := b.slotsOf(w)
	if b.settings.ReportsStart && b.kindSlots[w.Kind] < 1 {
		// Workers whose slots are never reported count as having one slot. Estimated from that, the wait
		// would cause all requests to be rejected.
		return b.observedWait(now, w)
	}
	return max(0, b.slotsInUse(now, w)+1-slots) / slots * b.meanRunTime * b.relativeRunTime(now, w)
}

// classValueRates returns, by class, what serving it adds to the goal for each unit of work. The result is
// valid until the next call.
func (b *Balancer) classValueRates() []float64 {
	total, worst := 0.0, math.Inf(1)
	for i, t := range b.classTallies {
		total += float64(t.offered * b.settings.Classes[i].PriorityWeight)
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
		b.valueRateBuffer[i] = rate
	}
	return b.valueRateBuffer
}

// servedShare returns the share of the offered load that was served in time. It is near one while little was
// offered.
func (t tally) servedShare() float64 { return (t.served + 1) / (t.offered + 1) }

// goalUnits returns a request's weight in the goal.
func (b *Balancer) goalUnits(q *request) float64 {
	if !b.settings.WeightByWork {
		return 1
	}
	return b.expectedWork(q)
}
