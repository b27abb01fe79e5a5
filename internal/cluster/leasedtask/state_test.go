package leasedtask

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/replicated"
)

var open = func(Session) bool { return true }

// group is a state with one duty, held by member 1 under the number 1.
func group(t *testing.T) *State {
	t.Helper()
	s := NewState(0)
	do(t, s, Command{Kind: DeclareTasks, Tasks: []string{"a"}})
	do(t, s, Command{Kind: Assign, Task: "a", Session: Session{1, 10}, Name: "n1"})
	return s
}

func do(t *testing.T, s *State, c Command) {
	t.Helper()
	if err := s.Apply(c, open); err != nil {
		t.Fatalf("%v: %v", c.Kind, err)
	}
}

func TestWhatChangesNothing(t *testing.T) {
	for says, c := range map[string]Command{
		`there is no duty "b"; a are`:       {Kind: Assign, Task: "b"},
		"a is held by n1":                   {Kind: Assign, Task: "a", FencingToken: 1},
		"under the number 1, not 7":         {Kind: Release, Task: "a", FencingToken: 7},
		"is held under the number 1, not 0": {Kind: Expire, Task: "a"},
		"the note of a has changed since":   {Kind: UpdateNote, Task: "a", FencingToken: 1, NoteRevision: 3},
		"a note may have 4096 bytes, this has 5": {Kind: UpdateNote, Task: "a", FencingToken: 1,
			Note: make([]byte, 5000)},
		"a is not paused":                {Kind: Resume, Task: "a"},
		"a has had another holder since": {Kind: Transfer, Task: "a", FencingToken: 9},
	} {
		s := group(t)
		if err := s.Apply(c, open); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v: %v, want %q", c.Kind, err, says)
		}
		if d := s.Tasks["a"]; !d.IsHeld() || d.FencingToken != 1 || d.Note != nil || d.ReleaseReason != "" {
			t.Errorf("%v has changed %+v", c.Kind, d)
		}
	}
	s := group(t)
	do(t, s, Command{Kind: Release, Task: "a", FencingToken: 1})
	closed := func(Session) bool { return false }
	if s.Apply(
		Command{Kind: Assign, Task: "a", FencingToken: 1, Name: "n2", Session: Session{2, 3}},
		closed,
	) == nil {
		t.Error("given to one without a session")
	}
	if err := s.Apply(Command{Kind: Assign, Task: "a", FencingToken: 0, Session: Session{2, 3}},
		open); err == nil {
		t.Error("given by the judgement of before its last holder")
	}
	do(t, s, Command{Kind: Pause, Task: "a", Name: "op"})
	if err := s.Apply(Command{Kind: Assign, Task: "a", FencingToken: 1, Session: Session{2, 3}},
		open); err == nil {
		t.Error("given though it is paused")
	}
}

// Numbers only grow: over holders, over duties that go and come again, over a backup.
func TestNumbersOnlyGrow(t *testing.T) {
	s := group(t)
	do(t, s, Command{Kind: DeclareTasks, Tasks: []string{"b"}}) // a is held, and stays until it is given back
	if s.Tasks["a"].ReleaseReason == "" {
		t.Fatal("the holder of a duty that is no more is not asked for it")
	}
	do(t, s, Command{Kind: Release, Task: "a", FencingToken: 1})
	do(t, s, Command{Kind: DeclareTasks, Tasks: []string{"b"}})
	do(
		t,
		s,
		Command{Kind: Assign, Task: "b", FencingToken: s.Tasks["b"].FencingToken, Session: Session{2, 3}},
	)
	do(t, s, Command{Kind: DeclareTasks, Tasks: []string{"a", "b"}})
	do(
		t,
		s,
		Command{Kind: Assign, Task: "a", FencingToken: s.Tasks["a"].FencingToken, Session: Session{2, 3}},
	)
	if got := s.Tasks["a"].FencingToken; got != 3 {
		t.Errorf("a came again under the number %d, 2 was used last", got)
	}
	f := NewFence(map[string]uint64{"a": 3})
	var stale *StaleTokenError
	if err := f.Admit("a", 2); !errors.As(err, &stale) || stale.NewestToken != 3 {
		t.Errorf("an old number is taken: %v", err)
	}
	if f.Admit("a", 3) != nil || f.Admit("a", 4) != nil || f.Admit("a", 3) == nil || f.Admit("b", 0) == nil {
		t.Error("the fence takes what it must not, or not what it must")
	}
}

func view(now time.Duration, members ...Member) ClusterView {
	return ClusterView{Now: now, Lease: time.Second, Specs: []Spec{{Name: "a"}, {Name: "b"},
		{Name: "c", RequiredLabel: "disk", PreferredHolders: []string{"n3", "n2"}}}, Members: members,
		LeaseExpired: func(uint64) bool { return false }}
}

