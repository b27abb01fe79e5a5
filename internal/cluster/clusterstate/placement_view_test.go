package clusterstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"moorstack/internal/cluster/rollout"
)

// A change of weights makes a new view with a higher number, also after a snapshot; a group that does not
// know weights yet ignores them, whatever its document holds.
func TestWeightChangesMakeNewViews(t *testing.T) {
	weighted := func(n1 string) *Document {
		d := sampleDocument(5)
		d.Sections["placement"] = map[string]string{"weight.n1": n1}
		return d
	}
	s := newState(t, Rules{}, weighted("2"))
	last := s.PlacementView().Number
	for n, w := range []string{"3", "1", "1.5"} {
		applyAndCommit(s, Change{ID: w, BaseRevision: uint64(n + 1), Document: weighted(w)})
		if v := s.PlacementView(); v.Number <= last {
			t.Errorf("with a weight of %s the view %d comes after %d", w, v.Number, last)
		}
		last = s.PlacementView().Number
	}
	s.ApplyRollout(rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: 7})
	if v := s.PlacementView(); len(v.Members) != 1 || v.Members[0].Weight != 1.5 || v.Number <= last {
		t.Fatalf("%+v", v)
	}
	last = s.PlacementView().Number
	r := restoreCopy(t, s)
	if r.PlacementView().Number != last || !bytes.Equal(r.Encode(), s.Encode()) {
		t.Errorf("restored, the view is %+v; it was %d", r.PlacementView(), last)
	}
	old := strings.Replace(string(s.Encode()), fmt.Sprintf(`"format":%d`, LatestFormat), `"format":5`, 1)
	old = old[:strings.Index(old, `,"weights":`)] + "}"
	r, err := Restore(Rules{}, []byte(old))
	if err != nil || r.PlacementView().Members[0].Weight != 0 {
		t.Fatalf("a group of format 5 uses weights: %v", err)
	}
	before := r.PlacementView().Number
	r.UpgradeFormat()
	if v := r.PlacementView(); v.Members[0].Weight != 1.5 || v.Number <= before {
		t.Errorf("once all know weights, the view %d after %d has %+v", v.Number, before, v.Members)
	}
}
