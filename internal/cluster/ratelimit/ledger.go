package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// unackedGrant is a grant that its front has not acknowledged yet.
type unackedGrant struct {
	seq    uint64
	tokens int
}

// borrower is a bucket's record of the tokens lent to one front.
type borrower struct {
	session       placement.Session
	requestSeq    uint64
	outstanding   int // the most tokens that the front may hold
	unacked       []unackedGrant
	answeredAt    time.Duration // when a grant was last sent to it, or it was added
	wanted        int           // requested tokens; Tick reduces them to those allocated
	requestSentAt time.Duration // on the front's clock
	waiting       bool          // its newest request has not been answered
	grantedAt     time.Duration // when it was last lent new tokens
}

// ledger is an authority's record of a bucket: the tokens left to lend and those lent to each front.
type ledger struct {
	shard      int
	limit      Limit
	level      float64 // tokens that may be lent; if negative, as many must accrue first
	refilledAt time.Duration
	borrowers  map[placement.Session]*borrower
	// inherited is the number of tokens lent by earlier owners that may be outstanding. All of them have
	// certainly expired after inheritedUntil.
	inherited      int
	inheritedUntil time.Duration
}

// resetLevel sets the level to that of a bucket that has been filling from empty for fillTime.
func (l *ledger) resetLevel(now, fillTime time.Duration, p *Policy) {
	rate, burst := p.lendable(l.limit)
	l.level, l.refilledAt = min(burst, rate*fillTime.Seconds()), now
}

// inherit records the tokens that an earlier owner has lent and that may be outstanding now.
func (l *ledger) inherit(now time.Duration, outstanding int, p *Policy) {
	l.inherited, l.inheritedUntil = outstanding, now+p.grantExpiryWait()
}

// refill adds the tokens that accrued at the rate, up to the level at which all outstanding tokens could
// still be returned.
func (l *ledger) refill(now, lendableFrom time.Duration, p *Policy) {
	rate, burst := p.lendable(l.limit)
	if now > l.inheritedUntil {
		l.inherited = 0
	}
	for session, b := range l.borrowers {
		// A silent front may use its tokens until they have certainly expired. It may also have used them
		// already, so expired tokens do not return to the bucket, which refills only at its rate.
		if now-b.answeredAt > p.grantExpiryWait() {
			if b.outstanding > 0 {
				b.outstanding, b.unacked = 0, nil
			}
			if !b.waiting {
				delete(l.borrowers, session)
			}
		}
	}
	// Tokens that accrue before the shard is lendable may be lent by an earlier owner, so they don't count.
	since := max(l.refilledAt, lendableFrom)
	l.level = min(l.level+rate*max(now-since, 0).Seconds(), burst-float64(l.outstanding()))
	l.refilledAt = now
}

// outstanding returns the most tokens that all fronts together may hold.
func (l *ledger) outstanding() int {
	sum := l.inherited
	for _, b := range l.borrowers {
		sum += b.outstanding
	}
	return sum
}

// applyRequest updates a borrower's outstanding tokens, and the bucket's level, from its newest request.
func (l *ledger) applyRequest(b *borrower, r TokenRequest, burst float64) {
	b.requestSeq = r.Seq
	b.unacked = slices.DeleteFunc(b.unacked, func(g unackedGrant) bool { return g.seq <= r.AckedGrant })
	// The front did not know of grants in transit when it sent the request, but can use them on arrival.
	outstanding := r.Remaining
	for _, g := range b.unacked {
		outstanding += g.tokens
	}
	// Returned tokens go back to the bucket; the other tokens that are no longer outstanding were used.
	//
	// A late request may arrive after its tokens have expired here, followed by one that returns them. Tokens
	// that did not count as outstanding are therefore deducted from the bucket first. Otherwise, returning
	// them would add tokens to the bucket that had already expired.
	decrease := b.outstanding - outstanding
	if decrease >= r.Returned {
		l.level += float64(r.Returned)
	} else if decrease < 0 {
		l.level = max(l.level+float64(decrease), min(l.level, -burst))
	}
	b.outstanding = outstanding
}

// waiting returns the borrowers whose newest request has not been answered.
func (l *ledger) waiting() []*borrower {
	list := make([]*borrower, 0, len(l.borrowers))
	for _, b := range l.borrowers {
		if b.waiting {
			list = append(list, b)
		}
	}
	return list
}

// idle reports whether the bucket is full, with no borrowers and no outstanding tokens.
func (l *ledger) idle(p *Policy) bool {
	_, burst := p.lendable(l.limit)
	return len(l.borrowers) == 0 && l.level >= burst && l.inherited == 0
}

// minLendableRate, in tokens per second, replaces a lendable rate of zero: floors may take the whole rate.
const minLendableRate = 1e-12

// timeToFill returns how long an empty bucket takes to fill.
func (l *ledger) timeToFill(p *Policy) time.Duration {
	_, burst := p.lendable(l.limit)
	return time.Duration(burst / max(l.limit.Rate*(1-l.limit.FloorShare), minLendableRate) * 1e9)
}

// allocateMaxMin reduces the borrowers' wanted tokens to the available ones by max-min fairness: no borrower
// gets more tokens while another that wants some has fewer. Tokens left over after the equal division go to
// the borrowers that have waited longest for new tokens.
func allocateMaxMin(available int, borrowers []*borrower) {
	wanted := 0
	for _, b := range borrowers {
		wanted += b.wanted
	}
	if wanted <= available {
		return
	}
	level := fairLevel(available, borrowers)
	slices.SortFunc(borrowers, func(x, y *borrower) int {
		return cmp.Or(cmp.Compare(x.grantedAt, y.grantedAt), cmp.Compare(x.session.Member, y.session.Member))
	})
	remainder := available - tokensToReach(level, borrowers)
	for _, b := range borrowers {
		requested := b.wanted
		b.wanted = min(max(level-b.outstanding, 0), requested)
		if remainder > 0 && b.wanted < requested && b.outstanding+b.wanted <= level {
			b.wanted++
			remainder--
		}
	}
}

// tokensToReach returns how many tokens it takes to raise each borrower's outstanding tokens to a level, or
// to what it wants if that is less.
func tokensToReach(level int, borrowers []*borrower) (sum int) {
	for _, b := range borrowers {
		sum += min(max(level-b.outstanding, 0), b.wanted)
	}
	return sum
}

// fairLevel returns the highest level to which the available tokens can raise all borrowers.
func fairLevel(available int, borrowers []*borrower) int {
	low, high := 0, 1 // bounds of the search: low is reachable, and high is not after the first loop
	for tokensToReach(high, borrowers) <= available {
		low, high = high, 2*high
	}
	for high-low > 1 {
		if middle := (low + high) / 2; tokensToReach(middle, borrowers) <= available {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
