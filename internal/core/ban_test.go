package core

import (
	"testing"
	"time"

	"moorstack/brain"
)

// The overlay gives the module what the operators said, whatever the list says.
func TestOverlay(t *testing.T) {
	b := newBans()
	listed := brain.Worker{State: brain.Ready, Since: 10 * time.Second}
	want := func(what string, w brain.Worker, state brain.State, since time.Duration) {
		t.Helper()
		if got := b.over("a", w); got.State != state || got.Since != since {
			t.Errorf("%s: %+v", what, got)
		}
	}
	want("nobody said anything", listed, brain.Ready, 10*time.Second)
	b.out["a"] = time.Minute
	want("banned", listed, brain.Draining, 10*time.Second)
	gone := listed
	gone.State = brain.Removed
	want("banned and gone", gone, brain.Removed, 10*time.Second)
	restarted := listed
	restarted.Since = 61 * time.Second
	want("banned and restarted", restarted, brain.Draining, 61*time.Second)

	delete(b.out, "a")
	b.back["a"] = term{time.Minute, 2 * time.Minute}
	want("put back, and its start is not told yet", listed, brain.Ready, 2*time.Minute)
	want("the same line again", listed, brain.Ready, 2*time.Minute)
	want("its start is told", restarted, brain.Ready, 61*time.Second)
	want("and again", restarted, brain.Ready, 61*time.Second)
}

func TestNamesAreBounded(t *testing.T) {
	b := newBans()
	for i := range mostNames + 10 {
		b.listed(time.Duration(i).String())
	}
	if len(b.known) != mostNames {
		t.Errorf("%d names are remembered", len(b.known))
	}
}
