package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/discovery"
)

// The node counts as notified of every change that the agent knows, so a change must be applied even if the
// watch or single polls fail.
//
// The bound is many times drainGrace, so that the speed of the machine doesn't matter. Without polls in
// addition to the watch, none of the fault cases would end at all.
func TestAgentListIsAppliedThroughWatchAndPollFaults(t *testing.T) {
	const bound = 20 * drainGrace
	for name, fault := range map[string]func(a *fakeDiscovery){
		"no fault":     func(*fakeDiscovery) {},
		"silent watch": func(a *fakeDiscovery) { a.silentWatches = true },
		"silent watch, slow polls": func(a *fakeDiscovery) {
			a.silentWatches, a.pollDelay = true, 3*drainGrace/4
		},
		"silent polls": func(a *fakeDiscovery) { a.silentPolls = true },
		"indented": func(a *fakeDiscovery) {
			a.silentWatches, a.override = true, indented(a)
		},
		"watches that end, then silent": func(a *fakeDiscovery) {
			a.silentWatches = true
			close(a.endWatches)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newDiscovery(t)
			f := newFront(t, "pushed", a)
			awaitState(t, f, "SERVING", bound)
			a.locked(func() { a.state, a.generation = "DRAINING", a.generation+1; fault(a) })
			awaitState(t, f, "DRAINING", bound)
		})
	}
}

func indented(a *fakeDiscovery) string {
	var v any
	if err := json.Unmarshal([]byte(a.list()), &v); err != nil {
		panic(err)
	}
	text, _ := json.MarshalIndent(v, "", "  ")
	return string(text) + "\n"
}

// The agent's list must be applied directly after the start, and directly after an outage of the agent.
func TestAgentListIsAppliedAtStartAndAfterOutage(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	a.silentWatches = true
	f := newFront(t, "pushed", a)
	a.setState("DRAINING")
	awaitState(t, f, "DRAINING", 20*drainGrace)
	a.locked(func() { a.down = true; close(a.endWatches); a.endWatches = make(chan struct{}) })
	a.setState("SERVING")
	requireStateStays(t, f, "DRAINING")
	a.locked(func() { a.down = false })
	awaitState(t, f, "SERVING", 20*drainGrace)
}

// An invalid list changes nothing, and a valid list after it is applied.
func TestInvalidListsAreIgnored(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	a.silentWatches = true
	f := newFront(t, "pushed", a)
	a.locked(func() { a.generation = 50 })
	awaitState(t, f, "SERVING", 20*drainGrace)
	for name, text := range map[string]string{
		"foreign":           `{"status":"ok"}`,
		"foreign, not JSON": "<html>",
		"no instances":      `{"generation":60,"reset":true}`,
		"no id":             `{"generation":60,"reset":true,"instances":[{"lifecycle":"SERVING"}]}`,
		"a list":            `[]`,
		"endless":           strings.Repeat(" ", maxListBytes+1),
		"empty":             "null",
	} {
		a.locked(func() { a.override = text })
		requireStateStays(t, f, "SERVING")
		if t.Failed() {
			t.Fatal(name)
		}
	}
	a.locked(func() { a.override = "" })
	for a.truncateAt = 1; a.truncateAt < len(a.list()); a.locked(func() { a.truncateAt += 7 }) {
		calls := 0
		a.locked(func() { calls, a.state = a.polls, "DRAINING" })
		for done := false; !done; time.Sleep(time.Millisecond) {
			a.locked(func() { done = a.polls > calls+1 })
		}
		if got := f.firstWorkerState(); got != "SERVING" {
			t.Fatalf("list truncated after %d bytes: the worker's state in the front changed to %q",
				a.truncateAt, got)
		}
	}
	a.locked(func() { a.truncateAt, a.generation = 0, 51 })
	awaitState(t, f, "DRAINING", 20*drainGrace)
}

// After a reload the front watches the new address at once, even if its generations are lower.
func TestReloadFollowsNewAgentAddress(t *testing.T) {
	t.Parallel()
	a, b := newDiscovery(t), newDiscovery(t)
	a.generation = 90
	f := newFront(t, "pushed", a)
	b.locked(func() { b.state, b.silentWatches = "DRAINING", true })
	writeConfig(t, f.cfg.path, "pushed", b)
	f.loop.Post(f.Reload)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	old, now := 0, 0
	a.locked(func() { old = a.polls })
	a.setState("SERVING") // must not reach the front, whose watch of the old address is closed
	b.locked(func() { now = b.polls })
	for polled := 0; polled < now+6; time.Sleep(time.Millisecond) {
		b.locked(func() { polled = b.polls })
	}
	requireStateStays(t, f, "DRAINING")
	a.locked(func() {
		// One poll may have been in flight when the address changed.
		if a.polls > old+1 {
			t.Errorf("the old address was polled %d times after the reload", a.polls-old)
		}
	})
}

