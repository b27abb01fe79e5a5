package membership

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation runs a group of members in virtual time. Messages take 1 to 9 ms and may be lost, duplicated or
// blocked by a cut link; members may stall, crash and restart.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence int // number of the newest event; events due at the same time run in the order of their numbers
	policy   Policy
	members  []*simMember
	loss     float64
	cut      map[link]bool
	sent     int // number of messages sent
	// onFalseFailure is called when a member declares another one failed that is alive.
	onFalseFailure func(observer, observed *simMember)
}

// link is one direction of the connection between two members.
type link struct{ from, to ID }

type simMember struct {
	id           ID
	detector     *Detector
	starts       int // number of processes started; events of earlier processes are dropped
	alive        bool
	stalledUntil time.Duration
	nextTick     time.Duration
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// maxPause is the longest stall after which a member must not be declared failed. It is half of the shortest
// suspicion; during the other half the member learns of the suspicion and refutes it.
func maxPause(p Policy) time.Duration { return p.suspicionTimeout(1, 1<<20) / 2 }

// detectionBound is the time within which, with high probability, all of n members learn of a failure: two
// probe rounds in the worst order, the longest suspicion, and the dissemination of the update.
func detectionBound(p Policy, n int) time.Duration {
	rounds := time.Duration(2*n) * p.ProbeInterval
	spread := 2 * time.Duration(math.Ceil(math.Log2(float64(n+1)))) * p.ProbeInterval
	return rounds + p.suspicionTimeout(n, 0) + spread
}

func newSimulation(seed uint64, n int, p Policy) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), policy: p, cut: map[link]bool{}}
	var all []ID
	for k := range n {
		all = append(all, ID(k+1))
		s.members = append(s.members, &simMember{id: ID(k + 1)})
	}
	for _, m := range s.members {
		s.start(m, 0)
		m.detector.AddMembers(s.now, all...)
	}
	return s
}

// after runs f after a delay, regardless of the state of any member.
func (s *simulation) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{s.now + d, s.sequence, f})
}

// start starts a new process of a member.
func (s *simulation) start(m *simMember, incarnation uint64) {
	m.starts++
	m.alive, m.stalledUntil = true, 0
	m.detector = New(s.now, m.id, incarnation, s.rng.Uint64(), s.policy)
	s.scheduleTick(m)
}

// afterAt runs f on a member after a delay. A stall of the member postpones f; a crash or restart cancels it.
func (s *simulation) afterAt(m *simMember, d time.Duration, f func()) {
	starts := m.starts
	s.after(d, func() {
		if m.starts != starts || !m.alive {
			return
		}
		if m.stalledUntil > s.now {
			s.afterAt(m, m.stalledUntil-s.now, f)
			return
		}
		f()
		s.observeEvents(m)
	})
}

func (s *simulation) scheduleTick(m *simMember) {
	d := max(m.detector.NextTick()-s.now, 0)
	m.nextTick = s.now + d
	due := m.nextTick
	s.afterAt(m, d, func() {
		if m.nextTick != due {
			return // superseded by an earlier tick
		}
		s.send(m, m.detector.Tick(s.now))
		m.nextTick = 0
		s.scheduleTick(m)
	})
}

func (s *simulation) observeEvents(m *simMember) {
	for _, e := range m.detector.PopEvents() {
		observed := s.members[e.ID-1]
		if e.State == Failed && observed.alive && s.onFalseFailure != nil {
			s.onFalseFailure(m, observed)
		}
	}
}

