package lease

import (
	"testing"
	"time"
)

// A lease from a leader that has applied more than this instance counts only once the instance has caught up.
func TestLeaseCountsOnceStateIsAsNewAsTheLeaders(t *testing.T) {
	var c Clock
	const lease = time.Second
	c.ObserveGrant(4, 100, lease, 50, 49)
	if c.ExpiresAt(4, lease) != 0 {
		t.Error("a lease counts at an instance whose state is older than the leader's was")
	}
	if c.ObserveApplied(50); c.ExpiresAt(4, lease) != 100+lease {
		t.Errorf("the lease expires at %v", c.ExpiresAt(4, lease))
	}
	if c.ExpiresAt(5, lease) != 0 {
		t.Error("a lease counts for another session")
	}
	if c.ExpiresAt(4, lease/2) != 100+lease/2 {
		t.Error("the shorter lease of the configuration in force does not limit it")
	}
	c.ObserveGrant(4, 200, lease, 60, 55)
	if c.ExpiresAt(4, lease) != 100+lease {
		t.Error("a renewal that does not count yet has replaced the lease that does")
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
			var c Clock
			c.ObserveGrant(4, 100, time.Second, 50, 60)
			c.ObserveGrant(grant.epoch, grant.requestedAt, grant.duration, grant.index, 60)
			if got, want := c.ExpiresAt(4, time.Minute), 100+time.Second; got != want {
				t.Errorf("the lease expires at %v, want %v", got, want)
			}
		})
	}
}

func TestGrantWithoutASessionDoesNotCount(t *testing.T) {
	var c Clock
	c.ObserveGrant(0, 100, time.Second, 50, 60)
	if c.ExpiresAt(0, time.Second) != 0 {
		t.Error("a lease counts without a session")
	}
}

func TestGrantForANewSessionReplacesTheOldSessionsLease(t *testing.T) {
	var c Clock
	c.ObserveGrant(4, 100, time.Second, 50, 60)
	c.ObserveGrant(5, 50, time.Second, 50, 60) // a new process: its clock may show less
	if c.ExpiresAt(4, time.Second) != 0 || c.ExpiresAt(5, time.Second) != 50+time.Second {
		t.Errorf("the old session's lease expires at %v, the new one's at %v", c.ExpiresAt(4, time.Second),
			c.ExpiresAt(5, time.Second))
	}
}
