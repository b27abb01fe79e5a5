package frozen

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
)

// The balancing module gives the same actions for the same events, to the bit, as the program did whose
// answers stand in testdata/decisions.txt: the first ones of each trace in text, all of them in a digest.
func TestDecisionsAreTheSameToTheBit(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name string
		set  balancer.Settings
		opts traceOptions
	}{
		{"mixed", mixedSettings(), traceOptions{arrivals: 900, every: 9 * time.Millisecond, workers: 9,
			spread: true}},
		{"overload", mixedSettings(), traceOptions{arrivals: 1200, every: 2 * time.Millisecond, workers: 6}},
		{"fleet", fleetSettings(), traceOptions{arrivals: 900, every: 12 * time.Millisecond, workers: 30,
			spread: true}},
		{"routed", routedSettings(), traceOptions{arrivals: 700, every: 10 * time.Millisecond, workers: 12,
			routed: true}},
		{"sparse", sparseSettings(), traceOptions{arrivals: 700, every: 40 * time.Millisecond, workers: 150,
			spread: true, released: true}},
		{"plain", plainSettings(), traceOptions{arrivals: 1200, every: 5 * time.Millisecond, workers: 4}},
	} {
		for _, seed := range []uint64{1, 2, 77} {
			tr := newTrace(t, c.set, c.opts, seed)
			tr.run()
			fmt.Fprintf(&out, "trace %s seed %d\n", c.name, seed)
			for _, line := range tr.first {
				fmt.Fprintf(&out, "\t%s\n", line)
			}
			fmt.Fprintf(&out, "\t%d events, actions %v\n", tr.events, tr.counts) // in the order of their keys
			fmt.Fprintf(&out, "\tsha256 of all actions %s\n", hex.EncodeToString(tr.digest.Sum(nil)))
			if tr.counts["send"] < 200 || tr.events < 2000 {
				t.Errorf("%s, seed %d: %d events with %d attempts test little", c.name, seed, tr.events,
					tr.counts["send"])
			}
		}
	}
	golden(t, "decisions.txt", out.String())
}

func classes() []balancer.Class {
	return []balancer.Class{
		{
			Name:             "quote",
			LatencyObjective: 120 * time.Millisecond,
			ObjectiveStretch: 1.5,
			Timeout:          900 * time.Millisecond,
			PriorityWeight:   2,
			LateShare:        0.25,
			Idempotency:      balancer.Idempotent,
			WorkerKind:       -1,
		},
		{
			Name:             "book",
			LatencyObjective: 300 * time.Millisecond,
			Timeout:          2 * time.Second,
			PriorityWeight:   9,
			Idempotency:      balancer.IdempotentByKey,
			KeyScope:         balancer.ScopeZone,
			KeyWindow:        3 * time.Second,
			WorkerKind:       -1,
		},
		{
			Name:             "charge",
			LatencyObjective: 400 * time.Millisecond,
			ObjectiveStretch: 1,
			Timeout:          1500 * time.Millisecond,
			PriorityWeight:   5,
			LateShare:        0.5,
			Idempotency:      balancer.NonIdempotent,
			WorkerKind:       1,
		},
		{
			Name:             "chat",
			LatencyObjective: 200 * time.Millisecond,
			Timeout:          2500 * time.Millisecond,
			PriorityWeight:   1,
			Streaming:        true,
			Idempotency:      balancer.IdempotentByKey,
			KeyScope:         balancer.ScopeCell,
			KeyWindow:        time.Second,
			WorkerKind:       0,
			MaxAttempts:      2,
		},
	}
}

func mixedSettings() balancer.Settings {
	return balancer.Settings{DispatcherCount: 1, ZoneCount: 2, WorkerKinds: 2, Classes: classes(),
		Tenants: []balancer.Tenant{
			{Name: "a", CapacityShare: 0.5, QuotaPerSecond: 60},
			{Name: "b", CapacityShare: 0.3, QuotaPerSecond: 40},
			{Name: "c", CapacityShare: 0.2},
		},
		SizeMeaning: balancer.SizeNominal, OverQuotaWeight: 0.3, ReportsStart: true,
		ProgressInterval: 20 * time.Millisecond,
		MinEventInterval: time.Millisecond, LoadReportsByCheck: true,
		Limits: balancer.Limits{
			MaxAttempts:    4,
			CanCancel:      true,
			HealthChecks:   true,
			RetryAfter:     true,
			HedgedRequests: true,
			ConnectTimeout: 100 * time.Millisecond,
			IdleTimeout:    time.Second,
			MaxRetryAfter:  2 * time.Second,
		},
		Rules: balancer.Rules{
			ResponseSlack:     80 * time.Millisecond,
			DrainGrace:        200 * time.Millisecond,
			SlowStartMinShare: 0.2,
			SlowStartWindow:   2 * time.Second,
			OverloadFactor:    1.5,
			OverloadWindow:    500 * time.Millisecond,
			RetryBudgetWindow: time.Second,
			RetryBudgetBase:   5,
			RetryBudgetShare:  0.2,
		},
		Goal: balancer.Goal{Overall: 0.6, WorstWindow: 0.1, WorstClass: 0.2, WorstTenant: 0.1},
		Costs: balancer.Costs{CrossZone: 0.02, WastedWork: 0.1, Connection: 0.001, HealthCheck: 0.0005,
			LateFailure: 0.01}}
}

