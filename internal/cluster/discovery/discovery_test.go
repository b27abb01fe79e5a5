package discovery

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With a local agent a drain is known in time though two polls in a row are lost, for every grace period
// that the bounds leave room for. Without one there are no polls.
func TestPollIntervalFitsTheDrainGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(int64(pollsPerGrace*minPollInterval), int64(time.Hour)).Draw(t, "grace")
		p := RefreshPolicy{LocalAgent: true, DrainGrace: time.Duration(grace)}
		if 3*p.PollInterval() >= p.DrainGrace {
			t.Errorf("polled every %v, and the grace period is %v", p.PollInterval(), p.DrainGrace)
		}
		if p.LocalAgent = false; p.PollInterval() != 0 {
			t.Errorf("polled every %v where each call costs", p.PollInterval())
		}
	})
}

// Nodes restart a silent watch at different times, within the bounds.
func TestWatchTimeoutDiffersByNode(t *testing.T) {
	seen := map[time.Duration]bool{}
	for node := range 10 {
		timeout := RefreshPolicy{NodeIndex: node, FleetSize: 10}.WatchTimeout()
		if timeout < minWatchTimeout || timeout > maxWatchTimeout || seen[timeout] {
			t.Errorf("node %d: %v", node, timeout)
		}
		seen[timeout] = true
	}
}

// Answers overtake each other. In whatever order they arrive, the generation never goes back, but if two
// calls one after the other show that discovery's has.
func TestGenerationNeverGoesBack(t *testing.T) {
	type answer struct {
		began      time.Duration
		generation int64
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := GenerationTracker{Generation: 1}
		current, now := int64(1), time.Duration(0)
		var open []answer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				current++
			case 1:
				open = append(open, answer{now, current})
			case 2:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				before, a := tracker.Generation, open[i]
				open = append(open[:i], open[i+1:]...)
				err := tracker.Accept(now, a.began, a.generation)
				var stale *StaleListError
				if err == nil && a.generation < before {
					t.Fatalf("generation %d was accepted after %d", a.generation, before)
				}
				if err != nil && !errors.As(err, &stale) {
					t.Fatal(err)
				}
			}
		}
	})
}

// Discovery that was restored is accepted at the second call, and one at another address at once.
func TestRestoredDiscoveryIsAccepted(t *testing.T) {
	tracker := GenerationTracker{Generation: 40}
	if tracker.Accept(10, 9, 7) == nil {
		t.Error("an older list was accepted at once")
	}
	if tracker.Accept(11, 9, 7) == nil {
		t.Error("a call that was open already was accepted")
	}
	if err := tracker.Accept(13, 12, 7); err != nil {
		t.Error(err)
	}
	tracker.Reset(20)
	if err := tracker.Accept(21, 20, 3); err != nil {
		t.Error(err)
	}
}
