package brain

// The decisions. The interface (settings, events, actions) is in api.go.
//
// The mechanism is the power-of-d(N) scheme of Mukherjee, Borst, van Leeuwaarden and Whiting: a job
// draws d distinct workers and joins the one with the fewest unfinished jobs. See pick.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// blend is the weight of a new success, failure or probe's report, slow that of what varies far more:
	// a running time or a report in an answer; a quarter of it that of one worker's own times.
	blend, slow = 0.3, 0.08
	doubt       = 4    // seconds of full workers that count for as much as all that was seen of a kind
	nearly      = 0.25 // the part of its slots that a full worker may have free
	outlier     = 4    // how many usual running times a single one may count for
	suspect     = 0.25 // how ill a worker left out is; for an unsafe job, which an error loses, half
	drain       = 2    // how fast a wait seen is taken to shorten; figures are flat from 2 to 8
	early       = 0.25 // the part of a usual running time from which a wait counts for one
	quiet       = 3    // after how many notes that did not come a worker is silent
	home        = 0.25 // how many jobs a step of one worker away from home counts for
	far         = 10   // how much load crossing rooms counts for, as a multiple of its price
	farthest    = 0.5  // and at most: a near worker half taken is no better than an idle far one
	spare       = 5    // how many requests a tenant can save up at least; else those of Cold
	choices     = 3    // how many workers are asked for their loads
	brief       = 16   // the part of its aim for which a job waits for their answers
	many        = 8    // dispatchers that don't ask for the list at once
	firstAsks   = 16   // the part of the shortest deadline over which they ask for it at their start
	firstList   = 2    // the part of it, and of their own, for which requests wait for the first list
	// longestAsk is the longest wait before the list is asked for again. Hazard: when its service is back after
	// a long outage, all that it has to tell counts as told 6 s later.
	longestAsk = 4 * time.Second
	stale      = 2    // news older than so many of the shortest deadlines says nothing of a queue
	tiny       = 1e-9 // keeps divisors off zero
)

// firstAsk is the wait before the list is asked for at the start. Hazard: after a release most of many
// dispatchers start at once. The list's service takes calls in turn, also those that it has turned away
// meanwhile, and so falls behind for as long as they come back soon. Each has its own time, by its number.
func (b *Balancer) firstAsk() time.Duration {
	if b.set.Fleet < many {
		return 0
	}
	return b.patience / firstAsks * time.Duration(b.set.Me) / time.Duration(b.set.Fleet)
}

// askAgain is the wait before the list is asked for again, longer each time. Hazards: without a
// subscription drains go unheard; all that ask at once keep the list's service down.
func (b *Balancer) askAgain() time.Duration {
	wait := b.spread(b.patience/16) << min(b.asks, 4)
	if b.set.Fleet >= many {
		wait += time.Duration(b.rng.Int64N(int64(b.patience)))
	}
	if wait > longestAsk {
		wait = b.spread(longestAsk / 2)
	}
	return wait
}

// place gives a request with no attempt out its next one, perhaps after asking, or its final answer.
func (b *Balancer) place(now time.Duration, q *request) {
	if !b.ask(now, q) && !b.try(now, q) {
		b.answer(q)
	}
}

// try starts an attempt if a worker is eligible and the wait there worth it.
//
// Where its route has tiers, the first is tried that has one, and the next ones as the route says; those
// that are not trusted come after all tiers.
func (b *Balancer) try(now time.Duration, q *request) bool {
	for q.start(); ; {
		w := b.pick(now, q)
		if w != nil && (w.owed && len(q.tries) == 0 || b.worthIt(now, q, w)) {
			b.send(now, q, w)
			return true
		}
		if !q.spills(w != nil) {
			return false
		}
	}
}

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

