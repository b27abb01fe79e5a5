package membership

import (
	"testing"
	"time"
)

// Invalid messages and updates are counted as rejected and change no member's state.
func TestInvalidMessagesAreRejected(t *testing.T) {
	d := New(0, 1, 7, 1, DefaultPolicy())
	d.AddMembers(0, 2, 3)
	before := d.Members()
	for name, m := range map[string]Message{
		"no kind":        {Kind: 0},
		"unknown kind":   {Kind: 99},
		"unknown state":  {Kind: Ping, Updates: []Update{{ID: 2, State: 9, Incarnation: 1}}},
		"no member":      {Kind: Ping, Updates: []Update{{ID: 0, State: Failed, Incarnation: 1}}},
		"jump of others": {Kind: Ping, Updates: []Update{{ID: 3, State: Failed, Incarnation: 1 << 40}}},
		"jump of itself": {Kind: Ping, Updates: []Update{{ID: 1, State: Failed, Incarnation: 1 << 40}}},
		"too many":       {Kind: SyncRequest, Updates: make([]Update, maxUpdates+1)},
	} {
		rejected := d.Counters().Rejected
		d.Receive(0, 2, m)
		if d.Counters().Rejected == rejected {
			t.Errorf("%s: accepted, want rejected", name)
		}
	}
	if out := d.Receive(0, 1, Message{Kind: Ping}); out != nil {
		t.Error("the detector answered a ping from its own ID")
	}
	for i, m := range d.Members() {
		if m.State != before[i].State || m.Incarnation != before[i].Incarnation || d.Incarnation() != 7 {
			t.Errorf("member state changed to %+v, want %+v and the own incarnation 7", m, before[i])
		}
	}
}

// An outdated update must not revive a failed member. A member that restarts with an older incarnation is
// alive again only after it has refuted its failure with a greater one.
func TestReturningMemberRefutesWithAGreaterIncarnation(t *testing.T) {
	d := New(0, 1, 1, 1, DefaultPolicy())
	d.AddMembers(0, 2, 3)
	d.Receive(0, 3, Message{Kind: Ping,
		Updates: []Update{{ID: 2, State: Failed, Incarnation: 5, ReportedBy: 3}}})
	d.Receive(0, 3, Message{Kind: Ping,
		Updates: []Update{{ID: 2, State: Alive, Incarnation: 5}, {ID: 2, State: Suspect, Incarnation: 5}}})
	if m := d.Members()[0]; m.State != Failed {
		t.Fatalf("member %d is %v after an outdated update, want failed", m.ID, m.State)
	}
	returned := New(0, 2, 1, 1, DefaultPolicy())
	for _, o := range d.Receive(0, 2, Message{Kind: Ping, Seq: 1}) {
		returned.Receive(0, 1, o.Message)
	}
	if returned.Incarnation() != 6 {
		t.Fatalf("restarted member has incarnation %d, want 6", returned.Incarnation())
	}
	returned.AddMembers(0, 1)
	for _, o := range returned.Receive(0, 1, Message{Kind: Ping, Seq: 2}) {
		d.Receive(0, 2, o.Message)
	}
	if m := d.Members()[0]; m.State != Alive || m.Incarnation != 6 {
		t.Errorf("restarted member is %+v, want alive with incarnation 6", m)
	}
}

// An update about an unknown failed or departed member must not add it: it may have been removed.
func TestUnknownFailedMembersAreNotAdded(t *testing.T) {
	d := New(0, 1, 0, 1, DefaultPolicy())
	d.Receive(0, 2, Message{Kind: Ping,
		Updates: []Update{{ID: 9, State: Failed, Incarnation: 3}, {ID: 8, State: Departed}}})
	if len(d.Members()) != 1 {
		t.Errorf("members are %+v, want only the sender", d.Members())
	}
}

// Arbitrary messages must not crash the detector or break its invariants.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, now := New(0, 1, 1, 1, DefaultPolicy()), time.Duration(0)
		d.AddMembers(0, 2, 3, 4)
		for ; len(raw) >= 6; raw = raw[6:] {
			now += time.Duration(raw[0]) * 100 * time.Millisecond
			m := Message{Kind: MessageKind(raw[1] % 9), Seq: uint64(raw[2] % 8), Target: ID(raw[3] % 6),
				Updates: []Update{{ID: ID(raw[4] % 8), State: State(raw[5] % 6), Incarnation: uint64(raw[5]),
					ReportedBy: ID(raw[2] % 8)}}}
			for _, o := range append(d.Receive(now, ID(raw[3]%6), m), d.Tick(now)...) {
				if o.To == 1 || len(o.Updates) > maxUpdates {
					t.Fatalf("invalid outbound message %+v", o)
				}
			}
			if d.liveCount < 1 || d.health.score < 0 || d.health.score > d.policy.MaxHealthScore ||
				len(d.probeOrder) != len(d.members) {
				t.Fatalf("%d live, health score %d, %d of %d in the probe order", d.liveCount, d.health.score,
					len(d.probeOrder), len(d.members))
			}
		}
	})
}
