package emulate

import (
	"math"
	"time"
)

// The rule on workers in slow start: one that is sent over overloadFactor times what it can do at that
// moment, within overloadWindow, collapses.
const (
	overloadFactor = 3
	overloadWindow = time.Second
)

// slowStartArrival is a job that a worker was sent in slow start.
type slowStartArrival struct {
	at        time.Duration
	work      float64
	knewStart bool // whoever sent it had received the start
}

// workMean is the mean work of the jobs that workers were sent.
type workMean struct{ work, count float64 }

func (m *workMean) add(work float64) {
	m.work += work
	m.count++
}

// warmUpFactor is the part of its capacity that the worker has now.
func (w *Worker) warmUpFactor() float64 {
	if w.startedAt == 0 || w.Spec.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(w.clock.now-w.startedAt) / float64(w.Spec.SlowStartWindow)
	return math.Min(1, w.Spec.SlowStartMinShare+(1-w.Spec.SlowStartMinShare)*age)
}

// slowStartAllowance is how many jobs of mean work a worker can be sent in a window for which the rule
// allows so many: the rest is left for chance.
func slowStartAllowance(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// checkSlowStart counts what a worker in slow start is sent, and has it collapse where that is too much, in
// jobs of mean work or in that much work. That violates the rule if two thirds of it came from nodes that
// had received the worker's start.
func (w *Worker) checkSlowStart(size float64, knewStart bool) {
	if w.warmUpFactor() >= 1 {
		w.slowStartArrivals = w.slowStartArrivals[:0]
		return
	}
	var recent []slowStartArrival
	sum, known := 0.0, 0.0
	for _, a := range append(w.slowStartArrivals, slowStartArrival{w.clock.now, size, knewStart}) {
		if w.clock.now-a.at < overloadWindow {
			recent = append(recent, a)
			sum += a.work
			if a.knewStart {
				known += a.work
			}
		}
	}
	w.slowStartArrivals = recent
	capacity := w.warmUpFactor() * float64(w.Spec.Cores) * w.Spec.Speed * overloadWindow.Seconds()
	mean := w.meanWork.work / w.meanWork.count
	limit := slowStartAllowance(overloadFactor * capacity / mean)
	if (sum/mean > limit || float64(len(recent)) > limit) && !w.collapsed {
		w.Crash()
		w.collapsed, w.slowStartViolated = true, w.slowStartViolated || 3*known >= 2*sum
	}
}
