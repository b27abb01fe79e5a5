package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"

	"moorstack/internal/cluster/rollout"
)

// image is a State as it is written, without the subjects' fields, which follow it.
type image struct {
	Format  int        `json:"format"`
	Cluster string     `json:"cluster"`
	History []Revision `json:"history"`
	IDs     []idImage  `json:"ids"`
	Members []Member   `json:"members"`
	Removed []uint64   `json:"removed,omitempty"`

	// From format 2 on.
	Sessions []rollout.Session      `json:"sessions,omitempty"`
	Epoch    uint64                 `json:"epoch,omitempty"`
	Phase    *rollout.PendingChange `json:"phase,omitempty"`
	Pending  *Revision              `json:"pending,omitempty"`
}

type idImage struct {
	ID string `json:"id"`
	Outcome
}

// Encode writes the state: equal states have equal bytes.
func (s *State) Encode() []byte {
	im := image{
		Format:   s.format,
		Cluster:  s.cluster,
		History:  s.history,
		Members:  s.Members(),
		Removed:  s.removed,
		Sessions: s.rollout.List(),
		Epoch:    s.rollout.LastEpoch,
		Phase:    s.rollout.Pending,
		Pending:  s.pending,
	}
	for _, id := range s.order {
		im.IDs = append(im.IDs, idImage{id, s.ids[id]})
	}
	b := written(im)
	for _, p := range s.parts {
		for _, f := range p.state.Snapshot() {
			switch value := written(f.Value); string(value) {
			case "null", "0", "[]", "{}", `""`:
			default:
				b = append(b[:len(b)-1], ',')
				b = append(append(append(b, written(f.Name)...), ':'), value...)
				b = append(b, '}')
			}
		}
	}
	return b
}

func written(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Check has refused all that can't.
		panic(fmt.Sprintf("agreement: the state can't be written: %v", err))
	}
	return b
}

// apart takes the subjects' fields out of an image, and reads the rest.
func (im *image) apart(parts []statePart, b []byte) (map[string]json.RawMessage, error) {
	all, own := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, err
	}
	for _, p := range parts {
		for _, f := range p.state.Snapshot() {
			if text, ok := all[f.Name]; ok {
				own[f.Name] = text
				delete(all, f.Name)
			}
		}
	}
	return own, strictly(written(all), im)
}

// strictly reads a value. Hazard: to pass over a field that this program does not know would be to go on
// from another state than the others.
func strictly(b []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// Restore reads what Encode wrote.
func Restore(rules Rules, b []byte) (*State, error) {
	var im image
	parts := rules.parts(0)
	fields, err := im.apart(parts, b)
	if err != nil {
		return nil, fmt.Errorf("reading an agreed state: %w", err)
	}
	if im.Format < 1 || im.Format > LatestFormat {
		return nil, fmt.Errorf(
			"an agreed state of format %d; this program reads 1 to %d",
			im.Format,
			LatestFormat,
		)
	}
	if (im.Phase == nil) != (im.Pending == nil) || im.Pending != nil && im.Pending.Document == nil {
		return nil, fmt.Errorf("reading an agreed state: half a change is pending")
	}
	if len(im.History) == 0 || len(im.IDs) > MaxOutcomes {
		return nil, fmt.Errorf("reading an agreed state: %d revisions, %d ids", len(im.History), len(im.IDs))
	}
	s := &State{rules: rules, cluster: im.Cluster, ids: map[string]Outcome{}, members: map[uint64]Member{},
		removed: im.Removed, format: im.Format, pending: im.Pending,
		rollout: &rollout.State{
			Sessions:  map[uint64]rollout.Session{},
			LastEpoch: im.Epoch,
			Pending:   im.Phase,
		},
		parts: parts}
	read := func(field string, into any) (bool, error) {
		text, ok := fields[field]
		if !ok {
			return false, nil
		}
		return true, strictly(text, into)
	}
	for _, p := range parts {
		if err := p.state.Restore(read); err != nil {
			return nil, fmt.Errorf("reading an agreed state: %s: %w", p.Section(), err)
		}
	}
	for _, x := range im.Sessions {
		s.rollout.Sessions[x.Member] = x
	}
	last := uint64(0)
	for _, r := range im.History {
		if r.Document == nil || r.Number <= last {
			return nil, fmt.Errorf("reading an agreed state: revision %d after %d", r.Number, last)
		}
		last = r.Number
		s.push(r)
	}
	s.plan()
	for _, id := range im.IDs {
		s.remember(id.ID, id.Outcome)
	}
	for _, m := range im.Members {
		s.members[m.ID] = m
	}
	// Hazard: the first entry after a snapshot must find the same owners as where there was none.
	s.UpdateOwners()
	return s, nil
}
