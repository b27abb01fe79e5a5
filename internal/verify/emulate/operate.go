package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/internal/proxy/broker"
)

// What operators and the platform do to a node that serves: workers taken out and put
// back by hand, and one process of a node in place of another.

// maintainWorkers has operators take workers out at every node, restart them meanwhile, and put
// them back. They call the nodes one by one, and again where a node has died since.
func (w *World) maintainWorkers(t *Fault, rng *rand.Rand) func() {
	hit := w.selectWorkers(t, rng)
	const call = 200 * time.Millisecond
	for i := range w.nodes {
		w.Clock.After(time.Duration(rng.Int64N(int64(call))), func() {
			for _, k := range hit {
				w.nodes[i].startMaintenance(k.Name)
			}
		})
	}
	w.Clock.After(time.Duration(t.Length)/2, func() {
		for _, k := range hit {
			k.Crash()
			w.discovery.workerChanged(k)
		}
	})
	w.Clock.After(time.Duration(t.Length)*3/4, func() {
		for _, k := range hit {
			if !k.collapsed {
				k.Restart()
				w.discovery.workerChanged(k)
			}
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

// startMaintenance takes a worker out at a node that runs and has heard of it.
func (n *Node) startMaintenance(name string) {
	if !n.down && n.broker.EverListed(name) {
		n.broker.StartMaintenance(name)
		n.world.invariants.maintenanceStarted(n, name)
	}
}

func (n *Node) endMaintenance(name string) {
	if !n.down {
		n.broker.EndMaintenance(name)
		n.world.invariants.maintenanceEnded(n, name)
	}
}

// The time line of a node's replacement, from the start of the new process.
const (
	readyDelay = 3500 * time.Millisecond
	killDelay  = readyDelay + 3700*time.Millisecond // SIGKILL, where the old one still runs
	// how often the old one tells what it has unfinished
	inFlightInterval = 20 * time.Millisecond
)

// replaceNode starts a process beside a node's, which takes its place: with its list, its
// bans and what its module has learned. New jobs are the new one's, the old one finishes
// what it has.
func (w *World) replaceNode(old *Node) {
	if old.replaced {
		return // by another one, which has not settled yet
	}
	old.replaced = true
	n := &Node{world: w, number: old.number, zone: old.zone, incarnation: old.incarnation,
		upSince: old.upSince}
	w.nodes[old.number] = n
	known := slices.SortedFunc(maps.Values(old.knownList), func(a, b broker.ListEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	passed := old.broker.ExportState()
	back := old.upSince
	n.start(known)
	n.upSince = back // the front does not notice
	n.broker.ImportState(passed)
	w.invariants.nodeReplaced(old, n)
	until := w.Clock.now + killDelay
	var tell func()
	tell = func() {
		if n.down || old.down {
			return
		}
		held := old.broker.InFlight()
		n.broker.SetOtherInFlight(held)
		if w.Clock.now >= until || old.broker.PendingCount() == 0 &&
			w.Clock.now >= until-killDelay+readyDelay {
			old.kill()
			n.broker.SetOtherInFlight(nil)
			return
		}
		w.Clock.After(inFlightInterval, tell)
	}
	tell()
}
