package ratelimit

import (
	"maps"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// What an owner has lent counts as outstanding at the next one until it has surely expired. A transfer by
// another view, or of a session that was not the owner, changes nothing.
func TestTransferCountsOutstandingTokens(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account.a": "20/s burst=10", "account": "X", "tick": "50ms",
		"term": "300ms"}, nil)
	first := placement.Session{Member: 1, Epoch: 1}
	second := placement.Session{Member: 2, Epoch: 2}
	front := placement.Session{Member: 3, Epoch: 3}
	const lease, changed = 500 * time.Millisecond, 10 * time.Second
	before, after := tableOf(7, first), tableOf(8, second)

	owner := NewAuthority()
	owner.Configure(0, p)
	owner.SetView(0, before, first, lease, false)
	request := TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 8, SentAt: changed}
	owner.ReceiveRequest(changed, front, request)
	if g := owner.Tick(changed)[front]; len(g) != 1 || g[0].Tokens != 8 {
		t.Fatalf("the first owner lends %v", g)
	}
	owner.SetView(changed, after, placement.Session{}, lease, false)
	sent := owner.PendingTransfers()[second]
	if sent == nil || len(sent.Buckets) != 1 || sent.Buckets[0].Outstanding != 8 ||
		sent.Buckets[0].Level != 2 {
		t.Fatalf("it sends %+v", sent)
	}
	// lent is what the second owner lends to one that wants all, by a transfer that may be changed before.
	lent := func(now time.Duration, change func(tr *Transfer)) (tokens int) {
		a := NewAuthority()
		a.Configure(0, p)
		a.SetView(0, before, second, lease, false)
		a.SetView(changed, after, second, lease, false)
		tr := *sent
		tr.Shards = maps.Clone(sent.Shards)
		change(&tr)
		a.ReceiveTransfer(changed, &tr)
		a.ReceiveRequest(now, first, TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 10, SentAt: now})
		for _, g := range a.Tick(now)[first] {
			tokens += g.Tokens
		}
		return tokens
	}
	const soon, later = changed + 500*time.Millisecond, 12 * time.Second
	for name, c := range map[string]struct {
		now    time.Duration
		change func(tr *Transfer)
		want   int
	}{
		"8 of 10 may still be used": {soon, func(*Transfer) {}, 2},
		"those have expired":        {later, func(*Transfer) {}, 10},
		"another view":              {soon, func(tr *Transfer) { tr.View = 6 }, 0},
		"not the owner":             {soon, func(tr *Transfer) { tr.From = front }, 0},
		"no such shards": {soon, func(tr *Transfer) {
			tr.Shards = map[int]TransferredShard{-1: {}, 1 << 20: {}}
		}, 0},
	} {
		if tokens := lent(c.now, c.change); tokens != c.want {
			t.Errorf("%s: it lends %d of %d", name, tokens, c.want)
		}
	}
}
