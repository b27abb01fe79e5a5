package consensus

import (
	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/rollout"
)

// leaseConfirmation holds the reports that request a lease from the leader until the leader is certain that
// it still leads, that is, until a quorum has confirmed a read index requested after the reports arrived.
type leaseConfirmation struct {
	waiting     map[uint64]rollout.Report // by member; not covered by a read yet
	covered     map[uint64]rollout.Report // by member; covered by the current read
	context     string                    // of the current read; empty if there is none
	requestedAt uint64                    // tick of the current or last read
	requests    uint64                    // number of reads so far
	index       uint64                    // read index that must be applied before the grants; 0: unknown
}

// leaseReadPrefix starts the context of a read that confirms leadership.
const leaseReadPrefix = "lease"

func (c *leaseConfirmation) add(r rollout.Report) { c.waiting[r.Member] = r }

// reset discards all reports and the current read. It is called when leadership begins or ends.
func (c *leaseConfirmation) reset() {
	clear(c.waiting)
	c.finish()
}

// finish ends the current read.
func (c *leaseConfirmation) finish() { c.covered, c.context, c.index = nil, "", 0 }

// observe records the read index if it belongs to the current read, and reports whether it does.
func (c *leaseConfirmation) observe(s raft.ReadState) bool {
	if c.context == "" || c.context != string(s.RequestCtx) {
		return false
	}
	c.index = max(s.Index, 1)
	return true
}

// confirmed reports whether leases may be granted to the covered reports.
func (c *leaseConfirmation) confirmed(applied uint64) bool { return c.index > 0 && applied >= c.index }

// nextRead returns the context of the read to request now, if one is due. The read covers all waiting
// reports, and those of a previous read that was lost.
func (c *leaseConfirmation) nextRead(tick, member, incarnation uint64) ([]byte, bool) {
	lost := c.context != "" && c.index == 0 && tick-c.requestedAt > confirmationTimeoutTicks
	// At most one read per tick, since each costs a round trip to every member.
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
