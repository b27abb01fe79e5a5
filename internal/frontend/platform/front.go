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
	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
	"moorstack/internal/proxy/metrics"
	"moorstack/internal/proxy/routing"
)

const (
	healthPath   = "/_health"
	callBackPath = "/v1/job-events"
)

// Front is the platform's front.
type Front struct {
	loop          *eventloop.Loop
	broker        *broker.Broker
	cfg           *Config
	names         nameIndex
	log           logrus.FieldLogger
	listener      *eventloop.Listener
	peerState                            // what passes between this process and one beside it
	entries       map[string]workerEntry // the list, as discovery words it
	adopted       map[string]*client     // jobs that another process took, by their ids
	workers       map[string]*worker
	clients       map[*client]struct{}
	drain         drain.Machine
	shutdownAt    time.Duration // when the process was asked to end
	counters      metrics.Counters
	accountHeader string         // the header that names a job's account; empty: none does
	routes        *routing.Table // nil: jobs go where the balancer decides
	directory     *directory
	initial       initialList
	startTimes    startTimes
	reuseFailedAt time.Duration // when a kept connection to a next hop last broke under a request
}

// New makes the front. Open begins its service, once it has its core.
func New(loop *eventloop.Loop, cfg *Config, log logrus.FieldLogger) *Front {
	f := &Front{
		loop:    loop,
		cfg:     cfg,
		names:   newNameIndex(&cfg.Settings),
		log:     log,
		workers: map[string]*worker{},
		clients: map[*client]struct{}{},
	}
	f.reuseFailedAt = -reuseBackoff
	f.adopted = map[string]*client{}
	f.entries, f.peerState.forwarded = map[string]workerEntry{}, map[uint64]*client{}
	f.counters.Classes = make([]metrics.ClassCounters, len(cfg.Settings.Classes))
	f.directory = newDirectory(f)
	f.initial.front = f
	return f
}

// EndpointSource is where the core asks for the route set.
func (f *Front) EndpointSource() broker.EndpointSource { return f.directory }

// Open gives the core what is known of the next hops and begins to listen.
func (f *Front) Open(c *broker.Broker) error {
	f.broker = c
	f.initial.begin()
	var err error
	f.listener, err = f.loop.Listen(f.cfg.ListenAddress, f.listenerLimits(), f.onAccept)
	f.directory.open()
	return err
}

// listenerLimits are what who comes in may take: a quarter of the descriptors is kept for
// branches, probes and discovery. A quarter of the memory may hold what has come in;
// results, the jobs under way and the collector's slack need the rest. Two processes of
// one node have half of that each.
func (f *Front) listenerLimits() eventloop.Limits {
	most, parts := f.cfg.Limits, 1
	if f.limitsShared {
		parts = 2
	}
	return eventloop.Limits{MaxConnections: (most.Sockets*3/4 - most.ReservedDescriptors) / parts,
		MaxBufferBytes: int(most.MemoryMB<<20/4) / parts, ReusePort: f.cfg.HotRestartEnabled()}
}

// SetRoutes has jobs go by these rules, from the next one on; nil: by none.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// SetAccountHeader has jobs be of the account that this header names; empty: of none.
func (f *Front) SetAccountHeader(header string) { f.accountHeader = header }

func (f *Front) onAccept(c *eventloop.Conn) {
	cl := &client{front: f, conn: c, openedAt: f.loop.Now()}
	f.clients[cl] = struct{}{}
	c.Handler = cl
}

// client is a connection that was accepted: a client's, or a next hop's call-back.
type client struct {
	front          *Front
	conn           *eventloop.Conn
	parser         http1.Parser
	requestID      string // of the transaction it waits for
	class          int    // its class
	rule           string // by which it was routed, if by any
	awaitsResponse bool

	callBackForwarded bool // its call-back is with the other process, which has not said yet

	closeAfterResponse bool // the connection closes after this answer
	continueSent       bool // a 100 has been sent for the request being read
	isWorker           bool // it is a next hop's, which calls back on it

	adoption *adoption     // of a job that another process took
	deadline time.Duration // when its client gives up

	openedAt    time.Duration
	sentMessage bool // a whole message has come on it
}

