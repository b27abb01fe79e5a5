package ratelimit

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// A world of instances in virtual time, each with a front and an authority, whose messages are lost,
// doubled, late and out of order; whose clocks have paces of their own; which stall, die, start anew, and
// hear late of who is there. It stands for what package consensus promises of leases and views, and no more.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	lease  time.Duration
	things []thing // to come, by time
	nodes  []*node
	epoch  uint64
	view   placement.View // as agreed last
	log    []placement.View
	policy Policy
	spent  map[Key][]time.Duration
	true   map[Key]*truth
	fast   float64 // the fastest clock's pace
	wrong  string
	lossy  bool
	quiet  bool
	calm   bool
	acts   int
}

type thing struct {
	at time.Duration
	do func()
}

type node struct {
	w         *world
	id        uint64
	life      int
	seat      placement.Session
	up        bool
	stalled   time.Duration // until when
	pace      float64
	begun     time.Duration
	front     *Limiter
	authority *Authority
	applied   int // views
	until     time.Duration
	granted   time.Duration // on the world's clock
	cut       bool
	mute      bool          // what it says is held back, and comes all at once
	held      []func()      // in the order in which it was said
	slow      time.Duration // until when it gets no part of the log, though it is in touch
}

func (w *world) at(d time.Duration, f func()) {
	x := thing{w.now + d, f}
	i, _ := slices.BinarySearchFunc(w.things, x, func(a, b thing) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	w.things = slices.Insert(w.things, i, x)
}

// on runs something at a node, once it does not stand still, in the same life.
func (n *node) on(d time.Duration, f func()) {
	life := n.life
	n.w.at(d, func() {
		if n.life != life || !n.up {
			return
		}
		if n.stalled > n.w.now {
			n.on(n.stalled-n.w.now, f)
			return
		}
		f()
	})
}

func (n *node) clock() time.Duration {
	return time.Duration(float64(n.w.now-n.begun)*n.pace) + time.Hour
}

func (n *node) start() {
	n.life++
	n.up, n.stalled, n.until = true, 0, 0
	n.begun = n.w.now - time.Duration(n.w.rng.Int64N(int64(time.Second)))
	n.w.epoch++
	n.seat = placement.Session{Member: n.id, Epoch: n.w.epoch}
	n.front, n.authority = NewLimiter(n.clock()), NewAuthority()
	n.front.Configure(n.clock(), n.w.policy)
	n.authority.Configure(n.clock(), n.w.policy)
	n.applied = max(len(n.w.log)-1, 0) // a snapshot: earlier views are not told
	n.tick()
}

func (n *node) tick() {
	n.learn()
	now := n.clock()
	words, lefts := n.front.Tick(now)
	for _, owner := range inOrder(words) {
		asks := words[owner]
		n.send(owner, func(to *node, from placement.Session) {
			if to.seat != owner {
				return
			}
			for _, a := range asks {
				to.authority.ReceiveRequest(to.clock(), from, a)
			}
		})
	}
	for _, owner := range inOrder(lefts) {
		for _, l := range lefts[owner] {
			n.send(owner, func(to *node, from placement.Session) {
				if to.seat == owner {
					to.authority.ReceiveDrainConfirmation(to.clock(), from, l)
				}
			})
		}
	}
	cessions := n.authority.PendingTransfers()
	for _, seat := range inOrder(cessions) {
		c := *cessions[seat]
		n.send(seat, func(to *node, from placement.Session) {
			c := c
			if c.Shards = maps.Clone(c.Shards); to.seat == seat {
				to.authority.ReceiveTransfer(to.clock(), &c)
			}
		})
	}
	if now < n.until {
		answers := n.authority.Tick(now)
		n.covered(answers)
		for _, seat := range inOrder(answers) {
			grants := answers[seat]
			n.send(seat, func(to *node, from placement.Session) {
				for _, g := range grants {
					if to.seat == seat {
						to.front.ReceiveGrant(to.clock(), from, g)
					}
				}
			})
		}
	}
	n.on(n.w.policy.TickInterval, n.tick)
}

// inOrder gives the keys in an order that does not depend on the run.
func inOrder[V any](m map[placement.Session]V) []placement.Session {
	return slices.SortedFunc(maps.Keys(m), func(a, b placement.Session) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Epoch, b.Epoch))
	})
}

