package platform

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
)

// healthCheckTimeout is how long a probe may take; what comes later tells of a load long past.
const healthCheckTimeout = 300 * time.Millisecond

// cancelTimeout is how long the answer to a job's giving up is waited for.
const cancelTimeout = time.Second

// maxIdlePerWorker is how many idle connections are kept to one next hop. To all of them, an
// eighth of the descriptors: half of what is not for who comes in.
const maxIdlePerWorker = 16

func (f *Front) mayKeepIdle() bool {
	n := 0
	for _, h := range f.workers {
		n += len(h.idle)
	}
	return n < f.cfg.Limits.Sockets/8
}

// worker is a trip worker: its address here, and the idle connections to it.
type worker struct {
	front   *Front
	name    string
	address string
	idle    []*exchange // the one used last at the end
}

var _ broker.Endpoint = (*worker)(nil)

// exchange is a request on a connection of its own, and its answer. A connection
// carries one at a time.
type exchange struct {
	worker              *worker
	conn                *eventloop.Conn
	parser              http1.Parser
	timer               *eventloop.Timer
	address             string
	inFlight            bool
	reused              bool // the connection has carried a request before this one
	resetBeforeResponse bool // it ended without a byte of an answer
	// buildRequest words the request when the connection can take it; nil: nobody waits for it any more.
	buildRequest func() []byte
	// onResponse is told once: the answer, or nil and whether the request never went out whole.
	onResponse func(m *http1.Message, body []byte, unsent bool)
}

var _ eventloop.Handler = (*exchange)(nil)

// send writes a request on an idle connection or, if it must be fresh or there is none,
// on a new one. An attempt is counted once the kernel has the whole of it.
//
// Hazard: a new connection may come up late. What the request says of time must be true when it is
// written, and its client may have left meanwhile.
func (h *worker) send(compose func() []byte, fresh, attempt bool,
	done func(*http1.Message, []byte, bool)) *exchange {
	var x *exchange
	for !fresh && len(h.idle) > 0 && x == nil {
		last := len(h.idle) - 1
		x, h.idle = h.idle[last], h.idle[:last]
		x.timer.Stop()
		// Hazard: the next hop has closed it meanwhile; what is written then ends as a
		// reset, though it never ran.
		if x.conn.Stale() {
			x.conn.Close()
			x = nil
		}
	}
	if x == nil {
		x = &exchange{worker: h, address: h.address, parser: http1.Parser{ReadsResponses: true}}
		conn, err := h.front.loop.Dial(h.address, x)
		if err != nil {
			h.front.log.WithError(err).Warn("a next hop can't be dialled")
			done(nil, nil, true)
			return nil
		}
		x.conn = conn
		x.timer = h.front.loop.After(h.front.connectTimeout(), func() { x.fail() })
	} else {
		x.reused = true
	}
	x.inFlight, x.buildRequest, x.onResponse = true, compose, done
	if x.conn.OnSent = nil; attempt {
		x.conn.OnSent = func() { h.front.counters.Forwards++ }
	}
	if x.reused {
		x.writeRequest()
	}
	return x
}

// writeRequest sends the request, unless nobody waits for it any more.
func (x *exchange) writeRequest() {
	request := x.buildRequest()
	switch {
	case !x.inFlight: // it was given up meanwhile
	case request == nil:
		x.conn.OnSent = nil
		x.dropUnsent()
	default:
		x.conn.Write(request)
	}
}

// dropUnsent ends the exchange of a request that was never written.
func (x *exchange) dropUnsent() {
	done := x.onResponse
	x.close()
	done(nil, nil, true)
}

// sendIdempotent sends what does no harm twice, and so once more on a new connection if a kept one
// breaks under it: that tells of the connection, not of the next hop. It returns what
// ends the call without telling.
func (h *worker) sendIdempotent(request []byte, done func(*http1.Message, []byte, bool)) (end func()) {
	var x *exchange
	compose := func() []byte { return request }
	x = h.send(compose, false, false, func(m *http1.Message, body []byte, unsent bool) {
		if m == nil && x != nil && x.reused && x.resetBeforeResponse {
			x = h.send(compose, true, false, done)
			return
		}
		done(m, body, unsent)
	})
	return func() {
		if x != nil && x.inFlight {
			x.close()
		}
	}
}

// reuseBackoff is how long kept connections carry no jobs after one has broken under a
// request. Hazard: some machines, and what lies between, drop idle connections early and
// tell only by resetting the next request. Each such job may have run, as far as we can
// tell. A new connection costs a few milliseconds of work. Probes go on using them, and
// so find out when this is over.
const reuseBackoff = 10 * time.Second

