package membership

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// figures is what is measured of a world: one death; pauses of a tenth; messages at rest.
func figures(n int, seed uint64, p Policy) string {
	w := newWorld(seed, n, p)
	w.run(20 * time.Second)
	w.said, w.words = 0, 0
	w.run(40 * time.Second)
	rest := float64(w.said) / 20 / float64(n)
	w.nodes[0].up = false
	died, first, all := w.now, time.Duration(0), time.Duration(0)
	for all == 0 && w.now < died+10*p.DetectionBound(n) {
		w.run(w.now + 100*time.Millisecond)
		know := 0
		for _, x := range w.nodes[1:] {
			if x.m.members[1].state == Failed {
				know++
			}
		}
		if know > 0 && first == 0 {
			first = w.now - died
		}
		if know == n-1 {
			all = w.now - died
		}
	}
	// A tenth stand still for twice the stated pause, every ten seconds.
	failed := 0
	w.wrong = func(_, of *member) { failed++ }
	began := w.now
	for k := range 6 {
		w.at(time.Duration(k)*10*time.Second, func() {
			for _, x := range w.nodes[1:] {
				if w.rng.IntN(10) == 0 {
					x.stalled = w.now + 2*MaxPause(p)
				}
			}
		})
	}
	for w.now < began+60*time.Second {
		w.run(w.now + time.Second)
	}
	return fmt.Sprintf("| %d | %.1f s | %.1f s | %.0f s | %.1f | %d |", n, first.Seconds(),
		all.Seconds(), p.DetectionBound(n).Seconds(), rest, failed)
}

// FIGURES=1 prints the tables of docs/membership.md; they are not judged.
func TestFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES=1 prints them")
	}
	for _, n := range []int{5, 50, 300, 1000} {
		for seed := range uint64(2) {
			fmt.Println(figures(n, seed, DefaultPolicy()))
		}
	}
}

// Each extension left out: what goes wrong. WITHOUT=1 prints it; it is not judged.
func TestWithout(t *testing.T) {
	if os.Getenv("WITHOUT") == "" {
		t.Skip("WITHOUT=1 prints it")
	}
	for name, change := range map[string]func(*Policy){
		"as it is":              func(*Policy) {},
		"without local health":  func(p *Policy) { p.MaxHealthScore = 0 },
		"without others' help":  func(p *Policy) { p.IndirectProbes = 0 },
		"suspicions that end":   func(p *Policy) { p.SuspicionMaxMult = 1 },
		"on probes' backs only": func(p *Policy) { p.GossipInterval = time.Hour },
	} {
		p := DefaultPolicy()
		change(&p)
		fmt.Println(name, figures(30, 1, p), figures(30, 2, p))
	}
}
