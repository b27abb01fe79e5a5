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
	// healthCheckTimeout limits a health check; a load report that came later would be out of date.
	healthCheckTimeout = 300 * time.Millisecond

	// cancelTimeout is how long to wait for the response to a cancellation.
	cancelTimeout = time.Second

	// acceptTimeoutFactor is how long a worker may take to respond 202, in connect timeouts. It responds as
	// soon as it has received the request, before it works on it: on a healthy network the slowest 202 took
	// 2.7 ms, at a connect timeout of 250 ms.
	acceptTimeoutFactor = 2

	// timeoutReserve is subtracted from the timeout that is sent to a worker. It allows for the delay until
	// the worker reads the request, for its call-back, and for a delay of this process before it writes the
	// response. At most a tenth of the timeout is subtracted.
	timeoutReserve = 10 * time.Millisecond
)

// worker is one of the platform's workers: its address and the idle connections to it.
type worker struct {
	front   *Front
	name    string // its id in the endpoint list
	address string
	idle    []*exchange // ordered by last use, the most recent at the end
}

var _ broker.Endpoint = (*worker)(nil)

// closeIdle closes all idle connections to the worker.
func (w *worker) closeIdle() {
	for len(w.idle) > 0 {
		w.idle[len(w.idle)-1].close()
	}
}

// attempt is an attempt that was started at a worker.
type attempt struct {
	worker      *worker
	exchange    *exchange
	requestID   string
	accepted    bool             // the worker has responded 202
	acceptTimer *eventloop.Timer // fires if the 202 does not come in time
}

var _ broker.RunningAttempt = (*attempt)(nil)

// StartAttempt implements broker.Endpoint. It sends the request to the worker.
func (w *worker) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	a := &attempt{worker: w, requestID: b.RequestID}
	a.exchange = w.send(
		func() []byte { return w.buildAttemptRequest(b) },
		sendOptions{newConnection: w.front.avoidsReuse(), countForward: true,
			confirmRejection: !b.Repeatable},
		func(m *http1.Message, _ []byte, unsent bool) {
			a.acceptTimer.Stop()
			if m != nil && m.Status == 202 {
				a.accepted = true // its end comes as a call-back
				return
			}
			w.front.broker.EndAttempt(b.ID, resultOf(m, unsent), nil, w.front.loadReportOf(m))
		})
	if a.exchange != nil && a.exchange.inFlight {
		// The connections to a machine that lost its network stay open and silent. Without this timer a
		// request sent on one of them would wait until its own timeout.
		a.acceptTimer = w.front.loop.After(acceptTimeoutFactor*w.front.connectTimeout(), func() {
			a.exchange.close()
			w.front.broker.EndAttempt(b.ID, balancer.ConnectionReset, nil, balancer.NoLoadReport)
		})
	}
	return a
}

// buildAttemptRequest returns the HTTP request of an attempt, with the timeout that remains now; nil: its
// timeout has passed, or the broker no longer allows it, for example since its client has disconnected.
func (w *worker) buildAttemptRequest(b broker.Attempt) []byte {
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

// neverProcessed reports whether a response says that the request certainly did not run.
func neverProcessed(m *http1.Message) bool {
	return (m.Status == 503 || m.Status == 504) && m.Get("X-Not-Processed") == "1"
}

// resultOf maps a worker's response to an attempt's result, as the protocol defines it. A result that says
// that the request never ran is returned only if that is certain.
func resultOf(m *http1.Message, unsent bool) balancer.Result {
	switch {
	case m == nil && unsent:
		return balancer.ConnectFailed
	case m == nil:
		return balancer.ConnectionReset
	case neverProcessed(m):
		return balancer.WorkerFull
	case m.Status >= 400 && m.Status < 500 && m.Status != 408 && m.Status != 429:
		return balancer.Unprocessable // the request is at fault, not the worker
	}
	return balancer.ServerError
}

// Abandon implements broker.RunningAttempt. It cancels the request at the worker, or closes the connection
// if the worker has not accepted the request yet.
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

// cancel sends the worker a cancellation of a request that it has accepted. The call is aborted after
// cancelTimeout; otherwise a call to a machine that has vanished would hold its connection for ever.
func (w *worker) cancel(requestID string) {
	request := http1.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(requestID), w.address, "", nil)
	abort := w.sendIdempotent(request, func(*http1.Message, []byte, bool) {})
	w.front.loop.After(cancelTimeout, abort)
}

// CheckHealth implements broker.Endpoint. It requests the worker's load report and calls done exactly once.
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