func (n *node) send(seat placement.Session, f func(to *node, from placement.Session)) {
	w, from := n.w, n.seat
	for _, to := range w.nodes {
		if to.id != seat.Member {
			continue
		}
		copies := 1
		if w.lossy {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.IntN(9)]
		}
		for range copies {
			d := time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
			if w.lossy && w.rng.IntN(10) == 0 {
				d = time.Duration(w.rng.Int64N(int64(4 * time.Second)))
			}
			if (n.cut || to.cut) && to != n {
				continue
			}
			if n.mute && to != n {
				n.held = append(n.held, func() { to.on(0, func() { f(to, from) }) })
				continue
			}
			to.on(d, func() { f(to, from) })
		}
	}
}

// learn has a node apply views, and renew its lease by a leader that has applied all.
func (n *node) learn() {
	w := n.w
	if n.cut {
		return
	}
	upTo := len(w.log)
	if w.now < n.slow {
		return
	}
	if w.lossy && w.rng.IntN(4) == 0 && n.applied < upTo {
		upTo = n.applied + w.rng.IntN(upTo-n.applied) // it lags
	}
	for ; n.applied < upTo; n.applied++ {
		v := w.log[n.applied]
		own := placement.Session{}
		for _, m := range v.Members {
			if m.Session == n.seat {
				own = m.Session
			}
		}
		t := placement.NewTable(v)
		n.front.SetView(n.clock(), t, own)
		n.authority.SetView(n.clock(), t, own, w.lease, false)
	}
	if n.applied == len(w.log) && w.seated(n) && !n.mute {
		n.granted = w.now
		n.until = n.clock() + w.lease // asked for now, of a leader that had applied as much
	}
}

// agree makes a new view of who is up; one that dies or is cut leaves when its lease has surely run out.
func (w *world) agree(members []placement.Member, over ...placement.Session) {
	w.view = placement.View{Number: uint64(len(w.log) + 1), Members: members, Expired: over}
	slices.SortFunc(w.view.Members, func(a, b placement.Member) int { return int(a.Member) - int(b.Member) })
	w.log = append(w.log, w.view)
}

// join opens a session; of a process that is no more, the one before has surely ended.
func (w *world) join(n *node) {
	var over []placement.Session
	for _, m := range w.view.Members {
		if m.Member == n.id {
			over = append(over, m.Session)
		}
	}
	w.agree(append(w.others(n), placement.Member{Session: n.seat}), over...)
}

func (w *world) others(n *node) []placement.Member {
	is := func(m placement.Member) bool { return m.Member == n.id }
	return slices.DeleteFunc(slices.Clone(w.view.Members), is)
}

// seated says whether a node's session is in the view that was agreed last.
func (w *world) seated(n *node) bool {
	return slices.ContainsFunc(w.view.Members, func(m placement.Member) bool { return m.Session == n.seat })
}

func (w *world) leave(n *node, over ...placement.Session) { w.agree(w.others(n), over...) }

// call is a client's call at a front. A front admits only under a lease, as the gate has it.
func (n *node) call(account, class string) bool {
	w, now := n.w, n.clock()
	if !n.up || n.stalled > w.now || now >= n.until {
		return false
	}
	_, ok := n.front.Admit(now, account, class)
	if ok {
		w.acts++
		for _, k := range []Key{{Account: account}, {account, class}} {
			if _, limited := w.policy.LimitOf(k); limited {
				w.spent[k] = append(w.spent[k], w.now)
				w.truth(k).level--
			}
		}
	}
	return ok
}

