package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// maxEjectedFraction is the fraction of the listed workers that reports may eject, as its reciprocal. It is
// stated here once more so that a change of the bound is noticed.
const maxEjectedFraction = 3

// outlierGroup is instances that observe workers fail and exchange reports.
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

// exchangeReports has every instance report to every other.
func (g *outlierGroup) exchangeReports(now time.Duration) {
	for a, from := range g.quorums {
		for b, to := range g.quorums {
			if a != b {
				to.ObserveReports(now, g.view.Members[a].Member, from.Reports(now))
			}
		}
	}
}

// ejecting returns how many instances eject a worker.
func (g *outlierGroup) ejecting(now time.Duration, worker string) (n int) {
	for _, q := range g.quorums {
		if q.Ejected(now, g.workers)[worker] {
			n++
		}
	}
	return n
}

// fail has instances, by index, observe just enough failures at a worker to report it.
func (g *outlierGroup) fail(now time.Duration, worker string, instances ...int) {
	for _, n := range instances {
		for range minFailures {
			g.quorums[n].ObserveAttempt(now, worker, true)
		}
	}
}

// One instance that is wrong or malicious ejects no worker, however often and however many it reports.
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
				t.Fatalf("instance %d ejects %v by the reports of one", n+2, ejected)
			}
		}
	}
}

// A worker that two instances report is ejected by all but the one that tests it; when that one finds it
// healthy, all use it again.
func TestQuorumEjectsWorkerUntilItRecovers(t *testing.T) {
	g := newOutlierGroup(5, 12)
	now := time.Second
	g.fail(now, "w3", 0, 1)
	g.exchangeReports(now)
	if n := g.ejecting(now, "w3"); n != 4 {
		t.Fatalf("%d of 5 eject a worker that two report; all but one should", n)
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
	if n := g.ejecting(now, "w3"); n != 0 {
		t.Errorf("%d eject a worker that has long been healthy", n)
	}
}

// At most a third of the workers is ejected, and reports that are not renewed expire.
func TestEjectionIsBoundedAndExpires(t *testing.T) {
	g := newOutlierGroup(5, 12)
	now := 14 * time.Second
	for _, name := range g.workers {
		g.fail(now, name, 0, 1, 2)
	}
	g.exchangeReports(now)
	for n, q := range g.quorums {
		ejected := len(q.Ejected(now, g.workers))
		if ejected > len(g.workers)/maxEjectedFraction {
			t.Errorf("instance %d ejects %d of %d workers", n+1, ejected, len(g.workers))
		}
		if ejected == 0 {
			t.Errorf("instance %d ejects nothing, and three instances report all workers", n+1)
		}
	}
	now += reportLifetime + observationWindow
	for _, name := range g.workers {
		if n := g.ejecting(now, name); n != 0 {
			t.Errorf("%d eject %s by expired reports", n, name)
		}
	}
}

// outlierSimulation is a group with workers that fail and recover, and reports that are lost.
type outlierSimulation struct {
	*outlierGroup
	rng     *rand.Rand
	failing map[string]bool
	ejected int // how often a worker was ejected, over all instances and steps
}

const (
	simulatedFaultsEnd   = 25 * time.Second
	simulatedRecoveredAt = 41 * time.Second
	simulatedEnd         = 45 * time.Second
)

// step has faults come and go until simulatedFaultsEnd, and every instance use the workers.
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
		s.ejected += len(ejected)
		if len(ejected) > len(s.workers)/maxEjectedFraction {
			t.Fatalf("%d of %d workers are ejected", len(ejected), len(s.workers))
		}
		for range 5 {
			if name := s.workers[s.rng.IntN(len(s.workers))]; !ejected[name] {
				q.ObserveAttempt(now, name, s.failing[name])
			}
		}
	}
}

// check fails if all instances eject a worker, or any instance ejects one that has long been healthy.
func (s *outlierSimulation) check(t *testing.T, now time.Duration) {
	t.Helper()
	for _, name := range s.workers {
		n := s.ejecting(now, name)
		if n == len(s.quorums) {
			t.Fatalf("at %v: nobody tests %s", now, name)
		}
		if n > 0 && now > simulatedRecoveredAt {
			t.Fatalf("at %v: %d eject %s, which has long been healthy", now, n, name)
		}
	}
}

// While workers fail and recover, instances restart and reports are lost, at most a third of the workers is
// ejected, no worker is ejected by all instances, and in the end no healthy worker is.
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
			ejected += s.ejected
		})
	}
	if ejected == 0 {
		t.Error("nothing was ever ejected")
	}
}