func three() []Member {
	return []Member{
		{Session: Session{1, 10}, Name: "n1", Healthy: true},
		{Session: Session{2, 11}, Name: "n2", Healthy: true,
			Labels: []string{
				"disk",
			}},
		{Session: Session{3, 12}, Name: "n3", Healthy: true, Labels: []string{"disk"}},
	}
}

// settle has the leader look and its words be agreed on until it has none.
func settle(t *testing.T, l *Assigner, s *State, v ClusterView) {
	t.Helper()
	for range 20 {
		out := l.Evaluate(s, v)
		if len(out) == 0 {
			return
		}
		for _, c := range out {
			do(t, s, c)
		}
	}
	t.Fatal("it does not settle")
}

func holders(s *State) (list []string) {
	for _, d := range s.List() {
		list = append(list, d.HolderName)
	}
	return list
}

func TestWhoHoldsWhat(t *testing.T) {
	s, l, who := NewState(0), NewAssigner(0, 1), three()
	settle(t, l, s, view(0, who...))
	if got := holders(s); got[2] != "n3" || got[0] == "" || got[1] == "" || got[0] == got[1] {
		t.Fatalf("held by %v", got)
	}
	// Whom it prefers goes and comes back: the duty goes on, and does not come back with it.
	who[2].Departing = true
	out := l.Evaluate(s, view(2*time.Second, who...))
	k := slices.IndexFunc(out, func(c Command) bool { return c.Kind == Transfer && c.Task == "c" })
	if k < 0 {
		t.Fatalf("about to go, it is not asked for its duty: %+v", out)
	}
	for _, c := range out {
		do(t, s, c)
	}
	do(t, s, Command{Kind: Release, Task: "c", FencingToken: s.Tasks["c"].FencingToken})
	settle(t, l, s, view(3*time.Second, who...))
	who[2].Departing = false
	settle(t, l, s, view(4*time.Second, who...))
	if got := holders(s); got[2] != "n2" {
		t.Fatalf("held by %v", got)
	}
	// One that has failed rests while there is another.
	do(t, s, Command{Kind: Release, Task: "c", FencingToken: s.Tasks["c"].FencingToken, Failed: true})
	settle(t, l, s, view(5*time.Second, who...))
	if got := holders(s); got[2] != "n3" {
		t.Fatalf("after a failure: %v", got)
	}
	// By wish, to one that is there; nobody that lacks what it asks for gets it.
	do(t, s, Command{Kind: Transfer, Task: "c", TransferTo: 1, Reason: "by wish"})
	do(t, s, Command{Kind: Release, Task: "c", FencingToken: s.Tasks["c"].FencingToken})
	settle(t, l, s, view(6*time.Second, who...))
	if got := holders(s); got[2] == "n1" {
		t.Fatalf("held by %v, and n1 has no disk", got)
	}
}

// Nobody holds all for long while others are free; duties don't go round in circles.
func TestSpread(t *testing.T) {
	s, l := NewState(0), NewAssigner(0, 1)
	one := three()[:1]
	v := ClusterView{Lease: time.Second, Specs: []Spec{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}},
		Members: one, LeaseExpired: func(uint64) bool { return false }}
	settle(t, l, s, v)
	moves := 0
	for v.Members, v.Now = three(), 0; v.Now < 200*time.Second; v.Now += time.Second {
		for _, c := range l.Evaluate(s, v) {
			if do(t, s, c); c.Kind == Transfer {
				moves++
				do(t, s, Command{Kind: Release, Task: c.Task, FencingToken: c.FencingToken})
			}
		}
	}
	held := load(s)
	if held[1] > 2 || held[1]+held[2]+held[3] != 4 || moves > 3 {
		t.Errorf("%v after %d moves", held, moves)
	}
}

// A lease that is over is asked about again until it is agreed; meanwhile none counts for duties.
func TestVacate(t *testing.T) {
	s, l := group(t), NewAssigner(0, 1)
	v := ClusterView{Lease: time.Second, Specs: []Spec{{Name: "a"}}, Members: three(),
		LeaseExpired: func(uint64) bool { return true }}
	out := l.Evaluate(s, v)
	if len(out) != 1 || out[0].Kind != Expire || l.CanGrant(1, s) || !l.CanGrant(2, s) {
		t.Fatalf("%+v", out)
	}
	// It is heard of again, and the word was lost.
	v.LeaseExpired, v.Now = func(uint64) bool { return false }, time.Second
	if out = l.Evaluate(s, v); len(out) != 1 || out[0].Kind != Expire || l.CanGrant(1, s) {
		t.Fatalf("%+v", out)
	}
	do(t, s, out[0])
	if !l.CanGrant(1, s) {
		t.Error("it gets no lease though it holds nothing")
	}
}

