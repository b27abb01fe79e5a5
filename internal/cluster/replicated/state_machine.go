package replicated

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// StateMachineType describes one kind of replicated state machine: something that a group agrees on
// in addition to its document, or a section of the document with rules of its own.
type StateMachineType interface {
	// Section is the name of the document section that configures it.
	Section() string
	// SinceFormat is the format of the log from which on a group knows it.
	SinceFormat() int
	// Validate returns all that is wrong with its section. It must return the same at every instance.
	Validate(c Config) []string
	// OwnsEntry reports whether an entry of the log is a command of this state machine.
	OwnsEntry(e *schema.Change) bool
	// NewStateMachine makes the state machine of a new group, whose fencing tokens and sequence
	// numbers come after the given one; nil: there is none.
	NewStateMachine(after uint64) StateMachine
	// NewParticipant makes an instance's participant; nil: there is none.
	NewParticipant(o LocalInfo) Participant
}

// Config is the part of a document that a state machine may read.
type Config struct {
	Values  map[string]string // of its section; nil: the document has none
	Format  int               // of the group's log: keys that came with a later format are not valid
	Classes []Class
	Tenants []string
}

// Class is a class of jobs in a document.
type Class struct {
	Name        string
	Idempotency string        // retryable, dedup or fragile
	KeyScope    string        // all, zone or cell; for dedup
	Timeout     time.Duration // for all attempts of a job
	KeyWindow   time.Duration // for how long repeats of a job are dropped; for dedup
}

// ClassNames lists the classes in the order of the document.
func (c Config) ClassNames() []string {
	var names []string
	for _, class := range c.Classes {
		names = append(names, class.Name)
	}
	return names
}

// StateMachine is one state machine's share of the replicated state: the same entries in the same
// order give the same state, byte for byte, at every instance. It is used on the goroutine that
// applies the log.
type StateMachine interface {
	// Configure applies a document that has come into force. It has been validated.
	Configure(c Config)
	// Decode reads the command in an entry, if the entry belongs to this state machine.
	Decode(e *schema.Change) (Command, bool)
	// SetOwners sets the members that may own something by placement. It is called after each entry.
	SetOwners(members []placement.Member)
	// SessionsExpired releases what belonged to sessions that have certainly ended, at a time in
	// milliseconds since 1970 by the leader's clock.
	SessionsExpired(expired func(placement.Session) bool, reason string, atMS int64)
	// Snapshot returns what must be kept. Every field is named, also where it is empty.
	Snapshot() []SnapshotField
	// Restore replaces the state by a snapshot. read reports whether a field is present, and decodes it.
	Restore(read func(field string, into any) (bool, error)) error
}

// SnapshotField is a named field of a snapshot.
type SnapshotField struct {
	Name  string
	Value any // nil, an empty list or 0: the field is left out
}

// Command is a state machine's command that has been read from the log.
type Command struct {
	ID              string // by which a caller waits for the outcome; empty: nobody waits
	RememberOutcome bool   // a command with the same ID has the same outcome and is not applied again
	// LeaderDecision: the leader of Term decided it, and it is void in any other term. Hazard: a leader that
	// was deposed between its decision and its proposal forwards the command to the next leader, which may
	// since have granted what the command takes for ended.
	LeaderDecision bool
	Term           uint64
	// Apply carries the command out, or returns why it changes nothing. isOpen reports whether a session is
	// open.
	Apply func(isOpen func(placement.Session) bool) error
}

// LocalInfo is what an instance has by itself, outside the replicated state.
type LocalInfo struct {
	WallClock func() time.Time // nil: there is none
	TimeZones *calendar.ZoneDB // nil: those of the machine
	Labels    []string         // capabilities that leased tasks may require
}

// SectionOnly is a StateMachineType of which only a document section is agreed on.
type SectionOnly struct {
	SectionName string
	FirstFormat int                   // what SinceFormat returns
	Validator   func(Config) []string // what Validate calls
}

var _ StateMachineType = SectionOnly{}

// Section implements StateMachineType.
func (s SectionOnly) Section() string { return s.SectionName }

// SinceFormat implements StateMachineType.
func (s SectionOnly) SinceFormat() int { return s.FirstFormat }

// Validate implements StateMachineType.
func (s SectionOnly) Validate(c Config) []string { return s.Validator(c) }

// OwnsEntry implements StateMachineType: there are no commands.
func (SectionOnly) OwnsEntry(*schema.Change) bool { return false }

// NewStateMachine implements StateMachineType: there is none.
func (SectionOnly) NewStateMachine(uint64) StateMachine { return nil }

// NewParticipant implements StateMachineType: there is none.
func (SectionOnly) NewParticipant(LocalInfo) Participant { return nil }
