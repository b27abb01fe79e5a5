package clusterstate

import (
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

// machine is a replicated state machine with its type.
type machine struct {
	replicated.StateMachineType
	state replicated.StateMachine
}

// newMachines makes the state machines of a new group. Their numbers come after the given one.
func (r Rules) newMachines(after uint64) []machine {
	var list []machine
	for _, t := range r.StateMachineTypes() {
		if state := t.NewStateMachine(after); state != nil {
			list = append(list, machine{t, state})
		}
	}
	return list
}

// StateMachine returns the state machine that a section configures, or nil. It must not be changed.
func (s *State) StateMachine(section string) replicated.StateMachine {
	for _, m := range s.machines {
		if m.Section() == section {
			return m.state
		}
	}
	return nil
}

// DecodeCommand reads a state machine's command from an entry, if it has one.
func (s *State) DecodeCommand(e *schema.Change) (replicated.Command, bool) {
	for _, m := range s.machines {
		if c, ok := m.state.Decode(e); ok {
			return c, true
		}
	}
	return replicated.Command{}, false
}

// ApplyCommand applies a state machine's command that is in the log.
func (s *State) ApplyCommand(c replicated.Command) Outcome {
	if known, ok := s.outcomes.get(c.ID); ok && c.ID != "" {
		return known
	}
	o := Outcome{Code: Accepted, Revision: s.CurrentRevision().Number}
	if err := c.Apply(s.isOpen); err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	}
	if c.RememberOutcome {
		s.outcomes.addIfValid(c.ID, o)
	}
	return o
}

// configureMachines has the state machines use the revision in force. It has been validated.
//
// Hazard: a section of a state machine that the group does not know yet may hold anything, and older
// programs ignore it.
func (s *State) configureMachines() {
	d := s.CurrentRevision().Document
	for _, m := range s.machines {
		if s.format >= m.SinceFormat() {
			m.state.Configure(s.rules.config(d, m.Section()))
		}
	}
}

// LeasedTasks returns who holds which task. It must not be changed.
func (s *State) LeasedTasks() *leasedtask.State {
	return s.StateMachine(leasedtask.Section).(*leasedtask.StateMachine).State
}

// Schedule returns how far the triggers have come. It must not be changed.
func (s *State) Schedule() *schedule.State {
	return s.StateMachine(schedule.Section).(*schedule.StateMachine).State
}

// weights are the instances', or nil if the group has none.
func (s *State) weights() *weights.StateMachine {
	w, _ := s.StateMachine(weights.Section).(*weights.StateMachine)
	return w
}

// PlacementView returns who may own what by placement now.
func (s *State) PlacementView() placement.View {
	v := placement.View{Members: s.EligibleOwners()}
	weightChanges := uint64(0)
	if w := s.weights(); w != nil {
		weightChanges = w.ChangeCount
	}
	v.Number = placement.ViewNumber(s.rollout.LastEpoch+weightChanges, len(v.Members))
	return v
}
