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

// clock is virtual time: what is due runs in its order, and nothing waits.
type clock struct {
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

func (c *clock) Now() time.Duration { return c.now }

func (c *clock) At(at time.Duration, f func()) broker.Timer {
	c.seq++
	t := &timer{at: max(at, c.now), seq: c.seq, f: f}
	heap.Push(&c.queue, t)
	return t
}

// until runs what is due up to a time, or until stop says so.
func (c *clock) until(end time.Duration, stop func() bool) {
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

// origin is the time of day at which a world begins: a Sunday at seven, so that ages
// reach back without a start time of 0, which means long ago.
const origin = 1_000 * time.Hour

const (
	probing    = time.Millisecond       // until a probe is answered
	connecting = 250 * time.Millisecond // until an attempt at a worker that is not reached fails
	failing    = 5 * time.Millisecond   // until a worker answers with an error, or that it is full
)

// world is one node with its workers and one job.
type world struct {
	s        *Suite
	clock    clock
	core     *broker.Core
	hops     map[string]*hop
	attempts []*hop
	answer   *broker.Answer
	answered time.Duration
}

// hop is a stand-in for a worker.
type hop struct {
	w       *world
	worker  *Worker
	state   balancer.State
	reach   bool
	answers string
}

var _ broker.NextHop = (*hop)(nil)

// Start implements core.NextHop.
func (h *hop) Start(b broker.Branch) broker.Running {
	h.w.attempts = append(h.w.attempts, h)
	took, res := h.w.cost(b), balancer.OK
	switch {
	case !h.reach:
		took, res = connecting, balancer.ConnectFailed
	case h.answers == "error":
		took, res = failing, balancer.Error
	case h.answers == "full":
		took, res = failing, balancer.Full
	}
	h.w.clock.At(h.w.clock.now+took, func() { h.w.core.End(b.ID, res, []byte("done"), balancer.NoReport) })
	return abandoned{}
}

func (w *world) cost(b broker.Branch) time.Duration {
	if t, ok := b.Job.(*Job); ok && t.Cost > 0 {
		return time.Duration(t.Cost)
	}
	return time.Second
}

type abandoned struct{}

func (abandoned) GiveUp() {}

// Probe implements core.NextHop.
func (h *hop) Probe(done func(balancer.Result, balancer.Report)) {
	h.w.clock.At(h.w.clock.now+probing, func() {
		if !h.reach {
			done(balancer.ConnectFailed, balancer.NoReport)
			return
		}
		r := balancer.NoReport
		r.Told, r.FreeSlots, r.Queue = true, h.worker.Free, h.worker.Queue
		done(balancer.OK, r)
	})
}

// CloseIdle implements core.NextHop.
func (h *hop) CloseIdle() {}

func (h *hop) entry() broker.Entry {
	w := h.worker
	e := broker.Entry{
		Name:   w.Name,
		Zone:   index(h.w.s.names.Zones, w.Zone),
		Kind:   index(h.w.s.names.Kinds, w.Kind),
		Cell:   w.Cell,
		State:  h.state,
		Size:   1,
		Labels: w.Labels,
		Hop:    h,
	}
	if w.Age > 0 {
		e.Since = origin - time.Duration(w.Age)
	}
	return e
}

// about is the job as the rules see it.
func (s *Suite) about(j *Job) *routing.Job {
	front := j.Front
	if front == "" {
		front = "http"
	}
	return &routing.Job{
		Front:  front,
		Class:  index(s.names.Classes, j.Class),
		Tenant: index(s.names.Tenants, j.Tenant),
		Host:   j.Host,
		Path:   j.Path,
		Header: func(name string) string { return j.Header[name] },
		Key:    j.Key,
		Cost:   time.Duration(j.Cost),
		Queue:  j.Queue,
		Type:   j.Type,
		ID:     "expectation",
	}
}

var silent = func() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}()

// newWorld makes the world of an expectation, up to the moment before its job comes.
func (s *Suite) newWorld(e *Expect, seed uint64) (*world, error) {
	w := &world{s: s, clock: clock{now: origin}, hops: map[string]*hop{}}
	var err error
	if w.core, err = broker.New(s.set, seed, &w.clock, nil, silent); err != nil {
		return nil, err
	}
	var entries []broker.Entry
	for _, worker := range s.rosters[e.Roster] {
		h := &hop{
			w:      w,
			worker: worker,
			state:  lifecycles[worker.Lifecycle],
			reach:  worker.Reachable == nil || *worker.Reachable,
		}
		w.hops[worker.Name] = h
		entries = append(entries, h.entry())
	}
	w.core.RouteSet(balancer.Whole, entries)
	for _, v := range e.Events {
		w.clock.At(origin+time.Duration(v.At), func() { w.happen(v) })
	}
	after := time.Duration(e.After)
	if after == 0 {
		after = settling
	}
	// What happens at the moment of the job has happened before it.
	w.clock.until(origin+after, func() bool { return false })
	return w, nil
}

// settling is how long after the news of the roster a job comes, where nothing is said: the
// first probes have come back.
const settling = 200 * time.Millisecond

func (w *world) happen(v Event) {
	h := w.hops[v.Worker]
	if h == nil {
		return // not of this roster
	}
	if v.Reachable != nil {
		h.reach = *v.Reachable
	}
	if v.Answers != "" {
		h.answers = v.Answers
	}
	if v.Lifecycle != "" {
		h.state = lifecycles[v.Lifecycle]
		e := h.entry()
		if e.State == balancer.Removed {
			e.Hop = nil
		}
		w.core.RouteSet(balancer.Changes, []broker.Entry{e})
	}
}

// Answer implements core.Client.
func (w *world) Answer(a broker.Answer) { w.answer, w.answered = &a, w.clock.now }

// transaction is the job as the core takes it.
func (s *Suite) transaction(j *Job, d routing.Decision) broker.Transaction {
	left := time.Duration(j.Timeout)
	if left == 0 {
		left = s.set.Classes[d.Class].Deadline
	}
	return broker.Transaction{
		ID:       "expectation",
		Class:    d.Class,
		Tenant:   max(index(s.names.Tenants, j.Tenant), 0),
		Left:     left,
		Work:     time.Duration(j.Cost),
		Job:      j,
		Route:    d.Route,
		Attempts: d.Attempts,
		Limit:    d.Timeout,
	}
}

// run has the job come and goes on until it is answered, or as far as first asks.
func (w *world) run(j *Job, d routing.Decision, firstOnly bool) error {
	t := w.s.transaction(j, d)
	if err := w.core.Begin(t, w); err != nil {
		return err
	}
	w.clock.until(w.clock.now+t.Left+time.Second, func() bool {
		return w.answer != nil || firstOnly && len(w.attempts) > 0
	})
	return nil
}
