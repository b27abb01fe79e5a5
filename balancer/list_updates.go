package balancer

// Decisions: when the list of workers is requested, and which requests wait for it.

import (
	"time"
)

// firstListDelay returns the wait before the list is requested at the start. After a release, most
// dispatchers start at once. Discovery serves calls in order, including those that it has rejected in the
// meantime, so it falls further behind while the callers retry quickly. The delay depends on the dispatcher's
// index, so that no two call at the same time.
func (b *Balancer) firstListDelay() time.Duration {
	if b.settings.DispatcherCount < listSpreadThreshold {
		return 0
	}
	return b.minTimeout / firstListSpreadDivisor * time.Duration(b.settings.DispatcherIndex) /
		time.Duration(b.settings.DispatcherCount)
}

// listBackoff returns the wait before the list is requested again, which grows with each failure. Without a
// subscription no drain is noticed, so the wait is bounded; with many dispatchers it is randomized, because
// discovery would stay down if all called at once.
func (b *Balancer) listBackoff() time.Duration {
	wait := b.jitter(b.minTimeout/16) << min(b.failedListCalls, 4)
	if b.settings.DispatcherCount >= listSpreadThreshold {
		wait += time.Duration(b.rng.Int64N(int64(b.minTimeout)))
	}
	if wait > maxListBackoff {
		wait = b.jitter(maxListBackoff / 2)
	}
	return wait
}

// awaitsFirstList reports whether q waits for the first list of a dispatcher that has just started.
//
// After a restart within seconds, clients have not noticed it and their requests arrive before the list.
// Without this wait all of them would be rejected.
func (b *Balancer) awaitsFirstList(now time.Duration, q *request) bool {
	return b.started && !b.listReceived && now < b.startedAt+b.minTimeout/firstListWaitDivisor &&
		now < q.arrivedAt+(q.deadline-q.arrivedAt)/firstListWaitDivisor
}