func fleetSettings() balancer.Settings {
	s := mixedSettings()
	s.DispatcherIndex, s.DispatcherCount, s.Zone, s.ListOnRequest, s.ReportsStart, s.SizeMeaning = 5, 12, 1,
		true, false, balancer.SizeApproximate
	s.Limits.PeerMessages, s.Limits.HealthChecks, s.Limits.HedgedRequests, s.Limits.CanCancel = true, false,
		false, false
	s.Rules.ListPollInterval, s.Rules.FullMayHaveRun, s.WeightByWork = time.Second, true, true
	s.Goal.OnTime, s.Goal.AllowedMissShare = 0.2, 0.05
	return s
}

func sparseSettings() balancer.Settings {
	s := mixedSettings()
	s.DispatcherIndex, s.DispatcherCount, s.OverQuotaWeight = 3, 20, 1
	return s
}

func routedSettings() balancer.Settings {
	s := mixedSettings()
	s.LoadReportsByCheck, s.Rules.RetryBudgetWindow, s.SizeMeaning = false, 0, balancer.SizeLive
	s.Limits.HealthChecks, s.Limits.PeerMessages = false, true
	s.Costs.CrossZone = 0.2
	return s
}

func plainSettings() balancer.Settings {
	return balancer.Settings{DispatcherCount: 1, ZoneCount: 1, WorkerKinds: 1, Classes: classes()[:1],
		Limits: balancer.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second},
		Rules: balancer.Rules{
			ResponseSlack:     100 * time.Millisecond,
			SlowStartMinShare: 0.5,
			SlowStartWindow:   time.Second,
		},
		Goal: balancer.Goal{Overall: 1}}
}

// traceOptions say what happens in a trace beside its settings.
type traceOptions struct {
	arrivals int
	every    time.Duration // the mean time between two arrivals
	workers  int
	spread   bool // workers differ in zone, kind, cell and size
	routed   bool // requests have routes with tiers
	released bool // half of the workers have just started
}

// trace drives a balancer by events that its seed alone decides, and digests what the balancer does.
type trace struct {
	t       *testing.T
	bal     *balancer.Balancer
	set     balancer.Settings
	opts    traceOptions
	rng     *rand.Rand
	now     time.Duration
	queue   []traceEvent
	seq     int
	open    map[balancer.RequestID]*traceRequest
	workers map[balancer.WorkerID]*traceWorker
	list    []balancer.Worker
	digest  hash.Hash
	first   []string
	events  int
	counts  map[string]int // of actions
}

type traceEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type traceRequest struct {
	deadline time.Duration
	answered bool
	attempts []*traceAttempt
}

type traceAttempt struct {
	to    balancer.WorkerID
	sent  time.Duration
	ended bool
}

type traceWorker struct {
	inFlight int
	failing  bool
	silent   bool
	slow     float64
}

const firstActions = 80 // of a trace, in text

func newTrace(t *testing.T, set balancer.Settings, opts traceOptions, seed uint64) *trace {
	t.Helper()
	tr := &trace{t: t, set: set, opts: opts, rng: rand.New(rand.NewPCG(seed, 40)), now: time.Hour,
		open: map[balancer.RequestID]*traceRequest{}, workers: map[balancer.WorkerID]*traceWorker{},
		digest: sha256.New(), counts: map[string]int{}}
	bal, err := balancer.New(set, seed*1000+7, tr)
	if err != nil {
		t.Fatal(err)
	}
	tr.bal = bal
	return tr
}

func (tr *trace) after(d time.Duration, do func()) {
	e := traceEvent{at: tr.now + d, seq: tr.seq, do: do}
	tr.seq++
	i := sort.Search(len(tr.queue), func(i int) bool { return tr.queue[i].at > e.at })
	tr.queue = append(tr.queue, traceEvent{})
	copy(tr.queue[i+1:], tr.queue[i:])
	tr.queue[i] = e
}

