package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// prepareTransfers makes the transfers of the shards that go to others by a view. It must be called before
// the view is taken over.
//
// Hazard: a shard of which only some buckets are named would be taken for unused but for those. It is
// transferred with all of its buckets, or not at all.
func (a *Authority) prepareTransfers(now time.Duration, t *placement.Table) {
	buckets := a.bucketsByShard(now)
	byOwner := map[placement.Session]*Transfer{}
	for shard := range a.shards {
		owner, ok := t.Owner(shard)
		if !ok || !a.shards[shard].owned || owner.Member == a.session.Member || now < a.lendableFrom(shard) {
			continue
		}
		tr := byOwner[owner.Session]
		if tr == nil {
			tr = &Transfer{
				View:           t.View.Number,
				Shards:         map[int]TransferredShard{},
				From:           a.session,
				to:             owner.Session,
				remainingSends: transferSends,
			}
			byOwner[owner.Session] = tr
			a.transfers = append(a.transfers, tr)
		}
		if len(tr.Buckets)+len(buckets[shard]) > maxTransferBuckets {
			continue
		}
		tr.Shards[shard] = TransferredShard{FilledFor: now - a.lendableFrom(shard)}
		tr.Buckets = append(tr.Buckets, buckets[shard]...)
	}
}

func (a *Authority) bucketsByShard(now time.Duration) map[int][]BucketState {
	buckets := map[int][]BucketState{}
	for k, l := range a.ledgers {
		a.refill(now, l)
		buckets[l.shard] = append(buckets[l.shard],
			BucketState{Key: k, Level: max(int(l.level), 0), Outstanding: l.outstanding()})
	}
	return buckets
}

// PendingTransfers returns what is to be sent now to the next owners of this instance's former shards, by
// their session. It must be called once a tick.
func (a *Authority) PendingTransfers() map[placement.Session]*Transfer {
	pending := map[placement.Session]*Transfer{}
	for _, tr := range a.transfers {
		if tr.remainingSends > 0 {
			tr.remainingSends--
			pending[tr.to] = tr
		}
	}
	return pending
}

// ReceiveTransfer takes over shards from their previous owner. Shards that do not count are deleted from the
// transfer.
//
// Hazards: a transfer by another view, or of a session that was not the owner before, or one that arrives
// when this instance lends already; and tokens that the previous owner has lent, which last for a grant's
// duration from now on at the most.
func (a *Authority) ReceiveTransfer(now time.Duration, tr *Transfer) {
	for shard, state := range tr.Shards {
		if !a.accepts(now, tr, shard, state) {
			delete(tr.Shards, shard)
			continue
		}
		term := &a.shards[shard]
		term.settledAt, term.settled = now-state.FilledFor, true
	}
	// Buckets that fronts have requested tokens of already are, unless they are named, as if made now.
	for _, l := range a.ledgers {
		if state, ok := tr.Shards[l.shard]; ok {
			l.fillFor(now, state.FilledFor, &a.policy)
		}
	}
	for _, bucket := range tr.Buckets {
		if _, ok := tr.Shards[placement.ShardOf(bucket.Account)]; !ok {
			continue
		}
		l := a.ledgerFor(now, bucket.Key)
		if l == nil {
			continue
		}
		l.inherit(now, bucket.Outstanding, &a.policy)
		l.level = min(float64(bucket.Level), l.level)
		a.refill(now, l)
	}
}

// accepts is whether a transfer settles a shard.
func (a *Authority) accepts(now time.Duration, tr *Transfer, shard int, state TransferredShard) bool {
	if shard < 0 || shard >= len(a.shards) || state.FilledFor < 0 || now >= a.lendableFrom(shard) {
		return false
	}
	term := &a.shards[shard]
	return term.owned && term.sinceView == tr.View && term.previousOwner == tr.From
}
