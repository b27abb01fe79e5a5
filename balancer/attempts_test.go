package balancer

import (
	"slices"
	"testing"
	"time"
)

// The idempotency of the class and the result of the first attempt determine whether the request is retried.
func TestRetryAfterFailureByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		res      Result
		sends    int
		cell     bool // the second attempt stays in the cell
		response string
	}{
		{"idempotent after an error is retried", idempotentClass, ServerError, 2, false, ""},
		{"keyed after an error is retried in its cell", keyedClass, ServerError, 2, true, ""},
		{"non-idempotent after an error fails", nonIdempotentClass, ServerError, 1, false, "failed"},
		{"non-idempotent after a reset fails", nonIdempotentClass, ConnectionReset, 1, false, "failed"},
		{"non-idempotent at a full worker is retried", nonIdempotentClass, WorkerFull, 2, false, ""},
		{"non-idempotent without a connection is retried", nonIdempotentClass, ConnectFailed, 2, false, ""},
		{"keyed at a full worker is retried anywhere", keyedClass, WorkerFull, 2, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.updateWorkers(ListFull, readyWorkers(8)...)
			r.submit(testRequest(0, c.class))
			first := r.lastSend().worker
			r.endAttempt(r.lastSend(), c.res)
			if len(r.sends) != c.sends || r.requests["r0"].final != c.response {
				t.Fatalf("%d sends and response %q, want %d and %q", len(r.sends), r.requests["r0"].final,
					c.sends, c.response)
			}
			if second := r.lastSend().worker; c.sends > 1 && second == first {
				t.Error("retried at the worker of the first attempt")
			}
		})
	}
}

// A keyed request is retried only within the key window of its first attempt.
func TestNoRetryAfterKeyWindow(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(8)...)
	r.submit(testRequest(0, keyedClass))
	r.advance(r.settings.Classes[keyedClass].KeyWindow)
	r.endAttempt(r.lastSend(), ServerError)
	if len(r.sends) != 1 || r.requests["r0"].final != "failed" {
		t.Errorf("%d sends and response %q, want 1 and failed", len(r.sends), r.requests["r0"].final)
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

// If a worker becomes unresponsive, the ends of its attempts are never reported, and idempotent requests are
// hedged. A worker that keeps sending progress reports is responsive, however long other requests wait
// there.
func TestHedgesAtUnresponsiveWorker(t *testing.T) {
	for _, c := range []struct {
		name                  string
		class                 int
		hedging, unresponsive bool
		sends                 int
	}{
		{"idempotent", idempotentClass, true, true, 2},
		{"keyed, in its cell", keyedClass, true, true, 2},
		{"non-idempotent", nonIdempotentClass, true, true, 1},
		{"not allowed", idempotentClass, false, true, 1},
		{"responsive", idempotentClass, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportsStart, set.ProgressInterval = true, 200*time.Millisecond
			set.Limits.HedgedRequests = c.hedging
			r := newRecorder(t, set)
			r.updateWorkers(ListFull, readyWorkers(4)...)
			r.submit(testRequest(0, c.class))
			first := *r.lastSend()
			r.reportStart(&first)
			for range 10 {
				r.advance(100 * time.Millisecond)
				if !c.unresponsive {
					r.reportProgress(&first)
				}
			}
			if len(r.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(r.sends), c.sends)
			}
			if c.sends > 1 && r.lastSend().worker == first.worker {
				t.Error("the hedged attempt went to the unresponsive worker")
			}
			r.endAttempt(r.lastSend(), OK)
			r.advance(6 * time.Second)
			if got := r.requests["r0"].final; got != "served" {
				t.Errorf("response %q, want served", got)
			}
		})
	}
}

// If requests that only wait were hedged where cancelling has no effect, every wait would become longer, and
// longer waits would cause more hedged attempts.
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
		t.Errorf("%d hedged attempts of queued requests, want 0", len(r.sends)-sent)
	}
}

// If WorkerFull does not prove that a request never ran, non-idempotent requests fail after it and keyed ones
// are retried within their scope only.
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
			t.Errorf("class %d: %d sends, response %q; want %d, %q", class, len(r.sends),
				r.requests["r0"].final, want.sends, want.final)
		}
	}
}

// When all attempts fail, retries stay within the budget of every window, and the budget is used.
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
			r.advance(1900 * time.Millisecond) // few requests are in the window, but the retries still are
		}
	}
	if n := len(r.retries); n < 25 || n > 60 {
		t.Errorf("%d retries for 400 requests in about 5 s, want 25 to 60: 4 per 2 s and a tenth", n)
	}
}

// The attempts of a client that has disconnected, and a hedged attempt that is still in flight after the
// response, are cancelled once, if the deployment allows it.
func TestCancelsAttemptsNobodyWaitsFor(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.ReportsStart, set.Limits.HedgedRequests, set.Limits.CanCancel = true, true, allowed
		set.ProgressInterval = 200 * time.Millisecond
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(4)...)
		r.submit(testRequest(0, idempotentClass))
		r.reportStart(r.lastSend())
		r.advance(time.Second) // a hedged attempt starts
		if len(r.sends) != 2 {
			t.Fatalf("%d attempts are in flight, want 2", len(r.sends))
		}
		r.endAttempt(&r.sends[1], OK)
		r.submit(testRequest(1, idempotentClass))
		r.balancer.ClientDisconnected("r1")
		r.requests["r1"].final = "disconnected"
		r.balancer.ClientDisconnected("r1")
		want := []string{"r0/0", "r1/0"}
		if !allowed {
			want = nil
		}
		if !slices.Equal(r.cancels, want) {
			t.Errorf("cancelled %v, want %v", r.cancels, want)
		}
	}
}

// An unprocessable request is not sent to other workers, and does not count as a failure of the worker.
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
				t.Errorf("class %d: worker %d has a failure score of %v and %v in flight", class, w.ID,
					w.failureScore, w.inFlight)
			}
		}
	}
}

// A request that ends while it waits for load reports is removed, and its memory is not reused before the
// wait ends.
func TestClientDisconnectsWhileLoadReportsAreAwaited(t *testing.T) {
	set := testSettings()
	set.LoadReportsByCheck, set.DispatcherCount = true, 100
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(40)...)
	r.advance(time.Minute)
	r.submit(testRequest(0, idempotentClass))
	r.balancer.ClientDisconnected("r0")
	r.requests["r0"].final = "disconnected"
	r.submit(testRequest(1, idempotentClass))
	r.advance(time.Second)
	if len(r.sends) != 1 || r.lastSend().id != "r1" || len(r.balancer.waiting) != 0 {
		t.Errorf("sends %v and %d requests waiting, want only r1 and none", r.sends, len(r.balancer.waiting))
	}
}

// Retries of a keyed request that may have run end maxStall before its key window does. A retry that has
// started but is not written yet may be written until the window ends.
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
			t.Errorf("%v after maxStall before the end of the key window: %d sends, want %d", c.after,
				len(r.sends), c.sends)
		}
		if c.sends == 2 && (!r.balancer.MayStillSend(r.now, q.ID, 1) ||
			r.balancer.MayStillSend(r.now+maxStall, q.ID, 1)) {
			t.Error("an unwritten retry is allowed after the key window, or not within it")
		}
	}
}