// act digests an action or an answer of the balancer.
func (tr *trace) act(format string, args ...any) {
	line := fmt.Sprintf("%d ", tr.now-time.Hour) + fmt.Sprintf(format, args...)
	tr.digest.Write([]byte(line + "\n"))
	kind, _, _ := strings.Cut(format, " ")
	tr.counts[kind]++
	if len(tr.first) < firstActions {
		tr.first = append(tr.first, line)
	}
}

func (tr *trace) span(mean time.Duration) time.Duration {
	return time.Duration(tr.rng.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (tr *trace) run() {
	for i := range tr.opts.workers {
		tr.list = append(tr.list, tr.newWorker(i+1, 0))
	}
	at := time.Duration(0)
	if tr.set.ListOnRequest {
		tr.after(0, func() { tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil) })
		at = 30 * time.Millisecond
	}
	tr.after(
		at,
		func() {
			tr.bal.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil),
				tr.list...))
		},
	)
	end := 20 * time.Millisecond
	for n := range tr.opts.arrivals {
		end += tr.span(tr.opts.every)
		tr.after(end, func() { tr.arrive(n) })
	}
	for at := 150 * time.Millisecond; at < end; at += 150*time.Millisecond + tr.span(100*time.Millisecond) {
		tr.after(at, tr.disturb)
	}
	tr.after(end/2, tr.replace)
	tr.after(end/3, tr.configure)
	stop := tr.now + end + 5*time.Second
	for len(tr.queue) > 0 && tr.queue[0].at <= stop {
		e := tr.queue[0]
		tr.queue = tr.queue[1:]
		tr.now = e.at
		tr.events++
		e.do()
	}
	tr.memory()
}

func (tr *trace) newWorker(id int, since time.Duration) balancer.Worker {
	w := balancer.Worker{ID: balancer.WorkerID(id), State: balancer.Ready, Size: 4, StartedAt: since}
	if tr.opts.spread {
		w.Zone, w.Kind, w.Cell = id%2, id/2%2, id/3
		w.Size = 2 + float64(id%5)
	} else {
		w.Kind = id % tr.set.WorkerKinds
	}
	if tr.opts.routed {
		w.Labels = []string{fmt.Sprint("tier", id%3)}
	}
	if tr.opts.released && w.Kind == 1 {
		w.StartedAt = tr.now
	}
	tr.workers[w.ID] = &traceWorker{slow: 0.5 + tr.rng.Float64()}
	return w
}

func (tr *trace) arrive(n int) {
	id := balancer.RequestID(fmt.Sprint("r", n))
	r := balancer.Request{ID: id, Class: tr.rng.IntN(len(tr.set.Classes)), Slots: float64(1 + tr.rng.IntN(2))}
	r.Timeout = tr.set.Classes[r.Class].Timeout
	if tr.rng.IntN(10) == 0 {
		r.Timeout /= 3
		r.IsRetry = true
	}
	if tr.rng.IntN(3) > 0 {
		r.ExpectedWork = tr.span(40 * time.Millisecond)
	}
	if len(tr.set.Tenants) > 0 {
		r.Tenant = min(tr.rng.IntN(5), len(tr.set.Tenants)-1)
	}
	if tr.opts.routed {
		r.Route = tierRoute{spills: tr.rng.IntN(2) == 0}
		r.MaxAttempts = tr.rng.IntN(3)
	}
	tr.open[id] = &traceRequest{deadline: tr.now + r.Timeout}
	tr.bal.Submit(tr.now, r)
	switch tr.rng.IntN(40) {
	case 0:
		tr.after(r.Timeout/4, func() {
			if q := tr.open[id]; !q.answered {
				q.answered = true
				tr.bal.ClientDisconnected(id)
			}
		})
	case 1:
		tr.after(r.Timeout/8, func() {
			q := tr.open[id]
			if n := len(q.attempts); !q.answered && n > 0 && !q.attempts[n-1].ended {
				q.answered = true
				tr.bal.StreamStarted(id)
			}
		})
	}
}

// tierRoute has three tiers by the worker's label, and leaves some workers out.
type tierRoute struct{ spills bool }

func (tierRoute) TierCount() int { return 3 }

func (tierRoute) Tier(w *balancer.Worker) int {
	if w.ID%7 == 0 {
		return -1
	}
	return int(w.Labels[0][4] - '0')
}

