// Package node builds a node from its configuration: the loop, a core for each front,
// the fronts. It starts them in that order and ends them in the opposite one. It is
// the one place that knows all the parts.
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
	"moorstack/internal/proxy/hotrestart"
	"moorstack/internal/proxy/memtrim"
	"moorstack/internal/proxy/routing"
)

// Options are what a node is built from.
type Options struct {
	Platform  *platform.Config
	Faktory   *faktory.Config // nil: this front is off
	Log       logrus.FieldLogger
	Admission broker.AdmissionController // before the module, in all fronts; nil: none
	MaxProcs  int                        // goroutines that run at once; 1, if 0: the loop does all the work
}

// Node is a node that serves.
type Node struct {
	// OnReload, where it is set, is called on SIGHUP, on the node's loop.
	OnReload func()
	// OnShutdown, where it is set, is called when the node is asked to end, on its loop, before it drains.
	OnShutdown func()
	// OnStandby, where it is set, is called on the loop when an operator has the node stand by (true), and
	// when that ends.
	OnStandby func(bool)

	loop  *eventloop.Loop
	log   logrus.FieldLogger
	front *platform.Front
	cores []hosted
	drain func(done func())

	memory  int64    // the collector's limit, where this process is alone
	upgrade *upgrade // nil: no other process takes this one's place
}

// hosted is a core and how the node's settings are fitted to its front.
type hosted struct {
	*broker.Broker
	front string
	table *routing.Table // by which its front routes; nil: by none
	fit   func(balancer.Settings) balancer.Settings
	// told, where it is set, is the front's word of settings that its core has taken over.
	told   func(balancer.Settings)
	routes func(*routing.Table)
}

// route has the front go by a table.
func (h *hosted) route(t *routing.Table) {
	h.table = t
	h.routes(t)
}

// clock is the loop's clock as the core takes it.
type clock struct{ *eventloop.Loop }

func (c clock) At(at time.Duration, f func()) broker.Timer { return c.Loop.At(at, f) }

// New builds a node and opens its fronts. Nothing is served before Run.
func New(o Options) (*Node, error) {
	cfg := o.Platform
	set, err := cfg.Settings.Balancer()
	if err != nil {
		return nil, err
	}
	// One goroutine does all the work of the fronts. The collector works harder before
	// the memory limit, beyond which the node is killed, is near.
	runtime.GOMAXPROCS(max(o.MaxProcs, 1))
	memory := cfg.Limits.MemoryMB << 20 * 6 / 10
	debug.SetMemoryLimit(memory)
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{loop: loop, log: o.Log, memory: memory}
	var place hotrestart.SocketPath
	var offered *hotrestart.Inheritance
	began, strange := loop.Now(), false
	if cfg.HotRestartEnabled() && o.Faktory == nil {
		place, offered, strange = join(cfg, o.Log)
	}
	if o.Faktory != nil {
		// Its file may allow more than this node has.
		o.Faktory.Connections = min(o.Faktory.Connections, cfg.Limits.Sockets/4)
		o.Faktory.Bytes = min(o.Faktory.Bytes, int(cfg.Limits.MemoryMB<<20/4))
		cfg.Limits.ReservedDescriptors = o.Faktory.Connections
	}
	n.front = platform.New(loop, cfg, o.Log)
	c, err := broker.New(set, cfg.SeedValue(), clock{loop}, n.front.EndpointSource(), o.Log)
	if err != nil {
		return nil, err
	}
	c.SetAdmissionController(o.Admission)
	n.cores = append(
		n.cores,
		hosted{Broker: c, front: "http", fit: func(s balancer.Settings) balancer.Settings { return s },
			routes: n.front.SetRoutes},
	)
	if offered != nil {
		cfg.InheritDiscovery(offered.State.DiscoveryAddress, offered.State.ConfiguredDiscovery)
		offered.State.RebaseTimes(n.loop.Now())
		err = n.front.OpenInherited(c, offered.ListenerFD, offered.State, passed(offered.State))
	} else {
		err = n.front.Open(c)
	}
	if err != nil {
		return nil, err
	}
	if strange {
		n.front.ExpectUnknownPeer()
	}
	if cfg.HotRestartEnabled() && o.Faktory == nil {
		if err := n.begin(place, offered, began); err != nil {
			return nil, err
		}
	}
	n.drain = n.front.BeginShutdown
	if o.Faktory != nil {
		other, err := n.openFaktory(o.Faktory, set, cfg.SeedValue(), o.Admission)
		if err != nil {
			return nil, err
		}
		n.drain = func(done func()) { other.Drain(func() { n.front.BeginShutdown(done) }) }
	}
	if cfg.AdminAddress != "" {
		if _, err := adminproto.Listen(loop, cfg.AdminAddress, operators{n}); err != nil {
			return nil, fmt.Errorf("the second address (admin_addr): %w", err)
		}
	}
	o.Log.WithField("listen", cfg.ListenAddress).Info("serving")
	return n, nil
}

