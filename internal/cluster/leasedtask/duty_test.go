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

var open = func(Seat) bool { return true }

// group is a state with one duty, held by member 1 under the number 1.
func group(t *testing.T) *State {
	t.Helper()
	s := NewState(0)
	do(t, s, Command{Kind: Declare, Names: []string{"a"}})
	do(t, s, Command{Kind: Assign, Duty: "a", Seat: Seat{1, 10}, Name: "n1"})
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
		`there is no duty "b"; a are`:       {Kind: Assign, Duty: "b"},
		"a is held by n1":                   {Kind: Assign, Duty: "a", Number: 1},
		"under the number 1, not 7":         {Kind: Release, Duty: "a", Number: 7},
		"is held under the number 1, not 0": {Kind: Vacate, Duty: "a"},
		"the note of a has changed since":   {Kind: Note, Duty: "a", Number: 1, Turn: 3},
		"a note may have 4096 bytes, this has 5": {Kind: Note, Duty: "a", Number: 1,
			Note: make([]byte, 5000)},
		"a is not paused":                {Kind: Resume, Duty: "a"},
		"a has had another holder since": {Kind: HandOn, Duty: "a", Number: 9},
	} {
		s := group(t)
		if err := s.Apply(c, open); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v: %v, want %q", c.Kind, err, says)
		}
		if d := s.Duties["a"]; !d.Held() || d.Number != 1 || d.Note != nil || d.Leaving != "" {
			t.Errorf("%v has changed %+v", c.Kind, d)
		}
	}
	s := group(t)
	do(t, s, Command{Kind: Release, Duty: "a", Number: 1})
	closed := func(Seat) bool { return false }
	if s.Apply(Command{Kind: Assign, Duty: "a", Number: 1, Name: "n2", Seat: Seat{2, 3}}, closed) == nil {
		t.Error("given to one without a session")
	}
	if err := s.Apply(Command{Kind: Assign, Duty: "a", Number: 0, Seat: Seat{2, 3}}, open); err == nil {
		t.Error("given by the judgement of before its last holder")
	}
	do(t, s, Command{Kind: Pause, Duty: "a", Name: "op"})
	if err := s.Apply(Command{Kind: Assign, Duty: "a", Number: 1, Seat: Seat{2, 3}}, open); err == nil {
		t.Error("given though it is paused")
	}
}

// Numbers only grow: over holders, over duties that go and come again, over a backup.
func TestNumbersOnlyGrow(t *testing.T) {
	s := group(t)
	do(t, s, Command{Kind: Declare, Names: []string{"b"}}) // a is held, and stays until it is given back
	if s.Duties["a"].Leaving == "" {
		t.Fatal("the holder of a duty that is no more is not asked for it")
	}
	do(t, s, Command{Kind: Release, Duty: "a", Number: 1})
	do(t, s, Command{Kind: Declare, Names: []string{"b"}})
	do(t, s, Command{Kind: Assign, Duty: "b", Number: s.Duties["b"].Number, Seat: Seat{2, 3}})
	do(t, s, Command{Kind: Declare, Names: []string{"a", "b"}})
	do(t, s, Command{Kind: Assign, Duty: "a", Number: s.Duties["a"].Number, Seat: Seat{2, 3}})
	if got := s.Duties["a"].Number; got != 3 {
		t.Errorf("a came again under the number %d, 2 was used last", got)
	}
	f := NewFence(map[string]uint64{"a": 3})
	var stale *StaleError
	if err := f.Admit("a", 2); !errors.As(err, &stale) || stale.Seen != 3 {
		t.Errorf("an old number is taken: %v", err)
	}
	if f.Admit("a", 3) != nil || f.Admit("a", 4) != nil || f.Admit("a", 3) == nil || f.Admit("b", 0) == nil {
		t.Error("the fence takes what it must not, or not what it must")
	}
}

func view(now time.Duration, members ...Member) View {
	return View{Now: now, Lease: time.Second, Specs: []Spec{{Name: "a"}, {Name: "b"},
		{Name: "c", Label: "disk", Prefer: []string{"n3", "n2"}}}, Members: members,
		Over: func(uint64) bool { return false }}
}

