package schedule

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// sinceFormat is the first log format with triggers.
const sinceFormat = 5

// snapshotField is the name of the field that contains the triggers' state in a group's snapshots.
const snapshotField = "schedule"

// Type describes the triggers' state machine to the package that replicates it.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements replicated.StateMachineType.
func (Type) Section() string { return Section }

// SinceFormat implements replicated.StateMachineType.
func (Type) SinceFormat() int { return sinceFormat }

// Validate implements replicated.StateMachineType.
func (Type) Validate(c replicated.Config) []string {
	_, problems := policyOf(c)
	return problems
}

// OwnsEntry implements replicated.StateMachineType.
func (Type) OwnsEntry(e *schema.Change) bool { return e.Schedule != nil }

// NewStateMachine implements replicated.StateMachineType.
func (Type) NewStateMachine(uint64) replicated.StateMachine { return &StateMachine{State: NewState()} }

// NewParticipant implements replicated.StateMachineType.
func (Type) NewParticipant(local replicated.LocalInfo) replicated.Participant {
	return &participant{local: local}
}

// policyOf parses the policy from a document's section.
func policyOf(c replicated.Config) (Policy, []string) {
	return ParsePolicy(c.Values, KnownNames{Classes: c.ClassNames(), Tenants: c.Tenants})
}

// StateMachine adapts a State to replicated.StateMachine. It decodes the parts of the group's document, log
// and snapshots that belong to the triggers.
type StateMachine struct {
	*State
	classes []replicated.Class
}

// Configure implements replicated.StateMachine.
func (m *StateMachine) Configure(c replicated.Config) {
	p, _ := policyOf(c)
	m.State.Configure(&p)
	m.classes = c.Classes
}

// SessionsExpired implements replicated.StateMachine.
func (m *StateMachine) SessionsExpired(ended func(placement.Session) bool, _ string, _ int64) {
	m.OrphanFirings(ended)
}

// Snapshot implements replicated.StateMachine.
func (m *StateMachine) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: snapshotField, Value: m.TakeSnapshot()}}
}

// Restore implements replicated.StateMachine.
func (m *StateMachine) Restore(read func(string, any) (bool, error)) error {
	var snapshot Snapshot
	ok, err := read(snapshotField, &snapshot)
	if ok && err == nil {
		m.State = NewStateFromSnapshot(snapshot)
	}
	return err
}

// Decode implements replicated.StateMachine.
func (m *StateMachine) Decode(e *schema.Change) (replicated.Command, bool) {
	if e.Schedule == nil {
		return replicated.Command{}, false
	}
	c := decodeCommand(e.Schedule)
	return replicated.Command{Term: c.Term, LeaderDecision: c.Kind == DeclarePolicy,
		Apply: func(func(placement.Session) bool) error { return m.Apply(c) }}, true
}

// retryable reports whether a trigger's job may be sent again under its idempotency key. Age is the time
// since the intent.
func (m *StateMachine) retryable(t *Trigger, age time.Duration) bool {
	for _, c := range m.classes {
		if c.Name == t.Class {
			return c.MayRepeat(age)
		}
	}
	return false
}