// ask holds q and asks the least loaded of its draw for their loads, if that is of use.
//
// Hazard: where many dispatchers share workers, each one's counts are zero and what it knows of a queue is
// long past. An answer that does not come soon tells of a worker that is gone or busy.
func (b *Balancer) ask(now time.Duration, q *request) bool {
	q.asked, q.heard, q.heldT = q.asked[:0], 0, now
	q.start()
	if q.holding = b.awaitsList(now, q); q.holding {
		b.asking = append(b.asking, q)
		return true
	}
	b.blind = b.set.ReportProbed && b.set.Limits.Probes &&
		float64(len(b.workers))*b.watched > b.arrived*b.patience.Seconds()*stale
	if !b.blind {
		return false
	}
	draw := b.drawn(now, q)
	for i := range min(choices, len(draw)) {
		w := b.least(now, q, draw[i:])
		q.asked = append(q.asked, w)
		w.asked = now
		b.act.Probe(w.ID)
	}
	if q.holding = len(q.asked) > 0; q.holding {
		b.asking = append(b.asking, q)
	}
	return q.holding
}

// awaitsList reports whether q waits for the first list of a dispatcher that has just started.
//
// Hazard: a process that comes back within seconds has clients who did not notice that it was gone. Their
// requests come before the list does, and would all be refused.
func (b *Balancer) awaitsList(now time.Duration, q *request) bool {
	return b.started && !b.listed && now < b.startedAt+b.patience/firstList &&
		now < q.came+(q.deadline-q.came)/firstList
}

// release places the requests that have heard from all asked, or have waited long enough.
func (b *Balancer) release(now time.Duration) {
	b.asking = keep(b.asking, func(q *request) bool {
		wait := q.class.Aim / brief
		if !q.over && (b.awaitsList(now, q) || q.heard < len(q.asked) && now-q.heldT < wait) {
			return true
		}
		if q.holding = false; q.over {
			b.forget(q)
		} else if !b.try(now, q) {
			b.answer(q)
		}
		return false
	})
}

// trusted reports whether w is well enough for q to be drawn; if no worker is, all are drawn. Hazard: one
// that errors at once, or can't be reached, keeps a low count and wins until its record is minded.
func (b *Balancer) trusted(now time.Duration, q *request, w *worker) bool {
	if q.class.Effect == Unsafe {
		return b.illness(now, w) < suspect/2
	}
	return b.illness(now, w) < suspect
}

// illness is the record of w's failures, faded since.
func (b *Balancer) illness(now time.Duration, w *worker) float64 {
	if b.silent(now, w) {
		return 1
	}
	if w.ill > 0 { // else the power is wasted on every healthy worker
		w.ill *= math.Exp2(-float64(now-w.illT) / float64(b.patience/2))
	}
	w.illT = now
	return w.ill
}

// fails takes a failure at w, met by this dispatcher or told by another.
func (b *Balancer) fails(now time.Duration, w *worker) { w.ill = b.illness(now, w) + blend*(1-w.ill) }

// load is the count that pick compares: the slots held at w with q there, for each slot it has,
// weighed by how slowly it runs. Unlike the paper's servers boxes differ, and others' jobs are unseen.
func (b *Balancer) load(now time.Duration, w *worker, q *request) float64 {
	n := (b.held(now, w) + q.size()*b.paceOf(now, w) + home*w.away) / b.slotsOf(w)
	if w.Zone != b.set.Zone {
		n += min(far*b.set.Prices.CrossZone, farthest)
	}
	return n
}

