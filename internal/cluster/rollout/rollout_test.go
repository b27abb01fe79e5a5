package rollout

import (
	"strings"
	"testing"
	"time"
)

var testPolicy = Policy{WhenIsolated: StopAtLeaseExpiry, Lease: time.Second, StagingTimeout: 20 * time.Second,
	MaxAdmissionPause: 300 * time.Millisecond}

// evaluateInterval is the time between two evaluations of the leader in the tests.
const evaluateInterval = 100 * time.Millisecond

// testGroup is a leader and two instances, a (member 1) and b (member 2), that have open sessions.
type testGroup struct {
	*testing.T
	state  *State
	leader *Leader
	a, b   *LeaseHolder
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{t, NewState(), NewLeader(0, 1), NewLeaseHolder(1, 11), NewLeaseHolder(2, 22)}
	g.apply(Command{Kind: OpenSession, Member: 1, Name: "a", Incarnation: 11})
	g.apply(Command{Kind: OpenSession, Member: 2, Name: "b", Incarnation: 22})
	g.a.ObserveState(g.state)
	g.b.ObserveState(g.state)
	return g
}

func (g *testGroup) apply(c Command) {
	g.Helper()
	if err := g.state.Apply(c); err != nil {
		g.Fatalf("%+v: %v", c, err)
	}
}

// setPending makes the change "x" pending, in its first attempt.
func (g *testGroup) setPending() {
	g.state.Pending = &PendingChange{Change: "x", Revision: 2, Phase: Staging, Attempt: 1}
}

// report makes an instance send a report at sentAt, which reaches the leader at arrivesAt.
func (g *testGroup) report(h *LeaseHolder, sentAt, arrivesAt time.Duration) Report {
	g.Helper()
	h.ReportNow()
	r, due := h.NextReport(sentAt, testPolicy)
	if !due {
		g.Fatal("no report is due")
	}
	g.leader.ObserveReport(arrivesAt, r)
	return r
}

// requestLease sends a report and returns the leader's response.
func (g *testGroup) requestLease(h *LeaseHolder, sentAt, arrivesAt time.Duration) Grant {
	g.Helper()
	return g.leader.Grant(arrivesAt, g.report(h, sentAt, arrivesAt), g.state, testPolicy)
}

func (g *testGroup) evaluate(now time.Duration, p Policy) []Command {
	return g.leader.Evaluate(now, g.state, p, map[uint64]string{1: "a", 2: "b"})
}

// timeOfExpiry keeps renewing a's lease, and returns when the leader proposes the expiry of b's session.
func (g *testGroup) timeOfExpiry(from, until time.Duration) time.Duration {
	g.Helper()
	for now := from; now < until; now += evaluateInterval {
		g.requestLease(g.a, now, now)
		for _, c := range g.evaluate(now, testPolicy) {
			if c.Kind == ExpireSessions {
				return now
			}
		}
	}
	g.Fatal("the leader did not propose the expiry of b's session")
	return 0
}

func TestLeaseCountsFromBeforeItWasRequested(t *testing.T) {
	g := newTestGroup(t)
	grant := g.requestLease(g.b, 0, 500*time.Millisecond)
	at := g.timeOfExpiry(500*time.Millisecond, 10*time.Second)
	if earliest := 500*time.Millisecond + ExpiryWait(testPolicy.Lease); at < earliest {
		t.Fatalf("the session expired at %v, want %v or later", at, earliest)
	}
	// The response arrives only now, when the lease has already expired.
	g.b.ObserveGrant(grant)
	if g.b.Permit(g.state, 1, testPolicy).Admits(at, 1) {
		t.Error("jobs are admitted under a lease that the leader considers expired")
	}
}

