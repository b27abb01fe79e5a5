package expect

import (
	"container/heap"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// virtualClock is virtual time: what is due runs in its order, and nothing waits.
type virtualClock struct {
	now   time.Duration
	queue timers
	seq   int
}

type timer struct {
	at   time.Duration
	seq  int
	f    func()
	done bool
}

func (t *timer) Stop() { t.done = true }

type timers []*timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(*timer)) }
func (q *timers) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (c *virtualClock) Now() time.Duration { return c.now }

func (c *virtualClock) At(at time.Duration, f func()) broker.Timer {
	c.seq++
	t := &timer{at: max(at, c.now), seq: c.seq, f: f}
	heap.Push(&c.queue, t)
	return t
}

// runUntil runs what is due up to a time, or until stop says so.
func (c *virtualClock) runUntil(end time.Duration, stop func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= end && !stop() {
		t := heap.Pop(&c.queue).(*timer)
		if t.done {
			continue
		}
		c.now = t.at
		t.f()
	}
	if !stop() {
		c.now = max(c.now, end)
	}
}

// startTime is the time of day at which a world begins: a Sunday at seven, so that ages
// reach back without a start time of 0, which means long ago.
const startTime = 1_000 * time.Hour

const (
	healthCheckLatency = time.Millisecond       // until a probe is answered
	connectTimeout     = 250 * time.Millisecond // until an attempt at a worker that is not reached fails
	errorLatency       = 5 * time.Millisecond   // until a worker answers with an error, or that it is full
)

// simulation is one node with its workers and one job.
type simulation struct {
	suite       *Suite
	clock       virtualClock
	broker      *broker.Broker
	endpoints   map[string]*stubEndpoint
	attempts    []*stubEndpoint
	response    *broker.Response
	respondedAt time.Duration
}

// stubEndpoint is a stand-in for a worker.
type stubEndpoint struct {
	sim         *simulation
	worker      *Worker
	state       balancer.WorkerState
	reachable   bool
	jobResponse string
}

var _ broker.Endpoint = (*stubEndpoint)(nil)

// StartAttempt implements core.NextHop.
func (h *stubEndpoint) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	h.sim.attempts = append(h.sim.attempts, h)
	took, res := h.sim.serviceTime(b), balancer.OK
	switch {
	case !h.reachable:
		took, res = connectTimeout, balancer.ConnectFailed
	case h.jobResponse == "error":
		took, res = errorLatency, balancer.ServerError
	case h.jobResponse == "full":
		took, res = errorLatency, balancer.WorkerFull
	}
	h.sim.clock.At(
		h.sim.clock.now+took,
		func() { h.sim.broker.EndAttempt(b.ID, res, []byte("done"), balancer.NoLoadReport) },
	)
	return stubAttempt{}
}

func (w *simulation) serviceTime(b broker.Attempt) time.Duration {
	if t, ok := b.Payload.(*Job); ok && t.CostHint > 0 {
		return time.Duration(t.CostHint)
	}
	return time.Second
}

type stubAttempt struct{}

func (stubAttempt) Abandon() {}

// CheckHealth implements core.NextHop.
func (h *stubEndpoint) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	h.sim.clock.At(h.sim.clock.now+healthCheckLatency, func() {
		if !h.reachable {
			done(balancer.ConnectFailed, balancer.NoLoadReport)
			return
		}
		r := balancer.NoLoadReport
		r.Received, r.FreeSlots, r.QueueLength = true, h.worker.FreeSlots, h.worker.QueueLength
		done(balancer.OK, r)
	})
}

// CloseIdle implements core.NextHop.
func (h *stubEndpoint) CloseIdle() {}

func (h *stubEndpoint) entry() broker.ListEntry {
	w := h.worker
	e := broker.ListEntry{
		Name:     w.Name,
		Zone:     indexOf(h.sim.suite.knownNames.Zones, w.Zone),
		Kind:     indexOf(h.sim.suite.knownNames.Kinds, w.Kind),
		Cell:     w.Cell,
		State:    h.state,
		Size:     1,
		Labels:   w.Labels,
		Endpoint: h,
	}
	if w.Age > 0 {
		e.StartedAt = startTime - time.Duration(w.Age)
	}
	return e
}

