package faktory

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

// fetchTimeout is how long a FETCH waits for a job, as the protocol defines it.
const fetchTimeout = 2 * time.Second

// session is the session of a worker process: its wid and all its connections. It becomes an endpoint with
// its first FETCH.
type session struct {
	front          *Front
	wid            string
	cell           int
	labels         []string
	conns          map[*conn]struct{}
	waitingFetches []*conn                 // connections whose FETCH waits, oldest first
	unfetched      []*reservation          // assigned by the broker and not fetched yet, oldest first
	reserved       map[string]*reservation // fetched, by jid
	listed         bool
	draining       bool
	ended          bool
	silenceTimer   *eventloop.Timer
}

var _ broker.Endpoint = (*session)(nil)

// joinSession adds a worker's connection to the session with the wid, and creates the session if there is
// none. Workers with the same pod number recognise and drop repetitions of jobs that another of them has
// run, by the idempotency key. A worker without a pod label gets a cell of its own, so that a job with an
// idempotency key that may have run there is not repeated elsewhere.
func (f *Front) joinSession(c *conn, wid string, labels []string) *session {
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

// resetSilenceTimer restarts the timeout after which the session expires. Without it, the session of a
// machine that vanished would never end, because its connections stay open and silent.
func (s *session) resetSilenceTimer() {
	s.silenceTimer.Stop()
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

// drain stops assigning jobs to the worker, which has reported that it fetches no more.
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

// returnUnfetched ends the attempts that were assigned but not fetched, and so never ran.
func (s *session) returnUnfetched(result balancer.Result) {
	for _, r := range s.unfetched {
		s.front.broker.EndAttempt(r.attempt, result, nil, balancer.NoLoadReport)
	}
	s.unfetched = nil
}

// end ends the session and all its attempts. Jobs that the worker had fetched may have run.
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

// removeConn removes a connection. The session ends with its last connection.
func (s *session) removeConn(c *conn) {
	delete(s.conns, c)
	s.cancelWait(c)
	if len(s.conns) == 0 {
		s.end()
	}
}

// StartAttempt implements broker.Endpoint. It delivers the job to a waiting FETCH of its queue, or keeps it
// for the next one.
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

// fetchesFrom reports whether any connection of the worker fetches from the queue.
func (s *session) fetchesFrom(queue string) bool {
	for c := range s.conns {
		if c.fetchQueues[queue] {
			return true
		}
	}
	return false
}

// fetchOrWait delivers the next job to the connection, or has its FETCH wait for one.
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

// takeUnfetched removes and returns the oldest unfetched job of the connection's queues; nil: none. It ends
// the attempts of jobs that have finished meanwhile, and of those that may no longer be delivered.
func (s *session) takeUnfetched(c *conn) *reservation {
	for {
		i := slices.IndexFunc(s.unfetched, func(r *reservation) bool {
			return r.job.finished || c.fetchQueues[r.job.Queue]
		})
		if i < 0 {
			return nil
		}
		r := s.unfetched[i]
		s.unfetched = slices.Delete(s.unfetched, i, i+1)
		switch {
		case r.job.finished: // by a hedged request
			s.front.broker.EndAttempt(r.attempt, balancer.Cancelled, nil, s.load())
		case !s.front.broker.MayStillSend(r.attempt):
			// The job was assigned to the worker a while ago. Meanwhile the key window of an earlier attempt,
			// which may have run, may have ended, or the worker may have been put under maintenance.
			s.front.broker.EndAttempt(r.attempt, balancer.NotSent, nil, s.load())
		default:
			return r
		}
	}
}

// cancelWait ends the wait of the connection's FETCH, if it waits.
func (s *session) cancelWait(c *conn) {
	c.fetchTimer.Stop()
	c.fetching = false
	if i := slices.Index(s.waitingFetches, c); i >= 0 {
		s.waitingFetches = append(s.waitingFetches[:i:i], s.waitingFetches[i+1:]...)
	}
}

// deliver sends the job to the worker. From then on the job may run.
func (s *session) deliver(c *conn, r *reservation) {
	s.reserved[r.job.JID] = r
	r.startTimer()
	r.job.state, r.job.updatedAt = working, time.Now()
	c.replyBulk(r.job.payload)
	c.resumeInput()
}

// endReservation ends a job's reservation after ACK or FAIL, and reports whether there was one. Only the
// worker that holds the reservation can end it, and only once: a late ACK or FAIL changes nothing.
func (s *session) endReservation(jid string, result balancer.Result) bool {
	r := s.reserved[jid]
	if r == nil {
		return false
	}
	r.finish(result)
	return true
}

// load returns the worker's load: waiting fetches are free slots, and unfetched jobs are the queue.
func (s *session) load() balancer.LoadReport {
	r := balancer.NoLoadReport
	r.Received = true
	r.FreeSlots, r.QueueLength = float64(len(s.waitingFetches)), float64(len(s.unfetched))
	return r
}

// CheckHealth implements broker.Endpoint. It reports the load at once.
func (s *session) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	done(balancer.OK, s.load())
}
