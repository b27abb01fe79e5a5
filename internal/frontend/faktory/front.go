package faktory

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

const (
	// drainPoll is how often a drain checks whether all jobs have ended.
	drainPoll = 10 * time.Millisecond
	// unreadResponseWait is for how long after its end a job whose result nobody has read delays a drain.
	unreadResponseWait = 3 * time.Second
)

// Front is the Faktory frontend. All its methods are for the event loop's goroutine.
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
	pendingBytes int // of the unfinished jobs
	lastCell     int // given to a worker without a pod label; they count down from -1
	draining     bool
	routingTable *routing.Table // nil: jobs go where the balancer decides
	startedAt    time.Duration
	counts       counters
}

// counters are since the process's start.
type counters struct{ rejected, served, failed, commands int }

// New makes the frontend with these settings, which AdaptSettings has made. It fails if a job type has a
// class that the settings don't have.
func New(loop *eventloop.Loop, cfg *Config, set balancer.Settings, log logrus.FieldLogger) (*Front, error) {
	f := &Front{loop: loop, cfg: cfg, settings: set, log: log, classes: map[string]int{},
		tenants: map[string]int{}, jobs: map[string]*job{}, sessions: map[string]*session{},
		startedAt: loop.Now()}
	for i, c := range set.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = i
	}
	for jobType, class := range cfg.ClassByJobType {
		i, ok := f.classes[class]
		if !ok {
			return nil, fmt.Errorf("job type %q: the settings have no class %q", jobType, class)
		}
		f.classes[jobType] = i
	}
	return f, nil
}

// Open begins to listen, for the broker. The endpoint list is empty until a worker fetches.
func (f *Front) Open(b *broker.Broker) error {
	f.broker = b
	f.broker.UpdateEndpoints(balancer.ListFull, nil)
	var err error
	// Input that waits may take a quarter as much as the unfinished jobs, or else a little for
	// each connection and a few long lines.
	limits := eventloop.Limits{MaxConnections: f.cfg.MaxConnections,
		MaxBufferBytes: max(f.cfg.MaxJobBytes/4, f.cfg.MaxConnections<<12+4*f.cfg.MaxLineBytes)}
	f.listener, err = f.loop.Listen(f.cfg.Listen, limits, f.accept)
	return err
}

// SetRoutingTable has jobs routed by these rules, from the next one on; nil: by none.
func (f *Front) SetRoutingTable(t *routing.Table) { f.routingTable = t }

// ApplySettings takes over the classes' timeouts, from the next job on.
func (f *Front) ApplySettings(set balancer.Settings) { f.settings = set }

// Drain rejects new jobs, lets accepted ones end and their producers read the results for a while, and
// then closes the listener and calls done.
func (f *Front) Drain(done func()) {
	f.draining = true
	pending := f.broker.PendingCount() > 0
	for _, j := range f.jobs {
		pending = pending || j.finished && !j.responseRead && time.Since(j.updatedAt) < unreadResponseWait
	}
	if pending {
		f.loop.After(drainPoll, func() { f.Drain(done) })
		return
	}
	f.listener.Close()
	done()
}
