// Package drain is the one state machine by which a node sends its clients away, for
// whatever reason: operators have it stand by, the platform has it end, or another
// process takes its place. It is told events and the time, and says what to do; it has no
// clock and no socket.
//
//	serving --Standby, End--> steering --Due--> closing --Active--> serving
//	   |                         |                 |
//	   |                         +----Active-------+   (not once it is to end)
//	   +------Hand--> closing --TakeBack--> serving, or whatever was before
//
// Steering: health says no; jobs are taken as ever, until those who ask after its health
// have noticed. Closing: answers carry Connection: close, and idle connections of clients
// are closed. There is no way back from End.
package drain

import (
	"errors"
	"time"
)

// State is where a node stands.
type State uint8

// The states.
const (
	Serving State = iota
	Unready
	ClosingConnections
)

func (s State) String() string { return [...]string{"serving", "steering clients away", "closing"}[s] }

// HealthCheckGrace is how long after its no a node takes jobs as ever: the front asks ten times a
// second and stops new connections 0.2 s after a no; at a planned restart they come for
// 0.4 s.
const HealthCheckGrace = 500 * time.Millisecond

// ErrTakenOver is the answer to who would have a process serve whose place another has taken.
var ErrTakenOver = errors.New("another process has taken this one's place")

// ErrShuttingDown is the answer to who would end a drain that has no way back.
var ErrShuttingDown = errors.New("the process is to end, and does not serve again")

// Machine is the machine. The zero value serves.
type Machine struct {
	state        State
	shuttingDown bool
	takenOver    bool
	stateBefore  State         // that Hand found
	closingAt    time.Duration // of the end of Steering
}

// State is where the node stands.
func (d *Machine) State() State { return d.state }

// TakenOver says that another process has taken this one's place.
func (d *Machine) TakenOver() bool { return d.takenOver }

// ShuttingDown says that there is no way back.
func (d *Machine) ShuttingDown() bool { return d.shuttingDown }

// BeginStandby begins a drain that Active can end. It reports whether this changed anything.
func (d *Machine) BeginStandby(now time.Duration) bool {
	if d.takenOver {
		d.stateBefore = ClosingConnections // should this process serve again, it stands by
		return false
	}
	if d.state != Serving {
		return false // twice is once, and an end goes before a stand-by
	}
	d.state, d.closingAt = Unready, now+HealthCheckGrace
	return true
}

// BeginShutdown begins a drain without a way back; one that has begun goes on from where it is.
// It reports whether this is the first word of the end.
func (d *Machine) BeginShutdown(now time.Duration) bool {
	first := !d.shuttingDown
	d.shuttingDown = true
	if d.BeginStandby(now); d.state == ClosingConnections {
		d.closingAt = now
	}
	return first
}

// HandOver has another process take this one's place: its clients are to be away at once, for
// those that come are the other's.
func (d *Machine) HandOver() {
	if !d.takenOver {
		d.stateBefore, d.takenOver = d.state, true
		d.state = ClosingConnections
	}
}

// AbortHandOver ends that: the other process is gone.
func (d *Machine) AbortHandOver() {
	if d.takenOver {
		d.takenOver = false
		if !d.shuttingDown {
			d.state = d.stateBefore
		}
	}
}

// EndStandby ends a drain, unless the process is to end. It reports whether this changed anything.
func (d *Machine) EndStandby() (bool, error) {
	if d.shuttingDown {
		return false, ErrShuttingDown
	}
	if d.takenOver {
		return false, ErrTakenOver
	}
	changed := d.state != Serving
	d.state = Serving
	return changed, nil
}

// Advance takes the time and reports whether Closing has begun by it: once a drain. A time
// that was set for a drain that has been called off, or is of a later one, changes nothing.
func (d *Machine) Advance(now time.Duration) bool {
	if d.state != Unready || now < d.closingAt {
		return false
	}
	d.state = ClosingConnections
	return true
}

// ClosingAt is when Due is to be called.
func (d *Machine) ClosingAt() time.Duration { return d.closingAt }
