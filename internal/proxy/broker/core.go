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

// Kind says what a final answer is.
type Kind uint8

// The kinds of final answer.
const (
	Served Kind = iota
	Busy        // refused: trying again is harmless
	Failed
)

// Answer is a transaction's final answer.
type Answer struct {
	Kind       Kind
	Result     []byte        // of Served
	RetryAfter time.Duration // of Busy: when to come back; 0: not told
	Why        string        // of Busy, from a gate
}

// Client waits for one transaction's final answer and is told exactly once.
type Client interface{ Answer(Answer) }

// Leaver is a Client that can tell whether it has left before its front has been told.
//
// Hazard: the process is held up, or has much to do, and a client's end lies unread while an attempt is
// begun for it.
type Leaver interface{ HasLeft() bool }

// Transaction is a job that a client has handed in.
type Transaction struct {
	ID     string
	Class  int
	Tenant int
	// Account is whose rate it counts against, where a front was told so; empty: nobody's by name.
	Account string
	Left    time.Duration // until the client gives up
	Work    time.Duration
	Slots   float64
	Memory  float64
	Repeat  bool
	Job     any // what the front gives its next hops to work on

	Route    balancer.Route // nil: any next hop
	Attempts int            // within the class's; 0: as many
	Limit    time.Duration  // of each branch, within Left; 0: none of its own
}

// NextHop is a worker as a front reaches it.
type NextHop interface {
	// Start begins a branch. Its end is told by Core.End or Core.EndAt; if none has
	// been told by the limit, the core ends the branch and gives it up.
	Start(b Branch) Running
	// Probe asks for the load and calls done once.
	Probe(done func(balancer.Result, balancer.Report))
	// CloseIdle drops what is held open to the worker and not in use.
	CloseIdle()
}

// Branch is one attempt of a transaction at one next hop.
type Branch struct {
	ID    slotmap.ID
	Job   any
	Name  string        // the transaction's ID
	Limit time.Duration // the clock time at which it is given up
}

// Running is a branch that has been started.
type Running interface {
	GiveUp() // nobody waits for it any more
}

// Entry is a line of the route set.
type Entry struct {
	Name             string
	Zone, Kind, Cell int
	State            balancer.State
	Size             float64
	Labels           []string
	Since            time.Duration // on the core's clock; 0: long ago
	Hop              NextHop       // nil for one that is removed
}

// Directory is where the route set comes from, where it must be asked for. What
// it finds is told by Core.RouteSet.
type Directory interface {
	Watch(on bool)
	Fetch()
}

// Gate stands before the module: it lets a transaction in, or refuses it at once. It picks no
// worker and has no part in a final answer.
type Gate interface {
	Admit(t *Transaction) (Refusal, bool)
}

// Refusal is a gate's busy answer.
type Refusal struct {
	Why   string
	After time.Duration // when to come back
}

// ErrKnown is the answer to a transaction whose ID is in use.
var ErrKnown = errors.New("a transaction with this ID is open already")

type transaction struct {
	Transaction
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
	running Running
	timer   Timer
	ended   bool
}

type hop struct {
	NextHop
	id   balancer.WorkerID
	name string
	zone string
	out  int
	gone bool

	listed balancer.Worker // as the route set has it, bans apart
}

// Core drives one balancer.
type Core struct {
	bal      *balancer.Balancer
	late     lateJudge // the same; nil: it can't be asked
	set      balancer.Settings
	clock    Clock
	dir      Directory
	log      logrus.FieldLogger
	open     map[balancer.RequestID]*transaction
	branches slotmap.Table[*branch]
	hops     map[balancer.WorkerID]*hop
	ids      map[string]balancer.WorkerID
	bans     bans
	uses     map[string]bool // who is given work; nil: all
	shuns    map[string]bool // who is given nothing for now, by others' word
	onList   func()          // after each change of the route set; may be nil
	onEnd    func(name string, res balancer.Result)
	gate     Gate // nil: all are let in
	waiting  int  // transactions without their final answer
	queue    []func()
	busy     bool
}

// New makes a core with settings that are its own.
func New(set balancer.Settings, seed uint64, clock Clock, dir Directory, log logrus.FieldLogger) (*Core, error) {
	c := &Core{set: set, clock: clock, dir: dir, log: log, open: map[balancer.RequestID]*transaction{},
		hops: map[balancer.WorkerID]*hop{}, ids: map[string]balancer.WorkerID{}, bans: newBans()}
	var err error
	c.bal, err = balancer.New(set, seed, actions{c})
	c.late, _ = any(c.bal).(lateJudge)
	return c, err
}

// Guard puts a gate before the module.
func (c *Core) Guard(g Gate) { c.gate = g }

// CanConfigure says whether Configure may be called with the settings.
func (c *Core) CanConfigure(set balancer.Settings) error { return c.bal.CanConfigure(set) }

// Configure takes over the classes and the tenants of the settings, which CanConfigure
// has approved. A transaction that is open keeps the class that it came with.
func (c *Core) Configure(set balancer.Settings) {
	c.do(func() { c.bal.Configure(set) })
}

