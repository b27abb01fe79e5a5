package balancer

import (
	"slices"
	"testing"
	"time"
)

// Reports of free slots make a busy worker count as busy.
func TestLoadReportsShowOtherDispatchers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(2)...)
	sentToBusy := 0
	for i := range 200 {
		r.submit(testRequest(i, idempotentClass))
		s := r.lastSend()
		r.advance(time.Millisecond)
		rep := freeSlots(4)
		if s.worker == 100 && i > 10 {
			rep = freeSlots(0)
			sentToBusy++
		}
		r.endAttemptWith(s, OK, rep)
	}
	if sentToBusy > 40 {
		t.Errorf("%d of 190 requests went to the worker whose slots others use", sentToBusy)
	}
}

// Few load reports by health checks are enough to keep requests from a worker that others fill; those in
// responses come only from where requests go and count little.
func TestHealthCheckReportsCountMore(t *testing.T) {
	for _, c := range []struct {
		name      string
		byCheck   bool
		maxToBusy int
	}{{"health checks", true, 0}, {"in responses", false, 3}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck = c.byCheck
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(2)...)
			for _, free := range []float64{8, 0, 0, 0} {
				r.balancer.HealthChecked(r.now, 100, OK, freeSlots(free))
			}
			sentToBusy := 0
			for i := range 5 {
				r.submit(testRequest(i, idempotentClass))
				if r.lastSend().worker == 100 {
					sentToBusy++
				}
			}
			if sentToBusy > c.maxToBusy || c.maxToBusy > 0 && sentToBusy == 0 {
				t.Errorf("%d of 5 requests went to the worker that others fill, want at most %d", sentToBusy,
					c.maxToBusy)
			}
		})
	}
}

func TestChecksHealthWhereReportsComeNoOtherWay(t *testing.T) {
	for _, c := range []struct {
		name             string
		byCheck, allowed bool
		want             int
	}{{"health checks", true, true, 6}, {"in responses", false, true, 0}, {"forbidden", true, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.Limits.HealthChecks = c.byCheck, c.allowed
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(3)...)
			for i := range 6 {
				r.submit(testRequest(i, idempotentClass))
				r.advance(time.Millisecond)
			}
			if len(r.checked) != c.want {
				t.Errorf("%d health checks, want %d", len(r.checked), c.want)
			}
			if c.want > 0 && len(slices.Compact(slices.Sorted(slices.Values(r.checked)))) != 3 {
				t.Errorf("checked %v, want all three in turn", r.checked)
			}
		})
	}
}

// Hazard: requests shorter than the clock's tick have no running time, and a run-time factor of zero is
// divided by.
func TestRunningTimesOfZero(t *testing.T) {
	r := newRecorderWithStartReports(t, 1)
	r.serveEach(0, 20, idempotentClass, 50*time.Millisecond, freeSlots(1))
	r.serveEach(100, 300, idempotentClass, 0, freeSlots(1))
	own, kind := r.balancer.workerByID[100].runTimeFactor, r.balancer.kindRunTimeFactors[0]
	if own < slowWeight || kind < slowWeight {
		t.Errorf("run-time factors of %v and %v after requests that took no time", own, kind)
	}
}

// One of many dispatchers, whose load reports are outdated, requests some before it sends: the request goes
// to the least loaded of the workers that report, and soon goes on without those that don't.
func TestRequestWaitsForLoadReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports int
	}{{"all report", 3}, {"two report", 2}, {"none reports", 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.DispatcherCount = true, 100
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(40)...)
			for i := range 30 { // rare requests: each worker is met twice a minute
				r.submit(testRequest(i, idempotentClass))
				for _, w := range r.checked[len(r.checked)-min(checksPerDraw, len(r.checked)):] {
					r.balancer.HealthChecked(r.now, w, OK, freeSlots(4))
				}
				r.advance(time.Second)
				r.endAttempt(r.lastSend(), OK)
			}
			sent, before := len(r.sends), len(r.checked)
			r.submit(testRequest(100, idempotentClass))
			if n := len(r.checked) - before; n != checksPerDraw || len(r.sends) != sent {
				t.Fatalf("%d workers checked and %d sends, want %d and none yet", n, len(r.sends)-sent,
					checksPerDraw)
			}
			for i, w := range r.checked[before : before+c.reports] {
				r.balancer.HealthChecked(r.now, w, OK, freeSlots(float64(2*i)))
			}
			wait := set.Classes[idempotentClass].LatencyObjective / checkWaitDivisor
			r.advance(wait + r.balancer.sweepInterval())
			if len(r.sends) != sent+1 {
				t.Fatalf("%d sends, want one", len(r.sends)-sent)
			}
			if c.reports > 0 && r.lastSend().worker != r.checked[before+c.reports-1] {
				t.Errorf("sent to %d, want the least loaded that reported, of %v", r.lastSend().worker,
					r.checked[before:])
			}
		})
	}
}
