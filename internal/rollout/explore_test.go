package rollout

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The explorer plays every order of events of a small group: entries applied early or late,
// reports and grants under way for any time, time going on between any two of them, and a crash,
// a lost grant and a change of leader at any point. In each state it asks whether somebody might
// admit a job under a policy after somebody might have under a later one.

const step = time.Second // the least time; a lease lasts four, and has surely run out after ten

var exploredPolicy = Policy{CutOff: ByLease, Lease: 4 * step, StageWithin: time.Hour, HoldWithin: 3 * step}

type entryOf struct {
	change int // a proposal of this number; 0: a command
	c      Command
}

type node struct {
	h       Holder
	applied int
	state   *State
	decided uint64 // revision in force, as applied
	permit  Permit
	report  *Report // under way to the leader
	grant   *Grant  // under way back
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
	nonce    uint64
}

func (s *State) clone() *State {
	c := &State{Sessions: maps.Clone(s.Sessions), Epoch: s.Epoch}
	if s.Pending != nil {
		p := *s.Pending
		c.Pending = &p
	}
	return c
}

func (l *Leader) clone() *Leader {
	c := *l
	c.seats, c.asked = map[uint64]*seat{}, maps.Clone(l.asked)
	for id, x := range l.seats {
		y := *x
		c.seats[id] = &y
	}
	return &c
}

func (e *explored) clone() *explored {
	c := *e
	c.log = slices.Clone(e.log)
	c.nodes = slices.Clone(e.nodes)
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
			s.Pending = &Pending{Change: fmt.Sprint(x.change), Revision: *force + 1, Phase: Staging,
				Attempt: 1}
		}
		return
	}
	p := s.Pending
	if s.Apply(x.c) == nil && x.c.Kind == Decide {
		*force = p.Revision
	}
}