// do runs f after all that waits already. The module must not be called from
// within its own actions, and a front may come back from within an answer.
func (c *Core) do(f func()) {
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

// Waiting is the number of transactions without their final answer.
func (c *Core) Waiting() int { return c.waiting }

// Ready says whether there is a next hop to give work to.
func (c *Core) Ready() bool {
	for _, h := range c.hops {
		if !h.gone {
			return true
		}
	}
	return false
}

// Begin takes a transaction. Unless it returns an error, the client is answered once.
func (c *Core) Begin(t Transaction, client Client) error {
	id := balancer.RequestID(t.ID)
	if c.open[id] != nil {
		return ErrKnown
	}
	if c.gate != nil {
		if no, ok := c.gate.Admit(&t); !ok {
			client.Answer(Answer{Kind: Busy, RetryAfter: no.After, Why: no.Why})
			return nil
		}
	}
	now := c.clock.Now()
	tr := &transaction{Transaction: t, client: client, deadline: now + t.Left}
	c.open[id] = tr
	c.waiting++
	c.do(func() {
		now := c.clock.Now()
		c.bal.Request(now, balancer.Request{ID: id, Class: t.Class, Tenant: t.Tenant, Left: tr.deadline - now,
			Work: t.Work, Slots: t.Slots, Memory: t.Memory, Repeat: t.Repeat, Route: t.Route,
			Attempts: t.Attempts})
	})
	return nil
}

// Explain says of each next hop, by name, whether a transaction that came now would be
// drawn for it at a tier of its route, and why not.
func (c *Core) Explain(t Transaction, tier int) map[string]balancer.Verdict {
	out := map[string]balancer.Verdict{}
	for _, v := range c.bal.Explain(c.clock.Now(), balancer.Request{Class: t.Class, Tenant: t.Tenant,
		Left: t.Left, Work: t.Work, Slots: t.Slots, Memory: t.Memory, Route: t.Route,
		Attempts: t.Attempts}, tier) {
		if h := c.hops[v.Worker.ID]; h != nil {
			out[h.name] = v
		}
	}
	return out
}

// Gone says that a transaction's client has left. It is not answered any more.
func (c *Core) Gone(id string) {
	t := c.open[balancer.RequestID(id)]
	if t == nil || t.client == nil {
		return
	}
	t.client = nil
	c.waiting--
	c.do(func() {
		c.bal.Gone(c.clock.Now(), balancer.RequestID(id))
		c.forget(t)
	})
}

// lateJudge is a module that can be asked again about an attempt that is written late. Modules of the past,
// which are played against today's, can't.
type lateJudge interface {
	StillAllowed(now time.Duration, id balancer.RequestID, attempt int) bool
}

// Wanted says whether a branch may still be sent: it has not ended, its worker takes work, its class allows
// it now, and its client has not left.
func (c *Core) Wanted(id slotmap.ID) bool {
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
func (c *Core) stays(t *transaction) bool {
	if l, ok := t.client.(Leaver); ok && l.HasLeft() {
		c.Gone(t.ID)
	}
	return t.client != nil
}

// End tells the end of a branch. One that has ended already stays as it ended.
func (c *Core) End(id slotmap.ID, res balancer.Result, result []byte, report balancer.Report) {
	if b, ok := c.branches.Get(id); ok {
		c.end(b, res, result, report)
	}
}

// EndAt tells the end of the branch that a transaction has at a next hop, if it has one.
func (c *Core) EndAt(id, name string, res balancer.Result, result []byte, report balancer.Report) bool {
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

// Progress tells how a branch that is out goes on, if the transaction has one there.
func (c *Core) Progress(id, name string, started bool, share float64) bool {
	t := c.open[balancer.RequestID(id)]
	if t == nil {
		return false
	}
	for _, b := range t.branches {
		if !b.ended && b.hop.name == name {
			c.do(func() {
				c.bal.Progress(c.clock.Now(), balancer.Note{ID: balancer.RequestID(id), Attempt: b.n,
					Worker: b.hop.id, Started: started, Done: share})
			})
			return true
		}
	}
	return false
}

func (c *Core) end(b *branch, res balancer.Result, result []byte, report balancer.Report) {
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
		c.answer(t, Answer{Kind: Served, Result: result})
	}
	c.do(func() {
		now := c.clock.Now()
		c.bal.Outcome(now, balancer.Outcome{ID: balancer.RequestID(t.ID), Attempt: b.n, Worker: b.hop.id,
			Result: res, Took: now - b.sent, Settled: t.client == nil, Report: report})
		c.forget(t)
	})
}

// answer gives the final answer, once.
func (c *Core) answer(t *transaction, a Answer) {
	if client := t.client; client != nil {
		t.client = nil
		c.waiting--
		client.Answer(a)
	}
}

// forget drops a transaction that is answered and has no branch out.
func (c *Core) forget(t *transaction) {
	if t.client == nil && t.out == 0 {
		delete(c.open, balancer.RequestID(t.ID))
	}
}

// RouteSet takes news of the next hops.
func (c *Core) RouteSet(kind balancer.ListKind, entries []Entry) {
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
		if e.Hop != nil {
			h.NextHop = e.Hop
		}
		h.gone, h.zone = e.State == balancer.Removed, strconv.Itoa(e.Zone)
		h.listed = balancer.Worker{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State,
			Size: e.Size, Since: e.Since, Labels: e.Labels}
		c.bans.listed(e.Name)
		list = append(list, c.over(e.Name, h.listed))
	}
	for id, h := range c.hops {
		if (kind == balancer.Whole || kind == balancer.Cached) && !named[id] {
			h.gone = true
		}
	}
	c.do(func() {
		c.bal.Members(c.clock.Now(), kind, list)
		for _, h := range c.hops {
			c.drop(h)
		}
	})
	if c.onList != nil {
		c.onList()
	}
}

// drop forgets a next hop that has left the route set and has no branch.
func (c *Core) drop(h *hop) {
	if h.gone && h.out == 0 && c.hops[h.id] == h {
		delete(c.hops, h.id)
		delete(c.ids, h.name)
	}
}

// idOf is the number by which the module knows a next hop. It must be the same at
// every node and after a restart: the module takes turns by it.
func (c *Core) idOf(name string) balancer.WorkerID {
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
