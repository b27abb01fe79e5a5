package platform

import (
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
)

const (
	// maxIdlePerWorker limits the idle connections kept to one worker. Those to all workers together may use
	// an eighth of the descriptors, which is half of the share that accepted connections leave.
	maxIdlePerWorker = 16

	// defaultConnectTimeout and defaultIdleTimeout apply where the settings give no value.
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 5 * time.Second

	// reuseBackoff is how long attempts use only new connections after a reused one was reset during a
	// request. Some machines and network devices drop idle connections early, which shows only when the next
	// request is reset. This process can't know whether such an attempt ran. A new connection costs a few
	// milliseconds of work. Health checks still reuse connections, which extends the backoff until such
	// resets end.
	reuseBackoff = 10 * time.Second

	// rejectionConfirmTime is how long a response on a reused connection that says that a request never ran
	// is held back. It may be a second response to an earlier request, and then the request's own response
	// follows: a worker responds within some milliseconds after it has received a request.
	rejectionConfirmTime = 20 * time.Millisecond
)

// responseFunc is called once with the response to a request: its head and body, or a nil head if there was
// no response. unsent then reports that the request certainly was not sent completely.
type responseFunc func(m *http1.Message, body []byte, unsent bool)

// exchange is a connection to a worker that carries one request and its response at a time.
type exchange struct {
	worker              *worker
	conn                *eventloop.Conn
	parser              http1.Parser
	timer               *eventloop.Timer // connect timeout, or idle timeout
	address             string           // the dialled address
	inFlight            bool
	reused              bool          // the connection has carried an earlier request
	resetBeforeResponse bool          // the connection ended before any byte of a response
	confirmRejection    bool          // see sendOptions
	held                *heldResponse // a response that may not be this request's; nil: none
	unreliable          bool          // a response that belongs to no request has come: don't use it again

	// buildRequest is called when the connection can be written to and returns the request; nil: the request
	// is no longer needed.
	buildRequest func() []byte
	onResponse   responseFunc
}

var _ eventloop.Handler = (*exchange)(nil)

// heldResponse is a response that waits for rejectionConfirmTime before it counts.
type heldResponse struct {
	message http1.Message
	body    []byte
	timer   *eventloop.Timer
}

// sendOptions control how a request is sent.
type sendOptions struct {
	newConnection bool // don't reuse an idle connection
	countForward  bool // count it as forwarded once the kernel has accepted all of it
	// confirmRejection holds a response that says that the request never ran for rejectionConfirmTime, if the
	// connection has carried an earlier request. If another response follows, that one counts.
	confirmRejection bool
}

// send sends a request on an idle connection or, if none can be used, on a new one. It returns nil if
// dialling fails; onResponse has been called then.
//
// A new connection may take long to establish, and the client may disconnect meanwhile. The request is
// therefore built only when it can be written, so that the timeout it states is correct at that time.
func (w *worker) send(buildRequest func() []byte, options sendOptions, onResponse responseFunc) *exchange {
	var x *exchange
	if !options.newConnection {
		x = w.popIdle()
	}
	if x != nil {
		x.reused = true
	} else {
		x = &exchange{worker: w, address: w.address, parser: http1.Parser{ReadsResponses: true}}
		conn, err := w.front.loop.Dial(w.address, x)
		if err != nil {
			w.front.log.WithError(err).WithField("worker", w.name).Warn("dialling a worker failed")
			onResponse(nil, nil, true)
			return nil
		}
		x.conn = conn
		x.timer = w.front.loop.After(w.front.connectTimeout(), x.fail)
	}
	x.inFlight, x.buildRequest, x.onResponse = true, buildRequest, onResponse
	x.confirmRejection = options.confirmRejection
	if x.conn.OnSent = nil; options.countForward {
		x.conn.OnSent = func() { w.front.counters.Forwards++ }
	}
	if x.reused {
		x.writeRequest()
	}
	return x
}

// popIdle removes and returns the most recently used idle connection that is still open, or nil.
func (w *worker) popIdle() *exchange {
	for len(w.idle) > 0 {
		last := len(w.idle) - 1
		x := w.idle[last]
		w.idle = w.idle[:last]
		x.timer.Stop()
		// If the worker has closed the connection meanwhile, a request written on it would end as a
		// reset although it never ran.
		if !x.conn.Stale() {
			return x
		}
		x.conn.Close()
	}
	return nil
}

// sendIdempotent sends a request that may be repeated. If a reused connection is reset before any byte of
// the response, the request is repeated once on a new connection, since such a reset is no fault of the
// worker. The returned function cancels the call; onResponse is not called after that.
func (w *worker) sendIdempotent(request []byte, onResponse responseFunc) (cancel func()) {
	var x *exchange
	build := func() []byte { return request }
	x = w.send(build, sendOptions{}, func(m *http1.Message, body []byte, unsent bool) {
		if m == nil && x != nil && x.reused && x.resetBeforeResponse {
			x = w.send(build, sendOptions{newConnection: true}, onResponse)
			return
		}
		onResponse(m, body, unsent)
	})
	return func() {
		if x != nil && x.inFlight {
			x.close()
		}
	}
}

// writeRequest builds and writes the request, unless it is no longer needed.
func (x *exchange) writeRequest() {
	request := x.buildRequest()
	switch {
	case !x.inFlight: // it was cancelled meanwhile
	case request == nil:
		x.conn.OnSent = nil
		x.dropUnsent()
	default:
		x.conn.Write(request)
	}
}

