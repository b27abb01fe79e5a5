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
	Slots             int           // jobs in work at once; more than Cores share them
	QueueCapacity     int           // jobs that may wait; beyond it a worker hands back
	Speed             float64       // of a core: a job of size 1 s runs 1/Speed seconds on one
	SlowStartWindow   time.Duration // from its start until it is warm
	SlowStartMinShare float64       // of its capacity at its start
	ReportInterval    time.Duration // how often its load report is made anew
	ReportNoise       float64       // relative, of a report's values
}

// Worker is a model of a worker: a bounded waiting room in order of arrival before slots
// that share cores.
type Worker struct {
	Name             string
	Zone, Kind, Cell int
	Spec             WorkerSpec

	clock             *Clock
	rng               *rand.Rand
	queue             []*task
	queueHead         int
	running           taskHeap
	workPerJob        float64 // seconds of work that each running job has had since the worker's start
	workUpdatedAt     time.Duration
	completionTimer   eventTimer
	startedAt         time.Duration // 0: long ago
	incarnation       int           // grows with each start: what an earlier life was told is lost
	down              bool
	draining          bool
	slowdown          float64 // a trouble: how many times slower
	slowClass         string  // a trouble: the class that it runs greyBy times slower
	slowClassFactor   float64
	failureShare      float64 // a trouble: the share of jobs that fail at once
	partitioned       bool    // cut off: nothing comes in or goes out
	report            balancer.LoadReport
	reportedAt        time.Duration
	pod               *pod
	slowStartArrivals []slowStartArrival
	meanWork          *workMean // of all workers of its world
	collapsed         bool
	slowStartViolated bool    // and two thirds of what pushed it came from those who knew of its start
	served            float64 // work done, in seconds at speed 1
}

// task is a job at a worker.
type task struct {
	key        string
	size       float64 // seconds at speed 1
	done       func(balancer.Result)
	finishWork float64 // of Worker.work, at which it ends
	index      int
	began      time.Duration
	dropped    bool
}

type taskHeap []*task

func (t taskHeap) Len() int           { return len(t) }
func (t taskHeap) Less(i, j int) bool { return t[i].finishWork < t[j].finishWork }
func (t taskHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *taskHeap) Push(x any) {
	k := x.(*task)
	k.index = len(*t)
	*t = append(*t, k)
}
func (t *taskHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return last
}

// pod is a group of workers that drop repeats of keyed jobs.
type pod struct {
	window time.Duration
	byKey  map[string]*keyedJob
}

type keyedJob struct {
	at         time.Duration
	finished   bool
	duplicates []func(balancer.Result)
}

type slowStartArrival struct {
	at        time.Duration
	work      float64
	knewStart bool // whoever sent it had been told of the start
}

// NewWorker makes a worker that has been up for long.
func NewWorker(clock *Clock, rng *rand.Rand, name string, spec WorkerSpec) *Worker {
	return &Worker{Name: name, Spec: spec, clock: clock, rng: rng, slowdown: 1, report: balancer.NoLoadReport,
		meanWork: &workMean{}}
}

// warmUpFactor is the part of its capacity that the worker has now.
func (w *Worker) warmUpFactor() float64 {
	if w.startedAt == 0 || w.Spec.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(w.clock.now-w.startedAt) / float64(w.Spec.SlowStartWindow)
	return math.Min(1, w.Spec.SlowStartMinShare+(1-w.Spec.SlowStartMinShare)*age)
}

// rate is the work that each running job has done in a second.
func (w *Worker) rate() float64 {
	if len(w.running) == 0 {
		return 0
	}
	share := math.Min(1, float64(w.Spec.Cores)*w.warmUpFactor()/float64(len(w.running)))
	return w.Spec.Speed * share / w.slowdown
}

// updateWork brings the running jobs up to now. It must come before anything that changes
// the rate.
func (w *Worker) updateWork() {
	w.workPerJob += w.rate() * (w.clock.now - w.workUpdatedAt).Seconds()
	w.workUpdatedAt = w.clock.now
}

// scheduleCompletion sets the time at which the next running job ends.
func (w *Worker) scheduleCompletion() {
	w.completionTimer.Stop()
	if len(w.running) == 0 || w.down {
		return
	}
	rate := w.rate()
	left := math.Max(0, w.running[0].finishWork-w.workPerJob) / rate
	d := time.Duration(math.Ceil(left * 1e9))
	if w.warmUpFactor() < 1 {
		// A cold worker's rate grows: look again in a while.
		d = min(d, w.Spec.SlowStartWindow/50)
	}
	w.completionTimer = w.clock.schedule(w.clock.now+d, w.completeJobs)
}

// completeJobs ends the jobs that have had their work.
func (w *Worker) completeJobs() {
	w.updateWork()
	for len(w.running) > 0 && w.running[0].finishWork <= w.workPerJob+1e-9 {
		t := heap.Pop(&w.running).(*task)
		w.served += t.size
		w.finish(t, balancer.OK)
		w.startQueued()
	}
	w.scheduleCompletion()
}

func (w *Worker) finish(t *task, res balancer.Result) {
	if w.pod != nil && t.key != "" {
		if r := w.pod.byKey[t.key]; r != nil && !r.finished {
			r.finished = res == balancer.OK
			for _, f := range r.duplicates {
				f(res)
			}
			r.duplicates = nil
			if res != balancer.OK {
				delete(w.pod.byKey, t.key)
			}
		}
	}
	t.done(res)
}

