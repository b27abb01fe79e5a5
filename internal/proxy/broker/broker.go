// Package core hosts the decision module for a real node and knows no wire.
//
// Fronts hand it transactions and wait for their final answers; next hops take
// the branches that the module starts. It keeps the clock, the limits of branches
// and the route set, and sees to it that each transaction has one final answer and
// each branch one end, whatever the wires do. It decides nothing itself.
//
// All calls come from one goroutine. Any of them may be made from within a call
// that the core itself makes: what it leads to waits its turn.
package broker

import (
	"errors"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/proxy/slotmap"
)

// Clock is where time and deadlines come from.
type Clock interface {
	Now() time.Duration
	At(at time.Duration, f func()) Timer
}

// Timer is a deadline that can be stopped.
type Timer interface{ Stop() }

// ResponseKind says what a final answer is.
type ResponseKind uint8

// The kinds of final answer.
const (
	Served   ResponseKind = iota
	Rejected              // refused: trying again is harmless
	Failed
)

// Response is a transaction's final answer.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // of Served
	RetryAfter time.Duration // of Busy: when to come back; 0: not told
	Reason     string        // of Busy, from a gate
}

// Client waits for one transaction's final answer and is told exactly once.
type Client interface{ Respond(Response) }

// DisconnectChecker is a Client that can tell whether it has left before its front has been told.
//
// Hazard: the process is held up, or has much to do, and a client's end lies unread while an attempt is
// begun for it.
type DisconnectChecker interface{ Disconnected() bool }

// Request is a job that a client has handed in.
type Request struct {
	ID     string
	Class  int
	Tenant int
	// Account is whose rate it counts against, where a front was told so; empty: nobody's by name.
	Account      string
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration
	Slots        float64
	Memory       float64
	IsRetry      bool
	Payload      any // what the front gives its next hops to work on

	Route          balancer.Route // nil: any next hop
	MaxAttempts    int            // within the class's; 0: as many
	AttemptTimeout time.Duration  // of each branch, within Left; 0: none of its own
}

// Endpoint is a worker as a front reaches it.
type Endpoint interface {
	// StartAttempt begins a branch. Its end is told by Core.End or Core.EndAt; if none has
	// been told by the limit, the core ends the branch and gives it up.
	StartAttempt(b Attempt) RunningAttempt
	// CheckHealth asks for the load and calls done once.
	CheckHealth(done func(balancer.Result, balancer.LoadReport))
	// CloseIdle drops what is held open to the worker and not in use.
	CloseIdle()
}

// Attempt is one attempt of a transaction at one next hop.
type Attempt struct {
	ID        slotmap.ID
	Payload   any
	RequestID string        // the transaction's ID
	Deadline  time.Duration // the clock time at which it is given up
}

// RunningAttempt is a branch that has been started.
type RunningAttempt interface {
	Abandon() // nobody waits for it any more
}

// ListEntry is a line of the route set.
type ListEntry struct {
	Name             string
	Zone, Kind, Cell int
	State            balancer.WorkerState
	Size             float64
	Labels           []string
	StartedAt        time.Duration // on the core's clock; 0: long ago
	Endpoint         Endpoint      // nil for one that is removed
}

// EndpointSource is where the route set comes from, where it must be asked for. What
// it finds is told by Core.RouteSet.
type EndpointSource interface {
	WatchList(on bool)
	FetchList()
}

// AdmissionController stands before the module: it lets a transaction in, or refuses it at once. It picks no
// worker and has no part in a final answer.
type AdmissionController interface {
	Admit(t *Request) (Rejection, bool)
}

// Rejection is a gate's busy answer.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

// ErrDuplicateID is the answer to a transaction whose ID is in use.
var ErrDuplicateID = errors.New("a transaction with this ID is open already")

type transaction struct {
	Request
	client   Client // nil once it has its final answer, or has gone
	deadline time.Duration
	branches []*branch // by attempt number
	out      int
}

type branch struct {
	id      slotmap.ID
	t       *transaction
	n       int
	hop     *hop
	sent    time.Duration
	running RunningAttempt
	timer   Timer
	ended   bool
}

type hop struct {
	Endpoint
	id   balancer.WorkerID
	name string
	zone string
	out  int
	gone bool

	listed balancer.Worker // as the route set has it, bans apart
}

// Broker drives one balancer.
type Broker struct {
	bal      *balancer.Balancer
	late     lateJudge // the same; nil: it can't be asked
	set      balancer.Settings
	clock    Clock
	dir      EndpointSource
	log      logrus.FieldLogger
	open     map[balancer.RequestID]*transaction
	branches slotmap.Map[*branch]
	hops     map[balancer.WorkerID]*hop
	ids      map[string]balancer.WorkerID
	bans     bans
	uses     map[string]bool // who is given work; nil: all
	shuns    map[string]bool // who is given nothing for now, by others' word
	onList   func()          // after each change of the route set; may be nil
	onEnd    func(name string, res balancer.Result)
	gate     AdmissionController // nil: all are let in
	waiting  int                 // transactions without their final answer
	queue    []func()
	busy     bool
}

