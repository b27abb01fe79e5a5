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
	"moorstack/internal/proxy/broker"
)

// probing is how long a probe may take; what comes later tells of a load long past.
const probing = 300 * time.Millisecond

// calling is how long the answer to a job's giving up is waited for.
const calling = time.Second

// idleMost is how many idle connections are kept to one next hop. To all of them, an
// eighth of the descriptors: half of what is not for who comes in.
const idleMost = 16

func (f *Front) idleRoom() bool {
	n := 0
	for _, h := range f.hops {
		n += len(h.idle)
	}
	return n < f.cfg.Limits.Sockets/8
}

// nextHop is a trip worker: its address here, and the idle connections to it.
type nextHop struct {
	front   *Front
	name    string
	address string
	idle    []*exchange // the one used last at the end
}

var _ broker.NextHop = (*nextHop)(nil)

// exchange is a request on a connection of its own, and its answer. A connection
// carries one at a time.
type exchange struct {
	hop     *nextHop
	conn    *eventloop.Conn
	in      eventloop.Parser
	timer   *eventloop.Timer
	address string
	busy    bool
	kept    bool // the connection has carried a request before this one
	broke   bool // it ended without a byte of an answer
	// compose words the request when the connection can take it; nil: nobody waits for it any more.
	compose func() []byte
	// done is told once: the answer, or nil and whether the request never went out whole.
	done func(m *eventloop.Message, body []byte, unsent bool)
}

var _ eventloop.Handler = (*exchange)(nil)

// send writes a request on an idle connection or, if it must be fresh or there is none,
// on a new one. An attempt is counted once the kernel has the whole of it.
//
// Hazard: a new connection may come up late. What the request says of time must be true when it is
// written, and its client may have left meanwhile.
func (h *nextHop) send(compose func() []byte, fresh, attempt bool,
	done func(*eventloop.Message, []byte, bool)) *exchange {
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
		x = &exchange{hop: h, address: h.address, in: eventloop.Parser{Response: true}}
		conn, err := h.front.loop.Dial(h.address, x)
		if err != nil {
			h.front.log.WithError(err).Warn("a next hop can't be dialled")
			done(nil, nil, true)
			return nil
		}
		x.conn = conn
		x.timer = h.front.loop.After(h.front.connectTimeout(), func() { x.fail() })
	} else {
		x.kept = true
	}
	x.busy, x.compose, x.done = true, compose, done
	if x.conn.Sent = nil; attempt {
		x.conn.Sent = func() { h.front.counts.Forwards++ }
	}
	if x.kept {
		x.write()
	}
	return x
}

// write sends the request, unless nobody waits for it any more.
func (x *exchange) write() {
	request := x.compose()
	switch {
	case !x.busy: // it was given up meanwhile
	case request == nil:
		x.conn.Sent = nil
		x.drop()
	default:
		x.conn.Write(request)
	}
}

// drop ends the exchange of a request that was never written.
func (x *exchange) drop() {
	done := x.done
	x.close()
	done(nil, nil, true)
}

// ask sends what does no harm twice, and so once more on a new connection if a kept one
// breaks under it: that tells of the connection, not of the next hop. It returns what
// ends the call without telling.
func (h *nextHop) ask(request []byte, done func(*eventloop.Message, []byte, bool)) (end func()) {
	var x *exchange
	compose := func() []byte { return request }
	x = h.send(compose, false, false, func(m *eventloop.Message, body []byte, unsent bool) {
		if m == nil && x != nil && x.kept && x.broke {
			x = h.send(compose, true, false, done)
			return
		}
		done(m, body, unsent)
	})
	return func() {
		if x != nil && x.busy {
			x.close()
		}
	}
}

// mistrust is how long kept connections carry no jobs after one has broken under a
// request. Hazard: some machines, and what lies between, drop idle connections early and
// tell only by resetting the next request. Each such job may have run, as far as we can
// tell. A new connection costs a few milliseconds of work. Probes go on using them, and
// so find out when this is over.
const mistrust = 10 * time.Second

