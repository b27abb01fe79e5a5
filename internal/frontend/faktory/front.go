package faktory

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// Front is the Faktory front.
type Front struct {
	loop     *eventloop.Loop
	core     *broker.Broker
	cfg      *Config
	set      balancer.Settings
	log      logrus.FieldLogger
	listener *eventloop.Listener
	classes  map[string]int
	tenants  map[string]int
	jobs     map[string]*job
	sessions map[string]*session
	held     int // bytes of the jobs that are open
	lastCell int
	draining bool
	routes   *routing.Table // nil: jobs go where the balancer decides
	began    time.Duration
	counts   struct{ refused, served, failed, commands int }
}

// New makes the front of a core with these settings, which Settings has made.
func New(loop *eventloop.Loop, cfg *Config, set balancer.Settings, log logrus.FieldLogger) (*Front, error) {
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
func (f *Front) Open(c *broker.Broker) error {
	f.core = c
	f.core.UpdateEndpoints(balancer.ListFull, nil)
	var err error
	// Input that waits may take a quarter as much as the jobs held, or else a little for
	// each connection and a few long lines.
	limits := eventloop.Limits{MaxConnections: f.cfg.Connections,
		MaxBufferBytes: max(f.cfg.Bytes/4, f.cfg.Connections<<12+4*f.cfg.LineBytes)}
	f.listener, err = f.loop.Listen(f.cfg.Listen, limits, f.accept)
	return err
}

// SetRoutes has jobs go by these rules, from the next one on; nil: by none.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// Configure takes over the classes' times, from the next job on.
func (f *Front) Configure(set balancer.Settings) { f.set = set }

// Drain takes no more jobs, lets those taken end and their producers look the
// answers up for a while, and calls done.
func (f *Front) Drain(done func()) {
	f.draining = true
	busy := f.core.PendingCount() > 0
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

var _ broker.Client = (*job)(nil)

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
	if d.RejectReason != "" {
		return busy(d.RejectReason, max(d.RetryAfter, time.Second))
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
	if err := f.core.Submit(t, j); err != nil {
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

func (f *Front) transaction(j *job) (t broker.Request, d routing.Decision, err error) {
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
	t = broker.Request{ID: j.JID, Class: -1, Payload: j, Slots: j.Custom.Slots, Account: j.Custom.Account,
		ExpectedWork: time.Duration(j.Custom.Cost * float64(time.Second))}
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
		d = f.routes.Decide(&routing.Job{Frontend: "faktory", Class: t.Class, Tenant: tenant, Queue: j.Queue,
			JobType: j.Type, ExpectedWork: t.ExpectedWork, ID: t.ID})
		t.Class, t.Route, t.MaxAttempts, t.AttemptTimeout = d.Class, d.Route, d.MaxAttempts, d.AttemptTimeout
		if d.RejectReason != "" {
			return t, d, nil
		}
	}
	if t.Class < 0 {
		return t, d, fmt.Errorf("jobtype %.60q has no class", j.Type)
	}
	t.Timeout = f.set.Classes[t.Class].Timeout
	if within := j.Custom.Deadline; within != nil {
		if !(*within > 0 && *within <= 86400) {
			return t, d, fmt.Errorf("custom.deadline must be seconds, above 0 and up to a day")
		}
		t.Timeout = time.Duration(*within * float64(time.Second))
	}
	if r := j.ReserveFor; r != nil && !(*r > 0 && *r <= 86400) {
		return t, d, fmt.Errorf("reserve_for must be seconds, above 0 and up to a day")
	}
	if c := j.Custom.Cost; c < 0 || c > 86400 || t.Slots < 0 || t.Slots > 1e6 {
		return t, d, fmt.Errorf("custom.cost or custom.slots is out of range")
	}
	return t, d, nil
}

// Respond keeps the final answer for the producer to look up.
func (j *job) Respond(a broker.Response) {
	j.over, j.updated = true, time.Now()
	j.front.held -= len(j.text)
	j.text = nil
	switch a.Kind {
	case broker.Served:
		j.state = success
		j.front.counts.served++
	case broker.Rejected:
		j.state, j.refused, j.retryAfter, j.why = failed, true, a.RetryAfter, a.Reason
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
		"faktory": map[string]any{"queues": waiting, "total_enqueued": f.core.PendingCount(),
			"total_queues": len(waiting), "total_processed": n.served + n.failed,
			"total_failures": n.failed, "total_refused": n.refused,
			"tasks": map[string]any{"Workers": map[string]int{"size": len(f.sessions)}}},
		"server": map[string]any{"description": "moorstack, in memory", "faktory_version": "1.9.0",
			"uptime": int((f.loop.Now() - f.began).Seconds()), "connections": f.listener.OpenCount(),
			"command_count": n.commands},
	}
}
