package schedule

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// sinceFormat is the first log format with triggers.
const sinceFormat = 5

// snapshotField is the name of the triggers' field in the group's snapshots.
const snapshotField = "schedule"

// Type is the type of the triggers' state machine, for the list of what a group replicates.
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

func policyOf(c replicated.Config) (Policy, []string) {
	return ParsePolicy(c.Values, KnownNames{Classes: c.ClassNames(), Tenants: c.Tenants})
}

// StateMachine adapts a State to replicated.StateMachine: it decodes what the group's document, log and
// snapshots have of it.
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

// retryable reports whether a trigger's job that was intended so long ago may be sent once more under its
// idempotency key.
func (m *StateMachine) retryable(t *Trigger, ago time.Duration) bool {
	for _, c := range m.classes {
		if c.Name != t.Class {
			continue
		}
		switch c.Idempotency {
		case "retryable":
			return true
		case "dedup":
			// Hazard: workers remember a key for a time only, and in some classes only the workers of the
			// first attempt's scope do, which nobody knows any more.
			everywhere := c.KeyScope == "" || c.KeyScope == "all"
			return everywhere && ago+c.Timeout < c.KeyWindow
		}
	}
	return false
}
