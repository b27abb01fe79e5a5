package broker

import (
	"time"

	"moorstack/balancer"
)

// What passes from one process of a node to the one that takes its place.

// ProcessState is what the core of one process tells that of another, next hops apart.
type ProcessState struct {
	KnownNames              []string // next hops that were ever listed
	UnderMaintenance        map[string]time.Duration
	ReturnedFromMaintenance map[string][2]time.Duration // put back, and not listed as started since
	Balancer                balancer.LearnedState
}

// ExportState gives what another process must know.
func (c *Broker) ExportState() ProcessState {
	p := ProcessState{
		UnderMaintenance:        c.bans.out,
		ReturnedFromMaintenance: map[string][2]time.Duration{},
		Balancer:                c.bal.Learned(),
	}
	for name := range c.bans.known {
		p.KnownNames = append(p.KnownNames, name)
	}
	for name, t := range c.bans.back {
		p.ReturnedFromMaintenance[name] = [2]time.Duration{t.began, t.ended}
	}
	return p
}

// ImportState takes over what another process has told, after the first route set and before
// any transaction.
func (c *Broker) ImportState(p ProcessState) {
	for _, name := range p.KnownNames {
		c.bans.listed(name)
	}
	for name, t := range p.ReturnedFromMaintenance {
		c.bans.back[name] = term{t[0], t[1]}
		c.again(name, false)
	}
	for name, since := range p.UnderMaintenance {
		c.StartMaintenanceSince(name, since)
	}
	c.do(func() { c.bal.RestoreLearned(c.clock.Now(), p.Balancer) })
}

// InFlight gives, by next hop, what this process has unfinished there.
func (c *Broker) InFlight() map[string]float64 {
	held := map[string]float64{}
	for id, n := range c.bal.InFlight() {
		if h := c.hops[id]; h != nil {
			held[h.name] = n
		}
	}
	return held
}

// SetOtherInFlight tells what the process whose place this one has taken has unfinished; a next hop
// that is not named has nothing of it.
func (c *Broker) SetOtherInFlight(held map[string]float64) {
	c.do(func() {
		for id, h := range c.hops {
			c.bal.SetOtherInFlight(id, held[h.name])
		}
	})
}

// OpenIDs gives the ids of the transactions that have not ended.
func (c *Broker) OpenIDs() []string {
	ids := make([]string, 0, len(c.open))
	for id := range c.open {
		ids = append(ids, string(id))
	}
	return ids
}

// OutstandingAttempt is a branch that is out.
type OutstandingAttempt struct {
	Endpoint string
	Running  RunningAttempt
}

// OutstandingAttempts gives the branches that are out of a transaction whose client waits, and when the
// client gives up.
func (c *Broker) OutstandingAttempts(id string) (until time.Duration, outs []OutstandingAttempt) {
	t := c.open[balancer.RequestID(id)]
	if t == nil || t.client == nil {
		return 0, nil
	}
	for _, b := range t.branches {
		if !b.ended {
			outs = append(outs, OutstandingAttempt{b.hop.name, b.running})
		}
	}
	return t.deadline, outs
}

// Migrate ends a transaction here that goes on at another process, with what is out of it.
func (c *Broker) Migrate(id string) {
	if t := c.open[balancer.RequestID(id)]; t != nil {
		for _, b := range t.branches {
			b.running = nil // nobody gives it up
		}
		c.ClientDisconnected(id)
	}
}
