package balancer

import (
	"slices"
	"testing"
	"time"
)

// Rule 2, by class and result: what follows the first attempt's end.
func TestRetryAfterFailureByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		res    Result
		sends  int
		cell   bool // the second send stays in the cell
		answer string
	}{
		{"safe after an error goes on", idempotentClass, ServerError, 2, false, ""},
		{"keyed after an error goes on in its cell", keyedClass, ServerError, 2, true, ""},
		{"unsafe after an error is failed", nonIdempotentClass, ServerError, 1, false, "failed"},
		{"unsafe after a reset is failed", nonIdempotentClass, ConnectionReset, 1, false, "failed"},
		{"unsafe turned away goes on", nonIdempotentClass, WorkerFull, 2, false, ""},
		{"unsafe without a connection goes on", nonIdempotentClass, ConnectFailed, 2, false, ""},
		{"keyed turned away goes anywhere", keyedClass, WorkerFull, 2, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.updateWorkers(ListFull, readyWorkers(8)...)
			r.submit(testRequest(0, c.class))
			first := r.lastSend().worker
			r.endAttempt(r.lastSend(), c.res)
			if len(r.sends) != c.sends || r.requests["r0"].final != c.answer {
				t.Fatalf("%d sends and answer %q, want %d and %q", len(r.sends), r.requests["r0"].final,
					c.sends, c.answer)
			}
			if second := r.lastSend().worker; c.sends > 1 && second == first {
				t.Error("sent again to the worker that had failed it")
			}
		})
	}
}

// A keyed job goes again only while its group remembers the first attempt.
func TestNoRetryAfterKeyWindow(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(8)...)
	r.submit(testRequest(0, keyedClass))
	r.advance(r.settings.Classes[keyedClass].KeyWindow)
	r.endAttempt(r.lastSend(), ServerError)
	if len(r.sends) != 1 || r.requests["r0"].final != "failed" {
		t.Errorf("%d sends, answer %q; want one, failed", len(r.sends), r.requests["r0"].final)
	}
}

func TestMaxAttempts(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(8)...)
	r.submit(testRequest(0, idempotentClass))
	for r.requests["r0"].final == "" {
		r.endAttempt(r.lastSend(), ConnectFailed)
	}
	if len(r.sends) != r.settings.Limits.MaxAttempts {
		t.Errorf("%d sends, want %d", len(r.sends), r.settings.Limits.MaxAttempts)
	}
}

// Hazard: a worker goes silent with a job, and nothing tells of its end. One that goes on telling of jobs
// of ours is there, however long others wait at it.
func TestHedgesAtUnresponsiveWorker(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		copies, silent bool
		sends          int
	}{
		{"safe", idempotentClass, true, true, 2},
		{"keyed, in its cell", keyedClass, true, true, 2},
		{"unsafe", nonIdempotentClass, true, true, 1},
		{"not allowed", idempotentClass, false, true, 1},
		{"not silent", idempotentClass, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportsStart, set.Limits.HedgedRequests, set.ProgressInterval = true, c.copies, 200*time.Millisecond
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(4)...)
			r.submit(testRequest(0, c.class))
			first := *r.lastSend()
			r.reportStart(&first)
			for range 10 {
				r.advance(100 * time.Millisecond)
				if !c.silent {
					r.reportProgress(&first)
				}
			}
			if len(r.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(r.sends), c.sends)
			}
			if c.sends > 1 && r.lastSend().worker == first.worker {
				t.Error("the copy went to the silent worker")
			}
			r.endAttempt(r.lastSend(), OK)
			r.advance(6 * time.Second)
			if got := r.requests["r0"].final; got != "served" {
				t.Errorf("answer %q, want served", got)
			}
		})
	}
}

// Hazard: where a cancel stops nothing, copies of jobs that only wait make every wait longer, and every
// longer wait makes more copies.
func TestDoesNotHedgeQueuedRequests(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.Limits.HedgedRequests, set.ProgressInterval = true, true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(2)...)
	for i := range 6 {
		r.submit(testRequest(i, idempotentClass))
	}
	sent := len(r.sends)
	for _, s := range slices.Clone(r.sends[:2]) {
		r.reportStart(&s)
	}
	for range 20 {
		r.advance(100 * time.Millisecond)
		for i := range 2 {
			r.reportProgress(&r.sends[i])
		}
	}
	if len(r.sends) != sent {
		t.Errorf("%d copies of jobs that wait in a queue", len(r.sends)-sent)
	}
}

