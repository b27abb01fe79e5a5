package balancer

// Decisions: which worker a request goes to: the draw of d(N) workers, and the load that it compares.

import (
	"math"
	"time"
)

// pickWorker is the mechanism: draw d distinct eligible workers, and take the one with the least load, ties
// at random. It returns nil if no worker is eligible. Where load reports were requested first, the workers
// that have sent theirs are the draw.
func (b *Balancer) pickWorker(now time.Duration, q *request) *worker {
	if w := b.owedWorker(now, q); w != nil {
		return w
	}
	var drawn []*worker
	if q.answered > 0 {
		drawn = b.eligible(now, q, q.checked[:q.answered])
	}
	if len(drawn) == 0 {
		if drawn = b.drawWorkers(now, q); len(drawn) == 0 {
			return nil
		}
	}
	return b.leastLoaded(now, q, drawn)
}

// owedWorker is a worker that is to have one of the next requests after its maintenance, if q may be that.
//
// Hazard: such a worker is warming up, and by its run times loses every draw for longer than operators wait
// to see it in use. One request, within its slow-start budget, shows that it works; then draws decide.
func (b *Balancer) owedWorker(now time.Duration, q *request) *worker {
	if b.owedWorkers == 0 || len(q.attempts) > 0 {
		return nil
	}
	for _, w := range b.workers {
		if w.owedRequest && b.healthy(now, q, w) && b.mayAttempt(now, q, w) {
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

// leastLoaded moves the worker of the least load to the front. The draw's order is random, and so is the
// choice among equals.
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

// eligible are the workers that q may go to: the healthy ones, or all if none is healthy and q may go to
// ejected ones.
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

// loadOf is the load that draws compare: the slots in use at w with q there, for each slot it has, weighted
// by how slowly it runs requests. Unlike the paper's servers, workers differ, and other dispatchers' requests
// are not seen.
func (b *Balancer) loadOf(now time.Duration, w *worker, q *request) float64 {
	n := (b.slotsInUse(now, w) + q.slotsNeeded()*b.relativeRunTime(now, w) + homeStepLoad*w.homeDistance) /
		b.slotsOf(w)
	if w.Zone != b.settings.Zone {
		n += min(crossZoneLoad*b.settings.Costs.CrossZone, maxCrossZoneLoad)
	}
	return n
}

// updateHomeDistances lays each zone's workers round a ring by size, and counts them from this dispatcher's
// point on.
//
// Hazard: with many dispatchers each has a request or two in flight, all its counts are zero, and what it
// observed of a worker is outdated. Near its home it meets the same few workers again.
func (b *Balancer) updateHomeDistances() {
	// Multiples of the golden ratio spread any run of indices evenly.
	_, point := math.Modf(float64(b.settings.DispatcherIndex) * math.Phi)
	total, end, number := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, w := range b.workers {
		total[w.Zone] += w.Size
		number[w.Zone]++
	}
	unseen := 1 - 1/float64(b.settings.DispatcherCount) // a dispatcher alone sees all load and needs no home
	for _, w := range b.workers {
		end[w.Zone] += w.Size
		_, distance := math.Modf(1 + end[w.Zone]/max(total[w.Zone], epsilon) - point)
		w.homeDistance = distance * number[w.Zone] * unseen
	}
}

// slotsInUse is how many slots requests in flight take at w, those of this dispatcher and of others, or as
// many as the wait that this dispatcher's requests have met there takes.
func (b *Balancer) slotsInUse(now time.Duration, w *worker) float64 {
	n := w.inFlight + w.otherProcessInFlight + max(0, w.othersInFlight)
	if wait := b.observedWait(now, w); wait > 0 && b.meanRunTime > 0 {
		n = max(n, b.slotsOf(w)*(1+wait/b.meanRunTime/b.relativeRunTime(now, w)))
	}
	return n
}

// observedWait is the last wait observed at w, which shortens with time, or that of the oldest unstarted
// request, in seconds.
func (b *Balancer) observedWait(now time.Duration, w *worker) float64 {
	return max(w.lastWait-(now-w.lastWaitAt).Seconds()*waitDrainRate, w.unstartedWait)
}

// slotsOf is how many requests w runs at once, as far as load reports of its kind have shown.
func (b *Balancer) slotsOf(w *worker) float64 { return max(1, math.Round(b.kindSlots[w.Kind])) }

// relativeRunTime is w's running time, relative to the usual one: by its kind's record, its own relative to
// that, and its warm-up.
func (b *Balancer) relativeRunTime(now time.Duration, w *worker) float64 {
	return b.kindRunTimeFactors[w.Kind] * w.runTimeFactor / b.warmUpFactor(now, w)
}

// drawSize is d(N) = min(N, max(2, ceil(sqrt(N) ln N))), just above the growth that the paper asks for.
func drawSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*math.Log(float64(n))))))
}
