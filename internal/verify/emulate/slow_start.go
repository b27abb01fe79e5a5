package emulate

import (
	"math"
	"time"
)

// The overload rule for slow start: a worker collapses if it is sent more than overloadFactor times its
// current capacity within overloadWindow.
const (
	overloadFactor = 3
	overloadWindow = time.Second
)

// slowStartArrival is a job sent to a worker in slow start.
type slowStartArrival struct {
	at        time.Duration
	work      float64
	knewStart bool // the sender had received the worker's start
}

// workMean accumulates the mean work of the jobs sent to workers.
type workMean struct{ work, count float64 }

func (m *workMean) add(work float64) {
	m.work += work
	m.count++
}

// warmUpFactor returns the share of the worker's full capacity that is currently available.
func (w *Worker) warmUpFactor() float64 {
	if w.startedAt == 0 || w.Spec.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(w.clock.now-w.startedAt) / float64(w.Spec.SlowStartWindow)
	return min(1, w.Spec.SlowStartMinShare+float64((1-w.Spec.SlowStartMinShare)*age))
}

// slowStartAllowance returns how many jobs of mean work a worker may be sent within a window if the rule
// allows the given number on average. The margin of 2 to 3 standard deviations covers random variation.
func slowStartAllowance(allowed float64) float64 {
	if allowed < 30 {
		return allowed + float64(3*math.Sqrt(allowed)) + 3
	}
	return allowed + float64(2*math.Sqrt(allowed)) + 2
}

// checkSlowStart records a job sent to a worker in slow start. The worker collapses if the number of recent
// jobs, or their work in units of the mean, exceeds the allowance. This violates the rule if at least two
// thirds of the work came from nodes that had received the worker's start.
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
