package platform

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// What the agent has counts as announced, whatever becomes of the watch and of single polls.
//
// The bound here is many times the grace: how fast this machine is must not decide. Without polls beside the
// watch none of these ends at all.
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

// From its first moment a process has to know what the agent has, and after an outage at once.
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

// An invalid list changes nothing, and a valid one after it is applied.
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
			t.Fatalf("truncated after %d bytes: the front takes the worker for %q", a.truncateAt, got)
		}
	}
	a.locked(func() { a.truncateAt, a.generation = 0, 51 })
	awaitState(t, f, "DRAINING", 20*drainGrace)
}

// After a reload the new address is watched from the first moment, whatever its generations are.
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
	a.setState("SERVING") // announced to a watch that the front has closed, or has not
	b.locked(func() { now = b.polls })
	for polled := 0; polled < now+6; time.Sleep(time.Millisecond) {
		b.locked(func() { polled = b.polls })
	}
	requireStateStays(t, f, "DRAINING")
	a.locked(func() {
		// One poll may have been on its way when the address changed, and is counted when it is read.
		if a.polls > old+1 {
			t.Errorf("the old address has been polled %d times since", a.polls-old)
		}
	})
}

// Where there is no local agent each call costs: the watch is all there is.
func TestRemoteDiscoveryIsWatchedNotPolled(t *testing.T) {
	t.Parallel()
	a := newDiscovery(t)
	f := newFront(t, "on_request", a)
	a.setState("DRAINING")
	awaitState(t, f, "DRAINING", 20*drainGrace)
	requireStateStays(t, f, "DRAINING")
	a.locked(func() {
		if a.polls != 0 || a.watches != 1 {
			t.Errorf("%d polls and %d watches", a.polls, a.watches)
		}
	})
}

// The list in the configuration may be outdated: it is not used until discovery has answered.
func TestConfiguredListWaitsForDiscovery(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a := newDiscovery(t)
			a.silentWatches, a.silentPolls = true, true
			f := newFront(t, mode, a)
			requireStateStays(t, f, "")
			if n, watched := f.inheritable(); n != 1 || watched {
				t.Errorf("%d workers are inherited by another process; relayed to others: %v", n, watched)
			}
			if ready := f.healthy(); ready {
				t.Error("ready with an unconfirmed list")
			}
			a.locked(func() { a.state, a.generation, a.silentWatches = "DRAINING", a.generation+1, false })
			awaitState(t, f, "DRAINING", 20*drainGrace)
			if ready := f.healthy(); !ready {
				t.Error("not ready with discovery's list")
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

// healthy reports the result of a health check.
func (f *Front) healthy() bool {
	got := make(chan error, 1)
	f.loop.Post(func() { got <- f.Ready() })
	return <-got == nil
}

// inheritable returns how many workers a process inherits that takes this one's place, and whether the list
// would be relayed to other instances.
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