// routingJob is the job as the rules see it.
func (s *Suite) routingJob(j *Job) *routing.Job {
	front := j.Frontend
	if front == "" {
		front = "http"
	}
	return &routing.Job{
		Frontend: front,
		Class:    indexOf(s.knownNames.Classes, j.Class),
		Tenant:   indexOf(s.knownNames.Tenants, j.Tenant),
		Host:     j.Host,
		Path:     j.Path,
		Header:   func(name string) string { return j.Headers[name] },
		RouteKey: j.RouteKey,
		CostHint: time.Duration(j.CostHint),
		Queue:    j.Queue,
		JobType:  j.JobType,
		ID:       "expectation",
	}
}

var discardLogger = func() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}()

// newSimulation makes the world of an expectation, up to the moment before its job comes.
func (s *Suite) newSimulation(e *Expectation, seed uint64) (*simulation, error) {
	w := &simulation{suite: s, clock: virtualClock{now: startTime}, endpoints: map[string]*stubEndpoint{}}
	var err error
	if w.broker, err = broker.New(s.settings, seed, &w.clock, nil, discardLogger); err != nil {
		return nil, err
	}
	var entries []broker.ListEntry
	for _, worker := range s.workerSets[e.WorkerSet] {
		h := &stubEndpoint{
			sim:       w,
			worker:    worker,
			state:     workerStates[worker.Lifecycle],
			reachable: worker.Reachable == nil || *worker.Reachable,
		}
		w.endpoints[worker.Name] = h
		entries = append(entries, h.entry())
	}
	w.broker.UpdateEndpoints(balancer.ListFull, entries)
	for _, v := range e.Events {
		w.clock.At(startTime+time.Duration(v.At), func() { w.applyEvent(v) })
	}
	after := time.Duration(e.After)
	if after == 0 {
		after = defaultJobDelay
	}
	// What happens at the moment of the job has happened before it.
	w.clock.runUntil(startTime+after, func() bool { return false })
	return w, nil
}

// defaultJobDelay is how long after the news of the roster a job comes, where nothing is said: the
// first probes have come back.
const defaultJobDelay = 200 * time.Millisecond

func (w *simulation) applyEvent(v Event) {
	h := w.endpoints[v.Worker]
	if h == nil {
		return // not of this roster
	}
	if v.Reachable != nil {
		h.reachable = *v.Reachable
	}
	if v.JobResponse != "" {
		h.jobResponse = v.JobResponse
	}
	if v.Lifecycle != "" {
		h.state = workerStates[v.Lifecycle]
		e := h.entry()
		if e.State == balancer.Removed {
			e.Endpoint = nil
		}
		w.broker.UpdateEndpoints(balancer.ListDelta, []broker.ListEntry{e})
	}
}

// Respond implements core.Client.
func (w *simulation) Respond(a broker.Response) { w.response, w.respondedAt = &a, w.clock.now }

// brokerRequest is the job as the core takes it.
func (s *Suite) brokerRequest(j *Job, d routing.Decision) broker.Request {
	left := time.Duration(j.Timeout)
	if left == 0 {
		left = s.settings.Classes[d.Class].Timeout
	}
	return broker.Request{
		ID:             "expectation",
		Class:          d.Class,
		Tenant:         max(indexOf(s.knownNames.Tenants, j.Tenant), 0),
		Timeout:        left,
		ExpectedWork:   time.Duration(j.CostHint),
		Payload:        j,
		Route:          d.Route,
		MaxAttempts:    d.MaxAttempts,
		AttemptTimeout: d.AttemptTimeout,
	}
}

// run has the job come and goes on until it is answered, or as far as first asks.
func (w *simulation) run(j *Job, d routing.Decision, firstOnly bool) error {
	t := w.suite.brokerRequest(j, d)
	if err := w.broker.Submit(t, w); err != nil {
		return err
	}
	w.clock.runUntil(w.clock.now+t.Timeout+time.Second, func() bool {
		return w.response != nil || firstOnly && len(w.attempts) > 0
	})
	return nil
}
