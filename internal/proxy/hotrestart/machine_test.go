package hotrestart

import (
	"slices"
	"testing"
	"time"
)

// A child takes over while its parent drains, and can become a parent itself when the old one has ended.
func TestTakeoverTimeline(t *testing.T) {
	parent, child := NewWithoutParent(), NewChild(time.Minute)
	step := func(m *Machine, e Event, phase Phase, want ...Effect) {
		t.Helper()
		if got := m.Step(e); !slices.Equal(got, want) || m.Phase() != phase {
			t.Fatalf("event %d: got effects %v and phase %v, want %v and %v", e, got, m.Phase(), want, phase)
		}
	}
	step(parent, TakeoverRequested, Offering, SendState)
	step(parent, TakeoverRequested, Offering, RejectTakeover)
	if !parent.Ready(0) || child.Ready(time.Hour) {
		t.Fatal("only the parent must be ready until the child serves")
	}
	step(parent, ChildServes, ParentDraining, StopAccepting)
	step(parent, ChildServes, ParentDraining)
	step(child, ParentReleased, ServingAlongsideParent, ListenForChild)
	step(child, TakeoverRequested, ServingAlongsideParent, RejectTakeover)
	if parent.Ready(0) || child.Ready(time.Minute) || !child.Ready(time.Minute+parentGracePeriod) {
		t.Fatal("only the child must be ready, and only after its parent's grace period")
	}
	step(child, ParentDrained, ServingAlongsideParent)
	if !child.Ready(time.Minute) {
		t.Fatal("the child is not ready although its parent has drained")
	}
	step(child, PeerLost, Alone, CloseLink, RestoreLimits)
	step(child, TakeoverRequested, Offering, SendState)
}

// If a process dies at any step of a hot restart, the other one must serve with the full limits.
func TestDeathAtEachStepLeavesOneServingProcess(t *testing.T) {
	for _, c := range []struct {
		name   string
		m      *Machine
		before []Event
		last   Event
		want   []Effect
	}{
		{"the child, before it serves", NewWithoutParent(),
			[]Event{TakeoverRequested}, PeerLost,
			[]Effect{CloseLink, RestoreLimits}},
		{"the child is slow", NewWithoutParent(),
			[]Event{TakeoverRequested}, TimedOut,
			[]Effect{CloseLink, RestoreLimits}},
		{"the child, while it serves", NewWithoutParent(),
			[]Event{TakeoverRequested, ChildServes}, PeerLost,
			[]Effect{CloseLink, RestoreLimits, ResumeAccepting, ListenForChild}},
		{"the parent, before it stops accepting", NewChild(0),
			nil, PeerLost,
			[]Effect{CloseLink, RestoreLimits, ListenForChild}},
		{"the parent, after it stopped accepting", NewChild(0),
			[]Event{ParentReleased}, PeerLost,
			[]Effect{CloseLink, RestoreLimits}},
		{"the parent is slow, and dies", NewChild(0),
			[]Event{TimedOut}, PeerLost,
			[]Effect{CloseLink, RestoreLimits}},
	} {
		for _, e := range c.before {
			c.m.Step(e)
		}
		if got := c.m.Step(c.last); !slices.Equal(got, c.want) || c.m.Phase() != Alone || !c.m.Ready(0) {
			t.Errorf("%s: got effects %v and phase %v, want restored limits and the phase Alone",
				c.name, got, c.m.Phase())
		}
	}
}

func TestParseMessage(t *testing.T) {
	m := Message{Type: TypeState, Version: Version, State: &State{KnownEndpoints: []string{"a\nb"}}}
	line := m.Append(nil)
	if got, err := ParseMessage(line[:len(line)-1]); err != nil || got.State.KnownEndpoints[0] != "a\nb" ||
		slices.Contains(line[:len(line)-1], '\n') {
		t.Errorf("%q was not parsed unchanged from one line, error %v", line, err)
	}
	for _, bad := range []string{"", "{", `{"t":"hello","v":2}`, `{"t":"state","v":1}`, `{"t":"ban"}`} {
		if _, err := ParseMessage([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
