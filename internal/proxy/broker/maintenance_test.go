package broker

import (
	"testing"
	"time"

	"moorstack/balancer"
)

// An update of the endpoint list must not end maintenance or hide the restart of an endpoint that returned
// from it.
func TestMaintenanceOverlayOverridesEndpointList(t *testing.T) {
	const began, ended = time.Minute, 2 * time.Minute
	ready := balancer.Worker{State: balancer.Ready, StartedAt: 10 * time.Second}
	removed, restarted := ready, ready
	removed.State = balancer.Removed
	restarted.StartedAt = began + time.Second
	m := newMaintenance()
	for _, c := range []struct {
		name      string
		before    func()
		listed    balancer.Worker
		state     balancer.WorkerState
		startedAt time.Duration
	}{
		{"no maintenance", func() {}, ready, balancer.Ready, 10 * time.Second},
		{"under maintenance", func() { m.since["a"] = began }, ready, balancer.Draining, 10 * time.Second},
		{"under maintenance and removed", func() {}, removed, balancer.Removed, 10 * time.Second},
		{"under maintenance and restarted", func() {}, restarted, balancer.Draining, restarted.StartedAt},
		{"returned, and its restart is not listed yet", func() {
			delete(m.since, "a")
			m.returned["a"] = MaintenancePeriod{began, ended}
		}, ready, balancer.Ready, ended},
		{"the same entry again", func() {}, ready, balancer.Ready, ended},
		{"its restart is listed", func() {}, restarted, balancer.Ready, restarted.StartedAt},
		{"and listed again", func() {}, restarted, balancer.Ready, restarted.StartedAt},
	} {
		c.before()
		if got := m.apply("a", c.listed); got.State != c.state || got.StartedAt != c.startedAt {
			t.Errorf("%s: got %+v, want another state or start time", c.name, got)
		}
	}
}

func TestRememberedNamesAreBounded(t *testing.T) {
	m := newMaintenance()
	for i := range maxKnownNames + 10 {
		m.addKnownName(time.Duration(i).String())
	}
	if len(m.knownNames) != maxKnownNames {
		t.Errorf("%d names are remembered, want maxKnownNames", len(m.knownNames))
	}
}
