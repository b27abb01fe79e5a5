package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// maxRetryAfter is the longest time after which a rejected call is to be retried.
const maxRetryAfter = time.Minute

// Limiter admits jobs at one front from the tokens that it holds, and requests more from the authorities.
type Limiter struct {
	policy       Policy
	session      placement.Session
	table        *placement.Table
	buckets      map[Key]*localBucket
	requestSeq   uint64
	floorsActive bool
	floorsSince  time.Duration // when floors started to fill from empty
	// confirmationsRemaining is the number of ticks for which drain confirmations are still sent.
	confirmationsRemaining int
}

// NewLimiter returns the limiter of a process that has just started. It limits nothing until it has a policy.
// Floors start empty, since an earlier process of this front may have used them just now.
func NewLimiter(now time.Duration) *Limiter {
	return &Limiter{buckets: map[Key]*localBucket{}, floorsSince: now}
}

// Configure sets the policy. It must be called in the event loop turn in which the front starts to apply it.
// Tokens lent under another policy are discarded, since the same bucket may be smaller under this one.
func (l *Limiter) Configure(now time.Duration, p Policy) {
	if p.Version == l.policy.Version {
		return
	}
	l.policy, l.confirmationsRemaining = p, confirmationSends
	clear(l.buckets)
	l.floorsSince = now
	l.updateFloors(now)
}

// SetView sets the view of the group and this front's own session in it; self is zero if it has none.
//
// A front whose session changes loses its tokens. While it had no session, nobody waited for its drain
// confirmation, so an instance that became owner since then assumes that the front has no tokens.
func (l *Limiter) SetView(now time.Duration, t *placement.Table, self placement.Session) {
	if self != l.session {
		for _, b := range l.buckets {
			b.dropTokens(l.requestSeq)
		}
	}
	l.table, l.session, l.confirmationsRemaining = t, self, confirmationSends
	l.updateFloors(now)
}

// updateFloors activates or deactivates floors. Their sum stays within the limit only while the view has no
// more members than Policy.MaxFronts.
func (l *Limiter) updateFloors(now time.Duration) {
	active := l.table != nil && len(l.table.View.Members) <= l.policy.MaxFronts
	if active && !l.floorsActive {
		l.floorsSince = now
		for _, b := range l.buckets {
			b.floorTokens, b.floorRefilledAt = 0, now
		}
	}
	l.floorsActive = active
}

// Enabled reports whether rate limits are configured.
func (l *Limiter) Enabled() bool { return l.policy.Version != 0 }

// Policy returns the current policy. The caller must not change it.
func (l *Limiter) Policy() *Policy { return &l.policy }

// bucketFor returns the bucket of a key, creating it if necessary. It returns nil if the key has no limit.
func (l *Limiter) bucketFor(now time.Duration, k Key) *localBucket {
	if b := l.buckets[k]; b != nil {
		return b
	}
	limit, ok := l.policy.LimitOf(k)
	if !ok {
		return nil
	}
	b := &localBucket{limit: limit, staleRequestSeq: l.requestSeq}
	// The bucket did not exist, so none of its floor has been used since floors started to fill.
	b.floorTokens = min(l.policy.floorBurst(limit), l.policy.floorRate(limit)*(now-l.floorsSince).Seconds())
	b.floorRefilledAt = now
	l.buckets[k] = b
	return b
}

// refresh refills a bucket's floor and discards its expired tokens.
func (l *Limiter) refresh(now time.Duration, b *localBucket) {
	b.refillFloor(now, &l.policy, l.floorsActive)
	b.expire(now)
}

// Rejection names the bucket that had no token for a job, and the time after which to retry.
type Rejection struct {
	Key        Key
	RetryAfter time.Duration
}