func (f *Front) avoidsReuse() bool { return f.loop.Now() < f.reuseFailedAt+reuseBackoff }

func (f *Front) connectTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.ConnectTimeout); d > 0 {
		return d
	}
	return time.Second
}

// OnConnect ends the wait for the connection.
func (x *exchange) OnConnect(*eventloop.Conn) {
	x.timer.Stop()
	x.writeRequest()
}

// OnData reads the answer.
func (x *exchange) OnData(*eventloop.Conn) {
	if !x.inFlight {
		x.close() // nothing was asked
		return
	}
	for {
		whole, err := x.parser.Feed(x.conn.Input())
		if err != nil {
			x.fail()
			return
		}
		if !whole {
			return
		}
		if x.parser.Status >= 200 {
			break
		}
		x.conn.Discard(x.parser.MessageSize()) // a 100: the answer is still to come
		x.parser.Reset()
	}
	m, body := x.parser.Message, append([]byte(nil), x.parser.Body(x.conn.Input())...)
	x.conn.Discard(x.parser.MessageSize())
	x.parser.Reset()
	x.complete(&m, body)
}

// complete hands the answer over and keeps the connection for the next request.
func (x *exchange) complete(m *http1.Message, body []byte) {
	x.inFlight = false
	done := x.onResponse
	x.onResponse = nil
	listed := x.worker.front.workers[x.worker.name] == x.worker && x.worker.address == x.address
	if m.Close || !listed || len(x.conn.Input()) > 0 || len(x.worker.idle) >= maxIdlePerWorker ||
		!x.worker.front.mayKeepIdle() {
		x.close()
	} else {
		x.worker.idle = append(x.worker.idle, x)
		x.timer = x.worker.front.loop.After(x.worker.front.idleTimeout(), x.close)
	}
	done(m, body, false)
}

// idleTimeout is how long a connection stays idle: well short of the time at which the
// next hop closes it, for what crosses that ends as a reset.
func (f *Front) idleTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.IdleTimeout); d > 0 {
		return d / 2
	}
	return 5 * time.Second
}

// OnClose is the end of the connection from the other side.
func (x *exchange) OnClose(*eventloop.Conn, error) {
	if x.inFlight && x.parser.CompleteAtEOF() {
		m, body := x.parser.Message, x.parser.Body(x.conn.Input())
		x.inFlight = false
		x.onResponse(&m, body, false)
		return
	}
	if x.resetBeforeResponse = x.inFlight && !x.parser.HeadDone() &&
		len(x.conn.Input()) == 0; x.resetBeforeResponse &&
		x.reused {
		x.worker.front.reuseFailedAt = x.worker.front.loop.Now()
	}
	x.fail()
}

// fail ends the exchange without an answer. A request of which the kernel still
// held a part, or whose connection never came up, can't have run.
func (x *exchange) fail() {
	unsent := x.conn.Connecting() || x.conn.UnsentBytes() > 0
	done := x.onResponse
	if x.close(); done != nil {
		done(nil, nil, unsent)
	}
}

// close drops the connection; nothing is told.
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

// CloseIdle closes the idle connections.
func (h *worker) CloseIdle() {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// acceptTimeoutFactor is how long a next hop may take over its 202, in times to connect. It gives
// it as soon as it has the job, before it works on it: 2.7 ms were the most that was seen
// where the way was sound, beside 250 ms to connect.
const acceptTimeoutFactor = 2

// attempt is one attempt under way.
type attempt struct {
	worker      *worker
	exchange    *exchange
	requestID   string
	accepted    bool
	acceptTimer *eventloop.Timer // for the 202
}

// StartAttempt sends a job.
func (h *worker) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	br := &attempt{worker: h, requestID: b.RequestID}
	br.exchange = h.send(func() []byte { return h.buildAttempt(b) }, h.front.avoidsReuse(), true,
		func(m *http1.Message, body []byte, unsent bool) {
			br.acceptTimer.Stop()
			if m != nil && m.Status == 202 {
				br.accepted = true // its end comes as a call-back
				return
			}
			h.front.broker.EndAttempt(b.ID, resultOf(m, unsent), nil, h.front.loadReportOf(m))
		})
	if br.exchange != nil && br.exchange.inFlight {
		// Hazard: a machine is cut off and its connections stay open and silent. A job that
		// went into one would be waited for until the client's time is up.
		br.acceptTimer = h.front.loop.After(acceptTimeoutFactor*h.front.connectTimeout(), func() {
			br.exchange.close()
			h.front.broker.EndAttempt(b.ID, balancer.ConnectionReset, nil, balancer.NoLoadReport)
		})
	}
	return br
}

