package node

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/operate/adminproto"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/memtrim"
	"moorstack/internal/proxy/routing"
)

// Options configure a Node.
type Options struct {
	Platform *platform.Config
	Faktory  *faktory.Config // nil: this front is off
	Log      logrus.FieldLogger
	// Admission admits or rejects every job of every front, before the balancer; nil: all are admitted.
	Admission broker.AdmissionController
	MaxProcs  int // GOMAXPROCS; 0 means 1: the loop does all the work
}

// Node runs one event loop with the fronts and a broker for each front. Its methods may be called from any
// goroutine, unless stated otherwise.
type Node struct {
	// OnReload, if set, is called on the loop on SIGHUP.
	OnReload func()
	// OnShutdown, if set, is called on the loop when a graceful shutdown starts, before the drain.
	OnShutdown func()
	// OnStandby, if set, is called on the loop when an operator starts standby (true) and when standby ends
	// (false).
	OnStandby func(bool)

	loop     *eventloop.Loop
	log      logrus.FieldLogger
	front    *platform.Front
	brokers  []frontBroker
	shutdown *shutdown

	memoryLimit int64       // of the garbage collector, in bytes, while this is the node's only process
	hotRestart  *hotRestart // nil: hot restart is off
}

// frontBroker is a front's broker, with the functions that pass the node's configuration to both.
type frontBroker struct {
	*broker.Broker
	front string         // the front's name
	table *routing.Table // the front's routing rules; nil: none
	// adaptSettings adapts the node's settings to the front.
	adaptSettings func(balancer.Settings) balancer.Settings
	// configureFront, if set, is called with settings that the broker has applied.
	configureFront func(balancer.Settings)
	setRoutes      func(*routing.Table)
}

// applyRoutes sets the front's routing rules.
func (b *frontBroker) applyRoutes(t *routing.Table) {
	b.table = t
	b.setRoutes(t)
}

// clock adapts the loop's clock to broker.Clock.
type clock struct{ *eventloop.Loop }

// At implements broker.Clock.
func (c clock) At(at time.Duration, f func()) broker.Timer { return c.Loop.At(at, f) }

// New builds a node and opens its fronts. Nothing is served until Run is called.
func New(o Options) (*Node, error) {
	cfg := o.Platform
	settings, err := cfg.Settings.Balancer()
	if err != nil {
		return nil, err
	}
	memoryLimit := setProcessLimits(o)
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{loop: loop, log: o.Log, memoryLimit: memoryLimit, shutdown: &shutdown{loop: loop, log: o.Log}}
	if err := n.openPlatform(o, settings); err != nil {
		return nil, err
	}
	n.shutdown.add(routing.FrontHTTP, n.front)
	if o.Faktory != nil {
		faktoryFront, err := n.openFaktory(o, settings)
		if err != nil {
			return nil, err
		}
		n.shutdown.add(routing.FrontFaktory, faktoryFront)
	}
	if cfg.AdminAddress != "" {
		if _, err := adminproto.Listen(loop, cfg.AdminAddress, adminCommands{n}); err != nil {
			return nil, fmt.Errorf("listening on admin_addr: %w", err)
		}
	}
	o.Log.WithField("address", cfg.ListenAddress).Info("serving")
	return n, nil
}

// setProcessLimits sets GOMAXPROCS and the garbage collector's memory limit, which it returns in bytes.
func setProcessLimits(o Options) (memoryLimit int64) {
	// One goroutine does all the work of the fronts.
	runtime.GOMAXPROCS(max(o.MaxProcs, 1))
	// At 60% of the memory limit, beyond which the node is killed, the collector starts to work harder.
	memoryLimit = o.Platform.Limits.MemoryMB << 20 * 6 / 10
	debug.SetMemoryLimit(memoryLimit)
	return memoryLimit
}