var _ eventloop.Handler = (*client)(nil)
var _ broker.Client = (*client)(nil)
var _ broker.DisconnectChecker = (*client)(nil)

func (c *client) OnConnect(*eventloop.Conn) {}

// OnData reads requests one at a time: a pipelined one waits until the one before
// it has its answer.
func (c *client) OnData(*eventloop.Conn) {
	for !c.awaitsResponse && !c.callBackForwarded && !c.closeAfterResponse && !c.conn.Closed() &&
		len(c.conn.Input()) > 0 {
		whole, err := c.parser.Feed(c.conn.Input())
		if err == nil && !whole && c.conn.InputFull() {
			// Hazard: a body in chunks of a byte is mostly framing, and would wait here unread.
			err = &http1.ProtocolError{Status: 413, Reason: "the framing of the body is too large"}
		}
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if !whole {
			c.sendContinue()
			return
		}
		c.conn.BeginProcessing()
		c.sentMessage = true
		c.closeAfterResponse = c.parser.Close
		m, body := c.parser.Message, append([]byte(nil), c.parser.Body(c.conn.Input())...)
		c.conn.Discard(c.parser.MessageSize())
		c.parser.Reset()
		c.continueSent = false
		c.handle(&m, body)
	}
}

// sendContinue asks for the body of a request that has not come whole, if its sender waits.
func (c *client) sendContinue() {
	if c.parser.HeadDone() && c.parser.ExpectsContinue && !c.continueSent {
		c.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectMalformed ends a connection whose input can't be read on.
func (c *client) rejectMalformed(err error) {
	status := 400
	if b, ok := err.(*http1.ProtocolError); ok {
		status = b.Status
	}
	c.rejectInvalid(status, err)
}

// rejectInvalid answers what is no job of ours, and ends the connection. Hazard: who sends
// such things asks again at once, or stays and holds a descriptor.
func (c *client) rejectInvalid(status int, err error) {
	c.closeAfterResponse = true
	c.respond(status, "", []byte(err.Error()+"\n"))
}

func (c *client) respond(status int, extra string, body []byte) {
	c.conn.Write(http1.AppendResponse(nil, status, c.closeAfterResponse, extra, body))
	if c.closeAfterResponse {
		c.conn.CloseAfterFlush()
		c.forget()
		return
	}
	c.conn.EndProcessing()
}

func (c *client) handle(m *http1.Message, body []byte) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case m.Method == "POST" && path == callBackPath:
		c.isWorker = true
		switch {
		case c.front.handleCallBack(body):
			c.respond(204, "", nil)
		case c.front.forwardCallBack(c, body):
		case c.front.loop.Now() < c.front.unknownPeerUntil:
			// Hazard: the process that shares the address, and can't be spoken to, waits for it.
			// Called again, it may reach that one.
			c.respond(503, "", nil)
		default:
			// Whatever it names, it has been heard: else it would be repeated.
			c.respond(204, "", nil)
		}
	case path == healthPath && m.Method == "GET":
		// It is asked seldom, but for those who mean to stay.
		c.closeAfterResponse = c.closeAfterResponse || !c.conn.HasPendingInput()
		if c.front.Ready() != nil {
			c.respond(503, "Retry-After: 1\r\n", nil)
		} else {
			c.respond(200, "", nil)
		}
	case m.Method == "POST":
		c.submit(m, body)
	default:
		c.rejectInvalid(404, errNotFound)
	}
}

var errNotFound = errors.New("there is nothing here")

// payload is a client's request as it is passed on.
type payload struct {
	target, key string
	body        []byte
}

