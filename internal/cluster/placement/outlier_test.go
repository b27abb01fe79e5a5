package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// maxEjectedDivisor bounds ejection: at most 1/maxEjectedDivisor of the listed workers is ejected. It repeats
// ejectedDivisor, so that the test fails if that changes.
const maxEjectedDivisor = 3

// outlierGroup is a group of instances that observe failures of workers and exchange reports.
type outlierGroup struct {
	view    View
	quorums []*OutlierQuorum // by index in view.Members
	workers []string
}

func newOutlierGroup(instances, workers int) *outlierGroup {
	g := &outlierGroup{view: viewOf(memberNumbers(instances)...)}
	for _, m := range g.view.Members {
		q := NewOutlierQuorum()
		q.SetView(NewTable(g.view), m.Session)
		g.quorums = append(g.quorums, q)
	}
	for n := range workers {
		g.workers = append(g.workers, fmt.Sprint("w", n))
	}
	return g
}

// exchangeReports delivers the reports of every instance to every other one.
func (g *outlierGroup) exchangeReports(now time.Duration) {
	for a, from := range g.quorums {
		for b, to := range g.quorums {
			if a != b {
				to.ObserveReports(now, g.view.Members[a].Member, from.Reports(now))
			}
		}
	}
}

// countEjecting returns how many instances eject a worker.
func (g *outlierGroup) countEjecting(now time.Duration, worker string) (n int) {
	for _, q := range g.quorums {
		if q.Ejected(now, g.workers)[worker] {
			n++
		}
	}
	return n
}

// observeFailures makes instances, given by index, observe just enough failures at a worker to report it.
func (g *outlierGroup) observeFailures(now time.Duration, worker string, instances ...int) {
	for _, n := range instances {
		for range minFailures {
			g.quorums[n].ObserveAttempt(now, worker, true)
		}
	}
}

// A single faulty or malicious instance ejects no worker, no matter how many workers it reports and how
// often.
func TestReportsOfOneInstanceEjectNothing(t *testing.T) {
	g := newOutlierGroup(5, 12)
	var reports []OutlierReport
	for _, name := range g.workers {
		reports = append(reports, OutlierReport{name, 1 << 30, 1 << 30})
	}
	for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		for n, q := range g.quorums[1:] {
			q.ObserveReports(now, g.view.Members[0].Member, reports)
			for _, name := range g.workers {
				q.ObserveAttempt(now, name, false)
			}
			if ejected := q.Ejected(now, g.workers); len(ejected) > 0 {
				t.Fatalf("instance %d ejects %v because of the reports of a single instance", n+2, ejected)
			}
		}
	}
}

// A worker that two instances report is ejected by all but the one that tests it; when that one finds it
// healthy, all use it again.
func TestQuorumEjectsWorkerUntilItRecovers(t *testing.T) {
	g := newOutlierGroup(5, 12)
	now := time.Second
	g.observeFailures(now, "w3", 0, 1)
	g.exchangeReports(now)
	if n := g.countEjecting(now, "w3"); n != 4 {
		t.Fatalf("%d of 5 instances eject a worker that two instances report, want 4", n)
	}
	// The instance that tests it finds it healthy; the others' observations expire.
	for now < 14*time.Second {
		for n, q := range g.quorums {
			if !q.Ejected(now, g.workers)["w3"] {
				g.quorums[n].ObserveAttempt(now, "w3", false)
			}
		}
		now += 100 * time.Millisecond
		g.exchangeReports(now)
	}
	if n := g.countEjecting(now, "w3"); n != 0 {
		t.Errorf("%d instances eject a worker that has long been healthy", n)
	}
}

// At most a third of the workers is ejected, and reports that are not renewed expire.
func TestEjectionIsBoundedAndExpires(t *testing.T) {
	g := newOutlierGroup(5, 12)
	now := 14 * time.Second
	for _, name := range g.workers {
		g.observeFailures(now, name, 0, 1, 2)
	}
	g.exchangeReports(now)
	for n, q := range g.quorums {
		ejected := len(q.Ejected(now, g.workers))
		if ejected > len(g.workers)/maxEjectedDivisor {
			t.Errorf("instance %d ejects %d of %d workers", n+1, ejected, len(g.workers))
		}
		if ejected == 0 {
			t.Errorf("instance %d ejects nothing although three instances report all workers", n+1)
		}
	}
	now += reportLifetime + observationWindow
	for _, name := range g.workers {
		if n := g.countEjecting(now, name); n != 0 {
			t.Errorf("%d instances eject %s because of expired reports", n, name)
		}
	}
}

// outlierSimulation is a group whose workers fail and recover, and whose reports may be lost.
type outlierSimulation struct {
	*outlierGroup
	rng       *rand.Rand
	failing   map[string]bool
	ejections int // number of ejected workers, summed over all instances and steps
}

const (
	simulatedFaultsEnd   = 25 * time.Second
	simulatedRecoveredAt = 41 * time.Second
	simulatedEnd         = 45 * time.Second
)

// step makes workers fail and recover until simulatedFaultsEnd, and every instance use the workers.
func (s *outlierSimulation) step(t *testing.T, now time.Duration) {
	t.Helper()
	if now < simulatedFaultsEnd && s.rng.IntN(10) == 0 {
		s.failing[s.workers[s.rng.IntN(len(s.workers))]] = s.rng.IntN(2) == 0
	}
	if now >= simulatedFaultsEnd {
		clear(s.failing)
	}
	for _, q := range s.quorums {
		ejected := q.Ejected(now, s.workers)
		s.ejections += len(ejected)
		if len(ejected) > len(s.workers)/maxEjectedDivisor {
			t.Fatalf("%d of %d workers are ejected", len(ejected), len(s.workers))
		}
		for range 5 {
			if name := s.workers[s.rng.IntN(len(s.workers))]; !ejected[name] {
				q.ObserveAttempt(now, name, s.failing[name])
			}
		}
	}
}

// check fails the test if all instances eject a worker, or any instance ejects one that has long been
// healthy.
func (s *outlierSimulation) check(t *testing.T, now time.Duration) {
	t.Helper()
	for _, name := range s.workers {
		n := s.countEjecting(now, name)
		if n == len(s.quorums) {
			t.Fatalf("at %v: all instances eject %s", now, name)
		}
		if n > 0 && now > simulatedRecoveredAt {
			t.Fatalf("at %v: %d instances eject %s, which has long been healthy", now, n, name)
		}
	}
}

// While workers fail and recover and reports are lost, at most a third of the workers is ejected, no worker
// is ejected by all instances, and in the end no healthy worker is ejected.
func TestOutlierQuorumUnderRandomFaults(t *testing.T) {
	ejected := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := &outlierSimulation{outlierGroup: newOutlierGroup(2+rng.IntN(6), 3+rng.IntN(20)), rng: rng,
				failing: map[string]bool{}}
			for now := time.Second; now < simulatedEnd; now += 100 * time.Millisecond {
				s.step(t, now)
				s.check(t, now)
				if rng.IntN(3) > 0 {
					s.exchangeReports(now)
				}
				s.check(t, now)
			}
			ejected += s.ejections
		})
	}
	if ejected == 0 {
		t.Error("no worker was ejected in any run")
	}
}
