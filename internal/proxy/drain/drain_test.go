package drain

import (
	"errors"
	"testing"
	"time"
)

func TestStandbyBeginsAndEnds(t *testing.T) {
	var m Machine
	if !m.BeginStandby(0) || m.State() != Unready || m.BeginStandby(time.Second) {
		t.Fatal("the first call changes the state, the second does not")
	}
	if m.Advance(HealthCheckGrace-1) || !m.Advance(HealthCheckGrace) || m.State() != ClosingConnections ||
		m.Advance(HealthCheckGrace) {
		t.Fatal("closing connections begins once, after the grace")
	}
	if changed, err := m.EndStandby(); !changed || err != nil || m.State() != Serving {
		t.Fatal("EndStandby did not end it")
	}
	if changed, err := m.EndStandby(); changed || err != nil {
		t.Fatal("EndStandby of a node that serves succeeds and changes nothing")
	}
}

// A drain that is ended and begun again has its whole grace.
func TestAdvanceOfEarlierDrainChangesNothing(t *testing.T) {
	var m Machine
	m.BeginStandby(0)
	_, _ = m.EndStandby()
	m.BeginStandby(HealthCheckGrace / 2)
	if m.Advance(HealthCheckGrace) || m.State() != Unready {
		t.Fatal("the first drain's time has advanced the second")
	}
	if !m.Advance(m.ClosingAt()) {
		t.Fatal("the second drain's time has not advanced it")
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
			t.Fatal("only the first call begins the shutdown")
		}
		if stateBefore != Serving && m.State() != stateBefore {
			t.Fatal("a shutdown during a drain began it again")
		}
		if _, err := m.EndStandby(); !errors.Is(err, ErrShuttingDown) || m.State() == Serving {
			t.Fatal("a shutdown was undone")
		}
	}
}
