package broker

import (
	"hash/fnv"
	"strconv"
	"time"

	"moorstack/balancer"
)

// Endpoint is a front's connection to a worker.
type Endpoint interface {
	// StartAttempt starts an attempt. The front reports its end with Broker.EndAttempt or
	// Broker.EndAttemptAt. If it has not done so by the attempt's deadline, the broker abandons the attempt.
	StartAttempt(a Attempt) RunningAttempt
	// CheckHealth requests a load report and calls done exactly once.
	CheckHealth(done func(balancer.Result, balancer.LoadReport))
}

// ListEntry is an entry of the endpoint list.
type ListEntry struct {
	Name             string
	Zone, Kind, Cell int
	State            balancer.WorkerState
	Size             float64
	Labels           []string
	StartedAt        time.Duration // by the broker's clock; 0: long ago
	Endpoint         Endpoint      // nil if State is Removed
}

// EndpointSource provides the endpoint list if it has to be requested. It passes updates to
// Broker.UpdateEndpoints.
type EndpointSource interface {
	// WatchList starts or stops watching the list.
	WatchList(on bool)
}

// endpoint is an endpoint that is listed, or that was listed and still has attempts in flight.
type endpoint struct {
	Endpoint
	id       balancer.WorkerID
	name     string
	zone     string
	inFlight int
	removed  bool

	listed balancer.Worker // the list entry, before maintenance, subset and ejections are applied
}

// HasEndpoints reports whether any endpoint is listed.
func (b *Broker) HasEndpoints() bool {
	for _, e := range b.endpoints {
		if !e.removed {
			return true
		}
	}
	return false
}

// DiscoveredCount returns the number of listed endpoints.
func (b *Broker) DiscoveredCount() int {
	n := 0
	for _, e := range b.endpoints {
		if !e.removed {
			n++
		}
	}
	return n
}

// UpdateEndpoints applies a full endpoint list or a delta of it.
func (b *Broker) UpdateEndpoints(kind balancer.ListUpdateKind, entries []ListEntry) {
	named := map[balancer.WorkerID]bool{}
	workers := make([]balancer.Worker, 0, len(entries))
	for _, entry := range entries {
		e := b.updateEndpoint(entry)
		named[e.id] = true
		workers = append(workers, b.effectiveWorker(e.name, e.listed))
	}
	if kind == balancer.ListFull || kind == balancer.ListCached {
		for id, e := range b.endpoints {
			if !named[id] {
				e.removed = true
			}
		}
	}
	b.run(func() {
		b.balancer.UpdateWorkers(b.clock.Now(), kind, workers)
		for _, e := range b.endpoints {
			b.dropRemoved(e)
		}
	})
	if b.onListUpdate != nil {
		b.onListUpdate()
	}
}

// updateEndpoint applies one entry of the list.
func (b *Broker) updateEndpoint(entry ListEntry) *endpoint {
	id := b.workerID(entry.Name)
	e := b.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, name: entry.Name}
		b.endpoints[id] = e
	}
	if entry.Endpoint != nil {
		e.Endpoint = entry.Endpoint
	}
	e.removed, e.zone = entry.State == balancer.Removed, strconv.Itoa(entry.Zone)
	e.listed = balancer.Worker{ID: id, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell,
		State: entry.State, Size: entry.Size, StartedAt: entry.StartedAt, Labels: entry.Labels}
	b.maintenance.addKnownName(entry.Name)
	return e
}

// dropRemoved deletes an endpoint if it is no longer listed and has no attempts in flight.
func (b *Broker) dropRemoved(e *endpoint) {
	if e.removed && e.inFlight == 0 && b.endpoints[e.id] == e {
		delete(b.endpoints, e.id)
		delete(b.idByName, e.name)
	}
}

// workerID returns the balancer's ID for an endpoint. It is a hash of the name, because it must be the same
// on every node and after a restart: dispatchers use it to take turns at workers in slow start.
func (b *Broker) workerID(name string) balancer.WorkerID {
	if id, ok := b.idByName[name]; ok {
		return id
	}
	sum := fnv.New32a()
	sum.Write([]byte(name))
	id := balancer.WorkerID(sum.Sum32())
	for b.endpoints[id] != nil {
		id++
	}
	b.idByName[name] = id
	return id
}

// refresh passes the current state of an endpoint to the balancer.
func (b *Broker) refresh(name string) { b.refreshThen(name, func(balancer.WorkerID) {}) }

// refreshThen is like refresh, and then calls a function before any other call reaches the balancer.
func (b *Broker) refreshThen(name string, then func(balancer.WorkerID)) {
	id, ok := b.idByName[name]
	if !ok {
		return // not listed; the overlays are applied once it is
	}
	e := b.endpoints[id]
	if e == nil || e.removed {
		return
	}
	w := b.effectiveWorker(name, e.listed)
	b.run(func() {
		b.balancer.UpdateWorkers(b.clock.Now(), balancer.ListDelta, []balancer.Worker{w})
		then(id)
	})
}

// effectiveWorker returns a list entry as the balancer should see it. An endpoint under maintenance, outside
// the subset or ejected is shown as draining: it gets no new attempts, its attempts in flight may end, and
// the balancer keeps what it has learned about it.
func (b *Broker) effectiveWorker(name string, w balancer.Worker) balancer.Worker {
	w = b.maintenance.apply(name, w)
	if (b.subset != nil && !b.subset[name] || b.ejected[name]) && w.State == balancer.Ready {
		w.State = balancer.Draining
	}
	return w
}
