package platform

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
	"moorstack/internal/proxy/metrics"
	"moorstack/internal/proxy/routing"
)

// Front is the platform's frontend: it accepts clients and holds the connections to workers and discovery.
type Front struct {
	loop     *eventloop.Loop
	broker   *broker.Broker
	cfg      *Config
	names    nameIndex
	log      logrus.FieldLogger
	listener *eventloop.Listener

	clients    map[*client]struct{}
	workers    map[string]*worker     // by id
	entries    map[string]workerEntry // the endpoint list in discovery's form, by id
	adopted    map[string]*client     // requests that the other process migrated to this one, by id
	peerState                         // what concerns the other process of this node
	directory  *directory             // the calls of discovery
	initial    initialList            // the list of the configuration
	startTimes startTimes             // of workers

	drain         drain.Machine
	shutdownAt    time.Duration // when the process was requested to end; 0: it was not
	counters      metrics.Counters
	accountHeader string         // the field that names a request's account; empty: none does
	routes        *routing.Table // nil: the balancer alone chooses the worker
	reuseFailedAt time.Duration  // when a reused connection to a worker was last reset under a request
}

// New returns a Front that does not serve yet: Open starts it, once it has its broker. The configuration
// must have been validated, as ReadConfig does.
func New(loop *eventloop.Loop, cfg *Config, log logrus.FieldLogger) *Front {
	f := &Front{
		loop:          loop,
		cfg:           cfg,
		names:         newNameIndex(&cfg.Settings),
		log:           log,
		clients:       map[*client]struct{}{},
		workers:       map[string]*worker{},
		entries:       map[string]workerEntry{},
		adopted:       map[string]*client{},
		peerState:     peerState{forwarded: map[uint64]*client{}},
		counters:      metrics.Counters{Classes: make([]metrics.ClassCounters, len(cfg.Settings.Classes))},
		reuseFailedAt: -reuseBackoff,
	}
	f.directory = newDirectory(f)
	f.initial.front = f
	return f
}

// EndpointSource is where the broker requests the endpoint list.
func (f *Front) EndpointSource() broker.EndpointSource { return f.directory }

// Open passes the configured list to the broker and begins to listen. It fails if the address can't be
// listened on.
func (f *Front) Open(b *broker.Broker) error {
	f.broker = b
	f.initial.begin()
	var err error
	f.listener, err = f.loop.Listen(f.cfg.ListenAddress, f.listenerLimits(), f.onAccept)
	f.directory.open()
	return err
}

// listenerLimits are what accepted connections may take: a quarter of the descriptors is kept for attempts,
// health checks and discovery. A quarter of the memory may hold what has come in; results, the requests in
// flight and the collector's slack need the rest. Two processes of one node have half of that each.
func (f *Front) listenerLimits() eventloop.Limits {
	limits, processes := f.cfg.Limits, 1
	if f.limitsShared {
		processes = 2
	}
	return eventloop.Limits{
		MaxConnections: (limits.Sockets*3/4 - limits.ReservedDescriptors) / processes,
		MaxBufferBytes: int(limits.MemoryMB<<20/4) / processes,
		ReusePort:      f.cfg.HotRestartEnabled(),
	}
}

// SetRoutes has requests routed by the table, from the next one on; nil: by none.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// SetAccountHeader names the header field that holds a request's account; empty: requests have none.
func (f *Front) SetAccountHeader(header string) { f.accountHeader = header }

func (f *Front) onAccept(conn *eventloop.Conn) {
	c := &client{front: f, conn: conn, openedAt: f.loop.Now()}
	f.clients[c] = struct{}{}
	conn.Handler = c
}
