package rollout

import (
	"strings"
	"testing"
	"time"
)

var pol = Policy{WhenIsolated: StopAtLeaseExpiry, Lease: time.Second, StagingTimeout: 20 * time.Second,
	MaxAdmissionPause: 300 * time.Millisecond}

// pair is a leader and the instances 1 and 2, with sessions that are open.
func pair(t *testing.T) (*State, *Leader, *LeaseHolder, *LeaseHolder) {
	t.Helper()
	s, l := NewState(), NewLeader(0, 1)
	a, b := NewLeaseHolder(1, 11), NewLeaseHolder(2, 22)
	for i, h := range []*LeaseHolder{a, b} {
		if err := s.Apply(Command{Kind: OpenSession, Member: uint64(i + 1), Name: string(rune('a' + i)),
			Incarnation: h.Incarnation()}); err != nil {
			t.Fatal(err)
		}
	}
	a.ObserveState(s)
	b.ObserveState(s)
	return s, l, a, b
}

// renew has an instance ask at one time and the leader answer at another; the grant is given.
func renew(s *State, l *Leader, h *LeaseHolder, asked, heard time.Duration) Grant {
	h.ReportNow()
	r, _ := h.NextReport(asked, pol)
	l.ObserveReport(heard, r)
	return l.Grant(heard, r, s, pol)
}

var both = map[uint64]string{1: "a", 2: "b"}

