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

// Subjects are what a group agrees on beside the document's classes and tenants, in the order in which
// they stand in a state's image. A new one is a package and a line here.
func Subjects() []replicated.Subject {
	return []replicated.Subject{
		replicated.Words{Name: rollout.Section, From: 2, Rule: checkRollout},
		leasedtask.Subject{},
		schedule.Subject{},
		weights.Subject{},
		replicated.Words{Name: ratelimit.Section, From: 4, Rule: ratelimit.Check},
		replicated.Words{Name: placement.Section, From: 5, Rule: checkWorkers},
		replicated.Words{Name: membership.Section, From: 7, Rule: membership.Check},
	}
}

func checkRollout(t replicated.Terms) []string {
	_, wrong := rollout.ReadPolicy(t.Values)
	return wrong
}

func checkWorkers(t replicated.Terms) []string {
	_, wrong := placement.ReadPolicy(t.Values)
	return wrong
}

// All gives the subjects.
func (r Rules) All() []replicated.Subject {
	if r.Subjects != nil {
		return r.Subjects
	}
	return Subjects()
}

func (r Rules) subject(section string) replicated.Subject {
	for _, x := range r.All() {
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
	if x := r.subject(section); x != nil && x.Since() >= sectionsFrom {
		return x.Since()
	}
	return 0
}

// Spoken says whether an entry of the log is a subject's.
func (r Rules) Spoken(e *schema.Change) bool {
	for _, x := range r.All() {
		if x.Has(e) {
			return true
		}
	}
	return false
}

// statePart is a subject's part of the agreed state.
type statePart struct {
	replicated.Subject
	state replicated.State
}

func (r Rules) parts(after uint64) []statePart {
	var list []statePart
	for _, x := range r.All() {
		if s := x.State(after); s != nil {
			list = append(list, statePart{x, s})
		}
	}
	return list
}

func (r Rules) termsOf(d *Document, section string) replicated.Terms {
	t := replicated.Terms{Values: d.Sections[section], Format: r.format}
	if t.Format == 0 {
		t.Format = Format
	}
	for _, c := range d.Classes {
		t.Classes = append(t.Classes, replicated.Class{Name: c.Name, Effect: c.Effect, KeyScope: c.KeyScope,
			GiveUp: time.Duration(c.GiveUp), Window: time.Duration(c.Window)})
	}
	for _, x := range d.Tenants {
		t.Tenants = append(t.Tenants, x.Name)
	}
	return t
}

// Part is a subject's part of the state, or nil. It must not be changed.
func (s *State) Part(section string) replicated.State {
	for _, p := range s.parts {
		if p.Section() == section {
			return p.state
		}
	}
	return nil
}

// Read takes a subject's word out of an entry, if it has one.
func (s *State) Read(e *schema.Change) (replicated.Word, bool) {
	for _, p := range s.parts {
		if w, ok := p.state.Read(e); ok {
			return w, true
		}
	}
	return replicated.Word{}, false
}

// Say applies a subject's word that is in the log.
func (s *State) Say(w replicated.Word) Outcome {
	o := Outcome{Code: Accepted, Revision: s.Newest().Revision}
	if known, ok := s.ids[w.ID]; ok && w.ID != "" {
		return known
	}
	err := w.Apply(func(seat placement.Seat) bool {
		x := s.rollout.Sessions[seat.Member]
		return x.Open && x.Epoch == seat.Epoch
	})
	if err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	}
	if w.Kept && w.ID != "" && len(w.ID) <= maxName {
		s.remember(w.ID, o)
	}
	return o
}

// weights are the instances', as far as the group knows of any.
func (s *State) weights() *weights.Agreed {
	w, _ := s.Part(weights.Section).(*weights.Agreed)
	return w
}

// View is who may own what by placement now.
func (s *State) View() placement.View {
	v := placement.View{Members: s.Seated()}
	changes := uint64(0)
	if w := s.weights(); w != nil {
		changes = w.Changes
	}
	v.Number = placement.NumberOf(s.rollout.Epoch+changes, len(v.Members))
	return v
}

// Duties is who holds what. It must not be changed.
func (s *State) Duties() *leasedtask.State {
	return s.Part(leasedtask.Section).(*leasedtask.Agreed).State
}

// Schedule is which triggers have come how far. It must not be changed.
func (s *State) Schedule() *schedule.State { return s.Part(schedule.Section).(*schedule.Agreed).State }

// Scheduled applies a command of the triggers.
func (s *State) Scheduled(c schedule.Command) error { return s.Schedule().Apply(c) }
