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

// Read reads the section, and gives what is wrong with it.
func Read(values map[string]string) (by map[string]float64, wrong []string) {
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

// Subject has a group agree on weights.
type Subject struct{}

var _ replicated.Subject = Subject{}

// Section implements subject.Subject.
func (Subject) Section() string { return Section }

// Since implements subject.Subject.
func (Subject) Since() int { return 6 }

// Check implements subject.Subject.
func (Subject) Check(t replicated.Terms) []string {
	_, wrong := Read(t.Values)
	return wrong
}

// Has implements subject.Subject: there is nothing to say of weights but the document.
func (Subject) Has(*schema.Change) bool { return false }

// State implements subject.Subject.
func (Subject) State(uint64) replicated.State { return &Agreed{} }

// Part implements subject.Subject.
func (Subject) Part(replicated.Own) replicated.Part { return nil }

// Agreed is the agreed part.
type Agreed struct {
	By      map[string]float64 `json:"by,omitempty"` // by instance's name; who isn't there has 1
	Changes uint64             `json:"changes"`
}

// Configure implements subject.State.
func (a *Agreed) Configure(t replicated.Terms) {
	by, _ := Read(t.Values)
	if !maps.Equal(by, a.By) {
		a.By = by
		a.Changes++
	}
}

// Of is an instance's weight.
func (a *Agreed) Of(name string) float64 {
	if a == nil {
		return 0
	}
	return a.By[name]
}

// Read implements subject.State.
func (a *Agreed) Read(*schema.Change) (replicated.Word, bool) { return replicated.Word{}, false }

// Seated implements subject.State.
func (a *Agreed) Seated([]placement.Member) {}

// Vacated implements subject.State.
func (a *Agreed) Vacated(func(placement.Seat) bool, string, int64) {}

// Image implements subject.State.
func (a *Agreed) Image() []replicated.Field {
	f := replicated.Field{Name: "weights"}
	if a.Changes > 0 {
		f.Value = a
	}
	return []replicated.Field{f}
}

// Restore implements subject.State.
func (a *Agreed) Restore(read func(string, any) (bool, error)) error {
	_, err := read("weights", a)
	for _, w := range a.By {
		if !(w >= least && w <= most) {
			err = errors.Join(err, fmt.Errorf("a weight of %v", w))
		}
	}
	return err
}
