package balancer

import (
	"time"
)

// findAttempt returns an attempt of an open request, or nil if it is unknown.
func (b *Balancer) findAttempt(id RequestID, number int) (*request, *attempt) {
	q := b.requestByID[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil, nil
	}
	return q, &q.attempts[number]
}

// maxAttempts returns how many attempts a request may have: the least of the limits of the deployment, its
// class and its route.
func (b *Balancer) maxAttempts(q *request) int {
	n := b.settings.Limits.MaxAttempts
	for _, limit := range [...]int{q.class.MaxAttempts, q.MaxAttempts} {
		if limit > 0 {
			n = min(n, limit)
		}
	}
	return n
}

// onRoute reports whether w is in the tier of its route that q currently uses.
func (q *request) onRoute(w *worker) bool { return q.Route == nil || q.Route.Tier(&w.Worker) == q.tier }

// startRoute resets q to the first tier of its route.
func (q *request) startRoute() { q.tier, q.allowEjected = 0, q.Route == nil }

// nextTier moves q to the next tier of its route, if there is one and the route lets it spill over. After the
// last tier it starts again at the first, this time including ejected workers. It reports whether there is
// anything left to try.
//
// Ejected workers come last. Otherwise, if the only worker of the first tier can't be reached, every request
// would be tried there before it is sent to a healthy worker of the next tier.
func (q *request) nextTier(busy bool) bool {
	if q.Route == nil {
		return false
	}
	if q.tier+1 < q.Route.TierCount() && q.Route.SpillsOver(q.tier, busy) {
		q.tier++
		return true
	}
	if q.allowEjected {
		return false
	}
	q.tier, q.allowEjected = 0, true
	return true
}

// addRequest registers a new request. It returns nil if a request with its ID is open.
func (b *Balancer) addRequest(now time.Duration, r Request) *request {
	if b.requestByID[r.ID] != nil {
		return nil
	}
	q := b.newRequest()
	r.Class = min(max(r.Class, 0), len(b.settings.Classes)-1)
	q.class = &b.settings.Classes[r.Class]
	q.Request, q.arrivedAt, q.deadline, q.index = r, now, now+r.Timeout, len(b.requests)
	b.requestByID[r.ID] = q
	b.requests = append(b.requests, q)
	return q
}

// newRequest returns a request from the free list, or allocates one.
func (b *Balancer) newRequest() *request {
	n := len(b.freeRequests)
	if n == 0 {
		return &request{attempts: make([]attempt, 0, 2)}
	}
	q := b.freeRequests[n-1]
	b.freeRequests = b.freeRequests[:n-1]
	*q = request{attempts: q.attempts[:0], checked: q.checked[:0]}
	return q
}

// removeIfDone removes a request that has its response, has no attempt in flight and is not waiting.
func (b *Balancer) removeIfDone(q *request) {
	if !q.responded || q.inFlight > 0 || q.waiting {
		return
	}
	last := b.requests[len(b.requests)-1]
	b.requests[q.index], last.index = last, q.index
	b.requests = b.requests[:len(b.requests)-1]
	delete(b.requestByID, q.ID)
	b.freeRequests = append(b.freeRequests, q)
}
