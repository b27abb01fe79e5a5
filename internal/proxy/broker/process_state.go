package broker

import (
	"maps"
	"time"

	"moorstack/balancer"
)

// ProcessState is the state that the broker of a process passes to the broker of the process that replaces it
// in a hot restart. It contains neither endpoints nor open requests. Times are by the sender's clock.
type ProcessState struct {
	KnownNames              []string                     // of all endpoints that have ever been listed
	UnderMaintenance        map[string]time.Duration     // by endpoint name: when the maintenance started
	ReturnedFromMaintenance map[string]MaintenancePeriod // by endpoint name; not yet listed as restarted
	Balancer                balancer.LearnedState
}

// ExportState returns the state for the process that replaces this one.
func (b *Broker) ExportState() ProcessState {
	s := ProcessState{UnderMaintenance: b.maintenance.since,
		ReturnedFromMaintenance: maps.Clone(b.maintenance.returned), Balancer: b.balancer.Learned()}
	for name := range b.maintenance.knownNames {
		s.KnownNames = append(s.KnownNames, name)
	}
	return s
}

// ImportState applies the state of the process that this one replaces. It must be called after the first
// endpoint list and before the first request.
func (b *Broker) ImportState(s ProcessState) {
	for _, name := range s.KnownNames {
		b.maintenance.addKnownName(name)
	}
	for name, period := range s.ReturnedFromMaintenance {
		b.maintenance.returned[name] = period
		b.refresh(name)
	}
	for name, since := range s.UnderMaintenance {
		b.startMaintenanceSince(name, since)
	}
	b.run(func() { b.balancer.RestoreLearned(b.clock.Now(), s.Balancer) })
}

// InFlight returns, by endpoint name, the number of slots that this process's attempts in flight occupy.
func (b *Broker) InFlight() map[string]float64 {
	inFlight := map[string]float64{}
	for id, n := range b.balancer.InFlight() {
		if e := b.endpoints[id]; e != nil {
			inFlight[e.name] = n
		}
	}
	return inFlight
}

// SetPredecessorInFlight sets, by endpoint name, the number of slots that attempts of the process that this
// one replaces occupy. For an endpoint that is not named it is 0.
func (b *Broker) SetPredecessorInFlight(inFlight map[string]float64) {
	b.run(func() {
		for id, e := range b.endpoints {
			b.balancer.SetPredecessorInFlight(id, inFlight[e.name])
		}
	})
}

// OpenRequestIDs returns the IDs of the open requests, in no particular order.
func (b *Broker) OpenRequestIDs() []string {
	ids := make([]string, 0, len(b.requests))
	for id := range b.requests {
		ids = append(ids, string(id))
	}
	return ids
}

// OutstandingAttempt is an attempt in flight, with the endpoint that runs it.
type OutstandingAttempt struct {
	Endpoint string
	Running  RunningAttempt
}

// OutstandingAttempts returns the deadline and the attempts in flight of a request whose client is still
// waiting, or no attempts if there is no such request.
func (b *Broker) OutstandingAttempts(id string) (deadline time.Duration, list []OutstandingAttempt) {
	req := b.requests[balancer.RequestID(id)]
	if req == nil || req.client == nil {
		return 0, nil
	}
	for _, a := range req.attempts {
		if !a.ended {
			list = append(list, OutstandingAttempt{a.endpoint.name, a.running})
		}
	}
	return req.deadline, list
}

// Migrate ends a request in this process after it has migrated to another process. Its attempts in flight are
// not abandoned, and its client gets no response from this process.
func (b *Broker) Migrate(id string) {
	if req := b.requests[balancer.RequestID(id)]; req != nil {
		for _, a := range req.attempts {
			a.running = nil
		}
		b.ClientDisconnected(id)
	}
}
