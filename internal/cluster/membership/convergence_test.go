package membership

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// seedCount returns the number of seeds that a test simulates: n, or the value of $STORIES if that is set.
// With -short it is a quarter of that.
func seedCount(t *testing.T, n int) uint64 {
	t.Helper()
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		n = v // for a longer search than a normal test run allows
	}
	if testing.Short() {
		n /= 4
	}
	return uint64(n)
}

// No live member may be declared failed while each stall is shorter than maxPause, no matter how many members
// stall: a stalled member learns of the suspicion and refutes it in time.
func TestShortPausesFailNoLiveMember(t *testing.T) {
	for seed := range seedCount(t, 20) {
		n := []int{5, 10, 30}[seed%3]
		s := newSimulation(seed, n, simulationPolicy())
		s.onFalseFailure = func(observer, observed *simMember) {
			t.Errorf("seed %d: at %v member %d declared live member %d failed", seed, s.now, observer.id,
				observed.id)
		}
		for at := 5 * time.Second; at < 100*time.Second; at += 5 * time.Second {
			s.after(at, func() {
				for _, m := range s.members {
					if s.rng.IntN(3) == 0 {
						m.stalledUntil = s.now + time.Duration(s.rng.Int64N(int64(maxPause(s.policy))))
					}
				}
			})
		}
		s.run(130 * time.Second)
		if text := s.disagreement(); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

// A cut link between two members, in one direction or both, must not make either of them suspect while other
// members still reach both.
func TestCutLinkBetweenTwoMembersSuspectsNobody(t *testing.T) {
	for seed := range seedCount(t, 20) {
		s := newSimulation(seed, 6, simulationPolicy())
		s.run(10 * time.Second)
		s.cut[link{1, 2}] = true
		s.cut[link{2, 1}] = seed%2 == 0
		unreachable := 0
		for s.now < 100*time.Second {
			s.run(s.now + 100*time.Millisecond)
			unreachable += countUnreachable(t, s, seed)
		}
		if unreachable == 0 {
			t.Errorf("seed %d: no member reported the cut link as unreachable", seed)
		}
		clear(s.cut)
		s.run(s.now + 20*time.Second)
		for _, observer := range s.members {
			for _, m := range observer.detector.Members() {
				if !m.Reachable {
					t.Errorf("seed %d: the link is restored, but member %d still reports %d as unreachable",
						seed, observer.id, m.ID)
				}
			}
		}
	}
}

// countUnreachable counts the members that others report as unreachable. It fails the test if a pair other
// than members 1 and 2 is affected, or if any member is not alive.
func countUnreachable(t *testing.T, s *simulation, seed uint64) (count int) {
	t.Helper()
	for _, observer := range s.members {
		for _, m := range observer.detector.Members() {
			if m.State != Alive {
				t.Fatalf("seed %d: member %d reports member %d as %v, want alive", seed, observer.id, m.ID,
					m.State)
			}
			if m.Reachable {
				continue
			}
			if count++; observer.id > 2 || m.ID > 2 {
				t.Fatalf("seed %d: member %d can't reach member %d, though their link is not cut", seed,
					observer.id, m.ID)
			}
		}
	}
	return count
}
