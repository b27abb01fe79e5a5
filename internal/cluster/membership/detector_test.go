package membership

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func stories(t *testing.T, n int) uint64 {
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		n = v // for a longer look than a test run has time for
	}
	if testing.Short() {
		n /= 4
	}
	return uint64(n)
}

// A live member is never called failed while nobody stands still for longer than the stated time, however
// many do: it hears of it and refutes.
func TestShortPausesFailNobody(t *testing.T) {
	for seed := range stories(t, 20) {
		n := []int{5, 10, 30}[seed%3]
		w := newWorld(seed, n, quick())
		w.wrong = func(at, of *member) {
			t.Errorf("seed %d: at %v %d calls %d failed", seed, w.now, at.id, of.id)
		}
		for at := 5 * time.Second; at < 100*time.Second; at += 5 * time.Second {
			w.at(at, func() {
				for _, x := range w.nodes {
					if w.rng.IntN(3) == 0 {
						x.stalled = w.now + time.Duration(w.rng.Int64N(int64(MaxPause(w.policy))))
					}
				}
			})
		}
		w.run(130 * time.Second)
		if text := w.differs(); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

// One that others reach is not even suspected where a cut, one way or both, is between it and one other.
func TestACutBetweenTwoAccusesNobody(t *testing.T) {
	for seed := range stories(t, 20) {
		w := newWorld(seed, 6, quick())
		w.run(10 * time.Second)
		w.cut[[2]ID{1, 2}] = true
		w.cut[[2]ID{2, 1}] = seed%2 == 0
		seen := 0
		for w.now < 100*time.Second {
			w.run(w.now + 100*time.Millisecond)
			for _, x := range w.nodes {
				for _, b := range x.m.Members() {
					if b.State != Alive {
						t.Fatalf("seed %d: %d takes %d for %v", seed, x.id, b.ID, b.State)
					}
					if !b.Reachable {
						if seen++; x.id > 2 || b.ID > 2 {
							t.Fatalf("seed %d: %d can't reach %d", seed, x.id, b.ID)
						}
					}
				}
			}
		}
		if seen == 0 {
			t.Errorf("seed %d: nobody has seen the cut", seed)
		}
		clear(w.cut)
		w.run(w.now + 20*time.Second)
		for _, x := range w.nodes {
			for _, b := range x.m.Members() {
				if !b.Reachable {
					t.Errorf("seed %d: it is over, and %d does not reach %d", seed, x.id, b.ID)
				}
			}
		}
	}
}

// Words that make no sense are refused, counted, and change nothing.
func TestNonsense(t *testing.T) {
	m := New(0, 1, 7, 1, DefaultPolicy())
	m.AddMembers(0, 2, 3)
	before := m.Members()
	for _, w := range []Message{
		{Kind: 0}, {Kind: 99},
		{Kind: Ping, Updates: []Update{{ID: 2, State: 9, Incarnation: 1}}},
		{Kind: Ping, Updates: []Update{{ID: 0, State: Failed, Incarnation: 1}}},
		{Kind: Ping, Updates: []Update{{ID: 3, State: Failed, Incarnation: 1 << 40}}},
		{Kind: Ping, Updates: []Update{{ID: 1, State: Failed, Incarnation: 1 << 40}}},
		{Kind: SyncRequest, Updates: make([]Update, maxUpdates+1)},
	} {
		was := m.Counters().Rejected
		m.Receive(0, 2, w)
		if m.Counters().Rejected == was {
			t.Errorf("%+v is taken", w.Kind)
		}
	}
	if out := m.Receive(0, 1, Message{Kind: Ping}); out != nil {
		t.Error("it answers itself")
	}
	for i, b := range m.Members() {
		if b.State != before[i].State || b.Incarnation != before[i].Incarnation || m.Incarnation() != 7 {
			t.Errorf("%+v was %+v", b, before[i])
		}
	}
}

// An old rumour does not raise the dead, and one that comes back with an older incarnation is believed
// once it has refuted.
func TestOldRumours(t *testing.T) {
	m := New(0, 1, 1, 1, DefaultPolicy())
	m.AddMembers(0, 2, 3)
	m.Receive(
		0,
		3,
		Message{Kind: Ping, Updates: []Update{{ID: 2, State: Failed, Incarnation: 5, ReportedBy: 3}}},
	)
	m.Receive(0, 3, Message{Kind: Ping, Updates: []Update{{ID: 2, State: Alive, Incarnation: 5},
		{ID: 2, State: Suspect, Incarnation: 5}}})
	if b := m.Members()[0]; b.State != Failed {
		t.Fatalf("%d is %v", b.ID, b.State)
	}
	back := New(0, 2, 1, 1, DefaultPolicy())
	for _, o := range m.Receive(0, 2, Message{Kind: Ping, Seq: 1}) {
		back.Receive(0, 1, o.Message)
	}
	if back.Incarnation() != 6 {
		t.Fatalf("it has the incarnation %d", back.Incarnation())
	}
	back.AddMembers(0, 1)
	for _, o := range back.Receive(0, 1, Message{Kind: Ping, Seq: 2}) {
		m.Receive(0, 2, o.Message)
	}
	if b := m.Members()[0]; b.State != Alive || b.Incarnation != 6 {
		t.Errorf("%+v", b)
	}
}

// Whatever comes, the machine goes on, and keeps to its bounds.
func FuzzHear(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, now := New(0, 1, 1, 1, DefaultPolicy()), time.Duration(0)
		m.AddMembers(0, 2, 3, 4)
		for ; len(raw) >= 6; raw = raw[6:] {
			now += time.Duration(raw[0]) * 100 * time.Millisecond
			w := Message{Kind: MessageKind(raw[1] % 9), Seq: uint64(raw[2] % 8), Target: ID(raw[3] % 6),
				Updates: []Update{{ID: ID(raw[4] % 8), State: State(raw[5] % 6), Incarnation: uint64(raw[5]),
					ReportedBy: ID(raw[2] % 8)}}}
			for _, o := range append(m.Receive(now, ID(raw[3]%6), w), m.Tick(now)...) {
				if o.To == 1 || len(o.Updates) > maxUpdates {
					t.Fatalf("it says %+v", o)
				}
			}
			if m.liveCount < 1 || m.healthScore < 0 || m.healthScore > m.policy.MaxHealthScore ||
				len(m.probeOrder) != len(m.members) {
				t.Fatalf(
					"%d live, %d slow, %d of %d in order",
					m.liveCount,
					m.healthScore,
					len(m.probeOrder),
					len(m.members),
				)
			}
		}
	})
}
