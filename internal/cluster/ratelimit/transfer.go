package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// prepareTransfers creates the transfers of the shards that a view gives to other members. It must be called
// before the view is set.
//
// A shard is transferred with all of its buckets or not at all, because the next owner treats buckets that
// the transfer does not list as unused.
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

// PendingTransfers returns the transfers to send now to the next owners of this instance's former shards, by
// the owners' sessions. It must be called once per tick.
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

// ReceiveTransfer applies the state of shards received from their previous owner. It deletes shards that it
// does not accept from the transfer: those transferred in another view or by a session that was not the
// previous owner, and those from which this instance already lends.
//
// Tokens that the previous owner lent count as outstanding for one grant duration from now, since they can't
// last longer.
func (a *Authority) ReceiveTransfer(now time.Duration, tr *Transfer) {
	for shard, state := range tr.Shards {
		if !a.accepts(now, tr, shard, state) {
			delete(tr.Shards, shard)
			continue
		}
		ownership := &a.shards[shard]
		ownership.fillingSince, ownership.outstandingKnown = now-state.FilledFor, true
	}
	// Buckets that fronts have already requested tokens from get the level of a new ledger. Those that the
	// transfer lists are set below.
	for _, l := range a.ledgers {
		if state, ok := tr.Shards[l.shard]; ok {
			l.resetLevel(now, state.FilledFor, &a.policy)
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

// accepts reports whether the transferred state of a shard can be applied.
func (a *Authority) accepts(now time.Duration, tr *Transfer, shard int, state TransferredShard) bool {
	if shard < 0 || shard >= len(a.shards) || state.FilledFor < 0 || now >= a.lendableFrom(shard) {
		return false
	}
	ownership := &a.shards[shard]
	return ownership.owned && ownership.sinceView == tr.View && ownership.previousOwner == tr.From
}
