package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	idempotentClass = iota
	keyedClass
	nonIdempotentClass
)

// testSettings returns the settings of a deployment that allows everything and has one class of each
// idempotency.
func testSettings() Settings {
	class := func(e Idempotency, sc KeyScope) Class {
		return Class{LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2, Timeout: 5 * time.Second,
			PriorityWeight: 1, LateShare: 0.3, Idempotency: e, KeyScope: sc, KeyWindow: 2 * time.Second,
			WorkerKind: -1}
	}
	return Settings{
		DispatcherCount: 1,
		Classes: []Class{class(Idempotent, ScopeAll), class(IdempotentByKey, ScopeCell),
			class(NonIdempotent, ScopeAll)},
		Limits: Limits{MaxAttempts: 3, CanCancel: true, HealthChecks: true, PeerMessages: true,
			HedgedRequests: true, MaxRetryAfter: time.Second},
		Rules: Rules{ResponseSlack: 20 * time.Millisecond, ListPollInterval: 10 * time.Second,
			DrainGrace: time.Second, SlowStartMinShare: 0.2, SlowStartWindow: 10 * time.Second,
			OverloadFactor: 3, OverloadWindow: 2 * time.Second},
		Goal:             Goal{Overall: 1},
		MinEventInterval: time.Millisecond,
	}
}

// readyWorkers returns n ready workers, two in each cell.
func readyWorkers(n int) []Worker {
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: WorkerID(100 + i), Cell: i / 2, State: Ready, Size: 1}
	}
	return list
}

func testRequest(i, class int) Request {
	return Request{ID: RequestID(fmt.Sprintf("r%d", i)), Class: class, Timeout: 5 * time.Second}
}

// requestWithHint returns an idempotent request with a hint of 100 ms of work.
func requestWithHint(i int) Request {
	q := testRequest(i, idempotentClass)
	q.ExpectedWork = 100 * time.Millisecond
	return q
}

// newRecorderWithStartReports returns a recorder with n ready workers that report when a request starts.
func newRecorderWithStartReports(t *testing.T, n int) *recorder {
	t.Helper()
	set := testSettings()
	set.ReportsStart = true
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(n)...)
	return r
}

// freeSlots returns a load report of n free slots and nothing else.
func freeSlots(n float64) LoadReport {
	rep := NoLoadReport
	rep.Received, rep.FreeSlots = true, n
	return rep
}

func TestDrawSize(t *testing.T) {
	for _, c := range []struct{ n, d int }{{0, 0}, {1, 1}, {2, 2}, {3, 2}, {4, 3}, {10, 8}, {100, 47}} {
		if d := drawSize(c.n); d != c.d {
			t.Errorf("drawSize(%d) = %d, want %d", c.n, d, c.d)
		}
	}
}

// If nothing waits, requests are sent to the worker with the fewest in flight.
func TestLeastLoadedWorkerWins(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(2)...)
	for i := range 8 {
		r.submit(testRequest(i, idempotentClass))
	}
	count := map[WorkerID]int{}
	for _, s := range r.sends {
		count[s.worker]++
	}
	if count[100] != 4 || count[101] != 4 {
		t.Errorf("8 requests on two workers: %v, want 4 each", count)
	}
}

func TestTiesAreSpreadEvenly(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(4)...)
	count := map[WorkerID]int{}
	const rounds = 2000
	for i := range rounds {
		r.submit(testRequest(i, idempotentClass))
		s := r.lastSend()
		count[s.worker]++
		r.advance(time.Millisecond)
		r.endAttempt(s, OK)
	}
	for id, n := range count {
		if n < rounds/4*8/10 || n > rounds/4*12/10 {
			t.Errorf("worker %d got %d of %d requests on four idle workers", id, n, rounds)
		}
	}
}

func TestCountsReturnToZero(t *testing.T) {
	for res := OK; res <= NotSent; res++ {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(3)...)
		for class := range 3 {
			q := testRequest(class, class)
			q.Slots = 2
			r.submit(q)
		}
		for i := 0; i < len(r.sends); i++ {
			r.endAttempt(&r.sends[i], res)
		}
		r.advance(6 * time.Second)
		for _, w := range r.balancer.workers {
			if w.inFlight != 0 {
				t.Errorf("after result %d worker %d has %v in flight", res, w.ID, w.inFlight)
			}
		}
		if len(r.balancer.requestByID) != 0 || len(r.balancer.requests) != 0 {
			t.Errorf("after result %d, %d requests are open", res, len(r.balancer.requestByID))
		}
	}
}