// New makes a core with settings that are its own.
func New(
	set balancer.Settings,
	seed uint64,
	clock Clock,
	dir EndpointSource,
	log logrus.FieldLogger,
) (*Broker, error) {
	c := &Broker{set: set, clock: clock, dir: dir, log: log, open: map[balancer.RequestID]*transaction{},
		hops: map[balancer.WorkerID]*hop{}, ids: map[string]balancer.WorkerID{}, bans: newBans()}
	var err error
	c.bal, err = balancer.New(set, seed, actions{c})
	c.late, _ = any(c.bal).(lateJudge)
	return c, err
}

// SetAdmissionController puts a gate before the module.
func (c *Broker) SetAdmissionController(g AdmissionController) { c.gate = g }

// CanConfigure says whether Configure may be called with the settings.
func (c *Broker) CanConfigure(set balancer.Settings) error { return c.bal.CanConfigure(set) }

// Configure takes over the classes and the tenants of the settings, which CanConfigure
// has approved. A transaction that is open keeps the class that it came with.
func (c *Broker) Configure(set balancer.Settings) {
	c.do(func() { c.bal.Configure(set) })
}

// do runs f after all that waits already. The module must not be called from
// within its own actions, and a front may come back from within an answer.
func (c *Broker) do(f func()) {
	c.queue = append(c.queue, f)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next()
	}
	c.queue, c.busy = nil, false
}

// PendingCount is the number of transactions without their final answer.
func (c *Broker) PendingCount() int { return c.waiting }

// HasEndpoints says whether there is a next hop to give work to.
func (c *Broker) HasEndpoints() bool {
	for _, h := range c.hops {
		if !h.gone {
			return true
		}
	}
	return false
}

// Submit takes a transaction. Unless it returns an error, the client is answered once.
func (c *Broker) Submit(t Request, client Client) error {
	id := balancer.RequestID(t.ID)
	if c.open[id] != nil {
		return ErrDuplicateID
	}
	if c.gate != nil {
		if no, ok := c.gate.Admit(&t); !ok {
			client.Respond(Response{Kind: Rejected, RetryAfter: no.RetryAfter, Reason: no.Reason})
			return nil
		}
	}
	now := c.clock.Now()
	tr := &transaction{Request: t, client: client, deadline: now + t.Timeout}
	c.open[id] = tr
	c.waiting++
	c.do(func() {
		now := c.clock.Now()
		c.bal.Submit(
			now,
			balancer.Request{ID: id, Class: t.Class, Tenant: t.Tenant, Timeout: tr.deadline - now,
				ExpectedWork: t.ExpectedWork, Slots: t.Slots, Memory: t.Memory, IsRetry: t.IsRetry,
				Route:       t.Route,
				MaxAttempts: t.MaxAttempts},
		)
	})
	return nil
}

// Explain says of each next hop, by name, whether a transaction that came now would be
// drawn for it at a tier of its route, and why not.
func (c *Broker) Explain(t Request, tier int) map[string]balancer.Verdict {
	out := map[string]balancer.Verdict{}
	for _, v := range c.bal.Explain(c.clock.Now(), balancer.Request{Class: t.Class, Tenant: t.Tenant,
		Timeout: t.Timeout, ExpectedWork: t.ExpectedWork, Slots: t.Slots, Memory: t.Memory, Route: t.Route,
		MaxAttempts: t.MaxAttempts}, tier) {
		if h := c.hops[v.Worker.ID]; h != nil {
			out[h.name] = v
		}
	}
	return out
}

// ClientDisconnected says that a transaction's client has left. It is not answered any more.
func (c *Broker) ClientDisconnected(id string) {
	t := c.open[balancer.RequestID(id)]
	if t == nil || t.client == nil {
		return
	}
	t.client = nil
	c.waiting--
	c.do(func() {
		c.bal.ClientDisconnected(c.clock.Now(), balancer.RequestID(id))
		c.forget(t)
	})
}

// lateJudge is a module that can be asked again about an attempt that is written late. Modules of the past,
// which are played against today's, can't.
type lateJudge interface {
	StillAllowed(now time.Duration, id balancer.RequestID, attempt int) bool
}

// MayStillSend says whether a branch may still be sent: it has not ended, its worker takes work, its class
// allows it now, and its client has not left.
func (c *Broker) MayStillSend(id slotmap.ID) bool {
	b, ok := c.branches.Get(id)
	if !ok || b.hop.gone || c.over(b.hop.name, b.hop.listed).State != balancer.Ready {
		return false
	}
	// Within the module's own call it has only just decided.
	if c.late != nil && !c.busy && !c.late.StillAllowed(c.clock.Now(), balancer.RequestID(b.t.ID), b.n) {
		return false
	}
	return c.stays(b.t) && !b.ended
}

