package node

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/schema"
)

func TestRejectionSummaryNamesTheWorstAccount(t *testing.T) {
	r := rejections{byKey: map[ratelimit.Key]uint64{}}
	for n := range maxRejectedAccounts + 1 {
		r.add(ratelimit.Key{Account: strings.Repeat("x", n)})
	}
	worst := ratelimit.Key{Account: "xx"}
	r.add(worst)
	most, sum := r.summary()
	if most != worst || sum != maxRejectedAccounts+1 || len(r.byKey) != maxRejectedAccounts {
		t.Errorf("got top bucket %v, a total of %d and %d accounts, want the worst, all and the limit",
			most, sum, len(r.byKey))
	}
}

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
		t.Errorf("bucket beyond the bounds became %+v", bucket)
	}
}
