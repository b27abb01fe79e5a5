package ratelimit

import (
	"maps"
	"math"
	"time"

	"moorstack/internal/cluster/placement"
)

// TokenRequest is a front's word to the authority of a bucket.
type TokenRequest struct {
	Key
	Seq        uint64        // grows with every word of this front
	AckedGrant uint64        // the newest grant that has come
	Remaining  int           // what is left of all that has come
	Returned   int           // what is given back with this word
	Wanted     int           // more
	SentAt     time.Duration // the front's clock, before it asked; comes back with the grant
}

// Grant is the authority's answer: so many jobs more, and all that was kept lasts from Asked on anew.
type Grant struct {
	Key
	RequestSeq    uint64
	Seq           uint64
	Tokens        int
	RequestSentAt time.Duration
	View          uint64 // by which it was lent; 0: by an older program, which does not say
}

// localBucket is what a front has of one bucket.
type localBucket struct {
	limit             Limit
	owner             placement.Session // the authority that what follows is from
	tokens            int
	expiresAt         time.Duration
	ackedGrant        uint64
	createdAtSeq      uint64 // answers to this word, and to any before, are about what was here before
	previousTokens    int    // of an authority before that one
	previousExpiresAt time.Duration

	floorTokens     float64
	floorRefilledAt time.Duration

	calls, rejected int     // since the last word
	demand          float64 // calls a tick, lately
	reported        bool    // the last word said that something is kept or wanted
}

// Limiter is one front's side: what it may admit at once, and what it asks for.
type Limiter struct {
	policy            Policy
	session           placement.Session
	table             *placement.Table
	buckets           map[Key]*localBucket
	requestSeq        uint64
	floorsSince       time.Duration // since when this front has floors
	floorsActive      bool          // it has
	confirmationsLeft int           // for so many ticks it says what it has of owners before
}

// NewLimiter is for one life of a front. Nothing is limited until it has a policy.
//
// Hazard: an earlier life may have spent its floors just now. So those of a new one begin empty.
func NewLimiter(now time.Duration) *Limiter {
	return &Limiter{buckets: map[Key]*localBucket{}, floorsSince: now}
}

// Configure takes over a policy, in the turn in which the front begins to run it. Hazard: what was lent
// under another one must not be used under this, where the same bucket may be smaller.
func (f *Limiter) Configure(now time.Duration, p Policy) {
	if p.Version == f.policy.Version {
		return
	}
	f.policy, f.confirmationsLeft = p, confirmationSends
	clear(f.buckets)
	f.floorsSince = now
	f.updateFloors(now)
}

// SetView takes over who is there, and which session is this front's.
//
// Hazard: with its session a front loses what it was lent. It was not asked what it has while it had none,
// and an owner that has come since counts on its having nothing.
func (f *Limiter) SetView(now time.Duration, t *placement.Table, own placement.Session) {
	if own != f.session {
		for _, w := range f.buckets {
			w.tokens, w.previousTokens = 0, 0
			w.retire(f.requestSeq)
		}
	}
	f.table, f.session, f.confirmationsLeft = t, own, confirmationSends
	f.updateFloors(now)
}

// updateFloors begins and ends floors: they add up only while there are no more fronts than parts.
func (f *Limiter) updateFloors(now time.Duration) {
	has := f.table != nil && len(f.table.View.Members) <= f.policy.MaxFronts
	if has && !f.floorsActive {
		f.floorsSince = now
		for _, w := range f.buckets {
			w.floorTokens, w.floorRefilledAt = 0, now
		}
	}
	f.floorsActive = has
}

// retire keeps what is left as an earlier authority's, which answered the words up to one.
func (w *localBucket) retire(word uint64) {
	if w.tokens > 0 {
		// what was there before is given up: it ends sooner
		w.previousTokens, w.previousExpiresAt = w.tokens, w.expiresAt
	}
	w.tokens, w.ackedGrant, w.owner, w.createdAtSeq = 0, 0, placement.Session{}, word
}

// Enabled says whether anything is.
func (f *Limiter) Enabled() bool { return f.policy.Version != 0 }

// Policy is the one that is run.
func (f *Limiter) Policy() *Policy { return &f.policy }

// bucketFor finds the wallet of a key, or makes it; nil: the key has no limit.
func (f *Limiter) bucketFor(now time.Duration, k Key) *localBucket {
	if w := f.buckets[k]; w != nil {
		return w
	}
	l, ok := f.policy.LimitOf(k)
	if !ok {
		return nil
	}
	w := &localBucket{limit: l, createdAtSeq: f.requestSeq}
	// One that was not there has had nothing spent since the floors began.
	w.floorTokens = min(f.policy.floorBurst(l), f.policy.floorRate(l)*(now-f.floorsSince).Seconds())
	w.floorRefilledAt = now
	f.buckets[k] = w
	return w
}

// Rejection is why a job is not admitted, and when to come back.
type Rejection struct {
	Key        Key
	RetryAfter time.Duration
}

