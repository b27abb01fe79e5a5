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

// Front is the platform's front. It accepts client connections and owns the connections to workers and to
// discovery.
type Front struct {
	loop     *eventloop.Loop
	broker   *broker.Broker
	cfg      *Config
	names    nameIndex
	log      logrus.FieldLogger
	listener *eventloop.Listener

	clients map[*client]struct{}
	workers map[string]*worker     // by id
	entries map[string]workerEntry // the endpoint list in discovery's format, by id
	adopted map[string]*client     // requests migrated from the other process, by request id
	repeats callBackRepeats        // of call-backs whose responses were lost
	// unconfirmed holds the connections on which a call-back got its response, until the worker has certainly
	// read it.
	unconfirmed map[*client]callBackKey
	peerState                    // state shared with the other process of this node
	discovery   *discoveryClient // calls discovery
	initial     initialList      // the endpoint list from the configuration
	startTimes  startTimes       // of workers

	drain         drain.Machine
	shutdownAt    time.Duration // when the graceful shutdown was requested; 0: not requested
	counters      metrics.Counters
	accountHeader string         // the header field that names a request's account; empty: no account
	routes        *routing.Table // nil: no rules; the balancer alone selects the worker
	reuseFailedAt time.Duration  // when a reused worker connection was last reset during a request

	invalidLoadLogged bool // an invalid value of a load report was logged
}

// New returns a Front that does not serve yet; Open passes it the broker and starts it. The configuration
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
		unconfirmed:   map[*client]callBackKey{},
		peerState:     peerState{forwarded: map[uint64]forwardedCallBack{}},
		counters:      metrics.Counters{Classes: make([]metrics.ClassCounters, len(cfg.Settings.Classes))},
		reuseFailedAt: -reuseBackoff,
	}
	f.discovery = newDiscoveryClient(f)
	f.initial.front = f
	return f
}

// EndpointSource returns the source from which the broker requests the endpoint list.
func (f *Front) EndpointSource() broker.EndpointSource { return f.discovery }

// Open sets the broker, starts to retrieve the endpoint list and begins to listen. It fails if the front
// can't listen on its address.
func (f *Front) Open(b *broker.Broker) error {
	f.broker = b
	f.initial.begin()
	var err error
	f.listener, err = f.loop.Listen(f.cfg.ListenAddress, f.listenerLimits(), f.onAccept)
	f.discovery.open()
	return err
}

// listenerLimits returns the limits for accepted connections. They may use three quarters of the descriptors;
// a quarter is left for attempts, health checks and discovery. Their input buffers may use a quarter of the
// memory; results, requests in flight and the garbage collector's headroom need the rest. While two processes
// of a node serve, each has half of these limits.
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

// SetRoutes sets the routing table for all further requests; nil: no routing rules.
func (f *Front) SetRoutes(t *routing.Table) { f.routes = t }

// SetAccountHeader sets the header field that holds a request's account; empty: requests have no account.
func (f *Front) SetAccountHeader(header string) { f.accountHeader = header }

func (f *Front) onAccept(conn *eventloop.Conn) {
	c := &client{front: f, conn: conn, openedAt: f.loop.Now()}
	f.clients[c] = struct{}{}
	conn.Handler = c
}
