package agreement

import (
	"bytes"
	"encoding/json"
	"fmt"

	"moorstack/internal/duty"
	"moorstack/internal/rollout"
	"moorstack/internal/schedule"
)

// image is a State as it is written.
type image struct {
	Format  int        `json:"format"`
	Cluster string     `json:"cluster"`
	History []Revision `json:"history"`
	IDs     []idImage  `json:"ids"`
	Members []Member   `json:"members"`
	Removed []uint64   `json:"removed,omitempty"`

	// From format 2 on.
	Sessions []rollout.Session `json:"sessions,omitempty"`
	Epoch    uint64            `json:"epoch,omitempty"`
	Phase    *rollout.Pending  `json:"phase,omitempty"`
	Pending  *Revision         `json:"pending,omitempty"`

	// From format 3 on.
	Duties []*duty.Duty `json:"duties,omitempty"`
	Number uint64       `json:"number,omitempty"`

	// From format 5 on.
	Schedule *schedule.Image `json:"schedule,omitempty"`
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
		Epoch:    s.rollout.Epoch,
		Phase:    s.rollout.Pending,
		Pending:  s.pending,
		Duties:   s.duties.List(),
		Number:   s.duties.Number,
		Schedule: s.schedule.Encoded(),
	}
	for _, id := range s.order {
		im.IDs = append(im.IDs, idImage{id, s.ids[id]})
	}
	b, err := json.Marshal(im)
	if err != nil {
		panic(
			fmt.Sprintf("agreement: the state can't be written: %v", err),
		) // Check has refused all that can't
	}
	return b
}

// Restore reads what Encode wrote.
func Restore(rules Rules, b []byte) (*State, error) {
	var im image
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&im); err != nil {
		return nil, fmt.Errorf("reading an agreed state: %w", err)
	}
	if im.Format < 1 || im.Format > Format {
		return nil, fmt.Errorf("an agreed state of format %d; this program reads 1 to %d", im.Format, Format)
	}
	if (im.Phase == nil) != (im.Pending == nil) || im.Pending != nil && im.Pending.Document == nil {
		return nil, fmt.Errorf("reading an agreed state: half a change is pending")
	}
	if len(im.History) == 0 || len(im.IDs) > MaxIDs {
		return nil, fmt.Errorf("reading an agreed state: %d revisions, %d ids", len(im.History), len(im.IDs))
	}
	s := &State{rules: rules, cluster: im.Cluster, ids: map[string]Outcome{}, members: map[uint64]Member{},
		removed: im.Removed, format: im.Format, pending: im.Pending,
		rollout: &rollout.State{Sessions: map[uint64]rollout.Session{}, Epoch: im.Epoch, Pending: im.Phase},
		duties:  duty.NewState(im.Number), schedule: schedule.NewState()}
	if im.Schedule != nil {
		s.schedule = schedule.Restore(*im.Schedule)
	}
	for _, d := range im.Duties {
		if d == nil || d.Number > im.Number || len(d.Note) > duty.MaxNote {
			return nil, fmt.Errorf("reading an agreed state: a duty that can't be")
		}
		s.duties.Duties[d.Name] = d
	}
	for _, x := range im.Sessions {
		s.rollout.Sessions[x.Member] = x
	}
	last := uint64(0)
	for _, r := range im.History {
		if r.Document == nil || r.Revision <= last {
			return nil, fmt.Errorf("reading an agreed state: revision %d after %d", r.Revision, last)
		}
		last = r.Revision
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
	s.Settled()
	return s, nil
}