// openFaktory opens the second front. It has a route set of its own, and so a core
// of its own: jobs of the one protocol can't be worked on in the other.
func (n *Node) openFaktory(cfg *faktory.Config, set balancer.Settings, seed uint64,
	gate broker.AdmissionController) (*faktory.Front, error) {
	set = faktory.Settings(set)
	log := n.log.WithField("front", "faktory")
	front, err := faktory.New(n.loop, cfg, set, log)
	if err != nil {
		return nil, err
	}
	c, err := broker.New(set, seed, clock{n.loop}, nil, log)
	if err != nil {
		return nil, err
	}
	c.SetAdmissionController(gate)
	if err := front.Open(c); err != nil {
		return nil, err
	}
	n.cores = append(n.cores, hosted{Broker: c, front: "faktory", fit: faktory.Settings,
		told: front.Configure, routes: front.SetRoutes})
	log.WithField("listen", cfg.Listen).Info("serving")
	return front, nil
}

// Run serves until the node has been asked to end and has finished what it took. A
// SIGHUP among the signals reads the configuration anew, any other one ends the node.
//
// Hazard: a signal that nobody waits for yet ends the process, so the caller must have
// had them notified before it built the node.
func (n *Node) Run(signals <-chan os.Signal) error {
	go func() {
		for sig := range signals {
			n.loop.Post(func() {
				if sig == syscall.SIGHUP {
					n.front.Reload()
					if n.OnReload != nil {
						n.OnReload()
					}
					return
				}
				n.log.Info("asked to end")
				if n.OnShutdown != nil {
					n.OnShutdown()
				}
				n.drain(n.loop.Stop)
			})
		}
	}()
	n.loop.After(atRest, func() { n.rest(0) })
	return n.loop.Run()
}

// atRest is how often a node looks whether it has nothing to do.
const atRest = 2 * time.Second

// rest gives back what only the start, or work that is over, has used, where no job has come since
// the last look. Under load it would only cost faults.
func (n *Node) rest(before uint64) {
	sent, open := n.front.ForwardedCount(), 0
	for i := range n.cores {
		open += n.cores[i].PendingCount()
	}
	if sent == before && open == 0 {
		if _, err := memtrim.ReleaseFilePages(); err != nil {
			n.log.WithError(err).Debug("memory is not given back")
			return // nor will it be
		}
	}
	n.loop.After(atRest, func() { n.rest(sent) })
}

// RuntimeConfig are what a running node can take over: the classes and tenants of settings, and
// the rules by which jobs are routed.
type RuntimeConfig struct {
	Settings  balancer.Settings
	Routes    *routing.Table // nil: jobs go where the balancer decides
	OnApplied func()         // called in the turn that takes them over; may be nil
}

// Configure takes terms over, in all cores and fronts as one whole between two events of
// the loop. It may be called from any goroutine and returns when it is done: with an error
// if a core can't take them, and then none has.
func (n *Node) Configure(t RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.configure(t) })
	return <-done
}

// ValidateConfig says why Configure would fail, and changes nothing.
func (n *Node) ValidateConfig(t RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.canConfigure(t) })
	return <-done
}

func (n *Node) canConfigure(t RuntimeConfig) error {
	for _, c := range n.cores {
		if err := c.CanConfigure(c.fit(t.Settings)); err != nil {
			return fmt.Errorf("the settings can't be taken over: %w", err)
		}
	}
	return nil
}

func (n *Node) configure(t RuntimeConfig) error {
	set := t.Settings
	if err := n.canConfigure(t); err != nil {
		return err
	}
	for i := range n.cores {
		c := &n.cores[i]
		fitted := c.fit(set)
		c.Configure(fitted)
		if c.told != nil {
			c.told(fitted)
		}
		c.route(t.Routes)
	}
	if t.OnApplied != nil {
		t.OnApplied()
	}
	return nil
}
