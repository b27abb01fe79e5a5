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
		if !m.BeginShutdown(HealthCheckGrace, time.Second) || m.BeginShutdown(HealthCheckGrace, time.Second) {
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

// Guards against a request that is taken in a shutdown for longer than the process has: only those that
// arrive late are limited, and not in a process whose open requests migrate to another one.
func TestResponseDueInAShutdown(t *testing.T) {
	const begun, grace = time.Minute, 3700 * time.Millisecond
	m := Machine{}
	m.BeginStandby(begun - 10*time.Second)
	m.Advance(begun - 9*time.Second)
	if _, limited := m.ResponseDue(begun); limited {
		t.Error("a request in standby is limited")
	}
	m.BeginShutdown(begun, grace)
	m.BeginShutdown(begun+time.Second, grace)
	if _, limited := m.ResponseDue(begun + HealthCheckGrace); limited {
		t.Error("a request within HealthCheckGrace is limited")
	}
	due, limited := m.ResponseDue(begun + HealthCheckGrace + 1)
	if !limited || due <= begun+HealthCheckGrace || due > begun+grace-stallReserve {
		t.Errorf("a late request is due at %v, %v, want before the process may be killed", due, limited)
	}
	m.BeginTakeover()
	if _, limited := m.ResponseDue(begun + time.Second); limited {
		t.Error("a request that can migrate is limited")
	}
	if m.AbortTakeover(); m.takenOver {
		t.Fatal("the takeover was not aborted")
	}
	if _, limited := m.ResponseDue(begun + time.Second); !limited {
		t.Error("a late request is not limited after the other process has ended")
	}
}

func TestTerminationGraceCountsThreeSecondsAtMost(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{time.Second: 1700 * time.Millisecond,
		15 * time.Second: 3700 * time.Millisecond} {
		if got := TerminationGrace(timeout); got != want {
			t.Errorf("a timeout of %v: got %v, want %v", timeout, got, want)
		}
	}
}
