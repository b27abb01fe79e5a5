package drain

import (
	"errors"
	"testing"
	"time"
)

func TestStandbyBeginsAndEnds(t *testing.T) {
	var m Machine
	if !m.BeginStandby(0) || m.State() != Unready || m.BeginStandby(time.Second) {
		t.Fatal("only the first BeginStandby must change the state, to Unready")
	}
	if m.Advance(HealthCheckGrace-1) || !m.Advance(HealthCheckGrace) || m.State() != ClosingConnections ||
		m.Advance(HealthCheckGrace) {
		t.Fatal("ClosingConnections must begin exactly once, after HealthCheckGrace")
	}
	if changed, err := m.EndStandby(); !changed || err != nil || m.State() != Serving {
		t.Fatal("EndStandby did not return to Serving")
	}
	if changed, err := m.EndStandby(); changed || err != nil {
		t.Fatal("EndStandby of a serving node must succeed without a change")
	}
}

// A second drain must get its full grace period, although the Advance scheduled for the first is still
// called.
func TestAdvanceOfEarlierDrainChangesNothing(t *testing.T) {
	var m Machine
	m.BeginStandby(0)
	_, _ = m.EndStandby()
	m.BeginStandby(HealthCheckGrace / 2)
	if m.Advance(HealthCheckGrace) || m.State() != Unready {
		t.Fatal("the Advance scheduled for the first drain ended the second one's grace period")
	}
	if !m.Advance(m.ClosingAt()) {
		t.Fatal("Advance at ClosingAt did not end the grace period")
	}
}

func TestShutdownCannotBeUndone(t *testing.T) {
	for _, before := range []func(*Machine){
		func(*Machine) {},
		func(m *Machine) { m.BeginStandby(0) },
		func(m *Machine) { m.BeginStandby(0); m.Advance(HealthCheckGrace) },
	} {
		var m Machine
		before(&m)
		stateBefore := m.State()
		if !m.BeginShutdown(HealthCheckGrace) || m.BeginShutdown(HealthCheckGrace) {
			t.Fatal("only the first BeginShutdown must return true")
		}
		if stateBefore != Serving && m.State() != stateBefore {
			t.Fatal("a shutdown changed the state of a drain in progress")
		}
		if _, err := m.EndStandby(); !errors.Is(err, ErrShuttingDown) || m.State() == Serving {
			t.Fatal("EndStandby ended a shutdown")
		}
	}
}
