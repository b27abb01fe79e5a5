package emulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/proxy/broker"
)

// How the list comes to nodes.
const (
	listPolled = "asked"
	listPushed = "pushed"
)

// silentWatchLimit is after how long what a silent watch did not say counts as told.
const silentWatchLimit = 6 * time.Second

// discoveryService tells nodes which workers there are: late, only of processes that run,
// drain or are gone, and not at all while it is down.
type discoveryService struct {
	world      *World
	byName     map[string]*Worker
	down       bool
	extraDelay time.Duration // a trouble: so much later
	version    int
	lastChange map[string]int // by worker: the version of its last change
	changes    []change
	watches    []*listClient
}

type change struct {
	version int
	at      time.Duration // when it may be told
	entry   broker.ListEntry
}

func (s *discoveryService) entry(k *Worker, state balancer.WorkerState) broker.ListEntry {
	e := broker.ListEntry{Name: k.Name, Zone: k.Zone, Kind: k.Kind, Cell: k.Cell, State: state,
		Size: float64(k.Spec.Cores) * k.Spec.Speed}
	if k.startedAt > 0 {
		e.StartedAt = k.startedAt + epoch
	}
	return e
}

// snapshot is the whole list as it was told up to a version; 0: as it is now.
func (s *discoveryService) snapshot(int) []broker.ListEntry {
	if s.byName == nil {
		s.byName = map[string]*Worker{}
		for _, k := range s.world.workers {
			s.byName[k.Name] = k
		}
	}
	var list []broker.ListEntry
	for _, k := range s.world.workers {
		switch {
		case k.down:
		case k.draining:
			list = append(list, s.entry(k, balancer.Draining))
		default:
			list = append(list, s.entry(k, balancer.Ready))
		}
	}
	return list
}

// workerChanged notes that a worker has started, drains or is gone; watchers hear of it late.
func (s *discoveryService) workerChanged(k *Worker) {
	state := balancer.Ready
	switch {
	case k.down:
		state = balancer.Removed
	case k.draining:
		state = balancer.Draining
	}
	s.version++
	e := s.entry(k, state)
	version := s.version
	if s.lastChange == nil {
		s.lastChange = map[string]int{}
	}
	s.lastChange[k.Name] = version
	delay := time.Duration(s.world.scenario.ListDelay) + s.extraDelay
	s.world.Clock.schedule(s.world.Clock.now+delay, func() {
		s.changes = append(s.changes, change{version, s.world.Clock.now, e})
		for _, d := range s.watches {
			if d.silent {
				s.countAsReceived(d, version, e)
				continue
			}
			d.deliver(balancer.ListDelta, []broker.ListEntry{e})
		}
		if s.world.scenario.ListDelivery == listPushed && !s.down {
			s.agentsUpdated([]broker.ListEntry{e})
		}
	})
}

// agentsUpdated notes that what the agents beside the nodes have counts as told.
func (s *discoveryService) agentsUpdated(entries []broker.ListEntry) {
	for _, n := range s.world.nodes {
		if n != nil && !n.down {
			s.world.invariants.listReceived(n, balancer.ListDelta, entries)
		}
	}
}

// countAsReceived has what a deaf watch misses count as told after missed, heard or not, if it still holds.
func (s *discoveryService) countAsReceived(d *listClient, version int, e broker.ListEntry) {
	if s.world.scenario.ListDelivery == listPushed {
		return // it counts already
	}
	n, life := d.node, d.incarnation
	s.world.Clock.schedule(max(d.silentSince+silentWatchLimit, s.world.Clock.now), func() {
		if n.incarnation == life && !n.down && s.lastChange[e.Name] == version {
			s.world.invariants.listReceived(n, balancer.ListDelta, []broker.ListEntry{e})
		}
	})
}

// setDown ends all watches.
func (s *discoveryService) setDown(down bool) {
	s.down = down
	if !down {
		if s.world.scenario.ListDelivery == listPushed { // what the agents get at the return counts at once
			s.agentsUpdated(s.snapshot(0))
		}
		return
	}
	old := s.watches
	s.watches = nil
	for _, d := range old {
		d.watchFailed()
	}
}

