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
type tally struct{ replicated.SectionOnly }

type tallied struct{ till, n int }

type tallier struct{ replicated.NoopParticipant }

func more(e *schema.Change) bool {
	return len(e.ProtoReflect().GetUnknown()) > 0
}

func (tally) OwnsEntry(e *schema.Change) bool                            { return more(e) }
func (tally) NewStateMachine(uint64) replicated.StateMachine             { return &tallied{} }
func (tally) NewParticipant(replicated.LocalInfo) replicated.Participant { return tallier{} }

func (s *tallied) Configure(
	t replicated.Config,
) {
	s.till = len(t.Values["till"])
}
func (s *tallied) SetOwners([]placement.Member) {}

func (tallier) Status(
	v replicated.InstanceView,
) any {
	return v.StateMachine.(*tallied).n
}
func (s *tallied) SessionsExpired(func(placement.Session) bool, string, int64) {}

func (s *tallied) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: "tally", Value: s.n}}
}

func (s *tallied) Restore(read func(string, any) (bool, error)) error {
	_, err := read("tally", &s.n)
	return err
}

func (s *tallied) Decode(e *schema.Change) (replicated.Command, bool) {
	return replicated.Command{Apply: func(func(placement.Session) bool) error { s.n++; return nil }}, more(e)
}

func (tallier) Advance(v replicated.InstanceView) ([]any, []*schema.Change) {
	if s := v.StateMachine.(*tallied); s.n >= s.till || v.Now >= v.OwnershipExpiresAt {
		return nil, nil
	}
	e := &schema.Change{Format: clusterstate.LatestFormat}
	e.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
	return nil, []*schema.Change{e}
}

// A new subject is a package and a line in the list: its words go through the log and its state through
// snapshots and restarts, and a program that does not know it takes no part rather than a part of it.
func TestANewSubjectIsALineInTheList(t *testing.T) {
	rules := clusterstate.Rules{
		Types: append(clusterstate.StateMachineTypes(), tally{replicated.SectionOnly{SectionName: "tally",
			FirstFormat: clusterstate.LatestFormat, Validator: func(v replicated.Config) []string {
				if len(v.Values["till"]) > 40 {
					return []string{"till: it is too long"}
				}
				return nil
			}}}),
	}
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
		n := a.Status().Participants["tally"].(int)
		if was := a.State().StateMachine("tally").(*tallied); n != was.n || n < 30 {
			t.Fatalf("life %d: it has counted to %d, its state says %d", life, n, was.n)
		}
		image := a.State().Encode()
		if _, err := clusterstate.Restore(clusterstate.Rules{}, image); err == nil {
			t.Error("a program that does not know it reads its state")
		}
		a.fs.LosePower()
		a = openBy(t, a.fs, rules)
		if got := a.State().StateMachine("tally").(*tallied).n; got > n || got < n-7 {
			t.Fatalf("life %d: %d are left of %d", life, got, n) // the log's end is agreed on anew
		}
	}
}
