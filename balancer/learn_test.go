package balancer

import (
	"slices"
	"testing"
	"time"
)

// A worker whose load reports show no free slots counts as busy.
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
		t.Errorf("%d of 190 requests were sent to the worker whose slots others use, want at most 40",
			sentToBusy)
	}
}

// A few load reports from health checks suffice to keep requests from a worker that other dispatchers fill.
// Reports in responses count little, because they come only from workers that get requests.
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
				t.Errorf("%d of 5 requests were sent to the worker that others fill, want at most %d",
					sentToBusy, c.maxToBusy)
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
				t.Errorf("checked %v, want all three workers", r.checked)
			}
		})
	}
}

// Requests shorter than the clock's resolution have a running time of zero, which must not make a run-time
// factor, by which the balancer divides, zero.
func TestRunningTimesOfZero(t *testing.T) {
	r := newRecorderWithStartReports(t, 1)
	r.serveEach(0, 20, idempotentClass, 50*time.Millisecond, freeSlots(1))
	r.serveEach(100, 300, idempotentClass, 0, freeSlots(1))
	own, kind := r.balancer.workerByID[100].runTimeFactor, r.balancer.kindRunTimeFactors[0]
	if own < slowWeight || kind < slowWeight {
		t.Errorf("run-time factors are %v and %v after requests that took no time", own, kind)
	}
}

// If load reports are outdated, as with many dispatchers, some are requested before a request is sent. It
// goes to the least loaded worker that reports, and does not wait long for the others.
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
			for i := range 30 { // at this rate, each worker gets a request twice a minute
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
				t.Fatalf("%d workers checked and %d sends, want %d and 0", n, len(r.sends)-sent,
					checksPerDraw)
			}
			for i, w := range r.checked[before : before+c.reports] {
				r.balancer.HealthChecked(r.now, w, OK, freeSlots(float64(2*i)))
			}
			wait := set.Classes[idempotentClass].LatencyObjective / checkWaitDivisor
			r.advance(wait + r.balancer.sweepInterval())
			if len(r.sends) != sent+1 {
				t.Fatalf("%d sends, want 1", len(r.sends)-sent)
			}
			if c.reports > 0 && r.lastSend().worker != r.checked[before+c.reports-1] {
				t.Errorf("sent to worker %d, want the least loaded of those that reported, of %v",
					r.lastSend().worker, r.checked[before:])
			}
		})
	}
}
