package balancer

import (
	"slices"
	"testing"
	"time"
)

// Reports of free slots make a busy worker count as busy.
func TestReportsOfOthers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(2)...)
	busy := 0
	for i := range 200 {
		r.request(job(i, safeClass))
		s := r.last()
		r.pass(time.Millisecond)
		rep := freeSlots(4)
		if s.w == 100 && i > 10 {
			rep = freeSlots(0)
			busy++
		}
		r.endWith(s, OK, rep)
	}
	if busy > 40 {
		t.Errorf("%d of 190 jobs went to the worker whose slots others hold", busy)
	}
}

// Few reports by probe are enough to turn jobs away from a worker that others fill; those in answers
// come only from where jobs go and count little.
func TestProbedReportsCountMore(t *testing.T) {
	for _, c := range []struct {
		name   string
		probed bool
		most   int
	}{{"probed", true, 0}, {"in answers", false, 3}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck = c.probed
			r := newRecorder(t, set)
			r.members(ListFull, fleet(2)...)
			for _, free := range []float64{8, 0, 0, 0} {
				r.b.HealthChecked(r.now, 100, OK, freeSlots(free))
			}
			there := 0
			for i := range 5 {
				r.request(job(i, safeClass))
				if r.last().w == 100 {
					there++
				}
			}
			if there > c.most || c.most > 0 && there == 0 {
				t.Errorf("%d of 5 jobs went to the worker that others fill, want at most %d", there, c.most)
			}
		})
	}
}

func TestProbesWhereReportsComeNoOtherWay(t *testing.T) {
	for _, c := range []struct {
		name            string
		probed, allowed bool
		want            int
	}{{"probed", true, true, 6}, {"in answers", false, true, 0}, {"forbidden", true, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.Limits.HealthChecks = c.probed, c.allowed
			r := newRecorder(t, set)
			r.members(ListFull, fleet(3)...)
			for i := range 6 {
				r.request(job(i, safeClass))
				r.pass(time.Millisecond)
			}
			if len(r.asked) != c.want {
				t.Errorf("%d probes, want %d", len(r.asked), c.want)
			}
			if c.want > 0 && len(slices.Compact(slices.Sorted(slices.Values(r.asked)))) != 3 {
				t.Errorf("probed %v, want all three in turn", r.asked)
			}
		})
	}
}

// Hazard: jobs shorter than the clock's tick have no running time, and a pace of zero is divided by.
func TestTimesOfNothing(t *testing.T) {
	r := startsTold(t, 1)
	r.serve(0, 20, safeClass, 50*time.Millisecond, freeSlots(1))
	r.serve(100, 300, safeClass, 0, freeSlots(1))
	if w := r.b.workerByID[100]; w.runTimeFactor < slowWeight || r.b.kindRunTimeFactors[w.Kind] < slowWeight {
		t.Errorf("paces of %v and %v after jobs that took no time", w.runTimeFactor, r.b.kindRunTimeFactors[w.Kind])
	}
}

// One of many dispatchers, whose news of a worker is long past, asks some workers before it sends: the job
// goes to the emptiest of those that answer, and soon goes on without those that don't.
func TestAskedFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers int
	}{{"all answer", 3}, {"two answer", 2}, {"none answers", 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.LoadReportsByCheck, set.DispatcherCount = true, 100
			r := newRecorder(t, set)
			r.members(ListFull, fleet(40)...)
			for i := range 30 { // rare requests: each worker is met twice a minute
				r.request(job(i, safeClass))
				for _, w := range r.asked[len(r.asked)-min(checkedChoices, len(r.asked)):] {
					r.b.HealthChecked(r.now, w, OK, freeSlots(4))
				}
				r.pass(time.Second)
				r.end(r.last(), OK)
			}
			sent, asked := len(r.sends), len(r.asked)
			r.request(job(100, safeClass))
			if n := len(r.asked) - asked; n != checkedChoices || len(r.sends) != sent {
				t.Fatalf("%d workers asked and %d sends, want %d and none yet", n, len(r.sends)-sent, checkedChoices)
			}
			for i, w := range r.asked[asked : asked+c.answers] {
				r.b.HealthChecked(r.now, w, OK, freeSlots(float64(2*i)))
			}
			r.pass(set.Classes[safeClass].LatencyObjective/checkWaitDivisor + r.b.sweepInterval())
			if len(r.sends) != sent+1 {
				t.Fatalf("%d sends, want one", len(r.sends)-sent)
			}
			if c.answers > 0 && r.last().w != r.asked[asked+c.answers-1] {
				t.Errorf("sent to %d, want the emptiest that answered, of %v", r.last().w, r.asked[asked:])
			}
		})
	}
}