// audit finds a window in which more was admitted than the limit allows, by owners' clocks that may run
// so fast.
func (w *world) audit(pace float64) string {
	for k, times := range w.spent {
		l, _ := w.policy.LimitOf(k)
		level, last := l.Burst, time.Duration(0)
		for i, at := range times {
			level = min(l.Burst, level+l.Rate*pace*(at-last).Seconds()) - 1
			if last = at; level < -1e-6 {
				return fmt.Sprintf("%v: admission %d at %v is beyond %v a second and %v at once", k, i, at,
					l.Rate, l.Burst)
			}
		}
	}
	return ""
}

var section = map[string]string{"tick": "50ms", "term": "300ms", "default": "40/s burst=40",
	"account.a": "100/s burst=50", "account.b": "20/s burst=10", "account.c": "60/s burst=40 floor=0.5",
	"account.d": "10/s burst=15 floor=equal", "account.a@x": "15/s burst=5", "account.f": "5/s burst=30"}

func newWorld(t testing.TB, seed uint64, nodes int, faults bool) *world {
	words := maps.Clone(section)
	words["parts"] = fmt.Sprint(nodes)
	if seed%4 > 1 {
		words["term"] = "2s" // slices outlive the lease of who has lent them
	}
	p, wrong := ParsePolicy(words, []string{"x", "y"})
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), lease: 500 * time.Millisecond, policy: p,
		spent: map[Key][]time.Duration{}, true: map[Key]*truth{}, fast: 1}
	for i := range nodes {
		n := &node{w: w, id: uint64(i + 1), pace: 1}
		w.nodes = append(w.nodes, n)
		n.start()
		w.join(n)
	}
	w.lossy = faults
	return w
}

func (w *world) run(until time.Duration) {
	for len(w.things) > 0 && w.things[0].at <= until {
		x := w.things[0]
		w.things = w.things[1:]
		w.now = x.at
		x.do()
	}
	w.now = until
}

// calls has clients call: each account mostly at one front, which changes, and now and then at all.
func (w *world) calls(every time.Duration) {
	var again func()
	again = func() {
		for i, account := range []string{"a", "b", "c", "d", "e", "f"} {
			// Each is quiet now and then, with what it has been lent.
			if w.quiet && (w.now/(300*time.Millisecond)+3*time.Duration(i))%7 > 3 {
				continue
			}
			n := w.nodes[(int(w.now/(700*time.Millisecond))+i)%len(w.nodes)]
			if w.rng.IntN(3) == 0 {
				n = w.nodes[w.rng.IntN(len(w.nodes))]
			}
			n.call(account, []string{"x", "y"}[w.rng.IntN(2)])
		}
		w.at(time.Duration(w.rng.Int64N(int64(2*every))), again)
	}
	again()
}

// fault is one that is drawn: a stall, a death, a cut, or one that leaves and joins by itself.
func (w *world) fault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	long := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	// Whoever does not renew its lease is out of the view when that has surely run out.
	lapse := func() {
		seat := n.seat
		w.at(rollout.ExpiryWait(w.lease), func() {
			if slices.ContainsFunc(w.view.Members,
				func(m placement.Member) bool { return m.Session == seat }) &&
				(n.cut || n.mute || !n.up || n.stalled > w.now) &&
				w.now-n.granted >= rollout.ExpiryWait(w.lease) {
				w.leave(n, seat)
			}
		})
	}
	kind := w.rng.IntN(8)
	if w.calm {
		kind, long = []int{3, 3, 6}[w.rng.IntN(3)], long/3 // and nothing else goes wrong
	}
	switch kind {
	case 0:
		if n.up {
			n.stalled = max(n.stalled, w.now+long)
			lapse()
			w.at(long, func() { w.back(n) })
		}
	case 1: // killed, and started again, perhaps sooner than its lease ends
		if n.up {
			n.up = false
			lapse()
			w.at(long/3, func() {
				if !n.up {
					n.cut = false
					n.start()
					w.join(n)
				}
			})
		}
	case 2:
		if n.up && !n.cut {
			n.cut = true
			lapse()
			w.at(long, func() {
				n.cut = false
				w.back(n)
			})
		}
	case 4: // its log lags, and so its lease ends; it is in touch with the others
		n.slow = max(n.slow, w.now+long)
		if w.rng.IntN(2) == 0 && n.up && !n.cut && len(w.view.Members) > 1 {
			w.leave(n)
			w.at(long, func() { w.back(n) })
		}
	case 7: // it hears, and is not heard until all of its words come in one turn
		if n.up && !n.cut && !n.mute {
			n.mute = true
			lapse()
			w.at(long, func() {
				n.mute = false
				for _, say := range n.held {
					say()
				}
				n.held = nil
				w.back(n)
			})
		}
	case 6: // its weight is changed
		members := slices.Clone(w.view.Members)
		for i := range members {
			if members[i].Member == n.id {
				members[i].Weight = 0.5 + 2*w.rng.Float64()
			}
		}
		w.agree(members)
	case 3, 5: // it is set aside, and comes back
		if n.up && !n.cut && len(w.view.Members) > 1 {
			w.leave(n)
			w.at(long, func() { w.back(n) })
		}
	}
}

