package faktory

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/slotmap"
)

// reservation is an attempt at a worker: a job that waits for the worker's FETCH or that the worker has
// fetched.
type reservation struct {
	session     *session
	job         *job
	attempt     slotmap.ID
	expiryTimer *eventloop.Timer // runs from the FETCH on
}

var _ broker.RunningAttempt = (*reservation)(nil)

// startTimer starts the timeout of the reservation, which ends the attempt as timed out.
func (r *reservation) startTimer() {
	cfg := r.session.front.cfg
	timeout := cfg.ReservationTimeout
	if seconds := r.job.ReserveFor; seconds != nil {
		timeout = max(time.Duration(*seconds*float64(time.Second)), cfg.MinReservationTimeout)
	}
	r.expiryTimer = r.session.front.loop.After(timeout, func() { r.finish(balancer.TimedOut) })
}

// finish ends the reservation and its attempt.
func (r *reservation) finish(result balancer.Result) {
	r.Abandon()
	r.session.front.broker.EndAttempt(r.attempt, result, nil, r.session.load())
}

// Abandon implements broker.RunningAttempt. It removes the job from the worker's session. The protocol has no
// cancellation: a worker that has fetched the job continues to run it, and its late ACK has no effect.
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