// lapsed has the leader look often until a time, and says when it counted b as over.
func lapsed(s *State, l *Leader, a *LeaseHolder, from, until time.Duration) time.Duration {
	for now := from; now < until; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Evaluate(now, s, pol, both) {
			if c.Kind == ExpireSessions {
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
	if least := 500*time.Millisecond + ExpiryWait(pol.Lease); at < least {
		t.Fatalf("counted as over at %v, before %v", at, least)
	}
	// The answer comes only now. It is a lease of the past.
	b.ObserveGrant(g)
	if b.Permit(s, 1, pol).Admits(at, 1) {
		t.Error("a lease that the leader has counted as over admits jobs")
	}
}

// Clocks at 0.6 and 1.4 of the right pace: the holder's lease ends before the leader's count.
func TestWaitOutlastsTheLeaseAtAnyPace(t *testing.T) {
	for _, lease := range []time.Duration{50 * time.Millisecond, time.Second, time.Hour} {
		holder := float64(lease) / slowest
		leader := float64(ExpiryWait(lease)) / fastest
		if leader <= holder {
			t.Errorf("%v: the holder's takes up to %v, the leader waits as little as %v", lease,
				time.Duration(holder), time.Duration(leader))
		}
	}
}

func TestNewLeaderWaitsForWhatTheLastOneGranted(t *testing.T) {
	s, l, a, b := pair(t)
	b.ObserveGrant(renew(s, l, b, time.Second, time.Second))
	next := NewLeader(1100*time.Millisecond, 2)
	at := lapsed(s, next, a, 1100*time.Millisecond, 10*time.Second)
	if b.Permit(s, 1, pol).Admits(at, 1) || at < 1100*time.Millisecond+ExpiryWait(pol.Lease) {
		t.Errorf("the new leader counted it as over at %v", at)
	}
}

func TestNothingIsGrantedAfterItIsCountedAsOver(t *testing.T) {
	s, l, a, b := pair(t)
	at := lapsed(s, l, a, 0, 10*time.Second)
	// The word is in the log and not applied yet.
	if g := renew(s, l, b, at, at); g.Duration > 0 {
		t.Error("a lease is granted that the log may count as over at any time")
	}
}

// Who has died is counted as over once, and its last word opens nothing.
func TestTheDeadAreNotOpenedAgain(t *testing.T) {
	s, l, a, b := pair(t)
	renew(s, l, b, 0, 0)
	late := NewLeaseHolder(2, 23) // started again, it asks for a session and dies
	r, _ := late.NextReport(0, pol)
	l.ObserveReport(0, r)
	opened := 0
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Evaluate(now, s, pol, both) {
			if err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
			if c.Kind == OpenSession {
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
	again := NewLeaseHolder(2, 23)
	opens := func(now time.Duration) (n int) {
		for range 15 {
			again.ReportNow()
			r, _ := again.NextReport(now, pol)
			l.ObserveReport(now, r)
			for _, c := range l.Evaluate(now, s, pol, both) {
				if c.Kind == OpenSession {
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
	l.Evaluate(0, s, pol, both)
	for _, c := range l.Evaluate(30*time.Second, s, pol, both) {
		t.Errorf("woken, its first look is %v of %v", c.Kind, c.Sessions)
	}
}

func TestAStallBeforeTheAdmissionIsSeen(t *testing.T) {
	s, l, _, b := pair(t)
	b.ObserveGrant(renew(s, l, b, 0, 0))
	p := b.Permit(s, 1, pol)
	if !p.Admits(999*time.Millisecond, 1) || p.Admits(time.Second, 1) || p.Admits(time.Minute, 1) {
		t.Errorf("the permit %+v does not end with its lease", p)
	}
	if p.Admits(0, 2) {
		t.Error("it admits under a policy that is not in force")
	}
}

func TestAnotherLifeHasNoLease(t *testing.T) {
	s, l, _, b := pair(t)
	b.ObserveGrant(renew(s, l, b, 0, 0))
	again := NewLeaseHolder(2, 23)
	again.ObserveState(s)
	if p := again.Permit(s, 1, pol); p.Open || !strings.Contains(p.ClosedReason, "since it started") {
		t.Errorf("started again, it has %+v", p)
	}
}

func TestJudgementsNeedEvidenceOfAll(t *testing.T) {
	s, _, _, _ := pair(t)
	s.Pending = &PendingChange{Change: "x", Revision: 2, Phase: Staging, Attempt: 1}
	seats := s.OpenSessions()
	if err := s.Apply(Command{Kind: CloseAdmission, Change: "x", Attempt: 1,
		Sessions: seats[:1]}); err == nil {
		t.Error("held without the word of all")
	}
	if err := s.Apply(Command{Kind: CloseAdmission, Change: "x", Attempt: 1, Sessions: seats}); err != nil {
		t.Fatal(err)
	}
	// One comes in between the leader's look and its word.
	if err := s.Apply(Command{Kind: OpenSession, Member: 3, Name: "c", Incarnation: 33}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []Command{{Kind: Commit, Change: "x", Attempt: 1, Sessions: seats},
		{Kind: Commit, Change: "y", Attempt: 1, Sessions: s.OpenSessions()}, {Kind: Commit, Change: "x",
			Attempt:  2,
			Sessions: s.OpenSessions()}} {
		if err := s.Apply(c); err == nil {
			t.Errorf("decided by %+v", c)
		}
	}
	if err := s.Apply(Command{Kind: ReopenAdmission, Change: "x", Attempt: 1}); err != nil ||
		s.Pending.Attempt != 2 {
		t.Errorf("%v: %+v", err, s.Pending)
	}
}

// Where nothing runs out, a change that can't ask somebody is withdrawn, with its name.
func TestServeWithdrawsByName(t *testing.T) {
	s, l, a, _ := pair(t)
	serve := pol
	serve.WhenIsolated = KeepServing
	s.Pending = &PendingChange{Change: "x", Revision: 2, Phase: Staging, Attempt: 1}
	a.SetStaged("x", nil)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		renew(s, l, a, now, now)
		for _, c := range l.Evaluate(now, s, serve, both) {
			if c.Kind == ExpireSessions {
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
		if _, wrong := ParsePolicy(values); len(wrong) != 1 || !strings.Contains(wrong[0], says) {
			t.Errorf("%v: %v", values, wrong)
		}
	}
	if p, _ := ParsePolicy(map[string]string{"lease": "200ms"}); p.CheckTick(50*time.Millisecond) == nil ||
		p.CheckTick(40*time.Millisecond) != nil {
		t.Error("a lease of 200ms needs a tick of 40ms at the most")
	}
}