func (f *Front) mistrusts() bool { return f.loop.Now() < f.brokeAt+mistrust }

func (f *Front) connectTimeout() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.ConnectTimeout); d > 0 {
		return d
	}
	return time.Second
}

// Up ends the wait for the connection.
func (x *exchange) Up(*eventloop.Conn) {
	x.timer.Stop()
	x.write()
}

// Data reads the answer.
func (x *exchange) Data(*eventloop.Conn) {
	if !x.busy {
		x.close() // nothing was asked
		return
	}
	for {
		whole, err := x.in.Feed(x.conn.In())
		if err != nil {
			x.fail()
			return
		}
		if !whole {
			return
		}
		if x.in.Status >= 200 {
			break
		}
		x.conn.Use(x.in.Size()) // a 100: the answer is still to come
		x.in.Next()
	}
	m, body := x.in.Message, append([]byte(nil), x.in.Body(x.conn.In())...)
	x.conn.Use(x.in.Size())
	x.in.Next()
	x.finish(&m, body)
}

// finish hands the answer over and keeps the connection for the next request.
func (x *exchange) finish(m *eventloop.Message, body []byte) {
	x.busy = false
	done := x.done
	x.done = nil
	listed := x.hop.front.hops[x.hop.name] == x.hop && x.hop.address == x.address
	if m.Close || !listed || len(x.conn.In()) > 0 || len(x.hop.idle) >= idleMost ||
		!x.hop.front.idleRoom() {
		x.close()
	} else {
		x.hop.idle = append(x.hop.idle, x)
		x.timer = x.hop.front.loop.After(x.hop.front.idleFor(), x.close)
	}
	done(m, body, false)
}

// idleFor is how long a connection stays idle: well short of the time at which the
// next hop closes it, for what crosses that ends as a reset.
func (f *Front) idleFor() time.Duration {
	if d := time.Duration(f.cfg.Settings.Limits.ConnIdle); d > 0 {
		return d / 2
	}
	return 5 * time.Second
}

// Ended is the end of the connection from the other side.
func (x *exchange) Ended(*eventloop.Conn, error) {
	if x.busy && x.in.Ended() {
		m, body := x.in.Message, x.in.Body(x.conn.In())
		x.busy = false
		x.done(&m, body, false)
		return
	}
	if x.broke = x.busy && !x.in.HeadDone() && len(x.conn.In()) == 0; x.broke && x.kept {
		x.hop.front.brokeAt = x.hop.front.loop.Now()
	}
	x.fail()
}

// fail ends the exchange without an answer. A request of which the kernel still
// held a part, or whose connection never came up, can't have run.
func (x *exchange) fail() {
	unsent := x.conn.Connecting() || x.conn.Unsent() > 0
	done := x.done
	if x.close(); done != nil {
		done(nil, nil, unsent)
	}
}

// close drops the connection; nothing is told.
func (x *exchange) close() {
	x.conn.Close()
	x.timer.Stop()
	x.busy, x.done = false, nil
	for i, other := range x.hop.idle {
		if other == x {
			x.hop.idle = append(x.hop.idle[:i], x.hop.idle[i+1:]...)
			break
		}
	}
}

