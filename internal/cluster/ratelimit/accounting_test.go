package ratelimit

import (
	"fmt"
	"time"

	"moorstack/internal/cluster/placement"
)

// truth is the bucket that every admission takes a job from.
type truth struct {
	level float64
	at    time.Duration
}

func (w *world) truth(k Key) *truth {
	l, _ := w.policy.LimitOf(k)
	x := w.true[k]
	if x == nil {
		x = &truth{level: l.Burst}
		w.true[k] = x
	}
	x.level = min(l.Burst, x.level+l.Rate*w.fast*(w.now-x.at).Seconds())
	x.at = w.now
	return x
}

// covered finds a bucket of which an owner and the fronts have more than there is. It finds what no client
// happens to use.
func (n *node) covered(lent map[placement.Session][]Grant) {
	w, all := n.w, map[Key]float64{}
	for _, grants := range lent {
		for _, g := range grants {
			all[g.Key] += float64(g.Tokens)
		}
	}
	for k, b := range n.authority.ledgers {
		sum := all[k]
		if n.clock() >= n.authority.shardLendableFrom(b.shard) {
			sum += max(b.level, 0)
		}
		for _, x := range w.nodes {
			if f := x.front.buckets[k]; f != nil && x.up && x.clock() < x.until {
				if x.clock() < f.expiresAt {
					sum += float64(f.tokens)
				}
				if x.clock() < f.previousExpiresAt {
					sum += float64(f.previousTokens)
				}
			}
		}
		if has := w.truth(k).level; sum > has+1e-6 && w.wrong == "" {
			w.wrong = fmt.Sprintf("%v: at %v instance %d and the fronts have %.3f of %.3f", k, w.now, n.id,
				sum, has)
		}
	}
}
