package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
	"moorstack/internal/proxy/metrics"
	"moorstack/internal/proxy/routing"
)

const (
	ready    = "/_health"
	callBack = "/v1/job-events"
)

// Front is the platform's front.
type Front struct {
	loop     *eventloop.Loop
	core     *broker.Core
	cfg      *Config
	names    names
	log      logrus.FieldLogger
	listener *eventloop.Listener
	relays                      // what passes between this process and one beside it
	lines    map[string]line    // the list, as discovery words it
	fosters  map[string]*client // jobs that another process took, by their ids
	hops     map[string]*nextHop
	clients  map[*client]struct{}
	drain    drain.Drain
	ends     time.Duration // when the process was asked to end
	counts   metrics.Counts
	account  string         // the header that names a job's account; empty: none does
	routes   *routing.Table // nil: jobs go where the balancer decides
	dir      *directory
	start    startList
	starts   starts
	brokeAt  time.Duration // when a kept connection to a next hop last broke under a request
}

// New makes the front. Open begins its service, once it has its core.
func New(loop *eventloop.Loop, cfg *Config, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, cfg: cfg, names: namesOf(&cfg.Settings), log: log, hops: map[string]*nextHop{},
		clients: map[*client]struct{}{}}
	f.brokeAt = -mistrust
	f.fosters = map[string]*client{}
	f.lines, f.relays.waiting = map[string]line{}, map[uint64]*client{}
	f.counts.Classes = make([]metrics.Class, len(cfg.Settings.Classes))
	f.dir = newDirectory(f)
	f.start.front = f
	return f
}

// Directory is where the core asks for the route set.
func (f *Front) Directory() broker.Directory { return f.dir }

// Open gives the core what is known of the next hops and begins to listen.
func (f *Front) Open(c *broker.Core) error {
	f.core = c
	f.start.begin()
	var err error
	f.listener, err = f.loop.Listen(f.cfg.Listen, f.limits(), f.accept)
	f.dir.open()
	return err
}

// limits are what who comes in may take: a quarter of the descriptors is kept for
// branches, probes and discovery. A quarter of the memory may hold what has come in;
// results, the jobs under way and the collector's slack need the rest. Two processes of
// one node have half of that each.
func (f *Front) limits() eventloop.Limits {
	most, parts := f.cfg.Limits, 1
	if f.shared {
		parts = 2
	}
	return eventloop.Limits{Connections: (most.Sockets*3/4 - most.Others) / parts,
		Bytes: int(most.MemoryMB<<20/4) / parts, Share: f.cfg.Upgrades()}
}

// SetRoutes has jobs go by these rules, from the next one on; nil: by none.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// SetAccount has jobs be of the account that this header names; empty: of none.
func (f *Front) SetAccount(header string) { f.account = header }

func (f *Front) accept(c *eventloop.Conn) {
	cl := &client{front: f, conn: c, opened: f.loop.Now()}
	f.clients[cl] = struct{}{}
	c.H = cl
}

// client is a connection that was accepted: a client's, or a next hop's call-back.
type client struct {
	front *Front
	conn  *eventloop.Conn
	in    eventloop.Parser
	id    string // of the transaction it waits for
	class int    // its class
	rule  string // by which it was routed, if by any
	waits bool

	relayed bool // its call-back is with the other process, which has not said yet

	last  bool // the connection closes after this answer
	asked bool // a 100 has been sent for the request being read
	hop   bool // it is a next hop's, which calls back on it

	foster *foster       // of a job that another process took
	until  time.Duration // when its client gives up

	opened time.Duration
	used   bool // a whole message has come on it
}

var _ eventloop.Handler = (*client)(nil)
var _ broker.Client = (*client)(nil)
var _ broker.Leaver = (*client)(nil)

func (c *client) Up(*eventloop.Conn) {}

