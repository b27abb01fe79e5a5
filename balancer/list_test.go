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
		{"draining", func(r *recorder) { r.members(Changes, Worker{ID: 100, State: Draining}) }},
		{"gone", func(r *recorder) { r.members(Changes, Worker{ID: 100, State: Removed}) }},
		{"left out", func(r *recorder) { r.members(Whole, fleet(2)[1]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.members(Whole, fleet(2)...)
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
	set.MustAsk = true
	r := newRecorder(t, set)
	r.members(Cached, fleet(2)...)
	if r.watch != 1 {
		t.Fatalf("%d calls at the start, want 1", r.watch)
	}
	var calls []time.Duration
	for range 5 {
		began, before := r.now, r.watch
		r.b.Members(r.now, Failed, nil)
		for r.watch == before && r.now < began+time.Minute {
			r.pass(10 * time.Millisecond)
		}
		calls = append(calls, r.now-began)
	}
	if calls[0] >= set.Rules.AskEvery || calls[3] <= calls[0] {
		t.Errorf("waits after failures: %v; want short, then longer", calls)
	}
}

// After a release most of many dispatchers start at once: each asks for the list at a time of
// its own, and few of a small fleet wait.
func TestManyAskInTurn(t *testing.T) {
	for _, fleet := range []int{1, many - 1, many, 48} {
		asked := map[time.Duration]int{}
		var last time.Duration
		for me := range fleet {
			set := testSettings()
			set.MustAsk, set.Fleet, set.Me = true, fleet, me
			r := newRecorder(t, set)
			began := r.now
			r.members(Cached)
			for r.watch == 0 {
				r.pass(time.Millisecond)
			}
			asked[r.now-began]++
			last = max(last, r.now-began)
		}
		if fleet < many && last > 0 {
			t.Errorf("of %d dispatchers one waits for %v", fleet, last)
		}
		for at, n := range asked {
			if fleet >= many && (n > 1 || at > testSettings().Classes[0].Deadline/firstAsks) {
				t.Errorf("%d of %d dispatchers ask after %v", n, fleet, at)
			}
		}
	}
}

// Requests that come before the first list wait for it, but only for a part of their time.
func TestRequestsWaitForTheFirstList(t *testing.T) {
	set := testSettings()
	set.MustAsk = true
	r := newRecorder(t, set)
	r.members(Cached)
	early := job(0, 0)
	r.request(early)
	r.pass(100 * time.Millisecond)
	if got := r.reqs[early.ID].final; got != "" || len(r.sends) != 0 {
		t.Fatalf("before the list: %q, %d sends", got, len(r.sends))
	}
	r.members(Whole, fleet(3)...)
	if len(r.sends) != 1 {
		t.Fatalf("%d sends with the list there", len(r.sends))
	}

	r = newRecorder(t, set)
	r.members(Cached)
	late := job(0, 0)
	late.Left = time.Second
	r.request(late)
	r.pass(late.Left/firstList + 100*time.Millisecond)
	if got := r.reqs[late.ID].final; got != "refused" {
		t.Errorf("after half of its time without a list: %q", got)
	}
	left := job(1, 0)
	r = newRecorder(t, set)
	r.members(Cached)
	r.request(left)
	r.b.Gone(r.now, left.ID)
	r.members(Whole, fleet(3)...)
	if len(r.sends) != 0 {
		t.Error("a request whose client has left is sent once the list is there")
	}
}

// However long the list's service was down, the list is asked for soon enough that nothing it has to tell
// when it is back is missed: that counts as told 6 s later.
func TestListIsAskedForAfterALongOutage(t *testing.T) {
	for _, fleet := range []int{1, many, 300} {
		set := testSettings()
		set.MustAsk, set.Fleet = true, fleet
		r := newRecorder(t, set)
		r.members(Cached)
		for range 40 {
			asked, began := r.watch, r.now
			r.members(Failed)
			for r.watch == asked {
				r.pass(10 * time.Millisecond)
			}
			if waited := r.now - began; waited > longestAsk+20*time.Millisecond {
				t.Fatalf("one of %d dispatchers waits for %v", fleet, waited)
			}
		}
	}
}