func (r tierRoute) SpillsOver(_ int, busy bool) bool { return r.spills || !busy }

// disturb changes something about the workers, as faults, drains and restarts do.
func (tr *trace) disturb() {
	k := tr.rng.IntN(len(tr.list))
	w := tr.workers[tr.list[k].ID]
	switch tr.rng.IntN(9) {
	case 0:
		w.failing = !w.failing
	case 1:
		w.silent = !w.silent
	case 2:
		tr.list[k].State = balancer.Draining
		tr.bal.UpdateWorkers(tr.now, balancer.ListDelta, []balancer.Worker{tr.list[k]})
	case 3:
		gone := tr.list[k]
		gone.State = balancer.Removed
		tr.bal.UpdateWorkers(tr.now, balancer.ListDelta, []balancer.Worker{gone})
		tr.list[k] = tr.newWorker(tr.seq+1000, tr.now)
		tr.bal.UpdateWorkers(tr.now, balancer.ListDelta, []balancer.Worker{tr.list[k]})
	case 4:
		tr.list[k].State, tr.list[k].StartedAt = balancer.Ready, tr.now
		tr.bal.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil), tr.list...))
	case 5:
		tr.bal.UpdateWorkers(tr.now, balancer.ListCached, append([]balancer.Worker(nil), tr.list...))
	case 6:
		tr.bal.EndMaintenance(tr.list[k].ID)
	case 7:
		id := tr.list[k].ID
		tr.bal.ReceivePeer(tr.now, []byte{byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)})
	case 8:
		tr.bal.SetOtherInFlight(tr.list[k].ID, float64(tr.rng.IntN(3)))
		tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil)
	}
	tr.act("excluded %d", tr.bal.EjectedCount(tr.now))
	for _, v := range tr.bal.Explain(tr.now, balancer.Request{ID: "x", Timeout: time.Second, Slots: 1}, 0) {
		tr.act("explain %d %t", v.Worker.ID, v.Reason == "")
	}
}

// replace has another balancer go on from what this one has learned, as in an upgrade.
func (tr *trace) replace() {
	raw := tr.memory()
	held := tr.bal.InFlight()
	next, err := balancer.New(tr.set, 99, tr)
	if err != nil {
		tr.t.Fatal(err)
	}
	var m balancer.LearnedState
	if err := json.Unmarshal(raw, &m); err != nil {
		tr.t.Fatal(err)
	}
	tr.bal = next
	for _, q := range tr.open {
		q.answered = true // the process before sees them out
		for _, a := range q.attempts {
			a.ended = true
		}
	}
	next.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil), tr.list...))
	next.RestoreLearned(tr.now, m)
	for _, w := range tr.list {
		if held[w.ID] > 0 {
			next.SetOtherInFlight(w.ID, held[w.ID])
		}
	}
}

// memory digests what the balancer passes to the process after it.
func (tr *trace) memory() []byte {
	raw, err := json.Marshal(tr.bal.Learned())
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.act("memory %s", raw)
	tr.act("in flight %v", tr.bal.InFlight()) // maps are printed in the order of their keys
	return raw
}

// configure has the balancer go on by other settings.
func (tr *trace) configure() {
	set := tr.set
	set.Classes = append([]balancer.Class(nil), set.Classes...)
	set.Classes[0].PriorityWeight *= 1.5
	set.Classes[0].LatencyObjective *= 2
	tr.act("configure %v", tr.bal.CanConfigure(set) == nil)
	tr.bal.Configure(set)
}

// Send implements balancer.Actions: the attempt's end comes later.
func (tr *trace) Send(id balancer.RequestID, to balancer.WorkerID) {
	tr.act("send %s %d 0", id, to) // the 0 is a time limit of the attempt's own, which was never set
	q, w := tr.open[id], tr.workers[to]
	a := &traceAttempt{to: to, sent: tr.now}
	q.attempts = append(q.attempts, a)
	n := len(q.attempts) - 1
	w.inFlight++
	took := time.Duration(w.slow*float64(tr.span(40*time.Millisecond))) +
		time.Duration(w.inFlight)*5*time.Millisecond
	result := balancer.OK
	switch p := tr.rng.IntN(100); {
	case w.silent:
		took = time.Hour
	case w.failing && p < 60:
		result, took = balancer.ServerError, took/4
	case w.inFlight > 12:
		result, took = balancer.WorkerFull, time.Millisecond
	case p < 2:
		result, took = balancer.ConnectFailed, 3*time.Millisecond
	case p < 4:
		result = balancer.ConnectionReset
	case p < 5:
		result = balancer.ServerError
	case p == 5:
		result = balancer.Unprocessable
	}
	if tr.now+took > q.deadline {
		result, took = balancer.TimedOut, max(q.deadline-tr.now, time.Microsecond)
	}
	if tr.set.ReportsStart && result != balancer.WorkerFull && result != balancer.ConnectFailed && !w.silent {
		tr.after(took/4, func() { tr.progress(id, n, a, true, 0) })
		tr.after(took/2, func() { tr.progress(id, n, a, false, 0.5) })
	}
	if n > 0 || tr.rng.IntN(20) == 0 {
		tr.after(
			took/3,
			func() { tr.act("still allowed %s %d %t", id, n, tr.bal.StillAllowed(tr.now, id, n)) },
		)
	}
	tr.after(took, func() { tr.end(id, n, a, result) })
}