// Rejections are summarized in occasional log lines, and without any nothing is logged.
func TestSummaryLogLine(t *testing.T) {
	r := newRecorder(t, testSettings())
	list := readyWorkers(3)
	list[2].State = Draining
	r.updateWorkers(ListFull, list...)
	r.advance(20 * time.Second)
	if len(r.logs) > 0 {
		t.Errorf("logged %q without a rejection, want nothing", r.logs)
	}
	r.updateWorkers(ListFull)
	for i := range 300 {
		r.submit(testRequest(i, idempotentClass))
		r.advance(100 * time.Millisecond)
	}
	if n := len(r.logs); n < 2 || n > 7 {
		t.Fatalf("%d lines in 30 s of rejections, want one every 5 s: %q", n, r.logs)
	}
	if want := "refused 1, failed 0; workers: 0 ready, 0 of them cold, 0 suspect"; r.logs[0] != want {
		t.Errorf("the first line is %q, want %q", r.logs[0], want)
	}
}

// A request gets a response in time even if the end of its attempt is never reported.
func TestOverdueRequestIsAnswered(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.dropsAttemptEnds = true
	r.updateWorkers(ListFull, readyWorkers(2)...)
	for class := range 3 {
		r.submit(testRequest(class, class))
	}
	r.advance(6 * time.Second)
	for id, q := range r.requests {
		if q.final == "" {
			t.Errorf("request %s got no final response", id)
		}
	}
}

// submitSteadily submits n requests with hints, one each gap, with numbers starting at from. It ends each
// attempt after 90 ms with the report rep, and returns how many requests each worker got.
func submitSteadily(r *recorder, from, n int, gap time.Duration, rep LoadReport) map[WorkerID]int {
	got := map[WorkerID]int{}
	for i := range n {
		r.submit(requestWithHint(from + i))
		got[r.lastSend().worker]++
		r.advance(gap)
		for j := range r.sends {
			if s := &r.sends[j]; !s.ended && r.now-s.at >= 90*time.Millisecond {
				r.endAttemptWith(s, OK, rep)
			}
		}
	}
	return got
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for _, c := range []struct {
		want       string
		invalidate func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[1].Timeout", func(s *Settings) { s.Classes[1].Timeout = 0 }},
		{"Classes[0].WorkerKind", func(s *Settings) { s.Classes[0].WorkerKind = 7 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = -1 }},
		{"Rules.SlowStartMinShare", func(s *Settings) { s.Rules.SlowStartMinShare = 2 }},
		{"DispatcherIndex", func(s *Settings) { s.DispatcherIndex = 1 }},
		{"Zone", func(s *Settings) { s.ZoneCount, s.Zone = 2, 2 }},
	} {
		set := testSettings()
		c.invalidate(&set)
		if _, err := New(set, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("New: error %v, want it to name %s", err, c.want)
		}
	}
	if _, err := New(testSettings(), 1, nil); err == nil {
		t.Error("New without actions returned no error")
	}
}

// Unknown and repeated events change no count and violate no rule.
func TestUnknownEventsAreIgnored(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(2)...)
	r.submit(testRequest(0, nonIdempotentClass))
	s := r.lastSend()
	b := r.balancer
	b.Submit(r.now, testRequest(0, nonIdempotentClass)) // the same ID
	// Unknown requests, attempts, workers and timers.
	b.AttemptEnded(r.now, AttemptOutcome{ID: "nobody"})
	b.AttemptEnded(r.now, AttemptOutcome{ID: s.id, Attempt: 9, Result: ServerError})
	b.AttemptProgressed(r.now, AttemptProgress{ID: s.id, Attempt: -1, Started: true})
	b.AttemptProgressed(r.now, AttemptProgress{ID: "nobody", Started: true})
	b.HealthChecked(r.now, 9999, OK, NoLoadReport)
	b.TimerFired(r.now, 12345)
	b.ClientDisconnected("nobody")
	// The first end of the attempt, a second one, and a request without any time left.
	r.endAttempt(s, OK)
	b.AttemptEnded(r.now, AttemptOutcome{ID: s.id, Worker: s.worker, Result: ServerError})
	r.submit(Request{ID: "late", Class: nonIdempotentClass})
	for _, w := range r.balancer.workers {
		if w.inFlight != 0 {
			t.Errorf("worker %d has %v in flight", w.ID, w.inFlight)
		}
	}
	if len(r.sends) != 1 {
		t.Errorf("%d sends, want 1", len(r.sends))
	}
}

