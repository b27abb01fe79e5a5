package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// shardOwnership records whether an authority owns a shard, and what determines when it may lend from it.
type shardOwnership struct {
	owned bool // by this session
	// previousLeaseEnds is when the leases of all known earlier owners have certainly expired.
	previousLeaseEnds time.Duration
	// For an owned shard: the view in which it was acquired, and its owner in the view before that.
	sinceView     uint64
	previousOwner placement.Session
	// outstandingKnown is set when the authority knows what earlier owners lent. From then on, buckets
	// without a ledger count as filling from empty since fillingSince.
	outstandingKnown bool
	fillingSince     time.Duration
}

// Authority lends tokens of the buckets that this instance owns by placement.
//
// Invariant: the level of a bucket, its outstanding tokens and all floors together never exceed the burst.
// Used tokens count as outstanding until their front has reported their use. Therefore, in every time window,
// all fronts together admit at most the rate times the length of the window, plus the burst, as measured by
// this instance's clock.
type Authority struct {
	policy       Policy
	configuredAt time.Duration // when the policy was set
	session      placement.Session
	longestLease time.Duration // longest lease duration of any view so far
	shards       []shardOwnership
	revocation   revocation

	table     *placement.Table
	transfers []*Transfer
	ledgers   map[Key]*ledger
	grantSeq  uint64
}

// NewAuthority returns an authority that owns no shards.
func NewAuthority() *Authority {
	return &Authority{
		ledgers:    map[Key]*ledger{},
		revocation: newRevocation(),
		shards:     make([]shardOwnership, placement.ShardCount),
	}
}

// Configure sets the policy. Fronts that apply this policy ignore grants made under any other, so no tokens
// are outstanding any longer. Tokens that were lent stay deducted, since they may have been used.
func (a *Authority) Configure(now time.Duration, p Policy) {
	if p.Version == a.policy.Version {
		return
	}
	for k, l := range a.ledgers {
		a.refill(now, l)
		limit, ok := p.LimitOf(k)
		if !ok {
			delete(a.ledgers, k)
			continue
		}
		_, burst := p.lendable(limit)
		l.level, l.limit = min(l.level, burst), limit
		clear(l.borrowers)
	}
	// A bucket without a ledger had another limit, or none, and may have been emptied just now. It counts as
	// filling from empty from now on.
	a.configuredAt, a.policy = now, p
}

// SetView sets the view of the group and this instance's own session in it; self is zero if it has none.
// Every view must be passed, in order; skipped reports whether views before this one were missed. lease is
// the longest time for which an earlier owner may act on an older view.
//
// An earlier owner may have lent the whole bucket just before it lost the shard, and may continue to lend
// until its lease has certainly expired. So a new owner lends only once the last such grant has certainly
// expired. An owner that is known to have ended has no lease to wait for.
func (a *Authority) SetView(now time.Duration, t *placement.Table, self placement.Session,
	lease time.Duration, skipped bool) {
	sameSession := self == a.session && !skipped
	a.transfers = nil
	if !skipped {
		a.prepareTransfers(now, t)
	}
	previous := a.table
	// An earlier owner's lease may have been granted under a configuration with a longer lease.
	a.session, a.table, a.longestLease = self, t, max(a.longestLease, lease)
	leaseEnds := now + rollout.ExpiryWait(a.longestLease)
	a.revocation.setView(t, previous, leaseEnds, skipped)
	for shard := range a.shards {
		a.updateShard(now, shard, previous, leaseEnds, sameSession, skipped)
	}
	for k := range a.ledgers {
		if !a.shards[placement.ShardOf(k.Account)].owned || !sameSession {
			delete(a.ledgers, k)
		}
	}
	a.activateConfirmedShards(now)
}

// updateShard updates a shard's ownership to the view that was just set.
func (a *Authority) updateShard(now time.Duration, shard int, previous *placement.Table,
	leaseEnds time.Duration, sameSession, skipped bool) {
	ownership := &a.shards[shard]
	owner, ok := a.table.Owner(shard)
	previousOwner, hadOwner := previous.Owner(shard)
	switch {
	case skipped || !hadOwner:
		ownership.previousLeaseEnds = leaseEnds
	case previousOwner.Session == owner.Session && ok:
		// The owner has not changed.
	case slices.Contains(a.table.View.Expired, previousOwner.Session):
		ownership.previousLeaseEnds = max(ownership.previousLeaseEnds, now)
	default:
		ownership.previousLeaseEnds = max(ownership.previousLeaseEnds, leaseEnds)
	}
	owned := ok && a.session.Epoch != 0 && owner.Session == a.session
	if owned && !(sameSession && ownership.owned) {
		ownership.outstandingKnown, ownership.sinceView = false, a.table.View.Number
		ownership.previousOwner = placement.Session{}
		// If views were skipped, the owner in the last view seen may not be the previous owner.
		if hadOwner && !skipped {
			ownership.previousOwner = previousOwner.Session
		}
	}
	ownership.owned = owned
}

