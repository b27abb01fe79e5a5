package clusterstate

import (
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/membership"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

// StateMachineTypes are what a group agrees on beside the document's classes and tenants, in the order in
// which they stand in a state's image. A new one is a package and a line here.
func StateMachineTypes() []replicated.StateMachineType {
	return []replicated.StateMachineType{
		replicated.SectionOnly{SectionName: rollout.Section, FirstFormat: 2, Validator: checkRollout},
		leasedtask.Type{},
		schedule.Type{},
		weights.Type{},
		replicated.SectionOnly{SectionName: ratelimit.Section, FirstFormat: 4, Validator: ratelimit.Validate},
		replicated.SectionOnly{SectionName: placement.Section, FirstFormat: 5, Validator: checkWorkers},
		replicated.SectionOnly{
			SectionName: membership.Section,
			FirstFormat: 7,
			Validator:   membership.Validate,
		},
	}
}

func checkRollout(t replicated.Config) []string {
	_, wrong := rollout.ParsePolicy(t.Values)
	return wrong
}

func checkWorkers(t replicated.Config) []string {
	_, wrong := placement.ParsePolicy(t.Values)
	return wrong
}

// StateMachineTypes gives the subjects.
func (r Rules) StateMachineTypes() []replicated.StateMachineType {
	if r.Types != nil {
		return r.Types
	}
	return StateMachineTypes()
}

func (r Rules) subject(section string) replicated.StateMachineType {
	for _, x := range r.StateMachineTypes() {
		if x.Section() == section {
			return x
		}
	}
	return nil
}

// sectionsFrom is the format from which on a section counts only where all know it.
const sectionsFrom = 4

// since is the format from which on a section counts. An instance that knows nothing of one runs the
// document all the same, and keeps to nothing that it says.
//
// Hazard: programs of before looked at this from format 4 on. To refuse what they accept would be to agree
// on something else than they do.
func (r Rules) since(section string) int {
	if x := r.subject(section); x != nil && x.SinceFormat() >= sectionsFrom {
		return x.SinceFormat()
	}
	return 0
}

// HasCommand says whether an entry of the log is a subject's.
func (r Rules) HasCommand(e *schema.Change) bool {
	for _, x := range r.StateMachineTypes() {
		if x.OwnsEntry(e) {
			return true
		}
	}
	return false
}

// statePart is a subject's part of the agreed state.
type statePart struct {
	replicated.StateMachineType
	state replicated.StateMachine
}

func (r Rules) parts(after uint64) []statePart {
	var list []statePart
	for _, x := range r.StateMachineTypes() {
		if s := x.NewStateMachine(after); s != nil {
			list = append(list, statePart{x, s})
		}
	}
	return list
}

func (r Rules) termsOf(d *Document, section string) replicated.Config {
	t := replicated.Config{Values: d.Sections[section], Format: r.format}
	if t.Format == 0 {
		t.Format = LatestFormat
	}
	for _, c := range d.Classes {
		t.Classes = append(t.Classes, replicated.Class{Name: c.Name, Idempotency: c.Idempotency, KeyScope: c.KeyScope,
			Timeout: time.Duration(c.Timeout), KeyWindow: time.Duration(c.KeyWindow)})
	}
	for _, x := range d.Tenants {
		t.Tenants = append(t.Tenants, x.Name)
	}
	return t
}

// StateMachine is a subject's part of the state, or nil. It must not be changed.
func (s *State) StateMachine(section string) replicated.StateMachine {
	for _, p := range s.parts {
		if p.Section() == section {
			return p.state
		}
	}
	return nil
}

// DecodeCommand takes a subject's word out of an entry, if it has one.
func (s *State) DecodeCommand(e *schema.Change) (replicated.Command, bool) {
	for _, p := range s.parts {
		if w, ok := p.state.Decode(e); ok {
			return w, true
		}
	}
	return replicated.Command{}, false
}

// ApplyCommand applies a subject's word that is in the log.
func (s *State) ApplyCommand(w replicated.Command) Outcome {
	o := Outcome{Code: Accepted, Revision: s.CurrentRevision().Number}
	if known, ok := s.ids[w.ID]; ok && w.ID != "" {
		return known
	}
	err := w.Apply(func(seat placement.Session) bool {
		x := s.rollout.Sessions[seat.Member]
		return x.Open && x.Epoch == seat.Epoch
	})
	if err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	}
	if w.RememberOutcome && w.ID != "" && len(w.ID) <= maxName {
		s.remember(w.ID, o)
	}
	return o
}

// weights are the instances', as far as the group knows of any.
func (s *State) weights() *weights.StateMachine {
	w, _ := s.StateMachine(weights.Section).(*weights.StateMachine)
	return w
}

// PlacementView is who may own what by placement now.
func (s *State) PlacementView() placement.View {
	v := placement.View{Members: s.EligibleOwners()}
	changes := uint64(0)
	if w := s.weights(); w != nil {
		changes = w.ChangeCount
	}
	v.Number = placement.ViewNumber(s.rollout.LastEpoch+changes, len(v.Members))
	return v
}

// LeasedTasks is who holds what. It must not be changed.
func (s *State) LeasedTasks() *leasedtask.State {
	return s.StateMachine(leasedtask.Section).(*leasedtask.StateMachine).State
}

// Schedule is which triggers have come how far. It must not be changed.
func (s *State) Schedule() *schedule.State {
	return s.StateMachine(schedule.Section).(*schedule.StateMachine).State
}

// ApplySchedule applies a command of the triggers.
func (s *State) ApplySchedule(c schedule.Command) error { return s.Schedule().Apply(c) }
