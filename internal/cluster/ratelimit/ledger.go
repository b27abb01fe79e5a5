package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// unackedGrant is a grant that its front has not acknowledged.
type unackedGrant struct {
	seq    uint64
	tokens int
}

// borrower is a front as the ledger of a bucket has it.
type borrower struct {
	session       placement.Session
	requestSeq    uint64
	outstanding   int // the most tokens that it may have
	unacked       []unackedGrant
	answeredAt    time.Duration // when it was last sent a grant
	wanted        int
	requestSentAt time.Duration // on its own clock
	waiting       bool          // its newest request is not answered
	grantedAt     time.Duration // when it was last given new tokens
}

// ledger is the account of a bucket at its authority.
type ledger struct {
	shard      int
	limit      Limit
	level      float64 // tokens that may be lent; below 0: tokens are owed
	refilledAt time.Duration
	borrowers  map[placement.Session]*borrower
	// inherited is what earlier owners have lent, until it has surely expired.
	inherited      int
	inheritedUntil time.Duration
}

// fillFor sets the level to that of a bucket that has been filling from empty for a time.
func (l *ledger) fillFor(now, filling time.Duration, p *Policy) {
	rate, burst := p.lendable(l.limit)
	l.level, l.refilledAt = min(burst, rate*filling.Seconds()), now
}

// inherit takes over what an earlier owner has lent, as of now.
func (l *ledger) inherit(now time.Duration, outstanding int, p *Policy) {
	l.inherited, l.inheritedUntil = outstanding, now+p.grantExpiryWait()
}

// refill adds what has come in at the rate, up to where all outstanding tokens could still be returned.
func (l *ledger) refill(now, lendableFrom time.Duration, p *Policy) {
	rate, burst := p.lendable(l.limit)
	if now > l.inheritedUntil {
		l.inherited = 0
	}
	for session, b := range l.borrowers {
		// Hazards: a silent front may use what it has until that has surely expired; and it may have used
		// it, so that what expires does not return to the bucket, which fills at its rate only.
		if now-b.answeredAt > p.grantExpiryWait() {
			if b.outstanding > 0 {
				b.outstanding, b.unacked = 0, nil
			}
			if !b.waiting {
				delete(l.borrowers, session)
			}
		}
	}
	// Hazard: until the shard may be lent from, what comes in may be lent by an earlier owner.
	since := max(l.refilledAt, lendableFrom)
	l.level = min(l.level+rate*max(now-since, 0).Seconds(), burst-float64(l.outstanding()))
	l.refilledAt = now
}

// outstanding is the most tokens that all fronts together may have.
func (l *ledger) outstanding() int {
	sum := l.inherited
	for _, b := range l.borrowers {
		sum += b.outstanding
	}
	return sum
}

// settle takes over what a borrower has by its newest request.
func (l *ledger) settle(b *borrower, r TokenRequest, burst float64) {
	b.requestSeq = r.Seq
	b.unacked = slices.DeleteFunc(b.unacked, func(g unackedGrant) bool { return g.seq <= r.AckedGrant })
	// Hazard: a grant on its way to the front can be used by it, though it did not know of it yet.
	outstanding := r.Remaining
	for _, g := range b.unacked {
		outstanding += g.tokens
	}
	// Returned tokens are in the bucket again; the rest of what is not outstanding any more was used.
	//
	// Hazard: a late request may arrive when its tokens have expired here, and with it a later one that
	// returns them. What was not known to be outstanding is taken from the bucket, or it would return to it.
	settled := b.outstanding - outstanding
	if settled >= r.Returned {
		l.level += float64(r.Returned)
	} else if settled < 0 {
		l.level = max(l.level+float64(settled), min(l.level, -burst))
	}
	b.outstanding = outstanding
}

// waiting lists the borrowers whose newest request is not answered.
func (l *ledger) waiting() []*borrower {
	list := make([]*borrower, 0, len(l.borrowers))
	for _, b := range l.borrowers {
		if b.waiting {
			list = append(list, b)
		}
	}
	return list
}

// idle is that the bucket is full, and nothing of it is outstanding.
func (l *ledger) idle(p *Policy) bool {
	_, burst := p.lendable(l.limit)
	return len(l.borrowers) == 0 && l.level >= burst && l.inherited == 0
}

// minLendableRate stands for a rate of nothing, where all of it goes to floors, in tokens a second.
const minLendableRate = 1e-12

// timeToFill is how long an empty bucket takes to be full.
func (l *ledger) timeToFill(p *Policy) time.Duration {
	_, burst := p.lendable(l.limit)
	return time.Duration(burst / max(l.limit.Rate*(1-l.limit.FloorShare), minLendableRate) * 1e9)
}

// shareMaxMin cuts what the borrowers want to the available tokens, by max-min fairness: nobody gets more
// while another that wants tokens has fewer. What remains of whole tokens goes to who has waited longest.
func shareMaxMin(available int, borrowers []*borrower) {
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
	rest := available - neededFor(level, borrowers)
	for _, b := range borrowers {
		most := b.wanted
		b.wanted = min(max(level-b.outstanding, 0), most)
		if rest > 0 && b.wanted < most && b.outstanding+b.wanted <= level {
			b.wanted++
			rest--
		}
	}
}

// neededFor is how many tokens bring each borrower to a level, or to what it wants if that is less.
func neededFor(level int, borrowers []*borrower) (sum int) {
	for _, b := range borrowers {
		sum += min(max(level-b.outstanding, 0), b.wanted)
	}
	return sum
}

// fairLevel is the greatest level to which the available tokens bring all borrowers.
func fairLevel(available int, borrowers []*borrower) int {
	low, high := 0, 1 // low can be reached, and high not
	for neededFor(high, borrowers) <= available {
		low, high = high, 2*high
	}
	for high-low > 1 {
		if middle := (low + high) / 2; neededFor(middle, borrowers) <= available {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
