package balancer

// Decisions: which attempts the rules allow, and second copies.

import (
	"slices"
	"time"
)

// may is the one gate of every send: whether the rules let q go to w now.
func (b *Balancer) may(now time.Duration, q *request, w *worker) bool {
	c := q.class
	// Hazards: an answer is given twice; the tries or the time are used up.
	if q.over || now >= q.deadline || len(q.tries) >= b.attempts(q) {
		return false
	}
	// Hazard: a draining worker gets new work.
	if w.State != Ready || c.WorkerKind >= 0 && c.WorkerKind != w.Kind || !q.onRoute(w) {
		return false
	}
	// Hazard: two attempts out at once.
	if q.out > 0 && !b.set.Limits.HedgedRequests {
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
		if c.Idempotency == NonIdempotent ||
			c.Idempotency == IdempotentByKey && (!t.inWindow(now, c) || !sameGroup(c, t.w, w)) {
			return false
		}
	}
	return b.coldRoom(now, w, b.effort(q))
}

// inWindow reports whether repeats of an attempt that may have run are still dropped by its group.
//
// Hazard: the process is held up between reading its clock and writing.
func (t *attempt) inWindow(now time.Duration, c *Class) bool { return now-t.sent+stall < c.KeyWindow }

// StillAllowed reports whether an attempt that was begun, and has not been written yet, may still be.
//
// Hazard: a connection that comes up late carries a repeat beyond the window of the attempt before it.
func (b *Balancer) StillAllowed(now time.Duration, id RequestID, n int) bool {
	q, _ := b.attempt(id, n)
	if q == nil || q.over {
		return false
	}
	for i := range q.tries {
		t := &q.tries[i]
		if i != n && q.class.Idempotency == IdempotentByKey && t.mayHaveRun() && !t.inWindow(now, q.class) {
			return false
		}
	}
	return true
}

// mayGoOn reports whether the budget of further attempts has room for one more.
//
// Hazard: where many attempts fail, each tried again makes the trouble larger. A time at the window's
// edge counts against us: a further attempt is still in it, a request is not.
func (b *Balancer) mayGoOn(now time.Duration) bool {
	rules := &b.set.Rules
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	taken, further := b.taken.since(
		now-rules.RetryBudgetWindow,
	), b.further.since(
		now-rules.RetryBudgetWindow-1,
	)
	return float64(further+1) <= rules.RetryBudgetBase+rules.RetryBudgetShare*float64(taken)
}

// send is the one place that starts an attempt.
func (b *Balancer) send(now time.Duration, q *request, w *worker) {
	if len(q.tries) > 0 {
		b.further.since(now - b.set.Rules.RetryBudgetWindow - 1)
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
		oldest := now - b.set.Rules.OverloadWindow*time.Duration(
			b.longestTurn(),
		) // as far as any turn reaches
		w.sent = append(keep(w.sent, func(l load) bool { return l.at > oldest }), load{now, b.effort(q)})
	}
	b.act.Send(q.ID, w.ID, 0)
}

// proves reports whether an end proves that the job never ran. Hazard: a worker may also turn away what
// it had begun.
func (b *Balancer) proves(r Result) bool {
	return r.NeverRan() && !(r == WorkerFull && b.set.Rules.FullMayHaveRun)
}

// stop gives up what is still out of a request that is over, as far as that is allowed.
//
// Hazard: jobs whose clients have left, and the slower of two copies, take the room of others.
func (b *Balancer) stop(q *request) {
	for i := range q.tries {
		if !q.tries[i].ended && b.set.Limits.CanCancel {
			b.act.Cancel(q.ID, i)
		}
	}
}

// refusable reports whether telling the client that another try is harmless is true.
func (b *Balancer) refusable(q *request) bool {
	c := q.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.tries, attempt.mayHaveRun)
}

// hedge sends a second copy of jobs that may be repeated and that are at a silent worker.
//
// Hazard: a copy of a job that only waits takes the room of others, and both run if a cancel stops nothing.
func (b *Balancer) hedge(now time.Duration) {
	for _, q := range b.list {
		if !q.over && q.out == 1 && q.class.Idempotency != NonIdempotent &&
			b.silent(now, q.tries[len(q.tries)-1].w) {
			b.try(now, q)
		}
	}
}
