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
	p, _ := ReadPolicy(map[string]string{"account.a": "20/s burst=10", "account": "X", "tick": "50ms",
		"term": "300ms"}, nil)
	seats := []placement.Seat{{Member: 1, Epoch: 1}, {Member: 2, Epoch: 2}, {Member: 3, Epoch: 3}}
	alone := func(number uint64, who placement.Seat) *placement.Table {
		return placement.Of(placement.View{Number: number, Members: []placement.Member{{Seat: who}}})
	}
	const lease = 500 * time.Millisecond
	first, second := NewAuthority(), NewAuthority()
	for i, a := range []*Authority{first, second} {
		a.Configure(0, p)
		a.View(0, alone(7, seats[0]), seats[i], lease, false)
	}
	ask := Ask{Key: Key{Account: "a"}, Report: 1, Want: 8, Asked: 10 * time.Second}
	first.Hear(10*time.Second, seats[2], ask)
	if g := first.Tick(10 * time.Second)[seats[2]]; len(g) != 1 || g[0].Jobs != 8 {
		t.Fatalf("the first owner lends %v", g)
	}
	next := alone(8, seats[1])
	first.View(10*time.Second, next, placement.Seat{}, lease, false)
	second.View(10*time.Second, next, seats[1], lease, false)
	c := first.Cessions()[seats[1]]
	if c == nil || len(c.Books) != 1 || c.Books[0].Out != 8 || c.Books[0].Level != 2 {
		t.Fatalf("it says %+v", c)
	}
	lends := func(now time.Duration, spoil func(c *Cession)) int {
		a := NewAuthority()
		a.Configure(0, p)
		a.View(0, alone(7, seats[0]), seats[1], lease, false)
		a.View(10*time.Second, next, seats[1], lease, false)
		w := *c
		w.Shards = maps.Clone(c.Shards)
		spoil(&w)
		a.Take(10*time.Second, &w)
		a.Hear(now, seats[0], Ask{Key: Key{Account: "a"}, Report: 1, Want: 10, Asked: now})
		jobs := 0
		for _, g := range a.Tick(now)[seats[0]] {
			jobs += g.Jobs
		}
		return jobs
	}
	well := func(*Cession) {}
	soon, later := 10*time.Second+500*time.Millisecond, 12*time.Second
	if n := lends(soon, well); n != 2 {
		t.Errorf("while 8 of 10 may still be used, it lends %d", n)
	}
	if n := lends(later, well); n != 10 {
		t.Errorf("when those have run out, it lends %d", n)
	}
	for why, spoil := range map[string]func(c *Cession){
		"another view":      func(c *Cession) { c.View = 6 },
		"not the owner":     func(c *Cession) { c.From = seats[2] },
		"shards of nowhere": func(c *Cession) { c.Shards = map[int]Shard{-1: {}, 1 << 20: {}} },
	} {
		if n := lends(soon, spoil); n != 0 {
			t.Errorf("%s: it lends %d", why, n)
		}
	}
}
