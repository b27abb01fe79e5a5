package ratelimit

import (
	"cmp"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/verify/modelcheck"
)

// model is a group of two or three instances, one account of four jobs a second and two at once, grants that
// last a second and leases that do. At any time an instance may apply the next view, renew its lease (with a
// leader that has applied all views, where it has, too), tick once a step, admit a job, die and be started
// again, be set aside, expire once its lease surely has, and have a new session. Its messages arrive in order
// at each other instance, or are lost, late or duplicated; time passes in steps of a quarter of a second. The
// account's owner is the first instance, without that the second.
type model struct {
	budget     modelBudget
	now        time.Duration
	nodes      []modelNode
	views      []placement.View
	messages   []modelMessage
	epoch      uint64
	level      int // of the bucket from which all admissions are taken
	refilledAt time.Duration
	violation  string
}

type modelNode struct {
	limiter      *Limiter
	authority    *Authority
	session      placement.Session
	appliedViews int
	leaseUntil   time.Duration
	renewedAt    time.Duration
	ticked       bool // in this step
}

type modelMessage struct {
	from, to placement.Session
	body     any // TokenRequest, Grant, DrainConfirmation or *Transfer
	text     string
}

// modelBudget is how often each event may still happen.
type modelBudget struct {
	instances                                                                            int
	steps, deaths, setAsides, expiries, reopens, lost, late, duplicates, calls, renewals int
	// Faults befall the instances up to this one.
	faulty int
}

const modelAccount = "m2232" // the first instance owns it, and without that the second

var modelSeed, modelTables = maphash.MakeSeed(), sync.Map{}

// modelAuthority has the first few shards only: the account's is one of them.
func modelAuthority() *Authority {
	a := NewAuthority()
	a.shards = slices.Clone(a.shards[:placement.ShardOf(modelAccount)+1])
	return a
}

func modelTable(v placement.View) *placement.Table {
	key := fmt.Sprint(v)
	if t, ok := modelTables.Load(key); ok {
		return t.(*placement.Table)
	}
	t := placement.NewTable(v)
	modelTables.Store(key, t)
	return t
}

func newModel(t testing.TB, b modelBudget) *model {
	t.Helper()
	p, problems := ParsePolicy(map[string]string{"tick": "100ms", "term": "1s", "account": "X",
		"account." + modelAccount: "4/s burst=2"}, nil)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	m := &model{
		budget:     b,
		now:        time.Hour,
		refilledAt: time.Hour,
		level:      2,
		nodes:      make([]modelNode, b.instances),
	}
	var members []placement.Member
	for k := range m.nodes {
		m.epoch++
		n := &m.nodes[k]
		n.session = placement.Session{Member: uint64(k + 1), Epoch: m.epoch}
		members = append(members, placement.Member{Session: n.session})
		n.limiter, n.authority = NewLimiter(0), modelAuthority()
		n.limiter.Configure(0, p)
		n.authority.Configure(0, p)
		n.leaseUntil, n.renewedAt = m.now+modelLease, m.now
	}
	m.addView(members)
	for k := range m.nodes {
		n := &m.nodes[k]
		n.limiter.SetView(0, modelTable(m.views[0]), n.session)
		n.authority.SetView(0, modelTable(m.views[0]), n.session, modelLease, false)
		n.appliedViews, n.limiter.confirmationsRemaining = 1, 0
	}
	if x, _ := modelTable(m.views[0]).Owner(placement.ShardOf(modelAccount)); x.Member != 1 {
		t.Fatalf("instance %d owns the account", x.Member)
	}
	return m
}

const (
	modelLease = time.Second
	modelStep  = 250 * time.Millisecond // in which the bucket gets one job
)

func (m *model) addView(members []placement.Member, expired ...placement.Session) {
	number := uint64(len(m.views) + 1)
	m.views = append(m.views, placement.View{Number: number, Members: members, Expired: expired})
}

