package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestChangesAreAppliedOnceAndInOrder(t *testing.T) {
	s := newState(t, Rules{}, sampleDocument(5))
	for _, c := range []struct {
		name     string
		change   Change
		code     OutcomeCode
		revision uint64
	}{
		{"a change", proposal("a", 1, 6), Accepted, 2},
		{"the same change again", proposal("a", 1, 6), Accepted, 2},
		{"a change of an old revision", proposal("b", 1, 7), Conflict, 2},
		{"a change without a difference", proposal("c", 2, 6), Unchanged, 2},
	} {
		if o := applyAndCommit(s, c.change); o.Code != c.code || o.Revision != c.revision {
			t.Errorf("%s: %+v", c.name, o)
		}
	}
	if got := s.CurrentRevision(); got.Number != 2 || got.Document.Classes[0].PriorityWeight != 6 {
		t.Errorf("the revision in force is %+v, want 2 with weight 6", got)
	}
	if _, ok := s.RevisionByNumber(1); !ok {
		t.Error("revision 1 is no longer available")
	}
}

// A change whose outcome has been forgotten must not be applied again. It is rejected, because its base
// revision is no longer current.
func TestOutcomesAndRevisionsAreBounded(t *testing.T) {
	s := newState(t, Rules{}, sampleDocument(5))
	for n := range maxOutcomes + 10 {
		o := applyAndCommit(s, proposal(fmt.Sprint(n), uint64(n+1), float64(n+10)))
		if o.Code != Accepted {
			t.Fatalf("%d: %+v", n, o)
		}
	}
	if _, known := s.OutcomeOf("0"); known || len(s.outcomes.byID) != maxOutcomes ||
		len(s.outcomes.ids) != maxOutcomes || len(s.revisions.list) != maxRevisions {
		t.Errorf("%d outcomes and %d revisions are kept", len(s.outcomes.byID), len(s.revisions.list))
	}
	if o := applyAndCommit(s, proposal("0", 1, 10)); o.Code != Conflict {
		t.Errorf("a forgotten change has the outcome %+v, want a conflict", o)
	}
	large := proposal("large", s.CurrentRevision().Number, 1)
	large.Document.Sections["levels"]["b"] = strings.Repeat("x", MaxDocumentBytes)
	if o := s.CheckChange(large); o.Code != TooLarge {
		t.Errorf("a document over the size limit has the outcome %+v", o)
	}
	// The total size of the revisions is limited, too.
	for n := range 40 {
		c := proposal(fmt.Sprint("large", n), s.CurrentRevision().Number, float64(n))
		c.Document.Sections["levels"]["b"] = strings.Repeat("x", 200<<10)
		applyAndCommit(s, c)
	}
	if s.revisions.bytes > maxRevisionBytes || len(s.revisions.list) < 15 {
		t.Errorf("%d bytes in %d revisions are kept, want at least 15 revisions within the limit",
			s.revisions.bytes, len(s.revisions.list))
	}
}

func TestDiffListsEachDifference(t *testing.T) {
	before, after := sampleDocument(5), sampleDocument(6)
	after.Tenants[0].CapacityShare = 0.4
	after.Sections["levels"] = map[string]string{"b": "2"}
	want := []string{`class "trip-quote": worth 5 -> 6`, `tenant "muscat": share 0.47 -> 0.4`,
		`section "levels": a removed`, `section "levels": b added: 2`}
	if got := Diff(before, after); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
}
