package ratelimit

import (
	"maps"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// The tokens that an owner has lent count as outstanding at the next owner until they have certainly expired.
// A transfer in another view, or from a session that was not the owner, changes nothing.
func TestTransferCountsOutstandingTokens(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account.a": "20/s burst=10", "account": "X", "tick": "50ms",
		"term": "300ms"}, nil)
	first := placement.Session{Member: 1, Epoch: 1}
	second := placement.Session{Member: 2, Epoch: 2}
	front := placement.Session{Member: 3, Epoch: 3}
	const lease, changedAt = 500 * time.Millisecond, 10 * time.Second
	before, after := tableOf(7, first), tableOf(8, second)

	owner := NewAuthority()
	owner.Configure(0, p)
	owner.SetView(0, before, first, lease, false)
	request := TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 8, SentAt: changedAt}
	owner.ReceiveRequest(changedAt, front, request)
	if g := owner.Tick(changedAt)[front]; len(g) != 1 || g[0].Tokens != 8 {
		t.Fatalf("the first owner grants %v, want one grant of 8 tokens", g)
	}
	owner.SetView(changedAt, after, placement.Session{}, lease, false)
	sent := owner.PendingTransfers()[second]
	if sent == nil || len(sent.Buckets) != 1 || sent.Buckets[0].Outstanding != 8 ||
		sent.Buckets[0].Level != 2 {
		t.Fatalf("the first owner transfers %+v, want one bucket with level 2 and 8 outstanding tokens", sent)
	}
	// lent returns how many tokens the second owner lends to a front that requests the whole burst, after it
	// has received the transfer with the given change.
	lent := func(now time.Duration, change func(tr *Transfer)) (tokens int) {
		a := NewAuthority()
		a.Configure(0, p)
		a.SetView(0, before, second, lease, false)
		a.SetView(changedAt, after, second, lease, false)
		tr := *sent
		tr.Shards = maps.Clone(sent.Shards)
		change(&tr)
		a.ReceiveTransfer(changedAt, &tr)
		a.ReceiveRequest(now, first, TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 10, SentAt: now})
		for _, g := range a.Tick(now)[first] {
			tokens += g.Tokens
		}
		return tokens
	}
	const soon, later = changedAt + 500*time.Millisecond, 12 * time.Second
	for name, c := range map[string]struct {
		now    time.Duration
		change func(tr *Transfer)
		want   int
	}{
		"8 of 10 tokens outstanding":      {soon, func(*Transfer) {}, 2},
		"outstanding tokens have expired": {later, func(*Transfer) {}, 10},
		"transfer in another view":        {soon, func(tr *Transfer) { tr.View = 6 }, 0},
		"sender was not the owner":        {soon, func(tr *Transfer) { tr.From = front }, 0},
		"invalid shard numbers": {soon, func(tr *Transfer) {
			tr.Shards = map[int]TransferredShard{-1: {}, 1 << 20: {}}
		}, 0},
	} {
		if tokens := lent(c.now, c.change); tokens != c.want {
			t.Errorf("%s: the second owner lends %d tokens, want %d", name, tokens, c.want)
		}
	}
}
