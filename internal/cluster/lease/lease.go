// Package lease has the clock of a lease that counts only for an instance whose state is as new as the
// leader's was when the lease was granted. Leased tasks and shards owned by placement rest on it.
//
// The package has no I/O, no clock and no goroutine: the caller passes times of one monotonic clock that goes
// on while the process or the machine is suspended. A Clock belongs to one goroutine.
package lease

import "time"

// Clock determines when the lease of an instance's session expires. The zero Clock has no lease.
//
// Hazard: a lease counts only at an instance whose state is as new as the leader's was when it granted the
// lease. An instance that was disconnected, and whose shards or tasks have another owner since, would
// otherwise act for as long as its log lags behind the lease. So, once the leader has applied an entry,
// nobody acts on a state from before it for longer than a lease that was granted before it lasts.
type Clock struct {
	epoch   uint64 // the session's
	current grant
	pending grant  // replaces current once the entry index is applied
	index   uint64 // of the log, that pending waits for; 0: nothing is pending
}

// grant is a lease that was requested at a time of the requester's clock.
type grant struct{ requestedAt, duration time.Duration }

// ObserveGrant takes a lease for a session, requested at requestedAt on this instance's clock, from a leader
// that had applied the log up to index. An index of 0 is a lease that does not count here. The argument
// applied is the index up to which this instance has applied the log.
func (c *Clock) ObserveGrant(epoch uint64, requestedAt, duration time.Duration, index, applied uint64) {
	if index == 0 || duration <= 0 {
		return
	}
	if c.epoch != epoch {
		*c = Clock{epoch: epoch}
	}
	if requestedAt >= c.pending.requestedAt {
		c.pending, c.index = grant{requestedAt, duration}, index
	}
	c.ObserveApplied(applied)
}

// ObserveApplied takes the index up to which this instance has applied the log.
func (c *Clock) ObserveApplied(applied uint64) {
	if c.index > 0 && applied >= c.index {
		c.current, c.index = c.pending, 0
	}
}

// ExpiresAt returns when the lease of a session expires, on this instance's clock; 0 if the session has none.
// The argument longest is the duration of a lease in the configuration in force. Hazard: that may have become
// shorter since the lease was granted.
func (c *Clock) ExpiresAt(epoch uint64, longest time.Duration) time.Duration {
	if epoch == 0 || c.epoch != epoch || c.current.duration == 0 {
		return 0
	}
	return c.current.requestedAt + min(c.current.duration, longest)
}
