package emulate

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/proxy/broker"
)

// epoch is the offset of the nodes' clocks from the world's clock. It keeps their times above 0, because a
// start time of 0 means an unknown time long ago.
const epoch = 24 * time.Hour

// Node is one process of a node. It runs the production broker and balancer over modelled links.
type Node struct {
	world       *World
	number      int
	zone        int
	incarnation int
	broker      *broker.Broker
	clock       *nodeClock
	links       map[string]*link // by worker
	down        bool
	replaced    bool          // another process has taken its place
	upSince     time.Duration // when it last came up; clients notice later
	downSince   time.Duration // when it last went down

	submissions []*submission               // sent here; finished ones are removed from time to time
	knownList   map[string]broker.ListEntry // the endpoint list as last received, by worker
}

// nodeClock is the world's clock for one incarnation of a node. Timers of earlier incarnations do not fire.
type nodeClock struct {
	clock       *Clock
	node        *Node
	incarnation int
}

// Now implements broker.Clock. It never returns 0, which brokers interpret as a time long ago.
func (c *nodeClock) Now() time.Duration { return c.clock.now + epoch }

// At implements broker.Clock.
func (c *nodeClock) At(at time.Duration, f func()) broker.Timer {
	return c.clock.schedule(at-epoch, func() {
		if c.node.incarnation == c.incarnation && !c.node.down {
			f()
		}
	})
}

// start begins a new incarnation of the node with a cached endpoint list.
func (n *Node) start(cached []broker.ListEntry) {
	w := n.world
	n.incarnation++
	n.down, n.upSince = false, w.Clock.now
	n.clock = &nodeClock{&w.Clock, n, n.incarnation}
	n.links = map[string]*link{}
	set := w.settings
	set.DispatcherIndex, set.Zone = n.number, n.zone
	// Each incarnation has a different seed, like each process of a production node.
	seed := w.streams.Source("node", n.number<<16+n.incarnation).Uint64()
	list := &listClient{node: n, incarnation: n.incarnation}
	var err error
	if n.broker, err = broker.New(set, seed, n.clock, list, w.log); err != nil {
		panic(fmt.Sprintf("emulate: creating a broker: %v", err)) // the scenario has been validated
	}
	if w.scenario.SubsetSize > 0 {
		n.broker.OnListUpdate(n.chooseSubset)
	}
	n.knownList = map[string]broker.ListEntry{}
	n.updateKnownList(cached)
	w.invariants.listReceived(n, cached)
	n.broker.UpdateEndpoints(balancer.ListCached, n.withLinks(cached))
	list.start()
}

// chooseSubset computes the node's subset of the workers that it knows and sets it.
func (n *Node) chooseSubset() {
	var members []placement.Member
	for k := range n.world.scenario.Nodes {
		members = append(members, placement.Member{Session: placement.Session{Member: uint64(k + 1)}})
	}
	var workers []placement.Worker
	for _, e := range n.broker.ListedEndpoints() {
		workers = append(workers, placement.Worker{Name: e.Name, Zone: e.Zone})
	}
	size := n.world.scenario.SubsetSize
	n.broker.SetSubset(placement.Subset(members, members[n.number].Session, workers, size))
}

// updateKnownList applies received entries of the endpoint list to knownList.
func (n *Node) updateKnownList(entries []broker.ListEntry) {
	for _, e := range entries {
		if n.knownList[e.Name] = e; e.State == balancer.Removed {
			delete(n.knownList, e.Name)
		}
	}
}

// withLinks returns a copy of the entries with this node's links as endpoints.
func (n *Node) withLinks(entries []broker.ListEntry) []broker.ListEntry {
	out := slices.Clone(entries)
	for i := range out {
		e := &out[i]
		if e.State == balancer.Removed {
			continue
		}
		l := n.links[e.Name]
		if l == nil {
			l = &link{node: n, incarnation: n.incarnation, worker: n.world.discovery.byName[e.Name]}
			n.links[e.Name] = l
		}
		e.Endpoint = l
	}
	return out
}

// kill ends the node's incarnation. Its clients see their connections reset and may submit their jobs again.
func (n *Node) kill() {
	w := n.world
	n.down, n.downSince = true, w.Clock.now
	n.incarnation++
	w.invariants.nodeDied(n)
	for _, s := range n.submissions {
		if !s.done() {
			// Their connections are reset.
			w.Clock.After(w.latency(n.zone, n.zone), func() {
				if !s.done() {
					s.job.nodeFailed()
				}
			})
		}
	}
	n.submissions = nil
}
