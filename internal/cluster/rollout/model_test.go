package rollout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The explorer plays every order of events of a small group: entries applied early or late,
// reports and grants under way for any time, time going on between any two of them, and a crash,
// a lost grant, a stalled leader and a change of leader at any point. In each state it asks whether
// somebody might admit a job under a policy after somebody might have under a later one.
//
// Time goes on in steps of half a lease, by the leader's clock, and in all instances' clocks as slowly
// as may be: 0.6 to the leader's 1.4. A lease then lasts less than five steps, and the leader
// waits 4.9: there is no step to spare.

const (
	step = 7 * time.Second // the leader's clock's
	slow = 3 * time.Second // all others'
	// slower is past what is promised for
	slower = 2500 * time.Millisecond
)

var exploredPolicy = Policy{
	WhenIsolated:      StopAtLeaseExpiry,
	Lease:             2 * step,
	StagingTimeout:    time.Hour,
	MaxAdmissionPause: 3 * step,
}

// longestHold is long enough for a lease to have surely run out, and for a change to be tried twice.
const longestHold = 7 * step

// there is what an instance's clock shows.
func (e *explored) there() time.Duration {
	if e.slower {
		return e.now / step * slower
	}
	return e.now / step * slow
}

// may says whether a node may admit now, by its own lights: with those that are broken, too.
func (e *explored) may(i int, b bounds) bool {
	n, now := &e.nodes[i], e.there()
	switch {
	case b.broken == "wall clock" && e.held == i+1:
		now -= exploredPolicy.Lease // somebody has set it back
	case b.broken == "no look after a stall" && e.held == i+1:
		now = e.since / step * slow // as when it stood still
	case b.broken == "front open before the policy is known" && n.early:
		return true
	}
	return n.permit.Admits(now, n.decided)
}

type entryOf struct {
	change int // a proposal of this number; 0: a command
	c      Command
}

type node struct {
	h       LeaseHolder
	applied int
	state   *State
	decided uint64 // revision in force, as applied
	permit  Permit
	report  *Report // under way to the leader
	grant   *Grant  // under way back
	early   bool    // it has started, and has no session yet
}

type explored struct {
	now      time.Duration
	log      []entryOf
	nodes    []node
	leader   *Leader
	known    *State // as the leader's own instance has it
	force    uint64
	at       int // of the log, that the leader has applied
	proposed int
	newest   uint64 // revision that somebody might have admitted under
	crashes  int
	losses   int
	deposed  int
	stalls   int
	held     int // the node that nothing gets through to, from 1 on; 0: none
	holds    int
	since    time.Duration // it is held
	slower   bool
	nonce    uint64
}

func (s *State) clone() *State {
	c := &State{Sessions: maps.Clone(s.Sessions), LastEpoch: s.LastEpoch}
	if s.Pending != nil {
		p := *s.Pending
		c.Pending = &p
	}
	return c
}

func (l *Leader) clone() *Leader {
	c := *l
	c.seats, c.asked = map[uint64]*seat{}, map[string]time.Duration{}
	for k, at := range l.asked {
		if l.last-at < exploredPolicy.Lease/2 { // else it is as if it had not been
			c.asked[k] = at
		}
	}
	for id, x := range l.seats {
		y := *x
		c.seats[id] = &y
	}
	return &c
}

func (e *explored) clone() *explored {
	c := *e
	c.nodes = slices.Clone(e.nodes)
	// What all have applied is of no more use.
	least := e.at
	for _, n := range e.nodes {
		least = min(least, n.applied)
	}
	c.log, c.at = slices.Clone(e.log[least:]), e.at-least
	for i := range c.nodes {
		c.nodes[i].applied -= least
	}
	for i := range c.nodes {
		c.nodes[i].state = c.nodes[i].state.clone()
	}
	c.leader, c.known = e.leader.clone(), e.known.clone()
	return &c
}

// applyTo applies an entry to a copy of the agreed state.
func applyTo(s *State, force *uint64, x entryOf) {
	if x.change > 0 {
		if s.Pending == nil {
			s.Pending = &PendingChange{Change: fmt.Sprint(x.change), Revision: *force + 1, Phase: Staging,
				Attempt: 1}
		}
		return
	}
	p := s.Pending
	if s.Apply(x.c) == nil && x.c.Kind == Commit {
		*force = p.Revision
	}
}

