// Package subject is the one shape of what a group agrees on beside its document: who holds which duty,
// which triggers have come how far, how much an account may do.
//
// A subject is a package with its rules, its messages in the schema, and a line in agreement's list.
// Nothing else knows it by name but who uses it: the node, and the operators' service where it has
// something to say there. What stands in its section of the document, what of it is in the agreed log and
// in snapshots, what an instance says of itself when it renews its session, what the leader judges and
// what an instance has to do are asked through Subject, State and Part.
//
// The rollout of changes is no subject: it is the ground that all of them stand on. It gives the sessions
// that they hold by, and decides which document they go by.
package replicated

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// StateMachineType is what a group agrees on beside its document, or a section of that with rules of its own.
type StateMachineType interface {
	// Section is the section of the document that it goes by: its name.
	Section() string
	// SinceFormat is the format of the log from which on a group knows it.
	SinceFormat() int
	// Validate gives all that is wrong with its section. It must find the same at every instance.
	Validate(t Config) []string
	// OwnsEntry says whether an entry of the log is this subject's.
	OwnsEntry(e *schema.Change) bool
	// NewStateMachine makes its part of a new group's state, whose numbers come after the given one; nil: it
	// has none.
	NewStateMachine(after uint64) StateMachine
	// NewParticipant makes an instance's part in it; nil: it has none.
	NewParticipant(o LocalInfo) Participant
}

// Config are what a document says, as subjects see it.
type Config struct {
	Values  map[string]string // of the subject's section; nil: the document has none
	Format  int               // of the group's log: what came later is no word of it
	Classes []Class
	Tenants []string
}

// Class is a class of jobs.
type Class struct {
	Name        string
	Idempotency string
	KeyScope    string
	Timeout     time.Duration
	KeyWindow   time.Duration
}

// ClassNames lists the classes.
func (t Config) ClassNames() []string {
	var names []string
	for _, c := range t.Classes {
		names = append(names, c.Name)
	}
	return names
}

// StateMachine is a subject's part of the agreed state: the same entries in the same order make the same one,
// byte for byte, at every instance.
type StateMachine interface {
	// Configure goes by a document that has come into force. It has been checked.
	Configure(t Config)
	// Decode takes what an entry says, if it is this subject's.
	Decode(e *schema.Change) (Command, bool)
	// SetOwners tells who may own something by placement, after each entry.
	SetOwners(members []placement.Member)
	// SessionsExpired tells of sessions that have surely ended, and why.
	SessionsExpired(over func(placement.Session) bool, why string, atMS int64)
	// Snapshot is what is to be kept. Every field is named, also where it is empty.
	Snapshot() []SnapshotField
	// Restore takes over an image. read says whether a field is there, and fills what is given.
	Restore(read func(field string, into any) (bool, error)) error
}

// SnapshotField is a named part of an image.
type SnapshotField struct {
	Name  string
	Value any // nil, an empty list or 0: it is left out
}

// Command is a subject's word in the log.
type Command struct {
	ID              string // who waits for its outcome knows it by this; empty: nobody does
	RememberOutcome bool   // the same word again has the same outcome
	// LeaderDecision: it is the judgement of the leader of a term, and void in another one. Hazard: a leader
	// that has been deposed between its look and its word hands the word on to the next one, which may have
	// granted since what the word counts as over.
	LeaderDecision bool
	Term           uint64
	// Apply does what it says, or says why it does nothing. open says whether a session is open.
	Apply func(open func(placement.Session) bool) error
}

// LocalInfo is what an instance has of its own that subjects go by.
type LocalInfo struct {
	WallClock func() time.Time // nil: there is no such clock
	TimeZones *calendar.ZoneDB // nil: those that are here
	Labels    []string         // what it has that duties ask for
}

// Participant is an instance's part in a subject: its own side, and the leader's while it leads. It has no
// clock and does nothing itself: words go into the log, and what it tells goes to the rest of the node.
type Participant interface {
	// BecomeLeader begins the leader's side in a term; in term 0 it ends.
	BecomeLeader(now time.Duration, term uint64)
	// FillReport adds what the instance says of itself when it renews its session.
	FillReport(v InstanceView, r *schema.SessionReport)
	// ObserveReport takes what a member has said of itself.
	ObserveReport(now time.Duration, member uint64, r *schema.SessionReport)
	// FillGrant adds what the leader says with a lease.
	FillGrant(v InstanceView, member uint64, g *schema.SessionGrant)
	// ObserveGrant takes a lease.
	ObserveGrant(now time.Duration, g *schema.SessionGrant, applied uint64)
	// LeaderCommands gives the leader's words. One that is lost is asked for again.
	LeaderCommands(v InstanceView) []*schema.Change
	// Advance gives this instance's own words, and what it tells the rest of the node, in order.
	Advance(v InstanceView) (told []any, words []*schema.Change)
	// SnapshotInstalled says that entries were passed over: a snapshot has come in their place.
	SnapshotInstalled()
	// Receive takes what the rest of the node has to say.
	Receive(v InstanceView, word any)
	// Status is how it stands, for operators; nil: there is nothing to say.
	Status(v InstanceView) any
}

