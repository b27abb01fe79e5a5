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

// maintain has operators take workers out at every node, restart them meanwhile, and put
// them back. They call the nodes one by one, and again where a node has died since.
func (w *World) maintain(t *Trouble, rng *rand.Rand) func() {
	hit := w.some(t, rng)
	const call = 200 * time.Millisecond
	for i := range w.nodes {
		w.Clock.After(time.Duration(rng.Int64N(int64(call))), func() {
			for _, k := range hit {
				w.nodes[i].ban(k.Name)
			}
		})
	}
	w.Clock.After(time.Duration(t.For)/2, func() {
		for _, k := range hit {
			k.Crash()
			w.list.changed(k)
		}
	})
	w.Clock.After(time.Duration(t.For)*3/4, func() {
		for _, k := range hit {
			if !k.fell {
				k.Start()
				w.list.changed(k)
			}
		}
	})
	return func() {
		for _, n := range w.nodes {
			for _, k := range hit {
				n.unban(k.Name)
			}
		}
	}
}

// ban takes a worker out at a node that runs and has heard of it.
func (n *Node) ban(name string) {
	if !n.down && n.core.EverListed(name) {
		n.core.StartMaintenance(name)
		n.w.watch.banned(n, name)
	}
}

func (n *Node) unban(name string) {
	if !n.down {
		n.core.EndMaintenance(name)
		n.w.watch.unbanned(n, name)
	}
}

// The time line of a node's replacement, from the start of the new process.
const (
	saysYes = 3500 * time.Millisecond
	isEnded = saysYes + 3700*time.Millisecond // SIGKILL, where the old one still runs
	tells   = 20 * time.Millisecond           // how often the old one tells what it has unfinished
)

// replace starts a process beside a node's, which takes its place: with its list, its
// bans and what its module has learned. New jobs are the new one's, the old one finishes
// what it has.
func (w *World) replace(old *Node) {
	if old.replaced {
		return // by another one, which has not settled yet
	}
	old.replaced = true
	n := &Node{w: w, number: old.number, zone: old.zone, life: old.life, back: old.back}
	w.nodes[old.number] = n
	known := slices.SortedFunc(maps.Values(old.known), func(a, b broker.ListEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	passed := old.core.ExportState()
	back := old.back
	n.start(known)
	n.back = back // the front does not notice
	n.core.ImportState(passed)
	w.watch.passes(old, n)
	until := w.Clock.now + isEnded
	var tell func()
	tell = func() {
		if n.down || old.down {
			return
		}
		held := old.core.InFlight()
		n.core.SetOtherInFlight(held)
		if w.Clock.now >= until || old.core.PendingCount() == 0 && w.Clock.now >= until-isEnded+saysYes {
			old.kill()
			n.core.SetOtherInFlight(nil)
			return
		}
		w.Clock.After(tells, tell)
	}
	tell()
}
