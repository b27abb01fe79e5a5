package balancer

// The events that the module takes, and what each changes.

import (
	"encoding/binary"
	"time"
)

// UpdateWorkers takes news of the list of workers.
func (b *Balancer) UpdateWorkers(now time.Duration, kind ListUpdateKind, list []Worker) {
	if !b.started {
		b.started, b.startedAt, b.surveyed = true, now, now
		b.act.SetTimer(b.sweepEvery(), sweepToken)
		switch wait := b.firstAsk(); {
		case b.set.ListOnRequest && wait > 0:
			b.act.SetTimer(wait, askToken)
		case b.set.ListOnRequest:
			b.act.WatchList(true)
		}
	}
	if kind == ListUnavailable {
		b.act.SetTimer(b.askAgain(), askToken)
		b.asks++
		return
	}
	if kind != ListCached {
		b.asks = 0
	}
	b.listed = b.listed || kind != ListCached || len(list) > 0
	if kind != ListDelta {
		for _, w := range b.workers {
			w.State = Removed
		}
	}
	for _, e := range list {
		b.member(e)
	}
	b.prune()
	b.settle()
	if kind != ListCached {
		b.release(now)
	}
}

// Submit takes a new request and sends, refuses or fails it.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if q := b.admit(now, r); q != nil {
		b.taken.since(now - b.set.Rules.RetryBudgetWindow)
		b.taken = append(b.taken, now)
		b.tallies[q.Class].asked += b.units(q)
		b.arrived++
		b.efforts += b.effort(q)
		b.claim(now, q)
		if b.place(now, q); !b.blind {
			b.askLoads(now)
		}
	}
}

// AttemptEnded takes the end of an attempt.
func (b *Balancer) AttemptEnded(now time.Duration, o AttemptOutcome) {
	q, t := b.attempt(o.ID, o.Attempt)
	if t == nil || t.ended {
		return
	}
	t.unrun = b.proves(o.Result)
	t.ended, t.w.stuck = true, 0
	if t.start > 0 {
		t.w.running--
	}
	if o.Result == OK || o.Result == ServerError || o.Result == WorkerFull {
		t.w.heard = now // the others are no word of its own
	}
	q.out--
	b.learn(now, q, t, &o)
	t.w.own -= q.size()
	if o.Responded && !q.over {
		q.over = true
		b.stop(q)
	}
	if q.over || q.out > 0 {
		b.forget(q)
		return
	}
	if o.Result == Unprocessable {
		b.fail(q)
		return
	}
	b.place(now, q)
}

// AttemptProgressed takes news of an attempt that is out.
func (b *Balancer) AttemptProgressed(now time.Duration, n AttemptProgress) {
	_, t := b.attempt(n.ID, n.Attempt)
	if t == nil || t.ended {
		return
	}
	t.w.heard = now
	if !n.Started || t.start > 0 {
		return
	}
	t.start, t.w.stuck = now, 0
	t.w.running++
	t.w.wait, t.w.waitT = (now - t.sent).Seconds(), now
	b.meets(now, t.w.wait)
}

// HealthChecked takes what a probe found.
func (b *Balancer) HealthChecked(
	now time.Duration,
	id WorkerID,
	res Result,
	took time.Duration,
	r LoadReport,
) {
	switch w := b.byID[id]; {
	case w == nil:
	case res == OK:
		b.report(w, &r)
		b.hears(now, w)
	default:
		b.fails(now, w)
	}
}

// hears takes the answer of a worker that was asked, and places requests that have heard from all.
func (b *Balancer) hears(now time.Duration, from *worker) {
	for _, q := range b.asking {
		for i := q.heard; i < len(q.asked); i++ {
			if q.asked[i] == from {
				q.asked[i], q.asked[q.heard] = q.asked[q.heard], q.asked[i]
				q.heard++
				break
			}
		}
	}
	b.release(now)
}

// ReceivePeer takes a message from another dispatcher: the worker that has just failed it.
func (b *Balancer) ReceivePeer(now time.Duration, from int, data []byte) {
	if len(data) != 4 {
		return
	}
	if w := b.byID[WorkerID(binary.BigEndian.Uint32(data))]; w != nil {
		b.fails(now, w)
	}
}

// TimerFired takes a timer that has come due.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case sweepToken:
		b.sweep(now)
		b.act.SetTimer(b.sweepEvery(), sweepToken)
	case askToken:
		b.act.WatchList(true)
	}
}

// StreamStarted takes the start of a streamed answer: the client owns the attempt from now on, and the
// request is over as if it had left.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) {
	if q := b.open[id]; q != nil {
		q.over = true
		b.forget(q)
	}
}

// ClientDisconnected takes the end of a request whose client has left.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if q := b.open[id]; q != nil && !q.over {
		q.over = true
		b.stop(q)
		b.forget(q)
	}
}
