package faktory

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/brain"
	"moorstack/internal/core"
	"moorstack/internal/net"
	"moorstack/internal/routing"
	"moorstack/internal/slots"
)

// Front is the Faktory front.
type Front struct {
	loop     *net.Loop
	core     *core.Core
	cfg      *Config
	set      brain.Settings
	log      logrus.FieldLogger
	listener *net.Listener
	classes  map[string]int
	tenants  map[string]int
	jobs     map[string]*job
	sessions map[string]*session
	held     int // bytes of the jobs that are open
	lastCell int
	draining bool
	routes   *routing.Table // nil: jobs go where brain will
	began    time.Duration
	counts   struct{ refused, served, failed, commands int }
}

// New makes the front of a core with these settings, which Settings has made.
func New(loop *net.Loop, cfg *Config, set brain.Settings, log logrus.FieldLogger) (*Front, error) {
	f := &Front{loop: loop, cfg: cfg, set: set, log: log, classes: map[string]int{},
		tenants: map[string]int{}, jobs: map[string]*job{}, sessions: map[string]*session{},
		began: loop.Now()}
	for i, c := range set.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = i
	}
	for jobType, class := range cfg.Classes {
		i, ok := f.classes[class]
		if !ok {
			return nil, fmt.Errorf("job type %q: the settings have no class %q", jobType, class)
		}
		f.classes[jobType] = i
	}
	return f, nil
}

// Open begins to listen. The route set is empty until a worker fetches.
func (f *Front) Open(c *core.Core) error {
	f.core = c
	f.core.RouteSet(brain.Whole, nil)
	var err error
	// Input that waits may take a quarter as much as the jobs held, or else a little for
	// each connection and a few long lines.
	limits := net.Limits{Connections: f.cfg.Connections,
		Bytes: max(f.cfg.Bytes/4, f.cfg.Connections<<12+4*f.cfg.LineBytes)}
	f.listener, err = f.loop.Listen(f.cfg.Listen, limits, f.accept)
	return err
}

// SetRoutes has jobs go by these rules, from the next one on; nil: by none.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// Configure takes over the classes' times, from the next job on.
func (f *Front) Configure(set brain.Settings) { f.set = set }

// Drain takes no more jobs, lets those taken end and their producers look the
// answers up for a while, and calls done.
func (f *Front) Drain(done func()) {
	f.draining = true
	busy := f.core.Waiting() > 0
	for _, j := range f.jobs {
		busy = busy || j.over && !j.told && time.Since(j.updated) < lookUp
	}
	if busy {
		f.loop.After(10*time.Millisecond, func() { f.Drain(done) })
		return
	}
	f.listener.Close()
	done()
}

// lookUp is how long after its end a job that nobody has looked up holds a drain.
const lookUp = 3 * time.Second

// The states of a job, in the words of the protocol's TRACK.
const (
	enqueued = "enqueued"
	working  = "working"
	success  = "success"
	failed   = "failed"
)

// job is a job that was pushed, kept for a while after its final answer.
type job struct {
	front *Front
	text  []byte // as it was pushed; nil once the job is over
	body
	digest     [sha256.Size]byte // of what makes it this job and no other
	state      string
	taken      bool // PUSH was answered with OK
	over       bool // it has its final answer
	told       bool // and that has been looked up
	refused    bool
	retryAfter time.Duration
	why        string // it was refused, if a gate has said so
	updated    time.Time
}

// body is what of a job is read here.
type body struct {
	JID        string          `json:"jid"`
	Type       string          `json:"jobtype"`
	Args       json.RawMessage `json:"args"`
	Queue      string          `json:"queue"`
	ReserveFor *float64        `json:"reserve_for"`
	At         string          `json:"at"`
	Custom     struct {
		Deadline *float64 `json:"deadline"` // seconds that the producer waits
		Tenant   string   `json:"tenant"`
		Account  string   `json:"account"`
		Cost     float64  `json:"cost"` // the expected work, in seconds
		Slots    float64  `json:"slots"`
	} `json:"custom"`
}

var _ core.Client = (*job)(nil)

