package broker

import (
	"time"

	"moorstack/balancer"
)

// What passes from one process of a node to the one that takes its place.

// Passed is what the core of one process tells that of another, next hops apart.
type Passed struct {
	Known  []string // next hops that were ever listed
	Bans   map[string]time.Duration
	Back   map[string][2]time.Duration // put back, and not listed as started since
	Module balancer.Memory
}

// Pass gives what another process must know.
func (c *Core) Pass() Passed {
	p := Passed{Bans: c.bans.out, Back: map[string][2]time.Duration{}, Module: c.bal.Memory()}
	for name := range c.bans.known {
		p.Known = append(p.Known, name)
	}
	for name, t := range c.bans.back {
		p.Back[name] = [2]time.Duration{t.began, t.ended}
	}
	return p
}

// Recall takes over what another process has told, after the first route set and before
// any transaction.
func (c *Core) Recall(p Passed) {
	for _, name := range p.Known {
		c.bans.listed(name)
	}
	for name, t := range p.Back {
		c.bans.back[name] = term{t[0], t[1]}
		c.again(name, false)
	}
	for name, since := range p.Bans {
		c.BanSince(name, since)
	}
	c.do(func() { c.bal.Recall(c.clock.Now(), p.Module) })
}

// Held gives, by next hop, what this process has unfinished there.
func (c *Core) Held() map[string]float64 {
	held := map[string]float64{}
	for id, n := range c.bal.Held() {
		if h := c.hops[id]; h != nil {
			held[h.name] = n
		}
	}
	return held
}

// Beside tells what the process whose place this one has taken has unfinished; a next hop
// that is not named has nothing of it.
func (c *Core) Beside(held map[string]float64) {
	c.do(func() {
		for id, h := range c.hops {
			c.bal.Beside(id, held[h.name])
		}
	})
}

// Open gives the ids of the transactions that have not ended.
func (c *Core) Open() []string {
	ids := make([]string, 0, len(c.open))
	for id := range c.open {
		ids = append(ids, string(id))
	}
	return ids
}

// Out is a branch that is out.
type Out struct {
	Hop     string
	Running Running
}

// Outs gives the branches that are out of a transaction whose client waits, and when the
// client gives up.
func (c *Core) Outs(id string) (until time.Duration, outs []Out) {
	t := c.open[balancer.RequestID(id)]
	if t == nil || t.client == nil {
		return 0, nil
	}
	for _, b := range t.branches {
		if !b.ended {
			outs = append(outs, Out{b.hop.name, b.running})
		}
	}
	return t.deadline, outs
}

// Leave ends a transaction here that goes on at another process, with what is out of it.
func (c *Core) Leave(id string) {
	if t := c.open[balancer.RequestID(id)]; t != nil {
		for _, b := range t.branches {
			b.running = nil // nobody gives it up
		}
		c.Gone(id)
	}
}
