package broker

import (
	"hash/fnv"
	"strconv"
	"time"

	"moorstack/balancer"
)

// Endpoint is a worker as a front reaches it.
type Endpoint interface {
	// StartAttempt begins an attempt. Its end is reported by Broker.EndAttempt or Broker.EndAttemptAt; if
	// none has been reported by the attempt's deadline, the broker ends and abandons it.
	StartAttempt(a Attempt) RunningAttempt
	// CheckHealth requests a load report and calls done once.
	CheckHealth(done func(balancer.Result, balancer.LoadReport))
}

// ListEntry is an entry of the endpoint list.
type ListEntry struct {
	Name             string
	Zone, Kind, Cell int
	State            balancer.WorkerState
	Size             float64
	Labels           []string
	StartedAt        time.Duration // on the broker's clock; 0: long ago
	Endpoint         Endpoint      // nil for one that is removed
}

// EndpointSource provides the endpoint list where it must be requested. It reports what it gets by
// Broker.UpdateEndpoints.
type EndpointSource interface {
	// WatchList subscribes to watch events, or ends the subscription.
	WatchList(on bool)
}

// endpoint is one that is listed, or was and has attempts in flight.
type endpoint struct {
	Endpoint
	id       balancer.WorkerID
	name     string
	zone     string
	inFlight int
	removed  bool

	listed balancer.Worker // as the endpoint list has it, without maintenance, subset and ejections
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

// DiscoveredCount is the number of listed endpoints.
func (b *Broker) DiscoveredCount() int {
	n := 0
	for _, e := range b.endpoints {
		if !e.removed {
			n++
		}
	}
	return n
}

// UpdateEndpoints applies a watch event of the endpoint list, or a whole list.
func (b *Broker) UpdateEndpoints(kind balancer.ListUpdateKind, entries []ListEntry) {
	named := map[balancer.WorkerID]bool{}
	workers := make([]balancer.Worker, 0, len(entries))
	for _, entry := range entries {
		e := b.updateEndpoint(entry)
		named[e.id] = true
		workers = append(workers, b.effective(e.name, e.listed))
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

// updateEndpoint takes over one entry of the list.
func (b *Broker) updateEndpoint(entry ListEntry) *endpoint {
	id := b.idOf(entry.Name)
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
	b.maintenance.addName(entry.Name)
	return e
}

// dropRemoved forgets an endpoint that is not listed any more and has no attempt in flight.
func (b *Broker) dropRemoved(e *endpoint) {
	if e.removed && e.inFlight == 0 && b.endpoints[e.id] == e {
		delete(b.endpoints, e.id)
		delete(b.idByName, e.name)
	}
}

// idOf is the number by which the balancer knows an endpoint. It must be the same at every node and after a
// restart: dispatchers take turns at workers that warm up by it.
func (b *Broker) idOf(name string) balancer.WorkerID {
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

// refresh passes to the balancer the state of an endpoint as it is now.
func (b *Broker) refresh(name string) { b.refreshThen(name, func(balancer.WorkerID) {}) }

// refreshThen is refresh, with a call that follows it before anything else reaches the balancer.
func (b *Broker) refreshThen(name string, then func(balancer.WorkerID)) {
	id, ok := b.idByName[name]
	if !ok {
		return // it is not listed now; once it is, the overlays apply
	}
	e := b.endpoints[id]
	if e == nil || e.removed {
		return
	}
	w := b.effective(name, e.listed)
	b.run(func() {
		b.balancer.UpdateWorkers(b.clock.Now(), balancer.ListDelta, []balancer.Worker{w})
		then(id)
	})
}

// effective is an entry of the list as the balancer is to see it: endpoints under maintenance, outside the
// subset or ejected count as draining, so that nothing new goes to them while attempts in flight may end and
// what was learned of them is kept.
func (b *Broker) effective(name string, w balancer.Worker) balancer.Worker {
	w = b.maintenance.apply(name, w)
	if (b.subset != nil && !b.subset[name] || b.ejected[name]) && w.State == balancer.Ready {
		w.State = balancer.Draining
	}
	return w
}
