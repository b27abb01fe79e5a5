package emulate

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"moorstack/balancer"
	"moorstack/internal/portablemath"
)

// WorkerSpec describes a kind of worker.
type WorkerSpec struct {
	Cores             int           // cores that compute in parallel
	Slots             int           // jobs that run concurrently; if more than Cores, they share the cores
	QueueCapacity     int           // jobs that may be queued; beyond that the worker is full
	Speed             float64       // of a core: a job of size 1 s runs for 1/Speed seconds on one
	SlowStartWindow   time.Duration // from the start until the worker is warm
	SlowStartMinShare float64       // share of its capacity available at the start
	ReportInterval    time.Duration // interval at which its load report is updated
	ReportNoise       float64       // relative noise of a report's values
}

// Worker is a model of a worker: a bounded FIFO queue in front of slots that share cores. It is driven by its
// clock, on the goroutine that runs the clock.
type Worker struct {
	Name             string
	Zone, Kind, Cell int // index of its zone, index of its worker group, and number of its pod
	Spec             WorkerSpec

	clock           *Clock
	random          *rand.Rand
	queue           []*task // entries before queueHead have been removed
	queueHead       int
	running         taskHeap
	workPerJob      float64       // seconds of work that each running job has received since the start
	workUpdatedAt   time.Duration // when workPerJob was last updated
	completionTimer eventTimer
	startedAt       time.Duration // 0: long ago
	incarnation     int           // incremented on each crash; jobs of earlier incarnations are lost
	down            bool
	draining        bool
	report          balancer.LoadReport
	reportedAt      time.Duration
	pod             *pod // nil: it does not drop duplicates

	meanWork          *workMean // shared by all workers of the world
	slowStartArrivals []slowStartArrival
	collapsed         bool // it was overloaded in slow start
	slowStartViolated bool // at least two thirds of the overload came from nodes that knew of its start

	// Active faults.
	slowdown        float64 // factor by which it is slower; 1: none
	slowClass       string  // class whose jobs take slowClassFactor times as long; empty: none
	slowClassFactor float64
	failureShare    float64 // share of the jobs that fail at once
	partitioned     bool    // all messages to and from it are lost
}

// NewWorker returns a worker that has been running for a long time, so that it is warm.
func NewWorker(clock *Clock, random *rand.Rand, name string, spec WorkerSpec) *Worker {
	return &Worker{Name: name, Spec: spec, clock: clock, random: random, slowdown: 1,
		report: balancer.NoLoadReport, meanWork: &workMean{}}
}

// JobRequest is a job as sent to a worker.
type JobRequest struct {
	Key       string // the idempotency key; empty: none
	Class     string
	Size      float64 // seconds of work on a core of speed 1
	KnewStart bool    // the sender has received the worker's last start
}

// StartJob accepts a job, or rejects it by calling done with balancer.WorkerFull or another result. It calls
// done once, possibly before it returns, unless cancel is called first.
func (w *Worker) StartJob(r JobRequest, done func(balancer.Result)) (cancel func()) {
	none := func() {}
	if w.down || w.collapsed {
		done(balancer.ConnectFailed)
		return none
	}
	w.meanWork.add(r.Size)
	w.checkSlowStart(r.Size, r.KnewStart)
	if w.failureShare > 0 && w.random.Float64() < w.failureShare {
		done(balancer.ServerError)
		return none
	}
	if w.pod.dropDuplicate(r.Key, w.clock.now, done) {
		return none
	}
	if len(w.running) >= w.Spec.Slots && w.QueueLength() >= w.Spec.QueueCapacity || w.draining {
		done(balancer.WorkerFull)
		return none
	}
	w.pod.begin(r.Key, w.clock.now)
	t := &task{key: r.Key, size: r.Size, done: done, index: -1}
	if w.slowClass != "" && w.slowClass == r.Class {
		t.size *= w.slowClassFactor // extends the service time, but does not count towards the overload rule
	}
	w.updateWork()
	w.queue = append(w.queue, t)
	w.startQueued()
	w.scheduleCompletion()
	incarnation := w.incarnation
	return func() { w.cancel(t, incarnation) }
}

// cancel removes a queued or running job.
func (w *Worker) cancel(t *task, incarnation int) {
	if t.dropped || incarnation != w.incarnation {
		return
	}
	t.dropped = true
	w.pod.forget(t.key)
	if t.index >= 0 && t.index < len(w.running) && w.running[t.index] == t {
		w.updateWork()
		heap.Remove(&w.running, t.index)
		w.startQueued()
		w.scheduleCompletion()
	}
}

// Crash ends the worker's incarnation. Its jobs are lost.
func (w *Worker) Crash() {
	if w.down {
		return
	}
	w.updateWork()
	w.down, w.incarnation = true, w.incarnation+1
	w.completionTimer.Stop()
	lost := append([]*task(nil), w.running...)
	lost = append(lost, w.queue[w.queueHead:]...)
	w.running, w.queue, w.queueHead = w.running[:0], nil, 0
	for _, t := range lost {
		if t != nil && !t.dropped {
			t.dropped = true
			w.pod.forget(t.key)
			t.done(balancer.ConnectionReset)
		}
	}
}

// Restart begins a new incarnation, in slow start.
func (w *Worker) Restart() {
	w.down, w.collapsed, w.startedAt, w.draining = false, false, max(w.clock.now, 1), false
	w.workPerJob, w.workUpdatedAt, w.slowStartArrivals = 0, w.clock.now, w.slowStartArrivals[:0]
}

// SetSlowdown divides the worker's speed by a factor; 1 restores its normal speed.
func (w *Worker) SetSlowdown(factor float64) {
	w.updateWork()
	w.slowdown = factor
	w.scheduleCompletion()
}

// QueueLength returns the number of queued jobs.
func (w *Worker) QueueLength() int { return len(w.queue) - w.queueHead }

// RunningCount returns the number of running jobs.
func (w *Worker) RunningCount() int { return len(w.running) }

// LoadReport returns the load as a health check reads it: updated every ReportInterval, with noise.
func (w *Worker) LoadReport() balancer.LoadReport {
	if !w.report.Received || w.clock.now-w.reportedAt >= w.Spec.ReportInterval {
		noisy := func(v float64) float64 {
			return max(0, v*(1+float64(w.Spec.ReportNoise*portablemath.Normal(w.random))))
		}
		r := balancer.NoLoadReport
		r.Received, r.QueueLength = true, noisy(float64(w.QueueLength()))
		r.FreeSlots = noisy(float64(w.Spec.Slots - len(w.running)))
		w.report, w.reportedAt = r, w.clock.now
	}
	return w.report
}
