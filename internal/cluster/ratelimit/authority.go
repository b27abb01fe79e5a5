package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// unackedGrant is one that the front has not acknowledged.
type unackedGrant struct {
	seq    uint64
	tokens int
}

// borrower is a front in a bucket.
type borrower struct {
	session       placement.Session
	requestSeq    uint64
	outstanding   int // the most that it can have
	unacked       []unackedGrant
	answeredAt    time.Duration // when it was answered last
	wanted        int
	requestSentAt time.Duration // on its clock
	waiting       bool          // it waits for an answer
	grantedAt     time.Duration // when it was last lent something
}

// ledger is a bucket at its authority.
type ledger struct {
	shard      int
	limit      Limit
	level      float64
	refilledAt time.Duration
	borrowers  map[placement.Session]*borrower
	// What an owner inherited this one has lent, and when that has surely run out.
	inherited      int
	inheritedUntil time.Duration
}

// ownershipTerm is how a shard stands with this instance.
type ownershipTerm struct {
	owned             bool
	previousLeaseEnds time.Duration // until when whoever had it before may lend yet, as far as is known
	// Of one of ours: the view sinceView which it came, who had it before, and whether it is known how that
	// one left it; then, since when buckets that are not known here have filled up.
	sinceView     uint64
	previousOwner placement.Session
	settled       bool
	settledAt     time.Duration
}

// Authority lends slices of the buckets that are this instance's by placement.
//
// The invariant, at every moment: what is in the bucket, what is out, and all floors are at most the burst.
// What is used counts as out until the front has said so; so in every window the admissions of all
// fronts together are at most rate times its length and the burst, by this instance's clock.
type Authority struct {
	policy       Policy
	session      placement.Session
	longestLease time.Duration   // the longest that was told
	configuredAt time.Duration   // of the policy
	shards       []ownershipTerm // by shard
	revocation   revocation

	table     *placement.Table
	transfers []*Transfer
	ledgers   map[Key]*ledger
	grantSeq  uint64
}

// NewAuthority owns nothing yet.
func NewAuthority() *Authority {
	return &Authority{
		ledgers:    map[Key]*ledger{},
		revocation: newRevocation(),
		shards:     make([]ownershipTerm, placement.ShardCount),
	}
}

// Configure takes over a policy. Hazard: what was lent under another one is void at every front that runs
// this, so nothing is out; what had been spent is spent.
func (a *Authority) Configure(now time.Duration, p Policy) {
	if p.Version == a.policy.Version {
		return
	}
	for k, b := range a.ledgers {
		a.refill(now, b)
		l, ok := p.LimitOf(k)
		if !ok {
			delete(a.ledgers, k)
			continue
		}
		_, burst := p.lendable(l)
		b.level, b.limit = min(b.level, burst), l
		clear(b.borrowers)
	}
	// Hazard: a bucket that is not known here had another limit, or none, and may have been used up a moment
	// ago. It fills from here on.
	a.configuredAt, a.policy = now, p
}

// SetView takes over who is there. Every view must be told, in order; skipped says that some were not. Lease
// is the longest for which an earlier owner may still act by an older view.
//
// Hazard: an earlier owner may have lent all there is a moment before it lost the shard, and may go on to
// until its lease has surely run out. A shard that comes to us is lent from only when the last such slice has
// surely run out, whatever the clocks' paces are. Where it is known that the owner has ended, its lease need
// not be waited for.
func (a *Authority) SetView(now time.Duration, t *placement.Table, own placement.Session, lease time.Duration,
	skipped bool) {
	same := own == a.session && !skipped
	// Hazard: the configuration may name a shorter lease now than when an earlier owner's was granted.
	if a.transfers = nil; !skipped {
		a.prepareTransfers(now, t)
	}
	was := a.table
	a.session, a.table, a.longestLease = own, t, max(a.longestLease, lease)
	lasts := now + rollout.ExpiryWait(a.longestLease)
	a.revocation.setView(t, was, lasts, skipped)
	for s := range a.shards {
		h := &a.shards[s]
		m, ok := t.Owner(s)
		x, had := was.Owner(s)
		switch {
		case skipped || !had:
			h.previousLeaseEnds = lasts
		case x.Session == m.Session && ok:
		case slices.Contains(t.View.Expired, x.Session):
			h.previousLeaseEnds = max(h.previousLeaseEnds, now)
		default:
			h.previousLeaseEnds = max(h.previousLeaseEnds, lasts)
		}
		mine := ok && own.Epoch != 0 && m.Session == own
		if mine && !(same && h.owned) {
			h.settled, h.sinceView, h.previousOwner = false, t.View.Number, placement.Session{}
			// Hazard: where views were passed over, the owner in the last one seen was not the last one.
			if had && !skipped {
				h.previousOwner = x.Session
			}
		}
		h.owned = mine
	}
	for k := range a.ledgers {
		if !a.shards[placement.ShardOf(k.Account)].owned || !same {
			delete(a.ledgers, k)
		}
	}
	a.settleRevoked(now)
}

