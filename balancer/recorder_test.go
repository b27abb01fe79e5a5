package balancer

import (
	"fmt"
	"testing"
	"time"
)

// recorder is the host of a balancer in tests. On every action it checks four rules, using only the events
// that it has passed to the balancer: (1) one response in time, (2) idempotency, (3) nothing to draining
// workers, (4) slow start.
type recorder struct {
	t                *testing.T
	balancer         *Balancer
	settings         Settings
	now              time.Duration
	requests         map[RequestID]*recordedRequest
	workers          map[WorkerID]*recordedWorker
	sends            []recordedSend // in order, including those that have ended
	timers           []recordedTimer
	watchCalls       int
	checked          []WorkerID
	retryAfters      []time.Duration // of rejections
	logs             []string
	cancels          []string // attempts, as ID/number
	peerMessages     [][]byte // sent to peers
	dropsAttemptEnds bool     // no attempt's end is reported

	submitted, retries []time.Duration // times of requests and of retries
}

type recordedRequest struct {
	Request
	deadline time.Duration
	final    string
	sends    []int // indices in recorder.sends
}

type recordedWorker struct {
	Worker
	unavailableSince time.Duration // when the balancer learned that it is not ready; -1: it is ready
	slowStartSent    []recordedWork
	capacity         float64 // for the slow-start rule, in slot seconds per second; 0: not checked
}

type recordedWork struct {
	at   time.Duration
	work float64
}

type recordedSend struct {
	id      RequestID
	worker  WorkerID
	at      time.Duration
	attempt int
	ended   bool
	result  Result
}

type recordedTimer struct {
	at    time.Duration
	token uint64
}

// newRecorder returns a recorder that is the host of a new balancer.
func newRecorder(t *testing.T, set Settings) *recorder {
	t.Helper()
	return newSeeded(t, set, 1)
}

func newSeeded(t *testing.T, set Settings, seed uint64) *recorder {
	t.Helper()
	r := &recorder{t: t, settings: set, now: time.Hour, requests: map[RequestID]*recordedRequest{},
		workers: map[WorkerID]*recordedWorker{}}
	b, err := New(set, seed, r)
	if err != nil {
		t.Fatal(err)
	}
	r.balancer = b
	return r
}

func (r *recorder) reportViolation(rule string) {
	r.t.Helper()
	r.t.Fatalf("at %v: rule violated: %s", r.now, rule)
}

// updateWorkers passes an update of the list to the balancer.
func (r *recorder) updateWorkers(kind ListUpdateKind, list ...Worker) {
	r.t.Helper()
	if kind == ListFull || kind == ListCached {
		for _, w := range r.workers {
			if w.unavailableSince < 0 {
				w.unavailableSince = r.now
			}
		}
	}
	for _, e := range list {
		w := r.workers[e.ID]
		if w == nil {
			w = &recordedWorker{unavailableSince: -1}
			r.workers[e.ID] = w
		}
		if w.StartedAt != e.StartedAt {
			w.slowStartSent = nil
		}
		was := w.unavailableSince
		w.Worker = e
		w.unavailableSince = -1
		if e.State != Ready {
			w.unavailableSince = r.now
			if was >= 0 {
				w.unavailableSince = was
			}
		}
	}
	r.balancer.UpdateWorkers(r.now, kind, list)
}

// submit records a request and submits it.
func (r *recorder) submit(q Request) {
	r.t.Helper()
	r.requests[q.ID] = &recordedRequest{Request: q, deadline: r.now + q.Timeout}
	r.submitted = append(r.submitted, r.now)
	r.balancer.Submit(r.now, q)
}

// lastSend returns the latest send.
func (r *recorder) lastSend() *recordedSend {
	r.t.Helper()
	if len(r.sends) == 0 {
		r.t.Fatal("nothing was sent")
	}
	return &r.sends[len(r.sends)-1]
}

// endAttempt ends an attempt without a load report.
func (r *recorder) endAttempt(s *recordedSend, res Result) { r.endAttemptWith(s, res, NoLoadReport) }

func (r *recorder) endAttemptWith(s *recordedSend, res Result, rep LoadReport) {
	r.t.Helper()
	s.ended, s.result = true, res
	q := r.requests[s.id]
	if res == OK && q.final == "" {
		q.final = "served"
	}
	r.balancer.AttemptEnded(r.now, AttemptOutcome{ID: s.id, Attempt: s.attempt, Worker: s.worker, Result: res,
		Took: r.now - s.at, Responded: q.final != "", Report: rep})
}

