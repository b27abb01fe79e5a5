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

// Options are what a node is built from.
type Options struct {
	Platform *platform.Config
	Faktory  *faktory.Config // nil: this front is off
	Log      logrus.FieldLogger
	// Admission decides on every job, in all fronts, before the balancer; nil: all are admitted.
	Admission broker.AdmissionController
	MaxProcs  int // goroutines that run at once; 1, if 0: the loop does all the work
}

// Node is a node that serves: one event loop, the fronts, and a broker for each front. Its methods may be
// called from any goroutine, unless stated otherwise.
type Node struct {
	// OnReload, where it is set, is called on SIGHUP, on the node's loop.
	OnReload func()
	// OnShutdown, where it is set, is called on the loop when the node is ordered to end, before it drains.
	OnShutdown func()
	// OnStandby, where it is set, is called on the loop when an operator has the node stand by (true), and
	// when that ends.
	OnStandby func(bool)

	loop    *eventloop.Loop
	log     logrus.FieldLogger
	front   *platform.Front
	brokers []frontBroker
	drain   func(done func())

	memoryLimit int64       // the collector's, in bytes, where this process is alone
	hotRestart  *hotRestart // nil: no other process can take this one's place
}

// frontBroker is a front's broker, and how the node's configuration reaches the two.
type frontBroker struct {
	*broker.Broker
	front string         // its name
	table *routing.Table // by which the front routes; nil: by none
	// fit makes the front's settings of the node's.
	fit func(balancer.Settings) balancer.Settings
	// configureFront, where it is set, is called with settings that the broker has taken over.
	configureFront func(balancer.Settings)
	setRoutes      func(*routing.Table)
}

// route has the front route by a table.
func (c *frontBroker) route(t *routing.Table) {
	c.table = t
	c.setRoutes(t)
}

// clock is the loop's clock as the broker takes it.
type clock struct{ *eventloop.Loop }

// At implements broker.Clock.
func (c clock) At(at time.Duration, f func()) broker.Timer { return c.Loop.At(at, f) }

// New builds a node and opens its fronts. Nothing is served before Run.
func New(o Options) (*Node, error) {
	cfg := o.Platform
	set, err := cfg.Settings.Balancer()
	if err != nil {
		return nil, err
	}
	memoryLimit := limitProcess(o)
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{loop: loop, log: o.Log, memoryLimit: memoryLimit}
	if err := n.openPlatform(o, set); err != nil {
		return nil, err
	}
	n.drain = n.front.BeginShutdown
	if o.Faktory != nil {
		other, err := n.openFaktory(o, set)
		if err != nil {
			return nil, err
		}
		n.drain = func(done func()) { other.Drain(func() { n.front.BeginShutdown(done) }) }
	}
	if cfg.AdminAddress != "" {
		if _, err := adminproto.Listen(loop, cfg.AdminAddress, adminCommands{n}); err != nil {
			return nil, fmt.Errorf("the second address (admin_addr): %w", err)
		}
	}
	o.Log.WithField("address", cfg.ListenAddress).Info("serving")
	return n, nil
}

// limitProcess sets how many goroutines run at once, and the collector's limit, which it returns in bytes.
func limitProcess(o Options) (memoryLimit int64) {
	// One goroutine does all the work of the fronts.
	runtime.GOMAXPROCS(max(o.MaxProcs, 1))
	// The collector works harder before the memory limit, beyond which the node is killed, is near.
	memoryLimit = o.Platform.Limits.MemoryMB << 20 * 6 / 10
	debug.SetMemoryLimit(memoryLimit)
	return memoryLimit
}

// openPlatform opens the platform's front: in the place of the process before this one, if there is one that
// passes its state on.
func (n *Node) openPlatform(o Options, set balancer.Settings) error {
	cfg, began := o.Platform, n.loop.Now()
	restartable := cfg.HotRestartEnabled() && o.Faktory == nil
	var p parentProcess
	if restartable {
		p = joinParent(cfg, o.Log)
	}
	if o.Faktory != nil {
		limitFaktory(o)
	}
	n.front = platform.New(n.loop, cfg, o.Log)
	c, err := broker.New(set, cfg.SeedValue(), clock{n.loop}, n.front.EndpointSource(), o.Log)
	if err != nil {
		return err
	}
	c.SetAdmissionController(o.Admission)
	n.brokers = append(n.brokers, frontBroker{Broker: c, front: routing.FrontHTTP,
		setRoutes: n.front.SetRoutes, fit: func(s balancer.Settings) balancer.Settings { return s }})
	if p.offered == nil {
		err = n.front.Open(c)
	} else {
		err = n.openFromParent(cfg, c, p.offered)
	}
	if err != nil {
		return err
	}
	if p.serves {
		n.front.ExpectUnlinkedPeer()
	}
	if restartable {
		return n.startHotRestart(p, began)
	}
	return nil
}

// limitFaktory bounds what the Faktory front takes of the node's sockets and memory: its file may allow more
// than the node has.
func limitFaktory(o Options) {
	limits := &o.Platform.Limits
	o.Faktory.MaxConnections = min(o.Faktory.MaxConnections, limits.Sockets/4)
	o.Faktory.MaxJobBytes = min(o.Faktory.MaxJobBytes, int(limits.MemoryMB<<20/4))
	limits.ReservedDescriptors = o.Faktory.MaxConnections
}

// openFaktory opens the second front. It has an endpoint list of its own, and so a broker of its own: jobs of
// the one protocol can't be worked on in the other.
func (n *Node) openFaktory(o Options, set balancer.Settings) (*faktory.Front, error) {
	set = faktory.AdaptSettings(set)
	log := n.log.WithField("front", routing.FrontFaktory)
	front, err := faktory.New(n.loop, o.Faktory, set, log)
	if err != nil {
		return nil, err
	}
	c, err := broker.New(set, o.Platform.SeedValue(), clock{n.loop}, nil, log)
	if err != nil {
		return nil, err
	}
	c.SetAdmissionController(o.Admission)
	if err := front.Open(c); err != nil {
		return nil, err
	}
	n.brokers = append(n.brokers, frontBroker{Broker: c, front: routing.FrontFaktory,
		fit:            faktory.AdaptSettings,
		configureFront: front.ApplySettings, setRoutes: front.SetRoutingTable})
	log.WithField("address", o.Faktory.Listen).Info("serving")
	return front, nil
}

// Run serves until the node has been ordered to end and has finished what it took. A SIGHUP among the signals
// reloads the configuration, any other one ends the node.
//
// Hazard: a signal that nobody waits for yet ends the process, so the caller must have had them notified
// before it built the node.
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
	n.drain(n.loop.Stop)
}

// idleCheckInterval is how often a node checks whether it is idle.
const idleCheckInterval = 2 * time.Second

// trimMemory gives memory back that only the start, or work that has ended, has used, where no job has come
// since the last check. Under load it would only cost page faults.
func (n *Node) trimMemory(forwardsBefore uint64) {
	forwards, inFlight := n.front.ForwardedCount(), 0
	for i := range n.brokers {
		inFlight += n.brokers[i].PendingCount()
	}
	if forwards == forwardsBefore && inFlight == 0 {
		if _, err := memtrim.ReleaseFilePages(); err != nil {
			n.log.WithError(err).Debug("resident memory not trimmed")
			return // nor will it be
		}
	}
	n.loop.After(idleCheckInterval, func() { n.trimMemory(forwards) })
}
