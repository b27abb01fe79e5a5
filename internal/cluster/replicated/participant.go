package replicated

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// Participant is an instance's side of a state machine, and the leader's side while the instance
// leads. It has no clock, no I/O and no goroutine of its own: it is called on the goroutine that
// drives the instance, its commands are proposed to the log, and its notifications go to the rest of
// the node. Times are on the instance's monotonic clock.
type Participant interface {
	// BecomeLeader begins the leader's side in a term; term 0 ends it.
	BecomeLeader(now time.Duration, term uint64)
	// FillReport adds to the report by which the instance renews its session.
	FillReport(v InstanceView, r *schema.SessionReport)
	// ObserveReport takes a member's report, at the leader.
	ObserveReport(now time.Duration, member uint64, r *schema.SessionReport)
	// FillGrant adds to the lease that the leader grants a member.
	FillGrant(v InstanceView, member uint64, g *schema.SessionGrant)
	// ObserveGrant takes a lease. applied is the number of log entries that this instance has applied.
	ObserveGrant(now time.Duration, g *schema.SessionGrant, applied uint64)
	// LeaderCommands returns the leader's commands. One that is lost is returned again by a later call.
	LeaderCommands(v InstanceView) []*schema.Change
	// Advance returns this instance's own commands, and the notifications for the rest of the node, in
	// order.
	Advance(v InstanceView) (notifications []any, commands []*schema.Change)
	// SnapshotInstalled is called when entries were skipped because a snapshot has replaced them.
	SnapshotInstalled()
	// Receive takes a message of the rest of the node.
	Receive(v InstanceView, message any)
	// Status is shown to operators; nil: there is nothing to show.
	Status(v InstanceView) any
}

// OperatorControlled is a Participant that carries out operators' requests.
type OperatorControlled interface {
	// CommandFor returns the command, with the given id, that carries a request out. mine is false for a
	// request that belongs to another participant.
	CommandFor(v InstanceView, op *schema.Operation, id string) (e *schema.Change, mine bool, err error)
}

// InstanceView is what a participant sees of its instance. Times are on its monotonic clock.
type InstanceView struct {
	Now                time.Duration
	StateMachine       StateMachine
	AppliedIndex       uint64            // of the last log entry that has been applied
	MemberID           uint64            // the instance's
	Incarnation        uint64            // drawn at random when the process started
	Session            placement.Session // the instance's; Epoch 0: it has none
	OwnershipExpiresAt time.Duration     // when its right to act on what it owns by placement ends
	LeaseDuration      time.Duration     // of every instance's session
	Departing          bool              // the instance is shutting down
	Group              Group
}

// Group is the group that an instance belongs to, as the instance knows it.
type Group interface {
	// Size is how many members there are.
	Size() int
	// Members lists the members by number. Only the leader knows whether they are healthy.
	Members() []Member
	// EligibleOwners lists the members that may own something by placement.
	EligibleOwners() []placement.Member
	// Departing reports whether a member has announced that it is shutting down.
	Departing(member uint64) bool
	// Expired reports whether a member's session, which was set aside, has certainly ended. Only the
	// leader knows.
	Expired(member uint64) bool
	// ExpiredSessions lists the sessions that were set aside and have certainly ended. Only the leader
	// knows.
	ExpiredSessions() []placement.Session
}

// Member is an instance of the group.
type Member struct {
	placement.Member
	Healthy bool // the leader has received a report of it lately
	Voter   bool // it votes in elections
}

// NoopParticipant does nothing. Participants that need few of the methods embed it.
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
