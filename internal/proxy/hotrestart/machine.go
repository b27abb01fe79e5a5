// Package handover has one process of a node take the place of another while the node
// serves: what passes between the two, in which order, and what each does if the other
// dies, is slow or is of another version.
//
// The machine is free of I/O and of any clock; Link and Join are the thin driver on one
// Unix socket in the folder that both processes are given. docs/upgrade.md has the time
// line.
package hotrestart

import "time"

// Phase is where a process stands.
type Phase uint8

// The phases.
const (
	Alone    Phase = iota
	Offering       // the old one: a successor has the state and does not serve yet
	Handed         // the old one: the successor serves, this one works off what it has
	Taking         // the new one: it has the state, and the old one has not let go yet
	Beside         // the new one: it serves, the old one works off what it has
)

func (p Phase) String() string {
	return [...]string{"alone", "offering", "handed over", "taking over", "beside the old process"}[p]
}

// Event is what a process is told.
type Event uint8

// The events.
const (
	Asked Event = iota // a process wants to take this one's place
	Take               // the successor serves from here on
	Taken              // the old process has let go
	Empty              // the old process has no client left
	Gone               // the other process is gone, or can't be understood
	Late               // what was waited for has not come in time
)

// Effect is what the process is to do.
type Effect uint8

// The effects.
const (
	Offer  Effect = iota // give the state and the listening socket, and share the limits
	Refuse               // say no to who asked
	LetGo                // accept no more, send the clients away, and say so
	Resume               // accept again
	Grow                 // the limits are this process's alone
	Next                 // listen for who will take this one's place
	Hangup               // end the connection with the other process
)

// How long a process waits for the other.
const (
	JoinBy    = 2 * time.Second         // the new one: for the state
	BusyBy    = 5 * time.Second         // a third one: for the first two to settle
	TakeBy    = 6 * time.Second         // the old one: for the successor to serve, as long as the platform
	GiveAfter = 2500 * time.Millisecond // the old one, from SIGTERM: until it gives its open jobs away
	LetBy     = time.Second             // the new one: for the old one to let go
	Spare     = 3500 * time.Millisecond // the new one, from its start: for the old one's jobs
)

// Machine is the state machine of one process.
type Machine struct {
	phase   Phase
	emptied bool
	due     time.Duration // when the new one says yes in any case
}

// Old is the machine of a process that found no other.
func Old() *Machine { return &Machine{} }

// New is the machine of a process, begun at the time given, that has another one's state.
//
// It says yes late on purpose: the platform ends the old process soon after, and until
// then that one can finish jobs whose clients have all its time.
func New(began time.Duration) *Machine { return &Machine{phase: Taking, due: began + Spare} }

// Phase is where the process stands.
func (m *Machine) Phase() Phase { return m.phase }

// Ready says whether the process is ready to be the node's only one.
func (m *Machine) Ready(now time.Duration) bool {
	switch m.phase {
	case Alone, Offering:
		return true
	case Beside:
		return m.emptied || now >= m.due
	}
	return false
}

// Step takes an event. One that has no meaning in the phase changes nothing.
func (m *Machine) Step(e Event) []Effect {
	switch {
	case e == Asked && m.phase == Alone:
		m.phase = Offering
		return []Effect{Offer}
	case e == Asked: // hazard: a third process, while two have not settled who serves
		return []Effect{Refuse}
	case e == Take && m.phase == Offering:
		m.phase = Handed
		return []Effect{LetGo}
	case (e == Gone || e == Late) && m.phase == Offering:
		m.phase = Alone
		return []Effect{Hangup, Grow}
	case e == Gone && m.phase == Handed:
		// Hazard: the successor dies before the platform ends this one, which is then the
		// only one that can serve.
		m.phase = Alone
		return []Effect{Hangup, Grow, Resume, Next}
	case (e == Taken || e == Late) && m.phase == Taking:
		m.phase = Beside
		return []Effect{Next}
	case e == Empty && m.phase == Beside:
		m.emptied = true
	case e == Gone && m.phase == Taking:
		m.phase = Alone
		return []Effect{Hangup, Grow, Next}
	case e == Gone && m.phase == Beside:
		m.phase = Alone
		return []Effect{Hangup, Grow}
	}
	return nil
}