func newExplored(b bounds) *explored {
	e := &explored{known: NewState(), leader: NewLeader(0, 1), force: 1, nonce: 1,
		slower: b.broken == "a slower clock"}
	for i := range b.nodes {
		e.nodes = append(
			e.nodes,
			node{state: NewState(), decided: 1, h: *NewLeaseHolder(uint64(i+1), e.nonce)},
		)
		e.nonce++
	}
	// The stories begin with a group in which all admit.
	b = bounds{nodes: b.nodes}
	for {
		events := e.next(b)
		if events[0].what == "time" {
			return e
		}
		e.take(events[0], b)
	}
}

// bounds of what is explored.
type bounds struct {
	nodes, changes  int
	until           time.Duration
	crashes, losses int
	depositions     int
	stalls          int // of the leader
	// holds: so often something may stand between one node and the rest, for any time. All others
	// get all that is under way, in any order, before time goes on. 0: everything may take any time.
	holds  int
	whole  bool   // the second rule
	broken string // a guard that is left out, to see that it is missed
}

func (b bounds) names() map[uint64]string {
	m := map[uint64]string{}
	for i := range b.nodes {
		m[uint64(i+1)] = fmt.Sprint("n", i+1)
	}
	return m
}

// refresh has a node's fronts go by what its state says, and counts what they might admit.
func (e *explored) refresh(i int) {
	n := &e.nodes[i]
	n.h.ObserveState(n.state)
	n.early = n.early && n.h.epoch == 0
	n.permit = n.h.Permit(n.state, n.decided, exploredPolicy)
	if n.permit.Change != "" {
		n.h.SetAdmissionClosed(n.permit.Change, n.permit.Attempt)
	}
	if p := n.state.Pending; p != nil && n.h.staged != p.Change {
		n.h.SetStaged(p.Change, nil)
	}
}

// check says what is wrong in this state.
func (e *explored) check(b bounds) string {
	for i := range e.nodes {
		n := &e.nodes[i]
		if !e.may(i, b) {
			continue
		}
		if n.decided < e.newest {
			return fmt.Sprintf("n%d may admit under %d, and somebody might have under %d", i+1, n.decided,
				e.newest)
		}
	}
	for i := range e.nodes {
		if e.may(i, b) {
			e.newest = max(e.newest, e.nodes[i].decided)
		}
	}
	return ""
}

// event is something that may happen next.
type event struct {
	what string
	do   func(c *explored)
}

// next gives all that may happen next.
func (e *explored) next(b bounds) (out []event) {
	add := func(what string, f func(c *explored)) { out = append(out, event{what, f}) }
	prompt := true // nothing is under way but to the one that is held
	for i := range e.nodes {
		n := &e.nodes[i]
		held := e.held == i+1
		if !held && (n.applied < len(e.log) || n.report != nil || n.grant != nil) {
			prompt = false
		}
		if !held && n.applied < len(e.log) {
			add(fmt.Sprint("apply ", i+1), func(c *explored) {
				n := &c.nodes[i]
				applyTo(n.state, &n.decided, c.log[n.applied])
				n.applied++
				c.refresh(i)
			})
		}
		if n.report != nil {
			// The leader has applied all of the log: its answer is sure after a majority's word.
			add(fmt.Sprint("hear ", i+1), func(c *explored) {
				n := &c.nodes[i]
				r := *n.report
				n.report = nil
				c.catchUp()
				c.leader.ObserveReport(c.now, r)
				if g := c.leader.Grant(c.now, r, c.known, exploredPolicy); g.Duration > 0 {
					n.grant = &g
				}
			})
			if e.losses < b.losses {
				add(fmt.Sprint("lose the report ", i+1), func(c *explored) {
					c.nodes[i].report = nil
					c.losses++
				})
			}
		}
		if !held && n.grant != nil {
			add(fmt.Sprint("granted ", i+1), func(c *explored) {
				n := &c.nodes[i]
				if b.broken == "lease from the answer" {
					n.grant.RequestedAt = c.there()
				}
				n.h.ObserveGrant(*n.grant)
				n.grant = nil
				c.refresh(i)
			})
			if e.losses < b.losses {
				add(fmt.Sprint("lose ", i+1), func(c *explored) { c.nodes[i].grant = nil; c.losses++ })
			}
		}
		if e.crashes < b.crashes {
			add(fmt.Sprint("crash ", i+1), func(c *explored) {
				n := &c.nodes[i]
				n.h = *NewLeaseHolder(uint64(i+1), c.nonce)
				c.nonce++
				n.grant = nil // its last report may come yet
				n.early = true
				c.crashes++
				c.refresh(i)
			})
		}
	}
	if e.proposed < b.changes && e.known.Pending == nil {
		add("propose", func(c *explored) {
			c.proposed++
			c.log = append(c.log,
				entryOf{change: c.proposed})
			c.catchUp()
		})
	}
	if e.deposed < b.depositions {
		add("another leads", func(c *explored) {
			c.catchUp()
			c.deposed++
			c.leader = NewLeader(c.now, c.leader.term+1)
			for i := range c.nodes {
				c.nodes[i].report = nil
				c.nodes[i].h.ReportNow()
			}
		})
	}
	if e.held > 0 {
		add("let go", func(c *explored) { c.held = 0 })
	} else if e.holds < b.holds {
		for i := range e.nodes {
			add(fmt.Sprint("hold ", i+1), func(c *explored) {
				c.held, c.holds, c.since = i+1, c.holds+1, c.now
			})
		}
	}
	if b.whole && (!prompt || e.held > 0 && e.now-e.since >= longestHold) {
		return out
	}
	if b.until > 0 && e.now >= b.until {
		return out
	}
	add("time", func(c *explored) { c.now += step })
	if e.stalls < b.stalls {
		add("time, and the leader stands still", func(c *explored) {
			c.now += step
			c.report()
			c.now += step
			c.stalls++
		})
	}
	return out
}

