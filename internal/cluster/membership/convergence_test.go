package membership

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// seedCount is how many seeds a test simulates: the given number, or $STORIES, and a quarter with -short.
func seedCount(t *testing.T, n int) uint64 {
	t.Helper()
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		n = v // for a longer search than a test run has time for
	}
	if testing.Short() {
		n /= 4
	}
	return uint64(n)
}

// A live member is never called failed while nobody stalls for longer than the stated pause, however many
// stall: it learns of the suspicion and refutes it.
func TestShortPausesFailNoLiveMember(t *testing.T) {
	for seed := range seedCount(t, 20) {
		n := []int{5, 10, 30}[seed%3]
		s := newSimulation(seed, n, simulationPolicy())
		s.onFalseFailure = func(observer, observed *simMember) {
			t.Errorf("seed %d: at %v %d calls %d failed", seed, s.now, observer.id, observed.id)
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

// A member that others reach is not even suspected when the link between it and one other is cut, in one
// direction or both.
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
			t.Errorf("seed %d: nobody has noticed the cut", seed)
		}
		clear(s.cut)
		s.run(s.now + 20*time.Second)
		for _, observer := range s.members {
			for _, m := range observer.detector.Members() {
				if !m.Reachable {
					t.Errorf("seed %d: the link is back, and %d does not reach %d", seed, observer.id, m.ID)
				}
			}
		}
	}
}

// countUnreachable counts the pairs that do not reach each other. Only 1 and 2 may, and nobody may be
// suspected.
func countUnreachable(t *testing.T, s *simulation, seed uint64) (count int) {
	t.Helper()
	for _, observer := range s.members {
		for _, m := range observer.detector.Members() {
			if m.State != Alive {
				t.Fatalf("seed %d: %d takes %d for %v", seed, observer.id, m.ID, m.State)
			}
			if m.Reachable {
				continue
			}
			if count++; observer.id > 2 || m.ID > 2 {
				t.Fatalf("seed %d: %d can't reach %d", seed, observer.id, m.ID)
			}
		}
	}
	return count
}
