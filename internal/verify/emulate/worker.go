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
	Cores     int           // that compute at once
	Slots     int           // jobs in work at once; more than Cores share them
	Room      int           // jobs that may wait; beyond it a worker hands back
	Speed     float64       // of a core: a job of size 1 s runs 1/Speed seconds on one
	Cold      time.Duration // from its start until it is warm
	ColdShare float64       // of its capacity at its start
	Refresh   time.Duration // how often its load report is made anew
	Noise     float64       // relative, of a report's values
}

// Worker is a model of a worker: a bounded waiting room in order of arrival before slots
// that share cores.
type Worker struct {
	Name             string
	Zone, Kind, Cell int
	Spec             WorkerSpec

	clock   *Clock
	rng     *rand.Rand
	waiting []*task
	head    int
	running tasks
	work    float64 // seconds of work that each running job has had since the worker's start
	at      time.Duration
	next    handle
	started time.Duration // 0: long ago
	life    int           // grows with each start: what an earlier life was told is lost
	down    bool
	drains  bool
	slow    float64 // a trouble: how many times slower
	grey    string  // a trouble: the class that it runs greyBy times slower
	greyBy  float64
	failing float64 // a trouble: the share of jobs that fail at once
	lossy   bool    // cut off: nothing comes in or goes out
	report  balancer.LoadReport
	told    time.Duration
	pod     *pod
	taken   []coldWork
	jobs    *jobMean // of all workers of its world
	fell    bool
	pushed  bool    // and two thirds of what pushed it came from those who knew of its start
	served  float64 // work done, in seconds at speed 1
}

// task is a job at a worker.
type task struct {
	key   string
	size  float64 // seconds at speed 1
	done  func(balancer.Result)
	until float64 // of Worker.work, at which it ends
	index int
	began time.Duration
	gone  bool
}

type tasks []*task

func (t tasks) Len() int           { return len(t) }
func (t tasks) Less(i, j int) bool { return t[i].until < t[j].until }
func (t tasks) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *tasks) Push(x any) {
	k := x.(*task)
	k.index = len(*t)
	*t = append(*t, k)
}
func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return last
}

// pod is a group of workers that drop repeats of keyed jobs.
type pod struct {
	window time.Duration
	seen   map[string]*repeat
}

type repeat struct {
	at      time.Duration
	over    bool
	waiting []func(balancer.Result)
}

type coldWork struct {
	at    time.Duration
	work  float64
	aware bool // whoever sent it had been told of the start
}

// NewWorker makes a worker that has been up for long.
func NewWorker(clock *Clock, rng *rand.Rand, name string, spec WorkerSpec) *Worker {
	return &Worker{Name: name, Spec: spec, clock: clock, rng: rng, slow: 1, report: balancer.NoLoadReport,
		jobs: &jobMean{}}
}

// warmth is the part of its capacity that the worker has now.
func (w *Worker) warmth() float64 {
	if w.started == 0 || w.Spec.Cold <= 0 {
		return 1
	}
	age := float64(w.clock.now-w.started) / float64(w.Spec.Cold)
	return math.Min(1, w.Spec.ColdShare+(1-w.Spec.ColdShare)*age)
}

// rate is the work that each running job has done in a second.
func (w *Worker) rate() float64 {
	if len(w.running) == 0 {
		return 0
	}
	share := math.Min(1, float64(w.Spec.Cores)*w.warmth()/float64(len(w.running)))
	return w.Spec.Speed * share / w.slow
}

// progress brings the running jobs up to now. It must come before anything that changes
// the rate.
func (w *Worker) progress() {
	w.work += w.rate() * (w.clock.now - w.at).Seconds()
	w.at = w.clock.now
}

// plan sets the time at which the next running job ends.
func (w *Worker) plan() {
	w.next.Stop()
	if len(w.running) == 0 || w.down {
		return
	}
	rate := w.rate()
	left := math.Max(0, w.running[0].until-w.work) / rate
	d := time.Duration(math.Ceil(left * 1e9))
	if w.warmth() < 1 {
		// A cold worker's rate grows: look again in a while.
		d = min(d, w.Spec.Cold/50)
	}
	w.next = w.clock.at(w.clock.now+d, w.advance)
}

// advance ends the jobs that have had their work.
func (w *Worker) advance() {
	w.progress()
	for len(w.running) > 0 && w.running[0].until <= w.work+1e-9 {
		t := heap.Pop(&w.running).(*task)
		w.served += t.size
		w.finish(t, balancer.OK)
		w.admit()
	}
	w.plan()
}

func (w *Worker) finish(t *task, res balancer.Result) {
	if w.pod != nil && t.key != "" {
		if r := w.pod.seen[t.key]; r != nil && !r.over {
			r.over = res == balancer.OK
			for _, f := range r.waiting {
				f(res)
			}
			r.waiting = nil
			if res != balancer.OK {
				delete(w.pod.seen, t.key)
			}
		}
	}
	t.done(res)
}

// admit moves waiting jobs into free slots, in their order.
func (w *Worker) admit() {
	for len(w.running) < w.Spec.Slots && w.head < len(w.waiting) {
		t := w.waiting[w.head]
		w.waiting[w.head] = nil
		w.head++
		if t.gone {
			continue
		}
		t.until, t.began = w.work+t.size, w.clock.now
		heap.Push(&w.running, t)
	}
	if w.head > 64 && w.head*2 > len(w.waiting) {
		w.waiting = append(w.waiting[:0], w.waiting[w.head:]...)
		w.head = 0
	}
}

