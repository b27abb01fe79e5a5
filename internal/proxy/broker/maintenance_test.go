package broker

import (
	"testing"
	"time"

	"moorstack/balancer"
)

// The overlay gives the module what the operators said, whatever the list says.
func TestOverlay(t *testing.T) {
	b := newBans()
	listed := balancer.Worker{State: balancer.Ready, StartedAt: 10 * time.Second}
	want := func(what string, w balancer.Worker, state balancer.WorkerState, since time.Duration) {
		t.Helper()
		if got := b.over("a", w); got.State != state || got.StartedAt != since {
			t.Errorf("%s: %+v", what, got)
		}
	}
	want("nobody said anything", listed, balancer.Ready, 10*time.Second)
	b.out["a"] = time.Minute
	want("banned", listed, balancer.Draining, 10*time.Second)
	gone := listed
	gone.State = balancer.Removed
	want("banned and gone", gone, balancer.Removed, 10*time.Second)
	restarted := listed
	restarted.StartedAt = 61 * time.Second
	want("banned and restarted", restarted, balancer.Draining, 61*time.Second)

	delete(b.out, "a")
	b.back["a"] = term{time.Minute, 2 * time.Minute}
	want("put back, and its start is not told yet", listed, balancer.Ready, 2*time.Minute)
	want("the same line again", listed, balancer.Ready, 2*time.Minute)
	want("its start is told", restarted, balancer.Ready, 61*time.Second)
	want("and again", restarted, balancer.Ready, 61*time.Second)
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
