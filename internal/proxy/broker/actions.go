package broker

import (
	"time"

	"moorstack/balancer"
)

// actions is what the module has its host do.
type actions struct{ *Core }

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
	if t.Limit > 0 {
		until = min(until, now+t.Limit)
	}
	h := c.hops[w]
	known := h != nil && h.NextHop != nil
	if h == nil {
		h = &hop{id: w, gone: true}
	}
	b := &branch{t: t, n: len(t.branches), hop: h, sent: now}
	b.id = c.branches.Add(b)
	t.branches = append(t.branches, b)
	t.out++
	h.out++
	switch {
	case t.client == nil || !known || b.n >= max(c.set.Limits.Attempts, 1):
		c.end(b, balancer.Moot, nil, balancer.NoReport)
		return
	case until <= now:
		c.end(b, balancer.TimedOut, nil, balancer.NoReport)
		return
	}
	// Hazard: a worker, or the way to it, that says nothing holds a transaction for ever.
	b.timer = c.clock.At(until, func() { c.giveUp(b, balancer.TimedOut) })
	b.running = h.Start(Branch{ID: b.id, Job: t.Job, Name: t.ID, Limit: until})
}

func (c *Core) giveUp(b *branch, res balancer.Result) {
	if b.ended {
		return
	}
	if b.running != nil {
		b.running.GiveUp()
	}
	c.end(b, res, nil, balancer.NoReport)
}

// Refuse gives a busy answer.
func (c actions) Refuse(id balancer.RequestID, retryAfter time.Duration) {
	c.final(id, Answer{Kind: Busy, RetryAfter: retryAfter})
}

// Fail gives a failure.
func (c actions) Fail(id balancer.RequestID) { c.final(id, Answer{Kind: Failed}) }

func (c *Core) final(id balancer.RequestID, a Answer) {
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

// Probe asks a next hop for its load.
func (c actions) Probe(w balancer.WorkerID) {
	h := c.hops[w]
	if h == nil || h.NextHop == nil {
		return
	}
	began := c.clock.Now()
	h.Probe(func(res balancer.Result, r balancer.Report) {
		c.do(func() {
			now := c.clock.Now()
			c.bal.Probed(now, w, res, now-began, r)
		})
	})
}

// Watch asks the directory for changes.
func (c actions) Watch(on bool) {
	if c.dir != nil {
		c.do(func() { c.dir.Watch(on) })
	}
}

// Fetch asks the directory for the whole route set.
func (c actions) Fetch() {
	if c.dir != nil {
		c.do(c.dir.Fetch)
	}
}

// After sets a timer of the module's.
func (c actions) After(d time.Duration, token uint64) {
	c.clock.At(c.clock.Now()+d, func() {
		c.do(func() { c.bal.Timer(c.clock.Now(), token) })
	})
}

// Tell has no way to go: nodes share nothing.
func (c actions) Tell(int, []byte) {}

// CloseIdle closes a next hop's idle connections.
func (c actions) CloseIdle(w balancer.WorkerID) {
	if h := c.hops[w]; h != nil && h.NextHop != nil {
		h.NextHop.CloseIdle()
	}
}

// Log writes a line for the people on call.
func (c actions) Log(text string) { c.log.Info(text) }
