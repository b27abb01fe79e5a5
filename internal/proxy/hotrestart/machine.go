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
	Alone               Phase = iota
	Offering                  // the old one: a successor has the state and does not serve yet
	ParentDraining            // the old one: the successor serves, this one works off what it has
	TakingOver                // the new one: it has the state, and the old one has not let go yet
	ServingBesideParent       // the new one: it serves, the old one works off what it has
)

func (p Phase) String() string {
	return [...]string{"alone", "offering", "handed over", "taking over", "beside the old process"}[p]
}

// Event is what a process is told.
type Event uint8

// The events.
const (
	TakeoverRequested Event = iota // a process wants to take this one's place
	ChildServes                    // the successor serves from here on
	ParentReleased                 // the old process has let go
	ParentDrained                  // the old process has no client left
	PeerLost                       // the other process is gone, or can't be understood
	TimedOut                       // what was waited for has not come in time
)

// Effect is what the process is to do.
type Effect uint8

// The effects.
const (
	SendState       Effect = iota // give the state and the listening socket, and share the limits
	RejectRequest                 // say no to who asked
	StopAccepting                 // accept no more, send the clients away, and say so
	ResumeAccepting               // accept again
	RestoreLimits                 // the limits are this process's alone
	ListenForChild                // listen for who will take this one's place
	CloseLink                     // end the connection with the other process
)

// How long a process waits for the other.
const (
	StateTimeout     = 2 * time.Second // the new one: for the state
	JoinRetryTimeout = 5 * time.Second // a third one: for the first two to settle
	// the old one: for the successor to serve, as long as the platform
	ChildServesTimeout = 6 * time.Second
	// the old one, from SIGTERM: until it gives its open jobs away
	MigrateAfter      = 2500 * time.Millisecond
	ReleaseTimeout    = time.Second             // the new one: for the old one to let go
	ParentGracePeriod = 3500 * time.Millisecond // the new one, from its start: for the old one's jobs
)

// Machine is the state machine of one process.
type Machine struct {
	phase         Phase
	parentDrained bool
	readyAt       time.Duration // when the new one says yes in any case
}

// NewWithoutParent is the machine of a process that found no other.
func NewWithoutParent() *Machine { return &Machine{} }

// NewChild is the machine of a process, begun at the time given, that has another one's state.
//
// It says yes late on purpose: the platform ends the old process soon after, and until
// then that one can finish jobs whose clients have all its time.
func NewChild(began time.Duration) *Machine {
	return &Machine{phase: TakingOver, readyAt: began + ParentGracePeriod}
}

// Phase is where the process stands.
func (m *Machine) Phase() Phase { return m.phase }

// Ready says whether the process is ready to be the node's only one.
func (m *Machine) Ready(now time.Duration) bool {
	switch m.phase {
	case Alone, Offering:
		return true
	case ServingBesideParent:
		return m.parentDrained || now >= m.readyAt
	}
	return false
}

// Step takes an event. One that has no meaning in the phase changes nothing.
func (m *Machine) Step(e Event) []Effect {
	switch {
	case e == TakeoverRequested && m.phase == Alone:
		m.phase = Offering
		return []Effect{SendState}
	case e == TakeoverRequested: // hazard: a third process, while two have not settled who serves
		return []Effect{RejectRequest}
	case e == ChildServes && m.phase == Offering:
		m.phase = ParentDraining
		return []Effect{StopAccepting}
	case (e == PeerLost || e == TimedOut) && m.phase == Offering:
		m.phase = Alone
		return []Effect{CloseLink, RestoreLimits}
	case e == PeerLost && m.phase == ParentDraining:
		// Hazard: the successor dies before the platform ends this one, which is then the
		// only one that can serve.
		m.phase = Alone
		return []Effect{CloseLink, RestoreLimits, ResumeAccepting, ListenForChild}
	case (e == ParentReleased || e == TimedOut) && m.phase == TakingOver:
		m.phase = ServingBesideParent
		return []Effect{ListenForChild}
	case e == ParentDrained && m.phase == ServingBesideParent:
		m.parentDrained = true
	case e == PeerLost && m.phase == TakingOver:
		m.phase = Alone
		return []Effect{CloseLink, RestoreLimits, ListenForChild}
	case e == PeerLost && m.phase == ServingBesideParent:
		m.phase = Alone
		return []Effect{CloseLink, RestoreLimits}
	}
	return nil
}
