package balancer

import (
	"slices"
	"testing"
	"time"
)

// Rule 2, by class and result: what follows the first attempt's end.
func TestAfterAFailure(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		res    Result
		sends  int
		cell   bool // the second send stays in the cell
		answer string
	}{
		{"safe after an error goes on", safeClass, ServerError, 2, false, ""},
		{"keyed after an error goes on in its cell", keyedClass, ServerError, 2, true, ""},
		{"unsafe after an error is failed", unsafeClass, ServerError, 1, false, "failed"},
		{"unsafe after a reset is failed", unsafeClass, ConnectionReset, 1, false, "failed"},
		{"unsafe turned away goes on", unsafeClass, WorkerFull, 2, false, ""},
		{"unsafe without a connection goes on", unsafeClass, ConnectFailed, 2, false, ""},
		{"keyed turned away goes anywhere", keyedClass, WorkerFull, 2, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.members(ListFull, fleet(8)...)
			r.request(job(0, c.class))
			first := r.last().w
			r.end(r.last(), c.res)
			if len(r.sends) != c.sends || r.reqs["r0"].final != c.answer {
				t.Fatalf("%d sends and answer %q, want %d and %q", len(r.sends), r.reqs["r0"].final,
					c.sends, c.answer)
			}
			if second := r.last().w; c.sends > 1 && second == first {
				t.Error("sent again to the worker that had failed it")
			}
		})
	}
}

// A keyed job goes again only while its group remembers the first attempt.
func TestKeyedWindow(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(8)...)
	r.request(job(0, keyedClass))
	r.pass(r.set.Classes[keyedClass].KeyWindow)
	r.end(r.last(), ServerError)
	if len(r.sends) != 1 || r.reqs["r0"].final != "failed" {
		t.Errorf("%d sends, answer %q; want one, failed", len(r.sends), r.reqs["r0"].final)
	}
}

func TestTryLimit(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull, fleet(8)...)
	r.request(job(0, safeClass))
	for r.reqs["r0"].final == "" {
		r.end(r.last(), ConnectFailed)
	}
	if len(r.sends) != r.set.Limits.MaxAttempts {
		t.Errorf("%d sends, want %d", len(r.sends), r.set.Limits.MaxAttempts)
	}
}

// Hazard: a worker goes silent with a job, and nothing tells of its end. One that goes on telling of jobs
// of ours is there, however long others wait at it.
func TestSecondCopyOfAJobAtASilentWorker(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		copies, silent bool
		sends          int
	}{
		{"safe", safeClass, true, true, 2},
		{"keyed, in its cell", keyedClass, true, true, 2},
		{"unsafe", unsafeClass, true, true, 1},
		{"not allowed", safeClass, false, true, 1},
		{"not silent", safeClass, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportsStart, set.Limits.HedgedRequests, set.ProgressInterval = true, c.copies, 200*time.Millisecond
			r := newRecorder(t, set)
			r.members(ListFull, fleet(4)...)
			r.request(job(0, c.class))
			first := *r.last()
			r.start(&first)
			for range 10 {
				r.pass(100 * time.Millisecond)
				if !c.silent {
					r.note(&first)
				}
			}
			if len(r.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(r.sends), c.sends)
			}
			if c.sends > 1 && r.last().w == first.w {
				t.Error("the copy went to the silent worker")
			}
			r.end(r.last(), OK)
			r.pass(6 * time.Second)
			if got := r.reqs["r0"].final; got != "served" {
				t.Errorf("answer %q, want served", got)
			}
		})
	}
}

// Hazard: where a cancel stops nothing, copies of jobs that only wait make every wait longer, and every
// longer wait makes more copies.
func TestNoCopiesOfJobsThatOnlyWait(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.Limits.HedgedRequests, set.ProgressInterval = true, true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.members(ListFull, fleet(2)...)
	for i := range 6 {
		r.request(job(i, safeClass))
	}
	sent := len(r.sends)
	for _, s := range slices.Clone(r.sends[:2]) {
		r.start(&s)
	}
	for range 20 {
		r.pass(100 * time.Millisecond)
		for i := range 2 {
			r.note(&r.sends[i])
		}
	}
	if len(r.sends) != sent {
		t.Errorf("%d copies of jobs that wait in a queue", len(r.sends)-sent)
	}
}

// Where 'full' is no proof, a job turned away may have run: unsafe ones end there, as failed; keyed ones stay
// in their group.
func TestFullUnproven(t *testing.T) {
	for class, want := range []struct {
		sends int
		final string
	}{{2, ""}, {2, ""}, {1, "failed"}} {
		set := testSettings()
		set.Rules.FullMayHaveRun = true
		r := newRecorder(t, set)
		r.members(ListFull, fleet(8)...)
		r.request(job(0, class))
		r.end(r.last(), WorkerFull)
		if len(r.sends) != want.sends || r.reqs["r0"].final != want.final {
			t.Errorf("class %d: %d sends, answer %q; want %d, %q", class, len(r.sends), r.reqs["r0"].final,
				want.sends, want.final)
		}
	}
}

