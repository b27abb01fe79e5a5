package clusterstate

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/rollout"
)

func sample(worth float64) *Document {
	return &Document{
		Classes: []Class{
			{
				Name:             "trip-quote",
				Idempotency:      "retryable",
				Timeout:          Duration(5 * time.Second),
				LatencyObjective: Duration(time.Second),
				PriorityWeight:   worth,
			},
			{
				Name:        "dialysis-book",
				Idempotency: "dedup",
				KeyScope:    "cell",
				KeyWindow:   Duration(25 * time.Second),
				Timeout: Duration(
					15 * time.Second,
				),
				LatencyObjective: Duration(time.Second),
				PriorityWeight:   15,
			},
		},
		Tenants:  []Tenant{{Name: "muscat", CapacityShare: 0.47}, {Name: "batinah", CapacityShare: 0.27, QuotaPerSecond: 9}},
		Sections: map[string]map[string]string{"levels": {"a": "1"}},
	}
}

func state(t *testing.T) *State {
	t.Helper()
	s, err := New(Rules{}, "g", sample(5), 0, Member{1, "n1", "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestChangesAreAppliedOnceAndInOrder(t *testing.T) {
	s := state(t)
	if o := force(s, Change{ID: "a", BaseRevision: 1, Document: sample(6)}); o.Code != Accepted ||
		o.Revision != 2 {
		t.Fatalf("%+v", o)
	}
	if o := force(s, Change{ID: "a", BaseRevision: 1, Document: sample(6)}); o.Code != Accepted ||
		o.Revision != 2 {
		t.Errorf("the same change again: %+v", o)
	}
	if o := force(s, Change{ID: "b", BaseRevision: 1, Document: sample(7)}); o.Code != Conflict ||
		o.Revision != 2 {
		t.Errorf("a stale change: %+v", o)
	}
	if o := force(s, Change{ID: "c", BaseRevision: 2, Document: sample(6)}); o.Code != Unchanged {
		t.Errorf("no change: %+v", o)
	}
	if got := s.CurrentRevision(); got.Number != 2 || got.Document.Classes[0].PriorityWeight != 6 {
		t.Errorf("in force is %+v", got)
	}
	if _, ok := s.RevisionByNumber(1); !ok {
		t.Error("revision 1 is not kept")
	}
}

// A change that was forgotten is still not applied twice: its base is past.
func TestBounds(t *testing.T) {
	s := state(t)
	for n := range MaxOutcomes + 10 {
		o := force(
			s,
			Change{ID: fmt.Sprint(n), BaseRevision: uint64(n + 1), Document: sample(float64(n + 10))},
		)
		if o.Code != Accepted {
			t.Fatalf("%d: %+v", n, o)
		}
	}
	if _, known := s.OutcomeOf("0"); known || len(s.ids) != MaxOutcomes || len(s.order) != MaxOutcomes ||
		len(s.history) != MaxRevisions {
		t.Errorf("%d ids, %d revisions are remembered", len(s.ids), len(s.history))
	}
	if o := force(s, Change{ID: "0", BaseRevision: 1, Document: sample(10)}); o.Code != Conflict {
		t.Errorf("a forgotten change: %+v", o)
	}
	big := sample(1)
	big.Sections["levels"]["b"] = strings.Repeat("x", MaxDocumentBytes)
	if o := s.CheckChange(Change{ID: "big", BaseRevision: s.CurrentRevision().Number,
		Document: big}); o.Code != TooLarge {
		t.Errorf("a document over the bound: %+v", o)
	}
	// The history is bounded in bytes, too.
	for n := range 40 {
		d := sample(float64(n))
		d.Sections["levels"]["b"] = strings.Repeat("x", 200<<10)
		force(s, Change{ID: fmt.Sprint("large", n), BaseRevision: s.CurrentRevision().Number, Document: d})
	}
	if s.bytes > maxHistoryBytes || len(s.history) < 15 {
		t.Errorf("the history has %d bytes in %d revisions", s.bytes, len(s.history))
	}
}

func TestSnapshotIsTheState(t *testing.T) {
	s := state(t)
	force(
		s,
		Change{
			ID:           "a",
			BaseRevision: 1,
			Document:     sample(6),
			Author:       "x",
			Note:         "n",
			ProposedAt:   time.UnixMilli(17),
		},
	)
	force(s, Change{ID: "b", BaseRevision: 1, Document: sample(7)})
	s.ApplyMembership([]Member{{2, "n2", "127.0.0.1:2"}}, []uint64{1})
	r, err := Restore(Rules{}, s.Encode())
	if err != nil || !bytes.Equal(r.Encode(), s.Encode()) || !r.WasRemoved(1) {
		t.Fatalf("%v", err)
	}
	a, b := force(r,
		Change{ID: "c", BaseRevision: 2, Document: sample(8)},
	), force(s,
		Change{ID: "c", BaseRevision: 2, Document: sample(8)},
	)
	if a.Revision != 3 || b.Revision != 3 || !bytes.Equal(r.Encode(), s.Encode()) {
		t.Errorf("they go on differently: %+v, %+v", a, b)
	}
	for _, bad := range []string{"", "{}", fmt.Sprintf(`{"format":%d}`, LatestFormat+1),
		`{"format":1,"history":[{"revision":1}]}`,
		strings.Replace(string(s.Encode()), `,"cluster":`, `,"new":1,"cluster":`, 1)} {
		if _, err := Restore(Rules{}, []byte(bad)); err == nil {
			t.Errorf("restored from %q", bad)
		}
	}
}

func TestWhatIsRefused(t *testing.T) {
	for want, spoil := range map[string]func(*Document){
		"at least one":     func(d *Document) { d.Classes = nil },
		"two of this name": func(d *Document) { d.Classes[1].Name = "trip-quote" },
		"it is empty":      func(d *Document) { d.Classes[0].Name = "" },
		"can't be added": func(d *Document) {
			d.Classes = append(d.Classes, Class{Name: "x", Idempotency: "fragile", Timeout: 1e9})
		},
		"can't be removed":     func(d *Document) { d.Classes = d.Classes[:1] },
		"is not retryable":     func(d *Document) { d.Classes[0].Idempotency = "maybe" },
		"effect, key_scope":    func(d *Document) { d.Classes[1].KeyWindow = Duration(time.Minute) },
		"belong to the effect": func(d *Document) { d.Classes[0].KeyWindow = 1 },
		"give_up: 0s":          func(d *Document) { d.Classes[0].Timeout = 0 },
		"aim: 6s": func(d *Document) {
			d.Classes[0].LatencyObjective = Duration(6 * time.Second)
		},
		"late_share: 2":           func(d *Document) { d.Classes[0].LateShare = 2 },
		"attempts: -1":            func(d *Document) { d.Classes[0].MaxAttempts = -1 },
		"add up to 1.07":          func(d *Document) { d.Tenants[0].CapacityShare = 0.8 },
		"a tenant can't be added": func(d *Document) { d.Tenants = append(d.Tenants, Tenant{Name: "new"}) },
		"number that is none":     func(d *Document) { d.Classes[0].PriorityWeight = math.NaN() },
		"not plain text":          func(d *Document) { d.Sections["a b"] = nil },
		"levels says no":          func(d *Document) { d.Sections["levels"]["a"] = "no" },
	} {
		rules := Rules{Sections: map[string]SectionValidator{}}
		rules.Sections["levels"] = func(_ *Document, v map[string]string) []string {
			if v["a"] == "no" {
				return []string{"levels says no"}
			}
			return nil
		}
		s, err := New(rules, "g", sample(5), 0, Member{1, "n1", ""})
		if err != nil {
			t.Fatal(err)
		}
		d := sample(9)
		spoil(d)
		o := force(s, Change{ID: "x", BaseRevision: 1, Document: d})
		if o.Code != Invalid || !strings.Contains(strings.Join(o.Problems, "\n"), want) {
			t.Errorf("want %q: %v %v", want, o.Code, o.Problems)
		}
		if s.CurrentRevision().Number != 1 {
			t.Errorf("%q: it is in force", want)
		}
	}
}

func TestDocumentAndSettings(t *testing.T) {
	set := balancer.Settings{
		Classes: []balancer.Class{
			{Name: "dialysis-book", Timeout: time.Minute, Idempotency: balancer.IdempotentByKey,
				KeyScope: balancer.ScopeCell, KeyWindow: 25 * time.Second, PriorityWeight: 1, WorkerKind: 2},
			{Name: "trip-quote", Timeout: time.Minute},
		},
		Tenants: []balancer.Tenant{{Name: "batinah"}, {Name: "muscat"}},
	}
	got, err := sample(5).ApplyTo(set)
	if err != nil {
		t.Fatal(err)
	}
	if c := got.Classes[0]; c.PriorityWeight != 15 || c.WorkerKind != 2 || c.Timeout != 15*time.Second {
		t.Errorf("the class is %+v", c)
	}
	if got.Tenants[0].QuotaPerSecond != 9 || set.Classes[0].PriorityWeight != 1 {
		t.Error("a tenant is wrong, or the settings given have changed")
	}
	again, err := DocumentFromSettings(got).ApplyTo(got)
	if err != nil || !slices.Equal(again.Classes, got.Classes) {
		t.Errorf("there and back: %v", err)
	}
	set.Classes[0].KeyScope = balancer.ScopeAll
	if _, err := sample(5).ApplyTo(set); err == nil {
		t.Error("settings that say otherwise what may run again are taken")
	}
}

func TestDifferences(t *testing.T) {
	a, b := sample(5), sample(6)
	b.Tenants[0].CapacityShare = 0.4
	b.Sections["levels"] = map[string]string{"b": "2"}
	want := []string{`class "trip-quote": worth 5 -> 6`, `tenant "muscat": share 0.47 -> 0.4`,
		`section "levels": a removed`, `section "levels": b added: 2`}
	if got := Diff(a, b); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
}

// force applies a change and has it take hold, as a group without sessions does at once.
func force(s *State, c Change) Outcome {
	o, ok := s.ApplyChange(c)
	if ok {
		return o
	}
	s.ApplyRollout(rollout.Command{Kind: rollout.CloseAdmission, Change: c.ID, Attempt: 1})
	s.ApplyRollout(rollout.Command{Kind: rollout.Commit, Change: c.ID, Attempt: 1})
	o, _ = s.OutcomeOf(c.ID)
	return o
}