func three() []Member {
	return []Member{{Seat: Seat{1, 10}, Name: "n1", Well: true}, {Seat: Seat{2, 11}, Name: "n2", Well: true,
		Labels: []string{"disk"}}, {Seat: Seat{3, 12}, Name: "n3", Well: true, Labels: []string{"disk"}}}
}

// settle has the leader look and its words be agreed on until it has none.
func settle(t *testing.T, l *Leader, s *State, v View) {
	t.Helper()
	for range 20 {
		out := l.Look(s, v)
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
		list = append(list, d.Of)
	}
	return list
}

func TestWhoHoldsWhat(t *testing.T) {
	s, l, who := NewState(0), NewLeader(0, 1), three()
	settle(t, l, s, view(0, who...))
	if got := holders(s); got[2] != "n3" || got[0] == "" || got[1] == "" || got[0] == got[1] {
		t.Fatalf("held by %v", got)
	}
	// Whom it prefers goes and comes back: the duty goes on, and does not come back with it.
	who[2].Away = true
	out := l.Look(s, view(2*time.Second, who...))
	k := slices.IndexFunc(out, func(c Command) bool { return c.Kind == HandOn && c.Duty == "c" })
	if k < 0 {
		t.Fatalf("about to go, it is not asked for its duty: %+v", out)
	}
	for _, c := range out {
		do(t, s, c)
	}
	do(t, s, Command{Kind: Release, Duty: "c", Number: s.Duties["c"].Number})
	settle(t, l, s, view(3*time.Second, who...))
	who[2].Away = false
	settle(t, l, s, view(4*time.Second, who...))
	if got := holders(s); got[2] != "n2" {
		t.Fatalf("held by %v", got)
	}
	// One that has failed rests while there is another.
	do(t, s, Command{Kind: Release, Duty: "c", Number: s.Duties["c"].Number, Failed: true})
	settle(t, l, s, view(5*time.Second, who...))
	if got := holders(s); got[2] != "n3" {
		t.Fatalf("after a failure: %v", got)
	}
	// By wish, to one that is there; nobody that lacks what it asks for gets it.
	do(t, s, Command{Kind: HandOn, Duty: "c", To: 1, Reason: "by wish"})
	do(t, s, Command{Kind: Release, Duty: "c", Number: s.Duties["c"].Number})
	settle(t, l, s, view(6*time.Second, who...))
	if got := holders(s); got[2] == "n1" {
		t.Fatalf("held by %v, and n1 has no disk", got)
	}
}