// settle lays each zone's workers round a ring by size and counts those from this dispatcher's point on.
//
// Hazard: with many dispatchers each has a job or two out, all its counts are zero, and what it saw
// of a worker is long past. Near home it meets the same few workers again.
func (b *Balancer) settle() {
	_, point := math.Modf(float64(b.set.Me) * math.Phi) // spreads any run of numbers evenly
	total, end, number := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, w := range b.workers {
		total[w.Zone] += w.Size
		number[w.Zone]++
	}
	unseen := 1 - 1/float64(b.set.Fleet) // a dispatcher alone sees all and needs no home
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

// warmth is the share of its capacity that w has at least, by its age.
func (b *Balancer) warmth(now time.Duration, w *worker) float64 {
	r := &b.set.Rules
	if w.Since <= 0 || now-w.Since >= r.Cold {
		return 1
	}
	age := float64(max(now-w.Since, 0)) / float64(r.Cold)
	return max(r.ColdShare+(1-r.ColdShare)*age, tiny)
}

// learn takes what the end of an attempt tells of its worker.
func (b *Balancer) learn(now time.Duration, q *request, t *attempt, o *Outcome) {
	w := t.w
	b.report(w, &o.Report)
	switch o.Result {
	case Error, Reset, ConnectFailed:
		b.fails(now, w)
		// Hazard: each of many would lose unsafe jobs to w before it knows. A broken path may be ours alone.
		if o.Result == Error && b.set.Limits.Peers {
			b.act.Tell(Everyone, w.name())
		}
		return
	case Full:
		// Its queue is full: the wait there is a running time at least.
		w.wait, w.waitT = max(b.seenWait(now, w), b.mean*b.paceOf(now, w)), now
		if b.set.TellsStart { // hazard: else no job is seen to meet none, and only bad news comes in
			b.meets(now, w.wait)
		}
		return
	case OK:
		w.ill = b.illness(now, w) * (1 - blend)
	default:
		return
	}
	if b.warmth(now, w) == 1 {
		b.loads[w.Kind].add(b.effort(q), 0, w.full)
	}
	ran := (now - max(t.sent, t.start)).Seconds()
	usual := &b.usual[q.Class]
	*usual = cmp.Or(*usual, ran)
	if hint := q.Work.Seconds(); hint > 0 {
		b.ratio += slow * (min(ran/hint, outlier) - b.ratio)
	}
	expect := max(b.expect(q), tiny)
	ran = min(ran, outlier*expect)
	sample := ran / expect * b.warmth(now, w)
	// Hazards: each of many workers is met too seldom to know it; times of nothing leave a pace of zero.
	kind := &b.paces[w.Kind]
	*kind = max(slow, *kind+slow/4*(sample/w.pace-*kind))
	w.pace = max(slow, w.pace+slow/4*(sample / *kind - w.pace))
	*usual += slow * (ran - *usual)
	b.mean += slow * (ran - b.mean)
	c := q.class
	if (now - q.came).Seconds() <= c.Aim.Seconds()+c.Stretch*ran {
		b.tallies[q.Class].served += b.units(q)
	}
}

// report takes a load report, if one came; being late and noisy, it is averaged.
//
// Hazard: reports in answers come only from where jobs go, so that all follow the same stale news and
// refuse by it, and get no other: they count little. Probes ask every worker alike and count more.
func (b *Balancer) report(w *worker, r *Report) {
	if !r.Told || r.FreeSlots < 0 {
		return
	}
	b.slots[w.Kind] = max(b.slots[w.Kind], r.FreeSlots)
	w.full = r.FreeSlots <= nearly*b.slots[w.Kind]
	held := b.slots[w.Kind] - r.FreeSlots + max(r.Queue, 0)
	weight := slow
	if b.set.ReportProbed {
		weight = blend
	}
	if b.blind {
		weight = 1 // what was known before is long past
	}
	w.others += weight * (held - w.own - w.beside - w.others)
}

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
		value, less = value*b.set.OverShare, 0
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
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) || b.set.OverShare >= 1 ||
		b.set.Tenants[q.Tenant].Allowance <= 0 {
		return // not limited
	}
	asked, allowed := 0.0, 0.0
	for i, t := range b.tenants {
		if i != q.Tenant {
			asked += t.asked
			allowed += b.set.Tenants[i].Allowance
		}
	}
	t := &b.tenants[q.Tenant]
	part := max(1/float64(b.set.Fleet), asked/max(allowed*b.watched, tiny))
	rate := b.set.Tenants[q.Tenant].Allowance * part
	t.left = min(t.left+rate*(now-t.at).Seconds(), max(rate*b.set.Rules.Cold.Seconds(), spare))
	t.at = now
	t.asked++
	if q.excess = t.left < 1; !q.excess {
		t.left--
	}
}

