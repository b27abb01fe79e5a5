package leasedtask

import (
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

func newParticipant(t *testing.T) *participant {
	t.Helper()
	p, ok := Type{}.NewParticipant(replicated.LocalInfo{}).(*participant)
	if !ok {
		t.Fatal("Type.NewParticipant does not return a *participant")
	}
	return p
}

// A holder's lease expires with the grant that counts for tasks, or earlier if the lease duration in the
// configuration is shorter than the granted one.
func TestHolderIsNotifiedOfItsLease(t *testing.T) {
	p, own := newParticipant(t), placement.Session{Member: 1, Epoch: 10}
	state := &StateMachine{State: stateWithHolder(t)}
	applied := uint64(99)
	expiresAt := func() time.Duration {
		t.Helper()
		p.notified = nil // notify even if nothing has changed
		notifications, _ := p.Advance(replicated.InstanceView{StateMachine: state, Session: own,
			AppliedIndex: applied, LeaseDuration: 4 * time.Second})
		if len(notifications) != 1 {
			t.Fatalf("got the notifications %v, want one", notifications)
		}
		return notifications[0].([]Lease)[0].ExpiresAt
	}
	grant := func(requestedAt, duration time.Duration, index uint64) {
		p.ObserveGrant(0, &schema.SessionGrant{Epoch: own.Epoch, AskedNs: int64(requestedAt),
			ForNs: int64(duration), Index: index}, applied)
	}
	grant(5*time.Second, 3*time.Second, 0)
	if at := expiresAt(); at != 0 {
		t.Errorf("a lease that does not count for tasks is valid until %v", at)
	}
	grant(5*time.Second, 3*time.Second, 100)
	if at := expiresAt(); at != 0 {
		t.Errorf("a lease is valid until %v, but the state is older than the leader's was", at)
	}
	applied = 100
	if at := expiresAt(); at != 8*time.Second {
		t.Errorf("the lease expires at %v, want 8s", at)
	}
	grant(6*time.Second, 9*time.Second, 100)
	if at := expiresAt(); at != 10*time.Second {
		t.Errorf("with a lease duration of 4s in the configuration, the lease expires at %v, want 10s", at)
	}
	own.Epoch = 11
	if notifications, _ := p.Advance(replicated.InstanceView{StateMachine: state, Session: own,
		AppliedIndex: applied, LeaseDuration: time.Second}); len(notifications) != 1 ||
		len(notifications[0].([]Lease)) > 0 {
		t.Errorf("another session of the instance is notified of %v, want no leases", notifications)
	}
}

func TestEarlierSuspicionsDoNotReplaceLaterOnes(t *testing.T) {
	p := newParticipant(t)
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 2, Members: map[uint64]bool{7: true}})
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 1})
	if !p.suspicions.Members[7] {
		t.Error("suspicions with a lower sequence number have replaced later ones")
	}
}
