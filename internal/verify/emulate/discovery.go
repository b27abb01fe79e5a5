package emulate

import (
	"math/rand/v2"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// How the endpoint list comes to nodes, in the scenario's words.
const (
	listPolled = "asked"  // each node has a watch at a service for all
	listPushed = "pushed" // an agent beside each node has it
)

// silentWatchLimit is after how long a node counts as having received what its silent watch did not bring.
const silentWatchLimit = 6 * time.Second

// discoveryService sends the nodes the endpoint list: late, only workers that run or drain, and nothing
// while it is down.
type discoveryService struct {
	world      *World
	byName     map[string]*Worker
	down       bool
	extraDelay time.Duration // a fault: so much later
	version    int
	lastChange map[string]int // by worker: the version of its last change
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

// entry is a worker's entry of the list, as it is now.
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

// snapshot is the whole list as it is now.
func (s *discoveryService) snapshot() []broker.ListEntry {
	var list []broker.ListEntry
	for _, k := range s.world.workers {
		if !k.down {
			list = append(list, s.entry(k))
		}
	}
	return list
}

// workerChanged follows a worker's start, drain or end. Watches receive it late.
func (s *discoveryService) workerChanged(k *Worker) {
	s.version++
	e, version := s.entry(k), s.version
	s.lastChange[k.Name] = version
	delay := time.Duration(s.world.scenario.ListDelay) + s.extraDelay
	s.world.Clock.schedule(s.world.Clock.now+delay, func() { s.publish(e, version) })
}

// publish sends an entry to all watches. The silent ones do not receive it.
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

// agentsUpdated has every node count as having received what the agent beside it has.
func (s *discoveryService) agentsUpdated(entries []broker.ListEntry) {
	for _, n := range s.world.nodes {
		if !n.down {
			s.world.invariants.listReceived(n, entries)
		}
	}
}

// countAsReceived has a node count as having received, after silentWatchLimit, what its silent watch did not
// bring, if that still holds then.
func (s *discoveryService) countAsReceived(c *listClient, version int, e broker.ListEntry) {
	if s.pushes() {
		return // it counts already
	}
	n, incarnation := c.node, c.incarnation
	s.world.Clock.schedule(max(c.silentSince+silentWatchLimit, s.world.Clock.now), func() {
		if n.incarnation == incarnation && !n.down && s.lastChange[e.Name] == version {
			s.world.invariants.listReceived(n, []broker.ListEntry{e})
		}
	})
}

// setDown ends all watches, or lets them come again.
func (s *discoveryService) setDown(down bool) {
	s.down = down
	if !down {
		if s.pushes() { // what the agents receive at the return counts at once
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

// silenceWatches has a fraction of the open watches send nothing more, though they stay open.
func (s *discoveryService) silenceWatches(fraction float64, random *rand.Rand) {
	clock := &s.world.Clock
	for _, c := range s.watches {
		if c.current() && !c.silent && random.Float64() < fraction {
			c.silent, c.silentSince = true, clock.now
			clock.schedule(clock.now+c.refreshPolicy().WatchTimeout(), c.restartSilentWatch)
		}
	}
}