// lendableFrom returns the time from which tokens of a shard may be lent. Unless the outstanding tokens are
// known, that is when the last grant of an earlier owner has certainly expired. It may have been made at the
// very end of that owner's lease.
func (a *Authority) lendableFrom(shard int) time.Duration {
	ownership := &a.shards[shard]
	if ownership.outstandingKnown {
		return max(ownership.fillingSince, a.configuredAt)
	}
	return max(ownership.previousLeaseEnds+a.policy.grantExpiryWait(), a.configuredAt)
}

// ledgerFor returns a bucket's ledger, creating it if necessary. It returns nil if the key has no limit.
//
// Grants of an earlier owner may have emptied a bucket that has no ledger. So the new ledger contains only
// the tokens that accrued since the shard became lendable, as if the bucket had been empty then.
func (a *Authority) ledgerFor(now time.Duration, k Key) *ledger {
	if l := a.ledgers[k]; l != nil {
		return l
	}
	limit, ok := a.policy.LimitOf(k)
	if !ok {
		return nil
	}
	shard := placement.ShardOf(k.Account)
	l := &ledger{shard: shard, limit: limit, borrowers: map[placement.Session]*borrower{}}
	l.resetLevel(now, max(now-a.lendableFrom(shard), 0), &a.policy)
	a.ledgers[k] = l
	return l
}

func (a *Authority) refill(now time.Duration, l *ledger) {
	l.refill(now, a.lendableFrom(l.shard), &a.policy)
}

// ReceiveRequest processes a front's request. It ignores a request for a bucket that this instance does not
// own.
func (a *Authority) ReceiveRequest(now time.Duration, from placement.Session, r TokenRequest) {
	if !a.shards[placement.ShardOf(r.Account)].owned {
		return
	}
	l := a.ledgerFor(now, r.Key)
	if l == nil {
		return
	}
	// Refill before the request reduces the outstanding tokens: until now all of them could have been used at
	// once, so the level must not have exceeded the rest of the burst. Refilling also removes silent
	// borrowers. If this one were looked up before, it could be removed here and its request lost.
	a.refill(now, l)
	b := l.borrowers[from]
	if b == nil {
		b = &borrower{session: from, answeredAt: now}
		l.borrowers[from] = b
	}
	if r.Seq <= b.requestSeq {
		return // a duplicate, or older than the newest request
	}
	_, burst := a.policy.lendable(l.limit)
	l.applyRequest(b, r, burst)
	a.refill(now, l)
	b.wanted, b.requestSentAt, b.waiting = r.Wanted, r.SentAt, true
}

// Tick returns the grants for the fronts that have sent requests since the last tick. It must be called in
// the event loop turn in which the instance has checked its lease, and only while the lease is valid.
func (a *Authority) Tick(now time.Duration) map[placement.Session][]Grant {
	grants := map[placement.Session][]Grant{}
	a.activateConfirmedShards(now)
	for k, l := range a.ledgers {
		a.refill(now, l)
		waiting := l.waiting()
		lendableFrom := a.lendableFrom(l.shard)
		if len(waiting) == 0 {
			if l.idle(&a.policy) && now-lendableFrom > l.timeToFill(&a.policy) {
				delete(a.ledgers, k) // a new ledger would be full, too
			}
			continue
		}
		if now >= lendableFrom {
			allocateMaxMin(int(l.level), waiting)
		} else {
			for _, b := range waiting {
				b.wanted = 0
			}
		}
		for _, b := range waiting {
			if g, ok := a.lend(now, k, l, b); ok {
				grants[b.session] = append(grants[b.session], g)
			}
		}
	}
	return grants
}

// lend grants a borrower the tokens allocated to it and renews those it holds. It returns false if there are
// neither.
func (a *Authority) lend(now time.Duration, k Key, l *ledger, b *borrower) (Grant, bool) {
	b.waiting = false
	if b.wanted > 0 {
		l.level -= float64(b.wanted)
		b.grantedAt = now
	} else if b.outstanding == 0 {
		return Grant{}, false
	}
	a.grantSeq++
	b.outstanding += b.wanted
	b.unacked = append(b.unacked, unackedGrant{a.grantSeq, b.wanted})
	b.answeredAt = now
	return Grant{
		Key:           k,
		RequestSeq:    b.requestSeq,
		Seq:           a.grantSeq,
		Tokens:        b.wanted,
		RequestSentAt: b.requestSentAt,
		View:          a.table.View.Number,
	}, true
}
