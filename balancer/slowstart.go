package balancer

// Decisions: how much a worker that has just started is given.

import (
	"math"
	"time"
)

// warmth is the share of its capacity that w has at least, by its age.
func (b *Balancer) warmth(now time.Duration, w *worker) float64 {
	r := &b.set.Rules
	if w.StartedAt <= 0 || now-w.StartedAt >= r.SlowStartWindow {
		return 1
	}
	age := float64(max(now-w.StartedAt, 0)) / float64(r.SlowStartWindow)
	return max(r.SlowStartMinShare+(1-r.SlowStartMinShare)*age, tiny)
}

// coldRoom reports whether a cold worker's budget has room for work.
//
// Hazard: a cold worker reads zero at every dispatcher and is pushed over. What it can do now is taken
// as its share, by age, of the load from this dispatcher that warm workers of its kind finish; all
// dispatchers together keep to the whole. Without anything to go by the budget is nothing.
func (b *Balancer) coldRoom(now time.Duration, w *worker, work float64) bool {
	rules, warmth := &b.set.Rules, b.warmth(now, w)
	if warmth == 1 || rules.OverloadFactor <= 0 || rules.OverloadWindow <= 0 {
		return true
	}
	// Hazard: a cold worker bears so many usual requests, and so much work. Where most requests are far
	// smaller than the mean, a budget in work alone lets several times that number through.
	mean := b.meanEffort()
	part := b.coldPart(w, warmth, mean)
	turn, ok := b.turnFor(part, mean, max(work, mean))
	if !ok || !b.hasTurn(now, w, turn.windows) {
		return false
	}
	sum, number := work, 1.0
	for _, l := range w.sent {
		if now-l.at < rules.OverloadWindow*time.Duration(turn.windows) {
			sum += l.work
			number++
		}
	}
	return max(sum, number*mean) <= part*turn.used*float64(turn.windows)
}

// coldPart is this dispatcher's part of the work that a cold worker bears in one window, with half of what
// the rule leaves for chance.
func (b *Balancer) coldPart(w *worker, warmth, mean float64) float64 {
	rules := &b.set.Rules
	part := rules.OverloadFactor * warmth * b.warmRate(w.Kind) * rules.OverloadWindow.Seconds()
	if requests := part * float64(b.set.DispatcherCount) / max(mean, tiny); mean > 0 && requests > 0 {
		part *= 1 + chance(requests)/2/requests
	}
	return part
}

// chance is how many requests the rule allows in a window beyond the so many that it is about.
func chance(requests float64) float64 {
	if requests < 30 {
		return 3*math.Sqrt(requests) + 3
	}
	return 2*math.Sqrt(requests) + 2
}

// turn is how a dispatcher spends its part of a cold worker's budget: one window in so many is its own, and
// of all that its part comes to over them it may spend so much.
type turn struct {
	windows int
	used    float64
}

// turnFor is the shortest turn in which a dispatcher's part is enough for a request, if there is one.
//
// Hazard: the part of one of many dispatchers is less than a request, and all leave the worker idle; or
// they save their parts up, and all send at once when other workers go. Such a request needs as many
// windows as make the part large enough, and goes only in this dispatcher's turn among as many.
func (b *Balancer) turnFor(part, mean, need float64) (turn, bool) {
	if part <= 0 {
		return turn{}, false
	}
	// Any window can meet two turns, beside what all others spend without turns. One whose part is never
	// enough without turns has only them, and two may take the whole of what it has.
	n := float64(b.set.DispatcherCount)
	steady := (1 + 1/max(n, 2)) / 2
	inTurn := (1 - steady*(n-2)/n) / 2
	if part*steady < mean {
		inTurn = max(inTurn, 0.5)
	}
	t := turn{1, steady}
	for part*t.used*float64(t.windows) < need {
		if t.windows >= b.longestTurn() {
			return turn{}, false
		}
		t = turn{min(longerTurn(t.windows), b.longestTurn()), inTurn}
	}
	return t, true
}

// longestTurn is the most windows among which dispatchers take turns; one alone takes none.
func (b *Balancer) longestTurn() int { return 2*b.set.DispatcherCount - 1 }

// longerTurn is the next number of windows in a turn: 1, 2, 3, 4, 6, 8, 12 and so on.
func longerTurn(windows int) int {
	if powerOfTwo := windows&(windows-1) == 0; !powerOfTwo {
		return windows * 4 / 3
	}
	return max(windows*3/2, windows+1)
}

// hasTurn reports whether this dispatcher's turn at w is now, by the worker's age, which all know alike.
func (b *Balancer) hasTurn(now time.Duration, w *worker, windows int) bool {
	return (int((now-w.StartedAt)/b.set.Rules.OverloadWindow)+int(w.ID)+b.set.DispatcherIndex)%windows == 0
}

// warmRate is the work that a warm worker of kind k finishes from this dispatcher each second.
//
// Hazard: a release replaces every worker of a kind, and a dispatcher that starts then has no record of
// it, nor a warm one to make it: all of them stay idle until warm. The kind that takes least stands in.
func (b *Balancer) warmRate(k int) float64 {
	if r := b.kindRate(k); r > 0 {
		return r
	}
	least := 0.0
	for i := range b.loads {
		if r := b.kindRate(i); r > 0 && (least == 0 || r < least) {
			least = r
		}
	}
	return least // hazard: where nothing was seen of any kind, nothing
}

// kindRate is what this dispatcher has seen of kind k alone.
//
// Hazard: where warm ones are not full, what they take is less than they bear, and cold ones stand idle
// while warm ones queue. What the full ones took counts more, the longer some were; all dispatchers'
// parts of it add up to what they bear. What reports say of slots does not: slots may be more than cores.
func (b *Balancer) kindRate(k int) float64 {
	l := &b.loads[k]
	rate := l.work / max(l.seconds, tiny)
	return max(rate, (rate*doubt+l.fullWork)/(doubt+l.fullSeconds))
}

// cost is the work that a request is expected to be, in slot seconds.
func (b *Balancer) cost(q *request) float64 { return b.expect(q) * q.size() }

// effort is cost by the hints' own measure. Hazard: running times have waits in them, and so what a flood's
// jobs are taken to be is more than the same jobs after it: a budget from then would be too large.
func (b *Balancer) effort(q *request) float64 { return b.cost(q) / max(b.ratio, tiny) }

// meanEffort is the work of a usual request of late.
func (b *Balancer) meanEffort() float64 { return b.efforts / max(b.arrived, tiny) }

// size is what q takes of a worker: its slots, or its memory where that is more.
func (q *request) size() float64 { return max(q.Slots, q.Memory, 1) }

// expect is the seconds that q is expected to run at the usual pace: by its hint, else by its class.
func (b *Balancer) expect(q *request) float64 {
	if q.ExpectedWork > 0 && b.ratio > 0 {
		return q.ExpectedWork.Seconds() * b.ratio
	}
	if b.usual[q.Class] > 0 {
		return b.usual[q.Class]
	}
	return b.mean
}
