package membership

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// measure returns a row of the table in docs/membership.md: the detection times of one crash, their bound,
// the messages per member and second of an idle group, and the number of false failures while a tenth of the
// members pause for twice maxPause.
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

// measureDetection kills the first member and measures the time until one other member, and until all others,
// have declared it failed.
func measureDetection(s *simulation, n int) (first, all time.Duration) {
	s.members[0].alive = false
	died := s.now
	for all == 0 && s.now < died+10*detectionBound(s.policy, n) {
		s.run(s.now + 100*time.Millisecond)
		detected := 0
		for _, m := range s.members[1:] {
			if m.detector.members[1].state == Failed {
				detected++
			}
		}
		if detected > 0 && first == 0 {
			first = s.now - died
		}
		if detected == n-1 {
			all = s.now - died
		}
	}
	return first, all
}

// countFalseFailures counts false failures while about a tenth of the members, picked again every ten
// seconds, stall for twice maxPause.
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

// With FIGURES=1 this prints the table of docs/membership.md. It checks nothing.
func TestPrintMeasurements(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("set FIGURES=1 to print the measurements")
	}
	for _, n := range []int{5, 50, 300, 1000} {
		for seed := range uint64(2) {
			fmt.Println(measure(n, seed, DefaultPolicy()))
		}
	}
}

// With WITHOUT=1 this prints the same measurements with one protocol extension disabled at a time. It checks
// nothing.
func TestPrintMeasurementsWithoutExtensions(t *testing.T) {
	if os.Getenv("WITHOUT") == "" {
		t.Skip("set WITHOUT=1 to print the measurements")
	}
	for name, change := range map[string]func(*Policy){
		"all extensions":         func(*Policy) {},
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