// Data reads requests one at a time: a pipelined one waits until the one before
// it has its answer.
func (c *client) Data(*eventloop.Conn) {
	for !c.waits && !c.relayed && !c.last && !c.conn.Closed() && len(c.conn.In()) > 0 {
		whole, err := c.in.Feed(c.conn.In())
		if err == nil && !whole && c.conn.Full() {
			// Hazard: a body in chunks of a byte is mostly framing, and would wait here unread.
			err = &eventloop.BadMessage{Status: 413, Reason: "the framing of the body is too large"}
		}
		if err != nil {
			c.refuse(err)
			return
		}
		if !whole {
			c.partial()
			return
		}
		c.conn.Taken()
		c.used = true
		c.last = c.in.Close
		m, body := c.in.Message, append([]byte(nil), c.in.Body(c.conn.In())...)
		c.conn.Use(c.in.Size())
		c.in.Next()
		c.asked = false
		c.handle(&m, body)
	}
}

// partial asks for the body of a request that has not come whole, if its sender waits.
func (c *client) partial() {
	if c.in.HeadDone() && c.in.Expects && !c.asked {
		c.asked = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// refuse ends a connection whose input can't be read on.
func (c *client) refuse(err error) {
	status := 400
	if b, ok := err.(*eventloop.BadMessage); ok {
		status = b.Status
	}
	c.reject(status, err)
}

// reject answers what is no job of ours, and ends the connection. Hazard: who sends
// such things asks again at once, or stays and holds a descriptor.
func (c *client) reject(status int, err error) {
	c.last = true
	c.respond(status, "", []byte(err.Error()+"\n"))
}

func (c *client) respond(status int, extra string, body []byte) {
	c.conn.Write(eventloop.AppendResponse(nil, status, c.last, extra, body))
	if c.last {
		c.conn.Finish()
		c.gone()
		return
	}
	c.conn.Idle()
}

func (c *client) handle(m *eventloop.Message, body []byte) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case m.Method == "POST" && path == callBack:
		c.hop = true
		switch {
		case c.front.event(body):
			c.respond(204, "", nil)
		case c.front.relay(c, body):
		case c.front.loop.Now() < c.front.strangerUntil:
			// Hazard: the process that shares the address, and can't be spoken to, waits for it.
			// Called again, it may reach that one.
			c.respond(503, "", nil)
		default:
			// Whatever it names, it has been heard: else it would be repeated.
			c.respond(204, "", nil)
		}
	case path == ready && m.Method == "GET":
		// It is asked seldom, but for those who mean to stay.
		c.last = c.last || !c.conn.Pending()
		if c.front.Ready() != nil {
			c.respond(503, "Retry-After: 1\r\n", nil)
		} else {
			c.respond(200, "", nil)
		}
	case m.Method == "POST":
		c.begin(m, body)
	default:
		c.reject(404, errNothing)
	}
}

var errNothing = errors.New("there is nothing here")

// job is a client's request as it is passed on.
type job struct {
	target, key string
	body        []byte
}

func (c *client) begin(m *eventloop.Message, body []byte) {
	t, d, err := c.front.transaction(m, body)
	// Hazard: a request that was sent ahead has waited here for the answer to the one before it.
	t.Left -= c.front.loop.Now() - c.conn.Heard()
	c.rule = ""
	if d.Rule != nil {
		c.rule = d.Rule.Name
	}
	c.class = t.Class
	if err == nil && d.Refused != "" {
		c.front.count(c.class).Declined++
		c.leave()
		c.busy(d.RetryAfter, d.Refused)
		return
	}
	if err == nil && c.front.elsewhere(t.ID) {
		err = broker.ErrKnown
	}
	if err == nil {
		c.id, c.waits = t.ID, true
		if err = c.front.core.Begin(t, c); err == nil {
			return
		}
		c.waits = false
	}
	status := 400
	if err == broker.ErrKnown {
		status = 409
	}
	c.reject(status, err)
}

