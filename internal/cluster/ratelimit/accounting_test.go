package ratelimit

import (
	"fmt"
	"time"

	"moorstack/internal/cluster/placement"
)

// trueBucket is the bucket from which every admission takes a token.
type trueBucket struct {
	level      float64
	refilledAt time.Duration
}

func (s *simulation) trueBucketOf(k Key) *trueBucket {
	limit, _ := s.policy.LimitOf(k)
	b := s.trueBuckets[k]
	if b == nil {
		b = &trueBucket{level: limit.Burst}
		s.trueBuckets[k] = b
	}
	elapsed := (s.now - b.refilledAt).Seconds()
	b.level = min(limit.Burst, b.level+limit.Rate*s.fastestClock*elapsed)
	b.refilledAt = s.now
	return b
}

// checkLevels finds a bucket of which an owner and the fronts have more than there is. It finds also what no
// client happens to use.
func (n *simNode) checkLevels(granted map[placement.Session][]Grant) {
	s, onTheirWay := n.sim, map[Key]float64{}
	for _, grants := range granted {
		for _, g := range grants {
			onTheirWay[g.Key] += float64(g.Tokens)
		}
	}
	for k, l := range n.authority.ledgers {
		sum := onTheirWay[k]
		if n.clock() >= n.authority.lendableFrom(l.shard) {
			sum += max(l.level, 0)
		}
		for _, front := range s.nodes {
			sum += front.usableTokens(k)
		}
		if has := s.trueBucketOf(k).level; sum > has+1e-6 && s.violation == "" {
			s.violation = fmt.Sprintf("%v: at %v instance %d and the fronts have %.3f of %.3f", k, s.now,
				n.id, sum, has)
		}
	}
}

// usableTokens is how many lent tokens of a bucket a front could use now.
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