// usualWait is the wait that our jobs have met lately, at whatever worker.
func (b *Balancer) usualWait(now time.Duration) float64 {
	return max(0, b.wait-(now-b.waitT).Seconds())
}

// slack is the wait at w that leaves a usual job of the class in time.
func (b *Balancer) slack(now time.Duration, class int, w *worker) float64 {
	c := &b.set.Classes[class]
	return max(0, c.Aim.Seconds()+(c.Stretch-b.paceOf(now, w))*b.usual[class]/2)
}

// waitAt is the wait to be expected at w, from the jobs held there.
func (b *Balancer) waitAt(now time.Duration, w *worker) float64 {
	k := b.slotsOf(w)
	if b.set.TellsStart && b.slots[w.Kind] < 1 {
		return b.seenWait(now, w) // hazard: slots never reported read as one, and all is refused
	}
	return max(0, b.held(now, w)+1-k) / k * b.mean * b.paceOf(now, w)
}

// rate gives, by class, what serving it adds to the goal for each unit of work.
func (b *Balancer) rate() []float64 {
	total, worst := 0.0, math.Inf(1)
	for i, t := range b.tallies {
		total += t.asked * b.set.Classes[i].Worth
		worst = min(worst, t.share())
	}
	for i, t := range b.tallies {
		v := b.set.Goal.Whole * b.set.Classes[i].Worth / max(total, tiny)
		if t.share() == worst {
			v += b.set.Goal.WorstClass / max(t.asked, tiny)
		}
		if !b.set.WorthByWork {
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
	if !b.set.WorthByWork {
		return 1
	}
	return b.cost(q)
}

// askLoads probes the worker with the oldest news, where reports come no other way: one a request.
func (b *Balancer) askLoads(now time.Duration) {
	if !b.set.ReportProbed || !b.set.Limits.Probes {
		return
	}
	var oldest *worker
	for _, w := range b.workers {
		if w.State == Ready && (oldest == nil || w.asked < oldest.asked) {
			oldest = w
		}
	}
	if oldest != nil {
		oldest.asked = now
		b.act.Probe(oldest.ID)
	}
}

// drawSize is d(N) = min(N, max(2, ceil(sqrt(N) ln N))), just past the growth that the paper asks for.
func drawSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*math.Log(float64(n))))))
}

// may is the one gate of every send: whether the rules let q go to w now.
func (b *Balancer) may(now time.Duration, q *request, w *worker) bool {
	c := q.class
	// Hazards: an answer is given twice; the tries or the time are used up.
	if q.over || now >= q.deadline || len(q.tries) >= b.attempts(q) {
		return false
	}
	// Hazard: a draining worker gets new work.
	if w.State != Ready || c.Kind >= 0 && c.Kind != w.Kind || !q.onRoute(w) {
		return false
	}
	// Hazard: two attempts out at once.
	if q.out > 0 && !b.set.Limits.SecondCopies {
		return false
	}
	if len(q.tries) > 0 && !b.mayGoOn(now) {
		return false
	}
	for i := range q.tries {
		t := &q.tries[i]
		if t.w == w {
			return false // it has just failed this request, or has it
		}
		if !t.mayHaveRun() {
			continue
		}
		// Hazard: this attempt may have run, or runs: its effect could happen twice.
		if c.Effect == Unsafe || c.Effect == Keyed && (now-t.sent >= c.Window || !sameGroup(c, t.w, w)) {
			return false
		}
	}
	return b.coldRoom(now, w, b.effort(q))
}

