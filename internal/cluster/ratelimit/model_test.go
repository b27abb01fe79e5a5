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

// model is a group of two or three instances with one account, limited to four jobs per second with a burst
// of two. Grants and leases last one second. Time advances in steps of 250 ms. At any time an instance may
// apply the next view, renew its lease (if it has applied all views, as its leader has), tick once per step,
// admit a job, crash and restart, be set aside, expire once its lease has certainly expired, and get a new
// session. Messages between two instances arrive in order unless they are lost, late or duplicated. The first
// instance owns the account, or the second if the first is not in the view.
type model struct {
	budget     modelBudget
	now        time.Duration
	nodes      []modelNode
	views      []placement.View
	messages   []modelMessage
	epoch      uint64
	level      int // of the reference bucket, from which every admission takes a token
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

// modelBudget limits how often each event may still happen.
type modelBudget struct {
	instances                                                                             int
	steps, crashes, setAsides, expiries, reopens, lost, late, duplicates, calls, renewals int
	// lastFaulty is the index of the last instance that may have faults.
	lastFaulty int
}

const modelAccount = "m2232" // owned by the first instance, or by the second if the first is not in the view

var modelSeed, modelTables = maphash.MakeSeed(), sync.Map{}

// modelAuthority returns an authority with only the shards up to the account's, so that copies are small.
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
	if owner, _ := modelTable(m.views[0]).Owner(placement.ShardOf(modelAccount)); owner.Member != 1 {
		t.Fatalf("instance %d owns the account, want 1", owner.Member)
	}
	return m
}

const (
	modelLease = time.Second
	modelStep  = 250 * time.Millisecond // the time in which the bucket gains one token
)

func (m *model) addView(members []placement.Member, expired ...placement.Session) {
	number := uint64(len(m.views) + 1)
	m.views = append(m.views, placement.View{Number: number, Members: members, Expired: expired})
}

// copyNode replaces an instance in a copy of the model by a deep copy, which can be changed without affecting
// the original.
func (m *model) copyNode(k int) *modelNode {
	n := &m.nodes[k]
	limiter, authority := *n.limiter, *n.authority
	limiter.buckets = map[Key]*localBucket{}
	for key, b := range n.limiter.buckets {
		bucket := *b
		limiter.buckets[key] = &bucket
	}
	authority.ledgers, authority.transfers = map[Key]*ledger{}, nil
	for key, l := range n.authority.ledgers {
		authority.ledgers[key] = copyLedger(l)
	}
	for _, tr := range n.authority.transfers {
		transfer := *tr
		authority.transfers = append(authority.transfers, &transfer)
	}
	authority.shards = slices.Clone(authority.shards)
	authority.revocation.complete = maps.Clone(authority.revocation.complete)
	authority.revocation.partial = maps.Clone(authority.revocation.partial)
	n.limiter, n.authority = &limiter, &authority
	return n
}

func copyLedger(l *ledger) *ledger {
	result := *l
	result.borrowers = map[placement.Session]*borrower{}
	for session, b := range l.borrowers {
		front := *b
		front.unacked = slices.Clone(b.unacked)
		result.borrowers[session] = &front
	}
	return &result
}

func (m *model) Violation() string { return m.violation }

// Key returns a hash of everything that later transitions depend on.
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
	// Only the order of messages from one instance to another matters.
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
	limiter, authority := n.limiter, n.authority
	fmt.Fprint(h, ";", n.session, n.appliedViews, n.leaseUntil, n.renewedAt, n.ticked, limiter.requestSeq,
		limiter.confirmationsRemaining, authority.grantSeq, authority.shards[placement.ShardOf(modelAccount)],
		authority.revocation.departedLeaseEnds)
	for _, b := range limiter.buckets {
		fmt.Fprint(h, *b)
	}
	for _, l := range authority.ledgers {
		fmt.Fprint(h, l.level, l.refilledAt, l.inherited, l.inheritedUntil)
		for _, session := range sortedSessions(l.borrowers) {
			fmt.Fprint(h, *l.borrowers[session])
		}
	}
	for _, confirmations := range []map[placement.Session]confirmation{authority.revocation.complete,
		authority.revocation.partial} {
		for _, session := range sortedSessions(confirmations) {
			fmt.Fprint(h, session, confirmations[session])
		}
	}
	for _, tr := range authority.transfers {
		fmt.Fprint(h, *tr)
	}
}

// describeMessage returns a text that is equal for messages with equal content.
func describeMessage(from, to placement.Session, body any) string {
	if tr, ok := body.(*Transfer); ok {
		body = *tr
	}
	return fmt.Sprintf("%d.%d to %d.%d: %T %v", from.Member, from.Epoch, to.Member, to.Epoch, body, body)
}

// modelEvents collects the transitions from a state of the model.
type modelEvents struct {
	model       *model
	transitions []modelcheck.Transition[*model]
}

