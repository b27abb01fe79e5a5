package balancer

import (
	"testing"
	"time"
)

// Hazard: a worker that errors at once reads zero and wins every draw.
func TestFailingWorkerIsLeftOut(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(4)...)
	bad := 0
	for i := range 200 {
		r.request(job(i, unsafeClass))
		s := r.last()
		res := OK
		if s.w == 100 {
			bad++
			res = ServerError
		}
		r.pass(5 * time.Millisecond)
		r.end(s, res)
	}
	if bad > 5 {
		t.Errorf("the failing worker got %d of 200 unsafe jobs", bad)
	}
	r.pass(time.Minute)
	for i := 200; i < 240; i++ {
		r.request(job(i, safeClass))
		if r.last().w == 100 {
			return
		}
		r.end(r.last(), OK)
	}
	t.Error("a worker that failed a minute ago is never tried again")
}

// If all workers fail, jobs still go out.
func TestAllSuspect(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(3)...)
	for i := range 60 {
		r.request(job(i, unsafeClass))
		r.end(r.last(), ServerError)
	}
	before := len(r.sends)
	r.request(job(60, unsafeClass))
	if len(r.sends) != before+1 {
		t.Error("nothing was sent when all workers had failed")
	}
}

// Hazard: a silent worker keeps its count and wins draws until its first attempt times out.
func TestSilentWorkerIsNotDrawn(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.ProgressInterval = true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.members(ListFull, fleet(4)...)
	r.request(job(0, safeClass))
	silent := r.last().w
	r.start(r.last())
	r.pass(time.Second)
	for i := 1; i < 20; i++ {
		r.request(job(i, safeClass))
		if r.last().w == silent {
			t.Fatal("a job went to a worker that has fallen silent")
		}
	}
}

// Hazard: each of many dispatchers loses some jobs to a failing worker before it knows.
func TestFailureToldToPeers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(2)...)
	bad := r.work[100].ID
	r.b.ReceivePeer(r.now, []byte{0, 0, 0, byte(bad)})
	for i := range 20 {
		r.request(job(i, unsafeClass))
		if s := r.last(); s.w == bad {
			t.Fatal("an unsafe job went to a worker that had just failed another dispatcher's")
		}
	}
	r.end(r.last(), ServerError)
	if len(r.tells) != 1 || string(r.tells[0]) != "\x00\x00\x00\x65" {
		t.Errorf("told %q after a failure, want the worker's ID", r.tells)
	}
	r.b.ReceivePeer(r.now, []byte("?")) // not ours: no harm
	r.request(job(100, safeClass))
	r.end(r.last(), ConnectFailed)
	if len(r.tells) != 1 {
		t.Error("peers were told of a connection that failed; the path may be this dispatcher's alone")
	}
}

// A cold worker that operators have put back gets a job soon, and no more than its budget.
func TestOwedWorkerGetsAJob(t *testing.T) {
	for _, owed := range []bool{true, false} {
		set := testSettings()
		set.Rules.SlowStartWindow, set.Rules.SlowStartMinShare = 20*time.Second, 0.12
		set.Rules.OverloadFactor, set.Rules.OverloadWindow = 3, time.Second
		r := newRecorder(t, set)
		list := fleet(4)
		r.members(ListFull, list...)
		run := func(from, n int) (got int) {
			for i := range n {
				r.now += 50 * time.Millisecond
				r.request(job(from+i, 0))
				s := r.last()
				r.now += 30 * time.Millisecond
				if r.end(s, OK); s.w == list[0].ID {
					got++
				}
			}
			return got
		}
		run(0, 100)
		back := list[0]
		back.StartedAt = r.now
		r.members(ListDelta, back)
		if owed {
			r.b.EndMaintenance(back.ID)
		}
		if got := run(1000, 1); (got == 1) != owed {
			t.Errorf("owed %v: the first job went there %d times", owed, got)
		}
		if r.b.owedWorkers != 0 {
			t.Error("it is owed more than one job")
		}
	}
}
