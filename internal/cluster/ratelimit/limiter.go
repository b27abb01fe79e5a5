package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// maxRetryAfter bounds the time after which a rejected call is to be retried.
const maxRetryAfter = time.Minute

// Limiter is one front's side: it admits jobs from the tokens that it has, and requests more.
type Limiter struct {
	policy       Policy
	session      placement.Session
	table        *placement.Table
	buckets      map[Key]*localBucket
	requestSeq   uint64
	floorsActive bool
	floorsSince  time.Duration // when floors began to fill
	// confirmationsRemaining is for how many ticks drain confirmations are still sent.
	confirmationsRemaining int
}

// NewLimiter makes the limiter of a process that has just started. Nothing is limited until it has a policy.
//
// Hazard: an earlier process of this front may have spent its floors just now. So floors begin empty.
func NewLimiter(now time.Duration) *Limiter {
	return &Limiter{buckets: map[Key]*localBucket{}, floorsSince: now}
}

// Configure takes over a policy, in the turn of the event loop in which the front begins to run it.
//
// Hazard: tokens of another policy must not be used under this one, where the same bucket may be smaller.
func (f *Limiter) Configure(now time.Duration, p Policy) {
	if p.Version == f.policy.Version {
		return
	}
	f.policy, f.confirmationsRemaining = p, confirmationSends
	clear(f.buckets)
	f.floorsSince = now
	f.updateFloors(now)
}

// SetView takes over a view of the group, and this front's own session in it; none if it has no session.
//
// Hazard: with its session a front loses its tokens. Its drain confirmation was not waited for while it had
// no session, and an owner that has come since counts on its having no tokens.
func (f *Limiter) SetView(now time.Duration, t *placement.Table, own placement.Session) {
	if own != f.session {
		for _, b := range f.buckets {
			b.dropTokens(f.requestSeq)
		}
	}
	f.table, f.session, f.confirmationsRemaining = t, own, confirmationSends
	f.updateFloors(now)
}

// updateFloors begins and ends floors: their sum keeps to the limit only while there are no more fronts than
// the policy allows for.
func (f *Limiter) updateFloors(now time.Duration) {
	active := f.table != nil && len(f.table.View.Members) <= f.policy.MaxFronts
	if active && !f.floorsActive {
		f.floorsSince = now
		for _, b := range f.buckets {
			b.floorTokens, b.floorRefilledAt = 0, now
		}
	}
	f.floorsActive = active
}

// Enabled is whether there is a policy.
func (f *Limiter) Enabled() bool { return f.policy.Version != 0 }

// Policy is the policy in use. It must not be changed.
func (f *Limiter) Policy() *Policy { return &f.policy }

// bucketFor returns the bucket of a key, or makes it; nil: the key has no limit.
func (f *Limiter) bucketFor(now time.Duration, k Key) *localBucket {
	if b := f.buckets[k]; b != nil {
		return b
	}
	limit, ok := f.policy.LimitOf(k)
	if !ok {
		return nil
	}
	b := &localBucket{limit: limit, minRequestSeq: f.requestSeq}
	// Nothing of a bucket that was not there has been spent since floors began.
	b.floorTokens = min(f.policy.floorBurst(limit), f.policy.floorRate(limit)*(now-f.floorsSince).Seconds())
	b.floorRefilledAt = now
	f.buckets[k] = b
	return b
}

// refresh drops what has expired of a bucket, and adds what has come in to its floor.
func (f *Limiter) refresh(now time.Duration, b *localBucket) {
	b.refillFloor(now, &f.policy, f.floorsActive)
	b.expire(now)
}

// Rejection is why a job is not admitted: the bucket that has no token, and when to retry.
type Rejection struct {
	Key        Key
	RetryAfter time.Duration
}

// Admit takes a token of a job's account, and of its class if that has a limit. It returns false with the
// rejection if one is missing, and then takes none. It must be called in the turn of the event loop that
// admits, with the time read in it: the process may have stalled since any earlier one.
func (f *Limiter) Admit(now time.Duration, account, class string) (Rejection, bool) {
	if f.policy.Version == 0 {
		return Rejection{}, true
	}
	ofAccount := f.bucketFor(now, Key{Account: account})
	var ofClass *localBucket
	if len(f.policy.ClassLimits) > 0 {
		ofClass = f.bucketFor(now, Key{account, class})
	}
	if !f.hasToken(now, ofAccount) {
		return Rejection{Key{Account: account}, f.retryAfter(ofAccount)}, false
	}
	if !f.hasToken(now, ofClass) {
		return Rejection{Key{account, class}, f.retryAfter(ofClass)}, false
	}
	for _, b := range [...]*localBucket{ofAccount, ofClass} {
		if b != nil {
			b.spend()
		}
	}
	return Rejection{}, true
}

// hasToken counts a call, and is whether the bucket has a token for it; nil: there is no limit.
func (f *Limiter) hasToken(now time.Duration, b *localBucket) bool {
	if b == nil {
		return true
	}
	b.calls++
	f.refresh(now, b)
	return b.hasToken()
}

// retryAfter is when a job is likely to be admitted: the next request is sent within a tick and answered
// within another, and tokens come in at the bucket's rate.
func (f *Limiter) retryAfter(b *localBucket) time.Duration {
	perToken := time.Duration(float64(time.Second) / b.limit.Rate)
	return min(max(2*f.policy.TickInterval, perToken), maxRetryAfter)
}

// Tick returns what is to be sent now, by the session of the receiving authority: requests for tokens, and
// after a view the confirmations of the tokens of earlier owners. It must be called once each
// Policy.TickInterval.
func (f *Limiter) Tick(now time.Duration) (requests map[placement.Session][]TokenRequest,
	confirmations map[placement.Session][]DrainConfirmation) {
	requests = map[placement.Session][]TokenRequest{}
	f.requestSeq++
	for k, b := range f.buckets {
		f.refresh(now, b)
		needed := b.endTick()
		owner, ok := f.table.Owner(placement.ShardOf(k.Account))
		if !ok || f.session.Epoch == 0 {
			continue
		}
		if b.owner != owner.Session {
			b.changeOwner(owner.Session, f.requestSeq-1)
		}
		r := TokenRequest{Key: k, Seq: f.requestSeq, SentAt: now}
		if b.request(&r, needed) {
			requests[owner.Session] = append(requests[owner.Session], r)
		} else if b.unused(&f.policy) {
			delete(f.buckets, k)
		}
	}
	return requests, f.drainConfirmations(now)
}

// ReceiveGrant takes an authority's grant.
//
// Hazard: it may arrive late, twice, or after a newer one. Its tokens last from the moment before they were
// requested: from the answer on, the authority may have counted them as expired long ago. A bucket that was
// deleted as unused and made again takes no grant to the one before, which may have received and used it. And
// an owner that has lost the account and regained it does not know any more what it lent by an earlier view,
// while this front may have confirmed already what it has.
func (f *Limiter) ReceiveGrant(now time.Duration, from placement.Session, g Grant) {
	if g.View != 0 && f.table != nil && g.View < f.table.View.Number {
		return
	}
	b := f.buckets[g.Key]
	if b == nil || b.owner != from || g.Seq <= b.ackedGrant || g.RequestSeq <= b.minRequestSeq ||
		g.RequestSeq > f.requestSeq {
		return
	}
	b.ackedGrant = g.Seq
	b.expire(now)
	if expiresAt := g.RequestSentAt + f.policy.GrantDuration; now < expiresAt && expiresAt >= b.expiresAt {
		b.tokens += g.Tokens
		b.expiresAt = expiresAt
	}
}
