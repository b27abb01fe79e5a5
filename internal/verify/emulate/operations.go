package emulate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/internal/proxy/broker"
)

// This file models operations on serving nodes: maintenance of workers and hot restarts.

// maintenanceSpread is the period over which the operators' calls to the nodes are randomly spread.
const maintenanceSpread = 200 * time.Millisecond

// maintainWorkers puts workers under maintenance at every node, restarts them meanwhile, and ends the
// maintenance. The operators call the nodes one by one.
func (w *World) maintainWorkers(f *Fault, random *rand.Rand) (end func()) {
	affected := w.selectWorkers(f, random)
	for i := range w.nodes {
		w.Clock.After(time.Duration(random.Int64N(int64(maintenanceSpread))), func() {
			for _, k := range affected {
				w.nodes[i].startMaintenance(k.Name)
			}
		})
	}
	w.Clock.After(time.Duration(f.Length)/2, func() {
		for _, k := range affected {
			w.crashWorker(k)
		}
	})
	w.Clock.After(time.Duration(f.Length)*3/4, func() {
		for _, k := range affected {
			w.restartWorker(k)
		}
	})
	return func() {
		for _, n := range w.nodes {
			for _, k := range affected {
				n.endMaintenance(k.Name)
			}
		}
	}
}

// startMaintenance starts a worker's maintenance at the node if the node runs and has ever had the worker in
// its list.
func (n *Node) startMaintenance(worker string) {
	if !n.down && n.broker.EverListed(worker) {
		n.broker.StartMaintenance(worker)
		n.world.invariants.maintenanceStarted(n, worker)
	}
}

func (n *Node) endMaintenance(worker string) {
	if !n.down {
		n.broker.EndMaintenance(worker)
		n.world.invariants.maintenanceEnded(n, worker)
	}
}

// Times in a node's hot restart, relative to the start of the new process.
const (
	// readyDelay is when the new process may start to serve alone.
	readyDelay = 3500 * time.Millisecond
	// killDelay is when the old process is killed if it still runs.
	killDelay = readyDelay + 3700*time.Millisecond
	// inFlightInterval is the interval at which the old process reports its jobs in flight.
	inFlightInterval = 20 * time.Millisecond
)

// hotRestart starts a new process that replaces a node's current one and inherits its endpoint list, its
// maintenance and the learned state of its balancer. New jobs go to the new process; the old one finishes the
// jobs it has.
func (w *World) hotRestart(old *Node) {
	if old.replaced {
		return // the previous hot restart has not completed
	}
	old.replaced = true
	n := &Node{world: w, number: old.number, zone: old.zone, incarnation: old.incarnation}
	w.nodes[old.number] = n
	cached := slices.SortedFunc(maps.Values(old.knownList), func(a, b broker.ListEntry) int {
		return cmp.Compare(a.Name, b.Name)
	})
	state := old.broker.ExportState()
	n.start(cached)
	n.upSince = old.upSince // the load balancer in front of the nodes does not notice
	n.broker.ImportState(state)
	w.invariants.nodeReplaced(old, n)
	w.handOver(old, n, w.Clock.now)
}

// handOver reports the old process's jobs in flight to the new one, until the old one has finished them or is
// killed.
func (w *World) handOver(old, n *Node, startedAt time.Duration) {
	if n.down || old.down {
		return
	}
	n.broker.SetPredecessorInFlight(old.broker.InFlight())
	age := w.Clock.now - startedAt
	if age >= killDelay || old.broker.PendingCount() == 0 && age >= readyDelay {
		old.kill()
		n.broker.SetPredecessorInFlight(nil)
		return
	}
	w.Clock.After(inFlightInterval, func() { w.handOver(old, n, startedAt) })
}