// OperatorControlled is a part that operators have wishes of.
type OperatorControlled interface {
	// CommandFor gives the word that carries a wish out, under an id. mine is false for another's wish.
	CommandFor(v InstanceView, op *schema.Operation, id string) (e *schema.Change, mine bool, err error)
}

// InstanceView is how an instance stands.
type InstanceView struct {
	Now                time.Duration
	StateMachine       StateMachine
	AppliedIndex       uint64            // entries of the log
	MemberID           uint64            // its member number
	Incarnation        uint64            // the number that its process drew when it started
	Session            placement.Session // its session; Epoch 0: none, or none any more
	OwnershipExpiresAt time.Duration     // when its right to act on what it owns by placement ends
	LeaseDuration      time.Duration     // how long any instance's lasts
	Departing          bool              // it is about to end
	Group              Group
}

// Group is whom an instance belongs to.
type Group interface {
	Size() int
	// Members lists them by number. How well they are only the leader knows.
	Members() []Member
	// EligibleOwners lists those that may own something by placement.
	EligibleOwners() []placement.Member
	// Departing says whether a member has said that it is about to end.
	Departing(member uint64) bool
	// Expired says whether a member's session, which was set aside, has surely ended. Only the leader knows.
	Expired(member uint64) bool
	// ExpiredSessions lists the sessions that were set aside and have surely ended. Only the leader knows.
	ExpiredSessions() []placement.Session
}

// Member is an instance of the group.
type Member struct {
	placement.Member
	Healthy bool // it has been heard of lately
	Voter   bool
}

// SectionOnly is a subject of which nothing is agreed on but a section of the document.
type SectionOnly struct {
	SectionName string
	FirstFormat int // Since
	Validator   func(Config) []string
}

var _ StateMachineType = SectionOnly{}

// Section implements Subject.
func (w SectionOnly) Section() string { return w.SectionName }

// SinceFormat implements Subject.
func (w SectionOnly) SinceFormat() int { return w.FirstFormat }

// Validate implements Subject.
func (w SectionOnly) Validate(t Config) []string { return w.Validator(t) }

// OwnsEntry implements Subject.
func (SectionOnly) OwnsEntry(*schema.Change) bool { return false }

// NewStateMachine implements Subject.
func (SectionOnly) NewStateMachine(uint64) StateMachine { return nil }

// NewParticipant implements Subject.
func (SectionOnly) NewParticipant(LocalInfo) Participant { return nil }

// NoopParticipant is a part that does nothing, for those that do little to be made of.
type NoopParticipant struct{}

var _ Participant = NoopParticipant{}

// BecomeLeader implements Part.
func (NoopParticipant) BecomeLeader(time.Duration, uint64) {}

// FillReport implements Part.
func (NoopParticipant) FillReport(InstanceView, *schema.SessionReport) {}

// ObserveReport implements Part.
func (NoopParticipant) ObserveReport(time.Duration, uint64, *schema.SessionReport) {}

// FillGrant implements Part.
func (NoopParticipant) FillGrant(InstanceView, uint64, *schema.SessionGrant) {}

// ObserveGrant implements Part.
func (NoopParticipant) ObserveGrant(time.Duration, *schema.SessionGrant, uint64) {}

// LeaderCommands implements Part.
func (NoopParticipant) LeaderCommands(InstanceView) []*schema.Change { return nil }

// Advance implements Part.
func (NoopParticipant) Advance(InstanceView) ([]any, []*schema.Change) { return nil, nil }

// SnapshotInstalled implements Part.
func (NoopParticipant) SnapshotInstalled() {}

// Receive implements Part.
func (NoopParticipant) Receive(InstanceView, any) {}

// Status implements Part.
func (NoopParticipant) Status(InstanceView) any { return nil }