// With the holder's clock at the rate 0.6 and the leader's at 1.4, the lease must expire before the leader's
// wait ends.
func TestExpiryWaitOutlastsTheLeaseAtAnyClockRate(t *testing.T) {
	for _, lease := range []time.Duration{50 * time.Millisecond, time.Second, time.Hour} {
		holder := float64(lease) / slowestClockRate
		leader := float64(ExpiryWait(lease)) / fastestClockRate
		if leader <= holder {
			t.Errorf("a lease of %v lasts up to %v for its holder, but the leader may wait for only %v",
				lease, time.Duration(holder), time.Duration(leader))
		}
	}
}

func TestNewLeaderWaitsForLeasesOfTheLastOne(t *testing.T) {
	g := newTestGroup(t)
	g.b.ObserveGrant(g.requestLease(g.b, time.Second, time.Second))
	const termStart = 1100 * time.Millisecond
	g.leader = NewLeader(termStart, 2)
	at := g.timeOfExpiry(termStart, 10*time.Second)
	if g.b.Permit(g.state, 1, testPolicy).Admits(at, 1) || at < termStart+ExpiryWait(testPolicy.Lease) {
		t.Errorf("the new leader considered the lease expired at %v, which is too early", at)
	}
}

func TestNothingIsGrantedOnceExpiryIsProposed(t *testing.T) {
	g := newTestGroup(t)
	at := g.timeOfExpiry(0, 10*time.Second)
	// The expiry has been proposed and is not applied yet.
	if grant := g.requestLease(g.b, at, at); grant.Duration > 0 {
		t.Error("a lease was granted although the expiry of its session may be committed at any time")
	}
}

// The last report of an instance that has died must not open a session again after its session has expired.
func TestDeadInstanceGetsNoSessionAgain(t *testing.T) {
	g := newTestGroup(t)
	g.requestLease(g.b, 0, 0)
	g.report(NewLeaseHolder(2, 23), 0, 0) // b restarts, requests a session, and dies
	opened := 0
	for now := time.Duration(0); now < 20*time.Second; now += evaluateInterval {
		g.requestLease(g.a, now, now)
		for _, c := range g.evaluate(now, testPolicy) {
			g.apply(c)
			if c.Kind == OpenSession {
				opened++
			}
		}
	}
	if opened != 1 || g.state.Sessions[2].Open {
		t.Errorf("%d sessions were opened, want 1; the last state is %+v, want closed", opened,
			g.state.Sessions[2])
	}
}

// Reports that a network partition delayed arrive together, before the command for the first one is applied.
// They must open a single session, and another one only if the command was lost.
func TestReportsAtOnceOpenOneSession(t *testing.T) {
	g := newTestGroup(t)
	restarted := NewLeaseHolder(2, 23)
	opened := func(now time.Duration) (n int) {
		for range 15 {
			g.report(restarted, now, now)
			for _, c := range g.evaluate(now, testPolicy) {
				if c.Kind == OpenSession {
					n++
				}
			}
		}
		return n
	}
	if n := opened(0); n != 1 {
		t.Errorf("15 simultaneous reports opened %d sessions, want 1", n)
	}
	if n := opened(testPolicy.Lease); n != 1 {
		t.Errorf("after the duration of a lease without a commit, %d sessions were opened, want 1", n)
	}
}

func TestStalledLeaderExpiresNobody(t *testing.T) {
	g := newTestGroup(t)
	g.requestLease(g.a, 0, 0)
	g.requestLease(g.b, 0, 0)
	g.evaluate(0, testPolicy)
	for _, c := range g.evaluate(30*time.Second, testPolicy) {
		t.Errorf("after a stall the leader proposes: %v, sessions %v", c.Kind, c.Sessions)
	}
}

func TestPermitEndsWithItsLease(t *testing.T) {
	g := newTestGroup(t)
	g.b.ObserveGrant(g.requestLease(g.b, 0, 0))
	p := g.b.Permit(g.state, 1, testPolicy)
	for _, tc := range []struct {
		now      time.Duration
		revision uint64
		want     bool
	}{
		{999 * time.Millisecond, 1, true},
		{time.Second, 1, false},
		{time.Minute, 1, false},
		{0, 2, false}, // revision 2 is not in force
	} {
		if got := p.Admits(tc.now, tc.revision); got != tc.want {
			t.Errorf("%+v admits at %v under revision %d: %v, want %v", p, tc.now, tc.revision, got, tc.want)
		}
	}
}

