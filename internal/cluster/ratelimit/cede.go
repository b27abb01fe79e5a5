package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// Ceded is a bucket as an owner leaves it.
type Ceded struct {
	Key
	Level int // whole jobs; less than nothing counts as nothing
	Out   int // the most that fronts can have of it
}

// Cession is an owner's word to the one after it: it lends from these shards no more, and this is how they
// stand. Without it the next one waits until all that may be out has surely run out.
type Cession struct {
	View   uint64         // by which the shards went to another
	Shards map[int]Shard  // those that are ceded
	Books  []Ceded        // all buckets of them that are known
	From   placement.Seat // whose they were
	to     placement.Seat // whose they are
	times  int            // it is still to be said
}

// Shard is since when buckets of a shard that are not named have filled up.
type Shard struct{ Lent time.Duration }

const (
	repeated  = 3    // a word may be lost, or come before the view that it is about
	mostCeded = 2000 // buckets in a word: shards beyond that are not ceded, and waited for
)

// cede notes what is to be said of shards that go to others by a view. It is called before they are let go.
//
// Hazard: a shard of which not all buckets are named would be taken for unused. It is ceded whole or not.
func (a *Authority) cede(now time.Duration, t *placement.Table) {
	to := map[placement.Seat]*Cession{}
	known := map[int][]Ceded{}
	for k, b := range a.books {
		a.refill(now, b)
		out := b.before
		for _, l := range b.lines {
			out += l.out
		}
		s := placement.ShardOf(k.Account)
		known[s] = append(known[s], Ceded{k, max(int(b.level), 0), out})
	}
	for s := range a.shards {
		m, ok := t.Owner(s)
		if !ok || !a.shards[s].mine || m.Member == a.own.Member || now < a.freeAt(s) {
			continue
		}
		c := to[m.Seat]
		if c == nil {
			c = &Cession{View: t.View.Number, Shards: map[int]Shard{}, From: a.own, to: m.Seat,
				times: repeated}
			to[m.Seat] = c
			a.cessions = append(a.cessions, c)
		}
		if len(c.Books)+len(known[s]) > mostCeded {
			continue
		}
		c.Shards[s] = Shard{Lent: now - a.freeAt(s)}
		c.Books = append(c.Books, known[s]...)
	}
}

// Cessions gives what is to be said to those who own now what was ours, a few times over.
func (a *Authority) Cessions() map[placement.Seat]*Cession {
	out := map[placement.Seat]*Cession{}
	for _, c := range a.cessions {
		if c.times > 0 {
			c.times--
			out[c.to] = c
		}
	}
	return out
}

// Take takes over from the owner before this one.
//
// Hazards: a word on another view, or of one that was not the owner before it, or that comes when we lend
// already; and slices that the other has lent, which last their time from now on at the most.
func (a *Authority) Take(now time.Duration, c *Cession) {
	for s, x := range c.Shards {
		if s < 0 || s >= len(a.shards) || x.Lent < 0 || now >= a.freeAt(s) {
			delete(c.Shards, s)
			continue
		}
		h := &a.shards[s]
		if !h.mine || h.by != c.View || h.before != c.From {
			delete(c.Shards, s)
			continue
		}
		h.since, h.ceded = now-x.Lent, true
	}
	// Those that fronts have asked for already are, unless they are named, as if they were made now.
	for _, b := range a.books {
		if x, ok := c.Shards[b.shard]; ok {
			rate, burst := a.policy.lent(b.limit)
			b.level, b.at = min(burst, rate*x.Lent.Seconds()), now
		}
	}
	for _, k := range c.Books {
		if _, ok := c.Shards[placement.ShardOf(k.Account)]; !ok {
			continue
		}
		b := a.book(now, k.Key)
		if b == nil {
			continue
		}
		b.before, b.until = k.Out, now+rollout.Wait(a.policy.Term)
		b.level = min(float64(k.Level), b.level)
		a.refill(now, b)
	}
}
