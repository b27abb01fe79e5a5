package emulate

import (
	"math/rand/v2"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// The values of Scenario.ListDelivery.
const (
	listPolled = "asked"  // each node watches a central service
	listPushed = "pushed" // an agent next to each node holds the list
)

// silentWatchLimit is the time after which a node is held responsible for updates that its silent watch did
// not deliver: it should have reopened the watch by then.
const silentWatchLimit = 6 * time.Second

// discoveryService delivers the endpoint list to the nodes: with a delay, containing only running and
// draining workers, and not at all while it is down.
type discoveryService struct {
	world      *World
	byName     map[string]*Worker
	down       bool
	extraDelay time.Duration // added to the scenario's list delay by a fault
	version    int
	lastChange map[string]int // version of each worker's last change
	watches    []*listClient
}

func newDiscoveryService(w *World) *discoveryService {
	s := &discoveryService{world: w, byName: map[string]*Worker{}, lastChange: map[string]int{}}
	for _, k := range w.workers {
		s.byName[k.Name] = k
	}
	return s
}

func (s *discoveryService) pushes() bool { return s.world.scenario.ListDelivery == listPushed }

// entry returns a worker's current list entry.
func (s *discoveryService) entry(k *Worker) broker.ListEntry {
	e := broker.ListEntry{Name: k.Name, Zone: k.Zone, Kind: k.Kind, Cell: k.Cell, State: balancer.Ready,
		Size: float64(k.Spec.Cores) * k.Spec.Speed}
	switch {
	case k.down:
		e.State = balancer.Removed
	case k.draining:
		e.State = balancer.Draining
	}
	if k.startedAt > 0 {
		e.StartedAt = k.startedAt + epoch
	}
	return e
}

// snapshot returns the current list.
func (s *discoveryService) snapshot() []broker.ListEntry {
	var list []broker.ListEntry
	for _, k := range s.world.workers {
		if !k.down {
			list = append(list, s.entry(k))
		}
	}
	return list
}

// workerChanged records that a worker started, began to drain or stopped, and publishes the change after the
// list delay.
func (s *discoveryService) workerChanged(k *Worker) {
	s.version++
	e, version := s.entry(k), s.version
	s.lastChange[k.Name] = version
	delay := time.Duration(s.world.scenario.ListDelay) + s.extraDelay
	s.world.Clock.schedule(s.world.Clock.now+delay, func() { s.publish(e, version) })
}

// publish sends an entry to all watches that are not silent.
func (s *discoveryService) publish(e broker.ListEntry, version int) {
	for _, c := range s.watches {
		if c.silent {
			s.countAsReceived(c, version, e)
			continue
		}
		c.receive(balancer.ListDelta, []broker.ListEntry{e})
	}
	if s.pushes() && !s.down {
		s.agentsUpdated([]broker.ListEntry{e})
	}
}

// agentsUpdated records that every running node has received the entries through its agent.
func (s *discoveryService) agentsUpdated(entries []broker.ListEntry) {
	for _, n := range s.world.nodes {
		if !n.down {
			s.world.invariants.listReceived(n, entries)
		}
	}
}

// countAsReceived records that a node has received an entry once its watch has been silent for
// silentWatchLimit, unless the node has restarted or the worker has changed again by then.
func (s *discoveryService) countAsReceived(c *listClient, version int, e broker.ListEntry) {
	if s.pushes() {
		return // agentsUpdated has recorded it
	}
	n, incarnation := c.node, c.incarnation
	s.world.Clock.schedule(max(c.silentSince+silentWatchLimit, s.world.Clock.now), func() {
		if n.incarnation == incarnation && !n.down && s.lastChange[e.Name] == version {
			s.world.invariants.listReceived(n, []broker.ListEntry{e})
		}
	})
}

// setDown stops the service and ends all watches, or starts it again.
func (s *discoveryService) setDown(down bool) {
	s.down = down
	if !down {
		if s.pushes() { // the agents receive the current list at once
			s.agentsUpdated(s.snapshot())
		}
		return
	}
	watches := s.watches
	s.watches = nil
	for _, c := range watches {
		c.watchFailed()
	}
}

// silenceWatches makes a random fraction of the open watches stop delivering updates while they stay open.
func (s *discoveryService) silenceWatches(fraction float64, random *rand.Rand) {
	clock := &s.world.Clock
	for _, c := range s.watches {
		if c.current() && !c.silent && random.Float64() < fraction {
			c.silent, c.silentSince = true, clock.now
			clock.schedule(clock.now+c.refreshPolicy().WatchTimeout(), c.restartSilentWatch)
		}
	}
}