// push takes a job, or says why not.
func (f *Front) push(text []byte) error {
	j := &job{front: f, text: append([]byte(nil), text...), state: enqueued, updated: time.Now()}
	if err := json.Unmarshal(text, &j.body); err != nil {
		return fmt.Errorf("the job is not JSON as it should be: %v", err)
	}
	t, d, err := f.transaction(j)
	if err != nil {
		return err
	}
	if d.Refused != "" {
		return busy(d.Refused, max(d.RetryAfter, time.Second))
	}
	j.digest = sha256.Sum256(append([]byte(j.Type+"\x00"), j.Args...))
	j.Args = nil
	if old := f.jobs[j.JID]; old != nil && !old.refused {
		// Hazard: a producer whose connection broke pushes again what was taken: it would
		// run twice. The first push stands.
		return old.again(j)
	}
	if f.draining {
		return busy("this node is ending", time.Second)
	}
	// Hazard: the largest jobs, as many as are allowed, are more than the node's memory.
	if len(f.jobs) >= f.cfg.Jobs || f.held+len(text) > f.cfg.Bytes {
		return busy("as many jobs are held as may be", time.Second)
	}
	f.jobs[j.JID] = j
	f.held += len(text)
	if err := f.core.Begin(t, j); err != nil {
		delete(f.jobs, j.JID)
		f.held -= len(text)
		return busy(err.Error(), time.Second)
	}
	if !j.over {
		j.taken = true
		return nil
	}
	// The answer is given here and now, and so there is nothing to look up.
	delete(f.jobs, j.JID)
	if j.refused {
		return busy(cmp.Or(j.why, "refused"), j.retryAfter)
	}
	return fmt.Errorf("the job has failed")
}

// busy is a refusal; it says when to come back.
func busy(why string, after time.Duration) error {
	return fmt.Errorf("BUSY %s; retry after %.3f s", why, after.Seconds())
}

// again answers a second push of the same job.
func (j *job) again(second *job) error {
	switch {
	case second.digest != j.digest:
		return fmt.Errorf("jid %s is in use by another job", j.JID)
	case j.over && j.state == failed:
		return fmt.Errorf("job %s has failed already; a new try needs a new jid", j.JID)
	}
	return nil
}

func (f *Front) transaction(j *job) (t core.Transaction, d routing.Decision, err error) {
	if n := len(j.JID); n < 8 || n > 200 {
		return t, d, fmt.Errorf("jid must have 8 to 200 characters")
	}
	if j.Type == "" {
		return t, d, fmt.Errorf("jobtype is missing")
	}
	if len(j.Args) == 0 || j.Args[0] != '[' {
		return t, d, fmt.Errorf("args must be an array")
	}
	if j.At != "" {
		return t, d, fmt.Errorf("jobs for later are not taken")
	}
	if j.Queue == "" {
		j.Queue = "default"
	}
	t = core.Transaction{ID: j.JID, Class: -1, Job: j, Slots: j.Custom.Slots, Account: j.Custom.Account,
		Work: time.Duration(j.Custom.Cost * float64(time.Second))}
	if class, ok := f.classes[j.Type]; ok {
		t.Class = class
	}
	tenant := -1
	if j.Custom.Tenant != "" {
		var ok bool
		if tenant, ok = f.tenants[j.Custom.Tenant]; !ok {
			return t, d, fmt.Errorf("custom.tenant names no tenant")
		}
		t.Tenant = tenant
	}
	if f.routes != nil {
		d = f.routes.Decide(&routing.Job{Front: "faktory", Class: t.Class, Tenant: tenant, Queue: j.Queue,
			Type: j.Type, Cost: t.Work, ID: t.ID})
		t.Class, t.Route, t.Attempts, t.Limit = d.Class, d.Route, d.Attempts, d.Timeout
		if d.Refused != "" {
			return t, d, nil
		}
	}
	if t.Class < 0 {
		return t, d, fmt.Errorf("jobtype %.60q has no class", j.Type)
	}
	t.Left = f.set.Classes[t.Class].Deadline
	if within := j.Custom.Deadline; within != nil {
		if !(*within > 0 && *within <= 86400) {
			return t, d, fmt.Errorf("custom.deadline must be seconds, above 0 and up to a day")
		}
		t.Left = time.Duration(*within * float64(time.Second))
	}
	if r := j.ReserveFor; r != nil && !(*r > 0 && *r <= 86400) {
		return t, d, fmt.Errorf("reserve_for must be seconds, above 0 and up to a day")
	}
	if c := j.Custom.Cost; c < 0 || c > 86400 || t.Slots < 0 || t.Slots > 1e6 {
		return t, d, fmt.Errorf("custom.cost or custom.slots is out of range")
	}
	return t, d, nil
}

// Answer keeps the final answer for the producer to look up.
func (j *job) Answer(a core.Answer) {
	j.over, j.updated = true, time.Now()
	j.front.held -= len(j.text)
	j.text = nil
	switch a.Kind {
	case core.Served:
		j.state = success
		j.front.counts.served++
	case core.Busy:
		j.state, j.refused, j.retryAfter, j.why = failed, true, a.RetryAfter, a.Why
		j.front.counts.refused++
	default:
		j.state = failed
		j.front.counts.failed++
	}
	if !j.taken {
		return // PUSH itself brings the answer
	}
	j.front.loop.After(j.front.cfg.Keep, func() {
		if j.front.jobs[j.JID] == j { // not a later push after a refusal
			delete(j.front.jobs, j.JID)
		}
	})
}

