package balancer

// Decisions: how much a worker that has just started is sent (slow start).

import (
	"math"
	"time"
)

// warmUpFactor is the least share of its capacity that w has, by its age: 1 after the slow-start window.
func (b *Balancer) warmUpFactor(now time.Duration, w *worker) float64 {
	r := &b.settings.Rules
	if w.StartedAt <= 0 || now-w.StartedAt >= r.SlowStartWindow {
		return 1
	}
	age := float64(max(now-w.StartedAt, 0)) / float64(r.SlowStartWindow)
	return max(r.SlowStartMinShare+(1-r.SlowStartMinShare)*age, epsilon)
}

// withinSlowStart reports whether the slow-start budget of a worker has room for work. A warm worker always
// has.
//
// Hazard: a worker that warms up has no requests in flight by any dispatcher's count, and is overloaded. What
// it can take now is estimated as its share, by age, of the load from this dispatcher that warm workers of
// its kind finish; all dispatchers together keep to the whole. Without anything to estimate by, the budget is
// nothing.
func (b *Balancer) withinSlowStart(now time.Duration, w *worker, work float64) bool {
	rules, warmUp := &b.settings.Rules, b.warmUpFactor(now, w)
	if warmUp == 1 || rules.OverloadFactor <= 0 || rules.OverloadWindow <= 0 {
		return true
	}
	// Hazard: such a worker takes so many usual requests, and so much work. Where most requests are far
	// smaller than the mean, a budget in work alone would let several times that number through.
	mean := b.meanHintedWork()
	budget := b.slowStartBudget(w, warmUp, mean)
	slot, ok := b.timeSlotFor(budget, mean, max(work, mean))
	if !ok || !b.inTimeSlot(now, w, slot.windows) {
		return false
	}
	sum, number := work, 1.0
	for _, s := range w.slowStartSent {
		if now-s.at < rules.OverloadWindow*time.Duration(slot.windows) {
			sum += s.work
			number++
		}
	}
	return max(sum, number*mean) <= budget*slot.usedShare*float64(slot.windows)
}

// slowStartBudget is this dispatcher's part of the work that a worker takes in one overload window while it
// warms up, with half of the rule's margin for chance.
func (b *Balancer) slowStartBudget(w *worker, warmUp, mean float64) float64 {
	rules := &b.settings.Rules
	budget := rules.OverloadFactor * warmUp * b.warmRate(w.Kind) * rules.OverloadWindow.Seconds()
	requests := budget * float64(b.settings.DispatcherCount) / max(mean, epsilon)
	if mean > 0 && requests > 0 {
		budget *= 1 + chanceMargin(requests)/2/requests
	}
	return budget
}

// chanceMargin is how many requests the overload rule allows in a window beyond those that it is stated for.
func chanceMargin(requests float64) float64 {
	if requests < 30 {
		return 3*math.Sqrt(requests) + 3
	}
	return 2*math.Sqrt(requests) + 2
}

// timeSlot is how a dispatcher spends its part of a worker's slow-start budget: one overload window in so
// many is its own, and of all that its part comes to over them it may spend a share.
type timeSlot struct {
	windows   int
	usedShare float64
}

// timeSlotFor is the shortest cycle of time slots in which a dispatcher's budget is enough for a request, if
// there is one.
//
// Hazard: the budget of one of many dispatchers is less than a request, and all leave the worker idle; or
// they save their budgets up, and all send at once when other workers are removed. Such a request needs as
// many windows as make the budget large enough, and goes only in this dispatcher's time slot among as many.
func (b *Balancer) timeSlotFor(budget, mean, need float64) (timeSlot, bool) {
	if budget <= 0 {
		return timeSlot{}, false
	}
	// Any window can meet two time slots, beside what all others spend without slots. A dispatcher whose
	// budget is never enough without slots has only them, and two may take the whole of what it has.
	n := float64(b.settings.DispatcherCount)
	steady := (1 + 1/max(n, 2)) / 2
	inSlot := (1 - steady*(n-2)/n) / 2
	if budget*steady < mean {
		inSlot = max(inSlot, 0.5)
	}
	slot := timeSlot{1, steady}
	for budget*slot.usedShare*float64(slot.windows) < need {
		if slot.windows >= b.maxWindows() {
			return timeSlot{}, false
		}
		slot = timeSlot{min(nextWindows(slot.windows), b.maxWindows()), inSlot}
	}
	return slot, true
}

