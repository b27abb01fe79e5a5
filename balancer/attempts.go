package balancer

// Decisions: which attempts are allowed, the retry budget, and hedged requests.

import (
	"slices"
	"time"
)

// mayAttempt reports whether the rules allow an attempt of q at w now. It is checked before every attempt.
func (b *Balancer) mayAttempt(now time.Duration, q *request, w *worker) bool {
	c := q.class
	// A client must not get two responses, and the limits on attempts and time must hold.
	if q.responded || now >= q.deadline || len(q.attempts) >= b.maxAttempts(q) {
		return false
	}
	// A draining worker must not get new requests.
	if w.State != Ready || c.WorkerKind >= 0 && c.WorkerKind != w.Kind || !q.onRoute(w) {
		return false
	}
	// Two attempts must not be in flight at once unless hedged requests are enabled.
	if q.inFlight > 0 && !b.settings.Limits.HedgedRequests {
		return false
	}
	if len(q.attempts) > 0 && !b.mayRetry(now) {
		return false
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.worker == w {
			return false // it has failed this request or is running it
		}
		if !a.mayHaveRun() {
			continue
		}
		// This attempt may have run or may be running, so its effect could happen twice.
		if c.Idempotency == NonIdempotent ||
			c.Idempotency == IdempotentByKey && (!a.inKeyWindow(now, c) || !sameKeyGroup(c, a.worker, w)) {
			return false
		}
	}
	return b.withinSlowStart(now, w, b.hintedWork(q))
}

// inKeyWindow reports whether the workers that share idempotency keys with the attempt's worker still drop
// repeats of it.
//
// The window is shortened by maxStall, because the process can be suspended between reading its clock and
// writing the repeat.
func (a *attempt) inKeyWindow(now time.Duration, c *Class) bool {
	return now-a.sentAt+maxStall < c.KeyWindow
}

// MayStillSend reports whether an attempt that has started, but has not been written to its worker yet, may
// still be written.
//
// Without this check, a connection that is established late could carry a repeat after the key window of the
// previous attempt.
func (b *Balancer) MayStillSend(now time.Duration, id RequestID, attempt int) bool {
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

// mayRetry reports whether the retry budget allows one more retry.
//
// Without a budget, retries would amplify the overload when many attempts fail. Times at the edge of the
// window are counted against the budget: a retry there is still within the window, a request is not.
func (b *Balancer) mayRetry(now time.Duration) bool {
	rules := &b.settings.Rules
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	requests := b.requestTimes.countAfter(now - rules.RetryBudgetWindow)
	retries := b.retryTimes.countAfter(now - rules.RetryBudgetWindow - 1)
	return float64(retries+1) <= rules.RetryBudgetBase+float64(rules.RetryBudgetShare*float64(requests))
}

// send starts an attempt. Every attempt is started here.
func (b *Balancer) send(now time.Duration, q *request, w *worker) {
	if len(q.attempts) > 0 {
		b.retryTimes.countAfter(now - b.settings.Rules.RetryBudgetWindow - 1)
		b.retryTimes = append(b.retryTimes, now)
	}
	q.attempts = append(q.attempts, attempt{worker: w, sentAt: now})
	q.inFlight++
	w.inFlight += q.slotsNeeded()
	if w.needsTrialRequest {
		w.needsTrialRequest = false
		b.workersNeedingTrial--
	}
	if b.warmUpFactor(now, w) < 1 {
		// Entries are kept for as long as the longest cycle of time slots.
		oldest := now - b.settings.Rules.OverloadWindow*time.Duration(b.maxWindows())
		w.slowStartSent = append(filter(w.slowStartSent, func(s sentWork) bool { return s.at > oldest }),
			sentWork{now, b.hintedWork(q)})
	}
	b.actions.Send(q.ID, w.ID)
}

// cancelInFlight cancels the attempts in flight of a request that has its response, if cancelling is
// possible.
//
// Otherwise requests whose clients have disconnected, and the slower one of two hedged attempts, would use
// the capacity of other requests.
func (b *Balancer) cancelInFlight(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].ended && b.settings.Limits.CanCancel {
			b.actions.Cancel(q.ID, i)
		}
	}
}

// rejectable reports whether q may be rejected: a rejection promises that a retry is harmless.
func (b *Balancer) rejectable(q *request) bool {
	c := q.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, attempt.mayHaveRun)
}

// hedge starts a second attempt of idempotent requests that are in flight at an unresponsive worker.
//
// Requests that only wait are not hedged: a second attempt would use the capacity of others, and if
// cancelling has no effect, both would run.
func (b *Balancer) hedge(now time.Duration) {
	for _, q := range b.requests {
		if !q.responded && q.inFlight == 1 && q.class.Idempotency != NonIdempotent &&
			b.unresponsive(now, q.attempts[len(q.attempts)-1].worker) {
			b.startAttempt(now, q)
		}
	}
}
