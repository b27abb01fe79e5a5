package broker

import (
	"time"

	"moorstack/balancer"
)

// actions carries out what the balancer decides. It is a type of its own, so that the actions are not among
// the methods that fronts see.
type actions struct{ *Broker }

var _ balancer.Actions = actions{}

// Send implements balancer.Actions. An attempt that can't be started ends as not sent.
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
		b.end(a, balancer.NotSent, nil, balancer.NoLoadReport)
		return
	case deadline <= now:
		b.end(a, balancer.TimedOut, nil, balancer.NoLoadReport)
		return
	}
	// Hazard: a worker that never responds, or a connection that passes nothing on, holds a request for ever.
	a.timer = b.clock.At(deadline, func() { b.abandon(a, balancer.TimedOut) })
	a.running = e.StartAttempt(Attempt{ID: a.id, Payload: req.Payload, RequestID: req.ID, Deadline: deadline})
}

// Reject implements balancer.Actions.
func (b actions) Reject(id balancer.RequestID, retryAfter time.Duration) {
	b.finish(id, Response{Kind: Rejected, RetryAfter: retryAfter})
}

// Fail implements balancer.Actions.
func (b actions) Fail(id balancer.RequestID) { b.finish(id, Response{Kind: Failed}) }

// finish gives a final response that no worker gave.
func (b actions) finish(id balancer.RequestID, r Response) {
	if req := b.requests[id]; req != nil {
		b.respond(req, r)
		b.forget(req)
	}
}

// Cancel implements balancer.Actions: it abandons an attempt.
func (b actions) Cancel(id balancer.RequestID, number int) {
	if req := b.requests[id]; req != nil && number >= 0 && number < len(req.attempts) {
		b.abandon(req.attempts[number], balancer.Cancelled)
	}
}

// CheckHealth implements balancer.Actions: it requests a worker's load report.
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