// CloseIdle closes the idle connections.
func (h *nextHop) CloseIdle() {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// accepting is how long a next hop may take over its 202, in times to connect. It gives
// it as soon as it has the job, before it works on it: 2.7 ms were the most that was seen
// where the way was sound, beside 250 ms to connect.
const accepting = 2

// branch is one attempt under way.
type branch struct {
	hop      *nextHop
	x        *exchange
	job      string
	accepted bool
	timer    *eventloop.Timer // for the 202
}

// Start sends a job.
func (h *nextHop) Start(b broker.Branch) broker.Running {
	br := &branch{hop: h, job: b.Name}
	br.x = h.send(func() []byte { return h.attempt(b) }, h.front.mistrusts(), true,
		func(m *eventloop.Message, body []byte, unsent bool) {
			br.timer.Stop()
			if m != nil && m.Status == 202 {
				br.accepted = true // its end comes as a call-back
				return
			}
			h.front.core.End(b.ID, resultOf(m, unsent), nil, h.front.loadOf(m))
		})
	if br.x != nil && br.x.busy {
		// Hazard: a machine is cut off and its connections stay open and silent. A job that
		// went into one would be waited for until the client's time is up.
		br.timer = h.front.loop.After(accepting*h.front.connectTimeout(), func() {
			br.x.close()
			h.front.core.End(b.ID, balancer.Reset, nil, balancer.NoReport)
		})
	}
	return br
}

// reserve is what is taken off the time that a worker is told of: it reads the request a little later, its
// answer takes its way back, and the process may be held up before it writes. It is a tenth at most.
const reserve = 10 * time.Millisecond

// attempt words the request of a branch as of now; nil: its client has left, or its time is up.
func (h *nextHop) attempt(b broker.Branch) []byte {
	left := b.Limit - h.front.loop.Now()
	left -= min(reserve, left/10)
	if left <= 0 || !h.front.core.Wanted(b.ID) {
		return nil
	}
	j := b.Job.(*job)
	extra := fmt.Sprintf("X-Request-ID: %s\r\nX-Timeout: %du\r\n", b.Name, max(left.Microseconds(), 1))
	if j.key != "" {
		extra += "Idempotency-Key: " + j.key + "\r\n"
	}
	return eventloop.AppendRequest(nil, "POST", j.target, h.address, extra, j.body)
}

// resultOf is the protocol's table of what comes back. Only what proves that the
// job never ran may say so.
func resultOf(m *eventloop.Message, unsent bool) balancer.Result {
	switch {
	case m == nil && unsent:
		return balancer.ConnectFailed
	case m == nil:
		return balancer.Reset
	case (m.Status == 503 || m.Status == 504) && m.Get("X-Not-Processed") == "1":
		return balancer.Full
	case m.Status >= 400 && m.Status < 500 && m.Status != 408 && m.Status != 429:
		return balancer.Rejected // it says that the job is at fault, not the next hop
	}
	return balancer.Error
}

// GiveUp tells the next hop that nobody waits: by a call once it has taken the
// job, by closing before.
func (b *branch) GiveUp() {
	if !b.accepted {
		b.timer.Stop()
		if b.x != nil && b.x.busy {
			b.x.close()
		}
		return
	}
	request := eventloop.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(b.job), b.hop.address, "", nil)
	// Hazard: jobs are given up at machines that have vanished, and each call would hold
	// its connection for ever.
	b.hop.front.loop.After(calling, b.hop.ask(request, func(*eventloop.Message, []byte, bool) {}))
}

// Probe asks for the load report.
func (h *nextHop) Probe(done func(balancer.Result, balancer.Report)) {
	answered := false
	tell := func(res balancer.Result, r balancer.Report) {
		if !answered {
			answered = true
			done(res, r)
		}
	}
	var timer *eventloop.Timer
	end := h.ask(eventloop.AppendRequest(nil, "GET", "/_load", h.address, "", nil),
		func(m *eventloop.Message, body []byte, unsent bool) {
			timer.Stop()
			switch {
			case m == nil:
				tell(resultOf(m, unsent), balancer.NoReport)
			case m.Status != 200:
				tell(balancer.Error, balancer.NoReport)
			default:
				tell(balancer.OK, h.front.parseLoad(string(body)))
			}
		})
	if !answered {
		timer = h.front.loop.After(probing, func() {
			end()
			tell(balancer.TimedOut, balancer.NoReport)
		})
	}
}

// loadOf is the load report that an answer carries.
func (f *Front) loadOf(m *eventloop.Message) balancer.Report {
	if m == nil {
		return balancer.NoReport
	}
	return f.parseLoad(m.Get("X-Server-Load"))
}

// parseLoad reads a load report, as an object or as "TEXT name=value, name=value".
func (f *Front) parseLoad(s string) balancer.Report {
	r := balancer.NoReport
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
