package replicated

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// Participant is the part of a state machine that runs on each instance, including the leader's part while
// the instance is the leader. It has no clock, I/O or goroutine of its own: it is called on the goroutine
// that drives the instance. The caller proposes its commands to the log, and passes its notifications to the
// rest of the node. All times are on the instance's monotonic clock.
type Participant interface {
	// BecomeLeader is called when the instance becomes the leader of a term, and with term 0 when it stops
	// being the leader.
	BecomeLeader(now time.Duration, term uint64)
	// FillReport adds the participant's data to the report with which the instance renews its session.
	FillReport(v InstanceView, r *schema.SessionReport)
	// ObserveReport processes a member's report. It is called only on the leader.
	ObserveReport(now time.Duration, member uint64, r *schema.SessionReport)
	// FillGrant adds the participant's data to a lease that the leader grants to a member.
	FillGrant(v InstanceView, member uint64, g *schema.SessionGrant)
	// ObserveGrant processes a lease that the leader has granted to this instance. applied is the index of
	// the last log entry that this instance has applied.
	ObserveGrant(now time.Duration, g *schema.SessionGrant, applied uint64)
	// LeaderCommands returns the commands that the leader has to propose. If a command is lost, a later call
	// returns it again.
	LeaderCommands(v InstanceView) []*schema.Change
	// Advance returns the notifications for the rest of the node, in order, and the commands that this
	// instance has to propose.
	Advance(v InstanceView) (notifications []any, commands []*schema.Change)
	// SnapshotInstalled is called after the instance has installed a snapshot in place of log entries, which
	// it therefore does not apply one by one.
	SnapshotInstalled()
	// Receive processes a message from the rest of the node.
	Receive(v InstanceView, message any)
	// Status returns what operators are shown of the participant; nil: nothing.
	Status(v InstanceView) any
}

// OperatorControlled is implemented by participants that handle requests of operators.
type OperatorControlled interface {
	// CommandFor returns the command, with the given ID, that performs a request. handled is false if the
	// request is for another participant.
	CommandFor(v InstanceView, op *schema.Operation, id string) (e *schema.Change, handled bool, err error)
}

// InstanceView is the state of the instance that its participants can read. Times are on the instance's
// monotonic clock.
type InstanceView struct {
	Now                time.Duration
	StateMachine       StateMachine
	AppliedIndex       uint64            // of the last applied log entry
	MemberID           uint64            // of this instance
	Incarnation        uint64            // random number generated when the process started
	Session            placement.Session // of this instance; Epoch 0: it has no session
	OwnershipExpiresAt time.Duration     // until when it may act on what it owns by placement
	LeaseDuration      time.Duration     // the same for all instances
	Departing          bool              // the instance is shutting down
	Group              Group
}

// Group is an instance's view of its group.
type Group interface {
	// Size returns the number of members.
	Size() int
	// Members lists the members in the order of their numbers. Healthy is known only to the leader.
	Members() []Member
	// EligibleOwners lists the members that may be owners by placement.
	EligibleOwners() []placement.Member
	// Departing reports whether a member has announced that it is shutting down.
	Departing(member uint64) bool
	// Expired reports whether a member's session was set aside and its lease has certainly expired. Only the
	// leader knows this.
	Expired(member uint64) bool
	// Isolated reports whether a member's lease has certainly expired although its session stays open,
	// because the policy lets instances that are cut off serve on. It can no longer act on what it owns by
	// placement. Only the leader knows this.
	Isolated(member uint64) bool
	// ExpiredSessions lists the sessions that were set aside and whose leases have certainly expired. Only
	// the leader knows this.
	ExpiredSessions() []placement.Session
}

// Member is an instance of the group.
type Member struct {
	placement.Member
	Healthy bool // the leader has received a report from it recently
	Voter   bool // it votes in leader elections
}

// NoopParticipant implements Participant with methods that do nothing. Participants embed it and override the
// methods that they need.
type NoopParticipant struct{}

var _ Participant = NoopParticipant{}

// BecomeLeader implements Participant.
func (NoopParticipant) BecomeLeader(time.Duration, uint64) {}

// FillReport implements Participant.
func (NoopParticipant) FillReport(InstanceView, *schema.SessionReport) {}

// ObserveReport implements Participant.
func (NoopParticipant) ObserveReport(time.Duration, uint64, *schema.SessionReport) {}

// FillGrant implements Participant.
func (NoopParticipant) FillGrant(InstanceView, uint64, *schema.SessionGrant) {}

// ObserveGrant implements Participant.
func (NoopParticipant) ObserveGrant(time.Duration, *schema.SessionGrant, uint64) {}

// LeaderCommands implements Participant.
func (NoopParticipant) LeaderCommands(InstanceView) []*schema.Change { return nil }

// Advance implements Participant.
func (NoopParticipant) Advance(InstanceView) ([]any, []*schema.Change) { return nil, nil }

// SnapshotInstalled implements Participant.
func (NoopParticipant) SnapshotInstalled() {}

// Receive implements Participant.
func (NoopParticipant) Receive(InstanceView, any) {}

// Status implements Participant.
func (NoopParticipant) Status(InstanceView) any { return nil }
