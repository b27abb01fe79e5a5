package rollout

import (
	"strings"
	"testing"
	"time"
)

var pol = Policy{CutOff: ByLease, Lease: time.Second, StageWithin: 20 * time.Second,
	HoldWithin: 300 * time.Millisecond}

// pair is a leader and the instances 1 and 2, with sessions that are open.
func pair(t *testing.T) (*State, *Leader, *Holder, *Holder) {
	t.Helper()
	s, l := NewState(), NewLeader(0, 1)
	a, b := NewHolder(1, 11), NewHolder(2, 22)
	for i, h := range []*Holder{a, b} {
		if err := s.Apply(Command{Kind: Open, Member: uint64(i + 1), Name: string(rune('a' + i)),
			Nonce: h.Nonce()}); err != nil {
			t.Fatal(err)
		}
	}
	a.Follow(s)
	b.Follow(s)
	return s, l, a, b
}

// renew has an instance ask at one time and the leader answer at another; the grant is given.
func renew(s *State, l *Leader, h *Holder, asked, heard time.Duration) Grant {
	h.Again()
	r, _ := h.Report(asked, pol)
	l.Heard(heard, r)
	return l.Grant(heard, r, s, pol)
}

var both = map[uint64]string{1: "a", 2: "b"}

// lapsed has the leader look often until a time, and says when it counted b as over.
func lapsed(s *State, l *Leader, a *Holder, from, until time.Duration) time.Duration {
	for now := from; now < until; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Look(now, s, pol, both) {
			if c.Kind == Lapse {
				return now
			}
		}
	}
	return 0
}

func TestLeaseCountsFromBeforeItWasAsked(t *testing.T) {
	s, l, a, b := pair(t)
	g := renew(s, l, b, 0, 500*time.Millisecond)
	at := lapsed(s, l, a, 500*time.Millisecond, 10*time.Second)
	if least := 500*time.Millisecond + Wait(pol.Lease); at < least {
		t.Fatalf("counted as over at %v, before %v", at, least)
	}
	// The answer comes only now. It is a lease of the past.
	b.Granted(g)
	if b.Permit(s, 1, pol).May(at, 1) {
		t.Error("a lease that the leader has counted as over admits jobs")
	}
}

// Clocks at 0.6 and 1.4 of the right pace: the holder's lease ends before the leader's count.
func TestWaitOutlastsTheLeaseAtAnyPace(t *testing.T) {
	for _, lease := range []time.Duration{50 * time.Millisecond, time.Second, time.Hour} {
		holder := float64(lease) / slowest
		leader := float64(Wait(lease)) / fastest
		if leader <= holder {
			t.Errorf("%v: the holder's takes up to %v, the leader waits as little as %v", lease,
				time.Duration(holder), time.Duration(leader))
		}
	}
}

func TestNewLeaderWaitsForWhatTheLastOneGranted(t *testing.T) {
	s, l, a, b := pair(t)
	b.Granted(renew(s, l, b, time.Second, time.Second))
	next := NewLeader(1100*time.Millisecond, 2)
	at := lapsed(s, next, a, 1100*time.Millisecond, 10*time.Second)
	if b.Permit(s, 1, pol).May(at, 1) || at < 1100*time.Millisecond+Wait(pol.Lease) {
		t.Errorf("the new leader counted it as over at %v", at)
	}
}

func TestNothingIsGrantedAfterItIsCountedAsOver(t *testing.T) {
	s, l, a, b := pair(t)
	at := lapsed(s, l, a, 0, 10*time.Second)
	// The word is in the log and not applied yet.
	if g := renew(s, l, b, at, at); g.For > 0 {
		t.Error("a lease is granted that the log may count as over at any time")
	}
}

// Who has died is counted as over once, and its last word opens nothing.
func TestTheDeadAreNotOpenedAgain(t *testing.T) {
	s, l, a, b := pair(t)
	renew(s, l, b, 0, 0)
	late := NewHolder(2, 23) // started again, it asks for a session and dies
	r, _ := late.Report(0, pol)
	l.Heard(0, r)
	opened := 0
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Look(now, s, pol, both) {
			if err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
			if c.Kind == Open {
				opened++
			}
		}
	}
	if opened != 1 || s.Sessions[2].Open {
		t.Errorf("opened %d times, and at the end %+v", opened, s.Sessions[2])
	}
}

// Words that were held back by a cut come all at once, before the first is acted on in the log: they open one
// session, and where the log has lost that they do so again.
func TestWordsAtOnceOpenOneSession(t *testing.T) {
	s, l, _, _ := pair(t)
	again := NewHolder(2, 23)
	opens := func(now time.Duration) (n int) {
		for range 15 {
			again.Again()
			r, _ := again.Report(now, pol)
			l.Heard(now, r)
			for _, c := range l.Look(now, s, pol, both) {
				if c.Kind == Open {
					n++
				}
			}
		}
		return n
	}
	if n := opens(0); n != 1 {
		t.Errorf("15 words at once open %d sessions", n)
	}
	if n := opens(pol.Lease); n != 1 {
		t.Errorf("a lease later, with none agreed on, %d are opened", n)
	}
}

