package emulate

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// nodeRestartTime is how long a restarting node is down.
	nodeRestartTime = time.Second
	// stormBackoff is the backoff before a retry of clients that ignore Retry-After.
	stormBackoff = 10 * time.Millisecond
)

func (w *World) crashWorker(k *Worker) {
	k.Crash()
	w.discovery.workerChanged(k)
}

// restartWorker starts a worker again. A worker that collapsed in slow start stays down.
func (w *World) restartWorker(k *Worker) {
	if !k.collapsed {
		k.Restart()
		w.discovery.workerChanged(k)
	}
}

// crashWorkers crashes workers and restarts them, in slow start, at the end of the fault.
func (w *World) crashWorkers(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random, w.crashWorker, w.restartWorker)
}

// slowWorkers slows workers down.
func (w *World) slowWorkers(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random,
		func(k *Worker) { k.SetSlowdown(f.Magnitude) },
		func(k *Worker) { k.SetSlowdown(1) })
}

// failJobs makes workers fail a share of their jobs immediately.
func (w *World) failJobs(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random,
		func(k *Worker) { k.failureShare = f.Magnitude },
		func(k *Worker) { k.failureShare = 0 })
}

// partitionWorkers cuts workers off from the nodes without any report of it.
func (w *World) partitionWorkers(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random,
		func(k *Worker) { k.partitioned = true },
		func(k *Worker) { k.partitioned = false })
}

// drainWorkers makes workers drain, and restarts them at the end of the fault.
func (w *World) drainWorkers(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random, func(k *Worker) {
		k.draining = true
		w.discovery.workerChanged(k)
	}, func(k *Worker) {
		k.Crash()
		k.Restart()
		w.discovery.workerChanged(k)
	})
}

// slowOneClass makes workers process one class more slowly while their load reports look healthy.
func (w *World) slowOneClass(f *Fault, random *rand.Rand) func() {
	return w.applyToWorkers(f, random,
		func(k *Worker) { k.slowClass, k.slowClassFactor = f.Class, f.Magnitude },
		func(k *Worker) { k.slowClass = "" })
}

// hotRestartNodes replaces the processes of nodes while they serve.
func (w *World) hotRestartNodes(f *Fault, random *rand.Rand) func() {
	w.staggerNodes(f, random, w.hotRestart)
	return nil
}

// restartNodes kills nodes. Each restarts after nodeRestartTime with only the endpoint list as it was when it
// was killed.
func (w *World) restartNodes(f *Fault, random *rand.Rand) func() {
	w.staggerNodes(f, random, func(n *Node) {
		cached := w.discovery.snapshot()
		n.kill()
		w.Clock.After(nodeRestartTime, func() { n.start(cached) })
	})
	return nil
}

// delayList adds a delay to updates of the endpoint list.
func (w *World) delayList(f *Fault, _ *rand.Rand) func() {
	w.discovery.extraDelay = time.Duration(f.Magnitude * 1e9)
	return func() { w.discovery.extraDelay = 0 }
}

// stopDiscovery takes the discovery service down.
func (w *World) stopDiscovery(*Fault, *rand.Rand) func() {
	w.discovery.setDown(true)
	return func() { w.discovery.setDown(false) }
}

// silenceWatches makes a fraction of the nodes' open watches stop delivering updates.
func (w *World) silenceWatches(f *Fault, random *rand.Rand) func() {
	w.discovery.silenceWatches(f.Fraction, random)
	return nil
}

// sendHeavyJobs makes a fraction of the jobs larger.
func (w *World) sendHeavyJobs(f *Fault, _ *rand.Rand) func() {
	return w.applyToClientGroups(f,
		func(g *clientGroup) { g.heavyShare, g.heavyFactor = f.Fraction, f.Magnitude },
		func(g *clientGroup) { g.heavyShare = 0 })
}

// floodWithJobs raises the rate at which clients send jobs.
func (w *World) floodWithJobs(f *Fault, _ *rand.Rand) func() {
	return w.applyToClientGroups(f,
		func(g *clientGroup) { g.rateFactor = f.Magnitude },
		func(g *clientGroup) { g.rateFactor = 0 })
}

// ignoreRetryAfter makes clients retry after stormBackoff, whatever Retry-After says.
func (w *World) ignoreRetryAfter(f *Fault, _ *rand.Rand) func() {
	for i := range w.scenario.Clients {
		spec := w.scenario.Clients[i]
		w.groups[i].spec = &spec
	}
	before := make([]ClientGroup, len(w.groups))
	return w.applyToClientGroups(f, func(g *clientGroup) {
		before[slices.Index(w.groups, g)] = *g.spec
		g.spec.Retries, g.spec.IgnoreRetryAfter = int(f.Magnitude), true
		g.spec.Backoff = Duration(stormBackoff)
	}, func(g *clientGroup) { *g.spec = before[slices.Index(w.groups, g)] })
}
