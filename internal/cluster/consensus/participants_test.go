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

// counterType is a replicated state machine that nothing in the program knows: it counts, one a command, up
// to the length of its section's value "till". Its commands stand in a field that the schema does not have,
// as a later program's would.
type counterType struct{ replicated.SectionOnly }

type counter struct{ till, n int }

type counterParticipant struct{ replicated.NoopParticipant }

func isCounterEntry(e *schema.Change) bool { return len(e.ProtoReflect().GetUnknown()) > 0 }

func (counterType) OwnsEntry(e *schema.Change) bool                { return isCounterEntry(e) }
func (counterType) NewStateMachine(uint64) replicated.StateMachine { return &counter{} }
func (counterParticipant) Status(v replicated.InstanceView) any    { return v.StateMachine.(*counter).n }
func (c *counter) Configure(cfg replicated.Config)                 { c.till = len(cfg.Values["till"]) }
func (c *counter) SetOwners([]placement.Member)                    {}
func (c *counter) SessionsExpired(func(placement.Session) bool, string, int64) {
}

func (counterType) NewParticipant(replicated.LocalInfo) replicated.Participant {
	return counterParticipant{}
}

func (c *counter) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: "tally", Value: c.n}}
}

func (c *counter) Restore(read func(string, any) (bool, error)) error {
	_, err := read("tally", &c.n)
	return err
}

func (c *counter) Decode(e *schema.Change) (replicated.Command, bool) {
	apply := func(func(placement.Session) bool) error { c.n++; return nil }
	return replicated.Command{Apply: apply}, isCounterEntry(e)
}

func (counterParticipant) Advance(v replicated.InstanceView) ([]any, []*schema.Change) {
	if c := v.StateMachine.(*counter); c.n >= c.till || v.Now >= v.OwnershipExpiresAt {
		return nil, nil
	}
	e := &schema.Change{Format: clusterstate.LatestFormat}
	e.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
	return nil, []*schema.Change{e}
}

// counterRules are the rules of a program that knows the counter.
func counterRules() clusterstate.Rules {
	validate := func(cfg replicated.Config) []string {
		if len(cfg.Values["till"]) > 40 {
			return []string{"till: it is too long"}
		}
		return nil
	}
	return clusterstate.Rules{Types: append(clusterstate.StateMachineTypes(), counterType{
		replicated.SectionOnly{SectionName: "tally", FirstFormat: clusterstate.LatestFormat,
			Validator: validate}})}
}

// A new state machine is a package and a line in the list: its commands go through the log and its state
// through snapshots and restarts, and a program that does not know it takes no part rather than a part of it.
func TestNewStateMachineTypeNeedsOnlyALineInTheList(t *testing.T) {
	rules := counterRules()
	countTill := func(n int) *clusterstate.Document {
		d := document(1)
		d.Sections = map[string]map[string]string{"tally": {"till": strings.Repeat("x", n)}}
		return d
	}
	s := openWithRules(t, faultfs.New(1), rules)
	if err := s.Bootstrap("g", "127.0.0.1:1", countTill(41), 0); err == nil {
		t.Error("its section is not validated")
	}
	if err := s.Bootstrap("g", "127.0.0.1:1", countTill(30), 0); err != nil {
		t.Fatal(err)
	}
	for incarnation := range 3 {
		s.tick(t, 60)
		n := s.Status().Participants["tally"].(int)
		if c := s.State().StateMachine("tally").(*counter); n != c.n || n < 30 {
			t.Fatalf("incarnation %d: it has counted to %d, its state to %d", incarnation, n, c.n)
		}
		if _, err := clusterstate.Restore(clusterstate.Rules{}, s.State().Encode()); err == nil {
			t.Error("a program that does not know it reads its state")
		}
		s.disk.LosePower()
		s = openWithRules(t, s.disk, rules)
		// The end of the log is committed only once it is elected again.
		if got := s.State().StateMachine("tally").(*counter).n; got > n || got < n-7 {
			t.Fatalf("incarnation %d: of %d it has %d", incarnation, n, got)
		}
	}
}
