package discovery

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With a local agent, a drain must be known within the grace period even if two polls in a row are lost, for
// every grace period of at least pollsPerDrainGrace minimum intervals. Without an agent there are no polls.
func TestPollIntervalFitsTheDrainGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(int64(pollsPerDrainGrace*minPollInterval), int64(time.Hour)).
			Draw(t, "grace")
		p := RefreshPolicy{LocalAgent: true, DrainGrace: time.Duration(grace)}
		if 3*p.PollInterval() >= p.DrainGrace {
			t.Errorf("poll interval %v is too long for the grace period %v", p.PollInterval(), p.DrainGrace)
		}
		if p.LocalAgent = false; p.PollInterval() != 0 {
			t.Errorf("poll interval without a local agent is %v, want 0", p.PollInterval())
		}
	})
}

// Each node must have a different watch timeout within the bounds.
func TestWatchTimeoutDiffersByNode(t *testing.T) {
	seen := map[time.Duration]bool{}
	for node := range 10 {
		timeout := RefreshPolicy{NodeIndex: node, FleetSize: 10}.WatchTimeout()
		if timeout < minWatchTimeout || timeout > maxWatchTimeout || seen[timeout] {
			t.Errorf("node %d: timeout %v is out of bounds or not unique", node, timeout)
		}
		seen[timeout] = true
	}
}

// Answers of overlapping calls arrive in any order. The accepted generation must never decrease unless two
// successive calls show that discovery's own has decreased, which it does not here.
func TestGenerationNeverGoesBack(t *testing.T) {
	type pendingCall struct {
		startedAt  time.Duration
		generation int64
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := GenerationTracker{Generation: 1}
		current, now := int64(1), time.Duration(0)
		var pending []pendingCall
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				current++
			case 1:
				pending = append(pending, pendingCall{now, current})
			case 2:
				if len(pending) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "call")
				before, a := tracker.Generation, pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				err := tracker.Accept(now, a.startedAt, a.generation)
				var stale *StaleListError
				if err == nil && a.generation < before {
					t.Fatalf("generation %d was accepted after generation %d", a.generation, before)
				}
				if err != nil && !errors.As(err, &stale) {
					t.Fatal(err)
				}
			}
		}
	})
}

// The lists of a restored discovery are accepted from a call that started after the first rejection, and
// those of discovery at a new address immediately.
func TestRestoredDiscoveryIsAccepted(t *testing.T) {
	tracker := GenerationTracker{Generation: 40}
	if tracker.Accept(10, 9, 7) == nil {
		t.Error("the first older list was accepted, want rejected")
	}
	if tracker.Accept(11, 9, 7) == nil {
		t.Error("an older list of a call that started before the rejection was accepted")
	}
	if err := tracker.Accept(13, 12, 7); err != nil {
		t.Error(err)
	}
	tracker.Reset(20)
	if err := tracker.Accept(21, 20, 3); err != nil {
		t.Error(err)
	}
}
