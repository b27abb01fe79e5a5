package leasedtask

import (
	"errors"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// firstFormat is the first format of the group's log that supports leased tasks, and the format of their
// entries.
const firstFormat = 3

// Type is the type of the state machine of leased tasks.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements replicated.StateMachineType.
func (Type) Section() string { return Section }

// SinceFormat implements replicated.StateMachineType.
func (Type) SinceFormat() int { return firstFormat }

// Validate implements replicated.StateMachineType.
func (Type) Validate(c replicated.Config) []string {
	_, problems := ParsePolicy(c.Values, c.Format)
	return problems
}

// OwnsEntry implements replicated.StateMachineType.
func (Type) OwnsEntry(e *schema.Change) bool { return e.Duty != nil }

// NewStateMachine implements replicated.StateMachineType.
func (Type) NewStateMachine(after uint64) replicated.StateMachine {
	return &StateMachine{State: NewState(after)}
}

// NewParticipant implements replicated.StateMachineType.
func (Type) NewParticipant(l replicated.LocalInfo) replicated.Participant {
	return &participant{wallClock: l.WallClock, labels: l.Labels, memberLabels: map[uint64][]string{}}
}

// StateMachine implements replicated.StateMachine with a State.
type StateMachine struct {
	*State
	Specs []Spec // from the document in force
}

// Configure implements replicated.StateMachine.
func (m *StateMachine) Configure(c replicated.Config) {
	p, _ := ParsePolicy(c.Values, c.Format)
	m.Specs = p.Specs()
}

// SetOwners implements replicated.StateMachine. It does nothing: tasks have holders, and no owners by
// placement.
func (m *StateMachine) SetOwners([]placement.Member) {}

// SessionsExpired implements replicated.StateMachine.
func (m *StateMachine) SessionsExpired(expired func(placement.Session) bool, reason string, atMS int64) {
	m.State.SessionsExpired(func(s Session) bool { return expired(placement.Session(s)) }, reason, atMS)
}

// Snapshot implements replicated.StateMachine.
func (m *StateMachine) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: "duties", Value: m.List()},
		{Name: "number", Value: m.LastFencingToken}}
}

// errInvalidSnapshot is returned for a snapshot that no State can have written.
var errInvalidSnapshot = errors.New("the snapshot has an invalid duty: an empty one, a fencing token above " +
	"the newest, or a note above 4096 bytes")

// Restore implements replicated.StateMachine.
func (m *StateMachine) Restore(read func(string, any) (bool, error)) error {
	var tasks []*Task
	_, tasksErr := read("duties", &tasks)
	_, tokenErr := read("number", &m.LastFencingToken)
	if err := errors.Join(tasksErr, tokenErr); err != nil {
		return err
	}
	for _, t := range tasks {
		if t == nil || t.FencingToken > m.LastFencingToken || len(t.Note) > MaxNoteBytes {
			return errInvalidSnapshot
		}
		m.Tasks[t.Name] = t
	}
	return nil
}

// Decode implements replicated.StateMachine.
func (m *StateMachine) Decode(e *schema.Change) (replicated.Command, bool) {
	d := e.Duty
	if d == nil {
		return replicated.Command{}, false
	}
	c := Command{Kind: Kind(d.Kind), ID: d.Id, Term: d.Term, Task: d.Duty, Tasks: d.Names,
		Session: Session{Member: d.Member, Epoch: d.Epoch}, Name: d.Name, FencingToken: d.Number,
		TransferTo: d.To, NoteRevision: d.Turn, Failed: d.Failed, Reason: d.Reason, AtMS: d.AtMs}
	if d.Noted {
		c.Note = append([]byte{}, d.Note...)
	}
	return replicated.Command{ID: c.ID, Term: c.Term,
		// Holders send many commands, which have no effect when they are repeated, so only the outcomes
		// of operators' commands are remembered.
		RememberOutcome: c.Kind >= Transfer,
		LeaderDecision:  c.Term != 0 || c.Kind.LeaderDecision(),
		Apply: func(isOpen func(placement.Session) bool) error {
			return m.Apply(c, func(s Session) bool { return isOpen(placement.Session(s)) })
		}}, true
}

// EncodeCommand returns a command as a log entry.
func EncodeCommand(c Command) *schema.Change {
	return &schema.Change{Format: firstFormat, Duty: &schema.DutyCommand{Kind: uint32(c.Kind), Id: c.ID,
		Term: c.Term, Duty: c.Task, Names: c.Tasks, Member: c.Session.Member, Epoch: c.Session.Epoch,
		Name: c.Name, Number: c.FencingToken, Note: c.Note, Noted: c.Note != nil, To: c.TransferTo,
		Turn: c.NoteRevision, Failed: c.Failed, Reason: c.Reason, AtMs: c.AtMS}}
}
