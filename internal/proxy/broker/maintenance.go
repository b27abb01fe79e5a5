package broker

import (
	"errors"
	"time"

	"moorstack/balancer"
)

// ErrNeverListed is returned for maintenance of an endpoint whose name was never in the endpoint list. Its
// text is sent to operators' tools, and so never changes.
var ErrNeverListed = errors.New("no trip worker of this id was ever listed")

// maxNames is how many names are remembered of endpoints that were listed at any time.
const maxNames = 1 << 16

// MaintenancePeriod is a time of maintenance that has ended, on the broker's clock.
type MaintenancePeriod struct{ Since, Ended time.Duration }

// maintenance is an overlay on the endpoint list: which endpoints operators have taken out of service, by
// name. The list itself is kept as it was received. To the balancer an endpoint under maintenance is
// draining.
//
// Hazard: whatever the list contains meanwhile, a restart under the same name, a gap with a whole new list,
// or the removal and return of the endpoint must not end its maintenance.
type maintenance struct {
	since    map[string]time.Duration     // of endpoints under maintenance: when it began
	returned map[string]MaintenancePeriod // of endpoints that are not listed as restarted since theirs ended
	names    map[string]struct{}          // of all endpoints that were ever listed
}

func newMaintenance() maintenance {
	return maintenance{since: map[string]time.Duration{}, returned: map[string]MaintenancePeriod{},
		names: map[string]struct{}{}}
}

// addName remembers that the list has named an endpoint.
func (m *maintenance) addName(name string) {
	if len(m.names) < maxNames { // hazard: a list that has new names for ever
		m.names[name] = struct{}{}
	}
}

// apply gives an entry of the list as the balancer is to see it.
func (m *maintenance) apply(name string, w balancer.Worker) balancer.Worker {
	if _, ok := m.since[name]; ok {
		if w.State == balancer.Ready {
			w.State = balancer.Draining
		}
		return w
	}
	if period, ok := m.returned[name]; ok && w.State != balancer.Removed {
		// Hazard: it was restarted during its maintenance and has to warm up, and the list, which is late,
		// does not show that yet. Until it does, the endpoint counts as started when its maintenance ended.
		if w.StartedAt > period.Since {
			delete(m.returned, name)
		} else {
			w.StartedAt = period.Ended
		}
	}
	return w
}

// EverListed reports whether an endpoint of this name was ever in the endpoint list.
func (b *Broker) EverListed(name string) bool {
	_, ok := b.maintenance.names[name]
	return ok
}

// StartMaintenance takes an endpoint out of service by an operator's command, until EndMaintenance: from now
// on no new attempt goes to it. It is idempotent.
func (b *Broker) StartMaintenance(name string) { b.startMaintenanceSince(name, b.clock.Now()) }

// startMaintenanceSince is StartMaintenance for one that began earlier, at another process of this node.
func (b *Broker) startMaintenanceSince(name string, since time.Duration) {
	if _, ok := b.maintenance.since[name]; ok {
		return
	}
	b.maintenance.since[name] = since
	delete(b.maintenance.returned, name)
	b.refresh(name)
}

// EndMaintenance puts an endpoint back into service, and returns false if it was not under maintenance.
func (b *Broker) EndMaintenance(name string) bool {
	since, ok := b.maintenance.since[name]
	if !ok {
		return false
	}
	delete(b.maintenance.since, name)
	b.maintenance.returned[name] = MaintenancePeriod{since, b.clock.Now()}
	b.refreshThen(name, b.balancer.EndMaintenance)
	return true
}

// underMaintenance gives the names of the endpoints under maintenance, and since when. It must not be
// changed.
func (b *Broker) underMaintenance() map[string]time.Duration { return b.maintenance.since }

// EjectedCount is how many listed endpoints get no new attempts, because they are under maintenance or
// because the balancer has ejected them as outliers. Endpoints that the list itself has as draining are not
// among them.
func (b *Broker) EjectedCount() int {
	n := b.balancer.EjectedCount(b.clock.Now())
	for name := range b.maintenance.since {
		if e := b.endpoints[b.idByName[name]]; e != nil && e.name == name && !e.removed {
			n++
		}
	}
	return n
}
