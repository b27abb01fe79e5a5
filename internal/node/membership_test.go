package node

import (
	"reflect"
	"testing"

	"moorstack/internal/cluster/membership"
	"moorstack/internal/schema"
)

func TestMembershipMessagesSurviveEncoding(t *testing.T) {
	in := membership.Message{Kind: 2, Seq: 3, Target: 4,
		Updates: []membership.Update{{ID: 5, State: membership.Suspect, Incarnation: 6, ReportedBy: 7}}}
	if got := decodeMembership(encodeMembership(in)); !reflect.DeepEqual(got, in) {
		t.Errorf("%+v became %+v", in, got)
	}
}

// A newer program may send kinds and states that this one does not know. Truncated to 8 bits, they would be
// mistaken for known ones.
func TestUnknownMembershipEnumsStayUnknown(t *testing.T) {
	got := decodeMembership(&schema.MembershipMessage{Kind: 256 + 1,
		Words: []*schema.MembershipRumour{{State: 256}}})
	if got.Kind != maxEnum || got.Updates[0].State != maxEnum {
		t.Errorf("got kind %d and state %d, want maxEnum for both", got.Kind, got.Updates[0].State)
	}
}

func TestMemberStatesCompareByWhatOthersRead(t *testing.T) {
	alive := membership.MemberState{ID: 1, State: membership.Alive, Reachable: true, Since: 1}
	states := func(x membership.MemberState) map[uint64]membership.MemberState {
		return map[uint64]membership.MemberState{1: x}
	}
	later, suspect, unreachable := alive, alive, alive
	later.Since, suspect.State, unreachable.Reachable = 2, membership.Suspect, false
	for _, c := range []struct {
		name string
		a, b map[uint64]membership.MemberState
		same bool
	}{
		{"none and none", nil, map[uint64]membership.MemberState{}, true},
		{"none and one", nil, states(alive), false},
		{"one and none", states(alive), nil, false},
		{"another time", states(alive), states(later), true},
		{"suspected", states(alive), states(suspect), false},
		{"unreachable", states(alive), states(unreachable), false},
	} {
		if got := sameStates(c.a, c.b); got != c.same {
			t.Errorf("%s: got %v, want the opposite", c.name, got)
		}
	}
	if got := suspected(map[uint64]membership.MemberState{1: alive, 2: suspect}); !reflect.DeepEqual(got,
		map[uint64]bool{2: true}) {
		t.Errorf("got suspected members %v, want only 2", got)
	}
}
