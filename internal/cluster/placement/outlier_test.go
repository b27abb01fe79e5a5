package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// crew is instances that see workers fail and tell each other.
type crew struct {
	view  View
	all   []*OutlierQuorum
	names []string
}

func newCrew(instances, workers int) *crew {
	c := &crew{view: view(some(instances)...)}
	for _, m := range c.view.Members {
		w := NewOutlierQuorum()
		w.SetView(NewTable(c.view), m.Session)
		c.all = append(c.all, w)
	}
	for n := range workers {
		c.names = append(c.names, fmt.Sprint("w", n))
	}
	return c
}

// tell has all tell all.
func (c *crew) tell(now time.Duration) {
	for a, w := range c.all {
		for b, x := range c.all {
			if a != b {
				x.ObserveReports(now, c.view.Members[a].Member, w.Reports(now))
			}
		}
	}
}

func (c *crew) shunning(now time.Duration, worker string) (n int) {
	for _, w := range c.all {
		if w.Ejected(now, c.names)[worker] {
			n++
		}
	}
	return n
}

// One instance that is wrong, or lies, takes no worker out, however often and of however many it says so.
func TestOneWitnessIsNotBelieved(t *testing.T) {
	c := newCrew(5, 12)
	var lies []OutlierReport
	for _, name := range c.names {
		lies = append(lies, OutlierReport{name, 1 << 30, 1 << 30})
	}
	for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		for n, w := range c.all[1:] {
			w.ObserveReports(now, c.view.Members[0].Member, lies)
			for _, name := range c.names {
				w.ObserveAttempt(now, name, false)
			}
			if s := w.Ejected(now, c.names); len(s) > 0 {
				t.Fatalf("instance %d shuns %v by one's word", n+2, s)
			}
		}
	}
}

// What two have seen all shun but the one whose turn it is; when that one finds the worker well, all use
// it again. Words that are not said again end. Not more than a third of the workers is taken out.
func TestSeveralWitnesses(t *testing.T) {
	c := newCrew(5, 12)
	now := time.Second
	fail := func(worker string, by ...int) {
		for _, n := range by {
			for range leastBad {
				c.all[n].ObserveAttempt(now, worker, true)
			}
		}
	}
	fail("w3", 0, 1)
	c.tell(now)
	if n := c.shunning(now, "w3"); n != 4 {
		t.Fatalf("%d of 5 shun a worker that two have seen fail; all but one should", n)
	}
	// The one whose turn it is finds it well; the others' evidence grows old.
	for now < 14*time.Second {
		for n, w := range c.all {
			if !w.Ejected(now, c.names)["w3"] {
				c.all[n].ObserveAttempt(now, "w3", false)
			}
		}
		now += 100 * time.Millisecond
		c.tell(now)
	}
	if n := c.shunning(now, "w3"); n != 0 {
		t.Errorf("%d shun a worker that is well for long", n)
	}
	for _, name := range c.names {
		fail(name, 0, 1, 2)
	}
	c.tell(now)
	for n, w := range c.all {
		if s := len(w.Ejected(now, c.names)); s > len(c.names)/mostShunned {
			t.Errorf("instance %d shuns %d of %d workers", n+1, s, len(c.names))
		}
	}
	now += lasting + recent
	for _, name := range c.names {
		if n := c.shunning(now, name); n != 0 {
			t.Errorf("%d shun %s by old words", n, name)
		}
	}
}

// In stories of workers that fail and recover, instances that are lost and words that are, never more
// than a third of the workers is shunned, no worker is shunned by all, and in the end none is that is
// well.
func TestWitnessStories(t *testing.T) {
	shunned := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		c := newCrew(2+rng.IntN(6), 3+rng.IntN(20))
		sick := map[string]bool{}
		for now := time.Second; now < 45*time.Second; now += 100 * time.Millisecond {
			if now < 25*time.Second && rng.IntN(10) == 0 {
				sick[c.names[rng.IntN(len(c.names))]] = rng.IntN(2) == 0
			}
			if now >= 25*time.Second {
				clear(sick)
			}
			for _, w := range c.all {
				s := w.Ejected(now, c.names)
				shunned += len(s)
				if len(s) > len(c.names)/mostShunned {
					t.Fatalf("seed %d: %d of %d workers are shunned", seed, len(s), len(c.names))
				}
				for range 5 {
					if name := c.names[rng.IntN(len(c.names))]; !s[name] {
						w.ObserveAttempt(now, name, sick[name])
					}
				}
			}
			for _, name := range c.names {
				if c.shunning(now, name) == len(c.all) {
					t.Fatalf("seed %d: nobody tries %s", seed, name)
				}
			}
			if rng.IntN(3) > 0 {
				c.tell(now)
			}
			if now > 41*time.Second {
				for _, name := range c.names {
					if n := c.shunning(now, name); n > 0 {
						t.Fatalf("seed %d: %d shun %s, which has been well for long", seed, n, name)
					}
				}
			}
		}
	}
	if shunned == 0 {
		t.Error("nothing was ever shunned")
	}
}
