package frozen

import (
	"crypto/sha256"
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

// traceOptions configure a trace in addition to its balancer settings.
type traceOptions struct {
	arrivals     int
	interval     time.Duration // mean time between two arrivals
	workers      int
	mixedWorkers bool // workers differ in zone, kind, cell and size
	routed       bool // requests have routes with tiers
	justStarted  bool // the workers of kind 1 have just started
}

// trace drives a balancer with events that depend only on a seed, and computes a digest of the balancer's
// actions.
type trace struct {
	t          *testing.T
	bal        *balancer.Balancer
	settings   balancer.Settings
	opts       traceOptions
	rng        *rand.Rand
	now        time.Duration
	queue      []traceEvent
	seq        int
	requests   map[balancer.RequestID]*traceRequest
	workers    map[balancer.WorkerID]*traceWorker
	list       []balancer.Worker
	digest     hash.Hash
	firstLines []string
	events     int
	counts     map[string]int // of actions, by kind
}

type traceEvent struct {
	at  time.Duration
	seq int
	run func()
}

type traceRequest struct {
	deadline  time.Duration
	completed bool
	attempts  []*traceAttempt
}

type traceAttempt struct {
	to    balancer.WorkerID
	sent  time.Duration
	ended bool
}

type traceWorker struct {
	inFlight     int
	failing      bool
	unresponsive bool
	slowdown     float64
}

const maxFirstLines = 80 // number of a trace's actions that are kept as text

func newTrace(t *testing.T, settings balancer.Settings, opts traceOptions, seed uint64) *trace {
	t.Helper()
	tr := &trace{t: t, settings: settings, opts: opts, rng: rand.New(rand.NewPCG(seed, 40)), now: time.Hour,
		requests: map[balancer.RequestID]*traceRequest{}, workers: map[balancer.WorkerID]*traceWorker{},
		digest: sha256.New(), counts: map[string]int{}}
	bal, err := balancer.New(settings, seed*1000+7, tr)
	if err != nil {
		t.Fatal(err)
	}
	tr.bal = bal
	return tr
}

func (tr *trace) schedule(d time.Duration, do func()) {
	e := traceEvent{at: tr.now + d, seq: tr.seq, run: do}
	tr.seq++
	i := sort.Search(len(tr.queue), func(i int) bool { return tr.queue[i].at > e.at })
	tr.queue = append(tr.queue, traceEvent{})
	copy(tr.queue[i+1:], tr.queue[i:])
	tr.queue[i] = e
}

// record adds an action or a result of the balancer to the digest.
func (tr *trace) record(format string, args ...any) {
	line := fmt.Sprintf("%d ", tr.now-time.Hour) + fmt.Sprintf(format, args...)
	tr.digest.Write([]byte(line + "\n"))
	kind, _, _ := strings.Cut(format, " ")
	tr.counts[kind]++
	if len(tr.firstLines) < maxFirstLines {
		tr.firstLines = append(tr.firstLines, line)
	}
}

func (tr *trace) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(tr.rng.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (tr *trace) run() {
	for i := range tr.opts.workers {
		tr.list = append(tr.list, tr.newWorker(i+1, 0))
	}
	at := time.Duration(0)
	if tr.settings.ListOnRequest {
		tr.schedule(0, func() { tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil) })
		at = 30 * time.Millisecond
	}
	tr.schedule(
		at,
		func() {
			tr.bal.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil),
				tr.list...))
		},
	)
	end := 20 * time.Millisecond
	for n := range tr.opts.arrivals {
		end += tr.randomDuration(tr.opts.interval)
		tr.schedule(end, func() { tr.arrive(n) })
	}
	for at := 150 * time.Millisecond; at < end; at += 150*time.Millisecond +
		tr.randomDuration(100*time.Millisecond) {
		tr.schedule(at, tr.injectFault)
	}
	tr.schedule(end/2, tr.replaceBalancer)
	tr.schedule(end/3, tr.reconfigure)
	stop := tr.now + end + 5*time.Second
	for len(tr.queue) > 0 && tr.queue[0].at <= stop {
		e := tr.queue[0]
		tr.queue = tr.queue[1:]
		tr.now = e.at
		tr.events++
		e.run()
	}
	tr.recordLearned()
}

func (tr *trace) newWorker(id int, since time.Duration) balancer.Worker {
	w := balancer.Worker{ID: balancer.WorkerID(id), State: balancer.Ready, Size: 4, StartedAt: since}
	if tr.opts.mixedWorkers {
		w.Zone, w.Kind, w.Cell = id%2, id/2%2, id/3
		w.Size = 2 + float64(id%5)
	} else {
		w.Kind = id % tr.settings.WorkerKinds
	}
	if tr.opts.routed {
		w.Labels = []string{fmt.Sprint("tier", id%3)}
	}
	if tr.opts.justStarted && w.Kind == 1 {
		w.StartedAt = tr.now
	}
	tr.workers[w.ID] = &traceWorker{slowdown: 0.5 + tr.rng.Float64()}
	return w
}