// copyNode gives a copy of the model an instance of its own, so that it can be changed.
func (m *model) copyNode(k int) *modelNode {
	n := &m.nodes[k]
	f, a := *n.limiter, *n.authority
	f.buckets = map[Key]*localBucket{}
	for key, b := range n.limiter.buckets {
		bucket := *b
		f.buckets[key] = &bucket
	}
	a.ledgers, a.transfers = map[Key]*ledger{}, nil
	for key, l := range n.authority.ledgers {
		a.ledgers[key] = copyLedger(l)
	}
	for _, tr := range n.authority.transfers {
		transfer := *tr
		a.transfers = append(a.transfers, &transfer)
	}
	a.shards = slices.Clone(a.shards)
	a.revocation.complete = maps.Clone(a.revocation.complete)
	a.revocation.partial = maps.Clone(a.revocation.partial)
	n.limiter, n.authority = &f, &a
	return n
}

func copyLedger(l *ledger) *ledger {
	out := *l
	out.borrowers = map[placement.Session]*borrower{}
	for session, b := range l.borrowers {
		front := *b
		front.unacked = slices.Clone(b.unacked)
		out.borrowers[session] = &front
	}
	return &out
}

func (m *model) Violation() string { return m.violation }

// Key identifies a state by all that what follows depends on.
func (m *model) Key() uint64 {
	var h maphash.Hash
	h.SetSeed(modelSeed)
	fmt.Fprint(&h, m.budget, m.now, m.epoch, m.level, m.refilledAt, len(m.views))
	for k := range m.nodes {
		m.nodes[k].hash(&h)
	}
	for _, v := range m.views {
		fmt.Fprint(&h, v)
	}
	// Messages between two instances keep their order; between pairs there is none.
	messages := slices.Clone(m.messages)
	slices.SortStableFunc(messages, func(a, b modelMessage) int {
		return cmp.Or(cmp.Compare(a.from.Member, b.from.Member), cmp.Compare(a.to.Member, b.to.Member))
	})
	for _, message := range messages {
		fmt.Fprint(&h, message.text, ";")
	}
	return h.Sum64()
}

func (n *modelNode) hash(h *maphash.Hash) {
	f, a := n.limiter, n.authority
	fmt.Fprint(h, ";", n.session, n.appliedViews, n.leaseUntil, n.renewedAt, n.ticked, f.requestSeq,
		f.confirmationsRemaining, a.grantSeq, a.shards[placement.ShardOf(modelAccount)],
		a.revocation.unsafeUntil)
	for _, b := range f.buckets {
		fmt.Fprint(h, *b)
	}
	for _, l := range a.ledgers {
		fmt.Fprint(h, l.level, l.refilledAt, l.inherited, l.inheritedUntil)
		for _, session := range sortedSessions(l.borrowers) {
			fmt.Fprint(h, *l.borrowers[session])
		}
	}
	for _, confirmations := range []map[placement.Session]confirmation{a.revocation.complete,
		a.revocation.partial} {
		for _, session := range sortedSessions(confirmations) {
			fmt.Fprint(h, session, confirmations[session])
		}
	}
	for _, tr := range a.transfers {
		fmt.Fprint(h, *tr)
	}
}

// describeMessage is a message's text: messages with the same content have the same.
func describeMessage(from, to placement.Session, body any) string {
	if tr, ok := body.(*Transfer); ok {
		body = *tr
	}
	return fmt.Sprintf("%d.%d to %d.%d: %T %v", from.Member, from.Epoch, to.Member, to.Epoch, body, body)
}

// modelEvents collects what may happen next to a model.
type modelEvents struct {
	model       *model
	transitions []modelcheck.Transition[*model]
}

// add adds an event, if there is budget left for it. It happens to a copy of the model.
func (e *modelEvents) add(name string, budget int, happen func(c *model)) {
	if budget <= 0 {
		return
	}
	c := *e.model
	c.nodes, c.views, c.messages = slices.Clone(c.nodes), slices.Clip(c.views), slices.Clone(c.messages)
	happen(&c)
	e.transitions = append(e.transitions, modelcheck.Transition[*model]{Event: name, State: &c})
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	e := &modelEvents{model: m}
	m.addMessageEvents(e)
	for k := range m.nodes {
		m.addNodeEvents(e, k)
	}
	// Time passes last: what is searched deeply should be what may happen before.
	e.add("time passes", m.budget.steps, func(c *model) {
		c.budget.steps--
		c.now += modelStep
		for k := range c.nodes {
			c.nodes[k].ticked = false
		}
	})
	return e.transitions
}

