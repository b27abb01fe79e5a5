package broker

import (
	"slices"
	"time"

	"moorstack/balancer"
)

// actions carries out the balancer's decisions. It is a separate type so that these methods are not part of
// the Broker's API for fronts.
type actions struct{ *Broker }

var _ balancer.Actions = actions{}

// Send implements balancer.Actions. An attempt that can't be started ends with the result NotSent.
func (b actions) Send(id balancer.RequestID, worker balancer.WorkerID) {
	req := b.requests[id]
	if req == nil {
		return
	}
	now, deadline := b.clock.Now(), req.deadline
	if req.AttemptTimeout > 0 {
		deadline = min(deadline, now+req.AttemptTimeout)
	}
	e := b.endpoints[worker]
	reachable := e != nil && e.Endpoint != nil
	if e == nil {
		e = &endpoint{id: worker, removed: true}
	}
	a := &attempt{request: req, number: len(req.attempts), endpoint: e, sentAt: now}
	a.id = b.attempts.Add(a)
	req.attempts = append(req.attempts, a)
	req.inFlight++
	e.inFlight++
	switch {
	case req.client == nil || !reachable || a.number >= max(b.settings.Limits.MaxAttempts, 1):
		b.finishAttempt(a, balancer.NotSent, nil, balancer.NoLoadReport)
		return
	case deadline <= now:
		b.finishAttempt(a, balancer.TimedOut, nil, balancer.NoLoadReport)
		return
	}
	// Without the timer, a worker that never responds or a connection that transfers no data would keep a
	// request open for ever.
	a.timer = b.clock.At(deadline, func() { b.abandon(a, balancer.TimedOut) })
	a.running = e.StartAttempt(Attempt{ID: a.id, Payload: req.Payload, RequestID: req.ID, Deadline: deadline,
		Repeatable: b.settings.Classes[req.Class].Idempotency == balancer.Idempotent})
}

// Reject implements balancer.Actions.
func (b actions) Reject(id balancer.RequestID, retryAfter time.Duration) {
	b.endRequest(id, Response{Kind: Rejected, RetryAfter: retryAfter, MayHaveRun: b.mayHaveRun(id)})
}

// mayHaveRun reports whether an attempt of the request may have run.
func (b actions) mayHaveRun(id balancer.RequestID) bool {
	req := b.requests[id]
	return req != nil && slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		return !a.ended || !b.settings.Rules.ProvesNeverRan(a.result)
	})
}

// Fail implements balancer.Actions.
func (b actions) Fail(id balancer.RequestID) { b.endRequest(id, Response{Kind: Failed}) }

// endRequest responds to a request that no worker has served.
func (b actions) endRequest(id balancer.RequestID, r Response) {
	if req := b.requests[id]; req != nil {
		b.respond(req, r)
		b.dropFinished(req)
	}
}

// Cancel implements balancer.Actions by abandoning the attempt.
func (b actions) Cancel(id balancer.RequestID, number int) {
	if req := b.requests[id]; req != nil && number >= 0 && number < len(req.attempts) {
		b.abandon(req.attempts[number], balancer.Cancelled)
	}
}

// CheckHealth implements balancer.Actions by requesting a load report from the worker.
func (b actions) CheckHealth(worker balancer.WorkerID) {
	e := b.endpoints[worker]
	if e == nil || e.Endpoint == nil {
		return
	}
	e.Endpoint.CheckHealth(func(res balancer.Result, report balancer.LoadReport) {
		b.run(func() { b.balancer.HealthChecked(b.clock.Now(), worker, res, report) })
	})
}

// WatchList implements balancer.Actions.
func (b actions) WatchList(on bool) {
	if b.source != nil {
		b.run(func() { b.source.WatchList(on) })
	}
}

// SetTimer implements balancer.Actions.
func (b actions) SetTimer(d time.Duration, token uint64) {
	b.clock.At(b.clock.Now()+d, func() {
		b.run(func() { b.balancer.TimerFired(b.clock.Now(), token) })
	})
}

// SendPeer implements balancer.Actions. It does nothing: the balancers of different nodes exchange no
// messages.
func (b actions) SendPeer(int, []byte) {}

// Log implements balancer.Actions.
func (b actions) Log(text string) { b.log.Info(text) }