// track is the answer to TRACK GET.
func (f *Front) track(jid string) any {
	t := struct {
		JID        string  `json:"jid"`
		State      string  `json:"state"`
		Refused    bool    `json:"refused,omitempty"`
		RetryAfter float64 `json:"retry_after,omitempty"`
		Updated    string  `json:"updated_at,omitempty"`
	}{JID: jid, State: "unknown"}
	if j := f.jobs[jid]; j != nil {
		j.told = j.over
		t.State, t.Refused, t.RetryAfter = j.state, j.refused, j.retryAfter.Seconds()
		t.Updated = j.updated.UTC().Format(time.RFC3339Nano)
	}
	return t
}

// info is the answer to INFO.
func (f *Front) info() any {
	waiting := map[string]int{}
	for _, s := range f.sessions {
		for _, r := range s.assigned {
			waiting[r.job.Queue]++
		}
	}
	n := &f.counts
	return map[string]any{
		"server_utc_time": time.Now().UTC().Format("15:04:05 UTC"),
		"faktory": map[string]any{"queues": waiting, "total_enqueued": f.core.Waiting(),
			"total_queues": len(waiting), "total_processed": n.served + n.failed,
			"total_failures": n.failed, "total_refused": n.refused,
			"tasks": map[string]any{"Workers": map[string]int{"size": len(f.sessions)}}},
		"server": map[string]any{"description": "moorstack, in memory", "faktory_version": "1.9.0",
			"uptime": int((f.loop.Now() - f.began).Seconds()), "connections": f.listener.Open(),
			"command_count": n.commands},
	}
}

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
	timer    *net.Timer // its silence
}

// reservation is a branch at a worker.
type reservation struct {
	s     *session
	job   *job
	id    slots.ID
	timer *net.Timer // the end of the reservation
}

var (
	_ core.NextHop = (*session)(nil)
	_ core.Running = (*reservation)(nil)
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

func (s *session) tell(state brain.State) {
	e := core.Entry{Name: s.wid, Zone: s.front.set.Zone, Cell: s.cell, State: state, Size: 1, Hop: s,
		Labels: s.labels}
	if state == brain.Removed {
		e.Hop = nil
	}
	s.front.core.RouteSet(brain.Changes, []core.Entry{e})
}

// drain is the worker's notice that it wants nothing new.
func (s *session) drain() {
	if s.quiet {
		return
	}
	s.quiet = true
	if s.listed {
		s.tell(brain.Draining)
	}
	s.handBack(brain.Full)
}

// handBack ends what was assigned and never fetched: it never ran.
func (s *session) handBack(res brain.Result) {
	for _, r := range s.assigned {
		s.front.core.End(r.id, res, nil, brain.NoReport)
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
		s.tell(brain.Removed)
	}
	s.handBack(brain.ConnectFailed)
	for _, r := range s.reserved {
		r.GiveUp()
		s.front.core.End(r.id, brain.Reset, nil, brain.NoReport)
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

// Start assigns a job to the worker; the next fitting FETCH takes it.
func (s *session) Start(b core.Branch) core.Running {
	r := &reservation{s: s, job: b.Job.(*job), id: b.ID}
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
	s.front.core.End(b.ID, brain.Full, nil, s.load())
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
		s.front.core.End(r.id, brain.Cancelled, nil, s.load()) // another copy has ended it
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
		s.tell(brain.Ready)
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
		r.GiveUp()
		s.front.core.End(r.id, brain.TimedOut, nil, s.load())
	})
	r.job.state, r.job.updated = working, time.Now()
	c.bulk(r.job.text)
	c.next()
}

// GiveUp takes the branch out of the worker's hands. The protocol has no call-off:
// a worker that has the job goes on, and its late ACK finds nothing to end.
func (r *reservation) GiveUp() {
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
func (s *session) end(jid string, res brain.Result) bool {
	r := s.reserved[jid]
	if r == nil {
		return false
	}
	r.GiveUp()
	s.front.core.End(r.id, res, nil, s.load())
	return true
}

// load is the worker's load: fetches that wait, and jobs that wait for one.
func (s *session) load() brain.Report {
	r := brain.NoReport
	r.Told, r.FreeSlots, r.Queue = true, float64(len(s.parked)), float64(len(s.assigned))
	return r
}

// Probe reads the load.
func (s *session) Probe(done func(brain.Result, brain.Report)) { done(brain.OK, s.load()) }

// CloseIdle has nothing to close: the connections are the worker's.
func (s *session) CloseIdle() {}