// maxWindows is the longest cycle of time slots, in windows. A dispatcher alone has no slots.
func (b *Balancer) maxWindows() int { return 2*b.settings.DispatcherCount - 1 }

// nextWindows is the next length of a cycle: 1, 2, 3, 4, 6, 8, 12 and so on.
func nextWindows(windows int) int {
	if powerOfTwo := windows&(windows-1) == 0; !powerOfTwo {
		return windows * 4 / 3
	}
	return max(windows*3/2, windows+1)
}

// inTimeSlot reports whether this dispatcher's time slot at w is now, by the worker's age, which all
// dispatchers know alike.
func (b *Balancer) inTimeSlot(now time.Duration, w *worker, windows int) bool {
	window := int((now - w.StartedAt) / b.settings.Rules.OverloadWindow)
	return (window+int(w.ID)+b.settings.DispatcherIndex)%windows == 0
}

// warmRate is the work from this dispatcher that a warm worker of a kind finishes, in slot seconds a second.
//
// Hazard: a release replaces every worker of a kind, and a dispatcher that starts then has no record of that
// kind, nor a warm worker to make one: all of them would stay idle until warm. The kind that takes least
// stands in for it.
func (b *Balancer) warmRate(kind int) float64 {
	if r := b.kindRate(kind); r > 0 {
		return r
	}
	least := 0.0
	for i := range b.kindLoads {
		if r := b.kindRate(i); r > 0 && (least == 0 || r < least) {
			least = r
		}
	}
	return least // hazard: where no kind was observed, nothing
}

// kindRate is what this dispatcher has observed of one kind alone.
//
// Hazard: where warm workers are not full, what they take is less than what they can take, and workers that
// warm up stand idle while warm ones queue. What the full ones took counts more, the longer some were full;
// all dispatchers' parts of it add up to what they can take. Reported slots don't: there may be more slots
// than cores.
func (b *Balancer) kindRate(kind int) float64 {
	l := &b.kindLoads[kind]
	rate := l.work / max(l.seconds, epsilon)
	return max(rate, (rate*fullPriorSeconds+l.fullWork)/(fullPriorSeconds+l.fullSeconds))
}

// expectedWork is the work that a request is expected to be, in slot seconds.
func (b *Balancer) expectedWork(q *request) float64 { return b.expectedRunTime(q) * q.slotsNeeded() }

// hintedWork is expectedWork by the hints' own measure. Hazard: running times have waits in them, and so
// requests during overload seem to be more work than the same requests after it: a budget from then would be
// too large.
func (b *Balancer) hintedWork(q *request) float64 {
	return b.expectedWork(q) / max(b.hintRatio, epsilon)
}

// meanHintedWork is the mean of recent requests, in slot seconds.
func (b *Balancer) meanHintedWork() float64 { return b.arrivedWork / max(b.arrivals, epsilon) }

// slotsNeeded is what q takes of a worker: its slots, or its memory where that is more.
func (q *request) slotsNeeded() float64 { return max(q.Slots, q.Memory, 1) }

// expectedRunTime is how many seconds q is expected to run at a usual worker: by its hint, else by its class.
func (b *Balancer) expectedRunTime(q *request) float64 {
	if q.ExpectedWork > 0 && b.hintRatio > 0 {
		return q.ExpectedWork.Seconds() * b.hintRatio
	}
	if b.classRunTimes[q.Class] > 0 {
		return b.classRunTimes[q.Class]
	}
	return b.meanRunTime
}
