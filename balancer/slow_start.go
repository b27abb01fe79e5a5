package balancer

// Decisions: how much is sent to a worker that has just started (slow start).

import (
	"math"
	"time"
)

// warmUpFactor returns the least share of its capacity that w has at its age. It is 1 after the slow-start
// window.
func (b *Balancer) warmUpFactor(now time.Duration, w *worker) float64 {
	r := &b.settings.Rules
	if w.StartedAt <= 0 || now-w.StartedAt >= r.SlowStartWindow {
		return 1
	}
	age := float64(max(now-w.StartedAt, 0)) / float64(r.SlowStartWindow)
	return max(r.SlowStartMinShare+float64((1-r.SlowStartMinShare)*age), epsilon)
}

// withinSlowStart reports whether the slow-start budget of a worker has room for more work. For a warm worker
// it always has.
//
// Without a budget, a worker that is warming up would be overloaded, because every dispatcher sees no
// requests in flight there. Its capacity is estimated as a share, by its age, of the load from this
// dispatcher that warm workers of its kind finish; the budgets of all dispatchers add up to the whole.
// Without any observed load, the budget is zero.
func (b *Balancer) withinSlowStart(now time.Duration, w *worker, work float64) bool {
	rules, warmUp := &b.settings.Rules, b.warmUpFactor(now, w)
	if warmUp == 1 || rules.OverloadFactor <= 0 || rules.OverloadWindow <= 0 {
		return true
	}
	// The budget limits both the number of usual requests and their work. If most requests are far smaller
	// than the mean, a budget in work alone would allow several times that number.
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

// slowStartBudget returns this dispatcher's part of the work that a warming worker may get in one overload
// window. It includes half of the rule's statistical margin.
func (b *Balancer) slowStartBudget(w *worker, warmUp, mean float64) float64 {
	rules := &b.settings.Rules
	budget := rules.OverloadFactor * warmUp * b.warmRate(w.Kind) * rules.OverloadWindow.Seconds()
	requests := budget * float64(b.settings.DispatcherCount) / max(mean, epsilon)
	if mean > 0 && requests > 0 {
		budget *= 1 + statisticalMargin(requests)/2/requests
	}
	return budget
}

// statisticalMargin returns how many requests the overload rule allows in a window beyond its nominal number.
func statisticalMargin(requests float64) float64 {
	if requests < 30 {
		return float64(3*math.Sqrt(requests)) + 3
	}
	return float64(2*math.Sqrt(requests)) + 2
}

// timeSlot describes how a dispatcher uses its part of a worker's slow-start budget: in one of every windows
// overload windows it may use the share usedShare of its budget for all of these windows.
type timeSlot struct {
	windows   int
	usedShare float64
}

// timeSlotFor returns the shortest cycle of time slots in which a dispatcher's budget is large enough for a
// request, if there is one.
//
// With many dispatchers, each one's budget can be smaller than a request. Without time slots, all of them
// would leave the worker idle, or would accumulate their budgets and all send at once when other workers are
// removed. Such a request is sent only in this dispatcher's time slot of a cycle, which has as many windows
// as make the budget large enough.
func (b *Balancer) timeSlotFor(budget, mean, need float64) (timeSlot, bool) {
	if budget <= 0 {
		return timeSlot{}, false
	}
	// Any window can overlap the time slots of two dispatchers, and contains what all the others send without
	// slots. A dispatcher whose budget without slots is too small for a mean request sends only in its slots,
	// so two slots together may use the entire budget.
	n := float64(b.settings.DispatcherCount)
	unslottedShare := (1 + 1/max(n, 2)) / 2
	slottedShare := (1 - unslottedShare*(n-2)/n) / 2
	if budget*unslottedShare < mean {
		slottedShare = max(slottedShare, 0.5)
	}
	slot := timeSlot{1, unslottedShare}
	for budget*slot.usedShare*float64(slot.windows) < need {
		if slot.windows >= b.maxWindows() {
			return timeSlot{}, false
		}
		slot = timeSlot{min(nextWindows(slot.windows), b.maxWindows()), slottedShare}
	}
	return slot, true
}

// maxWindows returns the longest cycle of time slots, in windows. It is 1 for a single dispatcher, which
// needs no slots.
func (b *Balancer) maxWindows() int { return 2*b.settings.DispatcherCount - 1 }

// nextWindows returns the next length of a cycle: 1, 2, 3, 4, 6, 8, 12 and so on.
func nextWindows(windows int) int {
	if powerOfTwo := windows&(windows-1) == 0; !powerOfTwo {
		return windows * 4 / 3
	}
	return max(windows*3/2, windows+1)
}

// inTimeSlot reports whether it is this dispatcher's time slot at w. Slots depend on the worker's age, which
// is the same for all dispatchers.
func (b *Balancer) inTimeSlot(now time.Duration, w *worker, windows int) bool {
	window := int((now - w.StartedAt) / b.settings.Rules.OverloadWindow)
	return (window+int(w.ID)+b.settings.DispatcherIndex)%windows == 0
}

// warmRate returns the work from this dispatcher that a warm worker of a kind finishes, in slot seconds per
// second.
//
// For a kind without observations, the lowest rate of any other kind is used. Otherwise, after a release that
// replaces every worker of a kind, a dispatcher that has just started would have no observations of the kind
// and no warm worker to observe, and all these workers would stay idle until they are warm.
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
	return least // zero if no kind was observed
}

// kindRate returns the rate that this dispatcher has observed for one kind.
//
// Warm workers that are not full finish less than they could. With their average rate alone, warming workers
// would be idle while warm ones have queues. So the rate of full workers has a weight that grows with the
// time that workers were full. Over all dispatchers these rates add up to the capacity. Reported slots can't
// be used for that, because there may be more slots than cores.
func (b *Balancer) kindRate(kind int) float64 {
	l := &b.kindLoads[kind]
	rate := l.work / max(l.seconds, epsilon)
	return max(rate, (float64(rate*fullPriorSeconds)+l.fullWork)/(fullPriorSeconds+l.fullSeconds))
}

// expectedWork returns the expected work of a request, in slot seconds.
func (b *Balancer) expectedWork(q *request) float64 { return b.expectedRunTime(q) * q.slotsNeeded() }

// hintedWork returns expectedWork in the unit of the hints. Running times include waits. If work were derived
// from them, requests would seem to be more work during an overload than after it, and a budget learned
// during an overload would be too large.
func (b *Balancer) hintedWork(q *request) float64 {
	return b.expectedWork(q) / max(b.hintRatio, epsilon)
}

// meanHintedWork returns the mean work of recent requests, in slot seconds.
func (b *Balancer) meanHintedWork() float64 { return b.arrivedWork / max(b.arrivals, epsilon) }

// slotsNeeded returns how many slots q occupies at a worker, or its units of memory if those are more.
func (q *request) slotsNeeded() float64 { return max(q.Slots, q.Memory, 1) }

// expectedRunTime returns how many seconds q is expected to run at a usual worker: by its hint if it has one,
// or else by its class.
func (b *Balancer) expectedRunTime(q *request) float64 {
	if q.ExpectedWork > 0 && b.hintRatio > 0 {
		return q.ExpectedWork.Seconds() * b.hintRatio
	}
	if b.classRunTimes[q.Class] > 0 {
		return b.classRunTimes[q.Class]
	}
	return b.meanRunTime
}
