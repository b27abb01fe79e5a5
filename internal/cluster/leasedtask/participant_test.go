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
		t.Fatal("the participant has another type")
	}
	return p
}

// A holder's lease expires with the grant that counts for tasks, under the configuration's lease.
func TestHolderIsNotifiedOfItsLease(t *testing.T) {
	p, own := newParticipant(t), placement.Session{Member: 1, Epoch: 10}
	state := &StateMachine{State: stateWithHolder(t)}
	applied := uint64(99)
	expiresAt := func() time.Duration {
		t.Helper()
		p.notified = nil // be notified, also where nothing has changed
		notifications, _ := p.Advance(replicated.InstanceView{StateMachine: state, Session: own,
			AppliedIndex: applied, LeaseDuration: 4 * time.Second})
		if len(notifications) != 1 {
			t.Fatalf("notified of %v", notifications)
		}
		return notifications[0].([]Lease)[0].ExpiresAt
	}
	grant := func(requestedAt, duration time.Duration, index uint64) {
		p.ObserveGrant(0, &schema.SessionGrant{Epoch: own.Epoch, AskedNs: int64(requestedAt),
			ForNs: int64(duration), Index: index}, applied)
	}
	grant(5*time.Second, 3*time.Second, 0)
	if at := expiresAt(); at != 0 {
		t.Errorf("a lease that is not for tasks counts until %v", at)
	}
	grant(5*time.Second, 3*time.Second, 100)
	if at := expiresAt(); at != 0 {
		t.Errorf("a lease counts until %v though the state is older than the leader's", at)
	}
	applied = 100
	if at := expiresAt(); at != 8*time.Second {
		t.Errorf("it expires at %v", at)
	}
	grant(6*time.Second, 9*time.Second, 100)
	if at := expiresAt(); at != 10*time.Second {
		t.Errorf("under a shorter lease it expires at %v", at)
	}
	own.Epoch = 11
	if notifications, _ := p.Advance(replicated.InstanceView{StateMachine: state, Session: own,
		AppliedIndex: applied, LeaseDuration: time.Second}); len(notifications) != 1 ||
		len(notifications[0].([]Lease)) > 0 {
		t.Errorf("another session is notified of %v", notifications)
	}
}

func TestEarlierSuspicionsDoNotReplaceLaterOnes(t *testing.T) {
	p := newParticipant(t)
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 2, Members: map[uint64]bool{7: true}})
	p.Receive(replicated.InstanceView{}, Suspicions{Sequence: 1})
	if !p.suspicions.Members[7] {
		t.Error("suspicions that arrive late have replaced later ones")
	}
}
