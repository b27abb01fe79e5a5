package balancer

// Decisions: the choice of a worker by a draw of d(N) workers, and the load that is compared.

import (
	"math"
	"time"

	"moorstack/internal/portablemath"
)

// pickWorker draws d distinct eligible workers and returns the least loaded one, with ties broken at random.
// It returns nil if no worker is eligible. If load reports were requested first, the draw consists of the
// workers that have reported.
func (b *Balancer) pickWorker(now time.Duration, q *request) *worker {
	if w := b.workerNeedingTrial(now, q); w != nil {
		return w
	}
	var drawn []*worker
	if q.reportsReceived > 0 {
		drawn = b.eligible(now, q, q.checked[:q.reportsReceived])
	}
	if len(drawn) == 0 {
		if drawn = b.drawWorkers(now, q); len(drawn) == 0 {
			return nil
		}
	}
	return b.leastLoaded(now, q, drawn)
}

// workerNeedingTrial returns a worker that must get one of the next requests after its maintenance, if q can
// be that request.
//
// Such a worker is warming up, and because of its run times it would lose every draw for longer than
// operators wait to see it in use. One request within its slow-start budget shows that it works; after that,
// draws decide.
func (b *Balancer) workerNeedingTrial(now time.Duration, q *request) *worker {
	if b.workersNeedingTrial == 0 || len(q.attempts) > 0 {
		return nil
	}
	for _, w := range b.workers {
		if w.needsTrialRequest && b.healthy(now, q, w) && b.mayAttempt(now, q, w) {
			return w
		}
	}
	return nil
}

// drawWorkers draws d(N) of the eligible workers at random.
func (b *Balancer) drawWorkers(now time.Duration, q *request) []*worker {
	draw := b.eligible(now, q, b.workers)
	d := drawSize(len(draw))
	for i := range d {
		j := i + b.rng.IntN(len(draw)-i)
		draw[i], draw[j] = draw[j], draw[i]
	}
	return draw[:d]
}

// leastLoaded moves the least loaded worker to the front of the draw and returns it. The draw is in random
// order, so ties are broken at random.
func (b *Balancer) leastLoaded(now time.Duration, q *request, draw []*worker) *worker {
	best, least := 0, math.Inf(1)
	for i, w := range draw {
		if n := b.loadOf(now, w, q); n < least {
			best, least = i, n
		}
	}
	draw[0], draw[best] = draw[best], draw[0]
	return draw[0]
}

// eligible returns the workers that q may be sent to: the healthy ones, or all if none is healthy and q may
// be sent to ejected ones.
func (b *Balancer) eligible(now time.Duration, q *request, from []*worker) []*worker {
	draw, healthy := b.drawBuffer[:0], 0
	for _, w := range from {
		if !b.mayAttempt(now, q, w) {
			continue
		}
		draw = append(draw, w)
		if b.healthy(now, q, w) {
			last := len(draw) - 1
			draw[healthy], draw[last] = draw[last], draw[healthy]
			healthy++
		}
	}
	b.drawBuffer = draw
	if healthy > 0 || !q.allowEjected {
		draw = draw[:healthy]
	}
	return draw
}

// loadOf returns the load that draws compare: the slots in use at w, with q added, relative to its number of
// slots, and weighted by its relative run time. This differs from the paper, where all servers are equal and
// every request is visible; here the requests of other dispatchers are not.
func (b *Balancer) loadOf(now time.Duration, w *worker, q *request) float64 {
	needed := float64(q.slotsNeeded() * b.relativeRunTime(now, w))
	n := (b.slotsInUse(now, w) + needed + float64(ringStepLoad*w.ringDistance)) / b.slotsOf(w)
	if w.Zone != b.settings.Zone {
		n += min(crossZoneLoad*b.settings.Costs.CrossZone, maxCrossZoneLoad)
	}
	return n
}

// updateRingDistances places each zone's workers on a ring by size, and sets their distance from this
// dispatcher's position on it.
//
// With many dispatchers, each has only a request or two in flight: all its counts are zero, and what it has
// observed of a worker is outdated. Preferring the workers near its position makes a dispatcher send to the
// same few workers repeatedly.
func (b *Balancer) updateRingDistances() {
	// Multiples of the golden ratio distribute consecutive indices evenly.
	_, point := math.Modf(float64(float64(b.settings.DispatcherIndex) * math.Phi))
	total, end, number := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, w := range b.workers {
		total[w.Zone] += w.Size
		number[w.Zone]++
	}
	unseenShare := 1 - 1/float64(b.settings.DispatcherCount) // 0 for a single dispatcher: it sees all load
	for _, w := range b.workers {
		end[w.Zone] += w.Size
		_, distance := math.Modf(1 + end[w.Zone]/max(total[w.Zone], epsilon) - point)
		w.ringDistance = distance * number[w.Zone] * unseenShare
	}
}

// slotsInUse returns how many slots of w are occupied by requests in flight, from this dispatcher and from
// others. If requests have waited there, it is at least the number that explains their wait.
func (b *Balancer) slotsInUse(now time.Duration, w *worker) float64 {
	n := w.inFlight + w.predecessorInFlight + max(0, w.othersInFlight)
	if wait := b.observedWait(now, w); wait > 0 && b.meanRunTime > 0 {
		n = max(n, float64(b.slotsOf(w)*(1+wait/b.meanRunTime/b.relativeRunTime(now, w))))
	}
	return n
}

// observedWait returns, in seconds, the larger of two waits at w: the last one observed, which shrinks over
// time, and that of the oldest unstarted request.
func (b *Balancer) observedWait(now time.Duration, w *worker) float64 {
	return max(w.lastWait-float64((now-w.lastWaitAt).Seconds()*waitDrainRate), w.unstartedWait)
}

// slotsOf returns how many requests w runs at once, as shown by load reports from workers of its kind.
func (b *Balancer) slotsOf(w *worker) float64 { return max(1, math.Round(b.kindSlots[w.Kind])) }

// relativeRunTime returns w's running time relative to the usual one: the factor of its kind, its own factor
// within the kind, and its warm-up.
func (b *Balancer) relativeRunTime(now time.Duration, w *worker) float64 {
	return b.kindRunTimeFactors[w.Kind] * w.runTimeFactor / b.warmUpFactor(now, w)
}

// drawSize returns d(N) = min(N, max(2, ceil(sqrt(N) ln N))), which grows slightly faster than the paper
// requires.
func drawSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*portablemath.Log(float64(n))))))
}
