package leasedtask

import (
	"errors"
	"strings"
	"testing"
)

func everySessionOpen(Session) bool { return true }

// stateWithHolder returns a state with one task a, held by member 1 under the fencing token 1.
func stateWithHolder(t *testing.T) *State {
	t.Helper()
	s := NewState(0)
	apply(t, s, Command{Kind: DeclareTasks, Tasks: []string{"a"}})
	apply(t, s, Command{Kind: Assign, Task: "a", Session: Session{1, 10}, Name: "n1"})
	return s
}

func apply(t *testing.T, s *State, c Command) {
	t.Helper()
	if err := s.Apply(c, everySessionOpen); err != nil {
		t.Fatalf("%v: %v", c.Kind, err)
	}
}

func TestRejectedCommandsChangeNothing(t *testing.T) {
	for want, c := range map[string]Command{
		`there is no duty "b"; a are`:       {Kind: Assign, Task: "b"},
		"a is held by n1":                   {Kind: Assign, Task: "a", FencingToken: 1},
		"under the number 1, not 7":         {Kind: Release, Task: "a", FencingToken: 7},
		"is held under the number 1, not 0": {Kind: Expire, Task: "a"},
		"the note of a has changed since": {Kind: UpdateNote, Task: "a", FencingToken: 1,
			NoteRevision: 3},
		"a note may have 4096 bytes, this has 5": {Kind: UpdateNote, Task: "a", FencingToken: 1,
			Note: make([]byte, 5000)},
		"a is not paused":                {Kind: Resume, Task: "a"},
		"a has had another holder since": {Kind: Transfer, Task: "a", FencingToken: 9},
	} {
		t.Run(want, func(t *testing.T) {
			s := stateWithHolder(t)
			if err := s.Apply(c, everySessionOpen); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v: got the error %v, want %q", c.Kind, err, want)
			}
			if a := s.Tasks["a"]; !a.IsHeld() || a.FencingToken != 1 || a.Note != nil ||
				a.ReleaseReason != "" {
				t.Errorf("the rejected command %v has changed the task: %+v", c.Kind, a)
			}
		})
	}
}

func TestAssignmentsThatAreRejected(t *testing.T) {
	s := stateWithHolder(t)
	apply(t, s, Command{Kind: Release, Task: "a", FencingToken: 1})
	c := Command{Kind: Assign, Task: "a", FencingToken: 1, Name: "n2", Session: Session{2, 3}}
	if s.Apply(c, func(Session) bool { return false }) == nil {
		t.Error("assigned to an instance without a session")
	}
	stale := c
	stale.FencingToken = 0
	if s.Apply(stale, everySessionOpen) == nil {
		t.Error("assigned by a decision from before the last assignment")
	}
	apply(t, s, Command{Kind: Pause, Task: "a", Name: "op"})
	if s.Apply(c, everySessionOpen) == nil {
		t.Error("assigned although the task is paused")
	}
}

// Fencing tokens grow with every assignment, also of a task that is removed and declared again.
func TestFencingTokensOnlyGrow(t *testing.T) {
	s := stateWithHolder(t)
	apply(t, s, Command{Kind: DeclareTasks, Tasks: []string{"b"}}) // a is held, and is kept until its release
	if s.Tasks["a"].ReleaseReason == "" {
		t.Fatal("the holder of a removed task is not asked to release it")
	}
	assign := func(task string) {
		t.Helper()
		apply(t, s, Command{Kind: Assign, Task: task, FencingToken: s.Tasks[task].FencingToken,
			Session: Session{2, 3}})
	}
	apply(t, s, Command{Kind: Release, Task: "a", FencingToken: 1})
	apply(t, s, Command{Kind: DeclareTasks, Tasks: []string{"b"}})
	assign("b")
	apply(t, s, Command{Kind: DeclareTasks, Tasks: []string{"a", "b"}})
	assign("a")
	if got := s.Tasks["a"].FencingToken; got != 3 {
		t.Errorf("a, declared again, is assigned under the token %d, want 3", got)
	}
}

func TestFenceRejectsEarlierTokens(t *testing.T) {
	f := NewFence(map[string]uint64{"a": 3})
	var stale *StaleTokenError
	if err := f.Admit("a", 2); !errors.As(err, &stale) || stale.NewestToken != 3 {
		t.Errorf("got %v for an earlier token, want a StaleTokenError with the newest token 3", err)
	}
	for _, x := range []struct {
		task  string
		token uint64
		want  bool
	}{{"a", 3, true}, {"a", 4, true}, {"a", 3, false}, {"b", 0, false}} {
		if got := f.Admit(x.task, x.token) == nil; got != x.want {
			t.Errorf("%s under the token %d: admitted %v, want %v", x.task, x.token, got, x.want)
		}
	}
}

func TestLeaseIsValidUntilItExpires(t *testing.T) {
	l := Lease{FencingToken: 1, ExpiresAt: 10}
	if !l.Valid(9) || l.Valid(10) || (Lease{ExpiresAt: 10}).Valid(1) {
		t.Error("a lease must be valid before it expires, and not afterwards or without a fencing token")
	}
}

func TestHeldByReturnsTheLeasesOfOneSession(t *testing.T) {
	s := stateWithHolder(t)
	if held := s.HeldBy(Session{1, 10}, 5); len(held) != 1 || held[0].Task != "a" || held[0].ExpiresAt != 5 ||
		held[0].FencingToken != 1 {
		t.Errorf("the holder's session holds %+v, want task a", held)
	}
	for _, other := range []Session{{1, 11}, {2, 10}, {}} {
		if held := s.HeldBy(other, 5); len(held) > 0 {
			t.Errorf("session %+v holds %+v, want nothing", other, held)
		}
	}
}