// transaction reads what the headers say of a job.
func (f *Front) transaction(m *eventloop.Message, body []byte) (t broker.Transaction, d routing.Decision, err error) {
	j := &job{target: m.Target, key: m.Get("Idempotency-Key"), body: body}
	t.ID, t.Job = m.Get("X-Request-ID"), j
	// Hazard: on what a next hop can't read it closes the connection, which counts as a
	// reset and against it, and for a job that may be repeated at the next one, too.
	if !eventloop.Plain(t.ID) || len(t.ID) > 200 {
		return t, d, fmt.Errorf("X-Request-ID is missing, too long or no plain text")
	}
	class := m.Get("X-Priority-Class")
	if t.Class = indexOf(f.names.classes, class); t.Class < 0 && (class != "" || f.routes == nil) {
		return t, d, fmt.Errorf("X-Priority-Class names no class")
	}
	if tenant := m.Get("X-Tenant-Id"); tenant != "" {
		if t.Tenant = indexOf(f.names.tenants, tenant); t.Tenant < 0 {
			return t, d, fmt.Errorf("X-Tenant-Id names no tenant")
		}
	}
	if t.Left, err = timeout(m.Get("X-Timeout")); err != nil {
		return t, d, err
	}
	if cost := m.Get("X-Cost"); cost != "" {
		us, err := strconv.ParseFloat(cost, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return t, d, fmt.Errorf("X-Cost is not a time in microseconds")
		}
		t.Work = time.Duration(us * float64(time.Microsecond))
	}
	t.Repeat = m.Get("X-Retried") == "1"
	if f.account != "" {
		t.Account = m.Get(f.account)
	}
	for attr := range strings.SplitSeq(m.Get("X-Attrs"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(attr), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue // figures are hints, and there may be others than ours
		}
		switch name {
		case "slots", "cores_needed":
			t.Slots = v
		case "memory", "ram_units":
			t.Memory = v
		}
	}
	d, err = f.decide(m, &t, j)
	return t, d, err
}

// decide has the rules say where the job goes, and checks what depends on its class.
func (f *Front) decide(m *eventloop.Message, t *broker.Transaction, j *job) (d routing.Decision, err error) {
	if f.routes != nil {
		path, _, _ := strings.Cut(m.Target, "?")
		about := routing.Job{Front: "http", Class: t.Class, Tenant: t.Tenant, Host: m.Get("Host"), Path: path,
			Header: m.Get, Key: m.Get("X-Route-Key"), Cost: t.Work, ID: t.ID}
		if m.Get("X-Tenant-Id") == "" {
			about.Tenant = -1
		}
		d = f.routes.Decide(&about)
		t.Class, t.Route, t.Attempts, t.Limit = d.Class, d.Route, d.Attempts, d.Timeout
		if t.Class < 0 && d.Refused == "" {
			return d, fmt.Errorf("X-Priority-Class is missing, and no rule gives the job a class")
		}
	}
	// Hazard: without its key, a repeat of a keyed job is not known for one, and runs again.
	if d.Refused == "" && f.cfg.Settings.Classes[t.Class].Effect == "dedup" && !eventloop.Plain(j.key) {
		return d, fmt.Errorf("Idempotency-Key is missing or no plain text")
	}
	return d, nil
}

// timeout reads a number and its unit.
func timeout(s string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(s, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(s, "u"):
		unit = time.Microsecond
	}
	if unit > 0 {
		n, err := strconv.ParseFloat(s[:len(s)-1], 64)
		if d := n * float64(unit); err == nil && d >= 1 && d <= float64(24*time.Hour) {
			return time.Duration(d), nil
		}
	}
	return 0, fmt.Errorf("X-Timeout is not a time")
}