func (tr *trace) progress(id balancer.RequestID, n int, a *traceAttempt, started bool, done float64) {
	if !a.ended {
		tr.bal.AttemptProgressed(
			tr.now,
			balancer.AttemptProgress{ID: id, Attempt: n, Worker: a.to, Started: started, Fraction: done},
		)
	}
}

func (tr *trace) end(id balancer.RequestID, n int, a *traceAttempt, result balancer.Result) {
	w := tr.workers[a.to]
	if a.ended {
		return
	}
	a.ended = true
	w.inFlight--
	q := tr.open[id]
	if result == balancer.OK {
		q.answered = true
	}
	report := balancer.NoLoadReport
	if !tr.set.LoadReportsByCheck && tr.rng.IntN(3) > 0 {
		report = tr.report(a.to)
	}
	tr.bal.AttemptEnded(tr.now, balancer.AttemptOutcome{ID: id, Attempt: n, Worker: a.to, Result: result,
		Took: tr.now - a.sent, Responded: q.answered, Report: report})
}

func (tr *trace) report(id balancer.WorkerID) balancer.LoadReport {
	w := tr.workers[id]
	r := balancer.LoadReport{Received: true, FreeSlots: float64(max(0, 6-w.inFlight)), FreeMemory: -1,
		InFlight: float64(
			w.inFlight + tr.rng.IntN(2),
		), QueueLength: float64(max(0, w.inFlight-6)), CPUShare: -1,
		ServedPerSecond: tr.rng.Float64() * 50, FailedPerSecond: tr.rng.Float64()}
	return r
}

// Reject implements balancer.Actions.
func (tr *trace) Reject(id balancer.RequestID, retryAfter time.Duration) {
	tr.act("refuse %s %d", id, retryAfter)
	tr.open[id].answered = true
}

// Fail implements balancer.Actions.
func (tr *trace) Fail(id balancer.RequestID) {
	tr.act("fail %s", id)
	tr.open[id].answered = true
}

// Cancel implements balancer.Actions.
func (tr *trace) Cancel(id balancer.RequestID, n int) {
	tr.act("cancel %s %d", id, n)
	a := tr.open[id].attempts[n]
	tr.after(time.Microsecond, func() { tr.end(id, n, a, balancer.Cancelled) })
}

// CheckHealth implements balancer.Actions.
func (tr *trace) CheckHealth(w balancer.WorkerID) {
	tr.act("probe %d", w)
	took := tr.span(2 * time.Millisecond)
	tr.after(took, func() {
		result, report := balancer.OK, tr.report(w)
		if tr.workers[w].silent {
			result, report = balancer.TimedOut, balancer.NoLoadReport
		}
		tr.bal.HealthChecked(tr.now, w, result, report)
	})
}

// WatchList implements balancer.Actions.
func (tr *trace) WatchList(on bool) {
	tr.act("watch %t", on)
	tr.after(15*time.Millisecond, func() {
		if tr.rng.IntN(4) == 0 {
			tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil)
			return
		}
		tr.bal.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil), tr.list...))
	})
}

// SetTimer implements balancer.Actions.
func (tr *trace) SetTimer(d time.Duration, token uint64) {
	tr.act("after %d %d", d, token)
	bal := tr.bal
	tr.after(d, func() {
		if bal == tr.bal || bal == nil {
			tr.bal.TimerFired(tr.now, token)
		}
	})
}

// SendPeer implements balancer.Actions.
func (tr *trace) SendPeer(peer int, data []byte) { tr.act("tell %d %x", peer, data) }

// Log implements balancer.Actions. Its words are for people and may change; when it comes may not.
func (tr *trace) Log(string) { tr.act("log") }
