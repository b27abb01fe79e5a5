package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A world of members in virtual time, whose messages take some milliseconds, are lost, doubled and cut
// off; who stand still, die and are started again.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  events
	order  int
	policy Policy
	nodes  []*member
	loss   float64
	cut    map[[2]ID]bool // from, to
	said   int            // messages
	words  int            // rumours in them
	// A live member that is called failed, by whom.
	wrong func(at, of *member)
	fails map[[2]ID]time.Duration // at whom, of whom: since when it is held for failed
}

type member struct {
	id      ID
	m       *Detector
	life    int
	up      bool
	stalled time.Duration
	ticks   time.Duration // when it looks next
	woke    time.Duration // when it last went on after a stall
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newWorld(seed uint64, n int, p Policy) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), policy: p, cut: map[[2]ID]bool{},
		fails: map[[2]ID]time.Duration{}}
	var all []ID
	for k := range n {
		all = append(all, ID(k+1))
		w.nodes = append(w.nodes, &member{id: ID(k + 1)})
	}
	for _, x := range w.nodes {
		w.start(x, 0)
		x.m.AddMembers(w.now, all...)
	}
	return w
}

func (w *world) at(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, f})
}

// start begins a life of a member.
func (w *world) start(x *member, inc uint64) {
	x.life++
	x.up, x.stalled = true, 0
	x.m = New(w.now, x.id, inc, w.rng.Uint64(), w.policy)
	w.wake(x)
}

// on has something happen at a member, once it does not stand still, in the same life.
func (w *world) on(x *member, d time.Duration, f func()) {
	life := x.life
	w.at(d, func() {
		if x.life != life || !x.up {
			return
		}
		if x.stalled > w.now {
			w.on(x, x.stalled-w.now, f)
			return
		}
		f()
		w.see(x)
	})
}

func (w *world) wake(x *member) {
	d := max(x.m.NextTick()-w.now, 0)
	x.ticks = w.now + d
	due := x.ticks
	w.on(x, d, func() {
		if x.ticks != due {
			return // another look has come in its place
		}
		w.send(x, x.m.Tick(w.now))
		x.ticks = 0
		w.wake(x)
	})
}

// see notes what a member has come to believe.
func (w *world) see(x *member) {
	for _, b := range x.m.TakeEvents() {
		key := [2]ID{x.id, b.ID}
		delete(w.fails, key)
		if b.State == Failed {
			w.fails[key] = w.now
			if y := w.nodes[b.ID-1]; y.up && w.wrong != nil {
				w.wrong(x, y)
			}
		}
	}
}

func (w *world) send(x *member, out []Outbound) {
	for _, o := range out {
		w.said++
		w.words += len(o.Updates)
		y := w.nodes[o.To-1]
		if w.cut[[2]ID{x.id, y.id}] || w.rng.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.loss > 0 && w.rng.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			d := time.Duration(1+w.rng.IntN(9)) * time.Millisecond
			w.on(y, d, func() {
				w.send(y, y.m.Receive(w.now, x.id, o.Message))
				if next := y.m.NextTick(); next < y.ticks {
					w.wake(y)
				}
			})
		}
	}
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// differs finds a member that believes what is not so.
func (w *world) differs() string {
	for _, x := range w.nodes {
		if !x.up {
			continue
		}
		seen := map[ID]State{}
		for _, b := range x.m.Members() {
			seen[b.ID] = b.State
		}
		for _, y := range w.nodes {
			if s, known := seen[y.id]; y != x && (!known || y.up && s != Alive || !y.up && s < Failed) {
				return fmt.Sprintf("%d takes %d for %v (known: %v), up: %v", x.id, y.id, s, known, y.up)
			}
		}
	}
	return ""
}

// fault draws one: a stall, a death, a cut of one way or both, a zone cut off, lost messages; each ends.
func (w *world) fault(stall time.Duration) {
	x := w.nodes[w.rng.IntN(len(w.nodes))]
	y := w.nodes[w.rng.IntN(len(w.nodes))]
	long := time.Duration(w.rng.Int64N(int64(20 * time.Second)))
	cut := func(from, to ID) {
		if from != to {
			w.cut[[2]ID{from, to}] = true
			w.at(long, func() { delete(w.cut, [2]ID{from, to}) })
		}
	}
	switch w.rng.IntN(6) {
	case 0:
		x.stalled = w.now + time.Duration(w.rng.Int64N(int64(stall)))
		x.woke = x.stalled
	case 1:
		if x.up {
			x.up = false
			inc := x.m.Incarnation()
			w.at(long, func() {
				// Its directory may have been wiped: the life begins with an older incarnation.
				if w.rng.IntN(3) == 0 {
					inc = 0
				}
				w.start(x, inc+1)
				x.m.AddMembers(w.now, w.nodes[w.rng.IntN(len(w.nodes))].id, y.id)
			})
		}
	case 2:
		cut(x.id, y.id)
	case 3:
		cut(x.id, y.id)
		cut(y.id, x.id)
	case 4:
		for _, a := range w.nodes[:len(w.nodes)/3] {
			for _, b := range w.nodes[len(w.nodes)/3:] {
				cut(a.id, b.id)
				cut(b.id, a.id)
			}
		}
	case 5:
		w.loss = []float64{0.01, 0.1, 0.3}[w.rng.IntN(3)]
		w.at(long, func() { w.loss = 0 })
	}
}

// quick has a world's times shorter, so that a story is.
func quick() Policy {
	p := DefaultPolicy()
	p.SyncInterval = 10 * time.Second
	return p
}

// Whatever happens: some time after the last fault all know who is there, and who is not.
func TestStories(t *testing.T) {
	for seed := range stories(t, 40) {
		n := 3 + int(seed%10)
		w := newWorld(seed, n, quick())
		for at := 20 * time.Second; at < 120*time.Second; {
			w.at(at, func() { w.fault(30 * time.Second) })
			at += time.Duration(w.rng.Int64N(int64(8 * time.Second)))
		}
		w.run(170 * time.Second)
		dead := w.nodes[w.rng.IntN(n)]
		dead.up = false
		w.run(w.now + w.policy.DetectionBound(n) + time.Duration(n)*w.policy.SyncInterval)
		if text := w.differs(); text != "" {
			t.Errorf("seed %d, %d members: %s", seed, n, text)
		}
	}
}