// lendableFrom is from when on an account may be lent from: once the last slice of an earlier owner, which
// it may have lent up to the end of its last lease, has surely run out.
func (a *Authority) lendableFrom(account string) time.Duration {
	return a.shardLendableFrom(placement.ShardOf(account))
}

func (a *Authority) shardLendableFrom(shard int) time.Duration {
	h := &a.shards[shard]
	if h.settled {
		return max(h.settledAt, a.configuredAt)
	}
	return max(h.previousLeaseEnds+rollout.ExpiryWait(a.policy.GrantDuration), a.configuredAt)
}

// ledgerFor finds a bucket, or makes it.
//
// Hazard: one that is not known here may have been used up by an earlier owner's fronts. It has what has come
// in since the shard is ours to lend from, as if it had been empty then.
func (a *Authority) ledgerFor(now time.Duration, k Key) *ledger {
	if b := a.ledgers[k]; b != nil {
		return b
	}
	l, ok := a.policy.LimitOf(k)
	if !ok {
		return nil
	}
	rate, burst := a.policy.lendable(l)
	shard := placement.ShardOf(k.Account)
	since := max(now-a.shardLendableFrom(shard), 0)
	b := &ledger{shard: shard, limit: l, refilledAt: now, borrowers: map[placement.Session]*borrower{},
		level: min(burst, rate*since.Seconds())}
	a.ledgers[k] = b
	return b
}

// refill has the bucket fill up to where all that is out could come back to it.
func (a *Authority) refill(now time.Duration, b *ledger) {
	rate, burst := a.policy.lendable(b.limit)
	if now > b.inheritedUntil {
		b.inherited = 0
	}
	out := b.inherited
	for seat, l := range b.borrowers {
		// Hazards: a front that is silent may use what it has until that has surely run out; and it may have
		// used it, so that what runs out does not come back to the bucket, which fills at its rate.
		if l.outstanding > 0 && now-l.answeredAt > rollout.ExpiryWait(a.policy.GrantDuration) {
			l.outstanding, l.unacked = 0, nil
		}
		if l.outstanding == 0 && !l.waiting && now-l.answeredAt > rollout.ExpiryWait(a.policy.GrantDuration) {
			delete(b.borrowers, seat)
		}
		out += l.outstanding
	}
	// Hazard: until the shard is ours to lend from, what comes in may be lent by the owner before.
	since := max(b.refilledAt, a.shardLendableFrom(b.shard))
	b.level = min(b.level+rate*max(now-since, 0).Seconds(), burst-float64(out))
	b.refilledAt = now
}