// When all attempts fail, further ones stay within the budget of every window, and those that it has
// room for are made.
func TestBudgetOfFurtherAttempts(t *testing.T) {
	set := testSettings()
	set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetBase, set.Rules.RetryBudgetShare = 2*time.Second, 4, 0.1
	r := newRecorder(t, set)
	r.members(ListFull, fleet(8)...)
	for i := range 400 {
		r.request(job(i, safeClass))
		for r.reqs[job(i, safeClass).ID].final == "" {
			r.end(r.last(), ConnectFailed)
		}
		r.pass(time.Duration(5+i%7) * time.Millisecond)
		if i == 200 {
			r.pass(1900 * time.Millisecond) // few requests are in the window, and the attempts still are
		}
	}
	if n := len(r.further); n < 25 || n > 60 {
		t.Errorf("%d further attempts for 400 requests in some five seconds, want 4 each two and a tenth", n)
	}
}

// Nobody waits for what a client that has left had asked for, nor for a second copy of
// what is answered: both are given up, once, where the deployment lets us.
func TestStopsWhatNobodyWaitsFor(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.ReportsStart, set.Limits.HedgedRequests, set.Limits.CanCancel = true, true, allowed
		set.ProgressInterval = 200 * time.Millisecond
		r := newRecorder(t, set)
		r.members(ListFull, fleet(4)...)
		r.request(job(0, safeClass))
		r.start(r.last())
		r.pass(time.Second) // a second copy goes out
		if len(r.sends) != 2 {
			t.Fatalf("%d copies are out, want 2", len(r.sends))
		}
		r.end(&r.sends[1], OK)
		r.request(job(1, safeClass))
		r.b.ClientDisconnected("r1")
		r.reqs["r1"].final = "gone"
		r.b.ClientDisconnected("r1")
		want := []string{"r0/0", "r1/0"}
		if !allowed {
			want = nil
		}
		if !slices.Equal(r.cancels, want) {
			t.Errorf("gave up %v, want %v", r.cancels, want)
		}
	}
}

// A job that a worker can't make sense of goes to no other, and the worker is as well as before.
func TestRejectedJob(t *testing.T) {
	for class := range testSettings().Classes {
		r := newRecorder(t, testSettings())
		r.members(ListFull, fleet(4)...)
		r.request(job(0, class))
		r.end(r.last(), Unprocessable)
		if q := r.reqs["r0"]; q.final != "failed" || len(r.sends) != 1 {
			t.Errorf("class %d: %q after %d sends, want failed after 1", class, q.final, len(r.sends))
		}
		for _, w := range r.b.workers {
			if w.failureScore != 0 || w.inFlight != 0 {
				t.Errorf("class %d: worker %d is ill by %v and holds %v", class, w.ID, w.failureScore, w.inFlight)
			}
		}
	}
}

// A request that ends while it waits for loads is forgotten, and its place is not used by another too early.
func TestGoneWhileAsking(t *testing.T) {
	set := testSettings()
	set.LoadReportsByCheck, set.DispatcherCount = true, 100
	r := newRecorder(t, set)
	r.members(ListFull, fleet(40)...)
	r.pass(time.Minute)
	r.request(job(0, safeClass))
	r.b.ClientDisconnected("r0")
	r.reqs["r0"].final = "gone"
	r.request(job(1, safeClass))
	r.pass(time.Second)
	if len(r.sends) != 1 || r.last().id != "r1" || len(r.b.waiting) != 0 {
		t.Errorf("sends %v, %d still asking; want r1 alone", r.sends, len(r.b.waiting))
	}
}

// Repeats of a keyed request that may have run end a stall before the window does, and one that was begun and
// waits to be written ends with it.
func TestRepeatsEndAStallBeforeTheWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sends int
	}{{-10 * time.Millisecond, 2}, {10 * time.Millisecond, 1}} {
		r := newRecorder(t, testSettings())
		r.members(ListFull, fleet(4)...)
		window := r.set.Classes[keyedClass].KeyWindow
		q := job(0, keyedClass)
		q.Timeout = 10 * window
		r.request(q)
		r.pass(window - maxStall + c.after)
		r.end(&r.sends[0], ConnectionReset)
		if len(r.sends) != c.sends {
			t.Errorf("%v from a stall before the window's end: %d sends, want %d", c.after, len(r.sends),
				c.sends)
		}
		if c.sends == 2 && (!r.b.StillAllowed(r.now, q.ID, 1) || r.b.StillAllowed(r.now+maxStall, q.ID, 1)) {
			t.Error("a repeat that waits to be written is allowed beyond the window, or not within it")
		}
	}
}
