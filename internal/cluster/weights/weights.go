// Package weights replicates the weights of the instances of a group. They determine how much of everything
// that is owned by placement (accounts' rates and triggers) each instance owns, relative to the others. A
// larger machine may own more, and one that must be spared may own less.
//
// A change of the weights changes the placement view, as a change of the open sessions does: owners transfer
// what they own by the same rules. So the state counts the changes, and the view's number includes that
// count.
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

// Section is the name of the section of the group's document that sets weights.
const Section = "placement"

const (
	keyPrefix     = "weight." // of the section's keys, before the instance's name
	snapshotField = "weights"
	firstFormat   = 6 // first format of the group's log that supports weights
)

// The bounds of a weight, and the weight of an instance without a key.
const (
	minWeight     = 0.1
	maxWeight     = 10
	defaultWeight = 1
)

// Parse decodes the section into weights by instance name, without those of 1. It returns one problem for
// each invalid key or value. The problems are part of the replicated state, so their texts must not change.
func Parse(values map[string]string) (byInstance map[string]float64, problems []string) {
	byInstance = map[string]float64{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		name, ok := strings.CutPrefix(key, keyPrefix)
		if !ok || name == "" {
			problems = append(problems,
				fmt.Sprintf("%q is no key of this section; \"weight.INSTANCE\" is", key))
			continue
		}
		w, err := strconv.ParseFloat(values[key], 64)
		if err != nil || !validWeight(w) {
			problems = append(problems,
				fmt.Sprintf("%s: %q is not a number from %v to %v; who has no line has 1",
					key, values[key], minWeight, maxWeight))
			continue
		}
		if w != defaultWeight {
			byInstance[name] = w
		}
	}
	return byInstance, problems
}

// validWeight reports whether a weight is within the bounds; NaN is not.
func validWeight(w float64) bool { return w >= minWeight && w <= maxWeight }

// Type is the type of the state machine of weights. It has no commands: only the document sets weights.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements replicated.StateMachineType.
func (Type) Section() string { return Section }

// SinceFormat implements replicated.StateMachineType.
func (Type) SinceFormat() int { return firstFormat }

// Validate implements replicated.StateMachineType.
func (Type) Validate(c replicated.Config) []string {
	_, problems := Parse(c.Values)
	return problems
}

// OwnsEntry implements replicated.StateMachineType.
func (Type) OwnsEntry(*schema.Change) bool { return false }

// NewStateMachine implements replicated.StateMachineType.
func (Type) NewStateMachine(uint64) replicated.StateMachine { return &StateMachine{} }

// NewParticipant implements replicated.StateMachineType: weights need none.
func (Type) NewParticipant(replicated.LocalInfo) replicated.Participant { return nil }

// StateMachine holds the weights in force.
type StateMachine struct {
	ByInstance  map[string]float64 `json:"by,omitempty"` // by name; an instance that is missing has 1
	ChangeCount uint64             `json:"changes"`
}

var _ replicated.StateMachine = (*StateMachine)(nil)

// Configure implements replicated.StateMachine.
func (s *StateMachine) Configure(c replicated.Config) {
	byInstance, _ := Parse(c.Values)
	if !maps.Equal(byInstance, s.ByInstance) {
		s.ByInstance = byInstance
		s.ChangeCount++
	}
}

// Weight returns an instance's weight; 0 means the default. A nil StateMachine has only defaults.
func (s *StateMachine) Weight(name string) float64 {
	if s == nil {
		return 0
	}
	return s.ByInstance[name]
}

// Decode implements replicated.StateMachine.
func (s *StateMachine) Decode(*schema.Change) (replicated.Command, bool) {
	return replicated.Command{}, false
}

// SetOwners implements replicated.StateMachine.
func (s *StateMachine) SetOwners([]placement.Member) {}

// SessionsExpired implements replicated.StateMachine.
func (s *StateMachine) SessionsExpired(func(placement.Session) bool, string, int64) {}

// Snapshot implements replicated.StateMachine.
func (s *StateMachine) Snapshot() []replicated.SnapshotField {
	f := replicated.SnapshotField{Name: snapshotField}
	if s.ChangeCount > 0 {
		f.Value = s
	}
	return []replicated.SnapshotField{f}
}

// Restore implements replicated.StateMachine.
func (s *StateMachine) Restore(read func(field string, into any) (bool, error)) error {
	_, err := read(snapshotField, s)
	for _, w := range s.ByInstance {
		if !validWeight(w) {
			err = errors.Join(err, fmt.Errorf("the snapshot has a weight of %v, must be between 0.1 and 10",
				w))
		}
	}
	return err
}