func (s *simulation) send(from *simMember, out []Outbound) {
	for _, o := range out {
		s.sent++
		to := s.members[o.To-1]
		if s.cut[link{from.id, to.id}] || s.rng.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.loss > 0 && s.rng.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			d := time.Duration(1+s.rng.IntN(9)) * time.Millisecond
			s.afterAt(to, d, func() {
				s.send(to, to.detector.Receive(s.now, from.id, o.Message))
				if next := to.detector.NextTick(); next < to.nextTick {
					s.scheduleTick(to)
				}
			})
		}
	}
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// disagreement describes the first pair of members where one's estimate of the other is wrong. It returns ""
// if all estimates are right.
func (s *simulation) disagreement() string {
	for _, observer := range s.members {
		if !observer.alive {
			continue
		}
		states := map[ID]State{}
		for _, m := range observer.detector.Members() {
			states[m.ID] = m.State
		}
		for _, observed := range s.members {
			state, known := states[observed.id]
			if observed != observer &&
				(!known || observed.alive && state != Alive || !observed.alive && state < Failed) {
				return fmt.Sprintf("member %d reports member %d as %v (known: %v), actually alive: %v",
					observer.id, observed.id, state, known, observed.alive)
			}
		}
	}
	return ""
}

// injectFault injects a random fault of limited duration: a stall, a crash, a cut link in one or both
// directions, a third of the members partitioned from the others, or message loss.
func (s *simulation) injectFault(longestStall time.Duration) {
	m := s.members[s.rng.IntN(len(s.members))]
	other := s.members[s.rng.IntN(len(s.members))]
	duration := time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	switch s.rng.IntN(6) {
	case 0:
		m.stalledUntil = s.now + time.Duration(s.rng.Int64N(int64(longestStall)))
	case 1:
		s.kill(m, other, duration)
	case 2:
		s.cutLink(m.id, other.id, duration)
	case 3:
		s.cutLink(m.id, other.id, duration)
		s.cutLink(other.id, m.id, duration)
	case 4:
		for _, a := range s.members[:len(s.members)/3] {
			for _, b := range s.members[len(s.members)/3:] {
				s.cutLink(a.id, b.id, duration)
				s.cutLink(b.id, a.id, duration)
			}
		}
	case 5:
		s.loss = []float64{0.01, 0.1, 0.3}[s.rng.IntN(3)]
		s.after(duration, func() { s.loss = 0 })
	}
}

func (s *simulation) cutLink(from, to ID, duration time.Duration) {
	if from != to {
		s.cut[link{from, to}] = true
		s.after(duration, func() { delete(s.cut, link{from, to}) })
	}
}

// kill crashes a member's process and restarts it after the duration with two contact points.
func (s *simulation) kill(m, contact *simMember, duration time.Duration) {
	if !m.alive {
		return
	}
	m.alive = false
	incarnation := m.detector.Incarnation()
	s.after(duration, func() {
		// The member's directory may have been wiped: it then restarts with an older incarnation.
		if s.rng.IntN(3) == 0 {
			incarnation = 0
		}
		s.start(m, incarnation+1)
		m.detector.AddMembers(s.now, s.members[s.rng.IntN(len(s.members))].id, contact.id)
	})
}

// simulationPolicy is the default policy with more frequent full state syncs, which keeps simulations short.
func simulationPolicy() Policy {
	p := DefaultPolicy()
	p.SyncInterval = 10 * time.Second
	return p
}

// After the last fault all members must agree on which members are alive, within a bounded time.
func TestMembersConvergeAfterFaults(t *testing.T) {
	for seed := range seedCount(t, 40) {
		n := 3 + int(seed%10)
		s := newSimulation(seed, n, simulationPolicy())
		for at := 20 * time.Second; at < 120*time.Second; {
			s.after(at, func() { s.injectFault(30 * time.Second) })
			at += time.Duration(s.rng.Int64N(int64(8 * time.Second)))
		}
		s.run(170 * time.Second)
		dead := s.members[s.rng.IntN(n)]
		dead.alive = false
		s.run(s.now + detectionBound(s.policy, n) + time.Duration(n)*s.policy.SyncInterval)
		if text := s.disagreement(); text != "" {
			t.Errorf("seed %d, %d members: %s", seed, n, text)
		}
	}
}
