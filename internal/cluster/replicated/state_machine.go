package replicated

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// StateMachineType describes a kind of replicated state machine, or a section of the document that is
// validated but has no state machine (see SectionOnly).
type StateMachineType interface {
	// Section is the name of the document section that configures it.
	Section() string
	// SinceFormat is the first format of the log in which groups support it.
	SinceFormat() int
	// Validate returns all problems of its section. It must return the same problems on every instance.
	Validate(c Config) []string
	// OwnsEntry reports whether an entry of the log is a command of this state machine.
	OwnsEntry(e *schema.Change) bool
	// NewStateMachine returns the state machine of a new group, or nil if the type has none. Its fencing
	// tokens and sequence numbers are greater than lastNumber.
	NewStateMachine(lastNumber uint64) StateMachine
	// NewParticipant returns an instance's participant, or nil if the type has none.
	NewParticipant(local LocalInfo) Participant
}

// Config is the part of a document that a state machine may read.
type Config struct {
	Values  map[string]string // of its section; nil: the document does not have the section
	Format  int               // of the group's log; keys that were introduced in a later format are invalid
	Classes []Class
	Tenants []string
}

// Class is a class of jobs in a document.
type Class struct {
	Name        string
	Idempotency string        // retryable, dedup or fragile
	KeyScope    string        // all, zone or cell; for dedup
	Timeout     time.Duration // for all attempts of a job
	KeyWindow   time.Duration // how long duplicates of a job are dropped; for dedup
}

// AlwaysRepeatable reports whether a job of the class may run any number of times.
func (c Class) AlwaysRepeatable() bool { return c.Idempotency == "retryable" }

// MayRepeat reports whether a job that may have run may be submitted again under its idempotency key. Age is
// the time since its first attempt may have been sent.
//
// Workers remember a key for a limited time only, and the last attempt may be sent up to a timeout from now.
// In classes with a narrower scope, only the workers in the first attempt's scope do, and that scope is no
// longer known.
func (c Class) MayRepeat(age time.Duration) bool {
	everywhere := c.KeyScope == "" || c.KeyScope == "all"
	return c.AlwaysRepeatable() || c.Idempotency == "dedup" && everywhere && age+c.Timeout < c.KeyWindow
}

// ClassNames lists the classes in the order of the document.
func (c Config) ClassNames() []string {
	var names []string
	for _, class := range c.Classes {
		names = append(names, class.Name)
	}
	return names
}

// StateMachine is one state machine's part of the replicated state. Applying the same entries in the same
// order must produce the same state, byte for byte, on every instance. It is used only on the goroutine that
// applies the log.
type StateMachine interface {
	// Configure applies a document that has come into force. The document has been validated.
	Configure(c Config)
	// Decode decodes the command in an entry; false if the entry does not belong to this state machine.
	Decode(e *schema.Change) (Command, bool)
	// SetOwners sets the members that may be owners by placement. It is called after each entry.
	SetOwners(members []placement.Member)
	// SessionsExpired releases everything that belongs to sessions that have certainly ended. atMS is the
	// leader's wall clock in Unix milliseconds.
	SessionsExpired(expired func(placement.Session) bool, reason string, atMS int64)
	// Snapshot returns all fields of the state, including empty ones: Restore gets only fields named here.
	Snapshot() []SnapshotField
	// Restore replaces the state with that of a snapshot. read decodes a field into a value, and reports
	// whether the snapshot has the field.
	Restore(read func(field string, into any) (bool, error)) error
}

// SnapshotField is a named field of a snapshot.
type SnapshotField struct {
	Name  string
	Value any // the field is omitted if this is nil, 0 or empty
}

// Command is a decoded command of a state machine.
type Command struct {
	ID              string // with which a caller waits for the outcome; empty: no caller waits
	RememberOutcome bool   // a repeated command with the same ID gets the same outcome and is not applied
	// LeaderDecision marks a command that the leader of Term decided on; it has no effect in another term. A
	// leader that is deposed between its decision and its proposal forwards the command to the next leader.
	// Without this check, the command could then end what the next leader has granted meanwhile.
	LeaderDecision bool
	Term           uint64
	// Apply applies the command, or returns why it has no effect. isOpen reports whether a session is open.
	Apply func(isOpen func(placement.Session) bool) error
}

// LocalInfo is what a participant needs of its instance that is not in the replicated state.
type LocalInfo struct {
	WallClock func() time.Time // nil: no wall clock is available
	TimeZones *calendar.ZoneDB // nil: the time zones of the machine
	Labels    []string         // capabilities that leased tasks may require
}

// SectionOnly is a StateMachineType that validates a document section and has no state machine.
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

// OwnsEntry implements StateMachineType: no entry is a command.
func (SectionOnly) OwnsEntry(*schema.Change) bool { return false }

// NewStateMachine implements StateMachineType: it returns nil.
func (SectionOnly) NewStateMachine(uint64) StateMachine { return nil }

// NewParticipant implements StateMachineType: it returns nil.
func (SectionOnly) NewParticipant(LocalInfo) Participant { return nil }
