package balancer

import (
	"fmt"
	"testing"
	"time"
)

// recorder stands in for the host. It asserts the four rules on every action,
// from what it has told the balancer alone.
type recorder struct {
	t       *testing.T
	b       *Balancer
	set     Settings
	now     time.Duration
	reqs    map[RequestID]*recReq
	work    map[WorkerID]*recWorker
	sends   []recSend // in order, those still out and ended
	timer   []recTimer
	watch   int
	asked   []WorkerID
	waits   []time.Duration // the retry-afters of refusals
	logs    []string
	cancels []string // of what attempts: ID/number
	tells   [][]byte // what peers were told
	silent  bool     // no attempt's end is told

	taken, further []time.Duration // requests, and attempts beyond a request's first
}

type recReq struct {
	Request
	deadline time.Duration
	final    string
	sends    []int // indices into recorder.sends
}

type recWorker struct {
	Worker
	left  time.Duration // when the balancer learned that it drains or is gone; -1: it is ready
	cold  []recCold
	limit float64 // what its capacity is, for the cold rule; 0: not checked
}

type recCold struct {
	at   time.Duration
	work float64
}

type recSend struct {
	id      RequestID
	w       WorkerID
	at      time.Duration
	attempt int
	ended   bool
	result  Result
}

type recTimer struct {
	at    time.Duration
	token uint64
}

// newRecorder makes a balancer with a recorder as its host.
func newRecorder(t *testing.T, set Settings) *recorder {
	t.Helper()
	return newSeeded(t, set, 1)
}

func newSeeded(t *testing.T, set Settings, seed uint64) *recorder {
	t.Helper()
	r := &recorder{t: t, set: set, now: time.Hour, reqs: map[RequestID]*recReq{},
		work: map[WorkerID]*recWorker{}}
	b, err := New(set, seed, r)
	if err != nil {
		t.Fatal(err)
	}
	r.b = b
	return r
}

func (r *recorder) breaks(rule string) {
	r.t.Helper()
	r.t.Fatalf("at %v: rule broken: %s", r.now, rule)
}

// members tells the balancer of workers.
func (r *recorder) members(kind ListUpdateKind, list ...Worker) {
	r.t.Helper()
	if kind == ListFull || kind == ListCached {
		for _, w := range r.work {
			if w.left < 0 {
				w.left = r.now
			}
		}
	}
	for _, e := range list {
		w := r.work[e.ID]
		if w == nil {
			w = &recWorker{left: -1}
			r.work[e.ID] = w
		}
		if w.StartedAt != e.StartedAt {
			w.cold = nil
		}
		was := w.left
		w.Worker = e
		w.left = -1
		if e.State != Ready {
			w.left = r.now
			if was >= 0 {
				w.left = was
			}
		}
	}
	r.b.UpdateWorkers(r.now, kind, list)
}

// request hands a request in.
func (r *recorder) request(q Request) {
	r.t.Helper()
	r.reqs[q.ID] = &recReq{Request: q, deadline: r.now + q.Timeout}
	r.taken = append(r.taken, r.now)
	r.b.Submit(r.now, q)
}

// last is the latest send.
func (r *recorder) last() *recSend {
	r.t.Helper()
	if len(r.sends) == 0 {
		r.t.Fatal("nothing was sent")
	}
	return &r.sends[len(r.sends)-1]
}

// end ends a send.
func (r *recorder) end(s *recSend, res Result) { r.endWith(s, res, NoLoadReport) }

func (r *recorder) endWith(s *recSend, res Result, rep LoadReport) {
	r.t.Helper()
	s.ended, s.result = true, res
	q := r.reqs[s.id]
	if res == OK && q.final == "" {
		q.final = "served"
	}
	r.b.AttemptEnded(r.now, AttemptOutcome{ID: s.id, Attempt: s.attempt, Worker: s.w, Result: res,
		Took: r.now - s.at, Responded: q.final != "", Report: rep})
}

