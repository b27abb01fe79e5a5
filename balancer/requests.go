package balancer

// Requests and their attempts, from admission to the last end.

import (
	"time"
)

// attempt finds an attempt of an open request, or returns nil for what it does not know.
func (b *Balancer) attempt(id RequestID, n int) (*request, *attempt) {
	q := b.open[id]
	if q == nil || n < 0 || n >= len(q.tries) {
		return nil, nil
	}
	return q, &q.tries[n]
}

// attempts is how many a request may have: the least of what the deployment, its class
// and its route say.
func (b *Balancer) attempts(q *request) int {
	n := b.set.Limits.MaxAttempts
	for _, most := range [...]int{q.class.MaxAttempts, q.MaxAttempts} {
		if most > 0 {
			n = min(n, most)
		}
	}
	return n
}

// onRoute reports whether w stands where q is tried now.
func (q *request) onRoute(w *worker) bool { return q.Route == nil || q.Route.Tier(&w.Worker) == q.tier }

// start has q tried at the first tier of its route.
func (q *request) start() { q.tier, q.anyone = 0, q.Route == nil }

// spills moves q on to the next tier of its route, if there is one and its route says so.
// After the last one it begins again, this time with workers that are not trusted, too.
//
// Hazard: the only worker of the first tier can't be reached, and every job is tried there
// before it goes to a sound one of the next.
func (q *request) spills(busy bool) bool {
	if q.Route == nil {
		return false
	}
	if q.tier+1 < q.Route.TierCount() && q.Route.SpillsOver(q.tier, busy) {
		q.tier++
		return true
	}
	if q.anyone {
		return false
	}
	q.tier, q.anyone = 0, true
	return true
}

// admit enters a new request into the table, or returns nil if its ID is known already.
func (b *Balancer) admit(now time.Duration, r Request) *request {
	if b.open[r.ID] != nil {
		return nil
	}
	q := b.newRequest()
	r.Class = min(max(r.Class, 0), len(b.set.Classes)-1)
	q.class = &b.set.Classes[r.Class]
	q.Request, q.came, q.deadline, q.index = r, now, now+r.Timeout, len(b.list)
	b.open[r.ID] = q
	b.list = append(b.list, q)
	return q
}

func (b *Balancer) newRequest() *request {
	n := len(b.free)
	if n == 0 {
		return &request{tries: make([]attempt, 0, 2)}
	}
	q := b.free[n-1]
	b.free = b.free[:n-1]
	*q = request{tries: q.tries[:0], asked: q.asked[:0]}
	return q
}

// forget drops a finished request once no attempt of it is out.
func (b *Balancer) forget(q *request) {
	if !q.over || q.out > 0 || q.holding {
		return
	}
	last := b.list[len(b.list)-1]
	b.list[q.index], last.index = last, q.index
	b.list = b.list[:len(b.list)-1]
	delete(b.open, q.ID)
	b.free = append(b.free, q)
}

// keep drops the elements of s that ok rejects, in place.
func keep[T any](s []T, ok func(T) bool) []T {
	kept := s[:0]
	for _, x := range s {
		if ok(x) {
			kept = append(kept, x)
		}
	}
	clear(s[len(kept):])
	return kept
}
