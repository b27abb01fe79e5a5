package balancer

import (
	"testing"
	"time"
)

// Rule 3: nothing to a worker that the list calls draining, gone, or leaves out.
func TestDrains(t *testing.T) {
	for _, c := range []struct {
		name string
		tell func(r *recorder)
	}{
		{"draining", func(r *recorder) { r.members(ListDelta, Worker{ID: 100, State: Draining}) }},
		{"gone", func(r *recorder) { r.members(ListDelta, Worker{ID: 100, State: Removed}) }},
		{"left out", func(r *recorder) { r.members(ListFull, fleet(2)[1]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.members(ListFull, fleet(2)...)
			c.tell(r)
			r.pass(r.set.Rules.DrainGrace + time.Second)
			for i := range 20 {
				r.request(job(i, safeClass))
			}
			if len(r.sends) == 0 {
				t.Fatal("nothing went to the worker that is left")
			}
			for _, s := range r.sends {
				if s.w == 100 {
					t.Fatal("sent to the worker that is going")
				}
			}
		})
	}
}

func TestListMustBeAskedFor(t *testing.T) {
	set := testSettings()
	set.ListOnRequest = true
	r := newRecorder(t, set)
	r.members(ListCached, fleet(2)...)
	if r.watch != 1 {
		t.Fatalf("%d calls at the start, want 1", r.watch)
	}
	var calls []time.Duration
	for range 5 {
		began, before := r.now, r.watch
		r.b.UpdateWorkers(r.now, ListUnavailable, nil)
		for r.watch == before && r.now < began+time.Minute {
			r.pass(10 * time.Millisecond)
		}
		calls = append(calls, r.now-began)
	}
	if calls[0] >= set.Rules.ListPollInterval || calls[3] <= calls[0] {
		t.Errorf("waits after failures: %v; want short, then longer", calls)
	}
}

// After a release most of many dispatchers start at once: each asks for the list at a time of
// its own, and few of a small fleet wait.
func TestManyAskInTurn(t *testing.T) {
	for _, fleet := range []int{1, manyDispatchers - 1, manyDispatchers, 48} {
		asked := map[time.Duration]int{}
		var last time.Duration
		for me := range fleet {
			set := testSettings()
			set.ListOnRequest, set.DispatcherCount, set.DispatcherIndex = true, fleet, me
			r := newRecorder(t, set)
			began := r.now
			r.members(ListCached)
			for r.watch == 0 {
				r.pass(time.Millisecond)
			}
			asked[r.now-began]++
			last = max(last, r.now-began)
		}
		if fleet < manyDispatchers && last > 0 {
			t.Errorf("of %d dispatchers one waits for %v", fleet, last)
		}
		for at, n := range asked {
			if fleet >= manyDispatchers && (n > 1 || at > testSettings().Classes[0].Timeout/firstListSpread) {
				t.Errorf("%d of %d dispatchers ask after %v", n, fleet, at)
			}
		}
	}
}

// Requests that come before the first list wait for it, but only for a part of their time.
func TestRequestsWaitForTheFirstList(t *testing.T) {
	set := testSettings()
	set.ListOnRequest = true
	r := newRecorder(t, set)
	r.members(ListCached)
	early := job(0, 0)
	r.request(early)
	r.pass(100 * time.Millisecond)
	if got := r.reqs[early.ID].final; got != "" || len(r.sends) != 0 {
		t.Fatalf("before the list: %q, %d sends", got, len(r.sends))
	}
	r.members(ListFull, fleet(3)...)
	if len(r.sends) != 1 {
		t.Fatalf("%d sends with the list there", len(r.sends))
	}

	r = newRecorder(t, set)
	r.members(ListCached)
	late := job(0, 0)
	late.Timeout = time.Second
	r.request(late)
	r.pass(late.Timeout/firstListDivisor + 100*time.Millisecond)
	if got := r.reqs[late.ID].final; got != "refused" {
		t.Errorf("after half of its time without a list: %q", got)
	}
	left := job(1, 0)
	r = newRecorder(t, set)
	r.members(ListCached)
	r.request(left)
	r.b.ClientDisconnected(left.ID)
	r.members(ListFull, fleet(3)...)
	if len(r.sends) != 0 {
		t.Error("a request whose client has left is sent once the list is there")
	}
}

// However long the list's service was down, the list is asked for soon enough that nothing it has to tell
// when it is back is missed: that counts as told 6 s later.
func TestListIsAskedForAfterALongOutage(t *testing.T) {
	for _, fleet := range []int{1, manyDispatchers, 300} {
		set := testSettings()
		set.ListOnRequest, set.DispatcherCount = true, fleet
		r := newRecorder(t, set)
		r.members(ListCached)
		for range 40 {
			asked, began := r.watch, r.now
			r.members(ListUnavailable)
			for r.watch == asked {
				r.pass(10 * time.Millisecond)
			}
			if waited := r.now - began; waited > maxListBackoff+20*time.Millisecond {
				t.Fatalf("one of %d dispatchers waits for %v", fleet, waited)
			}
		}
	}
}
