package balancer

import (
	"encoding/binary"
	"time"
)

// UpdateWorkers applies an update of the list of workers. The first call starts the balancer's timers.
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
	b.updateRingDistances()
	if kind != ListCached {
		b.releaseWaiting(now)
	}
}

// start schedules the first sweep, and requests the list if updates come only on request.
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

// Submit accepts a new request and sends, rejects or fails it, or lets it wait for load reports or for the
// first list. A request is ignored if one with its ID is open.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if q := b.addRequest(now, r); q != nil {
		b.requestTimes.countAfter(now - b.settings.Rules.RetryBudgetWindow)
		b.requestTimes = append(b.requestTimes, now)
		b.classTallies[q.Class].offered += b.goalUnits(q)
		b.arrivals++
		b.arrivedWork += b.hintedWork(q)
		b.chargeQuota(now, q)
		if b.dispatch(now, q); !b.loadsStale {
			b.checkStalest(now)
		}
	}
}

// AttemptEnded handles the end of an attempt. Attempts that are unknown or have already ended are ignored.
func (b *Balancer) AttemptEnded(now time.Duration, o AttemptOutcome) {
	q, a := b.findAttempt(o.ID, o.Attempt)
	if a == nil || a.ended {
		return
	}
	a.neverRan = b.settings.Rules.ProvesNeverRan(o.Result)
	a.ended, a.worker.unstartedWait = true, 0
	if a.startedAt > 0 {
		a.worker.running--
	}
	if o.Result == OK || o.Result == ServerError || o.Result == WorkerFull {
		a.worker.progressAt = now // the other results don't come from the worker
	}
	q.inFlight--
	b.learnFromOutcome(now, q, a, &o)
	a.worker.inFlight -= q.slotsNeeded()
	if o.Responded && !q.responded {
		q.responded = true
		b.cancelInFlight(q)
	}
	if q.responded || q.inFlight > 0 {
		b.removeIfDone(q)
		return
	}
	if o.Result == Unprocessable {
		b.fail(q)
		return
	}
	b.dispatch(now, q)
}

// AttemptProgressed handles a worker's progress report on an attempt in flight.
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

// HealthChecked handles the end of a health check.
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

// loadReported records a worker's load report for the requests that wait for it, and dispatches those that
// have all their reports.
func (b *Balancer) loadReported(now time.Duration, from *worker) {
	for _, q := range b.waiting {
		for i := q.reportsReceived; i < len(q.checked); i++ {
			if q.checked[i] == from {
				q.checked[i], q.checked[q.reportsReceived] = q.checked[q.reportsReceived], q.checked[i]
				q.reportsReceived++
				break
			}
		}
	}
	b.releaseWaiting(now)
}

// ReceivePeer handles a message from another dispatcher: the ID of a worker that has just failed one of its
// requests.
func (b *Balancer) ReceivePeer(now time.Duration, data []byte) {
	if len(data) != 4 {
		return
	}
	if w := b.workerByID[WorkerID(binary.BigEndian.Uint32(data))]; w != nil {
		b.observeFailure(now, w)
	}
}

// TimerFired handles the expiry of a timer set by Actions.SetTimer.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case sweepTimer:
		b.sweep(now)
		b.actions.SetTimer(b.sweepInterval(), sweepTimer)
	case listTimer:
		b.actions.WatchList(true)
	}
}

// StreamStarted handles the start of a streamed response. From then on the client owns the attempt, and the
// request needs no final response.
func (b *Balancer) StreamStarted(id RequestID) {
	if q := b.requestByID[id]; q != nil {
		q.responded = true
		b.removeIfDone(q)
	}
}

// ClientDisconnected ends a request whose client has disconnected.
func (b *Balancer) ClientDisconnected(id RequestID) {
	if q := b.requestByID[id]; q != nil && !q.responded {
		q.responded = true
		b.cancelInFlight(q)
		b.removeIfDone(q)
	}
}

// EndMaintenance must be called when operators have returned a worker to service. The worker was restarted
// during its maintenance, so its failure score and waits are reset, and it gets one of the next requests.
func (b *Balancer) EndMaintenance(id WorkerID) {
	w := b.workerByID[id]
	if w == nil {
		return
	}
	w.failureScore, w.lastWait, w.unstartedWait, w.othersInFlight = 0, 0, 0, 0
	if !w.needsTrialRequest {
		w.needsTrialRequest = true
		b.workersNeedingTrial++
	}
}
