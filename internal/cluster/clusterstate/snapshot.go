package clusterstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"moorstack/internal/cluster/rollout"
)

// snapshot is a State as it is written, without the fields of the state machines, which follow it.
type snapshot struct {
	Format    int            `json:"format"`
	ClusterID string         `json:"cluster"`
	Revisions []Revision     `json:"history"`
	Outcomes  []savedOutcome `json:"ids"`
	Members   []Member       `json:"members"`
	Removed   []uint64       `json:"removed,omitempty"`

	// From formatRollout on.
	Sessions  []rollout.Session      `json:"sessions,omitempty"`
	LastEpoch uint64                 `json:"epoch,omitempty"`
	Rollout   *rollout.PendingChange `json:"phase,omitempty"`
	Pending   *Revision              `json:"pending,omitempty"`
}

// savedOutcome is an outcome with its change's or command's id.
type savedOutcome struct {
	ID string `json:"id"`
	Outcome
}

// Encode returns the state in bytes: equal states have equal bytes.
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
	for _, m := range s.machines {
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

// encode encodes a value of the state, which has been checked for what JSON can't express.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("clusterstate: the state can't be encoded: %v", err))
	}
	return b
}

// decode reads a snapshot and returns the fields of the state machines apart.
func (s *snapshot) decode(machines []machine, b []byte) (map[string]json.RawMessage, error) {
	all, machineFields := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, err
	}
	for _, m := range machines {
		for _, f := range m.state.Snapshot() {
			if text, ok := all[f.Name]; ok {
				machineFields[f.Name] = text
				delete(all, f.Name)
			}
		}
	}
	return machineFields, decodeStrictly(encode(all), s)
}

// validate checks what the rest of the program relies on.
func (s *snapshot) validate() error {
	switch {
	case s.Format < 1 || s.Format > LatestFormat:
		return fmt.Errorf("an agreed state of format %d; this program reads 1 to %d", s.Format, LatestFormat)
	case (s.Rollout == nil) != (s.Pending == nil) || s.Pending != nil && s.Pending.Document == nil:
		return errors.New("reading an agreed state: half a change is pending")
	case len(s.Revisions) == 0 || len(s.Outcomes) > maxOutcomes:
		return fmt.Errorf("reading an agreed state: %d revisions, %d ids", len(s.Revisions), len(s.Outcomes))
	}
	last := uint64(0)
	for _, r := range s.Revisions {
		if r.Document == nil || r.Number <= last {
			return fmt.Errorf("reading an agreed state: revision %d after %d", r.Number, last)
		}
		last = r.Number
	}
	return nil
}

// Restore reads what Encode wrote.
func Restore(rules Rules, b []byte) (*State, error) {
	var saved snapshot
	machines := rules.newMachines(0)
	machineFields, err := saved.decode(machines, b)
	if err != nil {
		return nil, fmt.Errorf("reading an agreed state: %w", err)
	}
	if err := saved.validate(); err != nil {
		return nil, err
	}
	if err := restoreMachines(machines, machineFields); err != nil {
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
		machines: machines,
	}
	for _, session := range saved.Sessions {
		s.rollout.Sessions[session.Member] = session
	}
	for _, r := range saved.Revisions {
		s.addRevision(r)
	}
	s.configureMachines()
	for _, o := range saved.Outcomes {
		s.outcomes.add(o.ID, o.Outcome)
	}
	for _, m := range saved.Members {
		s.members[m.ID] = m
	}
	// Hazard: the first entry after a snapshot must find the same owners as where there was none.
	s.UpdateOwners()
	return s, nil
}

func restoreMachines(machines []machine, fields map[string]json.RawMessage) error {
	read := func(field string, into any) (bool, error) {
		text, ok := fields[field]
		if !ok {
			return false, nil
		}
		return true, decodeStrictly(text, into)
	}
	for _, m := range machines {
		if err := m.state.Restore(read); err != nil {
			return fmt.Errorf("reading an agreed state: %s: %w", m.Section(), err)
		}
	}
	return nil
}
