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
	Steering
	Closing
)

func (s State) String() string { return [...]string{"serving", "steering clients away", "closing"}[s] }

// Notice is how long after its no a node takes jobs as ever: the front asks ten times a
// second and stops new connections 0.2 s after a no; at a planned restart they come for
// 0.4 s.
const Notice = 500 * time.Millisecond

// ErrHanded is the answer to who would have a process serve whose place another has taken.
var ErrHanded = errors.New("another process has taken this one's place")

// ErrEnding is the answer to who would end a drain that has no way back.
var ErrEnding = errors.New("the process is to end, and does not serve again")

// Drain is the machine. The zero value serves.
type Drain struct {
	state  State
	ending bool
	handed bool
	before State         // that Hand found
	due    time.Duration // of the end of Steering
}

// State is where the node stands.
func (d *Drain) State() State { return d.state }

// Handed says that another process has taken this one's place.
func (d *Drain) Handed() bool { return d.handed }

// Ending says that there is no way back.
func (d *Drain) Ending() bool { return d.ending }

// Standby begins a drain that Active can end. It reports whether this changed anything.
func (d *Drain) Standby(now time.Duration) bool {
	if d.handed {
		d.before = Closing // should this process serve again, it stands by
		return false
	}
	if d.state != Serving {
		return false // twice is once, and an end goes before a stand-by
	}
	d.state, d.due = Steering, now+Notice
	return true
}

// End begins a drain without a way back; one that has begun goes on from where it is.
// It reports whether this is the first word of the end.
func (d *Drain) End(now time.Duration) bool {
	first := !d.ending
	d.ending = true
	if d.Standby(now); d.state == Closing {
		d.due = now
	}
	return first
}

// Hand has another process take this one's place: its clients are to be away at once, for
// those that come are the other's.
func (d *Drain) Hand() {
	if !d.handed {
		d.before, d.handed = d.state, true
		d.state = Closing
	}
}

// TakeBack ends that: the other process is gone.
func (d *Drain) TakeBack() {
	if d.handed {
		d.handed = false
		if !d.ending {
			d.state = d.before
		}
	}
}

// Active ends a drain, unless the process is to end. It reports whether this changed anything.
func (d *Drain) Active() (bool, error) {
	if d.ending {
		return false, ErrEnding
	}
	if d.handed {
		return false, ErrHanded
	}
	changed := d.state != Serving
	d.state = Serving
	return changed, nil
}

// Due takes the time and reports whether Closing has begun by it: once a drain. A time
// that was set for a drain that has been called off, or is of a later one, changes nothing.
func (d *Drain) Due(now time.Duration) bool {
	if d.state != Steering || now < d.due {
		return false
	}
	d.state = Closing
	return true
}

// At is when Due is to be called.
func (d *Drain) At() time.Duration { return d.due }
