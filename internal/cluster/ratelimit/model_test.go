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

// The model: three instances, one account of four jobs a second and two at once, slices that last a second
// and leases that do. At any time an instance may apply the next view, renew its lease (by a leader that has
// applied all, where it has, too), take its turn once a step, admit a job, die and be started anew, be set
// aside, lapse once its lease has surely run out, and have a new session. What it says comes in order to
// each, or is lost, late or twice; the time passes in steps of a quarter of a second. The account's owner is
// the first instance, without that the second.

type modelNode struct {
	front     *Limiter
	authority *Authority
	seat      placement.Session
	applied   int
	until     time.Duration
	granted   time.Duration // when its lease was renewed last
	turned    bool          // in this step
}

type modelWord struct {
	from, to placement.Session
	what     any // Ask, Grant, Left or *Cession
	text     string
}

type modelLimits struct {
	instances                                                                int
	steps, deaths, asides, lapses, opens, lost, late, twice, calls, renewals int
	// Faults befall the instances up to this one.
	faulty int
}

type model struct {
	left  modelLimits
	now   time.Duration
	nodes []modelNode
	views []placement.View
	words []modelWord
	epoch uint64
	level int // of the bucket that all admissions are taken from, and when that was
	at    time.Duration
	wrong string
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

func newModel(t testing.TB, b modelLimits) *model {
	p, wrong := ParsePolicy(map[string]string{"tick": "100ms", "term": "1s", "account": "X",
		"account." + modelAccount: "4/s burst=2"}, nil)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	m := &model{left: b, now: time.Hour, at: time.Hour, level: 2, nodes: make([]modelNode, b.instances)}
	var members []placement.Member
	for k := range m.nodes {
		m.epoch++
		n := &m.nodes[k]
		n.seat = placement.Session{Member: uint64(k + 1), Epoch: m.epoch}
		members = append(members, placement.Member{Session: n.seat})
		n.front, n.authority = NewLimiter(0), modelAuthority()
		n.front.Configure(0, p)
		n.authority.Configure(0, p)
		n.until, n.granted = m.now+modelLease, m.now
	}
	m.agree(members)
	for k := range m.nodes {
		n := &m.nodes[k]
		n.front.SetView(0, modelTable(m.views[0]), n.seat)
		n.authority.SetView(0, modelTable(m.views[0]), n.seat, modelLease, false)
		n.applied, n.front.confirmationsLeft = 1, 0
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

func (m *model) agree(members []placement.Member, over ...placement.Session) {
	m.views = append(
		m.views,
		placement.View{Number: uint64(len(m.views) + 1), Members: members, Expired: over},
	)
}

// node gives an instance of its own to a copy of the model.
func (m *model) node(k int) *modelNode {
	n := &m.nodes[k]
	f, a := *n.front, *n.authority
	f.buckets = map[Key]*localBucket{}
	for key, w := range n.front.buckets {
		x := *w
		f.buckets[key] = &x
	}
	a.ledgers, a.transfers = map[Key]*ledger{}, nil
	for key, b := range n.authority.ledgers {
		x := *b
		x.borrowers = map[placement.Session]*borrower{}
		for seat, l := range b.borrowers {
			y := *l
			y.unacked = slices.Clone(l.unacked)
			x.borrowers[seat] = &y
		}
		a.ledgers[key] = &x
	}
	for _, c := range n.authority.transfers {
		x := *c
		a.transfers = append(a.transfers, &x)
	}
	a.shards = slices.Clone(a.shards)
	a.revocation.complete, a.revocation.partial = maps.Clone(
		a.revocation.complete,
	), maps.Clone(
		a.revocation.partial,
	)
	n.front, n.authority = &f, &a
	return n
}

func (m *model) Violation() string { return m.wrong }

// Key tells states apart: all that anything that follows goes by.
func (m *model) Key() uint64 {
	var h maphash.Hash
	h.SetSeed(modelSeed)
	shard := placement.ShardOf(modelAccount)
	fmt.Fprint(&h, m.left, m.now, m.epoch, m.level, m.at, len(m.views))
	for k := range m.nodes {
		n := &m.nodes[k]
		f, a := n.front, n.authority
		fmt.Fprint(
			&h,
			";",
			n.seat,
			n.applied,
			n.until,
			n.granted,
			n.turned,
			f.requestSeq,
			f.confirmationsLeft,
			a.grantSeq,
			a.shards[shard],
			a.revocation.unsafeUntil,
		)
		for _, w := range f.buckets {
			fmt.Fprint(&h, *w)
		}
		for _, b := range a.ledgers {
			fmt.Fprint(&h, b.level, b.refilledAt, b.inherited, b.inheritedUntil)
			for _, seat := range inOrder(b.borrowers) {
				fmt.Fprint(&h, *b.borrowers[seat])
			}
		}
		for _, list := range []map[placement.Session]confirmation{a.revocation.complete,
			a.revocation.partial} {
			for _, seat := range inOrder(list) {
				fmt.Fprint(&h, seat, list[seat])
			}
		}
		for _, c := range a.transfers {
			fmt.Fprint(&h, *c)
		}
	}
	for _, v := range m.views {
		fmt.Fprint(&h, v)
	}
	// Between two instances words keep their order, and between pairs there is none.
	said := slices.Clone(m.words)
	slices.SortStableFunc(said, func(a, b modelWord) int {
		return cmp.Or(cmp.Compare(a.from.Member, b.from.Member), cmp.Compare(a.to.Member, b.to.Member))
	})
	for _, w := range said {
		fmt.Fprint(&h, w.text, ";")
	}
	return h.Sum64()
}

// text is a word in words: two that say the same have the same.
func text(from, to placement.Session, what any) string {
	if c, ok := what.(*Transfer); ok {
		what = *c
	}
	return fmt.Sprintf("%d.%d to %d.%d: %T %v", from.Member, from.Epoch, to.Member, to.Epoch, what, what)
}

func (m *model) Transitions() (steps []modelcheck.Transition[*model]) {
	event := func(what string, left int, do func(c *model)) {
		if left <= 0 {
			return
		}
		c := *m
		c.nodes, c.views, c.words = slices.Clone(m.nodes), slices.Clip(m.views), slices.Clone(m.words)
		do(&c)
		steps = append(steps, modelcheck.Transition[*model]{Event: what, State: &c})
	}
	first := map[[2]uint64]bool{}
	for i, w := range m.words {
		pair := [2]uint64{w.from.Member, w.to.Member}
		late := first[pair]
		if first[pair] = true; late && m.left.late == 0 {
			continue
		}
		hear := func(c *model) {
			if late {
				c.left.late--
			}
			c.hear(w)
		}
		drop := func(c *model) { c.words = slices.Delete(c.words, i, i+1) }
		event(w.text+" is heard", 1, func(c *model) { drop(c); hear(c) })
		event(w.text+" is heard, and again", m.left.twice, func(c *model) { c.left.twice--; hear(c) })
		event(w.text+" is lost", m.left.lost, func(c *model) { c.left.lost--; drop(c) })
	}
	view := m.views[len(m.views)-1]
	for k := range m.nodes {
		n := &m.nodes[k]
		name := fmt.Sprint("instance ", k+1)
		is := func(x placement.Member) bool { return x.Member == n.seat.Member }
		others := slices.DeleteFunc(slices.Clone(view.Members), is)
		seated := slices.Contains(view.Members, placement.Member{Session: n.seat})
		if n.applied < len(m.views) {
			event(name+" learns a view", 1, func(c *model) { c.learn(k) })
		} else if seated && n.granted < m.now {
			event(name+" renews its lease", m.left.renewals, func(c *model) {
				c.left.renewals--
				c.nodes[k].until, c.nodes[k].granted = c.now+modelLease, c.now
			})
		}
		if !n.turned {
			event(name+" has a turn", 1, func(c *model) { c.turn(k) })
		}
		// One call that is refused is enough for the account to be asked for.
		w := n.front.buckets[Key{Account: modelAccount}]
		if m.now < n.until && (k > 0 || len(m.nodes) == 2) &&
			(w == nil || w.calls == 0 || w.previousTokens+w.tokens > 0) {
			event(name+" has a call", m.left.calls, func(c *model) { c.call(k) })
		}
		if k > m.left.faulty {
			continue
		}
		if seated && len(others) > 0 {
			event(name+" is set aside", m.left.asides, func(c *model) {
				c.left.asides--
				c.agree(others)
			})
			if m.now >= n.granted+rollout.ExpiryWait(modelLease) {
				event(name+" lapses", m.left.lapses, func(c *model) {
					c.left.lapses--
					c.agree(others, n.seat)
				})
			}
		}
		if !seated {
			event(name+" has a session again", m.left.opens, func(c *model) {
				c.left.opens--
				c.open(k, others)
			})
		}
		event(name+" dies and is started", m.left.deaths, func(c *model) {
			c.left.deaths--
			x := &c.nodes[k]
			p := x.front.policy
			x.front, x.authority, x.applied = NewLimiter(c.now), modelAuthority(), len(c.views)
			x.front.Configure(c.now, p)
			x.authority.Configure(c.now, p)
			var over []placement.Session
			if seated {
				over = append(over, n.seat)
			}
			c.open(k, others, over...)
		})
	}
	// Last: what is searched deeply should be what may happen before.
	event("time passes", m.left.steps, func(c *model) {
		c.left.steps--
		c.now += modelStep
		for k := range c.nodes {
			c.nodes[k].turned = false
		}
	})
	return steps
}

func (m *model) open(k int, others []placement.Member, over ...placement.Session) {
	m.epoch++
	n := &m.nodes[k]
	n.seat, n.until = placement.Session{Member: uint64(k + 1), Epoch: m.epoch}, 0
	n.granted = m.now // as the leader counts: it may ask at once
	members := append(slices.Clone(others), placement.Member{Session: n.seat})
	slices.SortFunc(members, func(a, b placement.Member) int { return cmp.Compare(a.Member, b.Member) })
	m.agree(members, over...)
}

func (m *model) learn(k int) {
	n := m.node(k)
	v := m.views[n.applied]
	n.applied++
	own := placement.Session{}
	if slices.Contains(v.Members, placement.Member{Session: n.seat}) {
		own = n.seat
	}
	n.front.SetView(m.now, modelTable(v), own)
	n.front.confirmationsLeft = min(
		n.front.confirmationsLeft,
		1,
	) // words may be lost, but not be said for ever
	n.authority.SetView(m.now, modelTable(v), own, modelLease, n.authority.table == nil)
	for _, c := range n.authority.transfers {
		c.sendsLeft = min(c.sendsLeft, 1)
		maps.DeleteFunc(
			c.Shards,
			func(s int, _ TransferredShard) bool { return s != placement.ShardOf(modelAccount) },
		)
	}
}

func (m *model) turn(k int) {
	n := m.node(k)
	n.turned = true
	say := func(to placement.Session, what any) {
		if to == n.seat {
			m.hear(modelWord{from: to, to: to, what: what})
			return
		}
		m.words = append(m.words, modelWord{n.seat, to, what, text(n.seat, to, what)})
	}
	asks, lefts := n.front.Tick(m.now)
	for to, list := range asks {
		for _, a := range list {
			say(to, a)
		}
	}
	for to, c := range n.authority.PendingTransfers() {
		say(to, c)
	}
	for to, list := range lefts {
		for _, l := range list {
			say(to, l)
		}
	}
	if m.now < n.until {
		for to, list := range n.authority.Tick(m.now) {
			for _, g := range list {
				say(to, g)
			}
		}
	}
}

func (m *model) hear(w modelWord) {
	k := int(w.to.Member - 1)
	if m.nodes[k].seat != w.to {
		return
	}
	n := m.node(k)
	switch x := w.what.(type) {
	case TokenRequest:
		n.authority.ReceiveRequest(m.now, w.from, x)
	case Grant:
		n.front.ReceiveGrant(m.now, w.from, x)
	case DrainConfirmation:
		n.authority.ReceiveDrainConfirmation(m.now, w.from, x)
	case *Transfer:
		c := *x
		c.Shards = maps.Clone(c.Shards)
		n.authority.ReceiveTransfer(m.now, &c)
	}
}

func (m *model) call(k int) {
	m.left.calls--
	n := m.node(k)
	if _, ok := n.front.Admit(m.now, modelAccount, ""); !ok {
		return
	}
	m.level = min(2, m.level+int((m.now-m.at)/modelStep)) - 1
	if m.at = m.now; m.level < 0 {
		m.wrong = "more is admitted than the rate and the burst allow"
	}
}

var states = flag.Int64("states", 20_000, "how many states of each small model are visited")

// Whatever the order of events, no more is admitted than the rate and the burst allow.
func TestEveryOrderOfAnOwnerChange(t *testing.T) {
	for name, b := range map[string]modelLimits{
		"a death of two":  {instances: 2, steps: 3, deaths: 1, calls: 4},
		"a death":         {instances: 3, steps: 2, deaths: 1, calls: 3},
		"a lapse of two":  {instances: 2, steps: 11, lapses: 1, calls: 4, renewals: 1},
		"aside of two":    {instances: 2, steps: 1, asides: 1, calls: 5},
		"aside":           {instances: 3, steps: 1, asides: 1, calls: 3, late: 1},
		"and back of two": {instances: 2, steps: 2, asides: 1, opens: 1, calls: 4},
		"twice, or lost":  {instances: 2, steps: 1, deaths: 1, calls: 4, twice: 1, lost: 1},
		"one, then two":   {instances: 3, steps: 1, asides: 1, deaths: 1, calls: 3, faulty: 1},
	} {
		r := modelcheck.Check(newModel(t, b), *states)
		t.Logf("%s: %d states, whole: %v", name, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s: %s:\n%s", name, r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}
