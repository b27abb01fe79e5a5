package emulate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
)

// World is a run of a scenario.
type World struct {
	Clock Clock // event queue of the run, driven by Run

	scenario      *Scenario
	streams       RandomStreams
	settings      balancer.Settings // of every node
	workers       []*Worker
	meanWork      workMean // mean work of the jobs sent to any worker
	discovery     *discoveryService
	nodes         []*Node // by number: the process that currently serves
	groups        []*clientGroup
	networkRandom *rand.Rand
	log           *logrus.Logger // of the nodes; its output is discarded
	invariants    *invariantChecker
	metrics       metrics
	jobCount      uint64 // arrived so far
	openJobs      int    // jobs that have not ended for their clients
}

// NewWorld creates a world at the start of a scenario. It returns an error if the scenario is invalid.
func NewWorld(sc *Scenario) (*World, error) {
	if err := sc.validate(); err != nil {
		return nil, err
	}
	w := &World{scenario: sc, streams: RandomStreams{sc.Seed}, settings: sc.settings(), log: logrus.New()}
	w.log.SetOutput(io.Discard)
	w.networkRandom = w.streams.Source("network", 0)
	w.invariants = newInvariantChecker(w)
	w.metrics.init(sc)
	w.makeWorkers()
	w.discovery = newDiscoveryService(w)
	for number := range sc.Nodes {
		n := &Node{world: w, number: number, zone: number % len(sc.Zones)}
		w.nodes = append(w.nodes, n)
		n.start(w.discovery.snapshot())
	}
	for i := range sc.Clients {
		g := newClientGroup(w, i)
		w.groups = append(w.groups, g)
		g.scheduleArrival()
	}
	for i := range sc.Faults {
		w.scheduleFault(&sc.Faults[i], i)
	}
	return w, nil
}

func (w *World) makeWorkers() {
	for kind := range w.scenario.Workers {
		group := &w.scenario.Workers[kind]
		pods := map[int]*pod{}
		for range group.Count {
			number := len(w.workers)
			random := w.streams.Source("worker", number)
			k := NewWorker(&w.Clock, random, fmt.Sprintf("w%05d", number), group.WorkerSpec)
			k.meanWork = &w.meanWork
			k.Zone, k.Kind, k.Cell = slices.Index(w.scenario.Zones, group.Zone), kind, number
			if w.scenario.hasIdempotencyKeys() {
				k.Cell = number / max(group.PodSize, 1)
				if pods[k.Cell] == nil {
					pods[k.Cell] = &pod{window: w.scenario.maxKeyWindow(), byKey: map[string]*keyedJob{}}
				}
				k.pod = pods[k.Cell]
			}
			w.workers = append(w.workers, k)
		}
	}
}

// Run runs the scenario to its end and returns the measurements.
func (w *World) Run() *Result {
	length := time.Duration(w.scenario.Duration)
	w.Clock.Run(length)
	// Jobs that arrived before the end are still completed.
	for _, g := range w.groups {
		g.stopped = true
	}
	w.Clock.Run(length + w.scenario.maxTimeout() + time.Second)
	return w.result()
}

// latency draws the latency of a message between two zones.
func (w *World) latency(from, to int) time.Duration {
	d := time.Duration(w.scenario.SameZoneLatency)
	if from != to {
		d = time.Duration(w.scenario.CrossZoneLatency)
	}
	return d + time.Duration(float64(d)*0.2*w.networkRandom.Float64())
}
