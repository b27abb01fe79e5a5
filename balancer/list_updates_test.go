package balancer

import (
	"testing"
	"time"
)

// Nothing is sent to a worker that is draining, removed or absent in the list.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		update func(r *recorder)
	}{
		{"draining", func(r *recorder) { r.updateWorkers(ListDelta, Worker{ID: 100, State: Draining}) }},
		{"removed", func(r *recorder) { r.updateWorkers(ListDelta, Worker{ID: 100, State: Removed}) }},
		{"absent", func(r *recorder) { r.updateWorkers(ListFull, readyWorkers(2)[1]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.updateWorkers(ListFull, readyWorkers(2)...)
			c.update(r)
			r.advance(r.settings.Rules.DrainGrace + time.Second)
			for i := range 20 {
				r.submit(testRequest(i, idempotentClass))
			}
			if len(r.sends) == 0 {
				t.Fatal("nothing was sent to the other worker")
			}
			for _, s := range r.sends {
				if s.worker == 100 {
					t.Fatal("sent to the worker that is draining or removed")
				}
			}
		})
	}
}

func TestListIsRequestedWithBackoff(t *testing.T) {
	set := testSettings()
	set.ListOnRequest = true
	r := newRecorder(t, set)
	r.updateWorkers(ListCached, readyWorkers(2)...)
	if r.watchCalls != 1 {
		t.Fatalf("%d calls at the start, want 1", r.watchCalls)
	}
	var calls []time.Duration
	for range 5 {
		began, before := r.now, r.watchCalls
		r.balancer.UpdateWorkers(r.now, ListUnavailable, nil)
		for r.watchCalls == before && r.now < began+time.Minute {
			r.advance(10 * time.Millisecond)
		}
		calls = append(calls, r.now-began)
	}
	if calls[0] >= set.Rules.ListPollInterval || calls[3] <= calls[0] {
		t.Errorf("waits after failures: %v, want them short at first, then longer", calls)
	}
}

// After a release most dispatchers start at once. If there are many, each requests the list at a different
// time; if there are few, they don't wait.
func TestManyDispatchersSpreadFirstListCalls(t *testing.T) {
	longest := testSettings().Classes[0].Timeout / firstListSpreadDivisor
	for _, dispatchers := range []int{1, listSpreadThreshold - 1, listSpreadThreshold, 48} {
		calledAt := map[time.Duration]int{}
		var last time.Duration
		for index := range dispatchers {
			set := testSettings()
			set.ListOnRequest, set.DispatcherCount, set.DispatcherIndex = true, dispatchers, index
			r := newRecorder(t, set)
			began := r.now
			r.updateWorkers(ListCached)
			for r.watchCalls == 0 {
				r.advance(time.Millisecond)
			}
			calledAt[r.now-began]++
			last = max(last, r.now-began)
		}
		if dispatchers < listSpreadThreshold && last > 0 {
			t.Errorf("one of %d dispatchers waits for %v, want no wait", dispatchers, last)
		}
		for at, n := range calledAt {
			if dispatchers >= listSpreadThreshold && (n > 1 || at > longest) {
				t.Errorf("%d of %d dispatchers request the list after %v", n, dispatchers, at)
			}
		}
	}
}

// Requests that arrive before the first list wait for it, but only for a part of their timeout.
func TestRequestsWaitForTheFirstList(t *testing.T) {
	set := testSettings()
	set.ListOnRequest = true
	r := newRecorder(t, set)
	r.updateWorkers(ListCached)
	early := testRequest(0, 0)
	r.submit(early)
	r.advance(100 * time.Millisecond)
	if got := r.requests[early.ID].final; got != "" || len(r.sends) != 0 {
		t.Fatalf("before the list: final response %q and %d sends, want none", got, len(r.sends))
	}
	r.updateWorkers(ListFull, readyWorkers(3)...)
	if len(r.sends) != 1 {
		t.Fatalf("%d sends after the list, want 1", len(r.sends))
	}

	r = newRecorder(t, set)
	r.updateWorkers(ListCached)
	late := testRequest(0, 0)
	late.Timeout = time.Second
	r.submit(late)
	r.advance(late.Timeout/firstListWaitDivisor + 100*time.Millisecond)
	if got := r.requests[late.ID].final; got != "rejected" {
		t.Errorf("after half of its timeout without a list: final response %q, want rejected", got)
	}
	disconnected := testRequest(1, 0)
	r = newRecorder(t, set)
	r.updateWorkers(ListCached)
	r.submit(disconnected)
	r.balancer.ClientDisconnected(disconnected.ID)
	r.updateWorkers(ListFull, readyWorkers(3)...)
	if len(r.sends) != 0 {
		t.Error("a request whose client has disconnected was sent after the list")
	}
}

// After an outage of discovery of any length, the list is requested within 6 s, because states that discovery
// reports afterwards count as known from then on.
func TestListIsRequestedSoonAfterLongOutage(t *testing.T) {
	for _, dispatchers := range []int{1, listSpreadThreshold, 300} {
		set := testSettings()
		set.ListOnRequest, set.DispatcherCount = true, dispatchers
		r := newRecorder(t, set)
		r.updateWorkers(ListCached)
		for range 40 {
			calls, began := r.watchCalls, r.now
			r.updateWorkers(ListUnavailable)
			for r.watchCalls == calls {
				r.advance(10 * time.Millisecond)
			}
			if waited := r.now - began; waited > maxListBackoff+20*time.Millisecond {
				t.Fatalf("one of %d dispatchers waits for %v", dispatchers, waited)
			}
		}
	}
}