func (c *client) submit(m *http1.Message, body []byte) {
	t, d, err := c.front.parseRequest(m, body)
	// Hazard: a request that was sent ahead has waited here for the answer to the one before it.
	t.Timeout -= c.front.loop.Now() - c.conn.LastActivity()
	c.rule = ""
	if d.Rule != nil {
		c.rule = d.Rule.Name
	}
	c.class = t.Class
	if err == nil && d.RejectReason != "" {
		c.front.classCounters(c.class).Declined++
		c.closeIfDraining()
		c.respondRejected(d.RetryAfter, d.RejectReason)
		return
	}
	if err == nil && c.front.openElsewhere(t.ID) {
		err = broker.ErrDuplicateID
	}
	if err == nil {
		c.requestID, c.awaitsResponse = t.ID, true
		if err = c.front.broker.Submit(t, c); err == nil {
			return
		}
		c.awaitsResponse = false
	}
	status := 400
	if err == broker.ErrDuplicateID {
		status = 409
	}
	c.rejectInvalid(status, err)
}

// parseRequest reads what the headers say of a job.
func (f *Front) parseRequest(
	m *http1.Message,
	body []byte,
) (t broker.Request, d routing.Decision, err error) {
	j := &payload{target: m.Target, key: m.Get("Idempotency-Key"), body: body}
	t.ID, t.Payload = m.Get("X-Request-ID"), j
	// Hazard: on what a next hop can't read it closes the connection, which counts as a
	// reset and against it, and for a job that may be repeated at the next one, too.
	if !http1.IsVisibleASCII(t.ID) || len(t.ID) > 200 {
		return t, d, fmt.Errorf("X-Request-ID is missing, too long or no plain text")
	}
	class := m.Get("X-Priority-Class")
	if t.Class = indexOrNone(f.names.classes, class); t.Class < 0 && (class != "" || f.routes == nil) {
		return t, d, fmt.Errorf("X-Priority-Class names no class")
	}
	if tenant := m.Get("X-Tenant-Id"); tenant != "" {
		if t.Tenant = indexOrNone(f.names.tenants, tenant); t.Tenant < 0 {
			return t, d, fmt.Errorf("X-Tenant-Id names no tenant")
		}
	}
	if t.Timeout, err = parseTimeout(m.Get("X-Timeout")); err != nil {
		return t, d, err
	}
	if cost := m.Get("X-Cost"); cost != "" {
		us, err := strconv.ParseFloat(cost, 64)
		if err != nil || !(us >= 0 && us < 1e12) {
			return t, d, fmt.Errorf("X-Cost is not a time in microseconds")
		}
		t.ExpectedWork = time.Duration(us * float64(time.Microsecond))
	}
	t.IsRetry = m.Get("X-Retried") == "1"
	if f.accountHeader != "" {
		t.Account = m.Get(f.accountHeader)
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
	d, err = f.route(m, &t, j)
	return t, d, err
}

// route has the rules say where the job goes, and checks what depends on its class.
func (f *Front) route(m *http1.Message, t *broker.Request, j *payload) (d routing.Decision, err error) {
	if f.routes != nil {
		path, _, _ := strings.Cut(m.Target, "?")
		about := routing.Job{
			Frontend: "http",
			Class:    t.Class,
			Tenant:   t.Tenant,
			Host:     m.Get("Host"),
			Path:     path,
			Header:   m.Get,
			RouteKey: m.Get("X-Route-Key"),
			CostHint: t.ExpectedWork,
			ID:       t.ID,
		}
		if m.Get("X-Tenant-Id") == "" {
			about.Tenant = -1
		}
		d = f.routes.Decide(&about)
		t.Class, t.Route, t.MaxAttempts, t.AttemptTimeout = d.Class, d.Route, d.MaxAttempts, d.AttemptTimeout
		if t.Class < 0 && d.RejectReason == "" {
			return d, fmt.Errorf("X-Priority-Class is missing, and no rule gives the job a class")
		}
	}
	// Hazard: without its key, a repeat of a keyed job is not known for one, and runs again.
	if d.RejectReason == "" && f.cfg.Settings.Classes[t.Class].Effect == "dedup" &&
		!http1.IsVisibleASCII(j.key) {
		return d, fmt.Errorf("Idempotency-Key is missing or no plain text")
	}
	return d, nil
}

// parseTimeout reads a number and its unit.
func parseTimeout(s string) (time.Duration, error) {
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

// Respond writes the transaction's final answer.
func (c *client) Respond(a broker.Response) {
	c.awaitsResponse = false
	c.closeIfDraining()
	switch n := c.front.classCounters(c.class); a.Kind {
	case broker.Served:
		n.Succeeded++
		c.respond(200, "", a.Body)
	case broker.Rejected:
		n.Declined++
		why := a.Reason
		if c.rule != "" && why == "" {
			why = "no worker of rule " + c.rule
		}
		c.respondRejected(a.RetryAfter, why)
	default:
		n.Aborted++
		c.respond(502, "", nil)
	}
	// The next request may be waiting in the buffer. It must not begin within this call.
	c.front.loop.After(0, func() {
		if c.front.drain.State() == drain.ClosingConnections {
			c.closeIfIdle()
		}
		c.OnData(c.conn)
	})
}

// respondRejected writes a busy answer, with the reason where a rule is it.
func (c *client) respondRejected(after time.Duration, why string) {
	extra := ""
	if after > 0 {
		extra = fmt.Sprintf("Retry-After: %.3f\r\n", after.Seconds())
	}
	if why != "" {
		extra += "X-Refusal: " + why + "\r\n"
	}
	c.respond(503, extra, nil)
}

// closeIfDraining has the connection end after the answer that comes now, if clients are sent away. Hazard:
// what the client has sent ahead has been read, and would be closed unanswered.
func (c *client) closeIfDraining() {
	c.closeAfterResponse = c.closeAfterResponse ||
		c.front.drain.State() == drain.ClosingConnections && !c.conn.HasPendingInput()
}

// closeIfIdle closes a client's connection that stands between two requests. Hazard: a
// request that has come and was not read is in the kernel's buffer, and would be lost.
func (c *client) closeIfIdle() {
	if !c.sentMessage && c.front.loop.Now() < c.openedAt+drain.HealthCheckGrace {
		return // its first request is on its way
	}
	if !c.awaitsResponse && !c.callBackForwarded && !c.isWorker && c.conn.UnsentBytes() == 0 &&
		!c.conn.Closed() &&
		!c.conn.HasPendingInput() {
		c.conn.CloseAfterFlush()
		c.forget()
	}
}

// OnClose tells the core that a client has gone before its answer.
func (c *client) OnClose(*eventloop.Conn, error) {
	if c.forget(); c.awaitsResponse {
		c.awaitsResponse = false
		c.front.counters.ClientDisconnects++
		if c.adoption != nil {
			c.front.abandonAdopted(c)
			return
		}
		c.front.broker.ClientDisconnected(c.requestID)
	}
}

// Disconnected says whether the client has closed its connection, told or not.
func (c *client) Disconnected() bool { return c.conn.PeerClosed() }

func (c *client) forget() {
	delete(c.front.clients, c)
}

// handleCallBack takes a call-back, and reports whether it was for a branch of this process. It may
// come before the 202, again, or late: only the branch that is out at the next hop it
// comes from is ended by it, once.
func (f *Front) handleCallBack(body []byte) bool {
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
	if f.handleAdoptedCallBack(e.ID, e.From, e.State, e.Result) {
		return true
	}
	report := balancer.NoLoadReport
	for name, v := range e.Load {
		f.names.report.Set(&report, name, v)
	}
	switch e.State {
	case "done":
		if e.Result == nil {
			f.log.WithField("from", e.From).Warn("a call-back that is done and has no result")
			return f.broker.EndAttemptAt(e.ID, e.From, balancer.ServerError, nil, report)
		}
		return f.broker.EndAttemptAt(e.ID, e.From, balancer.OK, []byte(*e.Result), report)
	case "failed":
		return f.broker.EndAttemptAt(e.ID, e.From, balancer.ServerError, nil, report)
	case "returned":
		return f.broker.EndAttemptAt(e.ID, e.From, balancer.WorkerFull, nil, report)
	case "lost":
		return f.broker.EndAttemptAt(e.ID, e.From, balancer.ConnectionReset, nil, report)
	case "started", "running":
		return f.broker.ReportProgress(e.ID, e.From, e.State == "started", e.Share)
	}
	return true // no state of the protocol's
}
