package frozen

import (
	"time"

	"moorstack/balancer"
)

// Send implements balancer.Actions. It schedules the end of the attempt.
func (tr *trace) Send(id balancer.RequestID, to balancer.WorkerID) {
	tr.record("send %s %d 0", id, to) // the 0 is a former timeout of the attempt, which was never set
	q, w := tr.requests[id], tr.workers[to]
	a := &traceAttempt{to: to, sent: tr.now}
	q.attempts = append(q.attempts, a)
	n := len(q.attempts) - 1
	w.inFlight++
	took := time.Duration(w.slowdown*float64(tr.randomDuration(40*time.Millisecond))) +
		time.Duration(w.inFlight)*5*time.Millisecond
	result := balancer.OK
	switch p := tr.rng.IntN(100); {
	case w.unresponsive:
		took = time.Hour
	case w.failing && p < 60:
		result, took = balancer.ServerError, took/4
	case w.inFlight > 12:
		result, took = balancer.WorkerFull, time.Millisecond
	case p < 2:
		result, took = balancer.ConnectFailed, 3*time.Millisecond
	case p < 4:
		result = balancer.ConnectionReset
	case p < 5:
		result = balancer.ServerError
	case p == 5:
		result = balancer.Unprocessable
	}
	if tr.now+took > q.deadline {
		result, took = balancer.TimedOut, max(q.deadline-tr.now, time.Microsecond)
	}
	if tr.settings.ReportsStart && result != balancer.WorkerFull && result != balancer.ConnectFailed &&
		!w.unresponsive {
		tr.schedule(took/4, func() { tr.progress(id, n, a, true, 0) })
		tr.schedule(took/2, func() { tr.progress(id, n, a, false, 0.5) })
	}
	if n > 0 || tr.rng.IntN(20) == 0 {
		tr.schedule(
			took/3,
			func() { tr.record("still allowed %s %d %t", id, n, tr.bal.MayStillSend(tr.now, id, n)) },
		)
	}
	tr.schedule(took, func() { tr.end(id, n, a, result) })
}

func (tr *trace) progress(id balancer.RequestID, n int, a *traceAttempt, started bool, done float64) {
	if !a.ended {
		tr.bal.AttemptProgressed(
			tr.now,
			balancer.AttemptProgress{ID: id, Attempt: n, Worker: a.to, Started: started, Fraction: done},
		)
	}
}

func (tr *trace) end(id balancer.RequestID, n int, a *traceAttempt, result balancer.Result) {
	w := tr.workers[a.to]
	if a.ended {
		return
	}
	a.ended = true
	w.inFlight--
	q := tr.requests[id]
	if result == balancer.OK {
		q.completed = true
	}
	report := balancer.NoLoadReport
	if !tr.settings.LoadReportsByCheck && tr.rng.IntN(3) > 0 {
		report = tr.report(a.to)
	}
	tr.bal.AttemptEnded(tr.now, balancer.AttemptOutcome{ID: id, Attempt: n, Worker: a.to, Result: result,
		Took: tr.now - a.sent, Responded: q.completed, Report: report})
}

func (tr *trace) report(id balancer.WorkerID) balancer.LoadReport {
	w := tr.workers[id]
	r := balancer.LoadReport{Received: true, FreeSlots: float64(max(0, 6-w.inFlight)), FreeMemory: -1,
		InFlight: float64(
			w.inFlight + tr.rng.IntN(2),
		), QueueLength: float64(max(0, w.inFlight-6)), CPUShare: -1,
		ServedPerSecond: tr.rng.Float64() * 50, FailedPerSecond: tr.rng.Float64()}
	return r
}

// Reject implements balancer.Actions.
func (tr *trace) Reject(id balancer.RequestID, retryAfter time.Duration) {
	tr.record("refuse %s %d", id, retryAfter)
	tr.requests[id].completed = true
}

// Fail implements balancer.Actions.
func (tr *trace) Fail(id balancer.RequestID) {
	tr.record("fail %s", id)
	tr.requests[id].completed = true
}

// Cancel implements balancer.Actions.
func (tr *trace) Cancel(id balancer.RequestID, n int) {
	tr.record("cancel %s %d", id, n)
	a := tr.requests[id].attempts[n]
	tr.schedule(time.Microsecond, func() { tr.end(id, n, a, balancer.Cancelled) })
}

// CheckHealth implements balancer.Actions.
func (tr *trace) CheckHealth(w balancer.WorkerID) {
	tr.record("probe %d", w)
	took := tr.randomDuration(2 * time.Millisecond)
	tr.schedule(took, func() {
		result, report := balancer.OK, tr.report(w)
		if tr.workers[w].unresponsive {
			result, report = balancer.TimedOut, balancer.NoLoadReport
		}
		tr.bal.HealthChecked(tr.now, w, result, report)
	})
}

// WatchList implements balancer.Actions.
func (tr *trace) WatchList(on bool) {
	tr.record("watch %t", on)
	tr.schedule(15*time.Millisecond, func() {
		if tr.rng.IntN(4) == 0 {
			tr.bal.UpdateWorkers(tr.now, balancer.ListUnavailable, nil)
			return
		}
		tr.bal.UpdateWorkers(tr.now, balancer.ListFull, append([]balancer.Worker(nil), tr.list...))
	})
}

// SetTimer implements balancer.Actions.
func (tr *trace) SetTimer(d time.Duration, token uint64) {
	tr.record("after %d %d", d, token)
	bal := tr.bal
	tr.schedule(d, func() {
		if bal == tr.bal || bal == nil {
			tr.bal.TimerFired(tr.now, token)
		}
	})
}

// SendPeer implements balancer.Actions.
func (tr *trace) SendPeer(peer int, data []byte) { tr.record("tell %d %x", peer, data) }

// Log implements balancer.Actions. It records only that a message was logged: the wording may change, but not
// when messages are logged.
func (tr *trace) Log(string) { tr.record("log") }
