package faktory

import (
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/slotmap"
)

// session is a worker: a process with one wid and all its connections. It is a next
// hop from its first FETCH on.
type session struct {
	front    *Front
	wid      string
	cell     int
	labels   []string
	conns    map[*conn]struct{}
	parked   []*conn                 // whose FETCH waits, the oldest first
	assigned []*reservation          // by the core, not fetched yet
	reserved map[string]*reservation // fetched, by jid
	listed   bool
	quiet    bool
	lost     bool
	timer    *eventloop.Timer // its silence
}

// reservation is a branch at a worker.
type reservation struct {
	s     *session
	job   *job
	id    slotmap.ID
	timer *eventloop.Timer // the end of the reservation
}

var (
	_ broker.Endpoint       = (*session)(nil)
	_ broker.RunningAttempt = (*reservation)(nil)
)

// join finds the session of a worker's connection, or begins it. Workers with the
// same pod number drop each other's repeats; any other is a pod of its own, so that
// a keyed job that may have run there is not repeated elsewhere.
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
	s.heard()
	return s
}

// heard puts off the time at which the worker is taken for lost.
func (s *session) heard() {
	s.timer.Stop()
	// Hazard: a machine that vanishes leaves its connections open and silent.
	s.timer = s.front.loop.After(s.front.cfg.Silence, func() {
		s.front.log.WithField("wid", s.wid).Warn("a worker is silent")
		s.lose()
	})
}

func (s *session) tell(state balancer.WorkerState) {
	e := broker.ListEntry{
		Name:     s.wid,
		Zone:     s.front.set.Zone,
		Cell:     s.cell,
		State:    state,
		Size:     1,
		Endpoint: s,
		Labels:   s.labels,
	}
	if state == balancer.Removed {
		e.Endpoint = nil
	}
	s.front.core.UpdateEndpoints(balancer.ListDelta, []broker.ListEntry{e})
}

// drain is the worker's notice that it wants nothing new.
func (s *session) drain() {
	if s.quiet {
		return
	}
	s.quiet = true
	if s.listed {
		s.tell(balancer.Draining)
	}
	s.handBack(balancer.WorkerFull)
}

// handBack ends what was assigned and never fetched: it never ran.
func (s *session) handBack(res balancer.Result) {
	for _, r := range s.assigned {
		s.front.core.EndAttempt(r.id, res, nil, balancer.NoLoadReport)
	}
	s.assigned = nil
}

// lose is the end of a worker. What it had fetched may have run.
func (s *session) lose() {
	if s.lost {
		return
	}
	s.lost = true
	s.timer.Stop()
	delete(s.front.sessions, s.wid)
	if s.listed {
		s.tell(balancer.Removed)
	}
	s.handBack(balancer.ConnectFailed)
	for _, r := range s.reserved {
		r.Abandon()
		s.front.core.EndAttempt(r.id, balancer.ConnectionReset, nil, balancer.NoLoadReport)
	}
	for c := range s.conns {
		c.timer.Stop()
		c.session, c.fetching = nil, false
		c.conn.Close()
	}
}

// leave takes a connection out. The worker is lost with its last one.
func (s *session) leave(c *conn) {
	delete(s.conns, c)
	s.unpark(c)
	if len(s.conns) == 0 {
		s.lose()
	}
}

// StartAttempt assigns a job to the worker; the next fitting FETCH takes it.
func (s *session) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	r := &reservation{s: s, job: b.Payload.(*job), id: b.ID}
	if !s.lost && !s.quiet && s.wants(r.job.Queue) {
		for _, c := range s.parked {
			if c.wants[r.job.Queue] {
				s.unpark(c)
				s.hand(c, r)
				return r
			}
		}
		if len(s.assigned) < s.front.cfg.Queue {
			s.assigned = append(s.assigned, r)
			return r
		}
	}
	s.front.core.EndAttempt(b.ID, balancer.WorkerFull, nil, s.load())
	return r
}

// wants says whether any connection of the worker fetches from the queue.
func (s *session) wants(queue string) bool {
	for c := range s.conns {
		if c.wants[queue] {
			return true
		}
	}
	return false
}

// fetch gives the connection the next job, or lets it wait for one.
func (s *session) fetch(c *conn, queues []string) {
	c.wants = map[string]bool{}
	for _, q := range queues {
		c.wants[q] = true
	}
	for i := 0; i < len(s.assigned); i++ {
		r := s.assigned[i]
		if !r.job.over && !c.wants[r.job.Queue] {
			continue
		}
		s.assigned = append(s.assigned[:i:i], s.assigned[i+1:]...)
		if !r.job.over {
			s.hand(c, r)
			return
		}
		s.front.core.EndAttempt(r.id, balancer.Cancelled, nil, s.load()) // another copy has ended it
		i--
	}
	s.parked = append(s.parked, c)
	c.fetching = true
	c.timer = s.front.loop.After(patience, func() {
		s.unpark(c)
		c.reply("$-1\r\n")
		c.next()
	})
	if !s.listed && !s.quiet {
		s.listed = true
		s.tell(balancer.Ready)
	}
}

func (s *session) unpark(c *conn) {
	c.timer.Stop()
	c.fetching = false
	for i, other := range s.parked {
		if other == c {
			s.parked = append(s.parked[:i:i], s.parked[i+1:]...)
			return
		}
	}
}

// hand gives the worker the job. From here on it may run.
func (s *session) hand(c *conn, r *reservation) {
	term := s.front.cfg.Reserve
	if w := r.job.ReserveFor; w != nil {
		term = max(time.Duration(*w*float64(time.Second)), s.front.cfg.ReserveLeast)
	}
	s.reserved[r.job.JID] = r
	r.timer = s.front.loop.After(term, func() {
		r.Abandon()
		s.front.core.EndAttempt(r.id, balancer.TimedOut, nil, s.load())
	})
	r.job.state, r.job.updated = working, time.Now()
	c.bulk(r.job.text)
	c.next()
}

// Abandon takes the branch out of the worker's hands. The protocol has no call-off:
// a worker that has the job goes on, and its late ACK finds nothing to end.
func (r *reservation) Abandon() {
	r.timer.Stop()
	if r.s.reserved[r.job.JID] == r {
		delete(r.s.reserved, r.job.JID)
	}
	if j := r.job; !j.over {
		j.state, j.updated = enqueued, time.Now()
	}
	for i, other := range r.s.assigned {
		if other == r {
			r.s.assigned = append(r.s.assigned[:i:i], r.s.assigned[i+1:]...)
			break
		}
	}
}

// end takes an ACK or a FAIL. Only the worker that holds the reservation can end it,
// and once: a late one leaves the first end as it is.
func (s *session) end(jid string, res balancer.Result) bool {
	r := s.reserved[jid]
	if r == nil {
		return false
	}
	r.Abandon()
	s.front.core.EndAttempt(r.id, res, nil, s.load())
	return true
}

// load is the worker's load: fetches that wait, and jobs that wait for one.
func (s *session) load() balancer.LoadReport {
	r := balancer.NoLoadReport
	r.Received, r.FreeSlots, r.QueueLength = true, float64(len(s.parked)), float64(len(s.assigned))
	return r
}

// CheckHealth reads the load.
func (s *session) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	done(balancer.OK, s.load())
}

// CloseIdle has nothing to close: the connections are the worker's.
func (s *session) CloseIdle() {}
