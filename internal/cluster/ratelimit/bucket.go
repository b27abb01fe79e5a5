package ratelimit

import (
	"math"
	"time"

	"moorstack/internal/cluster/placement"
)

// localBucket is what a front has of one bucket: tokens of the current owner, of the one before, and a floor.
type localBucket struct {
	limit             Limit
	owner             placement.Session // zero: none has been sent a request
	tokens            int
	expiresAt         time.Duration
	ackedGrant        uint64
	previousTokens    int // of the owner before
	previousExpiresAt time.Duration
	// minRequestSeq is that of the newest request before this bucket and owner: answers up to it are void.
	minRequestSeq uint64

	floorTokens     float64
	floorRefilledAt time.Duration

	calls    int     // since the last tick
	demand   float64 // calls a tick, smoothed
	reported bool    // the last request was not empty
}

// minDemand is the smoothed demand, in calls a tick, below which a bucket without calls requests nothing.
const minDemand = 0.1

// demandTicks is for how many ticks of demand a front requests tokens: until the request after the next one
// is answered.
const demandTicks = 3

// changeOwner keeps the tokens as the earlier owner's, which has answered the requests up to a number.
func (b *localBucket) changeOwner(owner placement.Session, requestSeq uint64) {
	if b.tokens > 0 {
		// The tokens of the owner before that are given up: they expire sooner.
		b.previousTokens, b.previousExpiresAt = b.tokens, b.expiresAt
	}
	b.tokens, b.ackedGrant, b.owner, b.minRequestSeq = 0, 0, owner, requestSeq
}

// dropTokens drops all tokens but the floor's, and the owner.
func (b *localBucket) dropTokens(requestSeq uint64) {
	b.tokens, b.previousTokens = 0, 0
	b.changeOwner(placement.Session{}, requestSeq)
}

// expire drops tokens that have expired.
//
// Hazard: tokens that have expired here may have been lent to another front.
func (b *localBucket) expire(now time.Duration) {
	if now >= b.expiresAt {
		b.tokens = 0
	}
	if now >= b.previousExpiresAt {
		b.previousTokens = 0
	}
}

// refillFloor adds what has come in; without floors there is none.
func (b *localBucket) refillFloor(now time.Duration, p *Policy, active bool) {
	if !active || b.limit.FloorShare <= 0 {
		b.floorTokens = 0
		return
	}
	more := p.floorRate(b.limit) * (now - b.floorRefilledAt).Seconds()
	b.floorTokens = min(p.floorBurst(b.limit), b.floorTokens+more)
	b.floorRefilledAt = now
}

func (b *localBucket) hasToken() bool {
	return b.floorTokens >= 1 || b.previousTokens > 0 || b.tokens > 0
}

// spend takes one token, first of those that can't be returned.
func (b *localBucket) spend() {
	switch {
	case b.floorTokens >= 1:
		b.floorTokens--
	case b.previousTokens > 0:
		b.previousTokens--
	default:
		b.tokens--
	}
}

// endTick takes the calls since the last tick, and returns how many tokens the bucket needs.
func (b *localBucket) endTick() (needed int) {
	calls := float64(b.calls)
	b.demand += (calls - b.demand) / 2
	b.calls = 0
	if calls > 0 || b.demand > minDemand {
		needed = int(math.Ceil(max(b.demand, calls) * demandTicks))
	}
	return needed
}

// unused is that the bucket is as one that was never made.
func (b *localBucket) unused(p *Policy) bool {
	return b.previousTokens == 0 && (b.limit.FloorShare == 0 || b.floorTokens >= p.floorBurst(b.limit))
}

// request fills in what is requested, and gives back what is far more than needed. It returns false if there
// is nothing to send.
func (b *localBucket) request(r *TokenRequest, needed int) bool {
	r.AckedGrant = b.ackedGrant
	r.Returned = max(0, b.tokens-2*needed)
	b.tokens -= r.Returned
	r.Remaining, r.Wanted = b.tokens, max(0, needed-b.tokens)
	if r.Remaining == 0 && r.Wanted == 0 && r.Returned == 0 && !b.reported {
		return false
	}
	b.reported = r.Remaining > 0 || r.Wanted > 0
	return true
}