// stays says whether a transaction's client still waits. One that has left is given up.
func (c *Broker) stays(t *transaction) bool {
	if l, ok := t.client.(DisconnectChecker); ok && l.Disconnected() {
		c.ClientDisconnected(t.ID)
	}
	return t.client != nil
}

// EndAttempt tells the end of a branch. One that has ended already stays as it ended.
func (c *Broker) EndAttempt(id slotmap.ID, res balancer.Result, result []byte, report balancer.LoadReport) {
	if b, ok := c.branches.Get(id); ok {
		c.end(b, res, result, report)
	}
}

// EndAttemptAt tells the end of the branch that a transaction has at a next hop, if it has one.
func (c *Broker) EndAttemptAt(
	id, name string,
	res balancer.Result,
	result []byte,
	report balancer.LoadReport,
) bool {
	if t := c.open[balancer.RequestID(id)]; t != nil {
		for _, b := range t.branches {
			if !b.ended && b.hop.name == name {
				c.end(b, res, result, report)
				return true
			}
		}
	}
	return false
}

// ReportProgress tells how a branch that is out goes on, if the transaction has one there.
func (c *Broker) ReportProgress(id, name string, started bool, share float64) bool {
	t := c.open[balancer.RequestID(id)]
	if t == nil {
		return false
	}
	for _, b := range t.branches {
		if !b.ended && b.hop.name == name {
			c.do(func() {
				c.bal.AttemptProgressed(
					c.clock.Now(),
					balancer.AttemptProgress{ID: balancer.RequestID(id), Attempt: b.n,
						Worker: b.hop.id, Started: started, Fraction: share},
				)
			})
			return true
		}
	}
	return false
}

func (c *Broker) end(b *branch, res balancer.Result, result []byte, report balancer.LoadReport) {
	t := b.t
	b.ended = true
	if b.timer != nil {
		b.timer.Stop()
	}
	c.branches.Remove(b.id)
	t.out--
	b.hop.out--
	if c.onEnd != nil {
		c.onEnd(b.hop.name, res)
	}
	c.drop(b.hop)
	if res == balancer.OK {
		c.answer(t, Response{Kind: Served, Body: result})
	}
	c.do(func() {
		now := c.clock.Now()
		c.bal.AttemptEnded(
			now,
			balancer.AttemptOutcome{ID: balancer.RequestID(t.ID), Attempt: b.n, Worker: b.hop.id,
				Result: res, Took: now - b.sent, Responded: t.client == nil, Report: report},
		)
		c.forget(t)
	})
}

// answer gives the final answer, once.
func (c *Broker) answer(t *transaction, a Response) {
	if client := t.client; client != nil {
		t.client = nil
		c.waiting--
		client.Respond(a)
	}
}

// forget drops a transaction that is answered and has no branch out.
func (c *Broker) forget(t *transaction) {
	if t.client == nil && t.out == 0 {
		delete(c.open, balancer.RequestID(t.ID))
	}
}

// UpdateEndpoints takes news of the next hops.
func (c *Broker) UpdateEndpoints(kind balancer.ListUpdateKind, entries []ListEntry) {
	named := map[balancer.WorkerID]bool{}
	list := make([]balancer.Worker, 0, len(entries))
	for _, e := range entries {
		id := c.idOf(e.Name)
		named[id] = true
		h := c.hops[id]
		if h == nil {
			h = &hop{id: id, name: e.Name}
			c.hops[id] = h
		}
		if e.Endpoint != nil {
			h.Endpoint = e.Endpoint
		}
		h.gone, h.zone = e.State == balancer.Removed, strconv.Itoa(e.Zone)
		h.listed = balancer.Worker{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State,
			Size: e.Size, StartedAt: e.StartedAt, Labels: e.Labels}
		c.bans.listed(e.Name)
		list = append(list, c.over(e.Name, h.listed))
	}
	for id, h := range c.hops {
		if (kind == balancer.ListFull || kind == balancer.ListCached) && !named[id] {
			h.gone = true
		}
	}
	c.do(func() {
		c.bal.UpdateWorkers(c.clock.Now(), kind, list)
		for _, h := range c.hops {
			c.drop(h)
		}
	})
	if c.onList != nil {
		c.onList()
	}
}

// drop forgets a next hop that has left the route set and has no branch.
func (c *Broker) drop(h *hop) {
	if h.gone && h.out == 0 && c.hops[h.id] == h {
		delete(c.hops, h.id)
		delete(c.ids, h.name)
	}
}

// idOf is the number by which the module knows a next hop. It must be the same at
// every node and after a restart: the module takes turns by it.
func (c *Broker) idOf(name string) balancer.WorkerID {
	if id, ok := c.ids[name]; ok {
		return id
	}
	sum := fnv.New32a()
	sum.Write([]byte(name))
	id := balancer.WorkerID(sum.Sum32())
	for c.hops[id] != nil {
		id++
	}
	c.ids[name] = id
	return id
}