// openPlatform opens the platform's front. If a parent process passes its state on, the front takes over from
// it.
func (n *Node) openPlatform(o Options, settings balancer.Settings) error {
	cfg, startedAt := o.Platform, n.loop.Now()
	restartable := cfg.HotRestartEnabled() && o.Faktory == nil
	var p parentProcess
	if restartable {
		p = joinParent(cfg, o.Log)
	}
	if o.Faktory != nil {
		boundFaktoryLimits(o)
	}
	n.front = platform.New(n.loop, cfg, o.Log)
	b, err := broker.New(settings, cfg.SeedValue(), clock{n.loop}, n.front.EndpointSource(), o.Log)
	if err != nil {
		return err
	}
	b.SetAdmissionController(o.Admission)
	n.brokers = append(n.brokers, frontBroker{Broker: b, front: routing.FrontHTTP,
		setRoutes:     n.front.SetRoutes,
		adaptSettings: func(s balancer.Settings) balancer.Settings { return s }})
	if p.inheritance == nil {
		err = n.front.Open(b)
	} else {
		err = n.openFromParent(cfg, b, p.inheritance)
	}
	if err != nil {
		return err
	}
	if p.parentServes {
		n.front.ExpectUnlinkedPeer()
	}
	if restartable {
		return n.startHotRestart(p, startedAt)
	}
	return nil
}

// boundFaktoryLimits bounds the Faktory front's share of the node's sockets and memory: its configuration
// file may allow more than the node has.
func boundFaktoryLimits(o Options) {
	limits := &o.Platform.Limits
	o.Faktory.MaxConnections = min(o.Faktory.MaxConnections, limits.Sockets/4)
	o.Faktory.MaxJobBytes = min(o.Faktory.MaxJobBytes, int(limits.MemoryMB<<20/4))
	limits.ReservedDescriptors = o.Faktory.MaxConnections
}

// openFaktory opens the Faktory front. It has a separate endpoint list and therefore a separate broker:
// workers of one protocol can't run jobs of the other.
func (n *Node) openFaktory(o Options, settings balancer.Settings) (*faktory.Front, error) {
	settings = faktory.AdaptSettings(settings)
	log := n.log.WithField("front", routing.FrontFaktory)
	front, err := faktory.New(n.loop, o.Faktory, settings, log)
	if err != nil {
		return nil, err
	}
	b, err := broker.New(settings, o.Platform.SeedValue(), clock{n.loop}, nil, log)
	if err != nil {
		return nil, err
	}
	b.SetAdmissionController(o.Admission)
	if err := front.Open(b); err != nil {
		return nil, err
	}
	n.brokers = append(n.brokers, frontBroker{Broker: b, front: routing.FrontFaktory,
		adaptSettings:  faktory.AdaptSettings,
		configureFront: front.ApplySettings, setRoutes: front.SetRoutingTable})
	log.WithField("address", o.Faktory.Listen).Info("serving")
	return front, nil
}

// Run serves until a graceful shutdown has finished all accepted work. SIGHUP reloads the configuration, any
// other signal starts the shutdown.
//
// The caller must register the signals with signal.Notify before it calls New: until then, a signal ends the
// process at once.
func (n *Node) Run(signals <-chan os.Signal) error {
	go func() {
		for sig := range signals {
			n.loop.Post(func() { n.handleSignal(sig) })
		}
	}()
	n.loop.After(idleCheckInterval, func() { n.trimMemory(0) })
	return n.loop.Run()
}

func (n *Node) handleSignal(sig os.Signal) {
	if sig == syscall.SIGHUP {
		n.front.Reload()
		if n.OnReload != nil {
			n.OnReload()
		}
		return
	}
	n.log.WithField("signal", sig.String()).Info("graceful shutdown started")
	if n.OnShutdown != nil {
		n.OnShutdown()
	}
	n.shutdown.begin(n.loop.Stop)
}

// idleCheckInterval is how often a node checks whether it is idle.
const idleCheckInterval = 2 * time.Second

// trimMemory returns memory to the system that was used only at the start or by finished work, if no job has
// arrived since the last check. Under load it would only cost page faults.
func (n *Node) trimMemory(forwardsBefore uint64) {
	forwards, inFlight := n.front.ForwardedCount(), 0
	for i := range n.brokers {
		inFlight += n.brokers[i].PendingCount()
	}
	if forwards == forwardsBefore && inFlight == 0 {
		if _, err := memtrim.ReleaseFilePages(); err != nil {
			n.log.WithError(err).Debug("resident memory not trimmed")
			return // further attempts would fail too
		}
	}
	n.loop.After(idleCheckInterval, func() { n.trimMemory(forwards) })
}
