package balancer

// Decisions: which worker a request goes to: the draw of d(N) and the load that it compares.

import (
	"math"
	"time"
)

// pick is the mechanism: draw d distinct eligible workers afresh, take the one that holds the
// fewest of this dispatcher's unfinished jobs, ties at random. Nil if none is eligible. Where workers
// were asked first, those that have answered are the draw.
func (b *Balancer) pick(now time.Duration, q *request) *worker {
	if w := b.creditor(now, q); w != nil {
		return w
	}
	var drawn []*worker
	if q.heard > 0 {
		drawn = b.eligible(now, q, q.asked[:q.heard])
	}
	if len(drawn) == 0 {
		if drawn = b.drawn(now, q); len(drawn) == 0 {
			return nil
		}
	}
	return b.least(now, q, drawn)
}

// creditor is a worker that is owed a job and may have q as its first.
//
// Hazard: one that operators put back is cold, and by its pace loses every draw for longer than they
// wait to see it in use. One job, within its cold budget, shows that it works; then draws decide.
func (b *Balancer) creditor(now time.Duration, q *request) *worker {
	if b.owing == 0 || len(q.tries) > 0 {
		return nil
	}
	for _, w := range b.workers {
		if w.owed && b.trusted(now, q, w) && b.may(now, q, w) {
			return w
		}
	}
	return nil
}

// drawn is a fresh draw.
func (b *Balancer) drawn(now time.Duration, q *request) []*worker {
	draw := b.eligible(now, q, b.workers)
	d := drawSize(len(draw))
	for i := range d {
		j := i + b.rng.IntN(len(draw)-i)
		draw[i], draw[j] = draw[j], draw[i]
	}
	return draw[:d]
}

// least moves the one of least load to the front; the draw's order is random, and so equals are.
func (b *Balancer) least(now time.Duration, q *request, draw []*worker) *worker {
	best, least := 0, math.Inf(1)
	for i, w := range draw {
		if n := b.load(now, w, q); n < least {
			best, least = i, n
		}
	}
	draw[0], draw[best] = draw[best], draw[0]
	return draw[0]
}

// eligible are those of the workers that q may go to: the trusted, or all if no one is trusted.
func (b *Balancer) eligible(now time.Duration, q *request, from []*worker) []*worker {
	draw, well := b.draw[:0], 0
	for _, w := range from {
		if !b.may(now, q, w) {
			continue
		}
		draw = append(draw, w)
		if b.trusted(now, q, w) {
			last := len(draw) - 1
			draw[well], draw[last] = draw[last], draw[well]
			well++
		}
	}
	b.draw = draw
	if well > 0 || !q.anyone {
		draw = draw[:well]
	}
	return draw
}

// load is the count that pick compares: the slots held at w with q there, for each slot it has,
// weighed by how slowly it runs. Unlike the paper's servers boxes differ, and others' jobs are unseen.
func (b *Balancer) load(now time.Duration, w *worker, q *request) float64 {
	n := (b.held(now, w) + q.size()*b.paceOf(now, w) + home*w.away) / b.slotsOf(w)
	if w.Zone != b.set.Zone {
		n += min(far*b.set.Costs.CrossZone, farthest)
	}
	return n
}

// settle lays each zone's workers round a ring by size and counts those from this dispatcher's point on.
//
// Hazard: with many dispatchers each has a job or two out, all its counts are zero, and what it saw
// of a worker is long past. Near home it meets the same few workers again.
func (b *Balancer) settle() {
	_, point := math.Modf(float64(b.set.DispatcherIndex) * math.Phi) // spreads any run of numbers evenly
	total, end, number := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, w := range b.workers {
		total[w.Zone] += w.Size
		number[w.Zone]++
	}
	unseen := 1 - 1/float64(b.set.DispatcherCount) // a dispatcher alone sees all and needs no home
	for _, w := range b.workers {
		end[w.Zone] += w.Size
		_, away := math.Modf(1 + end[w.Zone]/max(total[w.Zone], tiny) - point)
		w.away = away * number[w.Zone] * unseen
	}
}

// held is the slots' worth of unfinished jobs at w: this dispatcher's own and others', or as many as
// the wait that our jobs have met there takes.
func (b *Balancer) held(now time.Duration, w *worker) float64 {
	n := w.own + w.beside + max(0, w.others)
	if wait := b.seenWait(now, w); wait > 0 && b.mean > 0 {
		n = max(n, b.slotsOf(w)*(1+wait/b.mean/b.paceOf(now, w)))
	}
	return n
}

// seenWait is the last wait seen at w, which drains, or that of our oldest job that has not started.
func (b *Balancer) seenWait(now time.Duration, w *worker) float64 {
	return max(w.wait-(now-w.waitT).Seconds()*drain, w.stuck)
}

// slotsOf is how many jobs w runs at once, as far as reports of its kind have shown.
func (b *Balancer) slotsOf(w *worker) float64 { return max(1, math.Round(b.slots[w.Kind])) }

// paceOf is how slowly w runs jobs, against the usual: by its kind's record and its own beside it, and
// by its age while cold.
func (b *Balancer) paceOf(now time.Duration, w *worker) float64 {
	return b.paces[w.Kind] * w.pace / b.warmth(now, w)
}

// drawSize is d(N) = min(N, max(2, ceil(sqrt(N) ln N))), just past the growth that the paper asks for.
func drawSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*math.Log(float64(n))))))
}
