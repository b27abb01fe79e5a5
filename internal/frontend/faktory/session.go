package faktory

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

// fetchTimeout is how long a FETCH waits for a job, as the protocol has it.
const fetchTimeout = 2 * time.Second

// session is a worker: a process with one wid and all its connections. It is an endpoint from its first FETCH
// on.
type session struct {
	front          *Front
	wid            string
	cell           int
	labels         []string
	conns          map[*conn]struct{}
	waitingFetches []*conn                 // the oldest first
	unfetched      []*reservation          // assigned by the broker, not fetched yet
	reserved       map[string]*reservation // fetched, by jid
	listed         bool
	draining       bool
	ended          bool
	silenceTimer   *eventloop.Timer
}

var _ broker.Endpoint = (*session)(nil)

// join finds the session of a worker's connection, or begins it. Workers with the same pod number drop each
// other's repeats; any other is a pod of its own, so that a job with an idempotency key that may have run
// there is not repeated elsewhere.
func (f *Front) join(c *conn, wid string, labels []string) *session {
	s := f.sessions[wid]
	if s == nil {
		f.lastCell--
		s = &session{front: f, wid: wid, cell: f.lastCell, labels: labels, conns: map[*conn]struct{}{},
			reserved: map[string]*reservation{}}
		for _, l := range labels {
			var pod uint16
			if n, _ := fmt.Sscanf(l, "pod:%d", &pod); n == 1 {
				s.cell = int(pod)
			}
		}
		f.sessions[wid] = s
	}
	s.conns[c] = struct{}{}
	s.resetSilenceTimer()
	return s
}

// resetSilenceTimer puts off the time at which the session expires.
func (s *session) resetSilenceTimer() {
	s.silenceTimer.Stop()
	// Hazard: a machine that vanishes leaves its connections open and silent.
	s.silenceTimer = s.front.loop.After(s.front.cfg.SessionTimeout, func() {
		s.front.log.WithField("worker", s.wid).Warn("worker session expired")
		s.end()
	})
}

// updateEndpoint updates the worker's entry in the broker's endpoint list.
func (s *session) updateEndpoint(state balancer.WorkerState) {
	e := broker.ListEntry{
		Name:     s.wid,
		Zone:     s.front.settings.Zone,
		Cell:     s.cell,
		State:    state,
		Size:     1,
		Endpoint: s,
		Labels:   s.labels,
	}
	if state == balancer.Removed {
		e.Endpoint = nil
	}
	s.front.broker.UpdateEndpoints(balancer.ListDelta, []broker.ListEntry{e})
}

// drain follows the worker's notice that it wants nothing new.
func (s *session) drain() {
	if s.draining {
		return
	}
	s.draining = true
	if s.listed {
		s.updateEndpoint(balancer.Draining)
	}
	s.returnUnfetched(balancer.WorkerFull)
}

// returnUnfetched ends the attempts that were assigned and never fetched: they never ran.
func (s *session) returnUnfetched(result balancer.Result) {
	for _, r := range s.unfetched {
		s.front.broker.EndAttempt(r.attempt, result, nil, balancer.NoLoadReport)
	}
	s.unfetched = nil
}

// end is the end of a worker. What it had fetched may have run.
func (s *session) end() {
	if s.ended {
		return
	}
	s.ended = true
	s.silenceTimer.Stop()
	delete(s.front.sessions, s.wid)
	if s.listed {
		s.updateEndpoint(balancer.Removed)
	}
	s.returnUnfetched(balancer.ConnectFailed)
	for _, r := range s.reserved {
		r.Abandon()
		s.front.broker.EndAttempt(r.attempt, balancer.ConnectionReset, nil, balancer.NoLoadReport)
	}
	for c := range s.conns {
		c.fetchTimer.Stop()
		c.session, c.fetching = nil, false
		c.conn.Close()
	}
}

// removeConn takes a connection out. The session ends with its last one.
func (s *session) removeConn(c *conn) {
	delete(s.conns, c)
	s.cancelWait(c)
	if len(s.conns) == 0 {
		s.end()
	}
}