func (tr *trace) arrive(n int) {
	id := balancer.RequestID(fmt.Sprint("r", n))
	r := balancer.Request{ID: id, Class: tr.rng.IntN(len(tr.settings.Classes)),
		Slots: float64(1 + tr.rng.IntN(2))}
	r.Timeout = tr.settings.Classes[r.Class].Timeout
	if tr.rng.IntN(10) == 0 {
		r.Timeout /= 3
		r.IsRetry = true
	}
	if tr.rng.IntN(3) > 0 {
		r.ExpectedWork = tr.randomDuration(40 * time.Millisecond)
	}
	if len(tr.settings.Tenants) > 0 {
		r.Tenant = min(tr.rng.IntN(5), len(tr.settings.Tenants)-1)
	}
	if tr.opts.routed {
		r.Route = tierRoute{spills: tr.rng.IntN(2) == 0}
		r.MaxAttempts = tr.rng.IntN(3)
	}
	tr.requests[id] = &traceRequest{deadline: tr.now + r.Timeout}
	tr.bal.Submit(tr.now, r)
	switch tr.rng.IntN(40) {
	case 0:
		tr.schedule(r.Timeout/4, func() {
			if q := tr.requests[id]; !q.completed {
				q.completed = true
				tr.bal.ClientDisconnected(id)
			}
		})
	case 1:
		tr.schedule(r.Timeout/8, func() {
			q := tr.requests[id]
			if n := len(q.attempts); !q.completed && n > 0 && !q.attempts[n-1].ended {
				q.completed = true
				tr.bal.StreamStarted(id)
			}
		})
	}
}

// tierRoute has three tiers by the worker's label and excludes every seventh worker.
type tierRoute struct{ spills bool }

func (tierRoute) TierCount() int { return 3 }

func (tierRoute) Tier(w *balancer.Worker) int {
	if w.ID%7 == 0 {
		return -1
	}
	return int(w.Labels[0][4] - '0')
}

func (r tierRoute) SpillsOver(_ int, busy bool) bool { return r.spills || !busy }

// injectFault changes a worker's state as faults, drains and restarts do, and records the balancer's view of
// the workers.
func (tr *trace) injectFault() {
	k := tr.rng.IntN(len(tr.list))
	w := tr.workers[tr.list[k].ID]
	switch tr.rng.IntN(9) {
	case 0:
		w.failing = !w.failing
	case 1:
		w.unresponsive = !w.unresponsive
	case 2:
		tr.list[k].State = balancer.Draining
		tr.bal.UpdateWorkers(tr.now, balancer.ListDelta, []balancer.Worker{tr.list[k]})
	case 3:
		removed := tr.list[k]
		removed.State = balancer.Removed
		tr.bal.UpdateWorkers(tr.now, balancer.ListDelta, []balancer.Worker{removed})
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
		tr.bal.SetPredecessorInFlight(tr.list[k].ID, float64(tr.rng.IntN(3)))
		tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil)
	}
	tr.record("excluded %d", tr.bal.EjectedCount(tr.now))
	for _, v := range tr.bal.Explain(tr.now, balancer.Request{ID: "x", Timeout: time.Second, Slots: 1}, 0) {
		tr.record("explain %d %t", v.Worker.ID, v.Reason == "")
	}
}

// replaceBalancer continues with a new balancer that restores the learned state, as in a hot restart.
func (tr *trace) replaceBalancer() {
	raw := tr.recordLearned()
	inFlight := tr.bal.InFlight()
	next, err := balancer.New(tr.settings, 99, tr)
	if err != nil {
		tr.t.Fatal(err)
	}
	var m balancer.LearnedState
	if err := json.Unmarshal(raw, &m); err != nil {
		tr.t.Fatal(err)
	}
	tr.bal = next
	for _, q := range tr.requests {
		q.completed = true // the old process completes them
		for _, a := range q.attempts {
			a.ended = true
		}
	}
	next.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil), tr.list...))
	next.RestoreLearned(tr.now, m)
	for _, w := range tr.list {
		if inFlight[w.ID] > 0 {
			next.SetPredecessorInFlight(w.ID, inFlight[w.ID])
		}
	}
}

// recordLearned records the state that the balancer passes to its successor, and returns it.
func (tr *trace) recordLearned() []byte {
	raw, err := json.Marshal(tr.bal.Learned())
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.record("memory %s", raw)
	tr.record("in flight %v", tr.bal.InFlight()) // fmt sorts map keys
	return raw
}

// reconfigure changes the balancer's settings.
func (tr *trace) reconfigure() {
	settings := tr.settings
	settings.Classes = append([]balancer.Class(nil), settings.Classes...)
	settings.Classes[0].PriorityWeight *= 1.5
	settings.Classes[0].LatencyObjective *= 2
	tr.record("configure %v", tr.bal.CanConfigure(settings) == nil)
	tr.bal.Configure(settings)
}