func newExplored(nodes int) *explored {
	e := &explored{known: NewState(), leader: NewLeader(0, 1), force: 1, nonce: 1}
	for i := range nodes {
		e.nodes = append(e.nodes, node{state: NewState(), decided: 1, h: *NewHolder(uint64(i+1), e.nonce)})
		e.nonce++
	}
	// The stories begin with a group in which all admit.
	b := bounds{nodes: nodes}
	for {
		events := e.next(b)
		if len(events) == 0 {
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
	broken          string // a guard that is left out, to see that it is missed
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
	n.h.Follow(n.state)
	n.permit = n.h.Permit(n.state, n.decided, exploredPolicy)
	if n.permit.Change != "" {
		n.h.Closed(n.permit.Change, n.permit.Attempt)
	}
	if p := n.state.Pending; p != nil && n.h.staged != p.Change {
		n.h.Staged(p.Change, nil)
	}
}

// check says what is wrong in this state.
func (e *explored) check() string {
	for i := range e.nodes {
		n := &e.nodes[i]
		if !n.permit.May(e.now, n.decided) {
			continue
		}
		if n.decided < e.newest {
			return fmt.Sprintf("n%d may admit under %d, and somebody might have under %d", i+1, n.decided,
				e.newest)
		}
	}
	for i := range e.nodes {
		if n := &e.nodes[i]; n.permit.May(e.now, n.decided) {
			e.newest = max(e.newest, n.decided)
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
	for i := range e.nodes {
		n := &e.nodes[i]
		if n.applied < len(e.log) {
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
				c.leader.Heard(c.now, r)
				if g := c.leader.Grant(c.now, r, c.known, exploredPolicy); g.For > 0 {
					if b.broken == "lease from the answer" {
						g.Asked = -1
					}
					n.grant = &g
				}
			})
		}
		if n.grant != nil {
			add(fmt.Sprint("granted ", i+1), func(c *explored) {
				n := &c.nodes[i]
				n.h.Granted(*n.grant)
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
				n.h = *NewHolder(uint64(i+1), c.nonce)
				c.nonce++
				n.report, n.grant = nil, nil
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
				c.nodes[i].h.Again()
			}
		})
	}
	if e.now < b.until {
		add("time", func(c *explored) { c.now += step })
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
	for i := range e.nodes {
		n := &e.nodes[i]
		if n.report == nil && n.grant == nil {
			if r, due := n.h.Report(e.now, exploredPolicy); due {
				n.report = &r
			}
		}
	}
	e.catchUp()
	if b.broken == "in force at commit" && e.known.Pending != nil {
		p := e.known.Pending
		e.log = append(e.log, entryOf{c: Command{Kind: Hold, Change: p.Change, Attempt: p.Attempt,
			Seats: e.known.Seats()}}, entryOf{c: Command{Kind: Decide, Change: p.Change, Attempt: p.Attempt,
			Seats: e.known.Seats()}})
	}
	if p := e.known.Pending; b.broken == "evidence of nobody" && p != nil && p.Phase == Holding {
		e.log = append(e.log, entryOf{c: Command{Kind: Decide, Change: p.Change, Attempt: p.Attempt,
			Seats: e.known.Seats()}})
	}
	for _, c := range e.leader.Look(e.now, e.known, exploredPolicy, b.names()) {
		e.log = append(e.log, entryOf{c: c})
	}
	e.catchUp()
}

// catchUp has the leader's own instance apply all of the log.
func (e *explored) catchUp() {
	for ; e.at < len(e.log); e.at++ {
		applyTo(e.known, &e.force, e.log[e.at])
	}
}

var seed = maphash.MakeSeed()

func (e *explored) key() uint64 {
	var b strings.Builder
	fmt.Fprint(&b, e.now, e.at, len(e.log), e.proposed, e.newest, e.crashes, e.losses, e.deposed, e.force,
		e.leader.began,
		e.leader.last, e.leader.pending, e.leader.since)
	for _, id := range slices.Sorted(maps.Keys(e.leader.seats)) {
		fmt.Fprint(&b, id, *e.leader.seats[id])
	}
	for _, k := range slices.Sorted(maps.Keys(e.leader.asked)) {
		if e.now-e.leader.asked[k] < exploredPolicy.Lease/2 { // else it is as if it had not been
			fmt.Fprint(&b, k, e.leader.asked[k])
		}
	}
	for _, x := range e.log {
		fmt.Fprint(&b, x.change, x.c.Kind, x.c.Member, x.c.Nonce, x.c.Seats, x.c.Attempt)
	}
	for i := range e.nodes {
		n := &e.nodes[i]
		fmt.Fprint(&b, "|", n.applied, n.h, n.permit, n.decided)
		if n.report != nil {
			fmt.Fprint(&b, *n.report)
		}
		if n.grant != nil {
			fmt.Fprint(&b, "g", *n.grant)
		}
	}
	return maphash.String(seed, b.String())
}

// explore visits every state within the bounds, but no more than most, and gives the way to
// the first that is wrong.
func explore(b bounds, most int) (states int, whole bool, wrong string, way []string) {
	type visit struct {
		e    *explored
		from int
		how  string
	}
	queue := []visit{{e: newExplored(b.nodes), from: -1}}
	seen := map[uint64]bool{queue[0].e.key(): true}
	for at := 0; at < len(queue); at++ {
		if len(seen) > most {
			return len(seen), false, "", nil
		}
		e := queue[at].e
		queue[at].e = nil
		for _, x := range e.next(b) {
			n := e.clone().take(x, b)
			bad := n.check()
			if bad != "" {
				way = []string{x.what}
				for k := at; k > 0; k = queue[k].from {
					way = append(way, queue[k].how)
				}
				slices.Reverse(way)
				return len(seen), false, bad, way
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, visit{n, at, x.what})
			}
		}
	}
	return len(seen), true, "", nil
}

// walk plays one order of events, drawn from a seed, to its end.
func walk(b bounds, seed uint64) (events int, wrong string, way []string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	e := newExplored(b.nodes)
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
		if wrong = e.check(); wrong != "" {
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

var whole = bounds{nodes: 3, changes: 2, until: 30 * step, crashes: 1, losses: 2, depositions: 2}

func TestOrdersOfEvents(t *testing.T) {
	events, done, wrong, way := walks(whole, 1500)
	if wrong != "" {
		t.Errorf("walk %d: %s:\n%s", done, wrong, strings.Join(way, "\n"))
	}
	t.Logf("%d walks of %d events in all", done, events)
	// Breadth first, the shallow states are all seen.
	n, all, wrong, way := explore(whole, 20_000)
	if wrong != "" {
		t.Errorf("%s:\n%s", wrong, strings.Join(way, "\n"))
	}
	t.Logf("%d states, all that there are: %v", n, all)
}

// Each guard that is left out is missed by some order of events.
func TestOrdersFindWhatIsBroken(t *testing.T) {
	for _, broken := range []string{"in force at commit", "evidence of nobody"} {
		b := whole
		b.broken = broken
		events, done, wrong, way := walks(b, 500)
		if wrong == "" {
			t.Errorf("%s: not found in %d walks", broken, done)
			continue
		}
		t.Logf("%s: found by walk %d, after %d events, in %d: %s", broken, done, events, len(way), wrong)
	}
}
