package balancer

// Decisions: whether a request is worth its wait, or is refused.

import (
	"math"
	"time"
)

// worthIt decides whether q joins the queue at w or is refused, by the wait to be expected there.
//
// Hazard: load above capacity, which the paper leaves out: every answer is late and work is wasted.
// A class waits up to the least aim of those worth more, and the square of its rank among them of
// that: the worthier keep room. A job that is late already has the rank of what it may still earn.
func (b *Balancer) worthIt(now time.Duration, q *request, w *worker) bool {
	wait := b.waitAt(now, w)
	if q.excess && b.crowd > slow {
		return false // hazard: excess fills every gap, and others' jobs wait or are turned away
	}
	if usual := b.usualWait(now); (now - w.waitT).Seconds() > usual {
		wait = max(wait, usual) // hazard: one of many meets each worker too seldom to know its queue
	}
	slack := b.slack(now, q.Class, w)
	most := slack - (now - q.came).Seconds()
	values := b.rate()
	value, less := values[q.Class], 1.0
	if most < 0 && wait+b.expect(q)*b.paceOf(now, w) < (q.deadline-now).Seconds() {
		// Hazard: what a dying worker loses is late by then, and failing it earns nothing. It counts for
		// what a late answer earns, and so gives way to all others.
		most, value = slack, value*q.class.LateShare
	}
	if q.excess {
		// Hazard: what one tenant sends beyond its share takes the room of all others.
		value, less = value*b.set.OverQuotaWeight, 0
	}
	for i, v := range values {
		switch {
		case v < value:
			less++
		case v > value:
			most = min(most, b.slack(now, i, w))
		}
	}
	rank := less / float64(len(values))
	return wait <= most*rank*rank
}

// claim takes a request from what is left of its tenant's allowance, or marks it as excess. A dispatcher's
// part of the allowance is its share among all, or as much as the other tenants use of theirs here.
func (b *Balancer) claim(now time.Duration, q *request) {
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) || b.set.OverQuotaWeight >= 1 ||
		b.set.Tenants[q.Tenant].QuotaPerSecond <= 0 {
		return // not limited
	}
	asked, allowed := 0.0, 0.0
	for i, t := range b.tenants {
		if i != q.Tenant {
			asked += t.asked
			allowed += b.set.Tenants[i].QuotaPerSecond
		}
	}
	t := &b.tenants[q.Tenant]
	part := max(1/float64(b.set.DispatcherCount), asked/max(allowed*b.watched, tiny))
	rate := b.set.Tenants[q.Tenant].QuotaPerSecond * part
	t.left = min(t.left+rate*(now-t.at).Seconds(), max(rate*b.set.Rules.SlowStartWindow.Seconds(), spare))
	t.at = now
	t.asked++
	if q.excess = t.left < 1; !q.excess {
		t.left--
	}
}

// slack is the wait at w that leaves a usual job of the class in time.
func (b *Balancer) slack(now time.Duration, class int, w *worker) float64 {
	c := &b.set.Classes[class]
	return max(0, c.LatencyObjective.Seconds()+(c.ObjectiveStretch-b.paceOf(now, w))*b.usual[class]/2)
}

// waitAt is the wait to be expected at w, from the jobs held there.
func (b *Balancer) waitAt(now time.Duration, w *worker) float64 {
	k := b.slotsOf(w)
	if b.set.ReportsStart && b.slots[w.Kind] < 1 {
		return b.seenWait(now, w) // hazard: slots never reported read as one, and all is refused
	}
	return max(0, b.held(now, w)+1-k) / k * b.mean * b.paceOf(now, w)
}

// rate gives, by class, what serving it adds to the goal for each unit of work.
func (b *Balancer) rate() []float64 {
	total, worst := 0.0, math.Inf(1)
	for i, t := range b.tallies {
		total += t.asked * b.set.Classes[i].PriorityWeight
		worst = min(worst, t.share())
	}
	for i, t := range b.tallies {
		v := b.set.Goal.Overall * b.set.Classes[i].PriorityWeight / max(total, tiny)
		if t.share() == worst {
			v += b.set.Goal.WorstClass / max(t.asked, tiny)
		}
		if !b.set.WeightByWork {
			v /= max(b.usual[i], tiny)
		}
		b.values[i] = v
	}
	return b.values
}

// share is the part of what was asked that was served, near one while little was asked.
func (t tally) share() float64 { return (t.served + 1) / (t.asked + 1) }

// units is what a request counts for in the goal.
func (b *Balancer) units(q *request) float64 {
	if !b.set.WeightByWork {
		return 1
	}
	return b.cost(q)
}