// fuzzRun passes the events that data encodes, expected and unexpected ones, to the balancer.
func fuzzRun(t *testing.T, data []byte) {
	set := testSettings()
	if len(data) > 0 {
		set.Limits.HedgedRequests = data[0]&1 != 0
		set.ReportsStart = data[0]&2 != 0
		set.LoadReportsByCheck = data[0]&4 != 0
		set.ListOnRequest = data[0]&8 != 0
	}
	r := newRecorder(t, set)
	r.updateWorkers(ListCached, readyWorkers(4)...)
	for i := 0; i+1 < len(data); i += 2 {
		x := int(data[i+1])
		switch data[i] % 8 {
		case 0, 1:
			q := testRequest(i, x%3)
			q.Slots, q.Timeout = float64(x%4), time.Duration(x)*20*time.Millisecond
			r.submit(q)
		case 2, 3:
			if n := len(r.sends); n > 0 {
				if s := &r.sends[n-1-x%n]; !s.ended {
					r.endAttempt(s, Result(x/8%8))
				}
			}
		case 4:
			r.advance(time.Duration(x) * 10 * time.Millisecond)
		case 5:
			r.updateWorkers(ListDelta, Worker{ID: WorkerID(100 + x%6), Cell: x % 3,
				State: WorkerState(x / 8 % 3), StartedAt: time.Duration(x/32%2) * r.now})
		case 6:
			if n := len(r.sends); n > 0 {
				r.reportStart(&r.sends[n-1-x%n])
			}
		case 7:
			rep := freeSlots(float64(x % 5))
			rep.QueueLength = float64(x / 8 % 5)
			r.balancer.HealthChecked(r.now, WorkerID(100+x%6), OK, rep)
		}
	}
	r.advance(6 * time.Second)
	if len(r.balancer.requestByID) != 0 {
		t.Fatalf("%d requests are open after all deadlines, want 0", len(r.balancer.requestByID))
	}
	for _, w := range r.balancer.workers {
		if w.inFlight != 0 {
			t.Fatalf("worker %d has %v in flight after all attempts ended, want 0", w.ID, w.inFlight)
		}
	}
}

func FuzzRules(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		data := make([]byte, 400)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(fuzzRun)
}

// The same seed and events give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() []recordedSend {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(9)...)
		for i := range 300 {
			r.submit(testRequest(i, i%3))
			r.advance(3 * time.Millisecond)
			if i%2 == 0 && !r.sends[len(r.sends)/2].ended {
				r.endAttempt(&r.sends[len(r.sends)/2], OK)
			}
		}
		return r.sends
	}
	if !slices.Equal(run(), run()) {
		t.Error("two runs of the same events differ")
	}
}

// With many dispatchers, each sees counts of zero and would send to every worker too rarely. Each dispatcher
// must prefer a few workers, and different dispatchers must prefer different ones.
func TestHomesSpreadDispatchers(t *testing.T) {
	countByWorker := func(index int) map[WorkerID]int {
		set := testSettings()
		set.DispatcherIndex, set.DispatcherCount = index, 16
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(16)...)
		got := map[WorkerID]int{}
		for i := range 200 {
			r.submit(testRequest(i, idempotentClass))
			got[r.lastSend().worker]++
			r.endAttempt(r.lastSend(), OK)
		}
		return got
	}
	preferred := map[WorkerID]bool{}
	for index := range 16 {
		busiest, most := WorkerID(0), 0
		for w, n := range countByWorker(index) {
			if n > most {
				busiest, most = w, n
			}
		}
		if most < 100 {
			t.Errorf("dispatcher %d sent at most %d of 200 requests to one worker, want at least 100", index,
				most)
		}
		preferred[busiest] = true
	}
	if len(preferred) < 12 {
		t.Errorf("16 dispatchers prefer %d of 16 workers, want at least 12", len(preferred))
	}
}

// When classes change under load, open requests keep their class and later ones get the new one.
func TestConfigureKeepsClassOfOpenRequests(t *testing.T) {
	r := newRecorder(t, Settings{Classes: []Class{{Name: "c", Timeout: 10 * time.Second,
		LatencyObjective: time.Second, PriorityWeight: 1, MaxAttempts: 2, WorkerKind: -1}},
		Limits: Limits{MaxAttempts: 5}, WorkerKinds: 1})
	b := r.balancer
	set := b.settings
	set.Classes = []Class{{Name: "c", Timeout: 10 * time.Second, LatencyObjective: 2 * time.Second,
		PriorityWeight: 7, WorkerKind: -1}}
	r.updateWorkers(ListFull, readyWorkers(3)...)
	r.submit(Request{ID: "old", Timeout: 10 * time.Second})
	if err := b.CanConfigure(set); err != nil {
		t.Fatal(err)
	}
	b.Configure(set)
	r.submit(Request{ID: "new", Timeout: 10 * time.Second})
	if got := b.maxAttempts(b.requestByID["old"]); got != 2 {
		t.Errorf("an open request may have %d attempts, want 2 as at its arrival", got)
	}
	if got := b.maxAttempts(b.requestByID["new"]); got != 5 {
		t.Errorf("a new request may have %d attempts, want the 5 of the limits", got)
	}
	if b.requestByID["old"].class.PriorityWeight != 1 || b.requestByID["new"].class.PriorityWeight != 7 {
		t.Error("a request does not have the class with which it arrived")
	}
	for _, invalidate := range []func(*Class){
		func(c *Class) { c.Idempotency = NonIdempotent }, func(c *Class) { c.Name = "d" },
		func(c *Class) { c.KeyWindow = time.Hour }, func(c *Class) { c.Timeout = -1 }} {
		bad := set
		bad.Classes = append([]Class(nil), set.Classes...)
		invalidate(&bad.Classes[0])
		if b.CanConfigure(bad) == nil {
			t.Errorf("CanConfigure accepted %+v while requests are open", bad.Classes[0])
		}
	}
}
