package balancer

// Decisions: how the list of workers is asked for, and who waits for it.

import (
	"time"
)

// firstAsk is the wait before the list is asked for at the start. Hazard: after a release most of many
// dispatchers start at once. The list's service takes calls in turn, also those that it has turned away
// meanwhile, and so falls behind for as long as they come back soon. Each has its own time, by its number.
func (b *Balancer) firstAsk() time.Duration {
	if b.set.DispatcherCount < many {
		return 0
	}
	return b.patience / firstAsks * time.Duration(
		b.set.DispatcherIndex,
	) / time.Duration(
		b.set.DispatcherCount,
	)
}

// askAgain is the wait before the list is asked for again, longer each time. Hazards: without a
// subscription drains go unheard; all that ask at once keep the list's service down.
func (b *Balancer) askAgain() time.Duration {
	wait := b.spread(b.patience/16) << min(b.asks, 4)
	if b.set.DispatcherCount >= many {
		wait += time.Duration(b.rng.Int64N(int64(b.patience)))
	}
	if wait > longestAsk {
		wait = b.spread(longestAsk / 2)
	}
	return wait
}

// awaitsList reports whether q waits for the first list of a dispatcher that has just started.
//
// Hazard: a process that comes back within seconds has clients who did not notice that it was gone. Their
// requests come before the list does, and would all be refused.
func (b *Balancer) awaitsList(now time.Duration, q *request) bool {
	return b.started && !b.listed && now < b.startedAt+b.patience/firstList &&
		now < q.came+(q.deadline-q.came)/firstList
}
