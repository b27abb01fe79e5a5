package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// ownershipTerm is what an authority knows of a shard.
type ownershipTerm struct {
	owned bool // by this session
	// previousLeaseEnds is until when an earlier owner may lend yet, as far as is known.
	previousLeaseEnds time.Duration
	// Of an owned shard: the view by which it came, and who owned it in the view before.
	sinceView     uint64
	previousOwner placement.Session
	// settled is that what earlier owners lent is known. Then buckets without a ledger have been filling
	// from empty since settledAt.
	settled   bool
	settledAt time.Duration
}

// Authority lends tokens of the buckets that this instance owns by placement.
//
// The invariant, at every moment: the level of a bucket, the outstanding tokens and all floors together are
// at most the burst. Used tokens count as outstanding until their front has reported that; so in every window
// the admissions of all fronts together are at most the rate times the window and the burst, by this
// instance's clock.
type Authority struct {
	policy       Policy
	configuredAt time.Duration // with this policy
	session      placement.Session
	longestLease time.Duration // of any session so far
	shards       []ownershipTerm
	revocation   revocation

	table     *placement.Table
	transfers []*Transfer
	ledgers   map[Key]*ledger
	grantSeq  uint64
}

// NewAuthority makes an authority that owns nothing yet.
func NewAuthority() *Authority {
	return &Authority{
		ledgers:    map[Key]*ledger{},
		revocation: newRevocation(),
		shards:     make([]ownershipTerm, placement.ShardCount),
	}
}

// Configure takes over a policy.
//
// Hazard: grants under another policy are void at every front that runs this one, so nothing is outstanding;
// but what was spent is spent.
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
	// Hazard: a bucket without a ledger had another limit, or none, and may have been used up a moment ago.
	// It fills from empty from here on.
	a.configuredAt, a.policy = now, p
}

// SetView takes over a view of the group and this instance's own session in it; none if it has no session.
// Every view must be passed, in order; skipped is that some were not. Lease is the longest for which an
// earlier owner may act by an older view.
//
// Hazard: an earlier owner may have lent the whole bucket a moment before it lost the shard, and may go on
// until its lease has surely expired. So a new owner lends only when the last such grant has surely expired,
// whatever the rates of the clocks. An owner that is known to have ended has no lease to wait for.
func (a *Authority) SetView(now time.Duration, t *placement.Table, own placement.Session, lease time.Duration,
	skipped bool) {
	sameSession := own == a.session && !skipped
	a.transfers = nil
	if !skipped {
		a.prepareTransfers(now, t)
	}
	previous := a.table
	// Hazard: the configuration may name a shorter lease now than when an earlier owner's was granted.
	a.session, a.table, a.longestLease = own, t, max(a.longestLease, lease)
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
	a.settleRevoked(now)
}

// updateShard takes over who owns a shard by the view that was set.
func (a *Authority) updateShard(now time.Duration, shard int, previous *placement.Table,
	leaseEnds time.Duration, sameSession, skipped bool) {
	term := &a.shards[shard]
	owner, ok := a.table.Owner(shard)
	before, had := previous.Owner(shard)
	switch {
	case skipped || !had:
		term.previousLeaseEnds = leaseEnds
	case before.Session == owner.Session && ok:
		// The owner is the same.
	case slices.Contains(a.table.View.Expired, before.Session):
		term.previousLeaseEnds = max(term.previousLeaseEnds, now)
	default:
		term.previousLeaseEnds = max(term.previousLeaseEnds, leaseEnds)
	}
	owned := ok && a.session.Epoch != 0 && owner.Session == a.session
	if owned && !(sameSession && term.owned) {
		term.settled, term.sinceView = false, a.table.View.Number
		term.previousOwner = placement.Session{}
		// Hazard: where views were skipped, the owner in the last one seen was not the last owner.
		if had && !skipped {
			term.previousOwner = before.Session
		}
	}
	term.owned = owned
}

// lendableFrom is from when on tokens of a shard may be lent: once the last grant of an earlier owner, which
// it may have given at the very end of its lease, has surely expired.
func (a *Authority) lendableFrom(shard int) time.Duration {
	term := &a.shards[shard]
	if term.settled {
		return max(term.settledAt, a.configuredAt)
	}
	return max(term.previousLeaseEnds+a.policy.grantExpiryWait(), a.configuredAt)
}

// ledgerFor returns a bucket's ledger, or makes it; nil: the key has no limit.
//
// Hazard: a bucket without a ledger may have been used up by grants of an earlier owner. It has what has
// come in since the shard may be lent from, as if it had been empty then.
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
	l.fillFor(now, max(now-a.lendableFrom(shard), 0), &a.policy)
	a.ledgers[k] = l
	return l
}

func (a *Authority) refill(now time.Duration, l *ledger) {
	l.refill(now, a.lendableFrom(l.shard), &a.policy)
}

// ReceiveRequest takes a front's request. One for a bucket that this instance does not own is dropped.
func (a *Authority) ReceiveRequest(now time.Duration, from placement.Session, r TokenRequest) {
	if !a.shards[placement.ShardOf(r.Account)].owned {
		return
	}
	l := a.ledgerFor(now, r.Key)
	if l == nil {
		return
	}
	// Hazard: up to now all outstanding tokens could be used at once, and so the bucket held no more than
	// the rest. This also drops silent borrowers: one that was found before would be lost with its request.
	a.refill(now, l)
	b := l.borrowers[from]
	if b == nil {
		b = &borrower{session: from, answeredAt: now}
		l.borrowers[from] = b
	}
	if r.Seq <= b.requestSeq {
		return // older than the newest, or a duplicate
	}
	_, burst := a.policy.lendable(l.limit)
	l.settle(b, r, burst)
	a.refill(now, l)
	b.wanted, b.requestSentAt, b.waiting = r.Wanted, r.SentAt, true
}

// Tick returns the grants for the fronts that have sent requests since the last one. It must be called in
// the turn of the event loop in which the instance has checked its lease, and only while that is valid.
func (a *Authority) Tick(now time.Duration) map[placement.Session][]Grant {
	grants := map[placement.Session][]Grant{}
	a.settleRevoked(now)
	for k, l := range a.ledgers {
		a.refill(now, l)
		waiting := l.waiting()
		lendableFrom := a.lendableFrom(l.shard)
		if len(waiting) == 0 {
			if l.idle(&a.policy) && now-lendableFrom > l.timeToFill(&a.policy) {
				delete(a.ledgers, k) // made again, it would be full
			}
			continue
		}
		if now >= lendableFrom {
			shareMaxMin(int(l.level), waiting)
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

// lend gives a borrower its share, and renews what it has. It returns false if there is neither.
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