func TestNewIncarnationHasNoLease(t *testing.T) {
	g := newTestGroup(t)
	g.b.ObserveGrant(g.requestLease(g.b, 0, 0))
	restarted := NewLeaseHolder(2, 23)
	restarted.ObserveState(g.state)
	if p := restarted.Permit(g.state, 1, testPolicy); p.Open ||
		!strings.Contains(p.ClosedReason, "since it started") {
		t.Errorf("after a restart, the permit is %+v", p)
	}
}

func TestDecisionsRestOnAllOpenSessions(t *testing.T) {
	g := newTestGroup(t)
	g.setPending()
	sessions := g.state.OpenSessions()
	if err := g.state.Apply(Command{Kind: CloseAdmission, Change: "x", Attempt: 1,
		Sessions: sessions[:1]}); err == nil {
		t.Error("admission was closed although one instance has not staged the change")
	}
	g.apply(Command{Kind: CloseAdmission, Change: "x", Attempt: 1, Sessions: sessions})
	// A session is opened between the leader's decision and the entry that contains it.
	g.apply(Command{Kind: OpenSession, Member: 3, Name: "c", Incarnation: 33})
	for _, c := range []Command{
		{Kind: Commit, Change: "x", Attempt: 1, Sessions: sessions},
		{Kind: Commit, Change: "y", Attempt: 1, Sessions: g.state.OpenSessions()},
		{Kind: Commit, Change: "x", Attempt: 2, Sessions: g.state.OpenSessions()},
	} {
		if err := g.state.Apply(c); err == nil {
			t.Errorf("the change was committed by %+v", c)
		}
	}
	g.apply(Command{Kind: ReopenAdmission, Change: "x", Attempt: 1})
	if g.state.Pending.Attempt != 2 {
		t.Errorf("after admission was reopened, the pending change is %+v, want attempt 2", g.state.Pending)
	}
}

// With KeepServing, leases do not expire: a change that an instance has not staged is withdrawn, and the
// reason names the instance.
func TestKeepServingWithdrawsByName(t *testing.T) {
	g := newTestGroup(t)
	policy := testPolicy
	policy.WhenIsolated = KeepServing
	g.setPending()
	g.a.SetStaged("x", nil)
	for now := time.Duration(0); now < time.Minute; now += evaluateInterval {
		g.requestLease(g.a, now, now)
		for _, c := range g.evaluate(now, policy) {
			switch c.Kind {
			case ExpireSessions:
				t.Fatal("a session expired with KeepServing")
			case Withdraw:
				if !strings.Contains(c.Reason, "b (not heard of)") || strings.Contains(c.Reason, "a (") {
					t.Errorf("the reason is %q, want b as the only missing instance", c.Reason)
				}
				return
			}
		}
	}
	t.Error("the change was not withdrawn within a minute")
}

func TestParsePolicyReportsProblems(t *testing.T) {
	for want, values := range map[string]map[string]string{
		"cut_off: \"x\" is not lease or serve": {"cut_off": "x"},
		"lease: \"1\" is not a time":           {"lease": "1"},
		"\"leese\" is no key":                  {"leese": "1s"},
		"stage_within: 20s is less than":       {"lease": "20s"},
		"hold_within: \"-1s\"":                 {"hold_within": "-1s"},
	} {
		if _, problems := ParsePolicy(values); len(problems) != 1 || !strings.Contains(problems[0], want) {
			t.Errorf("%v: problems are %v, want one that contains %q", values, problems, want)
		}
	}
}

func TestCheckTickNeedsEnoughTicksInALease(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"lease": "200ms"})
	if p.CheckTick(50*time.Millisecond) == nil || p.CheckTick(40*time.Millisecond) != nil {
		t.Error("a lease of 200ms must allow ticks of up to 40ms and no longer ones")
	}
}
