package hotrestart

import "time"

// Phase is what a process is to the other one of its node.
type Phase uint8

// The phases. Their names are sent in rejections.
const (
	Alone                  Phase = iota // there is no other process
	Offering                            // a parent whose child has the state and does not serve yet
	ParentDraining                      // a parent whose child serves; it finishes what it has accepted
	TakingOver                          // a child that has the state, while its parent still accepts
	ServingAlongsideParent              // a child that serves, while its parent finishes what it has accepted
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"alone", "offering", "handed over", "taking over", "beside the old process"}[p]
}

// Event is what a process observes.
type Event uint8

// The events.
const (
	TakeoverRequested Event = iota // a process wants to take this one's place
	ChildServes                    // the child serves from here on
	ParentReleased                 // the parent has stopped accepting
	ParentDrained                  // the parent owes no client anything
	PeerLost                       // the other process has ended, or can't be understood
	TimedOut                       // what was waited for has not come in time
)

// Effect is what the process has to do.
type Effect uint8

// The effects.
const (
	SendState       Effect = iota // send the state and the listening socket, and share the limits
	RejectRequest                 // reject the process that wants to take this one's place
	StopAccepting                 // stop accepting, drain the clients, and notify the child
	ResumeAccepting               // accept again
	RestoreLimits                 // the limits are this process's alone
	ListenForChild                // listen for the process that will take this one's place
	CloseLink                     // close the link with the other process
)

// How long a process waits for the other.
const (
	stateTimeout       = 2 * time.Second         // a child: for the state
	joinRetryTimeout   = 5 * time.Second         // a third process: for the first two to finish
	ChildServesTimeout = 6 * time.Second         // a parent: for the child to serve, as the platform does
	MigrateAfter       = 2500 * time.Millisecond // a parent, from SIGTERM: until it migrates open requests
	ReleaseTimeout     = time.Second             // a child: for its parent to stop accepting
	parentGracePeriod  = 3500 * time.Millisecond // a child, from its start: for its parent's requests
)

// Machine is the state machine of one process. It is not safe for concurrent use.
type Machine struct {
	phase         Phase
	parentDrained bool
	readyAt       time.Duration // of a child: when it is ready even if its parent has not drained
}

// NewWithoutParent returns the machine of a process that found no other one.
func NewWithoutParent() *Machine { return &Machine{} }

// NewChild returns the machine of a process that has started at the given time and inherited the state of its
// parent.
//
// It is ready late on purpose: the platform ends the parent soon after, and until then the parent can finish
// requests with all the time that their clients have.
func NewChild(started time.Duration) *Machine {
	return &Machine{phase: TakingOver, readyAt: started + parentGracePeriod}
}

// Phase returns the phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// Ready reports whether the process is ready to be the node's only one.
func (m *Machine) Ready(now time.Duration) bool {
	switch m.phase {
	case Alone, Offering:
		return true
	case ServingAlongsideParent:
		return m.parentDrained || now >= m.readyAt
	}
	return false
}

type transitionKey struct {
	phase Phase
	event Event
}

type transition struct {
	next    Phase
	effects []Effect
}

var transitions = map[transitionKey]transition{
	{Alone, TakeoverRequested}: {Offering, []Effect{SendState}},

	{Offering, ChildServes}: {ParentDraining, []Effect{StopAccepting}},
	{Offering, PeerLost}:    {Alone, []Effect{CloseLink, RestoreLimits}},
	{Offering, TimedOut}:    {Alone, []Effect{CloseLink, RestoreLimits}},

	// Hazard: the child dies before the platform ends the parent, which then is the only process that can
	// serve.
	{ParentDraining, PeerLost}: {Alone, []Effect{CloseLink, RestoreLimits, ResumeAccepting, ListenForChild}},

	{TakingOver, ParentReleased}: {ServingAlongsideParent, []Effect{ListenForChild}},
	{TakingOver, TimedOut}:       {ServingAlongsideParent, []Effect{ListenForChild}},
	{TakingOver, PeerLost}:       {Alone, []Effect{CloseLink, RestoreLimits, ListenForChild}},

	{ServingAlongsideParent, PeerLost}: {Alone, []Effect{CloseLink, RestoreLimits}},
}

// Step takes an event and returns the effects, in their order; the caller must not change them. An event that
// has no meaning in the phase has no effects.
func (m *Machine) Step(e Event) []Effect {
	if t, ok := transitions[transitionKey{m.phase, e}]; ok {
		m.phase = t.next
		return t.effects
	}
	switch {
	case e == TakeoverRequested: // hazard: a third process, while two have not settled which one serves
		return []Effect{RejectRequest}
	case e == ParentDrained && m.phase == ServingAlongsideParent:
		m.parentDrained = true
	}
	return nil
}
