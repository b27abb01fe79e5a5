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
	busy := 0
	for i := range 200 {
		r.submit(testRequest(i, idempotentClass))
		s := r.lastSend()
		r.advance(time.Millisecond)
		rep := freeSlots(4)
		if s.worker == 100 && i > 10 {
			rep = freeSlots(0)
			busy++
		}
		r.endAttemptWith(s, OK, rep)
	}
	if busy > 40 {
		t.Errorf("%d of 190 jobs went to the worker whose slots others hold", busy)
	}
}

// Few reports by probe are enough to turn jobs away from a worker that others fill; those in answers
// come only from where jobs go and count little.
func TestHealthCheckReportsCountMore(t *testing.T) {
	for _, c := range []struct {
		name   string
		probed bool
		most   int
	}{{"probed", true, 0}, {"in answers", false, 3}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck = c.probed
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(2)...)
			for _, free := range []float64{8, 0, 0, 0} {
				r.balancer.HealthChecked(r.now, 100, OK, freeSlots(free))
			}
			there := 0
			for i := range 5 {
				r.submit(testRequest(i, idempotentClass))
				if r.lastSend().worker == 100 {
					there++
				}
			}
			if there > c.most || c.most > 0 && there == 0 {
				t.Errorf("%d of 5 jobs went to the worker that others fill, want at most %d", there, c.most)
			}
		})
	}
}

func TestChecksHealthWhereReportsComeNoOtherWay(t *testing.T) {
	for _, c := range []struct {
		name            string
		probed, allowed bool
		want            int
	}{{"probed", true, true, 6}, {"in answers", false, true, 0}, {"forbidden", true, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.Limits.HealthChecks = c.probed, c.allowed
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(3)...)
			for i := range 6 {
				r.submit(testRequest(i, idempotentClass))
				r.advance(time.Millisecond)
			}
			if len(r.checked) != c.want {
				t.Errorf("%d probes, want %d", len(r.checked), c.want)
			}
			if c.want > 0 && len(slices.Compact(slices.Sorted(slices.Values(r.checked)))) != 3 {
				t.Errorf("probed %v, want all three in turn", r.checked)
			}
		})
	}
}

// Hazard: jobs shorter than the clock's tick have no running time, and a pace of zero is divided by.
func TestRunningTimesOfZero(t *testing.T) {
	r := newRecorderWithStartReports(t, 1)
	r.serveEach(0, 20, idempotentClass, 50*time.Millisecond, freeSlots(1))
	r.serveEach(100, 300, idempotentClass, 0, freeSlots(1))
	if w := r.balancer.workerByID[100]; w.runTimeFactor < slowWeight || r.balancer.kindRunTimeFactors[w.Kind] < slowWeight {
		t.Errorf("paces of %v and %v after jobs that took no time", w.runTimeFactor, r.balancer.kindRunTimeFactors[w.Kind])
	}
}

// One of many dispatchers, whose news of a worker is long past, asks some workers before it sends: the job
// goes to the emptiest of those that answer, and soon goes on without those that don't.
func TestRequestWaitsForLoadReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers int
	}{{"all answer", 3}, {"two answer", 2}, {"none answers", 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.DispatcherCount = true, 100
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(40)...)
			for i := range 30 { // rare requests: each worker is met twice a minute
				r.submit(testRequest(i, idempotentClass))
				for _, w := range r.checked[len(r.checked)-min(checkedChoices, len(r.checked)):] {
					r.balancer.HealthChecked(r.now, w, OK, freeSlots(4))
				}
				r.advance(time.Second)
				r.endAttempt(r.lastSend(), OK)
			}
			sent, asked := len(r.sends), len(r.checked)
			r.submit(testRequest(100, idempotentClass))
			if n := len(r.checked) - asked; n != checkedChoices || len(r.sends) != sent {
				t.Fatalf("%d workers asked and %d sends, want %d and none yet", n, len(r.sends)-sent, checkedChoices)
			}
			for i, w := range r.checked[asked : asked+c.answers] {
				r.balancer.HealthChecked(r.now, w, OK, freeSlots(float64(2*i)))
			}
			r.advance(set.Classes[idempotentClass].LatencyObjective/checkWaitDivisor + r.balancer.sweepInterval())
			if len(r.sends) != sent+1 {
				t.Fatalf("%d sends, want one", len(r.sends)-sent)
			}
			if c.answers > 0 && r.lastSend().worker != r.checked[asked+c.answers-1] {
				t.Errorf("sent to %d, want the emptiest that answered, of %v", r.lastSend().worker, r.checked[asked:])
			}
		})
	}
}
