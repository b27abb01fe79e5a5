package emulate

import (
	"container/heap"
	"math"
	"time"

	"moorstack/balancer"
)

// task is a job at a worker.
type task struct {
	key        string
	size       float64 // seconds at speed 1
	done       func(balancer.Result)
	finishWork float64 // value of Worker.workPerJob at which it ends
	index      int     // in the heap; -1 while it is queued
	dropped    bool
}

// taskHeap is a min-heap of the running jobs, ordered by when they end.
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

// rate returns the work that each running job receives per second.
func (w *Worker) rate() float64 {
	if len(w.running) == 0 {
		return 0
	}
	share := min(1, float64(w.Spec.Cores)*w.warmUpFactor()/float64(len(w.running)))
	return w.Spec.Speed * share / w.slowdown
}

// updateWork advances the running jobs to the current time. It must be called before any change that affects
// the rate.
func (w *Worker) updateWork() {
	w.workPerJob += float64(w.rate() * (w.clock.now - w.workUpdatedAt).Seconds())
	w.workUpdatedAt = w.clock.now
}

// scheduleCompletion schedules the completion of the next running job.
func (w *Worker) scheduleCompletion() {
	w.completionTimer.Stop()
	if len(w.running) == 0 || w.down {
		return
	}
	rate := w.rate()
	left := max(0, w.running[0].finishWork-w.workPerJob) / rate
	d := time.Duration(math.Ceil(left * 1e9))
	if w.warmUpFactor() < 1 {
		// The rate grows while the worker warms up, so it is recomputed before the job ends.
		d = min(d, w.Spec.SlowStartWindow/50)
	}
	w.completionTimer = w.clock.schedule(w.clock.now+d, w.completeJobs)
}

// completeJobs completes the running jobs that have received all their work.
func (w *Worker) completeJobs() {
	w.updateWork()
	for len(w.running) > 0 && w.running[0].finishWork <= w.workPerJob+1e-9 {
		t := heap.Pop(&w.running).(*task)
		w.pod.finish(t.key)
		t.done(balancer.OK)
		w.startQueued()
	}
	w.scheduleCompletion()
}

// startQueued moves queued jobs into free slots, in FIFO order.
func (w *Worker) startQueued() {
	for len(w.running) < w.Spec.Slots && w.queueHead < len(w.queue) {
		t := w.queue[w.queueHead]
		w.queue[w.queueHead] = nil
		w.queueHead++
		if t.dropped {
			continue
		}
		t.finishWork = w.workPerJob + t.size
		heap.Push(&w.running, t)
	}
	if w.queueHead > 64 && w.queueHead*2 > len(w.queue) {
		w.queue = append(w.queue[:0], w.queue[w.queueHead:]...)
		w.queueHead = 0
	}
}
