package consensus

import (
	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/rollout"
)

// leaseConfirmation holds the reports that request a lease of the leader until it is certain that it still
// leads: until a quorum has confirmed a read index that was requested after they came.
type leaseConfirmation struct {
	waiting     map[uint64]rollout.Report // by member
	covered     map[uint64]rollout.Report // by the read that is under way
	context     string                    // of that read; empty: none
	requestedAt uint64                    // tick
	requests    uint64                    // so far
	index       uint64                    // covered are granted once it is applied; 0: not known yet
}

// leaseReadPrefix marks the context of a read for leases.
const leaseReadPrefix = "lease"

func (c *leaseConfirmation) add(r rollout.Report) { c.waiting[r.Member] = r }

// reset drops everything, when leadership begins or ends.
func (c *leaseConfirmation) reset() {
	clear(c.waiting)
	c.finish()
}

func (c *leaseConfirmation) finish() { c.covered, c.context, c.index = nil, "", 0 }

// observe takes the index of a read, if it is the one under way.
func (c *leaseConfirmation) observe(s raft.ReadState) bool {
	if c.context == "" || c.context != string(s.RequestCtx) {
		return false
	}
	c.index = max(s.Index, 1)
	return true
}

// confirmed reports whether the covered reports may be granted.
func (c *leaseConfirmation) confirmed(applied uint64) bool { return c.index > 0 && applied >= c.index }

// next gives the context of the read to be requested now, if one is. It covers all that waits, and what an
// earlier read that was lost covered.
func (c *leaseConfirmation) next(tick, member, incarnation uint64) ([]byte, bool) {
	lost := c.context != "" && c.index == 0 && tick-c.requestedAt > confirmationTimeoutTicks
	// At most one a tick: each costs a message to every member and back.
	if c.context != "" && !lost || len(c.waiting) == 0 && !lost || tick == c.requestedAt {
		return nil, false
	}
	if c.covered == nil {
		c.covered = map[uint64]rollout.Report{}
	}
	for id, r := range c.waiting {
		c.covered[id] = r
	}
	clear(c.waiting)
	c.requests++
	context := readContext([]byte(leaseReadPrefix), member, incarnation, c.requests)
	c.context, c.requestedAt, c.index = string(context), tick, 0
	return context, true
}
