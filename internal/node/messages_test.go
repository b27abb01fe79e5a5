package node

import (
	"math"
	"reflect"
	"testing"
	"time"

	"moorstack/internal/cluster/membership"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/schema"
)

func TestRateLimitMessagesSurviveEncoding(t *testing.T) {
	key := ratelimit.Key{Account: "a", Class: "c"}
	from := placement.Session{Member: 3, Epoch: 4}
	request := ratelimit.TokenRequest{Key: key, Seq: 1, AckedGrant: 2, Remaining: 3, Returned: 4, Wanted: 5,
		SentAt: 6}
	if got, ok := decodeTokenRequest(encodeTokenRequest(request)); !ok || got != request {
		t.Errorf("request %+v became %+v, %v", request, got, ok)
	}
	grant := ratelimit.Grant{Key: key, RequestSeq: 1, Seq: 2, Tokens: 3, RequestSentAt: 4, View: 5}
	if got, ok := decodeGrant(10, 5, encodeGrant(grant)); !ok || got != grant {
		t.Errorf("grant %+v became %+v, %v", grant, got, ok)
	}
	transfer := &ratelimit.Transfer{From: from, View: 7,
		Shards:  map[int]ratelimit.TransferredShard{8: {FilledFor: 9}},
		Buckets: []ratelimit.BucketState{{Key: key, Level: 10, Outstanding: 11}}}
	if got := decodeTransfer(from, encodeTransfer(transfer)); !reflect.DeepEqual(got, transfer) {
		t.Errorf("transfer %+v became %+v", transfer, got)
	}
	confirmation := ratelimit.DrainConfirmation{View: 12, Total: 13,
		Buckets: []ratelimit.BucketState{{Key: key, Outstanding: 14}}}
	if got := decodeConfirmation(encodeConfirmation(confirmation)); !reflect.DeepEqual(got, confirmation) {
		t.Errorf("confirmation %+v became %+v", confirmation, got)
	}
}

func TestRateLimitMessagesBeyondBoundsAreDropped(t *testing.T) {
	for _, c := range []struct {
		name string
		in   *schema.RateAsk
		ok   bool
	}{
		{"at the bound", &schema.RateAsk{Kept: maxTokens, Back: maxTokens, Want: maxTokens}, true},
		{"too many remain", &schema.RateAsk{Kept: maxTokens + 1}, false},
		{"too many returned", &schema.RateAsk{Back: maxTokens + 1}, false},
		{"too many wanted", &schema.RateAsk{Want: math.MaxUint64}, false},
	} {
		if _, ok := decodeTokenRequest(c.in); ok != c.ok {
			t.Errorf("request, %s: accepted is %v", c.name, ok)
		}
	}
	now := time.Second
	for _, c := range []struct {
		name string
		in   *schema.RateGrant
		ok   bool
	}{
		{"at the bound", &schema.RateGrant{Jobs: maxTokens, AskedNs: int64(now)}, true},
		{"too many tokens", &schema.RateGrant{Jobs: maxTokens + 1}, false},
		{"requested in the future", &schema.RateGrant{AskedNs: int64(now) + 1}, false},
	} {
		if _, ok := decodeGrant(now, 1, c.in); ok != c.ok {
			t.Errorf("grant, %s: accepted is %v", c.name, ok)
		}
	}
	bucket := decodeBucket(&schema.RateBook{Level: math.MaxUint64, Out: math.MaxUint64})
	if bucket.Level != maxTokens || bucket.Outstanding != maxTokens {
		t.Errorf("a bucket has %+v", bucket)
	}
}

func TestMembershipMessagesSurviveEncoding(t *testing.T) {
	in := membership.Message{Kind: 2, Seq: 3, Target: 4,
		Updates: []membership.Update{{ID: 5, State: membership.Suspect, Incarnation: 6, ReportedBy: 7}}}
	if got := decodeMembership(encodeMembership(in)); !reflect.DeepEqual(got, in) {
		t.Errorf("%+v became %+v", in, got)
	}
}

// A newer program may send kinds and states that this one does not know: they must not become known ones by
// losing their upper bits.
func TestUnknownMembershipEnumsStayUnknown(t *testing.T) {
	got := decodeMembership(&schema.MembershipMessage{Kind: 256 + 1,
		Words: []*schema.MembershipRumour{{State: 256}}})
	if got.Kind != maxEnum || got.Updates[0].State != maxEnum {
		t.Errorf("kind %d, state %d", got.Kind, got.Updates[0].State)
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
			t.Errorf("%s: same is %v", c.name, got)
		}
	}
	if got := suspected(map[uint64]membership.MemberState{1: alive, 2: suspect}); !reflect.DeepEqual(got,
		map[uint64]bool{2: true}) {
		t.Errorf("suspected: %v", got)
	}
}

func TestListUpdatesSurviveEncoding(t *testing.T) {
	in := &schema.ListNews{Number: 1, Generation: 2, Previous: 3, Whole: true, Text: []byte("x")}
	got := encodeListUpdate(decodeListUpdate(in))
	if got.Number != 1 || got.Generation != 2 || got.Previous != 3 || !got.Whole || string(got.Text) != "x" {
		t.Errorf("%v became %v", in, got)
	}
}

func TestBrokerStateSurvivesHotRestart(t *testing.T) {
	in := broker.ProcessState{UnderMaintenance: map[string]time.Duration{"out": 1},
		ReturnedFromMaintenance: map[string]broker.MaintenancePeriod{"back": {Since: 2, Ended: 3}}}
	got := decodeBrokerState(encodeBrokerState(in))
	if !reflect.DeepEqual(got.UnderMaintenance, in.UnderMaintenance) ||
		!reflect.DeepEqual(got.ReturnedFromMaintenance, in.ReturnedFromMaintenance) {
		t.Errorf("%+v became %+v", in, got)
	}
}
