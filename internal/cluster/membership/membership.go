package membership

import (
	"fmt"
	"time"
)

// ID is a member's number in the group. 0 is no member.
type ID uint64

// State is what the detector estimates of a member.
type State uint8

// The states of a member. Of two updates with one incarnation the greater state wins.
const (
	Alive State = iota
	Suspect
	Failed
	Departed // it left the group by its own will; operators see "left"
)

// String is the state as operators and the log see it.
func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(int(s), int(Departed))]
}

// Update is a gossip update: one member's state, as another has observed it.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64 // of the member ID; only that member increases it
	ReportedBy  ID     // of a Suspect update: the member that came to the suspicion
}

// String is the update in one line, for the log and for failing tests.
func (u Update) String() string {
	return fmt.Sprintf("%d is %v (incarnation %d, by %d)", u.ID, u.State, u.Incarnation, u.ReportedBy)
}

// MessageKind distinguishes messages. Its numbers are part of the wire format.
type MessageKind uint8

// The kinds of message.
const (
	Ping         MessageKind = 1 + iota // answered with an Ack
	Ack                                 // answers a Ping, or an IndirectPing whose target has answered
	IndirectPing                        // requests that the receiver ping Target
	Nack                                // answers an IndirectPing whose target did not answer in time
	SyncRequest                         // carries all states that the sender knows; answered with a SyncReply
	SyncReply                           // carries all states that the sender knows
	Gossip                              // carries updates only
)

// Message is what one member sends to another.
type Message struct {
	Kind    MessageKind
	Seq     uint64 // sequence number of the ping that the message belongs to; 0 for the last three kinds
	Target  ID     // of an IndirectPing, and of its Ack or Nack: the member that is pinged
	Updates []Update
}

// Outbound is a message to be sent to a member. It may be lost, duplicated or reordered.
type Outbound struct {
	To ID
	Message
}

// MemberState is what this member knows of another one. Times are on the caller's clock.
type MemberState struct {
	ID          ID
	State       State
	Incarnation uint64
	Since       time.Duration // when State last changed
	SuspectedBy []ID          // of a suspect: the members that came to the suspicion, in order
	// Reachable is whether this member's own pings are answered, and ReachableSince when that last changed.
	// A member that only others reach is not called failed.
	Reachable      bool
	ReachableSince time.Duration
}

// Counters count what has happened since the detector was made.
type Counters struct {
	Rejected    uint64 // messages and updates that are invalid
	Refutations uint64 // updates on this member itself that it has refuted
	Stalls      uint64 // times that this process did not run for more than a probe interval
	Messages    uint64 // sent, without full exchanges of state
}
