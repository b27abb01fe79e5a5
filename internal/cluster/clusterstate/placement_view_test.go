package clusterstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"moorstack/internal/cluster/rollout"
)

// A change of the weights must create a placement view with a higher number, also after a snapshot is
// restored. A group whose format does not support weights must ignore the weights in its document.
func TestWeightChangesMakeNewViews(t *testing.T) {
	documentWithWeight := func(n1 string) *Document {
		d := sampleDocument(5)
		d.Sections["placement"] = map[string]string{"weight.n1": n1}
		return d
	}
	s := newState(t, Rules{}, documentWithWeight("2"))
	last := s.PlacementView().Number
	for n, w := range []string{"3", "1", "1.5"} {
		applyAndCommit(s, Change{ID: w, BaseRevision: uint64(n + 1), Document: documentWithWeight(w)})
		if v := s.PlacementView(); v.Number <= last {
			t.Errorf("with a weight of %s the view has number %d, want more than %d", w, v.Number, last)
		}
		last = s.PlacementView().Number
	}
	s.ApplyRollout(rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: 7})
	if v := s.PlacementView(); len(v.Members) != 1 || v.Members[0].Weight != 1.5 || v.Number <= last {
		t.Fatalf("%+v", v)
	}
	last = s.PlacementView().Number
	restored := restoreCopy(t, s)
	if restored.PlacementView().Number != last || !bytes.Equal(restored.Encode(), s.Encode()) {
		t.Errorf("the restored view is %+v, want number %d", restored.PlacementView(), last)
	}
	old := strings.Replace(string(s.Encode()), fmt.Sprintf(`"format":%d`, LatestFormat), `"format":5`, 1)
	old = old[:strings.Index(old, `,"weights":`)] + "}"
	restored, err := Restore(Rules{}, []byte(old))
	if err != nil || restored.PlacementView().Members[0].Weight != 0 {
		t.Fatalf("a group of format 5 uses weights, or is not restored: %v", err)
	}
	before := restored.PlacementView().Number
	restored.UpgradeFormat()
	if v := restored.PlacementView(); v.Members[0].Weight != 1.5 || v.Number <= before {
		t.Errorf("after the upgrade, the view %d, which follows %d, has %+v", v.Number, before, v.Members)
	}
}
