package consensus

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
	"moorstack/internal/storage/faultfs"
)

// tally is a subject that nothing in the program knows: it counts, one a word, up to the length of what
// its section says. Its words stand in a field that the schema does not have, as a later program's would.
type tally struct{ replicated.Words }

type tallied struct{ till, n int }

type tallier struct{ replicated.Idle }

func more(e *schema.Change) bool {
	return len(e.ProtoReflect().GetUnknown()) > 0
}

func (tally) Has(e *schema.Change) bool                             { return more(e) }
func (tally) State(uint64) replicated.State                         { return &tallied{} }
func (tally) Part(replicated.Own) replicated.Part                   { return tallier{} }
func (s *tallied) Configure(t replicated.Terms)                     { s.till = len(t.Values["till"]) }
func (s *tallied) Seated([]placement.Member)                        {}
func (tallier) Status(v replicated.View) any                        { return v.State.(*tallied).n }
func (s *tallied) Vacated(func(placement.Seat) bool, string, int64) {}

func (s *tallied) Image() []replicated.Field {
	return []replicated.Field{{Name: "tally", Value: s.n}}
}

func (s *tallied) Restore(read func(string, any) (bool, error)) error {
	_, err := read("tally", &s.n)
	return err
}

func (s *tallied) Read(e *schema.Change) (replicated.Word, bool) {
	return replicated.Word{Apply: func(func(placement.Seat) bool) error { s.n++; return nil }}, more(e)
}

func (tallier) Act(v replicated.View) ([]any, []*schema.Change) {
	if s := v.State.(*tallied); s.n >= s.till || v.Now >= v.Until {
		return nil, nil
	}
	e := &schema.Change{Format: clusterstate.Format}
	e.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
	return nil, []*schema.Change{e}
}

// A new subject is a package and a line in the list: its words go through the log and its state through
// snapshots and restarts, and a program that does not know it takes no part rather than a part of it.
func TestANewSubjectIsALineInTheList(t *testing.T) {
	rules := clusterstate.Rules{Subjects: append(clusterstate.Subjects(), tally{replicated.Words{Name: "tally",
		From: clusterstate.Format, Rule: func(v replicated.Terms) []string {
			if len(v.Values["till"]) > 40 {
				return []string{"till: it is too long"}
			}
			return nil
		}}})}
	till := func(n int) *clusterstate.Document {
		d := document(1)
		d.Sections = map[string]map[string]string{"tally": {"till": strings.Repeat("x", n)}}
		return d
	}
	a := openBy(t, faultfs.New(1), rules)
	if err := a.Bootstrap("g", "127.0.0.1:1", till(41), 0); err == nil {
		t.Error("its section is not looked at")
	}
	if err := a.Bootstrap("g", "127.0.0.1:1", till(30), 0); err != nil {
		t.Fatal(err)
	}
	for life := range 3 {
		for range 60 {
			a.Tick()
			a.drive(t)
		}
		n := a.Status().Subjects["tally"].(int)
		if was := a.State().Part("tally").(*tallied); n != was.n || n < 30 {
			t.Fatalf("life %d: it has counted to %d, its state says %d", life, n, was.n)
		}
		image := a.State().Encode()
		if _, err := clusterstate.Restore(clusterstate.Rules{}, image); err == nil {
			t.Error("a program that does not know it reads its state")
		}
		a.fs.Crash()
		a = openBy(t, a.fs, rules)
		if got := a.State().Part("tally").(*tallied).n; got > n || got < n-7 {
			t.Fatalf("life %d: %d are left of %d", life, got, n) // the log's end is agreed on anew
		}
	}
}
