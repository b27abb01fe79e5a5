package emulate

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// nodeRestartTime is for how long a node is down that restarts.
	nodeRestartTime = time.Second
	// stormBackoff is the clients' wait before a retry where they ignore Retry-After.
	stormBackoff = 10 * time.Millisecond
)

func (w *World) crashWorker(k *Worker) {
	k.Crash()
	w.discovery.workerChanged(k)
}

// restartWorker starts a worker again, unless it collapsed in slow start: then it stays down.
func (w *World) restartWorker(k *Worker) {
	if !k.collapsed {
		k.Restart()
		w.discovery.workerChanged(k)
	}
}

// crashWorkers has workers die, and come back in slow start.
func (w *World) crashWorkers(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random, w.crashWorker, w.restartWorker)
}

// slowWorkers has workers run slower.
func (w *World) slowWorkers(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random,
		func(k *Worker) { k.SetSlowdown(f.Magnitude) },
		func(k *Worker) { k.SetSlowdown(1) })
}

// failJobs has workers fail a share of the jobs at once.
func (w *World) failJobs(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random,
		func(k *Worker) { k.failureShare = f.Magnitude },
		func(k *Worker) { k.failureShare = 0 })
}

// partitionWorkers cuts workers off from the nodes, and nothing reports it.
func (w *World) partitionWorkers(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random,
		func(k *Worker) { k.partitioned = true },
		func(k *Worker) { k.partitioned = false })
}

// drainWorkers has workers drain, and come back as other ones.
func (w *World) drainWorkers(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random, func(k *Worker) {
		k.draining = true
		w.discovery.workerChanged(k)
	}, func(k *Worker) {
		k.Crash()
		k.Restart()
		w.discovery.workerChanged(k)
	})
}

// slowOneClass has workers run one class slower, while their load reports look healthy.
func (w *World) slowOneClass(f *Fault, random *rand.Rand) func() {
	return w.onWorkers(f, random,
		func(k *Worker) { k.slowClass, k.slowClassFactor = f.Class, f.Magnitude },
		func(k *Worker) { k.slowClass = "" })
}

// hotRestartNodes has nodes replaced by another process while they serve.
func (w *World) hotRestartNodes(f *Fault, random *rand.Rand) func() {
	w.staggerNodes(f, random, w.hotRestart)
	return nil
}

// restartNodes has nodes die, each to come back a moment later with nothing but the list that there was.
func (w *World) restartNodes(f *Fault, random *rand.Rand) func() {
	w.staggerNodes(f, random, func(n *Node) {
		cached := w.discovery.snapshot()
		n.kill()
		w.Clock.After(nodeRestartTime, func() { n.start(cached) })
	})
	return nil
}

// delayList has the endpoint list come later than usual.
func (w *World) delayList(f *Fault, _ *rand.Rand) func() {
	w.discovery.extraDelay = time.Duration(f.Magnitude * 1e9)
	return func() { w.discovery.extraDelay = 0 }
}

// stopDiscovery has the discovery service down.
func (w *World) stopDiscovery(*Fault, *rand.Rand) func() {
	w.discovery.setDown(true)
	return func() { w.discovery.setDown(false) }
}

// silenceWatches has some of the nodes' open watches bring nothing more.
func (w *World) silenceWatches(f *Fault, random *rand.Rand) func() {
	w.discovery.silenceWatches(f.Fraction, random)
	return nil
}

// sendHeavyJobs has a fraction of the jobs be larger than usual.
func (w *World) sendHeavyJobs(f *Fault, _ *rand.Rand) func() {
	return w.onClientGroups(f,
		func(g *clientGroup) { g.heavyShare, g.heavyFactor = f.Fraction, f.Magnitude },
		func(g *clientGroup) { g.heavyShare = 0 })
}

// floodWithJobs has clients send more jobs than usual.
func (w *World) floodWithJobs(f *Fault, _ *rand.Rand) func() {
	return w.onClientGroups(f,
		func(g *clientGroup) { g.rateFactor = f.Magnitude },
		func(g *clientGroup) { g.rateFactor = 0 })
}

// ignoreRetryAfter has clients retry at once, whatever Retry-After they were given.
func (w *World) ignoreRetryAfter(f *Fault, _ *rand.Rand) func() {
	for i := range w.scenario.Clients {
		spec := w.scenario.Clients[i]
		w.groups[i].spec = &spec
	}
	before := make([]ClientGroup, len(w.groups))
	return w.onClientGroups(f, func(g *clientGroup) {
		before[slices.Index(w.groups, g)] = *g.spec
		g.spec.Retries, g.spec.IgnoreRetryAfter = int(f.Magnitude), true
		g.spec.Backoff = Duration(stormBackoff)
	}, func(g *clientGroup) { *g.spec = before[slices.Index(w.groups, g)] })
}
