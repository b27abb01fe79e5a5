package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// BucketState is a bucket as an owner leaves it.
type BucketState struct {
	Key
	Level       int // whole jobs; less than nothing counts as nothing
	Outstanding int // the most that fronts can have of it
}

// Transfer is an owner's word to the one after it: it lends from these shards no more, and this is how they
// stand. Without it the next one waits until all that may be out has surely run out.
type Transfer struct {
	View      uint64                   // by which the shards went to another
	Shards    map[int]TransferredShard // those that are ceded
	Buckets   []BucketState            // all buckets of them that are known
	From      placement.Session        // whose they were
	to        placement.Session        // whose they are
	sendsLeft int                      // it is still to be said
}

// TransferredShard is since when buckets of a shard that are not named have filled up.
type TransferredShard struct{ FilledFor time.Duration }

const (
	transferSends      = 3    // a word may be lost, or come before the view that it is about
	maxTransferBuckets = 2000 // buckets in a word: shards beyond that are not ceded, and waited for
)

// prepareTransfers notes what is to be said of shards that go to others by a view. It is called before they
// are let go.
//
// Hazard: a shard of which not all buckets are named would be taken for unused. It is ceded whole or not.
func (a *Authority) prepareTransfers(now time.Duration, t *placement.Table) {
	to := map[placement.Session]*Transfer{}
	known := map[int][]BucketState{}
	for k, b := range a.ledgers {
		a.refill(now, b)
		out := b.inherited
		for _, l := range b.borrowers {
			out += l.outstanding
		}
		s := placement.ShardOf(k.Account)
		known[s] = append(known[s], BucketState{k, max(int(b.level), 0), out})
	}
	for s := range a.shards {
		m, ok := t.Owner(s)
		if !ok || !a.shards[s].owned || m.Member == a.session.Member || now < a.shardLendableFrom(s) {
			continue
		}
		c := to[m.Session]
		if c == nil {
			c = &Transfer{
				View:      t.View.Number,
				Shards:    map[int]TransferredShard{},
				From:      a.session,
				to:        m.Session,
				sendsLeft: transferSends,
			}
			to[m.Session] = c
			a.transfers = append(a.transfers, c)
		}
		if len(c.Buckets)+len(known[s]) > maxTransferBuckets {
			continue
		}
		c.Shards[s] = TransferredShard{FilledFor: now - a.shardLendableFrom(s)}
		c.Buckets = append(c.Buckets, known[s]...)
	}
}

// PendingTransfers gives what is to be said to those who own now what was ours, a few times over.
func (a *Authority) PendingTransfers() map[placement.Session]*Transfer {
	out := map[placement.Session]*Transfer{}
	for _, c := range a.transfers {
		if c.sendsLeft > 0 {
			c.sendsLeft--
			out[c.to] = c
		}
	}
	return out
}

// ReceiveTransfer takes over from the owner before this one.
//
// Hazards: a word on another view, or of one that was not the owner before it, or that comes when we lend
// already; and slices that the other has lent, which last their time from now on at the most.
func (a *Authority) ReceiveTransfer(now time.Duration, c *Transfer) {
	for s, x := range c.Shards {
		if s < 0 || s >= len(a.shards) || x.FilledFor < 0 || now >= a.shardLendableFrom(s) {
			delete(c.Shards, s)
			continue
		}
		h := &a.shards[s]
		if !h.owned || h.sinceView != c.View || h.previousOwner != c.From {
			delete(c.Shards, s)
			continue
		}
		h.settledAt, h.settled = now-x.FilledFor, true
	}
	// Those that fronts have asked for already are, unless they are named, as if they were made now.
	for _, b := range a.ledgers {
		if x, ok := c.Shards[b.shard]; ok {
			rate, burst := a.policy.lendable(b.limit)
			b.level, b.refilledAt = min(burst, rate*x.FilledFor.Seconds()), now
		}
	}
	for _, k := range c.Buckets {
		if _, ok := c.Shards[placement.ShardOf(k.Account)]; !ok {
			continue
		}
		b := a.ledgerFor(now, k.Key)
		if b == nil {
			continue
		}
		b.inherited, b.inheritedUntil = k.Outstanding, now+rollout.ExpiryWait(a.policy.GrantDuration)
		b.level = min(float64(k.Level), b.level)
		a.refill(now, b)
	}
}
