package balancer

import (
	"time"
)

// findAttempt finds an attempt of an open request; nil: it is not known.
func (b *Balancer) findAttempt(id RequestID, number int) (*request, *attempt) {
	q := b.requestByID[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil, nil
	}
	return q, &q.attempts[number]
}

// maxAttempts is how many attempts a request may have: the least of what the deployment, its class and its
// route allow.
func (b *Balancer) maxAttempts(q *request) int {
	n := b.settings.Limits.MaxAttempts
	for _, limit := range [...]int{q.class.MaxAttempts, q.MaxAttempts} {
		if limit > 0 {
			n = min(n, limit)
		}
	}
	return n
}

// onRoute reports whether w is in the tier at which q is tried.
func (q *request) onRoute(w *worker) bool { return q.Route == nil || q.Route.Tier(&w.Worker) == q.tier }

// startRoute has q be tried at the first tier of its route.
func (q *request) startRoute() { q.tier, q.allowEjected = 0, q.Route == nil }

// nextTier has q be tried at the next tier of its route, if there is one and the route lets it spill over.
// After the last tier it begins again, this time with ejected workers, too. It reports whether there is
// anything left to try.
//
// Hazard: the only worker of the first tier can't be reached, and every request is tried there before it goes
// to a healthy one of the next.
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

// addRequest enters a new request; nil: its ID is open already.
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

// newRequest reuses a request that is forgotten, or makes one.
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

// forget drops a request that has its response and no attempt in flight.
func (b *Balancer) forget(q *request) {
	if !q.responded || q.inFlight > 0 || q.waiting {
		return
	}
	last := b.requests[len(b.requests)-1]
	b.requests[q.index], last.index = last, q.index
	b.requests = b.requests[:len(b.requests)-1]
	delete(b.requestByID, q.ID)
	b.freeRequests = append(b.freeRequests, q)
}
