package clusterstate

import (
	"testing"
	"time"

	"moorstack/internal/cluster/rollout"
)

// sampleDocument returns a document with two classes, two tenants and a section that is not validated. The
// argument is the priority weight of the first class.
func sampleDocument(weight float64) *Document {
	return &Document{
		Classes: []Class{
			{Name: "trip-quote", Idempotency: "retryable", Timeout: Duration(5 * time.Second),
				LatencyObjective: Duration(time.Second), PriorityWeight: weight},
			{Name: "dialysis-book", Idempotency: "dedup", KeyScope: "cell",
				KeyWindow: Duration(25 * time.Second), Timeout: Duration(15 * time.Second),
				LatencyObjective: Duration(time.Second), PriorityWeight: 15},
		},
		Tenants: []Tenant{{Name: "muscat", CapacityShare: 0.47},
			{Name: "batinah", CapacityShare: 0.27, QuotaPerSecond: 9}},
		Sections: map[string]map[string]string{"levels": {"a": "1"}},
	}
}

// newState returns the state of a group with one member.
func newState(t *testing.T, rules Rules, d *Document) *State {
	t.Helper()
	s, err := New(rules, "g", d, 0, Member{ID: 1, Name: "n1", Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// restoreCopy returns a copy of a state that is restored from its snapshot.
func restoreCopy(t *testing.T, s *State) *State {
	t.Helper()
	restored, err := Restore(Rules{}, s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// applyAndCommit applies a change and commits it. The group has no open sessions, so no instance has to
// confirm.
func applyAndCommit(s *State, c Change) Outcome {
	o, ok := s.ApplyChange(c)
	if ok {
		return o
	}
	s.ApplyRollout(rollout.Command{Kind: rollout.CloseAdmission, Change: c.ID, Attempt: 1})
	s.ApplyRollout(rollout.Command{Kind: rollout.Commit, Change: c.ID, Attempt: 1})
	o, _ = s.OutcomeOf(c.ID)
	return o
}

// proposal returns a change to the sample document with the given weight.
func proposal(id string, base uint64, weight float64) Change {
	return Change{ID: id, BaseRevision: base, Document: sampleDocument(weight)}
}
