package faktory

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
	"moorstack/internal/proxy/routing"
)

const (
	// drainCheckInterval is how often a graceful shutdown checks whether all jobs have ended.
	drainCheckInterval = 10 * time.Millisecond
	// unreadResponseWait is how long after its end a job delays a drain if nobody has read its result.
	unreadResponseWait = 3 * time.Second
)

// Front accepts producers and workers that use the Faktory work protocol. Its methods must be
// called on the event loop's goroutine.
type Front struct {
	loop         *eventloop.Loop
	broker       *broker.Broker
	cfg          *Config
	settings     balancer.Settings
	log          logrus.FieldLogger
	listener     *eventloop.Listener
	classes      map[string]int // by job type or class name
	tenants      map[string]int
	jobs         map[string]*job
	sessions     map[string]*session
	pendingBytes int // total size of the unfinished jobs
	lastCell     int // last cell of a worker without a pod label; they count down from -1
	draining     bool
	routingTable *routing.Table // nil: no rules; the balancer alone selects the worker
	startedAt    time.Duration
	counts       counters
	turns        turns
}

// counters count jobs and commands since the start of the process.
type counters struct{ rejected, served, failed, commands int }

// New returns a Front that does not serve yet; Open starts it. The settings must come from AdaptSettings. New
// fails if the configuration gives a job type a class that the settings don't define.
func New(loop *eventloop.Loop, cfg *Config, set balancer.Settings, log logrus.FieldLogger) (*Front, error) {
	f := &Front{loop: loop, cfg: cfg, settings: set, log: log, classes: map[string]int{},
		tenants: map[string]int{}, jobs: map[string]*job{}, sessions: map[string]*session{},
		startedAt: loop.Now()}
	f.turns.front = f
	for i, c := range set.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = i
	}
	for jobType, class := range cfg.ClassByJobType {
		i, ok := f.classes[class]
		if !ok {
			return nil, fmt.Errorf("classes: job type %q has class %q, which the settings don't define",
				jobType, class)
		}
		f.classes[jobType] = i
	}
	return f, nil
}

// Open sets the broker and begins to listen. The broker's endpoint list is empty until a worker fetches.
func (f *Front) Open(b *broker.Broker) error {
	f.broker = b
	f.broker.UpdateEndpoints(balancer.ListFull, nil)
	var err error
	// Input buffers may use a quarter of the limit for unfinished jobs, but at least 4 KiB for each
	// connection and four lines of the maximum length.
	limits := eventloop.Limits{MaxConnections: f.cfg.MaxConnections,
		MaxBufferBytes: max(f.cfg.MaxJobBytes/4, f.cfg.MaxConnections<<12+4*f.cfg.MaxLineBytes)}
	f.listener, err = f.loop.Listen(f.cfg.Listen, limits, f.accept)
	return err
}

// SetRoutingTable sets the routing table for all further jobs; nil: no routing rules.
func (f *Front) SetRoutingTable(t *routing.Table) { f.routingTable = t }

// ApplySettings replaces the settings. The classes' new timeouts apply to all further jobs.
func (f *Front) ApplySettings(set balancer.Settings) { f.settings = set }

// BeginShutdown begins a graceful shutdown: new jobs are rejected, and done is called once all accepted jobs
// have ended and, for up to unreadResponseWait, until their results have been read. Results can still be read
// afterwards, on the connections that are open. Only the first call has an effect.
func (f *Front) BeginShutdown(done func()) {
	if !f.draining {
		f.draining = true
		f.awaitDrained(done)
	}
}

// awaitDrained closes the listener and calls done once nothing is pending.
func (f *Front) awaitDrained(done func()) {
	if p := f.DrainPending(); p.Jobs > 0 || p.UnreadResults > 0 {
		f.loop.After(drainCheckInterval, func() { f.awaitDrained(done) })
		return
	}
	f.listener.Close()
	done()
}

// DrainPending returns what a graceful shutdown of the front still waits for.
func (f *Front) DrainPending() drain.Pending {
	p := drain.Pending{Jobs: f.broker.PendingCount(), Connections: f.listener.OpenCount()}
	for _, j := range f.jobs {
		if j.finished && !j.responseRead && time.Since(j.updatedAt) < unreadResponseWait {
			p.UnreadResults++
		}
	}
	return p
}
