package emulate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/internal/proxy/broker"
)

// What operators and the platform do to a node that serves: workers under maintenance, and one process of a
// node in place of another.

// maintenanceSpread is over how long the operators' calls to the nodes are spread.
const maintenanceSpread = 200 * time.Millisecond

// maintainWorkers has operators take workers out of service at every node, restart them meanwhile, and put
// them back. They call the nodes one by one.
func (w *World) maintainWorkers(f *Fault, random *rand.Rand) (end func()) {
	hit := w.selectWorkers(f, random)
	for i := range w.nodes {
		w.Clock.After(time.Duration(random.Int64N(int64(maintenanceSpread))), func() {
			for _, k := range hit {
				w.nodes[i].startMaintenance(k.Name)
			}
		})
	}
	w.Clock.After(time.Duration(f.Length)/2, func() {
		for _, k := range hit {
			w.crashWorker(k)
		}
	})
	w.Clock.After(time.Duration(f.Length)*3/4, func() {
		for _, k := range hit {
			w.restartWorker(k)
		}
	})
	return func() {
		for _, n := range w.nodes {
			for _, k := range hit {
				n.endMaintenance(k.Name)
			}
		}
	}
}

// startMaintenance takes a worker out of service at a node that runs and has had it in its list.
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

// The time line of a node's hot restart, from the start of the new process.
const (
	// readyDelay is after how long the new process may serve alone.
	readyDelay = 3500 * time.Millisecond
	// killDelay is after how long the old one is killed, where it still runs.
	killDelay = readyDelay + 3700*time.Millisecond
	// inFlightInterval is how often the old one reports what it has in flight.
	inFlightInterval = 20 * time.Millisecond
)

// hotRestart starts a process beside a node's, which takes its place: with its list, its maintenance and what
// its balancer has learned. New jobs are the new one's; the old one finishes what it has.
func (w *World) hotRestart(old *Node) {
	if old.replaced {
		return // by another one, which has not settled yet
	}
	old.replaced = true
	n := &Node{world: w, number: old.number, zone: old.zone, incarnation: old.incarnation}
	w.nodes[old.number] = n
	cached := slices.SortedFunc(maps.Values(old.knownList), func(a, b broker.ListEntry) int {
		return cmp.Compare(a.Name, b.Name)
	})
	state := old.broker.ExportState()
	n.start(cached)
	n.upSince = old.upSince // the load balancer before the nodes does not notice
	n.broker.ImportState(state)
	w.invariants.nodeReplaced(old, n)
	w.handOver(old, n, w.Clock.now)
}

// handOver has the old process report what it has in flight, until it has finished or is killed.
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