// reportStart reports that the request of a send has started.
func (r *recorder) reportStart(s *recordedSend) {
	r.balancer.AttemptProgressed(r.now, AttemptProgress{ID: s.id, Attempt: s.attempt, Worker: s.worker,
		Started: true})
}

// serveEach submits n requests of a class one after another, with numbers starting at first. Each starts at
// once and is served.
func (r *recorder) serveEach(first, n, class int, took time.Duration, rep LoadReport) {
	r.t.Helper()
	for i := range n {
		r.submit(testRequest(first+i, class))
		r.reportStart(r.lastSend())
		r.advance(took)
		r.endAttemptWith(r.lastSend(), OK, rep)
	}
}

// reportProgress reports that a worker is still running an attempt.
func (r *recorder) reportProgress(s *recordedSend) {
	r.balancer.AttemptProgressed(r.now, AttemptProgress{ID: s.id, Attempt: s.attempt, Worker: s.worker})
}

// advance advances the clock, fires the timers that are due, and times attempts out at their deadlines.
func (r *recorder) advance(d time.Duration) {
	r.t.Helper()
	until := r.now + d
	for {
		next, at := -1, until
		for i, t := range r.timers {
			if t.at <= at && (next < 0 || t.at < r.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		t := r.timers[next]
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.now = max(r.now, t.at)
		r.endTimedOut()
		r.balancer.TimerFired(r.now, t.token)
		r.checkOverdue()
	}
	r.now = until
	r.endTimedOut()
	r.checkOverdue()
}

func (r *recorder) endTimedOut() {
	for i := range r.sends {
		if s := &r.sends[i]; !r.dropsAttemptEnds && !s.ended && r.now >= r.requests[s.id].deadline {
			r.endAttempt(s, TimedOut)
		}
	}
}

// checkOverdue checks rule 1: a response by the deadline plus the slack.
func (r *recorder) checkOverdue() {
	r.t.Helper()
	for _, q := range r.requests {
		if q.final == "" && r.now > q.deadline+r.settings.Rules.ResponseSlack {
			r.reportViolation("no response in time for request " + string(q.ID))
		}
	}
}

// Send implements Actions and checks rules 1 to 4.
func (r *recorder) Send(id RequestID, to WorkerID) {
	r.t.Helper()
	q, w := r.requests[id], r.workers[to]
	if q == nil || w == nil {
		r.t.Fatalf("Send(%s, %d): unknown request or worker", id, to)
	}
	c := r.settings.Classes[q.Class]
	if q.final != "" {
		r.reportViolation("sent after the final response")
	}
	if len(q.sends) >= r.settings.Limits.MaxAttempts {
		r.reportViolation("more attempts than the limit")
	}
	if len(q.sends) > 0 {
		r.retries = append(r.retries, r.now)
		r.checkRetryBudget()
	}
	for _, i := range q.sends {
		s := r.sends[i]
		if !s.ended && !r.settings.Limits.HedgedRequests {
			r.reportViolation("two attempts in flight at once")
		}
		if r.provenNotRun(s) {
			continue
		}
		if c.Idempotency == NonIdempotent {
			r.reportViolation("a non-idempotent request that may have run was retried")
		}
		if c.Idempotency == IdempotentByKey &&
			(r.now-s.at >= c.KeyWindow || !r.sameKeyGroup(c, s.worker, to)) {
			r.reportViolation("a keyed request that may have run was retried outside its scope or window")
		}
	}
	if w.unavailableSince >= 0 && r.now > w.unavailableSince+r.settings.Rules.DrainGrace {
		r.reportViolation("sent to a worker that is draining or removed")
	}
	r.checkSlowStart(w, q)
	q.sends = append(q.sends, len(r.sends))
	r.sends = append(r.sends, recordedSend{id: id, worker: to, at: r.now, attempt: len(q.sends) - 1})
}

// provenNotRun reports whether the result of a send proves that its request never ran.
func (r *recorder) provenNotRun(s recordedSend) bool {
	return s.ended && s.result.NeverRan() && !(s.result == WorkerFull && r.settings.Rules.FullMayHaveRun)
}

// checkRetryBudget checks the retry budget over the window that ends now.
func (r *recorder) checkRetryBudget() {
	r.t.Helper()
	ru := r.settings.Rules
	if ru.RetryBudgetWindow <= 0 {
		return
	}
	within := func(times []time.Duration) (n float64) {
		for _, at := range times {
			if r.now-at < ru.RetryBudgetWindow {
				n++
			}
		}
		return n
	}
	if within(r.retries) > ru.RetryBudgetBase+ru.RetryBudgetShare*within(r.submitted) {
		r.reportViolation("retry beyond the budget")
	}
}

func (r *recorder) sameKeyGroup(c Class, a, b WorkerID) bool {
	x, y := r.workers[a], r.workers[b]
	switch c.KeyScope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkSlowStart checks rule 4 for a worker whose capacity the test sets: what this dispatcher sends in any
// window stays within its part of the budget.
func (r *recorder) checkSlowStart(w *recordedWorker, q *recordedRequest) {
	r.t.Helper()
	ru := r.settings.Rules
	age := r.now - w.StartedAt
	if w.capacity == 0 || w.StartedAt <= 0 || age >= ru.SlowStartWindow {
		return
	}
	w.slowStartSent = append(w.slowStartSent, recordedWork{r.now, q.ExpectedWork.Seconds() * max(q.Slots, 1)})
	sum := 0.0
	for _, c := range w.slowStartSent {
		if r.now-c.at < ru.OverloadWindow {
			sum += c.work
		}
	}
	share := ru.SlowStartMinShare + (1-ru.SlowStartMinShare)*float64(age)/float64(ru.SlowStartWindow)
	capacity := share * w.capacity / float64(max(r.settings.DispatcherCount, 1))
	if sum > ru.OverloadFactor*capacity*ru.OverloadWindow.Seconds() {
		r.reportViolation("warming worker overloaded")
	}
}

func (r *recorder) recordResponse(id RequestID, response string) *recordedRequest {
	r.t.Helper()
	q := r.requests[id]
	if q == nil {
		r.t.Fatalf("%s(%s): not submitted", response, id)
	}
	if q.final != "" {
		r.reportViolation("two final responses")
	}
	q.final = response
	return q
}

// Reject implements Actions and checks rules 1 and 2.
func (r *recorder) Reject(id RequestID, retryAfter time.Duration) {
	r.t.Helper()
	q := r.recordResponse(id, "rejected")
	r.retryAfters = append(r.retryAfters, retryAfter)
	c := r.settings.Classes[q.Class]
	for _, i := range q.sends {
		s := r.sends[i]
		if r.provenNotRun(s) || c.Idempotency == Idempotent ||
			c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
			continue
		}
		r.reportViolation("rejected a request that may have run, which declares a retry harmless")
	}
}

// Fail implements Actions and checks rule 1.
func (r *recorder) Fail(id RequestID) { r.recordResponse(id, "failed") }

// Cancel implements Actions and checks that the attempt exists.
func (r *recorder) Cancel(id RequestID, attempt int) {
	r.t.Helper()
	q := r.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.sends) || !r.settings.Limits.CanCancel {
		r.t.Fatalf("Cancel(%s, %d): not allowed", id, attempt)
	}
	r.cancels = append(r.cancels, fmt.Sprint(id, "/", attempt))
}

// CheckHealth implements Actions and checks that health checks are allowed.
func (r *recorder) CheckHealth(w WorkerID) {
	r.t.Helper()
	if !r.settings.Limits.HealthChecks || r.workers[w] == nil {
		r.t.Fatalf("CheckHealth(%d): not allowed", w)
	}
	r.checked = append(r.checked, w)
}

// WatchList implements Actions.
func (r *recorder) WatchList(on bool) { r.watchCalls++ }

// SetTimer implements Actions.
func (r *recorder) SetTimer(d time.Duration, token uint64) {
	r.t.Helper()
	if d <= 0 {
		r.t.Fatalf("SetTimer(%v): the wait must be positive, or advance never ends", d)
	}
	r.timers = append(r.timers, recordedTimer{r.now + d, token})
}

// SendPeer implements Actions and checks that messages are allowed.
func (r *recorder) SendPeer(peer int, data []byte) {
	r.t.Helper()
	if !r.settings.Limits.PeerMessages || len(data) > 256 {
		r.t.Fatal("SendPeer: not allowed")
	}
	r.peerMessages = append(r.peerMessages, data)
}

// Log implements Actions.
func (r *recorder) Log(text string) { r.logs = append(r.logs, text) }
