// Package drain is the state machine for draining a node's clients, because an operator puts the node on
// standby, the platform shuts it down, or another process replaces it. The caller passes in events and the
// time; the package uses no clock and no sockets.
//
//	        BeginStandby, BeginShutdown            Advance
//	Serving ---------------------------> Unready ---------> ClosingConnections
//	   ^                                    |                       |
//	   +-- EndStandby, before a shutdown ---+-----------------------+
//
//	any state --BeginTakeover--> ClosingConnections --AbortTakeover--> previous state
//
// Unready: health checks fail, but requests are still accepted, so that load balancers have time to notice.
// ClosingConnections: responses carry "Connection: close", and idle client connections are closed. A shutdown
// can't be undone.
package drain

import (
	"errors"
	"time"
)

// State is the state of the node towards its clients.
type State uint8

// The states.
const (
	Serving            State = iota
	Unready                  // health checks fail
	ClosingConnections       // health checks fail and connections are closed
)

// String returns the name of the state. Operators receive it in the reply to a status call, so it must not
// change.
func (s State) String() string { return [...]string{"serving", "steering clients away", "closing"}[s] }

// HealthCheckGrace is how long a node keeps accepting requests in the state Unready. The platform's load
// balancer checks ten times a second and stops sending new connections 0.2 s after a failed check; in a
// planned restart they keep arriving for 0.4 s.
const HealthCheckGrace = 500 * time.Millisecond

// How long after SIGTERM the platform sends SIGKILL in a planned restart, at the earliest: the longest
// timeout of a request, of which maxCountedTimeout counts at most, and terminationReserve.
const (
	maxCountedTimeout  = 3 * time.Second
	terminationReserve = 700 * time.Millisecond
)

// stallReserve is how much earlier than SIGKILL a response must be due: the process may be held up for 0.15 s
// before it handles SIGTERM, and again before it writes the response.
const stallReserve = 300 * time.Millisecond

// TerminationGrace returns the time from SIGTERM to SIGKILL on a node whose requests have at most the given
// timeout.
func TerminationGrace(longestTimeout time.Duration) time.Duration {
	return min(longestTimeout, maxCountedTimeout) + terminationReserve
}

// Operators receive the texts of these errors, so they must not change.
var (
	// ErrTakenOver is returned by EndStandby in a process that another one has replaced.
	ErrTakenOver = errors.New("another process has taken this one's place")
	// ErrShuttingDown is returned by EndStandby after a shutdown has begun.
	ErrShuttingDown = errors.New("the process is to end, and does not serve again")
)

// Machine is the drain state machine. Its zero value is in the state Serving. All times passed to it must
// come from the same clock. It is not safe for concurrent use.
type Machine struct {
	state               State
	shuttingDown        bool
	shutdownAt          time.Duration // when the shutdown began
	terminationGrace    time.Duration // from shutdownAt until the process may be killed
	takenOver           bool
	stateBeforeTakeover State         // the state to which AbortTakeover returns
	closingAt           time.Duration // when the state Unready ends
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// TakenOver reports whether another process has replaced this one.
func (m *Machine) TakenOver() bool { return m.takenOver }

// ShuttingDown reports whether a shutdown has begun.
func (m *Machine) ShuttingDown() bool { return m.shuttingDown }

// BeginStandby starts a drain that EndStandby can end. It reports whether the state has changed.
func (m *Machine) BeginStandby(now time.Duration) bool {
	if m.takenOver {
		m.stateBeforeTakeover = ClosingConnections // AbortTakeover will return to standby
		return false
	}
	if m.state != Serving {
		return false // a drain or shutdown in progress continues
	}
	m.state, m.closingAt = Unready, now+HealthCheckGrace
	return true
}

// BeginShutdown starts a drain that can't be ended, after which the process may be killed when
// terminationGrace has passed. A drain in progress continues from its current state. BeginShutdown reports
// whether this is its first call.
func (m *Machine) BeginShutdown(now, terminationGrace time.Duration) bool {
	first := !m.shuttingDown
	if first {
		m.shuttingDown, m.shutdownAt, m.terminationGrace = true, now, terminationGrace
	}
	if m.BeginStandby(now); m.state == ClosingConnections {
		m.closingAt = now
	}
	return first
}

// ResponseDue returns the time by which a request that has arrived at the given time must have its final
// response, and whether there is one. A request that arrives late in a shutdown has one: what SIGKILL finds
// unanswered is lost. Requests that arrive in the first HealthCheckGrace have none, since load balancers may
// not have noticed the shutdown yet. Neither have those of a process that another one has replaced: they
// migrate to that process.
func (m *Machine) ResponseDue(arrivedAt time.Duration) (due time.Duration, limited bool) {
	if !m.shuttingDown || m.takenOver || arrivedAt <= m.shutdownAt+HealthCheckGrace {
		return 0, false
	}
	return m.shutdownAt + m.terminationGrace - stallReserve, true
}

// BeginTakeover starts a drain because another process replaces this one. It skips the state Unready, because
// new connections already go to the other process.
func (m *Machine) BeginTakeover() {
	if !m.takenOver {
		m.stateBeforeTakeover, m.takenOver = m.state, true
		m.state = ClosingConnections
	}
}

// AbortTakeover ends the drain of BeginTakeover after the other process has ended. The machine returns to the
// state before BeginTakeover, unless this process is shutting down.
func (m *Machine) AbortTakeover() {
	if m.takenOver {
		m.takenOver = false
		if !m.shuttingDown {
			m.state = m.stateBeforeTakeover
		}
	}
}

// EndStandby ends a drain and reports whether the state has changed. It fails with ErrShuttingDown or
// ErrTakenOver if the drain can't be ended.
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

// Advance changes the state from Unready to ClosingConnections if now is at or after ClosingAt, and reports
// whether it has done so. A call that was scheduled for an earlier drain has no effect.
func (m *Machine) Advance(now time.Duration) bool {
	if m.state != Unready || now < m.closingAt {
		return false
	}
	m.state = ClosingConnections
	return true
}

// ClosingAt returns the time at which Advance should be called.
func (m *Machine) ClosingAt() time.Duration { return m.closingAt }

// Pending counts what a part of the node that drains still waits for.
type Pending struct {
	Jobs          int // without their final response
	Connections   int // open connections of clients
	UnreadResults int // results of finished jobs that nobody has read yet
}
