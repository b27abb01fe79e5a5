package balancer

// Decisions: which attempts are allowed, the retry budget, and hedged requests.

import (
	"slices"
	"time"
)

// mayAttempt reports whether the rules let q go to w now. Every attempt passes it.
func (b *Balancer) mayAttempt(now time.Duration, q *request, w *worker) bool {
	c := q.class
	// Hazards: a client gets two responses; the attempts or the time are used up.
	if q.responded || now >= q.deadline || len(q.attempts) >= b.maxAttempts(q) {
		return false
	}
	// Hazard: a draining worker gets new requests.
	if w.State != Ready || c.WorkerKind >= 0 && c.WorkerKind != w.Kind || !q.onRoute(w) {
		return false
	}
	// Hazard: two attempts in flight at once.
	if q.inFlight > 0 && !b.settings.Limits.HedgedRequests {
		return false
	}
	if len(q.attempts) > 0 && !b.mayRetry(now) {
		return false
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.worker == w {
			return false // it has just failed this request, or has it
		}
		if !a.mayHaveRun() {
			continue
		}
		// Hazard: this attempt may have run, or runs: its effect could happen twice.
		if c.Idempotency == NonIdempotent ||
			c.Idempotency == IdempotentByKey && (!a.inKeyWindow(now, c) || !sameKeyGroup(c, a.worker, w)) {
			return false
		}
	}
	return b.withinSlowStart(now, w, b.hintedWork(q))
}

// inKeyWindow reports whether repeats of an attempt that may have run are still dropped by the workers that
// share its worker's key memory.
//
// Hazard: the process is stalled between reading its clock and writing the repeat.
func (a *attempt) inKeyWindow(now time.Duration, c *Class) bool {
	return now-a.sentAt+maxStall < c.KeyWindow
}

// StillAllowed reports whether an attempt that was started, and has not been written to its worker yet, may
// still be.
//
// Hazard: a connection that comes up late carries a repeat after the key window of the attempt before it.
func (b *Balancer) StillAllowed(now time.Duration, id RequestID, attempt int) bool {
	q, _ := b.findAttempt(id, attempt)
	if q == nil || q.responded {
		return false
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if i != attempt && q.class.Idempotency == IdempotentByKey && a.mayHaveRun() &&
			!a.inKeyWindow(now, q.class) {
			return false
		}
	}
	return true
}

// mayRetry reports whether the retry budget has room for one more.
//
// Hazard: where many attempts fail, each retry makes the overload larger. A time at the window's edge counts
// against the budget: a retry there is still within the window, a request is not.
func (b *Balancer) mayRetry(now time.Duration) bool {
	rules := &b.settings.Rules
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	requests := b.requestTimes.countAfter(now - rules.RetryBudgetWindow)
	retries := b.retryTimes.countAfter(now - rules.RetryBudgetWindow - 1)
	return float64(retries+1) <= rules.RetryBudgetBase+rules.RetryBudgetShare*float64(requests)
}

// send is the one place that starts an attempt.
func (b *Balancer) send(now time.Duration, q *request, w *worker) {
	if len(q.attempts) > 0 {
		b.retryTimes.countAfter(now - b.settings.Rules.RetryBudgetWindow - 1)
		b.retryTimes = append(b.retryTimes, now)
	}
	q.attempts = append(q.attempts, attempt{worker: w, sentAt: now})
	q.inFlight++
	w.inFlight += q.slotsNeeded()
	if w.owedRequest {
		w.owedRequest = false
		b.owedWorkers--
	}
	if b.warmUpFactor(now, w) < 1 {
		// As far back as the longest cycle of time slots reaches.
		oldest := now - b.settings.Rules.OverloadWindow*time.Duration(b.maxWindows())
		w.slowStartSent = append(filter(w.slowStartSent, func(s sentWork) bool { return s.at > oldest }),
			sentWork{now, b.hintedWork(q)})
	}
	b.actions.Send(q.ID, w.ID)
}

// provesNeverRan reports whether an attempt's end proves that the request never ran. Hazard: a worker may
// also reject what it had begun.
func (b *Balancer) provesNeverRan(r Result) bool {
	return r.NeverRan() && !(r == WorkerFull && b.settings.Rules.FullMayHaveRun)
}

// cancelInFlight cancels the attempts in flight of a request that has its response, where that is possible.
//
// Hazard: requests whose clients have disconnected, and the slower of two hedged attempts, take capacity of
// others.
func (b *Balancer) cancelInFlight(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].ended && b.settings.Limits.CanCancel {
			b.actions.Cancel(q.ID, i)
		}
	}
}

// rejectable reports whether a rejection, which promises that a retry is harmless, would be true.
func (b *Balancer) rejectable(q *request) bool {
	c := q.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, attempt.mayHaveRun)
}

// hedge starts a second attempt of requests that are idempotent and in flight at an unresponsive worker.
//
// Hazard: a second attempt of a request that only waits takes capacity of others, and both run if cancelling
// stops nothing.
func (b *Balancer) hedge(now time.Duration) {
	for _, q := range b.requests {
		if !q.responded && q.inFlight == 1 && q.class.Idempotency != NonIdempotent &&
			b.unresponsive(now, q.attempts[len(q.attempts)-1].worker) {
			b.startAttempt(now, q)
		}
	}
}