// silenceWatches has a part of the open watches say nothing more, though they stay open.
func (s *discoveryService) silenceWatches(part float64, rng *rand.Rand) {
	for _, d := range s.watches {
		if d.current() && !d.silent && rng.Float64() < part {
			d.silent, d.silentSince = true, s.world.Clock.now
			s.world.Clock.schedule(s.world.Clock.now+d.refreshPolicy().WatchTimeout(), d.restartSilentWatch)
		}
	}
}

// listClient is a node's way to the list service.
type listClient struct {
	node        *Node
	incarnation int
	watching    bool
	silent      bool          // its watch is open and says nothing
	silentSince time.Duration // when that began
}

var _ broker.EndpointSource = (*listClient)(nil)

func (d *listClient) current() bool { return d.node.incarnation == d.incarnation && !d.node.down }

// refreshPolicy are how fresh the list is kept, as the real front has them.
func (d *listClient) refreshPolicy() discovery.RefreshPolicy {
	set := &d.node.world.settings
	return discovery.RefreshPolicy{
		LocalAgent: !set.ListOnRequest,
		DrainGrace: set.Rules.DrainGrace,
		NodeIndex:  d.node.number,
		FleetSize:  set.DispatcherCount,
	}
}

// start begins to follow a list that is pushed, as the real front does.
func (d *listClient) start() {
	if !d.refreshPolicy().LocalAgent {
		return
	}
	if s := d.node.world.discovery; !s.down { // a new process is told from its first moment
		d.node.world.invariants.listReceived(d.node, balancer.ListDelta, s.snapshot(0))
	}
	d.WatchList(true)
	d.poll()
}

// poll asks the agent beside the node, and again after a while.
func (d *listClient) poll() {
	if !d.current() {
		return
	}
	d.fetchList()
	d.node.world.Clock.schedule(d.node.world.Clock.now+d.refreshPolicy().PollInterval(), d.poll)
}

// restartSilentWatch begins a watch anew that has said nothing for long.
func (d *listClient) restartSilentWatch() {
	if !d.current() || !d.silent {
		return
	}
	s := d.node.world.discovery
	s.watches = slices.DeleteFunc(s.watches, func(o *listClient) bool { return o == d })
	d.watching, d.silent = false, false
	d.WatchList(true)
}

func (d *listClient) deliver(kind balancer.ListUpdateKind, entries []broker.ListEntry) {
	if !d.current() {
		return
	}
	d.node.world.metrics.listEntries += len(entries)
	if kind != balancer.ListDelta {
		clear(d.node.knownList)
	}
	d.node.rememberList(entries)
	d.node.world.invariants.listReceived(d.node, kind, entries)
	d.node.broker.UpdateEndpoints(kind, d.node.withLinks(entries))
}

func (d *listClient) watchFailed() {
	w := d.node.world
	d.silent = false
	w.Clock.schedule(w.Clock.now+time.Duration(w.scenario.CrossZoneLatency), func() {
		if !d.current() {
			return
		}
		d.watching = false
		if r := d.refreshPolicy(); r.LocalAgent { // it is asked again soon, and the core has no part in it
			w.Clock.schedule(w.Clock.now+r.PollInterval(), func() {
				if d.current() {
					d.WatchList(true)
				}
			})
			return
		}
		d.node.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
	})
}

// WatchList implements core.Directory.
func (d *listClient) WatchList(on bool) {
	s := d.node.world.discovery
	if !on || d.watching {
		return
	}
	if s.down {
		d.watching = true // until that has failed
		d.watchFailed()
		return
	}
	d.watching = true
	w := d.node.world
	w.Clock.schedule(w.Clock.now+time.Duration(w.scenario.CrossZoneLatency)*2, func() {
		if !d.current() {
			return
		}
		if s.down {
			d.watchFailed()
			return
		}
		s.watches = append(s.watches, d)
		d.deliver(balancer.ListFull, s.snapshot(0))
	})
}

// fetchList implements core.Directory.
func (d *listClient) fetchList() {
	w := d.node.world
	if w.discovery.down {
		if !d.refreshPolicy().LocalAgent {
			d.watchFailed()
		}
		return
	}
	w.Clock.schedule(w.Clock.now+time.Duration(w.scenario.CrossZoneLatency)*2, func() {
		if d.current() && !w.discovery.down {
			d.deliver(balancer.ListFull, w.discovery.snapshot(0))
		}
	})
}
