package platform

import (
	"fmt"
	"net/url"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
)

const (
	// healthCheckTimeout is how long a health check may take; a later report would be of a load long past.
	healthCheckTimeout = 300 * time.Millisecond

	// cancelTimeout is how long the response to a cancellation is waited for.
	cancelTimeout = time.Second

	// acceptTimeoutFactor is how long a worker may take over its 202, in connect timeouts. It responds as
	// soon as it has the request, before it works on it: where the network was sound, 2.7 ms were the most
	// that was measured, beside a connect timeout of 250 ms.
	acceptTimeoutFactor = 2

	// timeoutReserve is what is subtracted from the time that a worker is given: it reads the request a
	// little later, its call-back takes a while, and this process may be held up before it writes the
	// response. It is a tenth of the time at most.
	timeoutReserve = 10 * time.Millisecond
)

// worker is a trip worker of the platform: its address, and the idle connections to it.
type worker struct {
	front   *Front
	name    string // its id in discovery's list
	address string
	idle    []*exchange // the one used last at the end
}

var _ broker.Endpoint = (*worker)(nil)

// closeIdle closes the idle connections.
func (w *worker) closeIdle() {
	for len(w.idle) > 0 {
		w.idle[len(w.idle)-1].close()
	}
}

// attempt is one attempt at a worker.
type attempt struct {
	worker      *worker
	exchange    *exchange
	requestID   string
	accepted    bool             // the worker has responded 202
	acceptTimer *eventloop.Timer // for the 202
}

var _ broker.RunningAttempt = (*attempt)(nil)

// StartAttempt implements broker.Endpoint: it sends the request to the worker.
func (w *worker) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	a := &attempt{worker: w, requestID: b.RequestID}
	a.exchange = w.send(
		func() []byte { return w.buildAttempt(b) },
		sending{newConnection: w.front.avoidsReuse(), countForward: true},
		func(m *http1.Message, _ []byte, unsent bool) {
			a.acceptTimer.Stop()
			if m != nil && m.Status == 202 {
				a.accepted = true // its end comes as a call-back
				return
			}
			w.front.broker.EndAttempt(b.ID, resultOf(m, unsent), nil, w.front.loadReportOf(m))
		})
	if a.exchange != nil && a.exchange.inFlight {
		// Hazard: a machine is cut off and its connections stay open and silent. A request sent on one would
		// be waited for until its timeout.
		a.acceptTimer = w.front.loop.After(acceptTimeoutFactor*w.front.connectTimeout(), func() {
			a.exchange.close()
			w.front.broker.EndAttempt(b.ID, balancer.ConnectionReset, nil, balancer.NoLoadReport)
		})
	}
	return a
}

// buildAttempt returns the HTTP request of an attempt as of now; nil: its client has disconnected, or its
// timeout has passed.
func (w *worker) buildAttempt(b broker.Attempt) []byte {
	timeout := b.Deadline - w.front.loop.Now()
	timeout -= min(timeoutReserve, timeout/10)
	if timeout <= 0 || !w.front.broker.MayStillSend(b.ID) {
		return nil
	}
	p := b.Payload.(*payload)
	fields := fmt.Sprintf("X-Request-ID: %s\r\nX-Timeout: %du\r\n", b.RequestID,
		max(timeout.Microseconds(), 1))
	if p.idempotencyKey != "" {
		fields += "Idempotency-Key: " + p.idempotencyKey + "\r\n"
	}
	return http1.AppendRequest(nil, "POST", p.target, w.address, fields, p.body)
}

// resultOf is the protocol's table of what a worker's response means. A result by which the request
// never ran must be certain.
func resultOf(m *http1.Message, unsent bool) balancer.Result {
	switch {
	case m == nil && unsent:
		return balancer.ConnectFailed
	case m == nil:
		return balancer.ConnectionReset
	case (m.Status == 503 || m.Status == 504) && m.Get("X-Not-Processed") == "1":
		return balancer.WorkerFull
	case m.Status >= 400 && m.Status < 500 && m.Status != 408 && m.Status != 429:
		return balancer.Unprocessable // the request is at fault, not the worker
	}
	return balancer.ServerError
}

// Abandon implements broker.RunningAttempt: it cancels the request at the worker, or closes the connection
// if the worker has not accepted it yet.
func (a *attempt) Abandon() {
	if a.accepted {
		a.worker.cancel(a.requestID)
		return
	}
	a.acceptTimer.Stop()
	if a.exchange != nil && a.exchange.inFlight {
		a.exchange.close()
	}
}

// cancel sends the worker a cancellation of a request that it has accepted.
//
// Hazard: requests are cancelled at machines that have vanished, and each call would hold its connection for
// ever. So it is aborted after cancelTimeout.
func (w *worker) cancel(requestID string) {
	request := http1.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(requestID), w.address, "", nil)
	abort := w.sendIdempotent(request, func(*http1.Message, []byte, bool) {})
	w.front.loop.After(cancelTimeout, abort)
}

// CheckHealth implements broker.Endpoint: it requests the worker's load report, and calls done once.
func (w *worker) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	finished := false
	finish := func(result balancer.Result, r balancer.LoadReport) {
		if !finished {
			finished = true
			done(result, r)
		}
	}
	var timer *eventloop.Timer
	request := http1.AppendRequest(nil, "GET", "/_load", w.address, "", nil)
	abort := w.sendIdempotent(request, func(m *http1.Message, body []byte, unsent bool) {
		timer.Stop()
		switch {
		case m == nil:
			finish(resultOf(m, unsent), balancer.NoLoadReport)
		case m.Status != 200:
			finish(balancer.ServerError, balancer.NoLoadReport)
		default:
			finish(balancer.OK, w.front.parseLoadReport(string(body)))
		}
	})
	if !finished {
		timer = w.front.loop.After(healthCheckTimeout, func() {
			abort()
			finish(balancer.TimedOut, balancer.NoLoadReport)
		})
	}
}
