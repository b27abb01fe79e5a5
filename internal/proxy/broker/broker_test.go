package broker

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/slotmap"
)

// fakeClock is a Clock that a test advances.
type fakeClock struct {
	now    time.Duration
	timers []*fakeTimer
}

type fakeTimer struct {
	at   time.Duration
	call func()
	done bool
}

func (t *fakeTimer) Stop() { t.done = true }

func (c *fakeClock) Now() time.Duration { return c.now }

func (c *fakeClock) At(at time.Duration, call func()) Timer {
	t := &fakeTimer{at: at, call: call}
	c.timers = append(c.timers, t)
	return t
}

// advance advances the time and calls the timers that are due, in order.
func (c *fakeClock) advance(d time.Duration) {
	end := c.now + d
	for {
		var next *fakeTimer
		for _, t := range c.timers {
			if !t.done && t.at <= end && (next == nil || t.at < next.at) {
				next = t
			}
		}
		if next == nil {
			c.now = end
			return
		}
		c.now, next.done = max(c.now, next.at), true
		next.call()
	}
}

// fakeEndpoint records the attempts that it receives.
type fakeEndpoint struct {
	started   []Attempt
	abandoned int
}

func (e *fakeEndpoint) StartAttempt(a Attempt) RunningAttempt {
	e.started = append(e.started, a)
	return e
}

func (e *fakeEndpoint) CheckHealth(func(balancer.Result, balancer.LoadReport)) {}

func (e *fakeEndpoint) Abandon() { e.abandoned++ }

// fakeClient records its responses, and can call a function on each.
type fakeClient struct {
	responses    []Response
	disconnected bool
	onRespond    func()
}

func (c *fakeClient) Respond(r Response) {
	c.responses = append(c.responses, r)
	if c.onRespond != nil {
		c.onRespond()
	}
}

func (c *fakeClient) Disconnected() bool { return c.disconnected }