// take has an event happen, and what follows from it at once.
func (e *explored) take(x event, b bounds) *explored {
	x.do(e)
	e.follow(b)
	return e
}

// follow does what follows from an event at once: who has something to tell sends it, and the
// leader looks. How long either takes is up to what is under way.
func (e *explored) follow(b bounds) {
	e.report()
	e.catchUp()
	if b.broken == "in force at commit" && e.known.Pending != nil {
		p := e.known.Pending
		e.log = append(e.log, entryOf{c: Command{Kind: CloseAdmission, Change: p.Change, Attempt: p.Attempt,
			Sessions: e.known.OpenSessions()}}, entryOf{c: Command{Kind: Commit, Change: p.Change,
			Attempt:  p.Attempt,
			Sessions: e.known.OpenSessions()}})
	}
	if p := e.known.Pending; b.broken == "evidence of nobody" && p != nil && p.Phase == ClosingAdmission {
		e.log = append(e.log, entryOf{c: Command{Kind: Commit, Change: p.Change, Attempt: p.Attempt,
			Sessions: e.known.OpenSessions()}})
	}
	for _, c := range e.leader.Evaluate(e.now, e.known, exploredPolicy, b.names()) {
		e.log = append(e.log, entryOf{c: c})
	}
	e.catchUp()
}

func (e *explored) report() {
	for i := range e.nodes {
		n := &e.nodes[i]
		if n.report == nil && n.grant == nil {
			if r, due := n.h.NextReport(e.there(), exploredPolicy); due {
				n.report = &r
			}
		}
	}
}

// catchUp has the leader's own instance apply all of the log.
func (e *explored) catchUp() {
	for ; e.at < len(e.log); e.at++ {
		applyTo(e.known, &e.force, e.log[e.at])
	}
}

// walk plays one order of events, drawn from a seed, to its end.
func walk(b bounds, seed uint64) (events int, wrong string, way []string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	e := newExplored(b)
	// One node mostly stands still: what it has in its buffers waits.
	still := fmt.Sprint(" ", 1+rng.IntN(b.nodes+1))
	for events = 0; events < 500; events++ {
		next := e.next(b)
		if len(next) == 0 {
			return events, "", nil
		}
		k := rng.IntN(len(next))
		for try := 0; strings.HasSuffix(next[k].what, still) && next[k].what[:4] != "hear" && try < 6; try++ {
			k = rng.IntN(len(next))
		}
		e.take(next[k], b)
		way = append(way, next[k].what)
		if wrong = e.check(b); wrong != "" {
			return events, wrong, way
		}
	}
	return events, "", nil
}

// walks plays many, and gives the first that is wrong.
func walks(b bounds, count int) (events, done int, wrong string, way []string) {
	for seed := range uint64(count) {
		n, wrong, way := walk(b, seed)
		events += n
		if wrong != "" {
			return events, int(seed) + 1, wrong, way
		}
	}
	return events, count, "", nil
}

var whole = bounds{nodes: 3, changes: 2, until: 30 * step, crashes: 1, losses: 2,
	depositions: 2, stalls: 1}

func TestOrdersOfEvents(t *testing.T) {
	events, done, wrong, way := walks(whole, 1500)
	if wrong != "" {
		t.Errorf("walk %d: %s:\n%s", done, wrong, strings.Join(way, "\n"))
	}
	t.Logf("%d walks of %d events in all", done, events)
}