// start tells that a send's job has started.
func (r *recorder) start(s *recSend) {
	r.b.AttemptProgressed(r.now, AttemptProgress{ID: s.id, Attempt: s.attempt, Worker: s.w, Started: true})
}

// serve has n jobs of a class, numbered from first on, start at once and end well, one after another.
func (r *recorder) serve(first, n, class int, took time.Duration, rep LoadReport) {
	r.t.Helper()
	for i := range n {
		r.request(job(first+i, class))
		r.start(r.last())
		r.pass(took)
		r.endWith(r.last(), OK, rep)
	}
}

// note has a worker tell that it still works on an attempt.
func (r *recorder) note(s *recSend) {
	r.b.AttemptProgressed(r.now, AttemptProgress{ID: s.id, Attempt: s.attempt, Worker: s.w})
}

// pass lets time go by, with the timers that come due and the time-outs at deadlines.
func (r *recorder) pass(d time.Duration) {
	r.t.Helper()
	until := r.now + d
	for {
		next, at := -1, until
		for i, t := range r.timer {
			if t.at <= at && (next < 0 || t.at < r.timer[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		t := r.timer[next]
		r.timer = append(r.timer[:next], r.timer[next+1:]...)
		r.now = max(r.now, t.at)
		r.timeouts()
		r.b.TimerFired(r.now, t.token)
		r.overdue()
	}
	r.now = until
	r.timeouts()
	r.overdue()
}

func (r *recorder) timeouts() {
	for i := range r.sends {
		if s := &r.sends[i]; !r.silent && !s.ended && r.now >= r.reqs[s.id].deadline {
			r.end(s, TimedOut)
		}
	}
}

// overdue asserts rule 1: an answer by the deadline and the slack.
func (r *recorder) overdue() {
	r.t.Helper()
	for _, q := range r.reqs {
		if q.final == "" && r.now > q.deadline+r.set.Rules.ResponseSlack {
			r.breaks("no answer in time for " + string(q.ID))
		}
	}
}

// Send asserts rules 1 to 4.
func (r *recorder) Send(id RequestID, to WorkerID, until time.Duration) {
	r.t.Helper()
	q, w := r.reqs[id], r.work[to]
	if q == nil || w == nil {
		r.t.Fatalf("Send(%s, %d): never named", id, to)
	}
	c := r.set.Classes[q.Class]
	if q.final != "" {
		r.breaks("sent after the final answer")
	}
	if len(q.sends) >= r.set.Limits.MaxAttempts {
		r.breaks("more attempts than the limit")
	}
	if len(q.sends) > 0 {
		r.further = append(r.further, r.now)
		r.budget()
	}
	for _, i := range q.sends {
		s := r.sends[i]
		if !s.ended && !r.set.Limits.HedgedRequests {
			r.breaks("two attempts out at once")
		}
		if r.unrun(s) {
			continue
		}
		if c.Idempotency == NonIdempotent {
			r.breaks("an unsafe job that may have run was sent again")
		}
		if c.Idempotency == IdempotentByKey && (r.now-s.at >= c.KeyWindow || !r.grouped(c, s.w, to)) {
			r.breaks("a keyed job that may have run was sent outside its group or window")
		}
	}
	if w.left >= 0 && r.now > w.left+r.set.Rules.DrainGrace {
		r.breaks("sent to a worker that drains or is gone")
	}
	r.cold(w, q)
	q.sends = append(q.sends, len(r.sends))
	r.sends = append(r.sends, recSend{id: id, w: to, at: r.now, attempt: len(q.sends) - 1})
}

// unrun reports whether a send's end proves that its job never ran.
func (r *recorder) unrun(s recSend) bool {
	return s.ended && s.result.NeverRan() && !(s.result == WorkerFull && r.set.Rules.FullMayHaveRun)
}

// budget asserts the rule of further attempts over the window that ends now.
func (r *recorder) budget() {
	r.t.Helper()
	ru := r.set.Rules
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
	if within(r.further) > ru.RetryBudgetBase+ru.RetryBudgetShare*within(r.taken) {
		r.breaks("an attempt beyond the budget")
	}
}

func (r *recorder) grouped(c Class, a, b WorkerID) bool {
	x, y := r.work[a], r.work[b]
	switch c.KeyScope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// cold asserts rule 4 on a worker whose capacity the test knows: this dispatcher's part of the
// budget of any window.
func (r *recorder) cold(w *recWorker, q *recReq) {
	r.t.Helper()
	ru := r.set.Rules
	age := r.now - w.StartedAt
	if w.limit == 0 || w.StartedAt <= 0 || age >= ru.SlowStartWindow {
		return
	}
	w.cold = append(w.cold, recCold{r.now, q.ExpectedWork.Seconds() * max(q.Slots, 1)})
	sum := 0.0
	for _, c := range w.cold {
		if r.now-c.at < ru.OverloadWindow {
			sum += c.work
		}
	}
	share := ru.SlowStartMinShare + (1-ru.SlowStartMinShare)*float64(age)/float64(ru.SlowStartWindow)
	if sum > ru.OverloadFactor*share*w.limit*ru.OverloadWindow.Seconds()/float64(max(r.set.DispatcherCount, 1)) {
		r.breaks("a cold worker was pushed over")
	}
}

func (r *recorder) finish(id RequestID, how string) *recReq {
	r.t.Helper()
	q := r.reqs[id]
	if q == nil {
		r.t.Fatalf("%s(%s): never given", how, id)
	}
	if q.final != "" {
		r.breaks("two final answers")
	}
	q.final = how
	return q
}

// Reject asserts rules 1 and 2.
func (r *recorder) Reject(id RequestID, retryAfter time.Duration) {
	r.t.Helper()
	q := r.finish(id, "refused")
	r.waits = append(r.waits, retryAfter)
	c := r.set.Classes[q.Class]
	for _, i := range q.sends {
		s := r.sends[i]
		if r.unrun(s) || c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
			continue
		}
		r.breaks("a job that may have run was refused as harmless to repeat")
	}
}

// Fail asserts rule 1.
func (r *recorder) Fail(id RequestID) { r.finish(id, "failed") }

// Cancel checks that the attempt exists.
func (r *recorder) Cancel(id RequestID, attempt int) {
	r.t.Helper()
	if q := r.reqs[id]; q == nil || attempt < 0 || attempt >= len(q.sends) || !r.set.Limits.CanCancel {
		r.t.Fatalf("Cancel(%s, %d): not allowed", id, attempt)
	}
	r.cancels = append(r.cancels, fmt.Sprint(id, "/", attempt))
}

// CheckHealth checks that probes are allowed.
func (r *recorder) CheckHealth(w WorkerID) {
	r.t.Helper()
	if !r.set.Limits.HealthChecks || r.work[w] == nil {
		r.t.Fatalf("Probe(%d): not allowed", w)
	}
	r.asked = append(r.asked, w)
}

// WatchList counts calls.
func (r *recorder) WatchList(on bool) { r.watch++ }

// FetchList is not used yet.
func (r *recorder) FetchList() {}

// SetTimer keeps a timer.
func (r *recorder) SetTimer(d time.Duration, token uint64) {
	r.t.Helper()
	if d <= 0 {
		r.t.Fatalf("After(%v): a timer without a wait never rests", d)
	}
	r.timer = append(r.timer, recTimer{r.now + d, token})
}

// SendPeer checks that peers are allowed.
func (r *recorder) SendPeer(peer int, data []byte) {
	r.t.Helper()
	if !r.set.Limits.PeerMessages || len(data) > 256 {
		r.t.Fatal("Tell: not allowed")
	}
	r.tells = append(r.tells, data)
}

// CloseIdle does nothing.
func (r *recorder) CloseIdle(w WorkerID) {}

// Log keeps the line.
func (r *recorder) Log(text string) { r.logs = append(r.logs, text) }