// fixture is a broker with the two endpoints "a" and "b".
type fixture struct {
	t *testing.T
	*Broker
	clock     *fakeClock
	endpoints map[string]*fakeEndpoint
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{t: t, clock: &fakeClock{now: time.Hour},
		endpoints: map[string]*fakeEndpoint{"a": {}, "b": {}}}
	var err error
	f.Broker, err = New(balancer.Settings{
		Classes: []balancer.Class{{Timeout: 10 * time.Second, LatencyObjective: time.Second,
			PriorityWeight: 1, WorkerKind: -1}},
		Limits: balancer.Limits{MaxAttempts: 2, CanCancel: true, MaxRetryAfter: time.Second},
		Rules:  balancer.Rules{ResponseSlack: 20 * time.Millisecond},
		Goal:   balancer.Goal{Overall: 1},
	}, 1, f.clock, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	f.setEndpointList("a", "b")
	return f
}

// setEndpointList passes a full endpoint list with the named endpoints to the broker.
func (f *fixture) setEndpointList(names ...string) {
	var entries []ListEntry
	for _, name := range names {
		entries = append(entries, ListEntry{Name: name, State: balancer.Ready, Size: 1,
			Endpoint: f.endpoints[name]})
	}
	f.UpdateEndpoints(balancer.ListFull, entries)
}

// submit submits a request and returns its client.
func (f *fixture) submit(id string) *fakeClient {
	f.t.Helper()
	c := &fakeClient{}
	if err := f.Submit(Request{ID: id, Timeout: 10 * time.Second}, c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// attempts returns the IDs of all attempts of a request and the names of their endpoints.
func (f *fixture) attempts(requestID string) (ids []slotmap.ID, names []string) {
	for _, name := range []string{"a", "b"} {
		for _, a := range f.endpoints[name].started {
			if a.RequestID == requestID {
				ids, names = append(ids, a.ID), append(names, name)
			}
		}
	}
	return ids, names
}

// wantResponses checks the kinds of the responses that a client has received.
func (f *fixture) wantResponses(c *fakeClient, kinds ...ResponseKind) {
	f.t.Helper()
	var got []ResponseKind
	for _, r := range c.responses {
		got = append(got, r.Kind)
	}
	if !slices.Equal(got, kinds) {
		f.t.Errorf("responses are of kinds %v, want %v", got, kinds)
	}
}

func TestRequestGetsOneResponseAndAttemptOneEnd(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	ids, _ := f.attempts("r")
	if len(ids) != 1 || !f.MayStillSend(ids[0]) || f.PendingCount() != 1 {
		t.Fatalf("got %d attempts and %d pending requests, want 1 of each, ready to send", len(ids),
			f.PendingCount())
	}
	f.EndAttempt(ids[0], balancer.OK, []byte("body"), balancer.NoLoadReport)
	f.EndAttempt(ids[0], balancer.ServerError, nil, balancer.NoLoadReport)
	f.clock.advance(time.Minute)
	if f.wantResponses(c, Served); string(c.responses[0].Body) != "body" {
		t.Errorf("response body is %q, want \"body\"", c.responses[0].Body)
	}
	if f.PendingCount() != 0 || len(f.OpenRequestIDs()) != 0 || f.attemptsInUse() != 0 ||
		f.MayStillSend(ids[0]) {
		t.Errorf("%d requests and %d attempts are left, want none", len(f.OpenRequestIDs()),
			f.attemptsInUse())
	}
}

func (f *fixture) attemptsInUse() int { return f.Broker.attempts.Len() }

func TestFailedAttemptIsRetriedElsewhere(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	_, names := f.attempts("r")
	if !f.EndAttemptAt("r", names[0], balancer.ConnectFailed, nil, balancer.NoLoadReport) {
		t.Fatal("EndAttemptAt found no attempt in flight")
	}
	if f.EndAttemptAt("r", names[0], balancer.OK, nil, balancer.NoLoadReport) {
		t.Error("EndAttemptAt ended an attempt that had already ended")
	}
	if _, names = f.attempts("r"); !slices.Equal(names, []string{"a", "b"}) {
		t.Fatalf("attempts at %v, want one at each endpoint", names)
	}
	f.EndAttemptAt("r", "a", balancer.OK, nil, balancer.NoLoadReport)
	f.EndAttemptAt("r", "b", balancer.OK, nil, balancer.NoLoadReport)
	f.wantResponses(c, Served)
}

// Without the deadline, a worker that never responds would keep a request open for ever.
func TestAttemptIsAbandonedAtItsDeadline(t *testing.T) {
	f := newFixture(t)
	c := &fakeClient{}
	r := Request{ID: "r", Timeout: 10 * time.Second, AttemptTimeout: 2 * time.Second}
	if err := f.Submit(r, c); err != nil {
		t.Fatal(err)
	}
	f.clock.advance(time.Second)
	if f.endpoints["a"].abandoned+f.endpoints["b"].abandoned != 0 {
		t.Error("an attempt was abandoned before its deadline")
	}
	f.clock.advance(4 * time.Second)
	if f.endpoints["a"].abandoned != 1 || f.endpoints["b"].abandoned != 1 {
		t.Errorf("attempts were abandoned %d and %d times, want once at each endpoint",
			f.endpoints["a"].abandoned, f.endpoints["b"].abandoned)
	}
	f.wantResponses(c, Rejected) // both attempts are used up, and the class is idempotent
	if !c.responses[0].MayHaveRun {
		t.Error("the rejection does not say that an attempt may have run")
	}
}

// A rejection after attempts that certainly did not run must not say that the job may have run: it could then
// not be repeated.
func TestRejectionOfAJobThatNeverRan(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	for range 2 {
		ids, _ := f.attempts("r")
		for _, id := range ids {
			f.EndAttempt(id, balancer.WorkerFull, nil, balancer.NoLoadReport)
		}
	}
	f.clock.advance(time.Minute)
	f.wantResponses(c, Rejected)
	if c.responses[0].MayHaveRun {
		t.Error("the rejection says that a job may have run which two workers refused")
	}
}

func TestDuplicateIDIsRejected(t *testing.T) {
	f := newFixture(t)
	f.submit("r")
	c := &fakeClient{}
	if err := f.Submit(Request{ID: "r", Timeout: time.Second}, c); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("a duplicate ID returned error %v, want ErrDuplicateID", err)
	}
	f.wantResponses(c)
}

type rejectAll struct{}

func (rejectAll) Admit(*Request) (Rejection, bool) {
	return Rejection{Reason: "closed", RetryAfter: 3 * time.Second}, false
}

func TestAdmissionControllerRejectsBeforeTheBalancer(t *testing.T) {
	f := newFixture(t)
	f.SetAdmissionController(rejectAll{})
	c := f.submit("r")
	f.wantResponses(c, Rejected)
	if r := c.responses[0]; r.Reason != "closed" || r.RetryAfter != 3*time.Second {
		t.Errorf("response is %+v, want the controller's reason and delay", r)
	}
	if ids, _ := f.attempts("r"); len(ids) != 0 || len(f.OpenRequestIDs()) != 0 {
		t.Error("a rejected request reached the balancer")
	}
}

func TestDisconnectedClientGetsNoResponse(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	f.ClientDisconnected("r")
	f.ClientDisconnected("r")
	if n := f.endpoints["a"].abandoned + f.endpoints["b"].abandoned; n != 1 {
		t.Errorf("%d attempts were abandoned, want 1", n)
	}
	f.clock.advance(time.Minute)
	f.wantResponses(c)
	if f.PendingCount() != 0 || len(f.OpenRequestIDs()) != 0 {
		t.Errorf("%d requests are left, want none", len(f.OpenRequestIDs()))
	}
}

// A client may disconnect after its attempt has started. Until the front has read that, only the check just
// before the attempt is written can prevent it from running for nobody.
func TestAttemptIsNotSentForADisconnectedClient(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	ids, _ := f.attempts("r")
	c.disconnected = true
	if f.MayStillSend(ids[0]) || f.PendingCount() != 0 {
		t.Error("the attempt may still be sent, or its request is still pending")
	}
}

// A front may submit the next request from within Client.Respond, while a call of the balancer is running.
func TestSubmitFromWithinAResponse(t *testing.T) {
	f := newFixture(t)
	first := f.submit("r0")
	second := &fakeClient{}
	first.onRespond = func() {
		if err := f.Submit(Request{ID: "r1", Timeout: time.Second}, second); err != nil {
			t.Error(err)
		}
	}
	ids, _ := f.attempts("r0")
	f.EndAttempt(ids[0], balancer.OK, nil, balancer.NoLoadReport)
	if ids, _ = f.attempts("r1"); len(ids) != 1 {
		t.Fatalf("the second request has %d attempts, want 1", len(ids))
	}
	f.EndAttempt(ids[0], balancer.OK, nil, balancer.NoLoadReport)
	f.wantResponses(first, Served)
	f.wantResponses(second, Served)
}

// serve submits n requests one after the other, serves each at once, and counts them by endpoint.
func (f *fixture) serve(prefix string, n int) map[string]int {
	count := map[string]int{}
	for i := range n {
		id := fmt.Sprint(prefix, i)
		f.submit(id)
		ids, names := f.attempts(id)
		for k := range ids {
			count[names[k]]++
			f.EndAttempt(ids[k], balancer.OK, nil, balancer.NoLoadReport)
		}
	}
	return count
}

// Endpoints under maintenance, outside the subset, or ejected get no new attempts.
func TestExcludedEndpointGetsNoAttempts(t *testing.T) {
	for _, c := range []struct {
		name             string
		exclude, include func(*fixture)
	}{
		{"maintenance", func(f *fixture) { f.StartMaintenance("a") },
			func(f *fixture) { f.EndMaintenance("a") }},
		{"subset", func(f *fixture) { f.SetSubset(map[string]bool{"b": true}) },
			func(f *fixture) { f.SetSubset(nil) }},
		{"ejected", func(f *fixture) { f.SetEjected(map[string]bool{"a": true}) },
			func(f *fixture) { f.SetEjected(nil) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.exclude(f)
			f.setEndpointList("a", "b") // must not end the exclusion
			if got := f.serve("x", 20); got["a"] != 0 || got["b"] != 20 {
				t.Errorf("excluded endpoint got %d of 20 requests and the other %d, want 0 and 20", got["a"],
					got["b"])
			}
			c.include(f)
			f.submit("y0")
			f.submit("y1")
			_, first := f.attempts("y0")
			if _, second := f.attempts("y1"); first[0] == second[0] {
				t.Errorf("after the exclusion two concurrent requests both went to %s", first[0])
			}
		})
	}
}

// A hot restart must not end maintenance: the new process continues it for the endpoints that it inherits.
func TestStatePassesToAnotherProcess(t *testing.T) {
	f, next := newFixture(t), newFixture(t)
	f.StartMaintenance("a")
	f.StartMaintenance("b")
	f.EndMaintenance("b")
	next.ImportState(f.ExportState())
	if since, ok := next.underMaintenance()["a"]; !ok || since != time.Hour || !next.EverListed("b") {
		t.Errorf("the new process has %v under maintenance, want a since 1h", next.underMaintenance())
	}
	if got := next.serve("x", 10); got["a"] != 0 {
		t.Errorf("the endpoint under maintenance got %d requests, want 0", got["a"])
	}
}

// A request that has migrated to another process keeps its attempts and gets no response from this one.
func TestMigratedRequestKeepsItsAttempts(t *testing.T) {
	f := newFixture(t)
	c := f.submit("r")
	deadline, list := f.OutstandingAttempts("r")
	if deadline != f.clock.now+10*time.Second || len(list) != 1 || f.InFlight()[list[0].Endpoint] != 1 {
		t.Fatalf("got deadline %v, attempts %v and in flight %v, want 10s from now and one attempt",
			deadline, list, f.InFlight())
	}
	f.Migrate("r")
	if n := f.endpoints["a"].abandoned + f.endpoints["b"].abandoned; n != 0 || f.PendingCount() != 0 {
		t.Errorf("%d attempts were abandoned and %d requests are pending, want none", n, f.PendingCount())
	}
	f.wantResponses(c)
}

func TestRemovedEndpointIsForgottenAfterItsAttempts(t *testing.T) {
	f := newFixture(t)
	f.submit("r")
	ids, names := f.attempts("r")
	other := map[string]string{"a": "b", "b": "a"}[names[0]]
	f.setEndpointList(other)
	if f.DiscoveredCount() != 1 || len(f.Broker.endpoints) != 2 || f.MayStillSend(ids[0]) {
		t.Errorf("%d endpoints are listed and %d kept, want 1 and 2", f.DiscoveredCount(),
			len(f.Broker.endpoints))
	}
	f.EndAttempt(ids[0], balancer.OK, nil, balancer.NoLoadReport)
	if len(f.Broker.endpoints) != 1 {
		t.Errorf("%d endpoints are kept, want 1", len(f.Broker.endpoints))
	}
}
