package emulate

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/proxy/broker"
)

// listClient is the connection of one incarnation of a node to the discovery service.
type listClient struct {
	node        *Node
	incarnation int
	watching    bool
	silent      bool          // its watch is open but delivers nothing
	silentSince time.Duration // when the watch became silent
}

var _ broker.EndpointSource = (*listClient)(nil)

func (c *listClient) current() bool { return c.node.incarnation == c.incarnation && !c.node.down }

// afterCrossings calls f after the latency of the given number of messages between zones, if the node still
// runs.
func (c *listClient) afterCrossings(count int, f func()) {
	w := c.node.world
	delay := time.Duration(w.scenario.CrossZoneLatency) * time.Duration(count)
	w.Clock.schedule(w.Clock.now+delay, func() {
		if c.current() {
			f()
		}
	})
}

// refreshPolicy returns the policy by which the production front refreshes the list.
func (c *listClient) refreshPolicy() discovery.RefreshPolicy {
	set := &c.node.world.settings
	return discovery.RefreshPolicy{
		LocalAgent: !set.ListOnRequest,
		DrainGrace: set.Rules.DrainGrace,
		NodeIndex:  c.node.number,
		FleetSize:  set.DispatcherCount,
	}
}

// start opens the watch and starts polling if the list is pushed by a local agent, as the production front
// does.
func (c *listClient) start() {
	if !c.refreshPolicy().LocalAgent {
		return
	}
	w := c.node.world
	if !w.discovery.down { // a new process can read the agent's list from the start
		w.invariants.listReceived(c.node, w.discovery.snapshot())
	}
	c.WatchList(true)
	c.poll()
}

// poll requests the list from the node's local agent, and schedules the next poll.
func (c *listClient) poll() {
	if !c.current() {
		return
	}
	w := c.node.world
	if !w.discovery.down {
		c.afterCrossings(2, func() {
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
	c.afterCrossings(2, func() {
		if s.down {
			c.watchFailed()
			return
		}
		s.watches = append(s.watches, c)
		c.receive(balancer.ListFull, s.snapshot())
	})
}

// restartSilentWatch replaces a watch that has been silent until its timeout.
func (c *listClient) restartSilentWatch() {
	if !c.current() || !c.silent {
		return
	}
	s := c.node.world.discovery
	s.watches = slices.DeleteFunc(s.watches, func(other *listClient) bool { return other == c })
	c.watching, c.silent = false, false
	c.WatchList(true)
}

// receive passes an update from the watch or a poll to the node.
func (c *listClient) receive(kind balancer.ListUpdateKind, entries []broker.ListEntry) {
	if !c.current() {
		return
	}
	n := c.node
	n.world.metrics.listEntries += len(entries)
	if kind != balancer.ListDelta {
		clear(n.knownList)
	}
	n.updateKnownList(entries)
	n.world.invariants.listReceived(n, entries)
	n.broker.UpdateEndpoints(kind, n.withLinks(entries))
}

// watchFailed handles the end of a watch, or a failure to open one.
func (c *listClient) watchFailed() {
	c.silent = false
	c.afterCrossings(1, func() {
		c.watching = false
		policy := c.refreshPolicy()
		if !policy.LocalAgent {
			c.node.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
			return
		}
		// With a local agent the watch is reopened after the poll interval, without the broker.
		clock := &c.node.world.Clock
		clock.schedule(clock.now+policy.PollInterval(), func() {
			if c.current() {
				c.WatchList(true)
			}
		})
	})
}
