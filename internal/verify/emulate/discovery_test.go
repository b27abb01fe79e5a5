package emulate

import (
	"fmt"
	"testing"
	"time"
)

// Drains are observed although watches fall silent and the discovery service goes down: where lists are
// pushed, from when the agent has the update, and where they are polled, from 6 s after the watch fell
// silent.
func TestDrainsAreKeptWhileWatchesAreSilent(t *testing.T) {
	faults := []Fault{
		newFault("deaf", 2500*time.Millisecond, time.Second, 1),
		newFault("drain", 2*time.Second, 8*time.Second, 0.3),
		newFault("list-down", 11*time.Second, 2*time.Second, 0),
		newFault("drain", 13200*time.Millisecond, 8*time.Second, 0.4),
		newFault("restart", 13*time.Second, 2*time.Second, 0.5),
		newFault("deaf", 16*time.Second, time.Second, 0.5),
		newFault("drain", 17*time.Second, 6*time.Second, 0.3),
	}
	for _, delivery := range []string{listPolled, listPushed} {
		for _, grace := range []time.Duration{400 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v", delivery, grace), func(t *testing.T) {
				attempts := 0
				for seed := range uint64(8) {
					sc := smallScenario(seed).withFaults(seed, faults)
					sc.ListDelivery, sc.DrainGrace = delivery, Duration(grace)
					sc.Duration = Duration(25 * time.Second)
					r, err := RunScenario(sc)
					if err != nil {
						t.Fatal(err)
					}
					for _, v := range r.Violations {
						t.Errorf("seed %d: %s", seed, v)
					}
					attempts += r.Attempts
				}
				if attempts == 0 {
					t.Error("no attempts were sent, so the runs check nothing")
				}
			})
		}
	}
}
