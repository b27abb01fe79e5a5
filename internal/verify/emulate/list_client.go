package emulate

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/proxy/broker"
)

// listClient is a node's way to the discovery service, for one incarnation of the node.
type listClient struct {
	node        *Node
	incarnation int
	watching    bool
	silent      bool          // its watch is open and brings nothing
	silentSince time.Duration // when that began
}

var _ broker.EndpointSource = (*listClient)(nil)

func (c *listClient) current() bool { return c.node.incarnation == c.incarnation && !c.node.down }

// afterCrossing calls f after messages have crossed between zones so many times, if the node still runs.
func (c *listClient) afterCrossing(times int, f func()) {
	w := c.node.world
	delay := time.Duration(w.scenario.CrossZoneLatency) * time.Duration(times)
	w.Clock.schedule(w.Clock.now+delay, func() {
		if c.current() {
			f()
		}
	})
}

// refreshPolicy is how fresh the list is kept, as the real frontend has it.
func (c *listClient) refreshPolicy() discovery.RefreshPolicy {
	set := &c.node.world.settings
	return discovery.RefreshPolicy{
		LocalAgent: !set.ListOnRequest,
		DrainGrace: set.Rules.DrainGrace,
		NodeIndex:  c.node.number,
		FleetSize:  set.DispatcherCount,
	}
}

// start begins to follow a list that is pushed, as the real frontend does.
func (c *listClient) start() {
	if !c.refreshPolicy().LocalAgent {
		return
	}
	w := c.node.world
	if !w.discovery.down { // a new process counts as having received it from its first moment
		w.invariants.listReceived(c.node, w.discovery.snapshot())
	}
	c.WatchList(true)
	c.poll()
}

// poll requests the list from the agent beside the node, and again after a while.
func (c *listClient) poll() {
	if !c.current() {
		return
	}
	w := c.node.world
	if !w.discovery.down {
		c.afterCrossing(2, func() {
			if !w.discovery.down {
				c.receive(balancer.ListFull, w.discovery.snapshot())
			}
		})
	}
	w.Clock.schedule(w.Clock.now+c.refreshPolicy().PollInterval(), c.poll)
}

// WatchList implements broker.EndpointSource.
func (c *listClient) WatchList(on bool) {
	if !on || c.watching {
		return
	}
	c.watching = true
	s := c.node.world.discovery
	if s.down {
		c.watchFailed()
		return
	}
	c.afterCrossing(2, func() {
		if s.down {
			c.watchFailed()
			return
		}
		s.watches = append(s.watches, c)
		c.receive(balancer.ListFull, s.snapshot())
	})
}

// restartSilentWatch begins another watch in place of one that has been silent for too long.
func (c *listClient) restartSilentWatch() {
	if !c.current() || !c.silent {
		return
	}
	s := c.node.world.discovery
	s.watches = slices.DeleteFunc(s.watches, func(other *listClient) bool { return other == c })
	c.watching, c.silent = false, false
	c.WatchList(true)
}

// receive hands the node what its watch or its poll has brought.
func (c *listClient) receive(kind balancer.ListUpdateKind, entries []broker.ListEntry) {
	if !c.current() {
		return
	}
	n := c.node
	n.world.metrics.listEntries += len(entries)
	if kind != balancer.ListDelta {
		clear(n.knownList)
	}
	n.rememberList(entries)
	n.world.invariants.listReceived(n, entries)
	n.broker.UpdateEndpoints(kind, n.withLinks(entries))
}

// watchFailed is the end of a watch, or of the try to open one.
func (c *listClient) watchFailed() {
	c.silent = false
	c.afterCrossing(1, func() {
		c.watching = false
		policy := c.refreshPolicy()
		if !policy.LocalAgent {
			c.node.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
			return
		}
		// It is opened again soon, and the broker has no part in it.
		clock := &c.node.world.Clock
		clock.schedule(clock.now+policy.PollInterval(), func() {
			if c.current() {
				c.WatchList(true)
			}
		})
	})
}