// Without a local agent each call costs discovery work, so the front opens one watch and sends no polls.
func TestRemoteDiscoveryIsWatchedNotPolled(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	f := newFront(t, "on_request", a)
	a.setState("DRAINING")
	awaitState(t, f, "DRAINING", 20*drainGrace)
	requireStateStays(t, f, "DRAINING")
	a.locked(func() {
		if a.polls != 0 || a.watches != 1 {
			t.Errorf("%d polls and %d watches, want 0 and 1", a.polls, a.watches)
		}
	})
}

// The list in the configuration may be out of date and must not be used until discovery has responded.
func TestConfiguredListWaitsForDiscovery(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a := newDiscovery(t)
			a.silentWatches, a.silentPolls = true, true
			f := newFront(t, mode, a)
			requireStateStays(t, f, "")
			if n, watched := f.inheritable(); n != 1 || watched {
				t.Errorf("%d workers are inherited by a new process, want 1; relayed: %v, want false",
					n, watched)
			}
			if ready := f.healthy(); ready {
				t.Error("ready before discovery confirmed the list")
			}
			a.locked(func() { a.state, a.generation, a.silentWatches = "DRAINING", a.generation+1, false })
			awaitState(t, f, "DRAINING", 20*drainGrace)
			if ready := f.healthy(); !ready {
				t.Error("not ready after discovery sent a list")
			}
		})
	}
}

// A watch that sends only a heartbeat confirms the configured list.
func TestHeartbeatConfirmsConfiguredList(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	a.override = "\n"
	f := newFront(t, "on_request", a)
	awaitState(t, f, "SERVING", 20*drainGrace)
}

// healthy reports whether a health check would succeed.
func (f *Front) healthy() bool {
	got := make(chan error, 1)
	f.loop.Post(func() { got <- f.Ready() })
	return <-got == nil
}

// inheritable returns the number of workers that a process replacing this one would inherit, and whether the
// list would be relayed to other instances.
func (f *Front) inheritable() (n int, watched bool) {
	done := make(chan struct{})
	f.loop.Post(func() {
		var lines []workerEntry
		if _, raw, err := f.CurrentList(); err == nil {
			_ = json.Unmarshal(raw, &lines)
		}
		n, watched = len(lines), f.WatchesDiscovery()
		close(done)
	})
	<-done
	return n, watched
}

// Guards against a relayed list that replaces a newer one: the relaying instance's watch has fallen silent,
// and this front has heard from discovery itself that a worker drains.
func TestRelayedListNeverReplacesANewerOne(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	f := newFront(t, "on_request", a)
	awaitState(t, f, "SERVING", 20*drainGrace)
	relayed := func(generation int) error {
		var text string
		a.locked(func() {
			text = strings.Replace(a.list(), fmt.Sprint(a.generation), fmt.Sprint(generation), 1)
		})
		text = strings.Replace(text, "DRAINING", "SERVING", 1)
		result := make(chan error, 1)
		f.loop.Post(func() { result <- f.ApplyList([]byte(text)) })
		return <-result
	}
	a.setState("DRAINING") // generation 42
	awaitState(t, f, "DRAINING", 20*drainGrace)
	var stale *discovery.StaleListError
	if err := relayed(41); !errors.As(err, &stale) || f.firstWorkerState() != "DRAINING" {
		t.Errorf("an older relayed list: error %v and state %s, want it dropped", err, f.firstWorkerState())
	}
	if err := relayed(43); err != nil || f.firstWorkerState() != "SERVING" {
		t.Errorf("a newer relayed list: error %v and state %s, want it applied", err, f.firstWorkerState())
	}
}

// An instance whose watch has fallen silent must not claim to be current towards those that it relays the
// list to.
func TestSilentWatchIsNotCurrent(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	f := newFront(t, "on_request", a)
	awaitState(t, f, "SERVING", 20*drainGrace)
	watches := func() bool {
		result := make(chan bool, 1)
		f.loop.Post(func() { result <- f.WatchesDiscovery() })
		return <-result
	}
	if !watches() {
		t.Fatal("the front does not watch although discovery has just sent a list")
	}
	a.locked(func() { a.silentWatches = true })
	time.Sleep(discovery.WatchCurrentTime + 200*time.Millisecond)
	if watches() {
		t.Errorf("the front claims to be current %v after the last message", discovery.WatchCurrentTime)
	}
}