// Answer writes the transaction's final answer.
func (c *client) Answer(a broker.Answer) {
	c.waits = false
	c.leave()
	switch n := c.front.count(c.class); a.Kind {
	case broker.Served:
		n.Succeeded++
		c.respond(200, "", a.Result)
	case broker.Busy:
		n.Declined++
		why := a.Why
		if c.rule != "" && why == "" {
			why = "no worker of rule " + c.rule
		}
		c.busy(a.RetryAfter, why)
	default:
		n.Aborted++
		c.respond(502, "", nil)
	}
	// The next request may be waiting in the buffer. It must not begin within this call.
	c.front.loop.After(0, func() {
		if c.front.drain.State() == drain.Closing {
			c.closeIfIdle()
		}
		c.Data(c.conn)
	})
}

// busy writes a busy answer, with the reason where a rule is it.
func (c *client) busy(after time.Duration, why string) {
	extra := ""
	if after > 0 {
		extra = fmt.Sprintf("Retry-After: %.3f\r\n", after.Seconds())
	}
	if why != "" {
		extra += "X-Refusal: " + why + "\r\n"
	}
	c.respond(503, extra, nil)
}

// leave has the connection end after the answer that comes now, if clients are sent away. Hazard: what the
// client has sent ahead has been read, and would be closed unanswered.
func (c *client) leave() {
	c.last = c.last || c.front.drain.State() == drain.Closing && !c.conn.Pending()
}

// closeIfIdle closes a client's connection that stands between two requests. Hazard: a
// request that has come and was not read is in the kernel's buffer, and would be lost.
func (c *client) closeIfIdle() {
	if !c.used && c.front.loop.Now() < c.opened+drain.Notice {
		return // its first request is on its way
	}
	if !c.waits && !c.relayed && !c.hop && c.conn.Unsent() == 0 && !c.conn.Closed() && !c.conn.Pending() {
		c.conn.Finish()
		c.gone()
	}
}

// Ended tells the core that a client has gone before its answer.
func (c *client) Ended(*eventloop.Conn, error) {
	if c.gone(); c.waits {
		c.waits = false
		c.front.counts.Left++
		if c.foster != nil {
			c.front.abandon(c)
			return
		}
		c.front.core.Gone(c.id)
	}
}

// HasLeft says whether the client has closed its connection, told or not.
func (c *client) HasLeft() bool { return c.conn.PeerClosed() }

func (c *client) gone() {
	delete(c.front.clients, c)
}

// event takes a call-back, and reports whether it was for a branch of this process. It may
// come before the 202, again, or late: only the branch that is out at the next hop it
// comes from is ended by it, once.
func (f *Front) event(body []byte) bool {
	var e struct {
		ID     string             `json:"id"`
		From   string             `json:"from"`
		State  string             `json:"state"`
		Result *string            `json:"result"`
		Share  float64            `json:"share"`
		Load   map[string]float64 `json:"load"`
	}
	if err := json.Unmarshal(body, &e); err != nil {
		f.log.WithError(err).Warn("a call-back that can't be read")
		return true
	}
	if f.fostered(e.ID, e.From, e.State, e.Result) {
		return true
	}
	report := balancer.NoReport
	for name, v := range e.Load {
		f.names.report.Set(&report, name, v)
	}
	switch e.State {
	case "done":
		if e.Result == nil {
			f.log.WithField("from", e.From).Warn("a call-back that is done and has no result")
			return f.core.EndAt(e.ID, e.From, balancer.Error, nil, report)
		}
		return f.core.EndAt(e.ID, e.From, balancer.OK, []byte(*e.Result), report)
	case "failed":
		return f.core.EndAt(e.ID, e.From, balancer.Error, nil, report)
	case "returned":
		return f.core.EndAt(e.ID, e.From, balancer.Full, nil, report)
	case "lost":
		return f.core.EndAt(e.ID, e.From, balancer.Reset, nil, report)
	case "started", "running":
		return f.core.Progress(e.ID, e.From, e.State == "started", e.Share)
	}
	return true // no state of the protocol's
}