// Admit takes a token from the bucket of a job's account, and one from the bucket of its class if that has a
// limit. If either has none, Admit takes no token and returns false with the rejection. It must be called in
// the event loop turn that admits the job, with the time read in that turn: the process may have stalled
// since any earlier reading.
func (l *Limiter) Admit(now time.Duration, account, class string) (Rejection, bool) {
	if l.policy.Version == 0 {
		return Rejection{}, true
	}
	accountBucket := l.bucketFor(now, Key{Account: account})
	var classBucket *localBucket
	if len(l.policy.ClassLimits) > 0 {
		classBucket = l.bucketFor(now, Key{account, class})
	}
	if !l.recordCall(now, accountBucket) {
		return Rejection{Key{Account: account}, l.retryAfter(accountBucket)}, false
	}
	if !l.recordCall(now, classBucket) {
		return Rejection{Key{account, class}, l.retryAfter(classBucket)}, false
	}
	for _, b := range [...]*localBucket{accountBucket, classBucket} {
		if b != nil {
			b.spend()
		}
	}
	return Rejection{}, true
}

// recordCall counts a call at a bucket and reports whether the bucket has a token for it. A nil bucket has no
// limit.
func (l *Limiter) recordCall(now time.Duration, b *localBucket) bool {
	if b == nil {
		return true
	}
	b.calls++
	l.refresh(now, b)
	return b.hasToken()
}

// retryAfter returns the time after which a job is likely to be admitted: the next request is sent within a
// tick and answered within another, and tokens accrue at the bucket's rate.
func (l *Limiter) retryAfter(b *localBucket) time.Duration {
	perToken := time.Duration(float64(time.Second) / b.limit.Rate)
	return min(max(2*l.policy.TickInterval, perToken), maxRetryAfter)
}

// Tick returns the messages to send now, by the session of the receiving authority: token requests and, for
// some ticks after a view or a policy was set, drain confirmations. It must be called once per
// Policy.TickInterval.
func (l *Limiter) Tick(now time.Duration) (requests map[placement.Session][]TokenRequest,
	confirmations map[placement.Session][]DrainConfirmation) {
	requests = map[placement.Session][]TokenRequest{}
	l.requestSeq++
	for k, b := range l.buckets {
		l.refresh(now, b)
		needed := b.endTick()
		owner, ok := l.table.Owner(placement.ShardOf(k.Account))
		if !ok || l.session.Epoch == 0 {
			continue
		}
		if b.owner != owner.Session {
			b.changeOwner(owner.Session, l.requestSeq-1)
		}
		r := TokenRequest{Key: k, Seq: l.requestSeq, SentAt: now}
		if b.fillRequest(&r, needed) {
			requests[owner.Session] = append(requests[owner.Session], r)
		} else if b.unused(&l.policy) {
			delete(l.buckets, k)
		}
	}
	return requests, l.drainConfirmations(now)
}

// ReceiveGrant adds the tokens of an authority's grant. A grant may arrive late, twice or after a newer one:
//   - The lifetime of the tokens starts before the request for them was sent. If it started when the grant
//     arrived, the authority might have counted them as expired long before.
//   - A bucket that was deleted as unused and created again ignores grants to its predecessor, which may
//     already have received and used them.
//   - A grant of an earlier view is ignored. An owner that lost the account and regained it no longer knows
//     what it lent in an earlier view, and this front may already have confirmed what it holds.
func (l *Limiter) ReceiveGrant(now time.Duration, from placement.Session, g Grant) {
	if g.View != 0 && l.table != nil && g.View < l.table.View.Number {
		return
	}
	b := l.buckets[g.Key]
	if b == nil || b.owner != from || g.Seq <= b.ackedGrant || g.RequestSeq <= b.staleRequestSeq ||
		g.RequestSeq > l.requestSeq {
		return
	}
	b.ackedGrant = g.Seq
	b.expire(now)
	if expiresAt := g.RequestSentAt + l.policy.GrantDuration; now < expiresAt && expiresAt >= b.expiresAt {
		b.tokens += g.Tokens
		b.expiresAt = expiresAt
	}
}
