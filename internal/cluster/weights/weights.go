// Package weights has a group agree on how much of what is owned by placement each instance owns beside the
// others: accounts' rates and triggers. A larger machine may have more of them, one that is to be spared
// less.
//
// A change of the weights is a change of the view, as one of the open sessions is: owners hand on by the same
// rules. So the state counts the changes, and the view's number goes by that count too.
package weights

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// Section is the section of the agreed document that names weights, and prefix begins its keys.
const (
	Section = "placement"
	prefix  = "weight."
)

// The least and the most that a weight may be, beside the 1 of who has none.
const (
	least = 0.1
	most  = 10
)

// Parse reads the section, and gives what is wrong with it.
func Parse(values map[string]string) (by map[string]float64, wrong []string) {
	by = map[string]float64{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		name, ok := strings.CutPrefix(key, prefix)
		if !ok || name == "" {
			wrong = append(wrong, fmt.Sprintf("%q is no key of this section; \"weight.INSTANCE\" is", key))
			continue
		}
		w, err := strconv.ParseFloat(values[key], 64)
		if err != nil || !(w >= least && w <= most) {
			wrong = append(wrong, fmt.Sprintf("%s: %q is not a number from %v to %v; who has no line has 1",
				key, values[key], least, most))
			continue
		}
		if w != 1 {
			by[name] = w
		}
	}
	return by, wrong
}

// Type has a group agree on weights.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements subject.Subject.
func (Type) Section() string { return Section }

// SinceFormat implements subject.Subject.
func (Type) SinceFormat() int { return 6 }

// Validate implements subject.Subject.
func (Type) Validate(t replicated.Config) []string {
	_, wrong := Parse(t.Values)
	return wrong
}

// OwnsEntry implements subject.Subject: there is nothing to say of weights but the document.
func (Type) OwnsEntry(*schema.Change) bool { return false }

// NewStateMachine implements subject.Subject.
func (Type) NewStateMachine(uint64) replicated.StateMachine { return &StateMachine{} }

// NewParticipant implements subject.Subject.
func (Type) NewParticipant(replicated.LocalInfo) replicated.Participant { return nil }

// StateMachine is the agreed part.
type StateMachine struct {
	ByInstance  map[string]float64 `json:"by,omitempty"` // by instance's name; who isn't there has 1
	ChangeCount uint64             `json:"changes"`
}

// Configure implements subject.State.
func (a *StateMachine) Configure(t replicated.Config) {
	by, _ := Parse(t.Values)
	if !maps.Equal(by, a.ByInstance) {
		a.ByInstance = by
		a.ChangeCount++
	}
}

// Weight is an instance's weight.
func (a *StateMachine) Weight(name string) float64 {
	if a == nil {
		return 0
	}
	return a.ByInstance[name]
}

// Decode implements subject.State.
func (a *StateMachine) Decode(*schema.Change) (replicated.Command, bool) {
	return replicated.Command{}, false
}

// SetOwners implements subject.State.
func (a *StateMachine) SetOwners([]placement.Member) {}

// SessionsExpired implements subject.State.
func (a *StateMachine) SessionsExpired(func(placement.Session) bool, string, int64) {}

// Snapshot implements subject.State.
func (a *StateMachine) Snapshot() []replicated.SnapshotField {
	f := replicated.SnapshotField{Name: "weights"}
	if a.ChangeCount > 0 {
		f.Value = a
	}
	return []replicated.SnapshotField{f}
}

// Restore implements subject.State.
func (a *StateMachine) Restore(read func(string, any) (bool, error)) error {
	_, err := read("weights", a)
	for _, w := range a.ByInstance {
		if !(w >= least && w <= most) {
			err = errors.Join(err, fmt.Errorf("a weight of %v", w))
		}
	}
	return err
}