// Admit admits a job of an account and class, or refuses it. It must be called in the turn that admits, with
// the clock as it is then: the process may have stood still since anything else was looked at.
func (f *Limiter) Admit(now time.Duration, account, class string) (Rejection, bool) {
	if f.policy.Version == 0 {
		return Rejection{}, true
	}
	a := f.bucketFor(now, Key{Account: account})
	var c *localBucket
	if len(f.policy.ClassLimits) > 0 {
		c = f.bucketFor(now, Key{account, class})
	}
	for i, w := range [...]*localBucket{a, c} {
		if w == nil {
			continue
		}
		if w.calls++; !f.hasToken(now, w) {
			w.rejected++
			k := Key{Account: account}
			if i == 1 {
				k.Class = class
			}
			return Rejection{k, f.retryAfter(w)}, false
		}
	}
	for _, w := range [...]*localBucket{a, c} {
		if w != nil {
			w.spend()
		}
	}
	return Rejection{}, true
}

// hasToken says whether a wallet has one job left.
func (f *Limiter) hasToken(now time.Duration, w *localBucket) bool {
	if f.floorsActive && w.limit.FloorShare > 0 {
		more := f.policy.floorRate(w.limit) * (now - w.floorRefilledAt).Seconds()
		w.floorTokens = min(f.policy.floorBurst(w.limit), w.floorTokens+more)
		w.floorRefilledAt = now
	} else {
		w.floorTokens = 0
	}
	w.expire(now)
	return w.floorTokens >= 1 || w.previousTokens > 0 || w.tokens > 0
}

// expire drops what has ended. Hazard: what has ended here may have been lent to another.
func (w *localBucket) expire(now time.Duration) {
	if now >= w.expiresAt {
		w.tokens = 0
	}
	if now >= w.previousExpiresAt {
		w.previousTokens = 0
	}
}

// spend takes one job, first from what can't be given to others.
func (w *localBucket) spend() {
	switch {
	case w.floorTokens >= 1:
		w.floorTokens--
	case w.previousTokens > 0:
		w.previousTokens--
	default:
		w.tokens--
	}
}

// retryAfter is when a job is likely to be admitted: the next words are said within a tick and heard of after
// another, and what an account has comes at its rate.
func (f *Limiter) retryAfter(w *localBucket) time.Duration {
	one := time.Duration(float64(time.Second) / w.limit.Rate)
	return min(max(2*f.policy.TickInterval, one), time.Minute)
}

// demandTicks is for how many ticks of demand a front asks: until the word after the next one is answered.
const demandTicks = 3

// Tick gives the words that are to be said now, by the session of the authority: what is asked for, and
// after a view what was left of those before.
func (f *Limiter) Tick(
	now time.Duration,
) (map[placement.Session][]TokenRequest, map[placement.Session][]DrainConfirmation) {
	out := map[placement.Session][]TokenRequest{}
	f.requestSeq++
	for k, w := range f.buckets {
		f.hasToken(now, w)
		w.demand += (float64(w.calls) - w.demand) / 2
		calls := w.calls
		w.calls, w.rejected = 0, 0
		owner, ok := f.table.Owner(placement.ShardOf(k.Account))
		if !ok || f.session.Epoch == 0 {
			continue
		}
		if w.owner != owner.Session {
			w.retire(f.requestSeq - 1)
			w.owner = owner.Session
		}
		need := 0
		if calls > 0 || w.demand > 0.1 {
			need = int(math.Ceil(max(w.demand, float64(calls)) * demandTicks))
		}
		a := TokenRequest{Key: k, Seq: f.requestSeq, AckedGrant: w.ackedGrant, SentAt: now}
		if a.Returned = max(0, w.tokens-2*need); a.Returned > 0 {
			w.tokens -= a.Returned
		}
		a.Remaining, a.Wanted = w.tokens, max(0, need-w.tokens)
		if a.Remaining == 0 && a.Wanted == 0 && a.Returned == 0 && !w.reported {
			if w.previousTokens == 0 &&
				(w.limit.FloorShare == 0 || w.floorTokens >= f.policy.floorBurst(w.limit)) {
				delete(f.buckets, k) // it is as one that was never there
			}
			continue
		}
		w.reported = a.Remaining > 0 || a.Wanted > 0
		out[owner.Session] = append(out[owner.Session], a)
	}
	return out, f.drainConfirmations(now)
}

// ReceiveGrant takes an authority's answer.
//
// Hazard: it may come late, twice, or after a newer one. What it grants lasts from the moment before it was
// asked for: from the answer on, the authority may have counted it as over long ago. A wallet that was
// given up as empty and made anew takes no answer to the one before, which has had and used it, perhaps. And
// one that has lost the account and got it back meanwhile does not know any more what it lent by an earlier
// view, while this front may have said already what it has.
func (f *Limiter) ReceiveGrant(now time.Duration, from placement.Session, g Grant) {
	w := f.buckets[g.Key]
	if g.View != 0 && f.table != nil && g.View < f.table.View.Number {
		return
	}
	if w == nil || w.owner != from || g.Seq <= w.ackedGrant || g.RequestSeq <= w.createdAtSeq ||
		g.RequestSeq > f.requestSeq {
		return
	}
	w.ackedGrant = g.Seq
	w.expire(now)
	if ends := g.RequestSentAt + f.policy.GrantDuration; now < ends && ends >= w.expiresAt {
		w.tokens += g.Tokens
		w.expiresAt = ends
	}
}

// Available is what a front has of its buckets, for people.
func (f *Limiter) Available(now time.Duration) map[Key]int {
	out := map[Key]int{}
	for k, w := range maps.All(f.buckets) {
		f.hasToken(now, w)
		out[k] = w.tokens + w.previousTokens + int(w.floorTokens)
	}
	return out
}