// Queue is the number of jobs that wait.
func (w *Worker) Queue() int { return len(w.waiting) - w.head }

// Busy is the number of jobs in work.
func (w *Worker) Busy() int { return len(w.running) }

// Take takes a job, or hands it back by done(Full). What is returned gives it up. Aware says
// that whoever sends it has been told of the worker's last start.
func (w *Worker) Take(
	key, class string,
	size float64,
	aware bool,
	done func(balancer.Result),
) (giveUp func()) {
	none := func() {}
	if w.down || w.fell {
		done(balancer.ConnectFailed)
		return none
	}
	w.jobs.add(size)
	w.cold(size, aware)
	if w.failing > 0 && w.rng.Float64() < w.failing {
		done(balancer.ServerError)
		return none
	}
	if w.pod != nil && key != "" {
		if r := w.pod.seen[key]; r != nil && w.clock.now-r.at < w.pod.window {
			// A repeat: it is not run again, and has the first one's result.
			if r.over {
				done(balancer.OK)
			} else {
				r.waiting = append(r.waiting, done)
			}
			return none
		}
	}
	if len(w.running) >= w.Spec.Slots && w.Queue() >= w.Spec.Room || w.drains {
		done(balancer.WorkerFull)
		return none
	}
	if w.pod != nil && key != "" {
		w.pod.seen[key] = &repeat{at: w.clock.now}
	}
	if w.grey != "" && w.grey == class {
		size *= w.greyBy // it takes longer; what the rule on cold ones counts is no more
	}
	t := &task{key: key, size: size, done: done, index: -1}
	w.progress()
	w.waiting = append(w.waiting, t)
	w.admit()
	w.plan()
	life := w.life
	return func() { w.drop(t, life) }
}

// drop takes out a job that nobody waits for, waiting or running.
func (w *Worker) drop(t *task, life int) {
	if t.gone || life != w.life {
		return
	}
	t.gone = true
	if w.pod != nil && t.key != "" {
		delete(w.pod.seen, t.key)
	}
	if t.index >= 0 && t.index < len(w.running) && w.running[t.index] == t {
		w.progress()
		heap.Remove(&w.running, t.index)
		w.admit()
		w.plan()
	}
}

// jobMean is the mean work of the jobs that workers were sent.
type jobMean struct{ work, number float64 }

func (m *jobMean) add(work float64) {
	m.work += work
	m.number++
}

// bears is how many requests of mean work a cold worker bears in a window for which so many are allowed: the
// rule leaves that much for chance.
func bears(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// cold notes what a cold worker is sent, and has it fall over where that is too much: three times what it can
// do at that moment, for a second, in requests of mean work or in that much work. It breaks the rule if two
// thirds of that came from those who had been told of its start.
func (w *Worker) cold(size float64, aware bool) {
	if w.warmth() >= 1 {
		w.taken = w.taken[:0]
		return
	}
	const factor, span = 3, time.Second
	var keep []coldWork
	sum, known := 0.0, 0.0
	for _, t := range append(w.taken, coldWork{w.clock.now, size, aware}) {
		if w.clock.now-t.at < span {
			keep = append(keep, t)
			sum += t.work
			if t.aware {
				known += t.work
			}
		}
	}
	w.taken = keep
	can := w.warmth() * float64(w.Spec.Cores) * w.Spec.Speed * span.Seconds()
	mean := w.jobs.work / w.jobs.number
	most := bears(factor * can / mean)
	if (sum/mean > most || float64(len(keep)) > most) && !w.fell {
		w.Crash()
		w.fell, w.pushed = true, w.pushed || 3*known >= 2*sum
	}
}

// Crash ends the worker's life: what it holds is lost.
func (w *Worker) Crash() {
	if w.down {
		return
	}
	w.progress()
	w.down, w.life = true, w.life+1
	w.next.Stop()
	lost := append([]*task(nil), w.running...)
	lost = append(lost, w.waiting[w.head:]...)
	w.running, w.waiting, w.head = w.running[:0], nil, 0
	for _, t := range lost {
		if t != nil && !t.gone {
			t.gone = true
			if w.pod != nil && t.key != "" {
				delete(w.pod.seen, t.key)
			}
			t.done(balancer.ConnectionReset)
		}
	}
}

// Start begins a new life, cold.
func (w *Worker) Start() {
	w.down, w.fell, w.started, w.drains = false, false, max(w.clock.now, 1), false
	w.work, w.at, w.taken = 0, w.clock.now, w.taken[:0]
}

// Slow has the worker run so many times slower; 1 is its own speed.
func (w *Worker) Slow(times float64) {
	w.progress()
	w.slow = times
	w.plan()
}

// Report is the load as a probe tells it: as it was when it was last made anew.
func (w *Worker) Report() balancer.LoadReport {
	if !w.report.Received || w.clock.now-w.told >= w.Spec.Refresh {
		noisy := func(v float64) float64 { return math.Max(0, v*(1+w.Spec.Noise*w.rng.NormFloat64())) }
		r := balancer.NoLoadReport
		r.Received, r.QueueLength = true, noisy(float64(w.Queue()))
		r.FreeSlots = noisy(float64(w.Spec.Slots - len(w.running)))
		w.report, w.told = r, w.clock.now
	}
	return w.report
}