// startQueued moves waiting jobs into free slots, in their order.
func (w *Worker) startQueued() {
	for len(w.running) < w.Spec.Slots && w.queueHead < len(w.queue) {
		t := w.queue[w.queueHead]
		w.queue[w.queueHead] = nil
		w.queueHead++
		if t.dropped {
			continue
		}
		t.finishWork, t.began = w.workPerJob+t.size, w.clock.now
		heap.Push(&w.running, t)
	}
	if w.queueHead > 64 && w.queueHead*2 > len(w.queue) {
		w.queue = append(w.queue[:0], w.queue[w.queueHead:]...)
		w.queueHead = 0
	}
}

// QueueLength is the number of jobs that wait.
func (w *Worker) QueueLength() int { return len(w.queue) - w.queueHead }

// RunningCount is the number of jobs in work.
func (w *Worker) RunningCount() int { return len(w.running) }

// StartJob takes a job, or hands it back by done(Full). What is returned gives it up. Aware says
// that whoever sends it has been told of the worker's last start.
func (w *Worker) StartJob(
	key, class string,
	size float64,
	aware bool,
	done func(balancer.Result),
) (giveUp func()) {
	none := func() {}
	if w.down || w.collapsed {
		done(balancer.ConnectFailed)
		return none
	}
	w.meanWork.add(size)
	w.checkSlowStart(size, aware)
	if w.failureShare > 0 && w.rng.Float64() < w.failureShare {
		done(balancer.ServerError)
		return none
	}
	if w.pod != nil && key != "" {
		if r := w.pod.byKey[key]; r != nil && w.clock.now-r.at < w.pod.window {
			// A repeat: it is not run again, and has the first one's result.
			if r.finished {
				done(balancer.OK)
			} else {
				r.duplicates = append(r.duplicates, done)
			}
			return none
		}
	}
	if len(w.running) >= w.Spec.Slots && w.QueueLength() >= w.Spec.QueueCapacity || w.draining {
		done(balancer.WorkerFull)
		return none
	}
	if w.pod != nil && key != "" {
		w.pod.byKey[key] = &keyedJob{at: w.clock.now}
	}
	if w.slowClass != "" && w.slowClass == class {
		size *= w.slowClassFactor // it takes longer; what the rule on cold ones counts is no more
	}
	t := &task{key: key, size: size, done: done, index: -1}
	w.updateWork()
	w.queue = append(w.queue, t)
	w.startQueued()
	w.scheduleCompletion()
	life := w.incarnation
	return func() { w.cancel(t, life) }
}

// cancel takes out a job that nobody waits for, waiting or running.
func (w *Worker) cancel(t *task, life int) {
	if t.dropped || life != w.incarnation {
		return
	}
	t.dropped = true
	if w.pod != nil && t.key != "" {
		delete(w.pod.byKey, t.key)
	}
	if t.index >= 0 && t.index < len(w.running) && w.running[t.index] == t {
		w.updateWork()
		heap.Remove(&w.running, t.index)
		w.startQueued()
		w.scheduleCompletion()
	}
}

// workMean is the mean work of the jobs that workers were sent.
type workMean struct{ work, count float64 }

func (m *workMean) add(work float64) {
	m.work += work
	m.count++
}

// slowStartAllowance is how many requests of mean work a cold worker bears in a window for which so many are
// allowed: the rule leaves that much for chance.
func slowStartAllowance(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// checkSlowStart notes what a cold worker is sent, and has it fall over where that is too much: three times
// what it can do at that moment, for a second, in requests of mean work or in that much work. It breaks the
// rule if two thirds of that came from those who had been told of its start.
func (w *Worker) checkSlowStart(size float64, aware bool) {
	if w.warmUpFactor() >= 1 {
		w.slowStartArrivals = w.slowStartArrivals[:0]
		return
	}
	const factor, span = 3, time.Second
	var keep []slowStartArrival
	sum, known := 0.0, 0.0
	for _, t := range append(w.slowStartArrivals, slowStartArrival{w.clock.now, size, aware}) {
		if w.clock.now-t.at < span {
			keep = append(keep, t)
			sum += t.work
			if t.knewStart {
				known += t.work
			}
		}
	}
	w.slowStartArrivals = keep
	can := w.warmUpFactor() * float64(w.Spec.Cores) * w.Spec.Speed * span.Seconds()
	mean := w.meanWork.work / w.meanWork.count
	most := slowStartAllowance(factor * can / mean)
	if (sum/mean > most || float64(len(keep)) > most) && !w.collapsed {
		w.Crash()
		w.collapsed, w.slowStartViolated = true, w.slowStartViolated || 3*known >= 2*sum
	}
}

// Crash ends the worker's life: what it holds is lost.
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
			if w.pod != nil && t.key != "" {
				delete(w.pod.byKey, t.key)
			}
			t.done(balancer.ConnectionReset)
		}
	}
}

// Restart begins a new life, cold.
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

// LoadReport is the load as a probe tells it: as it was when it was last made anew.
func (w *Worker) LoadReport() balancer.LoadReport {
	if !w.report.Received || w.clock.now-w.reportedAt >= w.Spec.ReportInterval {
		noisy := func(v float64) float64 { return math.Max(0, v*(1+w.Spec.ReportNoise*w.rng.NormFloat64())) }
		r := balancer.NoLoadReport
		r.Received, r.QueueLength = true, noisy(float64(w.QueueLength()))
		r.FreeSlots = noisy(float64(w.Spec.Slots - len(w.running)))
		w.report, w.reportedAt = r, w.clock.now
	}
	return w.report
}
