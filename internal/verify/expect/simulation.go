package expect

import (
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// startTime is the virtual time at which a simulation begins. It is large because a worker's start time is
// startTime minus its age, and a start time of 0 means that the worker started long ago.
const startTime = 1_000 * time.Hour

const (
	healthCheckLatency = time.Millisecond       // of a reachable worker
	connectTimeout     = 250 * time.Millisecond // of an attempt at an unreachable worker
	errorLatency       = 5 * time.Millisecond   // until a worker responds with an error or that it is full
	defaultServiceTime = time.Second            // of a job without expected work
	// defaultJobDelay is the delay from the endpoint list to the job if the expectation sets none. It is long
	// enough for the first health checks to end.
	defaultJobDelay = 200 * time.Millisecond
)

// requestID is the ID of the job in every simulation.
const requestID = "expectation"

// simulation simulates a node with its workers and one job. It is not safe for concurrent use.
type simulation struct {
	suite     *Suite
	clock     virtualClock
	broker    *broker.Broker
	endpoints map[string]*stubEndpoint // by worker name
	attempts  []*stubEndpoint          // endpoints of the attempts, in order
	response  *broker.Response         // nil: not received yet
}

var discardLogger = func() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}()

// newSimulation returns the simulation of an expectation, advanced to the time at which its job is submitted.
func (s *Suite) newSimulation(e *Expectation, seed uint64) (*simulation, error) {
	sim := &simulation{suite: s, clock: virtualClock{now: startTime}, endpoints: map[string]*stubEndpoint{}}
	var err error
	if sim.broker, err = broker.New(s.settings, seed, &sim.clock, nil, discardLogger); err != nil {
		return nil, err
	}
	var entries []broker.ListEntry
	for _, worker := range s.workerSets[e.WorkerSet] {
		endpoint := newStubEndpoint(sim, worker)
		sim.endpoints[worker.Name] = endpoint
		entries = append(entries, endpoint.entry())
	}
	sim.broker.UpdateEndpoints(balancer.ListFull, entries)
	for _, v := range e.Events {
		sim.clock.At(startTime+time.Duration(v.At), func() { sim.applyEvent(v) })
	}
	delay := time.Duration(e.After)
	if delay == 0 {
		delay = defaultJobDelay
	}
	// Events at the same time as the job run before it.
	sim.clock.runUntil(startTime+delay, func() bool { return false })
	return sim, nil
}

func (sim *simulation) applyEvent(v Event) {
	endpoint := sim.endpoints[v.Worker]
	if endpoint == nil {
		return // the worker is not in this worker set
	}
	if v.Reachable != nil {
		endpoint.reachable = *v.Reachable
	}
	if v.JobResponse != "" {
		endpoint.jobResponse = v.JobResponse
	}
	if v.Lifecycle != "" {
		endpoint.state, _ = v.Lifecycle.workerState()
		entry := endpoint.entry()
		if entry.State == balancer.Removed {
			entry.Endpoint = nil
		}
		sim.broker.UpdateEndpoints(balancer.ListDelta, []broker.ListEntry{entry})
	}
}

// run submits the job and advances the clock until its response or, with firstAttemptOnly, its first attempt.
func (sim *simulation) run(j *Job, d routing.Decision, firstAttemptOnly bool) error {
	request := sim.suite.brokerRequest(j, d)
	if err := sim.broker.Submit(request, sim); err != nil {
		return err
	}
	sim.clock.runUntil(sim.clock.now+request.Timeout+time.Second, func() bool {
		return sim.response != nil || firstAttemptOnly && len(sim.attempts) > 0
	})
	return nil
}

// Respond implements broker.Client.
func (sim *simulation) Respond(r broker.Response) { sim.response = &r }

// brokerRequest converts a job and its routing decision to the broker's request.
func (s *Suite) brokerRequest(j *Job, d routing.Decision) broker.Request {
	timeout := time.Duration(j.Timeout)
	if timeout == 0 {
		timeout = s.settings.Classes[d.Class].Timeout
	}
	return broker.Request{
		ID:             requestID,
		Class:          d.Class,
		Tenant:         max(slices.Index(s.knownNames.Tenants, j.Tenant), 0),
		Timeout:        timeout,
		ExpectedWork:   time.Duration(j.ExpectedWork),
		Payload:        j,
		Route:          d.Route,
		MaxAttempts:    d.MaxAttempts,
		AttemptTimeout: d.AttemptTimeout,
	}
}

// stubEndpoint simulates a worker.
type stubEndpoint struct {
	sim         *simulation
	worker      *Worker
	state       balancer.WorkerState
	reachable   bool
	jobResponse JobResponse // empty: RespondOK
}

var _ broker.Endpoint = (*stubEndpoint)(nil)

func newStubEndpoint(sim *simulation, w *Worker) *stubEndpoint {
	state, _ := w.Lifecycle.workerState()
	return &stubEndpoint{sim: sim, worker: w, state: state,
		reachable: w.Reachable == nil || *w.Reachable}
}

// StartAttempt implements broker.Endpoint.
func (e *stubEndpoint) StartAttempt(a broker.Attempt) broker.RunningAttempt {
	e.sim.attempts = append(e.sim.attempts, e)
	took, result := serviceTime(a), balancer.OK
	switch {
	case !e.reachable:
		took, result = connectTimeout, balancer.ConnectFailed
	case e.jobResponse == RespondError:
		took, result = errorLatency, balancer.ServerError
	case e.jobResponse == RespondFull:
		took, result = errorLatency, balancer.WorkerFull
	}
	e.sim.clock.At(e.sim.clock.now+took, func() {
		e.sim.broker.EndAttempt(a.ID, result, []byte("done"), balancer.NoLoadReport)
	})
	return stubAttempt{}
}

func serviceTime(a broker.Attempt) time.Duration {
	if j, ok := a.Payload.(*Job); ok && j.ExpectedWork > 0 {
		return time.Duration(j.ExpectedWork)
	}
	return defaultServiceTime
}

// stubAttempt is a running attempt. Abandoning it has no effect: it still ends at its planned time.
type stubAttempt struct{}

// Abandon implements broker.RunningAttempt.
func (stubAttempt) Abandon() {}

// CheckHealth implements broker.Endpoint.
func (e *stubEndpoint) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	e.sim.clock.At(e.sim.clock.now+healthCheckLatency, func() {
		if !e.reachable {
			done(balancer.ConnectFailed, balancer.NoLoadReport)
			return
		}
		report := balancer.NoLoadReport
		report.Received = true
		report.FreeSlots, report.QueueLength = e.worker.FreeSlots, e.worker.QueueLength
		done(balancer.OK, report)
	})
}

// entry returns the worker's entry in the endpoint list.
func (e *stubEndpoint) entry() broker.ListEntry {
	w, names := e.worker, &e.sim.suite.knownNames
	entry := broker.ListEntry{
		Name:     w.Name,
		Zone:     slices.Index(names.Zones, w.Zone),
		Kind:     slices.Index(names.Kinds, w.Kind),
		Cell:     w.Cell,
		State:    e.state,
		Size:     1,
		Labels:   w.Labels,
		Endpoint: e,
	}
	if w.Age > 0 {
		entry.StartedAt = startTime - time.Duration(w.Age)
	}
	return entry
}
