package broker

import (
	"errors"
	"time"

	"moorstack/balancer"
)

// ErrNeverListed is returned for maintenance of an endpoint whose name was never in the endpoint list. Its
// text is sent to operators' tools, so it must not change.
var ErrNeverListed = errors.New("no trip worker of this id was ever listed")

// maxKnownNames limits how many names of previously listed endpoints are kept.
const maxKnownNames = 1 << 16

// MaintenancePeriod is a period of maintenance that has ended. Times are by the broker's clock.
type MaintenancePeriod struct{ Since, Ended time.Duration }

// maintenance is an overlay on the endpoint list. It holds, by name, the endpoints that operators have taken
// out of service; the list itself is kept as received. The balancer sees an endpoint under maintenance as
// draining.
//
// The overlay is separate because no update of the list may end maintenance: neither a restart of the
// endpoint under the same name, nor a full list after a gap in the watch, nor the endpoint's removal and
// return.
type maintenance struct {
	since      map[string]time.Duration     // when the maintenance of each endpoint started
	returned   map[string]MaintenancePeriod // ended, but the endpoint is not yet listed as restarted
	knownNames map[string]struct{}          // of all endpoints that have ever been listed
}

func newMaintenance() maintenance {
	return maintenance{since: map[string]time.Duration{}, returned: map[string]MaintenancePeriod{},
		knownNames: map[string]struct{}{}}
}

// addKnownName records the name of an endpoint in the list.
func (m *maintenance) addKnownName(name string) {
	if len(m.knownNames) < maxKnownNames { // a list with ever new names must not use unlimited memory
		m.knownNames[name] = struct{}{}
	}
}

// apply returns a list entry as the balancer should see it.
func (m *maintenance) apply(name string, w balancer.Worker) balancer.Worker {
	if _, ok := m.since[name]; ok {
		if w.State == balancer.Ready {
			w.State = balancer.Draining
		}
		return w
	}
	if period, ok := m.returned[name]; ok && w.State != balancer.Removed {
		// The endpoint was restarted during its maintenance and is cold, but the list may lag behind and not
		// show the restart yet. Until it does, the end of the maintenance is used as the start time, so that
		// the endpoint gets its slow start.
		if w.StartedAt > period.Since {
			delete(m.returned, name)
		} else {
			w.StartedAt = period.Ended
		}
	}
	return w
}

// EverListed reports whether the endpoint list has ever contained an endpoint of this name.
func (b *Broker) EverListed(name string) bool {
	_, ok := b.maintenance.knownNames[name]
	return ok
}

// StartMaintenance takes an endpoint out of service at an operator's command: it gets no new attempts until
// EndMaintenance. It is idempotent.
func (b *Broker) StartMaintenance(name string) { b.startMaintenanceSince(name, b.clock.Now()) }

// startMaintenanceSince is like StartMaintenance, for maintenance that started earlier in another process of
// this node.
func (b *Broker) startMaintenanceSince(name string, since time.Duration) {
	if _, ok := b.maintenance.since[name]; ok {
		return
	}
	b.maintenance.since[name] = since
	delete(b.maintenance.returned, name)
	b.refresh(name)
}

// EndMaintenance returns an endpoint to service. It returns false if the endpoint was not under maintenance.
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

// underMaintenance returns when the maintenance of each endpoint under maintenance started. The caller must
// not change the map.
func (b *Broker) underMaintenance() map[string]time.Duration { return b.maintenance.since }

// EjectedCount returns the number of listed endpoints that get no new attempts because they are under
// maintenance or because the balancer has ejected them as outliers. Endpoints that only the list itself shows
// as draining are not counted.
func (b *Broker) EjectedCount() int {
	n := b.balancer.EjectedCount(b.clock.Now())
	for name := range b.maintenance.since {
		if e := b.endpoints[b.idByName[name]]; e != nil && e.name == name && !e.removed {
			n++
		}
	}
	return n
}
