package balancer

import (
	"encoding/binary"
	"time"
)

// UpdateWorkers applies an update of the list of workers. The first one starts the balancer's timers.
func (b *Balancer) UpdateWorkers(now time.Duration, kind ListUpdateKind, list []Worker) {
	if !b.started {
		b.start(now)
	}
	if kind == ListUnavailable {
		b.actions.SetTimer(b.listBackoff(), listTimer)
		b.failedListCalls++
		return
	}
	if kind != ListCached {
		b.failedListCalls = 0
	}
	b.listReceived = b.listReceived || kind != ListCached || len(list) > 0
	if kind != ListDelta {
		for _, w := range b.workers {
			w.State = Removed
		}
	}
	for _, e := range list {
		b.updateWorker(e)
	}
	b.pruneRemoved()
	b.updateHomeDistances()
	if kind != ListCached {
		b.releaseWaiting(now)
	}
}

// start begins the sweeps, and requests the list where that is needed.
func (b *Balancer) start(now time.Duration) {
	b.started, b.startedAt, b.averagedAt = true, now, now
	b.actions.SetTimer(b.sweepInterval(), sweepTimer)
	switch wait := b.firstListDelay(); {
	case b.settings.ListOnRequest && wait > 0:
		b.actions.SetTimer(wait, listTimer)
	case b.settings.ListOnRequest:
		b.actions.WatchList(true)
	}
}

// Submit takes a new request and sends, rejects or fails it, or has it wait for load reports or the first
// list. A request whose ID is open already is ignored.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if q := b.addRequest(now, r); q != nil {
		b.requestTimes.countAfter(now - b.settings.Rules.RetryBudgetWindow)
		b.requestTimes = append(b.requestTimes, now)
		b.classTallies[q.Class].offered += b.goalUnits(q)
		b.arrivals++
		b.arrivedWork += b.hintedWork(q)
		b.chargeQuota(now, q)
		if b.place(now, q); !b.loadsStale {
			b.checkStalest(now)
		}
	}
}

// AttemptEnded takes the end of an attempt. Attempts that are not known, or have ended before, are ignored.
func (b *Balancer) AttemptEnded(now time.Duration, o AttemptOutcome) {
	q, a := b.findAttempt(o.ID, o.Attempt)
	if a == nil || a.ended {
		return
	}
	a.neverRan = b.provesNeverRan(o.Result)
	a.ended, a.worker.unstartedWait = true, 0
	if a.startedAt > 0 {
		a.worker.running--
	}
	if o.Result == OK || o.Result == ServerError || o.Result == WorkerFull {
		a.worker.progressAt = now // the other results do not come from the worker
	}
	q.inFlight--
	b.learn(now, q, a, &o)
	a.worker.inFlight -= q.slotsNeeded()
	if o.Responded && !q.responded {
		q.responded = true
		b.cancelInFlight(q)
	}
	if q.responded || q.inFlight > 0 {
		b.forget(q)
		return
	}
	if o.Result == Unprocessable {
		b.fail(q)
		return
	}
	b.place(now, q)
}

// AttemptProgressed takes a worker's progress report on an attempt in flight.
func (b *Balancer) AttemptProgressed(now time.Duration, p AttemptProgress) {
	_, a := b.findAttempt(p.ID, p.Attempt)
	if a == nil || a.ended {
		return
	}
	a.worker.progressAt = now
	if !p.Started || a.startedAt > 0 {
		return
	}
	a.startedAt, a.worker.unstartedWait = now, 0
	a.worker.running++
	a.worker.lastWait, a.worker.lastWaitAt = (now - a.sentAt).Seconds(), now
	b.observeWait(now, a.worker.lastWait)
}

// HealthChecked takes the end of a health check.
func (b *Balancer) HealthChecked(now time.Duration, id WorkerID, res Result, r LoadReport) {
	switch w := b.workerByID[id]; {
	case w == nil:
	case res == OK:
		b.applyLoadReport(w, &r)
		b.loadReported(now, w)
	default:
		b.observeFailure(now, w)
	}
}

// loadReported counts a worker's load report for the requests that wait for it, and places those that have
// all of theirs.
func (b *Balancer) loadReported(now time.Duration, from *worker) {
	for _, q := range b.waiting {
		for i := q.answered; i < len(q.checked); i++ {
			if q.checked[i] == from {
				q.checked[i], q.checked[q.answered] = q.checked[q.answered], q.checked[i]
				q.answered++
				break
			}
		}
	}
	b.releaseWaiting(now)
}

// ReceivePeer takes a message from another dispatcher: the worker that has just failed a request of its.
func (b *Balancer) ReceivePeer(now time.Duration, data []byte) {
	if len(data) != 4 {
		return
	}
	if w := b.workerByID[WorkerID(binary.BigEndian.Uint32(data))]; w != nil {
		b.observeFailure(now, w)
	}
}

// TimerFired takes the end of a timer that Actions.SetTimer has set.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case sweepTimer:
		b.sweep(now)
		b.actions.SetTimer(b.sweepInterval(), sweepTimer)
	case listTimer:
		b.actions.WatchList(true)
	}
}

// StreamStarted takes the start of a streamed response. The client owns the attempt from now on, and the
// request needs no final response any more.
func (b *Balancer) StreamStarted(id RequestID) {
	if q := b.requestByID[id]; q != nil {
		q.responded = true
		b.forget(q)
	}
}

// ClientDisconnected ends a request whose client has disconnected.
func (b *Balancer) ClientDisconnected(id RequestID) {
	if q := b.requestByID[id]; q != nil && !q.responded {
		q.responded = true
		b.cancelInFlight(q)
		b.forget(q)
	}
}

// EndMaintenance is called when operators have put a worker back into service. It was restarted meanwhile:
// what was learned of its earlier process is dropped, and it gets one of the next requests.
func (b *Balancer) EndMaintenance(id WorkerID) {
	w := b.workerByID[id]
	if w == nil {
		return
	}
	w.failureScore, w.lastWait, w.unstartedWait, w.othersInFlight = 0, 0, 0, 0
	if !w.owedRequest {
		w.owedRequest = true
		b.owedWorkers++
	}
}
