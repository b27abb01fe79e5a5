package ratelimit

import (
	"maps"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// What an owner has lent counts for the one after it until it has surely run out; a word on another view, or
// of one that was not the owner, changes nothing.
func TestCession(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account.a": "20/s burst=10", "account": "X", "tick": "50ms",
		"term": "300ms"}, nil)
	seats := []placement.Session{{Member: 1, Epoch: 1}, {Member: 2, Epoch: 2}, {Member: 3, Epoch: 3}}
	alone := func(number uint64, who placement.Session) *placement.Table {
		return placement.NewTable(placement.View{Number: number, Members: []placement.Member{{Session: who}}})
	}
	const lease = 500 * time.Millisecond
	first, second := NewAuthority(), NewAuthority()
	for i, a := range []*Authority{first, second} {
		a.Configure(0, p)
		a.SetView(0, alone(7, seats[0]), seats[i], lease, false)
	}
	ask := TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 8, SentAt: 10 * time.Second}
	first.ReceiveRequest(10*time.Second, seats[2], ask)
	if g := first.Tick(10 * time.Second)[seats[2]]; len(g) != 1 || g[0].Tokens != 8 {
		t.Fatalf("the first owner lends %v", g)
	}
	next := alone(8, seats[1])
	first.SetView(10*time.Second, next, placement.Session{}, lease, false)
	second.SetView(10*time.Second, next, seats[1], lease, false)
	c := first.PendingTransfers()[seats[1]]
	if c == nil || len(c.Buckets) != 1 || c.Buckets[0].Outstanding != 8 || c.Buckets[0].Level != 2 {
		t.Fatalf("it says %+v", c)
	}
	lends := func(now time.Duration, spoil func(c *Transfer)) int {
		a := NewAuthority()
		a.Configure(0, p)
		a.SetView(0, alone(7, seats[0]), seats[1], lease, false)
		a.SetView(10*time.Second, next, seats[1], lease, false)
		w := *c
		w.Shards = maps.Clone(c.Shards)
		spoil(&w)
		a.ReceiveTransfer(10*time.Second, &w)
		a.ReceiveRequest(now, seats[0], TokenRequest{Key: Key{Account: "a"}, Seq: 1, Wanted: 10, SentAt: now})
		jobs := 0
		for _, g := range a.Tick(now)[seats[0]] {
			jobs += g.Tokens
		}
		return jobs
	}
	well := func(*Transfer) {}
	soon, later := 10*time.Second+500*time.Millisecond, 12*time.Second
	if n := lends(soon, well); n != 2 {
		t.Errorf("while 8 of 10 may still be used, it lends %d", n)
	}
	if n := lends(later, well); n != 10 {
		t.Errorf("when those have run out, it lends %d", n)
	}
	for why, spoil := range map[string]func(c *Transfer){
		"another view":      func(c *Transfer) { c.View = 6 },
		"not the owner":     func(c *Transfer) { c.From = seats[2] },
		"shards of nowhere": func(c *Transfer) { c.Shards = map[int]TransferredShard{-1: {}, 1 << 20: {}} },
	} {
		if n := lends(soon, spoil); n != 0 {
			t.Errorf("%s: it lends %d", why, n)
		}
	}
}
