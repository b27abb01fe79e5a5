package balancer

// Decisions: when the list of workers is requested, and which requests wait for it.

import (
	"time"
)

// firstListDelay is the wait before the list is requested at the start. Hazard: after a release most of many
// dispatchers start at once. The list's service takes calls in turn, also those that it has rejected
// meanwhile, and so falls behind for as long as they come back soon. Each dispatcher has its own time, by its
// index.
func (b *Balancer) firstListDelay() time.Duration {
	if b.settings.DispatcherCount < manyDispatchers {
		return 0
	}
	return b.minTimeout / firstListSpread * time.Duration(b.settings.DispatcherIndex) /
		time.Duration(b.settings.DispatcherCount)
}

// listBackoff is the wait before the list is requested again, longer after each failure. Hazards: without a
// subscription no drain is noticed; if all dispatchers call at once, the list's service stays down.
func (b *Balancer) listBackoff() time.Duration {
	wait := b.jitter(b.minTimeout/16) << min(b.failedListCalls, 4)
	if b.settings.DispatcherCount >= manyDispatchers {
		wait += time.Duration(b.rng.Int64N(int64(b.minTimeout)))
	}
	if wait > maxListBackoff {
		wait = b.jitter(maxListBackoff / 2)
	}
	return wait
}

// awaitsFirstList reports whether q waits for the first list of a dispatcher that has just started.
//
// Hazard: a process that comes back within seconds has clients that did not notice its restart. Their
// requests come before the list does, and would all be rejected.
func (b *Balancer) awaitsFirstList(now time.Duration, q *request) bool {
	return b.started && !b.listReceived && now < b.startedAt+b.minTimeout/firstListDivisor &&
		now < q.arrivedAt+(q.deadline-q.arrivedAt)/firstListDivisor
}
