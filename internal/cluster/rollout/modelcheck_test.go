package rollout

import (
	"cmp"
	"flag"
	"hash/maphash"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/modelcheck"
)

// Two states are the same if all that can happen from them is. Times count from now, and what is
// over is over however long ago; sessions and lives are told apart and have no numbers, instances
// are told apart and have no names. What follows from the rest is not looked at: the agreed state
// as each instance has it, which is that of the one furthest behind and the log from there; and what
// the machines know beside it that can have no effect any more.

var seed = maphash.MakeSeed()

// writer writes a state down so that states that are the same look the same.
type writer struct {
	e      *explored
	b      []byte
	epochs []uint64
	lives  []uint64
	rank   [8]byte // by member
}

func (w *writer) put(v ...int) {
	for _, x := range v {
		w.b = append(w.b, byte(x))
	}
}

func (w *writer) bits(v ...bool) {
	n := 0
	for k, x := range v {
		if x {
			n |= 1 << k
		}
	}
	w.put(n)
}

// name gives a number that has been met a name by the order in which it was.
func name(list *[]uint64, v uint64) int {
	if v == 0 {
		return 0
	}
	k := slices.Index(*list, v)
	if k < 0 {
		k = len(*list)
		*list = append(*list, v)
	}
	return k + 1
}

// since writes how long ago something was, where all from most on is one.
func (w *writer) since(at, now, most time.Duration) {
	w.put(int(max(min(now-at, most), 0) / time.Second))
}

// left writes how long something lasts yet.
func (w *writer) left(until, now time.Duration) {
	w.put(int((max(until-now, 0) + time.Second - 1) / time.Second))
}

// attempt: all that counts is which is the first, and which are the same.
func (w *writer) attempt(a int) {
	if p := w.e.known.Pending; p != nil && a > 1 {
		a = max(2+a-p.Attempt+100, 2)
	}
	w.put(a)
}

func (w *writer) pending(p *PendingChange) {
	if p == nil {
		w.put(255)
		return
	}
	w.put(int(p.Revision), int(p.Phase))
	w.attempt(p.Attempt)
}

func (w *writer) report(r Report) {
	w.put(name(&w.lives, r.Incarnation), name(&w.epochs, r.Epoch))
	w.b = append(append(append(w.b, r.StagedChange...), '/'), r.AdmissionClosedFor...)
	w.attempt(r.Attempt)
}

// node writes what belongs to one instance.
func (w *writer) node(i int) {
	e, n, there := w.e, &w.e.nodes[i], w.e.there()
	h := &n.h
	w.put(len(e.log)-n.applied, name(&w.lives, h.nonce))
	w.left(h.asked+h.span, there)
	w.bits(h.ever, h.dirty, n.report != nil, n.grant != nil, n.early)
	if !h.dirty {
		w.since(h.at, there, exploredPolicy.Lease/4)
	}
	if n.report != nil {
		w.report(*n.report)
		w.since(n.report.RequestedAt, there, exploredPolicy.Lease)
	}
	if n.grant != nil {
		w.put(name(&w.epochs, n.grant.Epoch))
		w.since(n.grant.RequestedAt, there, exploredPolicy.Lease)
	}
	l, s, p := e.leader, e.known.Sessions[uint64(i+1)], e.known.Pending
	x := l.seats[uint64(i+1)]
	if x == nil {
		x = &seat{}
	}
	// It counts whether the leader has the word of the session that is open now.
	current := x.known && s.Open && x.report.Epoch == s.Epoch
	asks := x.fresh && x.report.Epoch == 0
	w.bits(s.Open, current, asks, s.Open && x.lapsing == s.Epoch, x.epoch == s.Epoch,
		p != nil && x.heard == e.now, p != nil && x.heard >= l.since)
	if asks {
		w.put(name(&w.lives, x.report.Incarnation))
	}
	if p != nil && current {
		w.bits(
			x.report.StagedChange == p.Change,
			x.report.AdmissionClosedFor == p.Change,
			x.report.Attempt == p.Attempt,
		)
	}
	if s.Open {
		w.left(l.expires(s, exploredPolicy), e.now)
	}
	w.left(l.began+ExpiryWait(exploredPolicy.Lease), e.now)
}

