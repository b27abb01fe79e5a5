package membership

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// measure returns a row of the table in docs/membership.md: messages at rest, one death, and how many
// members are called failed wrongly while a tenth pauses for twice the stated pause.
func measure(n int, seed uint64, p Policy) string {
	s := newSimulation(seed, n, p)
	s.run(20 * time.Second)
	s.sent = 0
	s.run(40 * time.Second)
	messages := float64(s.sent) / 20 / float64(n)
	first, all := measureDetection(s, n)
	falseFailures := countFalseFailures(s)
	return fmt.Sprintf("| %d | %.1f s | %.1f s | %.0f s | %.1f | %d |", n, first.Seconds(), all.Seconds(),
		detectionBound(p, n).Seconds(), messages, falseFailures)
}

// measureDetection kills the first member, and measures when the first other and when all know of it.
func measureDetection(s *simulation, n int) (first, all time.Duration) {
	s.members[0].alive = false
	died := s.now
	for all == 0 && s.now < died+10*detectionBound(s.policy, n) {
		s.run(s.now + 100*time.Millisecond)
		know := 0
		for _, m := range s.members[1:] {
			if m.detector.members[1].state == Failed {
				know++
			}
		}
		if know > 0 && first == 0 {
			first = s.now - died
		}
		if know == n-1 {
			all = s.now - died
		}
	}
	return first, all
}

// countFalseFailures has a tenth of the members stall for twice the stated pause, each ten seconds.
func countFalseFailures(s *simulation) (count int) {
	s.onFalseFailure = func(_, _ *simMember) { count++ }
	began := s.now
	for k := range 6 {
		s.after(time.Duration(k)*10*time.Second, func() {
			for _, m := range s.members[1:] {
				if s.rng.IntN(10) == 0 {
					m.stalledUntil = s.now + 2*maxPause(s.policy)
				}
			}
		})
	}
	for s.now < began+60*time.Second {
		s.run(s.now + time.Second)
	}
	return count
}

// FIGURES=1 prints the table of docs/membership.md, which is not judged.
func TestPrintMeasurements(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES=1 prints them")
	}
	for _, n := range []int{5, 50, 300, 1000} {
		for seed := range uint64(2) {
			fmt.Println(measure(n, seed, DefaultPolicy()))
		}
	}
}

// WITHOUT=1 prints what is measured without each extension of the protocol, which is not judged.
func TestPrintMeasurementsWithoutExtensions(t *testing.T) {
	if os.Getenv("WITHOUT") == "" {
		t.Skip("WITHOUT=1 prints them")
	}
	for name, change := range map[string]func(*Policy){
		"as it is":               func(*Policy) {},
		"without local health":   func(p *Policy) { p.MaxHealthScore = 0 },
		"without indirect pings": func(p *Policy) { p.IndirectProbes = 0 },
		"constant suspicion":     func(p *Policy) { p.SuspicionMaxMult = 1 },
		"piggyback only":         func(p *Policy) { p.GossipInterval = time.Hour },
	} {
		p := DefaultPolicy()
		change(&p)
		fmt.Println(name, measure(30, 1, p), measure(30, 2, p))
	}
}