// dropUnsent ends an exchange whose request was never written.
func (x *exchange) dropUnsent() {
	onResponse := x.onResponse
	x.close()
	onResponse(nil, nil, true)
}

// OnConnect implements eventloop.Handler. It writes the request.
func (x *exchange) OnConnect(*eventloop.Conn) {
	x.timer.Stop()
	x.writeRequest()
}

// OnData implements eventloop.Handler. It reads the response.
func (x *exchange) OnData(*eventloop.Conn) {
	if !x.inFlight {
		x.close() // data without a request in flight
		return
	}
	for x.inFlight && len(x.conn.Input()) > 0 {
		complete, err := x.parser.Feed(x.conn.Input())
		if err != nil {
			x.fail()
			return
		}
		if !complete {
			return
		}
		m, body := x.parser.Message, append([]byte(nil), x.parser.Body(x.conn.Input())...)
		x.conn.Discard(x.parser.MessageSize())
		x.parser.Reset()
		if m.Status >= 200 { // an interim response is skipped: the final one is still to come
			x.receive(&m, body)
		}
	}
}

// receive handles a response. A connection on which two responses have come for one request is not used
// again: the last one is the request's own, since what belongs to earlier requests comes before it.
func (x *exchange) receive(m *http1.Message, body []byte) {
	switch {
	case x.held != nil:
		x.held.timer.Stop()
		x.held = nil
		onResponse := x.onResponse
		x.close()
		onResponse(m, body, false)
	case !x.reused || !x.confirmRejection || !neverProcessed(m):
		x.complete(m, body)
	case !x.conn.OutputAcknowledged():
		x.unreliable = true // the worker does not have the whole request yet, so this is no response to it
	case !m.Close:
		x.held = &heldResponse{message: *m, body: body}
		x.held.timer = x.worker.front.loop.After(rejectionConfirmTime, func() {
			held := x.held
			x.held = nil
			x.complete(&held.message, held.body)
		})
	default:
		x.complete(m, body)
	}
}

// complete passes the response on and keeps the connection for the next request if it may be reused.
func (x *exchange) complete(m *http1.Message, body []byte) {
	x.inFlight = false
	onResponse := x.onResponse
	x.onResponse = nil
	if w := x.worker; m.Close || x.unreliable || !x.addressCurrent() || len(x.conn.Input()) > 0 ||
		len(w.idle) >= maxIdlePerWorker || !w.front.canKeepIdleConnection() {
		x.close()
	} else {
		w.idle = append(w.idle, x)
		x.timer = w.front.loop.After(w.front.idleTimeout(), x.close)
	}
	onResponse(m, body, false)
}

// addressCurrent reports whether the worker is still listed at the address of this connection.
func (x *exchange) addressCurrent() bool {
	return x.worker.front.workers[x.worker.name] == x.worker && x.worker.address == x.address
}

// OnClose implements eventloop.Handler. The worker or the network has ended the connection.
func (x *exchange) OnClose(*eventloop.Conn, error) {
	if x.inFlight && x.parser.CompleteAtEOF() {
		m, body := x.parser.Message, x.parser.Body(x.conn.Input())
		x.inFlight = false
		x.onResponse(&m, body, false)
		return
	}
	x.resetBeforeResponse = x.inFlight && x.held == nil && !x.parser.HeadComplete() &&
		len(x.conn.Input()) == 0
	if x.resetBeforeResponse && x.reused {
		x.worker.front.reuseFailedAt = x.worker.front.loop.Now()
	}
	x.fail()
}

// fail ends the exchange without a response. The request can't have run if the connection was never
// established or if the kernel has not accepted all of the request.
func (x *exchange) fail() {
	unsent := x.conn.Connecting() || x.conn.UnsentBytes() > 0
	onResponse := x.onResponse
	if x.close(); onResponse != nil {
		onResponse(nil, nil, unsent)
	}
}

// close closes the connection without calling onResponse.
func (x *exchange) close() {
	x.conn.Close()
	x.timer.Stop()
	if x.held != nil {
		x.held.timer.Stop()
		x.held = nil
	}
	x.inFlight, x.onResponse = false, nil
	for i, other := range x.worker.idle {
		if other == x {
			x.worker.idle = append(x.worker.idle[:i], x.worker.idle[i+1:]...)
			break
		}
	}
}

// avoidsReuse reports whether attempts must use new connections for now.
func (f *Front) avoidsReuse() bool { return f.loop.Now() < f.reuseFailedAt+reuseBackoff }

// canKeepIdleConnection reports whether another idle connection fits in their share of the descriptors.
func (f *Front) canKeepIdleConnection() bool {
	n := 0
	for _, w := range f.workers {
		n += len(w.idle)
	}
	return n < f.cfg.Limits.Sockets/8
}

func (f *Front) connectTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.ConnectTimeout); d > 0 {
		return d
	}
	return defaultConnectTimeout
}

// idleTimeout is how long a connection may stay idle: half of the time after which the worker closes it. A
// request sent while the worker closes the connection would end as a reset.
func (f *Front) idleTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.IdleTimeout); d > 0 {
		return d / 2
	}
	return defaultIdleTimeout
}