// add adds an event, applied to a copy of the model, if there is budget left for it.
func (e *modelEvents) add(name string, budget int, apply func(c *model)) {
	if budget <= 0 {
		return
	}
	c := *e.model
	c.nodes, c.views, c.messages = slices.Clone(c.nodes), slices.Clip(c.views), slices.Clone(c.messages)
	apply(&c)
	e.transitions = append(e.transitions, modelcheck.Transition[*model]{Event: name, State: &c})
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	e := &modelEvents{model: m}
	m.addMessageEvents(e)
	for k := range m.nodes {
		m.addNodeEvents(e, k)
	}
	// The passing of time comes last, so that the search first goes deep into events within a step.
	e.add("time passes", m.budget.steps, func(c *model) {
		c.budget.steps--
		c.now += modelStep
		for k := range c.nodes {
			c.nodes[k].ticked = false
		}
	})
	return e.transitions
}

// memberPair is a sender and a receiver.
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
		e.add(message.text+" arrives and is duplicated", m.budget.duplicates, func(c *model) {
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
	// A call that would be rejected is tried only once per tick: one is enough for tokens to be requested.
	b := n.limiter.buckets[Key{Account: modelAccount}]
	if m.now < n.leaseUntil && (k > 0 || len(m.nodes) == 2) &&
		(b == nil || b.calls == 0 || b.previousTokens+b.tokens > 0) {
		e.add(name+" receives a call", m.budget.calls, func(c *model) { c.call(k) })
	}
	if k <= m.budget.lastFaulty {
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
		e.add(name+" opens a new session", m.budget.reopens, func(c *model) {
			c.budget.reopens--
			c.openSession(k, others)
		})
	}
	e.add(name+" crashes and restarts", m.budget.crashes, func(c *model) {
		c.budget.crashes--
		restarted := &c.nodes[k]
		p := restarted.limiter.policy
		restarted.limiter, restarted.authority = NewLimiter(c.now), modelAuthority()
		restarted.appliedViews = len(c.views)
		restarted.limiter.Configure(c.now, p)
		restarted.authority.Configure(c.now, p)
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
	n.renewedAt = m.now // the leader must assume that the session requests a lease at once
	members := append(slices.Clone(others), placement.Member{Session: n.session})
	slices.SortFunc(members, func(a, b placement.Member) int { return cmp.Compare(a.Member, b.Member) })
	m.addView(members, expired...)
}

func (m *model) applyView(k int) {
	n := m.copyNode(k)
	v := m.views[n.appliedViews]
	n.appliedViews++
	self := placement.Session{}
	if slices.Contains(v.Members, placement.Member{Session: n.session}) {
		self = n.session
	}
	n.limiter.SetView(m.now, modelTable(v), self)
	// Confirmations and transfers are sent only once, although they may be lost: repeats would add too many
	// states.
	n.limiter.confirmationsRemaining = min(n.limiter.confirmationsRemaining, 1)
	n.authority.SetView(m.now, modelTable(v), self, modelLease, n.authority.table == nil)
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

// send queues a message. A message to the sender itself is delivered at once.
func (m *model) send(n *modelNode, to placement.Session, body any) {
	if to == n.session {
		m.deliver(modelMessage{from: to, to: to, body: body})
		return
	}
	m.messages = append(m.messages, modelMessage{n.session, to, body, describeMessage(n.session, to, body)})
}

// deliver passes a message to its receiver if it is addressed to the receiver's current session.
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

var maxStates = flag.Int64("states", 20_000, "maximum number of states to visit in each small model")

// In every order of events around an owner change, admissions stay within the rate and the burst. Each case
// is a small model with a budget of faults, searched exhaustively or up to the -states flag.
func TestEveryOrderOfAnOwnerChange(t *testing.T) {
	for name, b := range map[string]modelBudget{
		"crash, 2 instances":     {instances: 2, steps: 3, crashes: 1, calls: 4},
		"crash, 3 instances":     {instances: 3, steps: 2, crashes: 1, calls: 3},
		"expiry, 2 instances":    {instances: 2, steps: 11, expiries: 1, calls: 4, renewals: 1},
		"set aside, 2 instances": {instances: 2, steps: 1, setAsides: 1, calls: 5},
		"set aside, 3 instances": {instances: 3, steps: 1, setAsides: 1, calls: 3, late: 1},
		"set aside and back":     {instances: 2, steps: 2, setAsides: 1, reopens: 1, calls: 4},
		"duplicated or lost":     {instances: 2, steps: 1, crashes: 1, calls: 4, duplicates: 1, lost: 1},
		"2 faults, 3 instances":  {instances: 3, steps: 1, setAsides: 1, crashes: 1, calls: 3, lastFaulty: 1},
	} {
		r := modelcheck.Check(newModel(t, b), *maxStates)
		t.Logf("%s: %d states, complete: %v", name, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s: %s:\n%s", name, r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}
