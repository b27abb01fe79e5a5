package hotrestart

import "time"

// Phase is the role of a process in a hot restart, and its progress.
type Phase uint8

// The phases. Their names are sent in rejections, so they must not change.
const (
	Alone                  Phase = iota // there is no other process of the node
	Offering                            // a parent whose child has the state but does not serve yet
	ParentDraining                      // a parent whose child serves; it finishes its open requests
	TakingOver                          // a child that has the state; its parent still accepts requests
	ServingAlongsideParent              // a child that serves; its parent finishes its open requests
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"alone", "offering", "handed over", "taking over", "beside the old process"}[p]
}

// Event is an input of the Machine.
type Event uint8

// The events.
const (
	TakeoverRequested Event = iota // a new process requests to replace this one
	ChildServes                    // the child has started to serve
	ParentReleased                 // the parent has stopped accepting requests
	ParentDrained                  // the parent has no open requests left
	PeerLost                       // the other process has ended or sent a malformed message
	TimedOut                       // the expected message has not arrived in time
)

// Effect is an action that the driver of a Machine must carry out.
type Effect uint8

// The effects.
const (
	SendState       Effect = iota // send the state and the listening socket, and share the limits
	RejectTakeover                // reject the process that requests to replace this one
	StopAccepting                 // stop accepting requests, drain the clients, and notify the child
	ResumeAccepting               // accept requests again
	RestoreLimits                 // apply the full limits to this process
	ListenForChild                // listen for the process that will replace this one
	CloseLink                     // close the link to the other process
)

// Timeouts, by the process that waits.
const (
	stateTimeout       = 2 * time.Second         // child: to receive the state
	joinRetryTimeout   = 5 * time.Second         // third process: for the hot restart in progress to finish
	ChildServesTimeout = 6 * time.Second         // parent: for the child to serve; the platform waits as long
	MigrateAfter       = 2500 * time.Millisecond // parent, from SIGTERM: until it migrates its open requests
	ReleaseTimeout     = time.Second             // child: for its parent to stop accepting requests
	parentGracePeriod  = 3500 * time.Millisecond // child, from its start: for its parent's open requests
)

// Machine is the hot restart state machine of one process. It is not safe for concurrent use.
type Machine struct {
	phase         Phase
	parentDrained bool
	readyAt       time.Duration // when a child is ready even if its parent has not drained
}

// NewWithoutParent returns the machine of a process that has found no parent.
func NewWithoutParent() *Machine { return &Machine{} }

// NewChild returns the machine of a process that started at the given time and has inherited its parent's
// state.
//
// A child becomes ready late on purpose: the platform ends the parent soon after the child is ready. Until
// then the parent can finish its requests within the full timeouts of their clients.
func NewChild(started time.Duration) *Machine {
	return &Machine{phase: TakingOver, readyAt: started + parentGracePeriod}
}

// Phase returns the current phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// Ready reports whether the node can continue with this process alone.
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

	// The child has died before the platform has ended the parent. The parent is then the only process that
	// can serve, so it must accept requests again.
	{ParentDraining, PeerLost}: {Alone, []Effect{CloseLink, RestoreLimits, ResumeAccepting, ListenForChild}},

	{TakingOver, ParentReleased}: {ServingAlongsideParent, []Effect{ListenForChild}},
	{TakingOver, TimedOut}:       {ServingAlongsideParent, []Effect{ListenForChild}},
	{TakingOver, PeerLost}:       {Alone, []Effect{CloseLink, RestoreLimits, ListenForChild}},

	{ServingAlongsideParent, PeerLost}: {Alone, []Effect{CloseLink, RestoreLimits}},
}

// Step applies an event and returns its effects in the order in which they must be carried out. The caller
// must not change them. An event that the current phase does not expect has no effects.
func (m *Machine) Step(e Event) []Effect {
	if t, ok := transitions[transitionKey{m.phase, e}]; ok {
		m.phase = t.next
		return t.effects
	}
	switch {
	case e == TakeoverRequested: // from a third process, before the hot restart in progress is complete
		return []Effect{RejectTakeover}
	case e == ParentDrained && m.phase == ServingAlongsideParent:
		m.parentDrained = true
	}
	return nil
}
