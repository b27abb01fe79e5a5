package ratelimit

import (
	"fmt"
	"time"

	"moorstack/internal/cluster/placement"
)

// referenceBucket is an exact token bucket, from which every admission of any front takes a token.
type referenceBucket struct {
	level      float64
	refilledAt time.Duration
}

func (s *simulation) referenceBucketOf(k Key) *referenceBucket {
	limit, _ := s.policy.LimitOf(k)
	b := s.referenceBuckets[k]
	if b == nil {
		b = &referenceBucket{level: limit.Burst}
		s.referenceBuckets[k] = b
	}
	elapsed := (s.now - b.refilledAt).Seconds()
	b.level = min(limit.Burst, b.level+limit.Rate*s.fastestClock*elapsed)
	b.refilledAt = s.now
	return b
}

// checkLevels checks that an owner and all fronts together hold no more tokens of a bucket than its reference
// bucket has. Unlike a check of admissions, it also finds excess tokens that no client happens to use.
func (n *simNode) checkLevels(granted map[placement.Session][]Grant) {
	s, inTransit := n.sim, map[Key]float64{}
	for _, grants := range granted {
		for _, g := range grants {
			inTransit[g.Key] += float64(g.Tokens)
		}
	}
	for k, l := range n.authority.ledgers {
		sum := inTransit[k]
		if n.clock() >= n.authority.lendableFrom(l.shard) {
			sum += max(l.level, 0)
		}
		for _, front := range s.nodes {
			sum += front.usableTokens(k)
		}
		if available := s.referenceBucketOf(k).level; sum > available+1e-6 && s.violation == "" {
			s.violation = fmt.Sprintf("bucket %v: at %v instance %d and the fronts hold %.3f tokens, but it "+
				"has %.3f", k, s.now, n.id, sum, available)
		}
	}
}

// usableTokens returns how many lent tokens of a bucket a front could use now.
func (n *simNode) usableTokens(k Key) (sum float64) {
	b := n.limiter.buckets[k]
	if b == nil || !n.alive || n.clock() >= n.leaseUntil {
		return 0
	}
	if n.clock() < b.expiresAt {
		sum += float64(b.tokens)
	}
	if n.clock() < b.previousExpiresAt {
		sum += float64(b.previousTokens)
	}
	return sum
}