// mayGoOn reports whether the budget of further attempts has room for one more.
//
// Hazard: where many attempts fail, each tried again makes the trouble larger. A time at the window's
// edge counts against us: a further attempt is still in it, a request is not.
func (b *Balancer) mayGoOn(now time.Duration) bool {
	rules := &b.set.Rules
	if rules.Budget <= 0 {
		return true
	}
	taken, further := b.taken.since(now-rules.Budget), b.further.since(now-rules.Budget-1)
	return float64(further+1) <= rules.FreeFurther+rules.FurtherShare*float64(taken)
}

// coldRoom reports whether a cold worker's budget has room for work.
//
// Hazard: a cold worker reads zero at every dispatcher and is pushed over. What it can do now is taken
// as its share, by age, of the load from this dispatcher that warm workers of its kind finish; all
// dispatchers together keep to the whole. Without anything to go by the budget is nothing.
func (b *Balancer) coldRoom(now time.Duration, w *worker, work float64) bool {
	rules, warmth := &b.set.Rules, b.warmth(now, w)
	if warmth == 1 || rules.OverloadFactor <= 0 || rules.Fall <= 0 {
		return true
	}
	part := rules.OverloadFactor * warmth * b.warmRate(w.Kind) * rules.Fall.Seconds()
	// Hazard: the part of one of many dispatchers is less than a job, and all leave the worker idle; or
	// they save their parts up, and all send at once when other workers go. Such a job needs as many
	// windows as make the part large enough, and goes only in this dispatcher's turn among as many, by the
	// worker's age, which all know alike.
	n := float64(b.set.Fleet)
	steady := (1 + 1/max(n, 2)) / 2 // a window can meet two turns beside the steady parts of all others
	windows, used := 1, steady
	// Hazard: a cold worker bears so many usual requests, and so much work. Where most requests are far smaller
	// than the mean, a budget in work alone lets several times that number through.
	mean := b.meanEffort()
	for part*used*float64(windows) < max(work, mean) {
		if windows >= b.set.Fleet {
			return false
		}
		windows, used = min(2*windows, b.set.Fleet), (1-steady*(n-2)/n)/2
	}
	if (int((now-w.Since)/rules.Fall)+int(w.ID)+b.set.Me)%windows != 0 {
		return false
	}
	sum, number := work, 1.0
	for _, l := range w.sent {
		if now-l.at < rules.Fall*time.Duration(windows) {
			sum += l.work
			number++
		}
	}
	return part > 0 && max(sum, number*mean) <= part*used*float64(windows)
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
	if q.Work > 0 && b.ratio > 0 {
		return q.Work.Seconds() * b.ratio
	}
	if b.usual[q.Class] > 0 {
		return b.usual[q.Class]
	}
	return b.mean
}

// send is the one place that starts an attempt.
func (b *Balancer) send(now time.Duration, q *request, w *worker) {
	if len(q.tries) > 0 {
		b.further.since(now - b.set.Rules.Budget - 1)
		b.further = append(b.further, now)
	}
	q.tries = append(q.tries, attempt{w: w, sent: now})
	q.out++
	w.own += q.size()
	if w.owed {
		w.owed = false
		b.owing--
	}
	if b.warmth(now, w) < 1 {
		oldest := now - b.set.Rules.Fall*time.Duration(b.set.Fleet) // as far as any span reaches
		w.sent = append(keep(w.sent, func(l load) bool { return l.at > oldest }), load{now, b.effort(q)})
	}
	b.act.Send(q.ID, w.ID, 0)
}

// proves reports whether an end proves that the job never ran. Hazard: a worker may also turn away what
// it had begun.
func (b *Balancer) proves(r Result) bool {
	return r.Unrun() && !(r == Full && b.set.Rules.FullUnproven)
}

// answer gives the final answer of a job that nobody serves: a refusal where the effect allows, or a failure.
func (b *Balancer) answer(q *request) {
	if !b.refusable(q) {
		b.fail(q)
		return
	}
	q.over = true
	b.refused++
	b.act.Refuse(q.ID, b.spread(b.set.Limits.MaxRetryAfter/8))
	b.forget(q)
}

