package hotrestart

import (
	"slices"
	"testing"
	"time"
)

func TestTimeLine(t *testing.T) {
	old, successor := NewWithoutParent(), NewChild(time.Minute)
	step := func(m *Machine, e Event, phase Phase, want ...Effect) {
		t.Helper()
		if got := m.Step(e); !slices.Equal(got, want) || m.Phase() != phase {
			t.Fatalf("event %d: effects %v and %v, want %v and %v", e, got, m.Phase(), want, phase)
		}
	}
	step(old, TakeoverRequested, Offering, SendState)
	step(old, TakeoverRequested, Offering, RejectRequest)
	if !old.Ready(0) || successor.Ready(time.Hour) {
		t.Fatal("until the new one serves, the old one is the node")
	}
	step(old, ChildServes, ParentDraining, StopAccepting)
	step(old, ChildServes, ParentDraining)
	step(successor, ParentReleased, ServingBesideParent, ListenForChild)
	step(successor, TakeoverRequested, ServingBesideParent, RejectRequest)
	if old.Ready(0) || successor.Ready(time.Minute) || !successor.Ready(time.Minute+ParentGracePeriod) {
		t.Fatal("the new one says yes when the old one's time is up")
	}
	step(successor, ParentDrained, ServingBesideParent)
	if !successor.Ready(time.Minute) {
		t.Fatal("the old one has nothing left, and the new one still says no")
	}
	step(successor, PeerLost, Alone, CloseLink, RestoreLimits)
	step(successor, TakeoverRequested, Offering, SendState)
}

// Each death, at each step, leaves one process that serves with all the limits.
func TestDeaths(t *testing.T) {
	for _, c := range []struct {
		name   string
		m      *Machine
		before []Event
		last   Event
		want   []Effect
	}{
		{"the successor, before it serves", NewWithoutParent(), []Event{TakeoverRequested}, PeerLost,
			[]Effect{CloseLink, RestoreLimits}},
		{"the successor is slow", NewWithoutParent(), []Event{TakeoverRequested}, TimedOut,
			[]Effect{CloseLink, RestoreLimits}},
		{"the successor, while it serves", NewWithoutParent(), []Event{TakeoverRequested, ChildServes},
			PeerLost,
			[]Effect{CloseLink, RestoreLimits, ResumeAccepting, ListenForChild}},
		{"the old one, before it lets go", NewChild(0), nil, PeerLost, []Effect{CloseLink, RestoreLimits,
			ListenForChild}},
		{"the old one, after", NewChild(0), []Event{ParentReleased}, PeerLost, []Effect{CloseLink,
			RestoreLimits}},
		{"the old one is slow, and dies", NewChild(0), []Event{TimedOut}, PeerLost, []Effect{CloseLink,
			RestoreLimits}},
	} {
		for _, e := range c.before {
			c.m.Step(e)
		}
		if got := c.m.Step(c.last); !slices.Equal(got, c.want) || c.m.Phase() != Alone || !c.m.Ready(0) {
			t.Errorf("%s: %v, and then %v", c.name, got, c.m.Phase())
		}
	}
}

func TestParse(t *testing.T) {
	m := Message{Type: TypeState, Version: Version, State: &State{KnownEndpoints: []string{"a\nb"}}}
	line := m.Append(nil)
	if got, err := ParseMessage(line[:len(line)-1]); err != nil || got.State.KnownEndpoints[0] != "a\nb" ||
		slices.Contains(line[:len(line)-1], '\n') {
		t.Errorf("%q: %v", line, err)
	}
	for _, bad := range []string{"", "{", `{"t":"hello","v":2}`, `{"t":"state","v":1}`, `{"t":"ban"}`} {
		if _, err := ParseMessage([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
