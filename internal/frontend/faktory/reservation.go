package faktory

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/slotmap"
)

// reservation is an attempt at a worker: a job that waits for the worker's FETCH, and then one that it has.
type reservation struct {
	session     *session
	job         *job
	attempt     slotmap.ID
	expiryTimer *eventloop.Timer // from the FETCH on
}

var _ broker.RunningAttempt = (*reservation)(nil)

// startTimer has the reservation expire when the worker has had the job for as long as it may.
func (r *reservation) startTimer() {
	cfg := r.session.front.cfg
	timeout := cfg.ReservationTimeout
	if seconds := r.job.ReserveFor; seconds != nil {
		timeout = max(time.Duration(*seconds*float64(time.Second)), cfg.MinReservationTimeout)
	}
	r.expiryTimer = r.session.front.loop.After(timeout, func() { r.finish(balancer.TimedOut) })
}

// finish ends the reservation, and with it the attempt.
func (r *reservation) finish(result balancer.Result) {
	r.Abandon()
	r.session.front.broker.EndAttempt(r.attempt, result, nil, r.session.load())
}

// Abandon takes the job from the worker. The protocol has no cancellation: a worker that has the job goes on,
// and its late ACK finds nothing to end.
func (r *reservation) Abandon() {
	r.expiryTimer.Stop()
	s := r.session
	if s.reserved[r.job.JID] == r {
		delete(s.reserved, r.job.JID)
	}
	if j := r.job; !j.finished {
		j.state, j.updatedAt = enqueued, time.Now()
	}
	if i := slices.Index(s.unfetched, r); i >= 0 {
		s.unfetched = append(s.unfetched[:i:i], s.unfetched[i+1:]...)
	}
}