// fail gives the final answer that promises nothing. Hazard: a job that workers can't read is sent to one
// after the other, all of which then count as ill, and its client is told to come again.
func (b *Balancer) fail(q *request) {
	q.over = true
	b.failed++
	b.act.Fail(q.ID)
	b.forget(q)
}

// stop gives up what is still out of a request that is over, as far as that is allowed.
//
// Hazard: jobs whose clients have left, and the slower of two copies, take the room of others.
func (b *Balancer) stop(q *request) {
	for i := range q.tries {
		if !q.tries[i].ended && b.set.Limits.Cancel {
			b.act.Cancel(q.ID, i)
		}
	}
}

// refusable reports whether telling the client that another try is harmless is true.
func (b *Balancer) refusable(q *request) bool {
	c := q.class
	if c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.tries, attempt.mayHaveRun)
}

// spread is d to 2d at random, so that those who wait don't come back together.
func (b *Balancer) spread(d time.Duration) time.Duration {
	return d + time.Duration(b.rng.Int64N(int64(d)+1))
}

// meets takes a wait that a job of ours has met.
func (b *Balancer) meets(now time.Duration, wait float64) {
	usual := b.usualWait(now)
	b.wait, b.waitT = usual+blend*(wait-usual), now
	if b.crowd *= 1 - slow; wait > early*b.mean {
		b.crowd += slow
	}
}

// silent reports whether w runs a job of ours and has told nothing for long.
func (b *Balancer) silent(now time.Duration, w *worker) bool {
	return w.running > 0 && b.set.Progress > 0 && now-w.heard > quiet*b.set.Progress
}

// hedge sends a second copy of jobs that may be repeated and that are at a silent worker.
//
// Hazard: a copy of a job that only waits takes the room of others, and both run if a cancel stops nothing.
func (b *Balancer) hedge(now time.Duration) {
	for _, q := range b.list {
		if !q.over && q.out == 1 && q.class.Effect != Unsafe && b.silent(now, q.tries[len(q.tries)-1].w) {
			b.try(now, q)
		}
	}
}

// sweepEvery is the time between sweeps: an overdue answer must fall into the slack.
func (b *Balancer) sweepEvery() time.Duration {
	return max(b.set.Rules.AnswerSlack/2, b.set.Tick, time.Millisecond)
}

// sweep does what no event calls for.
func (b *Balancer) sweep(now time.Duration) {
	if b.set.TellsStart {
		for _, q := range b.list {
			for i := range q.tries {
				if t := &q.tries[i]; !t.ended && t.start == 0 {
					t.w.stuck = max(t.w.stuck, (now - t.sent).Seconds())
				}
			}
		}
	}
	b.hedge(now)
	for i := len(b.list) - 1; i >= 0; i-- {
		// Hazard: no attempt's end comes, and the client's time runs out without an answer.
		if q := b.list[i]; !q.over && now >= q.deadline {
			b.answer(q)
		}
	}
	b.release(now)
	b.survey(now)
	if b.refused+b.failed > 0 && now >= b.logged+b.patience {
		b.logged = now
		b.act.Log(b.summary(now))
	}
}

// survey keeps the averages, which go back a warm-up. Hazard: each sweep looks at every worker of many.
func (b *Balancer) survey(now time.Duration) {
	past := max(b.set.Rules.Cold, time.Second)
	if now < b.surveyed+past/64 {
		return
	}
	dt := (now - b.surveyed).Seconds()
	b.surveyed = now
	b.fade(math.Exp(-dt / past.Seconds()))
	b.watched += dt
	for _, w := range b.workers {
		if w.State == Ready && b.warmth(now, w) == 1 {
			b.loads[w.Kind].add(0, dt, w.full)
		}
	}
}
