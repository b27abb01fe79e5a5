package clusterstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"moorstack/internal/cluster/rollout"
)

// snapshot is the encoded form of a State. The fields of the state machines are appended after these.
type snapshot struct {
	Format    int            `json:"format"`
	ClusterID string         `json:"cluster"`
	Revisions []Revision     `json:"history"`
	Outcomes  []savedOutcome `json:"ids"`
	Members   []Member       `json:"members"`
	Removed   []uint64       `json:"removed,omitempty"`

	// Since formatRollout.
	Sessions  []rollout.Session      `json:"sessions,omitempty"`
	LastEpoch uint64                 `json:"epoch,omitempty"`
	Rollout   *rollout.PendingChange `json:"phase,omitempty"`
	Pending   *Revision              `json:"pending,omitempty"`
}

// savedOutcome is an outcome with the ID of its change or command.
type savedOutcome struct {
	ID string `json:"id"`
	Outcome
}

// Encode returns the canonical encoding of the state: equal states have equal encodings.
func (s *State) Encode() []byte {
	saved := snapshot{
		Format:    s.format,
		ClusterID: s.clusterID,
		Revisions: s.revisions.list,
		Members:   s.Members(),
		Removed:   s.removed,
		Sessions:  s.rollout.List(),
		LastEpoch: s.rollout.LastEpoch,
		Rollout:   s.rollout.Pending,
		Pending:   s.pending,
	}
	for _, id := range s.outcomes.ids {
		saved.Outcomes = append(saved.Outcomes, savedOutcome{id, s.outcomes.byID[id]})
	}
	b := encode(saved)
	for _, m := range s.stateMachines {
		for _, f := range m.state.Snapshot() {
			switch value := encode(f.Value); string(value) {
			case "null", "0", "[]", "{}", `""`:
			default:
				b = append(b[:len(b)-1], ',')
				b = append(append(append(b, encode(f.Name)...), ':'), value...)
				b = append(b, '}')
			}
		}
	}
	return b
}

// encode encodes a value of the state. Numbers that JSON can't represent have been rejected before.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("clusterstate: the state can't be encoded: %v", err))
	}
	return b
}

// decode decodes a snapshot into s, and returns the fields of the state machines undecoded.
func (s *snapshot) decode(stateMachines []stateMachine, b []byte) (map[string]json.RawMessage, error) {
	fields, machineFields := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, err
	}
	for _, m := range stateMachines {
		for _, f := range m.state.Snapshot() {
			if text, ok := fields[f.Name]; ok {
				machineFields[f.Name] = text
				delete(fields, f.Name)
			}
		}
	}
	return machineFields, decodeStrictly(encode(fields), s)
}

// validate checks the properties of a snapshot that other code relies on.
func (s *snapshot) validate() error {
	switch {
	case s.Format < 1 || s.Format > LatestFormat:
		return fmt.Errorf("the replicated state has format %d, this program supports formats 1 to %d",
			s.Format, LatestFormat)
	case (s.Rollout == nil) != (s.Pending == nil) || s.Pending != nil && s.Pending.Document == nil:
		return errors.New("decoding the replicated state: the pending change is incomplete")
	case len(s.Revisions) == 0 || len(s.Outcomes) > maxOutcomes:
		return fmt.Errorf("decoding the replicated state: invalid number of revisions (%d) or outcomes (%d)",
			len(s.Revisions), len(s.Outcomes))
	}
	last := uint64(0)
	for _, r := range s.Revisions {
		if r.Document == nil || r.Number <= last {
			return fmt.Errorf("decoding the replicated state: revision %d follows %d or has no document",
				r.Number, last)
		}
		last = r.Number
	}
	return nil
}

// Restore returns the state that Encode encoded.
func Restore(rules Rules, b []byte) (*State, error) {
	var saved snapshot
	stateMachines := rules.newStateMachines(0)
	machineFields, err := saved.decode(stateMachines, b)
	if err != nil {
		return nil, fmt.Errorf("decoding the replicated state: %w", err)
	}
	if err := saved.validate(); err != nil {
		return nil, err
	}
	if err := restoreStateMachines(stateMachines, machineFields); err != nil {
		return nil, err
	}
	s := &State{
		rules:     rules,
		clusterID: saved.ClusterID,
		format:    saved.Format,
		pending:   saved.Pending,
		outcomes:  newOutcomeLog(),
		members:   map[uint64]Member{},
		removed:   saved.Removed,
		rollout: &rollout.State{Sessions: map[uint64]rollout.Session{}, LastEpoch: saved.LastEpoch,
			Pending: saved.Rollout},
		stateMachines: stateMachines,
	}
	for _, session := range saved.Sessions {
		s.rollout.Sessions[session.Member] = session
	}
	for _, r := range saved.Revisions {
		s.addRevision(r)
	}
	s.configureStateMachines()
	for _, o := range saved.Outcomes {
		s.outcomes.add(o.ID, o.Outcome)
	}
	for _, m := range saved.Members {
		s.members[m.ID] = m
	}
	// The first entry after a snapshot must be applied with the same owners as on instances that did not
	// restore one.
	s.UpdateOwners()
	return s, nil
}

func restoreStateMachines(stateMachines []stateMachine, fields map[string]json.RawMessage) error {
	read := func(field string, into any) (bool, error) {
		text, ok := fields[field]
		if !ok {
			return false, nil
		}
		return true, decodeStrictly(text, into)
	}
	for _, m := range stateMachines {
		if err := m.state.Restore(read); err != nil {
			return fmt.Errorf("decoding the replicated state: section %s: %w", m.Section(), err)
		}
	}
	return nil
}
