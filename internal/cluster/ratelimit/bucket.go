package ratelimit

import (
	"math"
	"time"

	"moorstack/internal/cluster/placement"
)

// localBucket holds a front's tokens of one bucket: those lent by the current owner, those lent by the
// previous owner, and the front's floor.
type localBucket struct {
	limit             Limit
	owner             placement.Session // zero: no request has been sent to an owner
	tokens            int
	expiresAt         time.Duration
	ackedGrant        uint64
	previousTokens    int // lent by the previous owner
	previousExpiresAt time.Duration
	// staleRequestSeq is the number of the last request before the bucket was created or its owner changed.
	// Grants that answer requests up to this number are ignored.
	staleRequestSeq uint64

	floorTokens     float64
	floorRefilledAt time.Duration

	calls               int     // since the last tick
	demand              float64 // calls per tick, smoothed
	lastRequestNonEmpty bool    // the last request had Remaining or Wanted above 0
}

// minDemand is the smoothed demand, in calls per tick, up to which a bucket without calls requests nothing.
const minDemand = 0.1

// demandTicks is the number of ticks whose demand a request covers. Tokens must last until the request after
// the next one is answered.
const demandTicks = 3

// changeOwner sets a new owner and keeps the current tokens as those of the previous owner. Grants that
// answer requests up to requestSeq will be ignored.
func (b *localBucket) changeOwner(owner placement.Session, requestSeq uint64) {
	if b.tokens > 0 {
		// Tokens of the owner before that one are discarded, since they expire sooner.
		b.previousTokens, b.previousExpiresAt = b.tokens, b.expiresAt
	}
	b.tokens, b.ackedGrant, b.owner, b.staleRequestSeq = 0, 0, owner, requestSeq
}

// dropTokens discards all tokens except the floor's, and resets the owner.
func (b *localBucket) dropTokens(requestSeq uint64) {
	b.tokens, b.previousTokens = 0, 0
	b.changeOwner(placement.Session{}, requestSeq)
}

// expire discards expired tokens. The authority may already have lent them to another front.
func (b *localBucket) expire(now time.Duration) {
	if now >= b.expiresAt {
		b.tokens = 0
	}
	if now >= b.previousExpiresAt {
		b.previousTokens = 0
	}
}

// refillFloor adds the floor tokens that accrued since the last refill. It empties the floor if floors are
// not active or the limit has none.
func (b *localBucket) refillFloor(now time.Duration, p *Policy, active bool) {
	if !active || b.limit.FloorShare <= 0 {
		b.floorTokens = 0
		return
	}
	added := p.floorRate(b.limit) * (now - b.floorRefilledAt).Seconds()
	b.floorTokens = min(p.floorBurst(b.limit), b.floorTokens+added)
	b.floorRefilledAt = now
}

func (b *localBucket) hasToken() bool {
	return b.floorTokens >= 1 || b.previousTokens > 0 || b.tokens > 0
}

// spend takes one token. It prefers floor tokens and those of the previous owner, which can't be returned.
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

// endTick updates the demand with the calls since the last tick and returns how many tokens the bucket needs.
func (b *localBucket) endTick() (needed int) {
	calls := float64(b.calls)
	b.demand += (calls - b.demand) / 2
	b.calls = 0
	if calls > 0 || b.demand > minDemand {
		needed = int(math.Ceil(max(b.demand, calls) * demandTicks))
	}
	return needed
}

// unused reports whether the bucket can be deleted without effect: one created in its place would hold the
// same tokens. It assumes that the bucket has no tokens of its current owner.
func (b *localBucket) unused(p *Policy) bool {
	return b.previousTokens == 0 && (b.limit.FloorShare == 0 || b.floorTokens >= p.floorBurst(b.limit))
}

// fillRequest fills in the token counts of a request, and returns tokens in excess of twice the need. It
// returns false if there is nothing to send.
func (b *localBucket) fillRequest(r *TokenRequest, needed int) bool {
	r.AckedGrant = b.ackedGrant
	r.Returned = max(0, b.tokens-2*needed)
	b.tokens -= r.Returned
	r.Remaining, r.Wanted = b.tokens, max(0, needed-b.tokens)
	if r.Remaining == 0 && r.Wanted == 0 && r.Returned == 0 && !b.lastRequestNonEmpty {
		return false
	}
	b.lastRequestNonEmpty = r.Remaining > 0 || r.Wanted > 0
	return true
}
