package balancer

// The events that the module takes, and what each changes.

import (
	"encoding/binary"
	"time"
)

// Members takes news of the list of workers.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Worker) {
	if !b.started {
		b.started, b.startedAt, b.surveyed = true, now, now
		b.act.After(b.sweepEvery(), sweepToken)
		switch wait := b.firstAsk(); {
		case b.set.MustAsk && wait > 0:
			b.act.After(wait, askToken)
		case b.set.MustAsk:
			b.act.Watch(true)
		}
	}
	if kind == Failed {
		b.act.After(b.askAgain(), askToken)
		b.asks++
		return
	}
	if kind != Cached {
		b.asks = 0
	}
	b.listed = b.listed || kind != Cached || len(list) > 0
	if kind != Changes {
		for _, w := range b.workers {
			w.State = Removed
		}
	}
	for _, e := range list {
		b.member(e)
	}
	b.prune()
	b.settle()
	if kind != Cached {
		b.release(now)
	}
}

// Request takes a new request and sends, refuses or fails it.
func (b *Balancer) Request(now time.Duration, r Request) {
	if q := b.admit(now, r); q != nil {
		b.taken.since(now - b.set.Rules.Budget)
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

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	q, t := b.attempt(o.ID, o.Attempt)
	if t == nil || t.ended {
		return
	}
	t.unrun = b.proves(o.Result)
	t.ended, t.w.stuck = true, 0
	if t.start > 0 {
		t.w.running--
	}
	if o.Result == OK || o.Result == Error || o.Result == Full {
		t.w.heard = now // the others are no word of its own
	}
	q.out--
	b.learn(now, q, t, &o)
	t.w.own -= q.size()
	if o.Settled && !q.over {
		q.over = true
		b.stop(q)
	}
	if q.over || q.out > 0 {
		b.forget(q)
		return
	}
	if o.Result == Rejected {
		b.fail(q)
		return
	}
	b.place(now, q)
}

// Progress takes news of an attempt that is out.
func (b *Balancer) Progress(now time.Duration, n Note) {
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

// Probed takes what a probe found.
func (b *Balancer) Probed(now time.Duration, id WorkerID, res Result, took time.Duration, r Report) {
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

// Peer takes a message from another dispatcher: the worker that has just failed it.
func (b *Balancer) Peer(now time.Duration, from int, data []byte) {
	if len(data) != 4 {
		return
	}
	if w := b.byID[WorkerID(binary.BigEndian.Uint32(data))]; w != nil {
		b.fails(now, w)
	}
}

// Timer takes a timer that has come due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case sweepToken:
		b.sweep(now)
		b.act.After(b.sweepEvery(), sweepToken)
	case askToken:
		b.act.Watch(true)
	}
}

// Streaming takes the start of a streamed answer: the client owns the attempt from now on, and the
// request is over as if it had left.
func (b *Balancer) Streaming(now time.Duration, id RequestID, attempt int) {
	if q := b.open[id]; q != nil {
		q.over = true
		b.forget(q)
	}
}

// Gone takes the end of a request whose client has left.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	if q := b.open[id]; q != nil && !q.over {
		q.over = true
		b.stop(q)
		b.forget(q)
	}
}