// Nobody holds all for long while others are free; duties don't go round in circles.
func TestSpread(t *testing.T) {
	s, l := NewState(0), NewLeader(0, 1)
	one := three()[:1]
	v := View{Lease: time.Second, Specs: []Spec{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}},
		Members: one, Over: func(uint64) bool { return false }}
	settle(t, l, s, v)
	moves := 0
	for v.Members, v.Now = three(), 0; v.Now < 200*time.Second; v.Now += time.Second {
		for _, c := range l.Look(s, v) {
			if do(t, s, c); c.Kind == HandOn {
				moves++
				do(t, s, Command{Kind: Release, Duty: c.Duty, Number: c.Number})
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
	s, l := group(t), NewLeader(0, 1)
	v := View{Lease: time.Second, Specs: []Spec{{Name: "a"}}, Members: three(),
		Over: func(uint64) bool { return true }}
	out := l.Look(s, v)
	if len(out) != 1 || out[0].Kind != Vacate || l.Free(1, s) || !l.Free(2, s) {
		t.Fatalf("%+v", out)
	}
	// It is heard of again, and the word was lost.
	v.Over, v.Now = func(uint64) bool { return false }, time.Second
	if out = l.Look(s, v); len(out) != 1 || out[0].Kind != Vacate || l.Free(1, s) {
		t.Fatalf("%+v", out)
	}
	do(t, s, out[0])
	if !l.Free(1, s) {
		t.Error("it gets no lease though it holds nothing")
	}
}

func TestLeaseOfAHolder(t *testing.T) {
	s, own := group(t), Seat{1, 10}
	var h Holder
	until := func() time.Duration { return h.Holds(s, own, 4*time.Second)[0].Until }
	h.Granted(10, 5*time.Second, 3*time.Second, 0, 99)
	if until() != 0 {
		t.Error("a lease that is not for duties counts")
	}
	h.Granted(10, 5*time.Second, 3*time.Second, 100, 99)
	if until() != 0 {
		t.Error("a lease counts though the state is older than the leader's")
	}
	if h.Applied(100); until() != 8*time.Second {
		t.Errorf("until %v", until())
	}
	h.Granted(10, 6*time.Second, 9*time.Second, 100, 100)
	if until() != 10*time.Second {
		t.Errorf("until %v under a shorter lease", until())
	}
	if held := h.Holds(s, Seat{1, 11}, time.Second); len(held) > 0 {
		t.Errorf("another session holds %v", held)
	}
	x := Held{Number: 1, Until: 10}
	if !x.May(9) || x.May(10) || (Held{Until: 10}).May(1) {
		t.Error("it may act when it may not, or not when it may")
	}
}

func TestSectionIsRead(t *testing.T) {
	p, wrong := ReadPolicy(map[string]string{"drill": "2", "backup_every": "1h", "backup_prefer": "n2 n1"}, 6)
	if len(wrong) > 0 || len(p.Specs()) != 3 || p.Keep != 24 || p.Specs()[0].Label != CanBackup {
		t.Errorf("%+v %v", p, wrong)
	}
	_, wrong = ReadPolicy(map[string]string{"drill": "x", "backup_every": "1ms", "backup_keep": "0",
		"bakup": "1"}, 7)
	for _, want := range []string{`drill: "x" is not a number`, `backup_every: "1ms" is not a time from 1s`,
		`backup_keep: "0" is not a number from 1`, `"bakup" is no key of this section`} {
		if !strings.Contains(strings.Join(wrong, "\n"), want) {
			t.Errorf("%v lacks %q", wrong, want)
		}
	}
	// A group in which an older program is judges as that does, word for word.
	p, wrong = ReadPolicy(map[string]string{"roll": "on"}, 6)
	if p.Roll || len(wrong) != 1 || wrong[0] != `"roll" is no key of this section; list, backup_every, `+
		`backup_keep, backup_prefer and drill are` {
		t.Errorf("%+v %v", p, wrong)
	}
	if p, wrong = ReadPolicy(map[string]string{"roll": "on"}, 7); !p.Roll || len(wrong) > 0 {
		t.Errorf("%+v %v", p, wrong)
	}
}

// Who is believed to be ill is given a duty after all others, and where that is said of everybody one of
// them. A word on that which comes late does not take the place of a later one.
func TestDoubtsOrderAndBarNobody(t *testing.T) {
	s := NewState(0)
	seated := func(Seat) bool { return true }
	if err := s.Apply(Command{Kind: Declare, Names: []string{"a"}}, seated); err != nil {
		t.Fatal(err)
	}
	goes := func(doubted ...bool) uint64 {
		v := View{Lease: time.Second, Specs: []Spec{{Name: "a", Prefer: []string{"n1"}}},
			Over: func(uint64) bool { return false }}
		for k, d := range doubted {
			v.Members = append(v.Members, Member{Seat: Seat{Member: uint64(k + 1), Epoch: 1},
				Name: fmt.Sprint("n", k+1), Well: true, Doubted: d})
		}
		for _, c := range NewLeader(0, 1).Look(s, v) {
			if c.Kind == Assign {
				return c.Seat.Member
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
	p := Subject{}.Part(replicated.Own{}).(*part)
	p.Take(replicated.View{}, Doubts{Seq: 2, Of: map[uint64]bool{7: true}})
	p.Take(replicated.View{}, Doubts{Seq: 1})
	if !p.doubts.Of[7] {
		t.Error("an older word takes the place of a later one")
	}
}