// Where 'full' is no proof, a job turned away may have run: unsafe ones end there, as failed; keyed ones stay
// in their group.
func TestFullWorkerMayHaveRunTheRequest(t *testing.T) {
	for class, want := range []struct {
		sends int
		final string
	}{{2, ""}, {2, ""}, {1, "failed"}} {
		set := testSettings()
		set.Rules.FullMayHaveRun = true
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(8)...)
		r.submit(testRequest(0, class))
		r.endAttempt(r.lastSend(), WorkerFull)
		if len(r.sends) != want.sends || r.requests["r0"].final != want.final {
			t.Errorf("class %d: %d sends, answer %q; want %d, %q", class, len(r.sends), r.requests["r0"].final,
				want.sends, want.final)
		}
	}
}

// When all attempts fail, further ones stay within the budget of every window, and those that it has
// room for are made.
func TestRetryBudget(t *testing.T) {
	set := testSettings()
	set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetBase, set.Rules.RetryBudgetShare = 2*time.Second, 4, 0.1
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(8)...)
	for i := range 400 {
		r.submit(testRequest(i, idempotentClass))
		for r.requests[testRequest(i, idempotentClass).ID].final == "" {
			r.endAttempt(r.lastSend(), ConnectFailed)
		}
		r.advance(time.Duration(5+i%7) * time.Millisecond)
		if i == 200 {
			r.advance(1900 * time.Millisecond) // few requests are in the window, and the attempts still are
		}
	}
	if n := len(r.retries); n < 25 || n > 60 {
		t.Errorf("%d further attempts for 400 requests in some five seconds, want 4 each two and a tenth", n)
	}
}

// Nobody waits for what a client that has left had asked for, nor for a second copy of
// what is answered: both are given up, once, where the deployment lets us.
func TestCancelsAttemptsNobodyWaitsFor(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.ReportsStart, set.Limits.HedgedRequests, set.Limits.CanCancel = true, true, allowed
		set.ProgressInterval = 200 * time.Millisecond
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(4)...)
		r.submit(testRequest(0, idempotentClass))
		r.reportStart(r.lastSend())
		r.advance(time.Second) // a second copy goes out
		if len(r.sends) != 2 {
			t.Fatalf("%d copies are out, want 2", len(r.sends))
		}
		r.endAttempt(&r.sends[1], OK)
		r.submit(testRequest(1, idempotentClass))
		r.balancer.ClientDisconnected("r1")
		r.requests["r1"].final = "gone"
		r.balancer.ClientDisconnected("r1")
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
func TestUnprocessableRequestFailsAtOnce(t *testing.T) {
	for class := range testSettings().Classes {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(4)...)
		r.submit(testRequest(0, class))
		r.endAttempt(r.lastSend(), Unprocessable)
		if q := r.requests["r0"]; q.final != "failed" || len(r.sends) != 1 {
			t.Errorf("class %d: %q after %d sends, want failed after 1", class, q.final, len(r.sends))
		}
		for _, w := range r.balancer.workers {
			if w.failureScore != 0 || w.inFlight != 0 {
				t.Errorf("class %d: worker %d is ill by %v and holds %v", class, w.ID, w.failureScore, w.inFlight)
			}
		}
	}
}

// A request that ends while it waits for loads is forgotten, and its place is not used by another too early.
func TestClientDisconnectsWhileLoadReportsAreAwaited(t *testing.T) {
	set := testSettings()
	set.LoadReportsByCheck, set.DispatcherCount = true, 100
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(40)...)
	r.advance(time.Minute)
	r.submit(testRequest(0, idempotentClass))
	r.balancer.ClientDisconnected("r0")
	r.requests["r0"].final = "gone"
	r.submit(testRequest(1, idempotentClass))
	r.advance(time.Second)
	if len(r.sends) != 1 || r.lastSend().id != "r1" || len(r.balancer.waiting) != 0 {
		t.Errorf("sends %v, %d still asking; want r1 alone", r.sends, len(r.balancer.waiting))
	}
}

// Repeats of a keyed request that may have run end a stall before the window does, and one that was begun and
// waits to be written ends with it.
func TestRetriesEndAStallBeforeKeyWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sends int
	}{{-10 * time.Millisecond, 2}, {10 * time.Millisecond, 1}} {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(4)...)
		window := r.settings.Classes[keyedClass].KeyWindow
		q := testRequest(0, keyedClass)
		q.Timeout = 10 * window
		r.submit(q)
		r.advance(window - maxStall + c.after)
		r.endAttempt(&r.sends[0], ConnectionReset)
		if len(r.sends) != c.sends {
			t.Errorf("%v from a stall before the window's end: %d sends, want %d", c.after, len(r.sends),
				c.sends)
		}
		if c.sends == 2 && (!r.balancer.StillAllowed(r.now, q.ID, 1) || r.balancer.StillAllowed(r.now+maxStall, q.ID, 1)) {
			t.Error("a repeat that waits to be written is allowed beyond the window, or not within it")
		}
	}
}
