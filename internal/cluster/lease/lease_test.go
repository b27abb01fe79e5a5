package lease

import (
	"testing"
	"time"
)

// A lease from a leader that has applied more of the log than this instance becomes valid only once the
// instance has caught up.
func TestLeaseCountsOnceStateIsAsNewAsTheLeaders(t *testing.T) {
	var tracker Tracker
	const lease = time.Second
	tracker.ObserveGrant(4, 100, lease, 50, 49)
	if tracker.ExpiresAt(4, lease) != 0 {
		t.Error("a lease is valid on an instance that has applied 49 entries; the leader had applied 50")
	}
	if tracker.ObserveApplied(50); tracker.ExpiresAt(4, lease) != 100+lease {
		t.Errorf("after catching up, the lease expires at %v", tracker.ExpiresAt(4, lease))
	}
	if tracker.ExpiresAt(5, lease) != 0 {
		t.Error("the lease of epoch 4 is valid for epoch 5")
	}
	if tracker.ExpiresAt(4, lease/2) != 100+lease/2 {
		t.Error("the lease is longer than the configuration in force allows")
	}
	tracker.ObserveGrant(4, 200, lease, 60, 55)
	if tracker.ExpiresAt(4, lease) != 100+lease {
		t.Error("a renewal that is not valid yet has replaced the current lease")
	}
}

func TestGrantsThatDoNotCount(t *testing.T) {
	for name, grant := range map[string]struct {
		epoch                 uint64
		requestedAt, duration time.Duration
		index                 uint64
	}{
		"without an index":      {epoch: 4, requestedAt: 200, duration: time.Second, index: 0},
		"of another session":    {epoch: 5, requestedAt: 200, duration: time.Second},
		"without a duration":    {epoch: 4, requestedAt: 200, duration: 0, index: 60},
		"requested earlier":     {epoch: 4, requestedAt: 50, duration: 2 * time.Second, index: 60},
		"index not yet applied": {epoch: 4, requestedAt: 200, duration: time.Second, index: 61},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			tracker.ObserveGrant(4, 100, time.Second, 50, 60)
			tracker.ObserveGrant(grant.epoch, grant.requestedAt, grant.duration, grant.index, 60)
			if got, want := tracker.ExpiresAt(4, time.Minute), 100+time.Second; got != want {
				t.Errorf("the lease expires at %v, want %v", got, want)
			}
		})
	}
}

func TestGrantWithoutASessionDoesNotCount(t *testing.T) {
	var tracker Tracker
	tracker.ObserveGrant(0, 100, time.Second, 50, 60)
	if tracker.ExpiresAt(0, time.Second) != 0 {
		t.Error("a lease is valid without a session")
	}
}

func TestGrantForANewSessionReplacesTheOldSessionsLease(t *testing.T) {
	var tracker Tracker
	tracker.ObserveGrant(4, 100, time.Second, 50, 60)
	tracker.ObserveGrant(5, 50, time.Second, 50, 60) // a new process, whose clock may show an earlier time
	if tracker.ExpiresAt(4, time.Second) != 0 || tracker.ExpiresAt(5, time.Second) != 50+time.Second {
		t.Errorf("the old session's lease expires at %v, want 0; the new one's at %v",
			tracker.ExpiresAt(4, time.Second), tracker.ExpiresAt(5, time.Second))
	}
}