// memberPair is a direction between two instances.
type memberPair struct{ from, to uint64 }

func (m *model) addMessageEvents(e *modelEvents) {
	seen := map[memberPair]bool{}
	for i, message := range m.messages {
		pair := memberPair{message.from.Member, message.to.Member}
		late := seen[pair]
		if seen[pair] = true; late && m.budget.late == 0 {
			continue
		}
		deliver := func(c *model) {
			if late {
				c.budget.late--
			}
			c.deliver(message)
		}
		drop := func(c *model) { c.messages = slices.Delete(c.messages, i, i+1) }
		e.add(message.text+" arrives", 1, func(c *model) {
			drop(c)
			deliver(c)
		})
		e.add(message.text+" arrives, and will again", m.budget.duplicates, func(c *model) {
			c.budget.duplicates--
			deliver(c)
		})
		e.add(message.text+" is lost", m.budget.lost, func(c *model) {
			c.budget.lost--
			drop(c)
		})
	}
}

func (m *model) addNodeEvents(e *modelEvents, k int) {
	n := &m.nodes[k]
	name := fmt.Sprint("instance ", k+1)
	inView := slices.Contains(m.views[len(m.views)-1].Members, placement.Member{Session: n.session})
	if n.appliedViews < len(m.views) {
		e.add(name+" applies a view", 1, func(c *model) { c.applyView(k) })
	} else if inView && n.renewedAt < m.now {
		e.add(name+" renews its lease", m.budget.renewals, func(c *model) {
			c.budget.renewals--
			c.nodes[k].leaseUntil, c.nodes[k].renewedAt = c.now+modelLease, c.now
		})
	}
	if !n.ticked {
		e.add(name+" ticks", 1, func(c *model) { c.tick(k) })
	}
	// One rejected call is enough for tokens of the account to be requested.
	b := n.limiter.buckets[Key{Account: modelAccount}]
	if m.now < n.leaseUntil && (k > 0 || len(m.nodes) == 2) &&
		(b == nil || b.calls == 0 || b.previousTokens+b.tokens > 0) {
		e.add(name+" has a call", m.budget.calls, func(c *model) { c.call(k) })
	}
	if k <= m.budget.faulty {
		m.addFaultEvents(e, k, name, inView)
	}
}

func (m *model) addFaultEvents(e *modelEvents, k int, name string, inView bool) {
	n := &m.nodes[k]
	isNode := func(x placement.Member) bool { return x.Member == n.session.Member }
	others := slices.DeleteFunc(slices.Clone(m.views[len(m.views)-1].Members), isNode)
	if inView && len(others) > 0 {
		e.add(name+" is set aside", m.budget.setAsides, func(c *model) {
			c.budget.setAsides--
			c.addView(others)
		})
		if m.now >= n.renewedAt+rollout.ExpiryWait(modelLease) {
			e.add(name+" expires", m.budget.expiries, func(c *model) {
				c.budget.expiries--
				c.addView(others, n.session)
			})
		}
	}
	if !inView {
		e.add(name+" has a session again", m.budget.reopens, func(c *model) {
			c.budget.reopens--
			c.openSession(k, others)
		})
	}
	e.add(name+" dies and is started", m.budget.deaths, func(c *model) {
		c.budget.deaths--
		started := &c.nodes[k]
		p := started.limiter.policy
		started.limiter, started.authority = NewLimiter(c.now), modelAuthority()
		started.appliedViews = len(c.views)
		started.limiter.Configure(c.now, p)
		started.authority.Configure(c.now, p)
		var expired []placement.Session
		if inView {
			expired = append(expired, n.session)
		}
		c.openSession(k, others, expired...)
	})
}

func (m *model) openSession(k int, others []placement.Member, expired ...placement.Session) {
	m.epoch++
	n := &m.nodes[k]
	n.session, n.leaseUntil = placement.Session{Member: uint64(k + 1), Epoch: m.epoch}, 0
	n.renewedAt = m.now // as the leader counts: it may request a lease at once
	members := append(slices.Clone(others), placement.Member{Session: n.session})
	slices.SortFunc(members, func(a, b placement.Member) int { return cmp.Compare(a.Member, b.Member) })
	m.addView(members, expired...)
}

