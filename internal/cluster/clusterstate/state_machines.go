package clusterstate

import (
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

// stateMachine is a replicated state machine with its type.
type stateMachine struct {
	replicated.StateMachineType
	state replicated.StateMachine
}

// newStateMachines returns the state machines of a new group. Their fencing tokens and sequence numbers are
// greater than lastNumber.
func (r Rules) newStateMachines(lastNumber uint64) []stateMachine {
	var list []stateMachine
	for _, t := range r.StateMachineTypes() {
		if state := t.NewStateMachine(lastNumber); state != nil {
			list = append(list, stateMachine{t, state})
		}
	}
	return list
}

// StateMachine returns the state machine that a section configures, or nil. The caller must not modify it.
func (s *State) StateMachine(section string) replicated.StateMachine {
	for _, m := range s.stateMachines {
		if m.Section() == section {
			return m.state
		}
	}
	return nil
}

// DecodeCommand decodes the state machine command in a log entry; false if the entry has none.
func (s *State) DecodeCommand(e *schema.Change) (replicated.Command, bool) {
	for _, m := range s.stateMachines {
		if c, ok := m.state.Decode(e); ok {
			return c, true
		}
	}
	return replicated.Command{}, false
}

// ApplyCommand applies a state machine command from the log.
func (s *State) ApplyCommand(c replicated.Command) Outcome {
	if known, ok := s.outcomes.get(c.ID); ok && c.ID != "" {
		return known
	}
	o := Outcome{Code: Accepted, Revision: s.CurrentRevision().Number}
	if err := c.Apply(s.isSessionOpen); err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	}
	if c.RememberOutcome {
		s.outcomes.addIfValid(c.ID, o)
	}
	return o
}

// configureStateMachines passes the revision in force, which has been validated, to the state machines.
//
// State machines that the group's format does not support yet are left out: their sections have not been
// validated, and older programs ignore them.
func (s *State) configureStateMachines() {
	d := s.CurrentRevision().Document
	for _, m := range s.stateMachines {
		if s.format >= m.SinceFormat() {
			m.state.Configure(s.rules.config(d, m.Section()))
		}
	}
}

// LeasedTasks returns the state of the leased tasks. The caller must not modify it.
func (s *State) LeasedTasks() *leasedtask.State {
	return s.StateMachine(leasedtask.Section).(*leasedtask.StateMachine).State
}

// Schedule returns the state of the triggers. The caller must not modify it.
func (s *State) Schedule() *schedule.State {
	return s.StateMachine(schedule.Section).(*schedule.StateMachine).State
}

// weights returns the state machine of the instances' weights, or nil if the rules have none.
func (s *State) weights() *weights.StateMachine {
	w, _ := s.StateMachine(weights.Section).(*weights.StateMachine)
	return w
}

// PlacementView returns the current placement view.
func (s *State) PlacementView() placement.View {
	v := placement.View{Members: s.EligibleOwners()}
	weightChanges := uint64(0)
	if w := s.weights(); w != nil {
		weightChanges = w.ChangeCount
	}
	v.Number = placement.ViewNumber(s.rollout.LastEpoch+weightChanges, len(v.Members))
	return v
}
