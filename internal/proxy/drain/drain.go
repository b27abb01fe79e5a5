// Package drain is the state machine by which a node drains its clients, for whatever reason: operators put
// it on standby, the platform shuts it down, or another process takes its place. It is given events and the
// time, and has no clock and no socket of its own.
//
//	        BeginStandby, BeginShutdown            Advance
//	Serving ---------------------------> Unready ---------> ClosingConnections
//	   ^                                    |                       |
//	   +-- EndStandby, before a shutdown ---+-----------------------+
//
//	any state --BeginTakeover--> ClosingConnections --AbortTakeover--> the state before
//
// Unready: health checks fail; requests are accepted as ever, until those who check have noticed.
// ClosingConnections: responses carry Connection: close, and idle connections of clients are closed. A
// shutdown can't be undone.
package drain

import (
	"errors"
	"time"
)

// State is what a node does with its clients.
type State uint8

// The states.
const (
	Serving            State = iota
	Unready                  // health checks fail
	ClosingConnections       // connections are closed, too
)

// String returns the state's name, which operators see in the answer to a status call.
func (s State) String() string { return [...]string{"serving", "steering clients away", "closing"}[s] }

// HealthCheckGrace is how long a node accepts requests as ever after its first failed health check: the
// platform's load balancer checks ten times a second and stops new connections 0.2 s after a failure; at a
// planned restart they come for 0.4 s.
const HealthCheckGrace = 500 * time.Millisecond

var (
	// ErrTakenOver is the error of EndStandby in a process whose place another one has taken.
	ErrTakenOver = errors.New("another process has taken this one's place")
	// ErrShuttingDown is the error of EndStandby once a shutdown has begun.
	ErrShuttingDown = errors.New("the process is to end, and does not serve again")
)

// Machine is the state machine. The zero value serves. Its times are of one clock, whichever. It is not safe
// for concurrent use.
type Machine struct {
	state        State
	shuttingDown bool
	takenOver    bool
	stateBefore  State         // the state before BeginTakeover
	closingAt    time.Duration // when Unready ends
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// TakenOver reports whether another process has taken this one's place.
func (m *Machine) TakenOver() bool { return m.takenOver }

// ShuttingDown reports whether a shutdown has begun.
func (m *Machine) ShuttingDown() bool { return m.shuttingDown }

// BeginStandby begins a drain that EndStandby can end. It reports whether that changed the state.
func (m *Machine) BeginStandby(now time.Duration) bool {
	if m.takenOver {
		m.stateBefore = ClosingConnections // should this process serve again, it is on standby
		return false
	}
	if m.state != Serving {
		return false // a drain under way goes on, and so does a shutdown
	}
	m.state, m.closingAt = Unready, now+HealthCheckGrace
	return true
}

// BeginShutdown begins a drain that can't be ended; one under way goes on from its state. It reports whether
// this is the first call.
func (m *Machine) BeginShutdown(now time.Duration) bool {
	first := !m.shuttingDown
	m.shuttingDown = true
	if m.BeginStandby(now); m.state == ClosingConnections {
		m.closingAt = now
	}
	return first
}

// BeginTakeover begins a drain because another process takes this one's place. Clients are drained at once,
// for new connections are the other's.
func (m *Machine) BeginTakeover() {
	if !m.takenOver {
		m.stateBefore, m.takenOver = m.state, true
		m.state = ClosingConnections
	}
}

// AbortTakeover ends that drain, after the other process has ended. This one returns to the state before
// BeginTakeover, unless it shuts down.
func (m *Machine) AbortTakeover() {
	if m.takenOver {
		m.takenOver = false
		if !m.shuttingDown {
			m.state = m.stateBefore
		}
	}
}

// EndStandby ends a drain, and reports whether that changed the state. It fails with ErrShuttingDown or
// ErrTakenOver.
func (m *Machine) EndStandby() (changed bool, err error) {
	if m.shuttingDown {
		return false, ErrShuttingDown
	}
	if m.takenOver {
		return false, ErrTakenOver
	}
	changed = m.state != Serving
	m.state = Serving
	return changed, nil
}

// Advance takes the time and reports whether ClosingConnections begins by it, which it does once a drain. A
// call that was scheduled for an earlier drain changes nothing.
func (m *Machine) Advance(now time.Duration) bool {
	if m.state != Unready || now < m.closingAt {
		return false
	}
	m.state = ClosingConnections
	return true
}

// ClosingAt returns when Advance is to be called.
func (m *Machine) ClosingAt() time.Duration { return m.closingAt }
