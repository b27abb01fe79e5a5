// Package lease tracks when the lease of an instance's session expires. A lease becomes valid only once the
// instance has applied the log up to the index that the leader had applied when it granted the lease. Leased
// tasks and the ownership of shards by placement depend on it.
//
// The package has no I/O, no clock and no goroutines: the caller passes times of one monotonic clock that
// keeps running while the process or the machine is suspended. A Tracker must be used by one goroutine only.
package lease

import "time"

// Tracker determines when the lease of an instance's session expires. The zero Tracker has no lease.
//
// A lease is valid only on an instance whose state is at least as recent as the leader's was when the leader
// granted the lease. Without this rule, an instance that was disconnected, and whose shards or tasks have
// been assigned to another owner meanwhile, would continue to act on them until its log catches up. With it,
// once the leader has applied an entry, no instance acts on a state that lacks the entry after the leases
// granted before the entry have expired.
type Tracker struct {
	epoch        uint64 // of the session
	current      grant
	pending      grant  // replaces current once the entry at pendingIndex is applied
	pendingIndex uint64 // log index that pending waits for; 0: nothing is pending
}

// grant is a lease of the given duration, which starts at requestedAt on the requester's clock.
type grant struct{ requestedAt, duration time.Duration }

// ObserveGrant records a lease for the session with the given epoch. The instance requested it at requestedAt
// on its own clock, and the leader that granted it had applied the log up to index. A lease without an index
// (0) or a duration is ignored. The argument applied is the index up to which this instance has applied the
// log.
func (t *Tracker) ObserveGrant(epoch uint64, requestedAt, duration time.Duration, index, applied uint64) {
	if index == 0 || duration <= 0 {
		return
	}
	if t.epoch != epoch {
		*t = Tracker{epoch: epoch}
	}
	if requestedAt >= t.pending.requestedAt {
		t.pending, t.pendingIndex = grant{requestedAt, duration}, index
	}
	t.ObserveApplied(applied)
}

// ObserveApplied records the index up to which this instance has applied the log, and makes a pending lease
// current if the index has reached the lease's.
func (t *Tracker) ObserveApplied(applied uint64) {
	if t.pendingIndex > 0 && applied >= t.pendingIndex {
		t.current, t.pendingIndex = t.pending, 0
	}
}

// ExpiresAt returns when the lease of a session expires, on this instance's clock; 0 if the session has none.
// The argument maxDuration is the duration of leases in the configuration in force. It limits the lease
// because the configured duration may have been reduced since the lease was granted.
func (t *Tracker) ExpiresAt(epoch uint64, maxDuration time.Duration) time.Duration {
	if epoch == 0 || t.epoch != epoch || t.current.duration == 0 {
		return 0
	}
	return t.current.requestedAt + min(t.current.duration, maxDuration)
}