func (m *model) applyView(k int) {
	n := m.copyNode(k)
	v := m.views[n.appliedViews]
	n.appliedViews++
	own := placement.Session{}
	if slices.Contains(v.Members, placement.Member{Session: n.session}) {
		own = n.session
	}
	n.limiter.SetView(m.now, modelTable(v), own)
	// Messages may be lost; but each is sent only once, or there would be too many states.
	n.limiter.confirmationsRemaining = min(n.limiter.confirmationsRemaining, 1)
	n.authority.SetView(m.now, modelTable(v), own, modelLease, n.authority.table == nil)
	for _, tr := range n.authority.transfers {
		tr.remainingSends = min(tr.remainingSends, 1)
		maps.DeleteFunc(tr.Shards, func(shard int, _ TransferredShard) bool {
			return shard != placement.ShardOf(modelAccount)
		})
	}
}

func (m *model) tick(k int) {
	n := m.copyNode(k)
	n.ticked = true
	requests, confirmations := n.limiter.Tick(m.now)
	sendAll(m, n, requests)
	for to, tr := range n.authority.PendingTransfers() {
		m.send(n, to, tr)
	}
	sendAll(m, n, confirmations)
	if m.now < n.leaseUntil {
		sendAll(m, n, n.authority.Tick(m.now))
	}
}

func sendAll[T any](m *model, n *modelNode, messages map[placement.Session][]T) {
	for to, list := range messages {
		for _, body := range list {
			m.send(n, to, body)
		}
	}
}

// send queues a message; one to the instance itself arrives at once.
func (m *model) send(n *modelNode, to placement.Session, body any) {
	if to == n.session {
		m.deliver(modelMessage{from: to, to: to, body: body})
		return
	}
	m.messages = append(m.messages, modelMessage{n.session, to, body, describeMessage(n.session, to, body)})
}

// deliver has a message received, if it is for the instance's present session.
func (m *model) deliver(message modelMessage) {
	k := int(message.to.Member - 1)
	if m.nodes[k].session != message.to {
		return
	}
	n := m.copyNode(k)
	switch body := message.body.(type) {
	case TokenRequest:
		n.authority.ReceiveRequest(m.now, message.from, body)
	case Grant:
		n.limiter.ReceiveGrant(m.now, message.from, body)
	case DrainConfirmation:
		n.authority.ReceiveDrainConfirmation(m.now, message.from, body)
	case *Transfer:
		tr := *body
		tr.Shards = maps.Clone(body.Shards)
		n.authority.ReceiveTransfer(m.now, &tr)
	}
}

func (m *model) call(k int) {
	m.budget.calls--
	n := m.copyNode(k)
	if _, ok := n.limiter.Admit(m.now, modelAccount, ""); !ok {
		return
	}
	m.level = min(2, m.level+int((m.now-m.refilledAt)/modelStep)) - 1
	if m.refilledAt = m.now; m.level < 0 {
		m.violation = "more is admitted than the rate and the burst allow"
	}
}

var states = flag.Int64("states", 20_000, "how many states of each small model are visited")

// In every order of events no more is admitted than the rate and the burst allow.
func TestEveryOrderOfAnOwnerChange(t *testing.T) {
	for name, b := range map[string]modelBudget{
		"a death of two":   {instances: 2, steps: 3, deaths: 1, calls: 4},
		"a death":          {instances: 3, steps: 2, deaths: 1, calls: 3},
		"an expiry of two": {instances: 2, steps: 11, expiries: 1, calls: 4, renewals: 1},
		"aside of two":     {instances: 2, steps: 1, setAsides: 1, calls: 5},
		"aside":            {instances: 3, steps: 1, setAsides: 1, calls: 3, late: 1},
		"and back of two":  {instances: 2, steps: 2, setAsides: 1, reopens: 1, calls: 4},
		"twice, or lost":   {instances: 2, steps: 1, deaths: 1, calls: 4, duplicates: 1, lost: 1},
		"one, then two":    {instances: 3, steps: 1, setAsides: 1, deaths: 1, calls: 3, faulty: 1},
	} {
		r := modelcheck.Check(newModel(t, b), *states)
		t.Logf("%s: %d states, complete: %v", name, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s: %s:\n%s", name, r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}