func TestLeaseOfAHolder(t *testing.T) {
	s, own := group(t), Session{1, 10}
	var h LeaseClock
	until := func() time.Duration { return h.HeldLeases(s, own, 4*time.Second)[0].ExpiresAt }
	h.ObserveGrant(10, 5*time.Second, 3*time.Second, 0, 99)
	if until() != 0 {
		t.Error("a lease that is not for duties counts")
	}
	h.ObserveGrant(10, 5*time.Second, 3*time.Second, 100, 99)
	if until() != 0 {
		t.Error("a lease counts though the state is older than the leader's")
	}
	if h.ObserveApplied(100); until() != 8*time.Second {
		t.Errorf("until %v", until())
	}
	h.ObserveGrant(10, 6*time.Second, 9*time.Second, 100, 100)
	if until() != 10*time.Second {
		t.Errorf("until %v under a shorter lease", until())
	}
	if held := h.HeldLeases(s, Session{1, 11}, time.Second); len(held) > 0 {
		t.Errorf("another session holds %v", held)
	}
	x := Lease{FencingToken: 1, ExpiresAt: 10}
	if !x.Valid(9) || x.Valid(10) || (Lease{ExpiresAt: 10}).Valid(1) {
		t.Error("it may act when it may not, or not when it may")
	}
}

func TestSectionIsRead(t *testing.T) {
	p, wrong := ParsePolicy(
		map[string]string{"drill": "2", "backup_every": "1h", "backup_prefer": "n2 n1"},
		6,
	)
	if len(wrong) > 0 || len(p.Specs()) != 3 || p.BackupsKept != 24 ||
		p.Specs()[0].RequiredLabel != BackupLabel {
		t.Errorf("%+v %v", p, wrong)
	}
	_, wrong = ParsePolicy(map[string]string{"drill": "x", "backup_every": "1ms", "backup_keep": "0",
		"bakup": "1"}, 7)
	for _, want := range []string{`drill: "x" is not a number`, `backup_every: "1ms" is not a time from 1s`,
		`backup_keep: "0" is not a number from 1`, `"bakup" is no key of this section`} {
		if !strings.Contains(strings.Join(wrong, "\n"), want) {
			t.Errorf("%v lacks %q", wrong, want)
		}
	}
	// A group in which an older program is judges as that does, word for word.
	p, wrong = ParsePolicy(map[string]string{"roll": "on"}, 6)
	if p.RollingRestart || len(wrong) != 1 ||
		wrong[0] != `"roll" is no key of this section; list, backup_every, `+
			`backup_keep, backup_prefer and drill are` {
		t.Errorf("%+v %v", p, wrong)
	}
	if p, wrong = ParsePolicy(map[string]string{"roll": "on"}, 7); !p.RollingRestart || len(wrong) > 0 {
		t.Errorf("%+v %v", p, wrong)
	}
}

// Who is believed to be ill is given a duty after all others, and where that is said of everybody one of
// them. A word on that which comes late does not take the place of a later one.
func TestDoubtsOrderAndBarNobody(t *testing.T) {
	s := NewState(0)
	seated := func(Session) bool { return true }
	if err := s.Apply(Command{Kind: DeclareTasks, Tasks: []string{"a"}}, seated); err != nil {
		t.Fatal(err)
	}
	goes := func(doubted ...bool) uint64 {
		v := ClusterView{Lease: time.Second, Specs: []Spec{{Name: "a", PreferredHolders: []string{"n1"}}},
			LeaseExpired: func(uint64) bool { return false }}
		for k, d := range doubted {
			v.Members = append(v.Members, Member{Session: Session{Member: uint64(k + 1), Epoch: 1},
				Name: fmt.Sprint("n", k+1), Healthy: true, Suspected: d})
		}
		for _, c := range NewAssigner(0, 1).Evaluate(s, v) {
			if c.Kind == Assign {
				return c.Session.Member
			}
		}
		return 0
	}
	for want, doubted := range map[uint64][]bool{
		1: {false, false}, 2: {true, false}, 3: {true, true, false}} {
		if got := goes(doubted...); got != want {
			t.Errorf("%v: %d is given it", doubted, got)
		}
	}
	if goes(true, true) != 1 {
		t.Error("all are doubted, and the preferred one is not given it")
	}
	p := Type{}.NewParticipant(replicated.LocalInfo{}).(*part)
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 2, Members: map[uint64]bool{7: true}})
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 1})
	if !p.doubts.Members[7] {
		t.Error("an older word takes the place of a later one")
	}
}