// timeoutReserve is what is taken off the time that a worker is told of: it reads the request a little
// later, its answer takes its way back, and the process may be held up before it writes. It is a tenth at
// most.
const timeoutReserve = 10 * time.Millisecond

// buildAttempt words the request of a branch as of now; nil: its client has left, or its time is up.
func (h *worker) buildAttempt(b broker.Attempt) []byte {
	left := b.Deadline - h.front.loop.Now()
	left -= min(timeoutReserve, left/10)
	if left <= 0 || !h.front.broker.MayStillSend(b.ID) {
		return nil
	}
	j := b.Payload.(*payload)
	extra := fmt.Sprintf("X-Request-ID: %s\r\nX-Timeout: %du\r\n", b.RequestID, max(left.Microseconds(), 1))
	if j.key != "" {
		extra += "Idempotency-Key: " + j.key + "\r\n"
	}
	return http1.AppendRequest(nil, "POST", j.target, h.address, extra, j.body)
}

// resultOf is the protocol's table of what comes back. Only what proves that the
// job never ran may say so.
func resultOf(m *http1.Message, unsent bool) balancer.Result {
	switch {
	case m == nil && unsent:
		return balancer.ConnectFailed
	case m == nil:
		return balancer.ConnectionReset
	case (m.Status == 503 || m.Status == 504) && m.Get("X-Not-Processed") == "1":
		return balancer.WorkerFull
	case m.Status >= 400 && m.Status < 500 && m.Status != 408 && m.Status != 429:
		return balancer.Unprocessable // it says that the job is at fault, not the next hop
	}
	return balancer.ServerError
}

// Abandon tells the next hop that nobody waits: by a call once it has taken the
// job, by closing before.
func (b *attempt) Abandon() {
	if !b.accepted {
		b.acceptTimer.Stop()
		if b.exchange != nil && b.exchange.inFlight {
			b.exchange.close()
		}
		return
	}
	request := http1.AppendRequest(
		nil,
		"DELETE",
		"/jobs/"+url.PathEscape(b.requestID),
		b.worker.address,
		"",
		nil,
	)
	// Hazard: jobs are given up at machines that have vanished, and each call would hold
	// its connection for ever.
	b.worker.front.loop.After(
		cancelTimeout,
		b.worker.sendIdempotent(request, func(*http1.Message, []byte, bool) {}),
	)
}

// CheckHealth asks for the load report.
func (h *worker) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	answered := false
	tell := func(res balancer.Result, r balancer.LoadReport) {
		if !answered {
			answered = true
			done(res, r)
		}
	}
	var timer *eventloop.Timer
	end := h.sendIdempotent(http1.AppendRequest(nil, "GET", "/_load", h.address, "", nil),
		func(m *http1.Message, body []byte, unsent bool) {
			timer.Stop()
			switch {
			case m == nil:
				tell(resultOf(m, unsent), balancer.NoLoadReport)
			case m.Status != 200:
				tell(balancer.ServerError, balancer.NoLoadReport)
			default:
				tell(balancer.OK, h.front.parseLoadReport(string(body)))
			}
		})
	if !answered {
		timer = h.front.loop.After(healthCheckTimeout, func() {
			end()
			tell(balancer.TimedOut, balancer.NoLoadReport)
		})
	}
}

// loadReportOf is the load report that an answer carries.
func (f *Front) loadReportOf(m *http1.Message) balancer.LoadReport {
	if m == nil {
		return balancer.NoLoadReport
	}
	return f.parseLoadReport(m.Get("X-Server-Load"))
}

// parseLoadReport reads a load report, as an object or as "TEXT name=value, name=value".
func (f *Front) parseLoadReport(s string) balancer.LoadReport {
	r := balancer.NoLoadReport
	s = strings.TrimSpace(s)
	if strings.HasPrefix(s, "{") {
		var values map[string]float64
		if json.Unmarshal([]byte(s), &values) == nil {
			for name, v := range values {
				f.names.report.Set(&r, name, v)
			}
		}
		return r
	}
	for item := range strings.SplitSeq(strings.TrimPrefix(s, "TEXT"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			f.names.report.Set(&r, name, v)
		}
	}
	return r
}
