package platform

import (
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
)

const (
	// maxIdlePerWorker is how many idle connections to one worker are kept. All of them together may take an
	// eighth of the descriptors: half of what is not for accepted connections.
	maxIdlePerWorker = 16

	// defaultConnectTimeout and defaultIdleTimeout hold where the settings give none.
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 5 * time.Second

	// reuseBackoff is how long idle connections are not reused for attempts after one was reset under a
	// request. Hazard: some machines, and what lies between, drop idle connections early and show it only by
	// resetting the next request. Each such attempt may have run, as far as this process can know. A new
	// connection costs a few milliseconds of work. Health checks go on reusing connections, and so find out
	// when this is over.
	reuseBackoff = 10 * time.Second
)

// responseFunc receives the response to a request, once: its head and body, or a nil head and whether the
// request surely never was sent whole.
type responseFunc func(m *http1.Message, body []byte, unsent bool)

// exchange is a request to a worker and its response, on a connection that carries one at a time.
type exchange struct {
	worker              *worker
	conn                *eventloop.Conn
	parser              http1.Parser
	timer               *eventloop.Timer // to connect, or while idle
	address             string           // that was dialled
	inFlight            bool
	reused              bool // the connection has carried a request before this one
	resetBeforeResponse bool // it ended without a byte of a response

	// buildRequest returns the request, as of when the connection can take it; nil: nobody waits for it any
	// more.
	buildRequest func() []byte
	onResponse   responseFunc
}

var _ eventloop.Handler = (*exchange)(nil)

// sending is how a request is sent.
type sending struct {
	newConnection bool // on no idle connection
	countForward  bool // as a forwarded attempt, once the kernel has the whole of it
}

// send writes a request on an idle connection or, where there is none to use, on a new one. It returns nil
// if no connection can be begun; onResponse has been called then.
//
// Hazard: a new connection may come up late. The timeout that the request states must be true when it is
// written, and its client may have disconnected meanwhile. So the request is built then.
func (w *worker) send(buildRequest func() []byte, how sending, onResponse responseFunc) *exchange {
	var x *exchange
	if !how.newConnection {
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
	if x.conn.OnSent = nil; how.countForward {
		x.conn.OnSent = func() { w.front.counters.Forwards++ }
	}
	if x.reused {
		x.writeRequest()
	}
	return x
}

// popIdle returns the idle connection that was used last, or nil.
func (w *worker) popIdle() *exchange {
	for len(w.idle) > 0 {
		last := len(w.idle) - 1
		x := w.idle[last]
		w.idle = w.idle[:last]
		x.timer.Stop()
		// Hazard: the worker has closed it meanwhile; a request written then ends as a reset, though it
		// never ran.
		if !x.conn.Stale() {
			return x
		}
		x.conn.Close()
	}
	return nil
}

// sendIdempotent sends a request that may be repeated, and repeats it once on a new connection if a reused
// one is reset under it: that is the connection's fault, not the worker's. It returns a function that
// cancels the call; onResponse is not called after it.
func (w *worker) sendIdempotent(request []byte, onResponse responseFunc) (cancel func()) {
	var x *exchange
	build := func() []byte { return request }
	x = w.send(build, sending{}, func(m *http1.Message, body []byte, unsent bool) {
		if m == nil && x != nil && x.reused && x.resetBeforeResponse {
			x = w.send(build, sending{newConnection: true}, onResponse)
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

// writeRequest writes the request, unless nobody waits for it any more.
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

// dropUnsent ends the exchange of a request that was never written.
func (x *exchange) dropUnsent() {
	onResponse := x.onResponse
	x.close()
	onResponse(nil, nil, true)
}

// OnConnect implements eventloop.Handler: the request can be written.
func (x *exchange) OnConnect(*eventloop.Conn) {
	x.timer.Stop()
	x.writeRequest()
}

// OnData reads the response.
func (x *exchange) OnData(*eventloop.Conn) {
	if !x.inFlight {
		x.close() // no request is waiting for it
		return
	}
	for {
		complete, err := x.parser.Feed(x.conn.Input())
		if err != nil {
			x.fail()
			return
		}
		if !complete {
			return
		}
		if x.parser.Status >= 200 {
			break
		}
		x.conn.Discard(x.parser.MessageSize()) // an interim response: the final one is still to come
		x.parser.Reset()
	}
	m, body := x.parser.Message, append([]byte(nil), x.parser.Body(x.conn.Input())...)
	x.conn.Discard(x.parser.MessageSize())
	x.parser.Reset()
	x.complete(&m, body)
}

// complete passes the response on and keeps the connection for the next request.
func (x *exchange) complete(m *http1.Message, body []byte) {
	x.inFlight = false
	onResponse := x.onResponse
	x.onResponse = nil
	if w := x.worker; m.Close || !x.current() || len(x.conn.Input()) > 0 ||
		len(w.idle) >= maxIdlePerWorker || !w.front.canKeepIdleConnection() {
		x.close()
	} else {
		w.idle = append(w.idle, x)
		x.timer = w.front.loop.After(w.front.idleTimeout(), x.close)
	}
	onResponse(m, body, false)
}

// current reports whether the connection leads to where the worker is listed now.
func (x *exchange) current() bool {
	return x.worker.front.workers[x.worker.name] == x.worker && x.worker.address == x.address
}

// OnClose implements eventloop.Handler: the worker, or the network, has ended the connection.
func (x *exchange) OnClose(*eventloop.Conn, error) {
	if x.inFlight && x.parser.CompleteAtEOF() {
		m, body := x.parser.Message, x.parser.Body(x.conn.Input())
		x.inFlight = false
		x.onResponse(&m, body, false)
		return
	}
	x.resetBeforeResponse = x.inFlight && !x.parser.HeadComplete() && len(x.conn.Input()) == 0
	if x.resetBeforeResponse && x.reused {
		x.worker.front.reuseFailedAt = x.worker.front.loop.Now()
	}
	x.fail()
}

// fail ends the exchange without a response. A request of which the kernel still held a part, or whose
// connection never came up, can't have run.
func (x *exchange) fail() {
	unsent := x.conn.Connecting() || x.conn.UnsentBytes() > 0
	onResponse := x.onResponse
	if x.close(); onResponse != nil {
		onResponse(nil, nil, unsent)
	}
}

// close closes the connection without a call of onResponse.
func (x *exchange) close() {
	x.conn.Close()
	x.timer.Stop()
	x.inFlight, x.onResponse = false, nil
	for i, other := range x.worker.idle {
		if other == x {
			x.worker.idle = append(x.worker.idle[:i], x.worker.idle[i+1:]...)
			break
		}
	}
}

func (f *Front) avoidsReuse() bool { return f.loop.Now() < f.reuseFailedAt+reuseBackoff }

// canKeepIdleConnection reports whether one more idle connection may be kept.
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

// idleTimeout is how long a connection is kept idle: half of the time after which the worker closes it, for
// a request that crosses that close ends as a reset.
func (f *Front) idleTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.IdleTimeout); d > 0 {
		return d / 2
	}
	return defaultIdleTimeout
}
