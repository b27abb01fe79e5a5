package broker

import (
	"time"

	"moorstack/balancer"
	"moorstack/internal/slotmap"
)

// Attempt is one try to serve a request at one endpoint.
type Attempt struct {
	ID        slotmap.ID
	Payload   any // the request's payload
	RequestID string
	Deadline  time.Duration // when the attempt is abandoned, by the broker's clock
	// Repeatable is set if the job may run any number of times, anywhere.
	Repeatable bool
}

// RunningAttempt is an attempt that an endpoint has started.
type RunningAttempt interface {
	// Abandon is called when the attempt's result is no longer needed.
	Abandon()
}

// attempt is the broker's record of an attempt that was started or failed to start.
type attempt struct {
	id       slotmap.ID
	request  *request
	number   int // of the attempt within its request, from 0
	endpoint *endpoint
	sentAt   time.Duration
	running  RunningAttempt // nil if it was not started or its request has migrated
	timer    Timer          // fires at the deadline
	ended    bool
	result   balancer.Result // once it has ended
}

// MayStillSend reports whether an attempt that has started, but has not been written to its worker yet, may
// still be written: it has not ended, its endpoint accepts new attempts, the balancer still allows it for the
// request's class, and its client is connected.
func (b *Broker) MayStillSend(id slotmap.ID) bool {
	a, ok := b.attempts.Get(id)
	if !ok || a.endpoint.removed ||
		b.effectiveWorker(a.endpoint.name, a.endpoint.listed).State != balancer.Ready {
		return false
	}
	// The balancer must not be called from within its own calls. In that case it has only just started the
	// attempt, so the attempt is still allowed.
	if !b.runningDeferred &&
		!b.balancer.MayStillSend(b.clock.Now(), balancer.RequestID(a.request.ID), a.number) {
		return false
	}
	return b.clientIsWaiting(a.request) && !a.ended
}

// EndAttempt records the result of an attempt. It has no effect if the attempt has already ended.
func (b *Broker) EndAttempt(id slotmap.ID, res balancer.Result, body []byte, report balancer.LoadReport) {
	if a, ok := b.attempts.Get(id); ok {
		b.finishAttempt(a, res, body, report)
	}
}

// EndAttemptAt ends the attempt that a request has in flight at the named endpoint. It returns false if there
// is none.
func (b *Broker) EndAttemptAt(requestID, name string, res balancer.Result, body []byte,
	report balancer.LoadReport) bool {
	a := b.inFlightAt(requestID, name)
	if a == nil {
		return false
	}
	b.finishAttempt(a, res, body, report)
	return true
}

// ReportProgress reports to the balancer whether an attempt in flight has started running, and which fraction
// of it is complete. It returns false if the request has no attempt in flight at the named endpoint.
func (b *Broker) ReportProgress(requestID, name string, started bool, fraction float64) bool {
	a := b.inFlightAt(requestID, name)
	if a == nil {
		return false
	}
	b.run(func() {
		b.balancer.AttemptProgressed(b.clock.Now(), balancer.AttemptProgress{
			ID: balancer.RequestID(requestID), Attempt: a.number, Worker: a.endpoint.id,
			Started: started, Fraction: fraction,
		})
	})
	return true
}

// inFlightAt returns the attempt that a request has in flight at the named endpoint, or nil.
func (b *Broker) inFlightAt(requestID, name string) *attempt {
	req := b.requests[balancer.RequestID(requestID)]
	if req == nil {
		return nil
	}
	for _, a := range req.attempts {
		if !a.ended && a.endpoint.name == name {
			return a
		}
	}
	return nil
}

// abandon ends an attempt whose result is no longer needed.
func (b *Broker) abandon(a *attempt, res balancer.Result) {
	if a.ended {
		return
	}
	if a.running != nil {
		a.running.Abandon()
	}
	b.finishAttempt(a, res, nil, balancer.NoLoadReport)
}

// finishAttempt ends an attempt that has not ended. All attempts end here.
func (b *Broker) finishAttempt(a *attempt, res balancer.Result, body []byte, report balancer.LoadReport) {
	req := a.request
	a.ended, a.result = true, res
	if a.timer != nil {
		a.timer.Stop()
	}
	b.attempts.Remove(a.id)
	req.inFlight--
	a.endpoint.inFlight--
	if b.onAttemptEnd != nil {
		b.onAttemptEnd(a.endpoint.name, res)
	}
	b.dropRemoved(a.endpoint)
	if res == balancer.OK {
		b.respond(req, Response{Kind: Served, Body: body})
	}
	b.run(func() {
		now := b.clock.Now()
		b.balancer.AttemptEnded(now, balancer.AttemptOutcome{
			ID: balancer.RequestID(req.ID), Attempt: a.number, Worker: a.endpoint.id,
			Result: res, Took: now - a.sentAt, Responded: req.client == nil, Report: report,
		})
		b.dropFinished(req)
	})
}
