package broker

import (
	"time"

	"moorstack/balancer"
)

// actions is what the module has its host do.
type actions struct{ *Broker }

var _ balancer.Actions = actions{}

// Send starts a branch. One that can't be started ends as never sent.
func (c actions) Send(id balancer.RequestID, w balancer.WorkerID, until time.Duration) {
	t := c.open[id]
	if t == nil {
		return
	}
	now := c.clock.Now()
	if until <= 0 || until > t.deadline {
		until = t.deadline
	}
	if t.AttemptTimeout > 0 {
		until = min(until, now+t.AttemptTimeout)
	}
	h := c.hops[w]
	known := h != nil && h.Endpoint != nil
	if h == nil {
		h = &hop{id: w, gone: true}
	}
	b := &branch{t: t, n: len(t.branches), hop: h, sent: now}
	b.id = c.branches.Add(b)
	t.branches = append(t.branches, b)
	t.out++
	h.out++
	switch {
	case t.client == nil || !known || b.n >= max(c.set.Limits.MaxAttempts, 1):
		c.end(b, balancer.NotSent, nil, balancer.NoLoadReport)
		return
	case until <= now:
		c.end(b, balancer.TimedOut, nil, balancer.NoLoadReport)
		return
	}
	// Hazard: a worker, or the way to it, that says nothing holds a transaction for ever.
	b.timer = c.clock.At(until, func() { c.giveUp(b, balancer.TimedOut) })
	b.running = h.StartAttempt(Attempt{ID: b.id, Payload: t.Payload, RequestID: t.ID, Deadline: until})
}

func (c *Broker) giveUp(b *branch, res balancer.Result) {
	if b.ended {
		return
	}
	if b.running != nil {
		b.running.Abandon()
	}
	c.end(b, res, nil, balancer.NoLoadReport)
}

// Reject gives a busy answer.
func (c actions) Reject(id balancer.RequestID, retryAfter time.Duration) {
	c.final(id, Response{Kind: Rejected, RetryAfter: retryAfter})
}

// Fail gives a failure.
func (c actions) Fail(id balancer.RequestID) { c.final(id, Response{Kind: Failed}) }

func (c *Broker) final(id balancer.RequestID, a Response) {
	if t := c.open[id]; t != nil {
		c.answer(t, a)
		c.forget(t)
	}
}

// Cancel gives a branch up.
func (c actions) Cancel(id balancer.RequestID, attempt int) {
	if t := c.open[id]; t != nil && attempt >= 0 && attempt < len(t.branches) {
		c.giveUp(t.branches[attempt], balancer.Cancelled)
	}
}

// CheckHealth asks a next hop for its load.
func (c actions) CheckHealth(w balancer.WorkerID) {
	h := c.hops[w]
	if h == nil || h.Endpoint == nil {
		return
	}
	began := c.clock.Now()
	h.CheckHealth(func(res balancer.Result, r balancer.LoadReport) {
		c.do(func() {
			now := c.clock.Now()
			c.bal.HealthChecked(now, w, res, now-began, r)
		})
	})
}

// WatchList asks the directory for changes.
func (c actions) WatchList(on bool) {
	if c.dir != nil {
		c.do(func() { c.dir.WatchList(on) })
	}
}

// FetchList asks the directory for the whole route set.
func (c actions) FetchList() {
	if c.dir != nil {
		c.do(c.dir.FetchList)
	}
}

// SetTimer sets a timer of the module's.
func (c actions) SetTimer(d time.Duration, token uint64) {
	c.clock.At(c.clock.Now()+d, func() {
		c.do(func() { c.bal.TimerFired(c.clock.Now(), token) })
	})
}

// SendPeer has no way to go: nodes share nothing.
func (c actions) SendPeer(int, []byte) {}

// CloseIdle closes a next hop's idle connections.
func (c actions) CloseIdle(w balancer.WorkerID) {
	if h := c.hops[w]; h != nil && h.Endpoint != nil {
		h.Endpoint.CloseIdle()
	}
}

// Log writes a line for the people on call.
func (c actions) Log(text string) { c.log.Info(text) }