// ReceiveRequest takes a front's word on a bucket of ours.
func (a *Authority) ReceiveRequest(now time.Duration, from placement.Session, ask TokenRequest) {
	if !a.shards[placement.ShardOf(ask.Account)].owned {
		return
	}
	b := a.ledgerFor(now, ask.Key)
	if b == nil {
		return
	}
	// Hazard: up to now what was out could all be used at once, and so the bucket held no more than the rest.
	// It also drops lines that are silent: one that is found before would be lost with this word.
	a.refill(now, b)
	l := b.borrowers[from]
	if l == nil {
		l = &borrower{session: from, answeredAt: now}
		b.borrowers[from] = l
	}
	if ask.Seq <= l.requestSeq {
		return // an older word, or the same again
	}
	l.requestSeq = ask.Seq
	l.unacked = slices.DeleteFunc(l.unacked, func(g unackedGrant) bool { return g.seq <= ask.AckedGrant })
	// Hazard: what is on its way to the front can be used by it, though it knows nothing of it yet.
	out := ask.Remaining
	for _, g := range l.unacked {
		out += g.tokens
	}
	// What the front gave back is in the bucket again; the rest of what is out no more was used.
	//
	// Hazard: an old word may come when what it is about has run out here, and with it a later one that
	// gives it back. What is not known to be out must come out of the bucket, or it would come back to it.
	less := l.outstanding - out
	if less >= ask.Returned {
		b.level += float64(ask.Returned)
	} else if less < 0 {
		_, burst := a.policy.lendable(b.limit)
		b.level = max(b.level+float64(less), min(b.level, -burst))
	}
	l.outstanding = out
	a.refill(now, b)
	l.wanted, l.requestSentAt, l.waiting = ask.Wanted, ask.SentAt, true
}

// Tick answers the fronts that have asked since the last one. It must be called in the turn in which the
// instance has looked at its right, and only while that lasts.
func (a *Authority) Tick(now time.Duration) map[placement.Session][]Grant {
	out := map[placement.Session][]Grant{}
	a.settleRevoked(now)
	for k, b := range a.ledgers {
		a.refill(now, b)
		lines := make([]*borrower, 0, len(b.borrowers))
		for _, l := range b.borrowers {
			if l.waiting {
				lines = append(lines, l)
			}
		}
		if len(lines) == 0 {
			if _, burst := a.policy.lendable(b.limit); len(b.borrowers) == 0 && b.level >= burst &&
				b.inherited == 0 &&
				now-a.lendableFrom(k.Account) > time.Duration(burst/max(b.limit.Rate*(1-b.limit.FloorShare),
					1e-12)*1e9) {
				delete(a.ledgers, k) // made anew, it would be full
			}
			continue
		}
		if now >= a.lendableFrom(k.Account) {
			shareMaxMin(int(b.level), lines)
		} else {
			for _, l := range lines {
				l.wanted = 0
			}
		}
		for _, l := range lines {
			l.waiting = false
			if l.wanted > 0 {
				b.level -= float64(l.wanted)
				l.grantedAt = now
			} else if l.outstanding == 0 {
				continue // there is nothing to renew
			}
			a.grantSeq++
			l.outstanding += l.wanted
			l.unacked = append(l.unacked, unackedGrant{a.grantSeq, l.wanted})
			l.answeredAt = now
			out[l.session] = append(
				out[l.session],
				Grant{k, l.requestSeq, a.grantSeq, l.wanted, l.requestSentAt, a.table.View.Number},
			)
		}
	}
	return out
}

// shareMaxMin cuts what is there to what is wanted, by max-min: who has least gets first, and nobody gets
// more while another that wants it has less. What is left of parts goes to who has waited longest.
func shareMaxMin(there int, lines []*borrower) {
	wanted := 0
	for _, l := range lines {
		wanted += l.wanted
	}
	if wanted <= there {
		return
	}
	gives := func(level int) (sum int) {
		for _, l := range lines {
			sum += min(max(level-l.outstanding, 0), l.wanted)
		}
		return sum
	}
	low, high := 0, 1 // all can have low, and not high
	for gives(high) <= there {
		low, high = high, 2*high
	}
	for high-low > 1 {
		if mid := (low + high) / 2; gives(mid) <= there {
			low = mid
		} else {
			high = mid
		}
	}
	slices.SortFunc(lines, func(x, y *borrower) int {
		return cmp.Or(cmp.Compare(x.grantedAt, y.grantedAt), cmp.Compare(x.session.Member, y.session.Member))
	})
	rest := there - gives(low)
	for _, l := range lines {
		most := l.wanted
		l.wanted = min(max(low-l.outstanding, 0), most)
		if rest > 0 && l.wanted < most && l.outstanding+l.wanted <= low {
			l.wanted++
			rest--
		}
	}
}