// StartAttempt assigns a job to the worker; the next fitting FETCH takes it.
func (s *session) StartAttempt(a broker.Attempt) broker.RunningAttempt {
	r := &reservation{session: s, job: a.Payload.(*job), attempt: a.ID}
	if !s.ended && !s.draining && s.fetchesFrom(r.job.Queue) {
		for _, c := range s.waitingFetches {
			if c.fetchQueues[r.job.Queue] {
				s.cancelWait(c)
				s.deliver(c, r)
				return r
			}
		}
		if len(s.unfetched) < s.front.cfg.MaxUnfetchedPerWorker {
			s.unfetched = append(s.unfetched, r)
			return r
		}
	}
	s.front.broker.EndAttempt(a.ID, balancer.WorkerFull, nil, s.load())
	return r
}

// fetchesFrom says whether any connection of the worker fetches from the queue.
func (s *session) fetchesFrom(queue string) bool {
	for c := range s.conns {
		if c.fetchQueues[queue] {
			return true
		}
	}
	return false
}

// fetchOrWait gives the connection the next job, or lets it wait for one.
func (s *session) fetchOrWait(c *conn, queues []string) {
	c.fetchQueues = map[string]bool{}
	for _, q := range queues {
		c.fetchQueues[q] = true
	}
	if r := s.takeUnfetched(c); r != nil {
		s.deliver(c, r)
		return
	}
	s.waitingFetches = append(s.waitingFetches, c)
	c.fetching = true
	c.fetchTimer = s.front.loop.After(fetchTimeout, func() {
		s.cancelWait(c)
		c.reply("$-1\r\n")
		c.resumeInput()
	})
	if !s.listed && !s.draining {
		s.listed = true
		s.updateEndpoint(balancer.Ready)
	}
}

// takeUnfetched takes the oldest job of the connection's queues, and ends on its way the attempts of jobs
// that have finished meanwhile; nil: there is none.
func (s *session) takeUnfetched(c *conn) *reservation {
	for i := 0; i < len(s.unfetched); i++ {
		r := s.unfetched[i]
		if !r.job.finished && !c.fetchQueues[r.job.Queue] {
			continue
		}
		s.unfetched = append(s.unfetched[:i:i], s.unfetched[i+1:]...)
		if !r.job.finished {
			return r
		}
		// A hedged request has finished it.
		s.front.broker.EndAttempt(r.attempt, balancer.Cancelled, nil, s.load())
		i--
	}
	return nil
}

// cancelWait ends the wait of a connection's FETCH.
func (s *session) cancelWait(c *conn) {
	c.fetchTimer.Stop()
	c.fetching = false
	if i := slices.Index(s.waitingFetches, c); i >= 0 {
		s.waitingFetches = append(s.waitingFetches[:i:i], s.waitingFetches[i+1:]...)
	}
}

// deliver gives the worker the job. From here on it may run.
func (s *session) deliver(c *conn, r *reservation) {
	s.reserved[r.job.JID] = r
	r.startTimer()
	r.job.state, r.job.updatedAt = working, time.Now()
	c.replyBulk(r.job.payload)
	c.resumeInput()
}

// endReservation ends a job's reservation after ACK or FAIL. Only the worker that holds the reservation can
// end it, and once: a late one leaves the first end as it is.
func (s *session) endReservation(jid string, result balancer.Result) bool {
	r := s.reserved[jid]
	if r == nil {
		return false
	}
	r.finish(result)
	return true
}

// load is the worker's load: fetches that wait, and jobs that wait for one.
func (s *session) load() balancer.LoadReport {
	r := balancer.NoLoadReport
	r.Received = true
	r.FreeSlots, r.QueueLength = float64(len(s.waitingFetches)), float64(len(s.unfetched))
	return r
}

// CheckHealth reads the load, at once.
func (s *session) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	done(balancer.OK, s.load())
}
