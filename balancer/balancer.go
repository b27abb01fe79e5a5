package balancer

// The decisions. The interface (settings, events, actions) is in api.go.
//
// The mechanism is the power-of-d(N) scheme of Mukherjee, Borst, van Leeuwaarden and Whiting: a job
// draws d distinct workers and joins the one with the fewest unfinished jobs. See pick.

import (
	"math"
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
	// longestAsk is the longest wait before the list is asked for again. Hazard: when its service is back
	// after a long outage, all that it has to tell counts as told 6 s later.
	longestAsk = 4 * time.Second
	stale      = 2    // news older than so many of the shortest deadlines says nothing of a queue
	tiny       = 1e-9 // keeps divisors off zero
	// stall is how long a process may be held up between reading its clock and writing.
	stall = 150 * time.Millisecond
)

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

// sweepEvery is the time between sweeps: an overdue answer must fall into the slack.
func (b *Balancer) sweepEvery() time.Duration {
	return max(b.set.Rules.ResponseSlack/2, b.set.MinEventInterval, time.Millisecond)
}

// sweep does what no event calls for.
func (b *Balancer) sweep(now time.Duration) {
	if b.set.ReportsStart {
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
	past := max(b.set.Rules.SlowStartWindow, time.Second)
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
