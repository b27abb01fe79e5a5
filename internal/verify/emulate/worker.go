package emulate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"moorstack/balancer"
)

// WorkerSpec is a kind of worker.
type WorkerSpec struct {
	Cores             int           // that compute at once
	Slots             int           // jobs that run at once; more than Cores share them
	QueueCapacity     int           // jobs that may wait; beyond it a worker is full
	Speed             float64       // of a core: a job of size 1 s runs 1/Speed seconds on one
	SlowStartWindow   time.Duration // from its start until it is warmed up
	SlowStartMinShare float64       // of its capacity at its start
	ReportInterval    time.Duration // how often its load report is updated
	ReportNoise       float64       // relative, of a report's values
}

// Worker is a model of a worker: a bounded queue in order of arrival before slots that share cores. It runs
// under its clock, on the goroutine that runs the clock.
type Worker struct {
	Name             string
	Zone, Kind, Cell int // indexes of the scenario's zones and worker groups, and the pod's number
	Spec             WorkerSpec

	clock           *Clock
	random          *rand.Rand
	queue           []*task // from queueHead on
	queueHead       int
	running         taskHeap
	workPerJob      float64       // seconds of work that each running job has had since the worker's start
	workUpdatedAt   time.Duration // when that was so
	completionTimer eventTimer
	startedAt       time.Duration // 0: long ago
	incarnation     int           // grows with each start: what an earlier one was sent is lost
	down            bool
	draining        bool
	report          balancer.LoadReport
	reportedAt      time.Duration
	pod             *pod // nil: it drops no duplicates

	meanWork          *workMean // of all workers of its world
	slowStartArrivals []slowStartArrival
	collapsed         bool // it was overloaded in slow start
	slowStartViolated bool // and two thirds of that came from nodes that knew of its start

	// Faults.
	slowdown        float64 // how many times slower; 1: none
	slowClass       string  // the class that it runs slowClassFactor times slower
	slowClassFactor float64
	failureShare    float64 // the share of jobs that fail at once
	partitioned     bool    // nothing comes in or goes out
}

// NewWorker makes a worker that has been up for long.
func NewWorker(clock *Clock, random *rand.Rand, name string, spec WorkerSpec) *Worker {
	return &Worker{Name: name, Spec: spec, clock: clock, random: random, slowdown: 1,
		report: balancer.NoLoadReport, meanWork: &workMean{}}
}

// JobRequest is a job as a worker is sent it.
type JobRequest struct {
	Key       string // the idempotency key; empty: none
	Class     string
	Size      float64 // seconds of work on a core of speed 1
	KnewStart bool    // whoever sends it has received the worker's last start
}

// StartJob accepts a job, or rejects it by a call of done with balancer.WorkerFull or another result. Done is
// called once, maybe before StartJob returns, unless cancel is called before.
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
		t.size *= w.slowClassFactor // it takes longer; what the rule on slow start counts is no more
	}
	w.updateWork()
	w.queue = append(w.queue, t)
	w.startQueued()
	w.scheduleCompletion()
	incarnation := w.incarnation
	return func() { w.cancel(t, incarnation) }
}

// cancel takes out a job that nobody waits for, queued or running.
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

// Crash ends the worker's incarnation: its jobs are lost.
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

// Restart begins an incarnation, in slow start.
func (w *Worker) Restart() {
	w.down, w.collapsed, w.startedAt, w.draining = false, false, max(w.clock.now, 1), false
	w.workPerJob, w.workUpdatedAt, w.slowStartArrivals = 0, w.clock.now, w.slowStartArrivals[:0]
}

// SetSlowdown has the worker run so many times slower; 1 is its own speed.
func (w *Worker) SetSlowdown(times float64) {
	w.updateWork()
	w.slowdown = times
	w.scheduleCompletion()
}

// QueueLength is the number of jobs that wait.
func (w *Worker) QueueLength() int { return len(w.queue) - w.queueHead }

// RunningCount is the number of jobs that run.
func (w *Worker) RunningCount() int { return len(w.running) }

// LoadReport is the load as a health check reads it: as it was when it was last updated, with noise.
func (w *Worker) LoadReport() balancer.LoadReport {
	if !w.report.Received || w.clock.now-w.reportedAt >= w.Spec.ReportInterval {
		noisy := func(v float64) float64 {
			return math.Max(0, v*(1+w.Spec.ReportNoise*w.random.NormFloat64()))
		}
		r := balancer.NoLoadReport
		r.Received, r.QueueLength = true, noisy(float64(w.QueueLength()))
		r.FreeSlots = noisy(float64(w.Spec.Slots - len(w.running)))
		w.report, w.reportedAt = r, w.clock.now
	}
	return w.report
}
