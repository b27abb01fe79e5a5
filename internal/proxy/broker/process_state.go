package broker

import (
	"maps"
	"time"

	"moorstack/balancer"
)

// ProcessState is what the broker of one process of a node passes to that of the process that replaces it in
// a hot restart, without endpoints and open requests. Times are of the sender's clock.
type ProcessState struct {
	KnownNames              []string // of endpoints that were ever listed
	UnderMaintenance        map[string]time.Duration
	ReturnedFromMaintenance map[string]MaintenancePeriod // and not listed as restarted since
	Balancer                balancer.LearnedState
}

// ExportState gives the state that another process needs.
func (b *Broker) ExportState() ProcessState {
	s := ProcessState{UnderMaintenance: b.maintenance.since,
		ReturnedFromMaintenance: maps.Clone(b.maintenance.returned), Balancer: b.balancer.Learned()}
	for name := range b.maintenance.names {
		s.KnownNames = append(s.KnownNames, name)
	}
	return s
}

// ImportState takes over another process's state, after the first endpoint list and before any request.
func (b *Broker) ImportState(s ProcessState) {
	for _, name := range s.KnownNames {
		b.maintenance.addName(name)
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

// InFlight gives, by endpoint name, the work that this process has in flight there.
func (b *Broker) InFlight() map[string]float64 {
	inFlight := map[string]float64{}
	for id, n := range b.balancer.InFlight() {
		if e := b.endpoints[id]; e != nil {
			inFlight[e.name] = n
		}
	}
	return inFlight
}

// SetOtherInFlight sets, by endpoint name, the work that the process which this one replaces has in flight.
// An endpoint that is not named has none of it.
func (b *Broker) SetOtherInFlight(inFlight map[string]float64) {
	b.run(func() {
		for id, e := range b.endpoints {
			b.balancer.SetPredecessorInFlight(id, inFlight[e.name])
		}
	})
}

// OpenIDs gives the IDs of the open requests, in no order.
func (b *Broker) OpenIDs() []string {
	ids := make([]string, 0, len(b.requests))
	for id := range b.requests {
		ids = append(ids, string(id))
	}
	return ids
}

// OutstandingAttempt is an attempt in flight.
type OutstandingAttempt struct {
	Endpoint string
	Running  RunningAttempt
}

// OutstandingAttempts gives the attempts in flight of a request whose client waits, and when the client gives
// up.
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

// Migrate ends a request here that goes on at another process, without abandoning its attempts in flight.
func (b *Broker) Migrate(id string) {
	if req := b.requests[balancer.RequestID(id)]; req != nil {
		for _, a := range req.attempts {
			a.running = nil
		}
		b.ClientDisconnected(id)
	}
}
