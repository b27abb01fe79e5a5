package membership

import (
	"fmt"
	"time"
)

// ID identifies a member within the group. 0 is not a valid ID.
type ID uint64

// State is the detector's estimate of a member's state.
type State uint8

// The states of a member. Of two updates with the same incarnation, the greater state takes precedence.
const (
	Alive State = iota
	Suspect
	Failed
	Departed // the member left the group voluntarily; operators see "left"
)

// String returns the name of the state that operators and the log see.
func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(int(s), int(Departed))]
}

// Update is a gossip update: one member's state, as observed by another.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64 // incarnation of the member ID; only that member increases it
	ReportedBy  ID     // for a Suspect update, the member that raised or confirmed the suspicion
}

// String formats the update on one line, for the log and test failures.
func (u Update) String() string {
	return fmt.Sprintf("%d is %v (incarnation %d, by %d)", u.ID, u.State, u.Incarnation, u.ReportedBy)
}

// MessageKind is the type of a message. The numeric values are part of the wire format.
type MessageKind uint8

// The message kinds.
const (
	Ping         MessageKind = 1 + iota // answered with an Ack
	Ack                                 // answers a Ping, or an IndirectPing whose target answered
	IndirectPing                        // asks the receiver to ping Target
	Nack                                // answers an IndirectPing whose target did not answer in time
	SyncRequest                         // carries the sender's full state; answered with a SyncReply
	SyncReply                           // carries the sender's full state
	Gossip                              // carries only updates
)

// Message is a protocol message between two members.
type Message struct {
	Kind    MessageKind
	Seq     uint64 // sequence number of the ping; 0 for SyncRequest, SyncReply and Gossip
	Target  ID     // for an IndirectPing and its Ack or Nack: the member to ping
	Updates []Update
}

// Outbound is a message to send to a member. The network may lose, duplicate or reorder it.
type Outbound struct {
	To ID
	Message
}

// MemberState is this member's view of another member. Times are on the caller's clock.
type MemberState struct {
	ID          ID
	State       State
	Incarnation uint64
	Since       time.Duration // time of the last change of State
	SuspectedBy []ID          // of a suspect: members that raised or confirmed the suspicion, by ID
	// Reachable reports whether this member's own pings are answered; ReachableSince is the time of its
	// last change. A member that only others can reach is not declared failed.
	Reachable      bool
	ReachableSince time.Duration
}

// Counters holds event counts since the detector was created.
type Counters struct {
	Rejected    uint64 // invalid messages and updates
	Refutations uint64 // updates about this member that it has refuted
	Stalls      uint64 // pauses of this process that were longer than a probe interval
	Messages    uint64 // messages sent, except those of full state syncs
}
