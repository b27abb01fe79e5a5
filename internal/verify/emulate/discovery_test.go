package emulate

import (
	"fmt"
	"testing"
	"time"
)

// Whatever becomes of watches, drains are kept to: where lists are pushed, from the moment that the agent
// has them, and where they are asked, from 6 s after a watch fell silent.
func TestDrainsAreKeptThoughWatchesAreDeaf(t *testing.T) {
	for _, list := range []string{listPolled, listPushed} {
		for _, grace := range []time.Duration{400 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v", list, grace), func(t *testing.T) {
				sent := 0
				for seed := range uint64(8) {
					sc := small(seed)
					sc.ListDelivery, sc.DrainGrace, sc.Duration = list, Duration(grace), Duration(25*time.Second)
					at := func(kind string, at, long time.Duration, part float64) {
						sc.Faults = append(sc.Faults,
							Fault{Kind: kind, Start: Duration(at), Length: Duration(long), Fraction: part})
					}
					at("deaf", 2500*time.Millisecond, time.Second, 1)
					at("drain", 2*time.Second, 8*time.Second, 0.3)
					at("list-down", 11*time.Second, 2*time.Second, 0)
					at("drain", 13200*time.Millisecond, 8*time.Second, 0.4)
					at("restart", 13*time.Second, 2*time.Second, 0.5)
					at("deaf", 16*time.Second, time.Second, 0.5)
					at("drain", 17*time.Second, 6*time.Second, 0.3)
					res, err := RunScenario(sc)
					if err != nil {
						t.Fatal(err)
					}
					for _, v := range res.Violations {
						t.Errorf("seed %d: %s", seed, v)
					}
					sent += res.Attempts
				}
				if sent == 0 {
					t.Error("nothing was sent, and so nothing shown")
				}
			})
		}
	}
}
