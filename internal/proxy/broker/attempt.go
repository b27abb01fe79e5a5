package broker

import (
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/slotmap"
)

// Attempt is one try to have a request served by one endpoint.
type Attempt struct {
	ID        slotmap.ID
	Payload   any // of the request
	RequestID string
	Deadline  time.Duration // time of the broker's clock at which it is abandoned
}

// RunningAttempt is an attempt that an endpoint has started.
type RunningAttempt interface {
	// Abandon is called when nobody waits for the attempt's end any more.
	Abandon()
}

// attempt is one that has been started, or could not be.
type attempt struct {
	id       slotmap.ID
	request  *request
	number   int // within the request, from 0
	endpoint *endpoint
	sentAt   time.Duration
	running  RunningAttempt // nil: it was not started, or has migrated
	timer    Timer          // of its deadline
	ended    bool
}

// MayStillSend reports whether an attempt that was started, and has not been written to its worker yet, may
// still be written: it has not ended, its endpoint takes work, its class allows it now, and its client is
// connected.
func (b *Broker) MayStillSend(id slotmap.ID) bool {
	a, ok := b.attempts.Get(id)
	if !ok || a.endpoint.removed ||
		b.effective(a.endpoint.name, a.endpoint.listed).State != balancer.Ready {
		return false
	}
	// Within the balancer's own call it has only just decided.
	if !b.inDeferred &&
		!b.balancer.MayStillSend(b.clock.Now(), balancer.RequestID(a.request.ID), a.number) {
		return false
	}
	return b.clientWaits(a.request) && !a.ended
}

// EndAttempt records how an attempt has ended. An attempt that has ended before keeps its first end.
func (b *Broker) EndAttempt(id slotmap.ID, res balancer.Result, body []byte, report balancer.LoadReport) {
	if a, ok := b.attempts.Get(id); ok {
		b.end(a, res, body, report)
	}
}

// EndAttemptAt ends the attempt that a request has in flight at the named endpoint, and returns false if
// there is none.
func (b *Broker) EndAttemptAt(requestID, name string, res balancer.Result, body []byte,
	report balancer.LoadReport) bool {
	a := b.inFlightAt(requestID, name)
	if a == nil {
		return false
	}
	b.end(a, res, body, report)
	return true
}

// ReportProgress passes on that an attempt in flight has started running, or which fraction of it is done. It
// returns false if the request has no attempt in flight at the named endpoint.
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

// inFlightAt finds the attempt of a request that is in flight at the named endpoint; nil: there is none.
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

// abandon ends an attempt for which nobody waits any more.
func (b *Broker) abandon(a *attempt, res balancer.Result) {
	if a.ended {
		return
	}
	if a.running != nil {
		a.running.Abandon()
	}
	b.end(a, res, nil, balancer.NoLoadReport)
}

// end is the one place that ends an attempt.
func (b *Broker) end(a *attempt, res balancer.Result, body []byte, report balancer.LoadReport) {
	req := a.request
	a.ended = true
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
		b.forget(req)
	})
}
