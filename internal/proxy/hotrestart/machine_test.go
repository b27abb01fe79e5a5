package hotrestart

import (
	"slices"
	"testing"
	"time"
)

func TestTimeLine(t *testing.T) {
	old, successor := Old(), New(time.Minute)
	step := func(m *Machine, e Event, phase Phase, want ...Effect) {
		t.Helper()
		if got := m.Step(e); !slices.Equal(got, want) || m.Phase() != phase {
			t.Fatalf("event %d: effects %v and %v, want %v and %v", e, got, m.Phase(), want, phase)
		}
	}
	step(old, Asked, Offering, Offer)
	step(old, Asked, Offering, Refuse)
	if !old.Ready(0) || successor.Ready(time.Hour) {
		t.Fatal("until the new one serves, the old one is the node")
	}
	step(old, Take, Handed, LetGo)
	step(old, Take, Handed)
	step(successor, Taken, Beside, Next)
	step(successor, Asked, Beside, Refuse)
	if old.Ready(0) || successor.Ready(time.Minute) || !successor.Ready(time.Minute+Spare) {
		t.Fatal("the new one says yes when the old one's time is up")
	}
	step(successor, Empty, Beside)
	if !successor.Ready(time.Minute) {
		t.Fatal("the old one has nothing left, and the new one still says no")
	}
	step(successor, Gone, Alone, Hangup, Grow)
	step(successor, Asked, Offering, Offer)
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
		{"the successor, before it serves", Old(), []Event{Asked}, Gone, []Effect{Hangup, Grow}},
		{"the successor is slow", Old(), []Event{Asked}, Late, []Effect{Hangup, Grow}},
		{"the successor, while it serves", Old(), []Event{Asked, Take}, Gone,
			[]Effect{Hangup, Grow, Resume, Next}},
		{"the old one, before it lets go", New(0), nil, Gone, []Effect{Hangup, Grow, Next}},
		{"the old one, after", New(0), []Event{Taken}, Gone, []Effect{Hangup, Grow}},
		{"the old one is slow, and dies", New(0), []Event{Late}, Gone, []Effect{Hangup, Grow}},
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
	m := Message{Type: IsState, Version: Version, State: &State{Known: []string{"a\nb"}}}
	line := m.Append(nil)
	if got, err := Parse(line[:len(line)-1]); err != nil || got.State.Known[0] != "a\nb" ||
		slices.Contains(line[:len(line)-1], '\n') {
		t.Errorf("%q: %v", line, err)
	}
	for _, bad := range []string{"", "{", `{"t":"hello","v":2}`, `{"t":"state","v":1}`, `{"t":"ban"}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
