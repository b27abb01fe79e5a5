package discovery

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// How stale a list may get follows from the settings: where it is pushed, a drain is told in time though
// two calls in a row are lost, for every grace that the bounds leave room for.
func TestEvery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(int64(pollsPerGrace*minPollInterval), int64(time.Hour)).Draw(t, "grace")
		r := RefreshPolicy{LocalAgent: true, DrainGrace: time.Duration(grace)}
		if 3*r.PollInterval() >= r.DrainGrace {
			t.Errorf("asked every %v, and the grace is %v", r.PollInterval(), r.DrainGrace)
		}
		if r.LocalAgent = false; r.PollInterval() != 0 {
			t.Errorf("asked every %v where each call costs", r.PollInterval())
		}
	})
}

// Calls overtake each other: whatever the order, what is known never goes back, unless two calls one
// after the other say that discovery itself has.
func TestTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := GenerationTracker{Generation: 1}
		truth, now := int64(1), time.Duration(0)
		type answer struct {
			began time.Duration
			gen   int64
		}
		var out []answer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				truth++
			case 1:
				out = append(out, answer{now, truth})
			case 2:
				if len(out) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				before := told.Generation
				a := out[i]
				out = append(out[:i], out[i+1:]...)
				err := told.Accept(now, a.began, a.gen)
				var older *StaleListError
				if err == nil && a.gen < before {
					t.Fatalf("generation %d was taken after %d", a.gen, before)
				}
				if err != nil && !errors.As(err, &older) {
					t.Fatal(err)
				}
			}
		}
	})
}

// Discovery that was set back is believed at the second call, and one at another place at once.
func TestSetBack(t *testing.T) {
	told := GenerationTracker{Generation: 40}
	if told.Accept(10, 9, 7) == nil {
		t.Error("an older list was taken at once")
	}
	if told.Accept(11, 9, 7) == nil {
		t.Error("a call that was out already was believed")
	}
	if err := told.Accept(13, 12, 7); err != nil {
		t.Error(err)
	}
	told.Reset(20)
	if err := told.Accept(21, 20, 3); err != nil {
		t.Error(err)
	}
}