func TestStalledLeaderDoesNotHoldAllForGone(t *testing.T) {
	s, l, a, b := pair(t)
	renew(s, l, a, 0, 0)
	renew(s, l, b, 0, 0)
	l.Look(0, s, pol, both)
	for _, c := range l.Look(30*time.Second, s, pol, both) {
		t.Errorf("woken, its first look is %v of %v", c.Kind, c.Seats)
	}
}

func TestAStallBeforeTheAdmissionIsSeen(t *testing.T) {
	s, l, _, b := pair(t)
	b.Granted(renew(s, l, b, 0, 0))
	p := b.Permit(s, 1, pol)
	if !p.May(999*time.Millisecond, 1) || p.May(time.Second, 1) || p.May(time.Minute, 1) {
		t.Errorf("the permit %+v does not end with its lease", p)
	}
	if p.May(0, 2) {
		t.Error("it admits under a policy that is not in force")
	}
}

func TestAnotherLifeHasNoLease(t *testing.T) {
	s, l, _, b := pair(t)
	b.Granted(renew(s, l, b, 0, 0))
	again := NewHolder(2, 23)
	again.Follow(s)
	if p := again.Permit(s, 1, pol); p.Open || !strings.Contains(p.Why, "since it started") {
		t.Errorf("started again, it has %+v", p)
	}
}

func TestJudgementsNeedEvidenceOfAll(t *testing.T) {
	s, _, _, _ := pair(t)
	s.Pending = &Pending{Change: "x", Revision: 2, Phase: Staging, Attempt: 1}
	seats := s.Seats()
	if err := s.Apply(Command{Kind: Hold, Change: "x", Attempt: 1, Seats: seats[:1]}); err == nil {
		t.Error("held without the word of all")
	}
	if err := s.Apply(Command{Kind: Hold, Change: "x", Attempt: 1, Seats: seats}); err != nil {
		t.Fatal(err)
	}
	// One comes in between the leader's look and its word.
	if err := s.Apply(Command{Kind: Open, Member: 3, Name: "c", Nonce: 33}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []Command{{Kind: Decide, Change: "x", Attempt: 1, Seats: seats},
		{Kind: Decide, Change: "y", Attempt: 1, Seats: s.Seats()}, {Kind: Decide, Change: "x", Attempt: 2,
			Seats: s.Seats()}} {
		if err := s.Apply(c); err == nil {
			t.Errorf("decided by %+v", c)
		}
	}
	if err := s.Apply(Command{Kind: Reopen, Change: "x", Attempt: 1}); err != nil || s.Pending.Attempt != 2 {
		t.Errorf("%v: %+v", err, s.Pending)
	}
}

// Where nothing runs out, a change that can't ask somebody is withdrawn, with its name.
func TestServeWithdrawsByName(t *testing.T) {
	s, l, a, _ := pair(t)
	serve := pol
	serve.CutOff = Serve
	s.Pending = &Pending{Change: "x", Revision: 2, Phase: Staging, Attempt: 1}
	a.Staged("x", nil)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Look(now, s, serve, both) {
			if c.Kind == Lapse {
				t.Fatal("a session of one that serves on is counted as over")
			}
			if c.Kind == Withdraw {
				if !strings.Contains(c.Reason, "b (not heard of)") || strings.Contains(c.Reason, "a (") {
					t.Errorf("withdrawn because of %q", c.Reason)
				}
				return
			}
		}
	}
	t.Error("not withdrawn in a minute")
}

func TestPoliciesThatMakeNoSense(t *testing.T) {
	for says, values := range map[string]map[string]string{
		"cut_off: \"x\" is not lease or serve": {"cut_off": "x"},
		"lease: \"1\" is not a time":           {"lease": "1"},
		"\"leese\" is no key":                  {"leese": "1s"},
		"stage_within: 20s is less than":       {"lease": "20s"},
		"hold_within: \"-1s\"":                 {"hold_within": "-1s"},
	} {
		if _, wrong := ReadPolicy(values); len(wrong) != 1 || !strings.Contains(wrong[0], says) {
			t.Errorf("%v: %v", values, wrong)
		}
	}
	if p, _ := ReadPolicy(map[string]string{"lease": "200ms"}); p.Bears(50*time.Millisecond) == nil ||
		p.Bears(40*time.Millisecond) != nil {
		t.Error("a lease of 200ms needs a tick of 40ms at the most")
	}
}