// key tells states apart that are not the same.
func (e *explored) key() uint64 {
	w := &writer{e: e, b: make([]byte, 0, 256)}
	var sign [8]uint64
	order := make([]int, len(e.nodes))
	least := 0 // the one furthest behind
	for i := range e.nodes {
		w.epochs, w.lives, w.b = w.epochs[:0], w.lives[:0], w.b[:0]
		w.node(i)
		sign[i], order[i] = maphash.Bytes(seed, w.b), i
		if e.nodes[i].applied < e.nodes[least].applied {
			least = i
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(sign[a], sign[b]) })
	w.epochs, w.lives, w.b = w.epochs[:0], w.lives[:0], w.b[:0]
	for k, i := range order {
		w.rank[i+1] = byte(k)
		w.node(i)
	}
	far := &e.nodes[least]
	for _, i := range order {
		x := far.state.Sessions[uint64(i+1)]
		w.bits(x.Open)
		w.put(name(&w.epochs, x.Epoch), name(&w.lives, x.Incarnation))
	}
	w.pending(far.state.Pending)
	w.put(int(far.decided))
	for _, x := range e.log[far.applied:] {
		w.put(x.change, int(x.c.Kind), int(w.rank[x.c.Member]), name(&w.lives, x.c.Incarnation))
		w.attempt(x.c.Attempt)
		// The evidence is a set.
		var seats [8]int
		for _, s := range x.c.Sessions {
			seats[w.rank[s.Member]] = name(&w.epochs, s.Epoch)
		}
		w.put(seats[:len(order)]...)
	}
	l := e.leader
	w.put(e.proposed, e.crashes, e.losses, e.deposed, e.stalls, e.holds, int(e.newest))
	if e.held > 0 {
		w.put(slices.Index(order, e.held-1), int((e.now-e.since)/step))
	}
	if e.known.Pending != nil {
		w.pending(&l.pending)
		w.since(l.since, e.now, exploredPolicy.MaxAdmissionPause+time.Second)
	}
	return maphash.Bytes(seed, w.b)
}

// place is a state, and within which bounds it is explored.
type place struct {
	*explored
	b bounds
}

func (p place) Key() uint64       { return p.key() }
func (p place) Violation() string { return p.check(p.b) }

func (p place) Transitions() (list []modelcheck.Transition[place]) {
	for _, x := range p.next(p.b) {
		list = append(
			list,
			modelcheck.Transition[place]{Event: x.what, State: place{p.clone().take(x, p.b), p.b}},
		)
	}
	return list
}

var most = flag.Int64("explore", 40_000, "visit so many states at the most")

func TestEveryOrder(t *testing.T) {
	for _, b := range []bounds{
		{nodes: 2, changes: 2, holds: 1},
		{nodes: 2, changes: 1, crashes: 1, losses: 1, holds: 1},
		{nodes: 3, changes: 1},
		{nodes: 3, changes: 2},
		{nodes: 3, changes: 1, holds: 1},
		{nodes: 3, changes: 1, crashes: 1, losses: 1, stalls: 1},
		{nodes: 3, changes: 2, holds: 1},
		{nodes: 3, changes: 2, crashes: 1},
		{nodes: 3, changes: 2, losses: 1, stalls: 1},
		{nodes: 3, changes: 2, crashes: 1, losses: 1, holds: 1, stalls: 1, depositions: 1},
	} {
		b.whole = true
		began := time.Now()
		r := modelcheck.Check(place{newExplored(b), b}, *most)
		if r.Violation != "" {
			t.Errorf("%+v: %s:\n%s", b, r.Violation, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%+v: %d states, all that there are: %v, %v", b, r.States, r.Complete, time.Since(began).Round(
			time.Second/10))
	}
}

// Each guard that is left out is missed, and a clock slower than is allowed for breaks the promise.
func TestOrdersFindWhatIsBroken(t *testing.T) {
	for _, broken := range []string{"in force at commit", "evidence of nobody", "lease from the answer",
		"wall clock", "no look after a stall", "front open before the policy is known", "a slower clock"} {
		b := bounds{nodes: 2, changes: 1, holds: 1, whole: true, broken: broken}
		if broken == "front open before the policy is known" {
			b.crashes = 1
		}
		r := modelcheck.Check(place{newExplored(b), b}, 2_000_000)
		if r.Violation == "" {
			t.Errorf("%s: not found in %d states", broken, r.States)
			continue
		}
		t.Logf("%s: found after %d states, by %d events: %s", broken, r.States, len(r.Trace), r.Violation)
	}
}