// back has a node that is well and in no view have a new session.
func (w *world) back(n *node) {
	if !n.up || n.cut || w.seated(n) {
		return
	}
	w.epoch++
	n.seat, n.until = placement.Session{Member: n.id, Epoch: w.epoch}, 0
	w.join(n)
}

func story(t testing.TB, seed uint64, nodes int, paces bool) (string, int) {
	w := newWorld(t, seed, nodes, true)
	most := 1.0
	if paces {
		for _, n := range w.nodes {
			n.pace = 0.6 + 0.8*w.rng.Float64()
			most = max(most, n.pace)
		}
	}
	w.quiet, w.calm = seed%3 == 0, seed%5 < 2
	w.calls(3 * time.Millisecond)
	for at := 2 * time.Second; at < 20*time.Second; {
		w.at(at, w.fault)
		at += time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
		if w.calm {
			at += 2 * time.Second
		}
	}
	w.fast = most
	w.run(22 * time.Second)
	return cmp.Or(w.wrong, w.audit(most)), w.acts
}

// Whatever is lost, late or doubled, whoever stalls, dies or comes back: in no window is more admitted at
// all fronts together than the rate and the burst.
func TestStories(t *testing.T) {
	stories := 60
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		stories = v // for a longer look than a test run has time for
	}
	if testing.Short() {
		stories = 10
	}
	acts := 0
	for seed := range uint64(stories) {
		broken, n := story(t, seed, 2+int(seed%4), seed%2 == 1)
		if acts += n; broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
	}
	if acts < 500*stories {
		t.Errorf("%d admissions in %d stories: too few to show anything", acts, stories)
	}
}

// Whatever the paces of the three clocks, within what is promised: an owner lends nothing before the last
// slice of the one before it has ended at its front.
func TestWaitsAreLongEnough(t *testing.T) {
	const lease = 500 * time.Millisecond
	p, _ := ParsePolicy(section, []string{"x"})
	real := func(d time.Duration, pace float64) time.Duration { return time.Duration(float64(d) / pace) }
	for _, before := range []float64{0.6, 1, 1.4} {
		for _, front := range []float64{0.6, 1, 1.4} {
			for _, after := range []float64{0.6, 1, 1.4} {
				// The lease was asked for just before the shard went to another, the last slice at its end.
				end := real(lease, before) + real(p.GrantDuration, front)
				a := NewAuthority()
				a.Configure(0, p)
				v := placement.View{
					Members: []placement.Member{{Session: placement.Session{Member: 1, Epoch: 1}}},
				}
				a.SetView(0, placement.NewTable(v), v.Members[0].Session, lease, false)
				if from := real(a.lendableFrom("a"), after); from < end {
					t.Errorf("paces %v, %v, %v: lent from %v on, the last slice ends at %v", before, front,
						after, from, end)
				}
			}
		}
	}
}
