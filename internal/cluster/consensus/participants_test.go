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

// counterType is a replicated state machine that exists only in this test. Each command increments its count,
// up to the length of the value "limit" of its section. Its commands are in a field that the schema does not
// have, like those of a later program.
type counterType struct{ replicated.SectionOnly }

type counter struct{ limit, n int }

type counterParticipant struct{ replicated.NoopParticipant }

func isCounterEntry(e *schema.Change) bool { return len(e.ProtoReflect().GetUnknown()) > 0 }

func (counterType) OwnsEntry(e *schema.Change) bool                { return isCounterEntry(e) }
func (counterType) NewStateMachine(uint64) replicated.StateMachine { return &counter{} }
func (counterParticipant) Status(v replicated.InstanceView) any    { return v.StateMachine.(*counter).n }
func (c *counter) Configure(cfg replicated.Config)                 { c.limit = len(cfg.Values["limit"]) }
func (c *counter) SetOwners([]placement.Member)                    {}
func (c *counter) SessionsExpired(func(placement.Session) bool, string, int64) {
}

func (counterType) NewParticipant(replicated.LocalInfo) replicated.Participant {
	return counterParticipant{}
}

func (c *counter) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: "counter", Value: c.n}}
}

func (c *counter) Restore(read func(string, any) (bool, error)) error {
	_, err := read("counter", &c.n)
	return err
}

func (c *counter) Decode(e *schema.Change) (replicated.Command, bool) {
	apply := func(func(placement.Session) bool) error { c.n++; return nil }
	return replicated.Command{Apply: apply}, isCounterEntry(e)
}

func (counterParticipant) Advance(v replicated.InstanceView) ([]any, []*schema.Change) {
	if c := v.StateMachine.(*counter); c.n >= c.limit || v.Now >= v.OwnershipExpiresAt {
		return nil, nil
	}
	e := &schema.Change{Format: clusterstate.LatestFormat}
	e.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
	return nil, []*schema.Change{e}
}

// counterRules returns the rules of a program that has the counter.
func counterRules() clusterstate.Rules {
	validate := func(cfg replicated.Config) []string {
		if len(cfg.Values["limit"]) > 40 {
			return []string{"limit: must have at most 40 characters"}
		}
		return nil
	}
	return clusterstate.Rules{Types: append(clusterstate.StateMachineTypes(), counterType{
		replicated.SectionOnly{SectionName: "counter", FirstFormat: clusterstate.LatestFormat,
			Validator: validate}})}
}

// A new type of state machine only has to be added to the list of types. Its commands then go through the
// log, and its state survives snapshots and restarts. A program without the type must fail to read that state
// as a whole, rather than continue without a part of it.
func TestNewStateMachineTypeNeedsOnlyALineInTheList(t *testing.T) {
	rules := counterRules()
	documentWithLimit := func(n int) *clusterstate.Document {
		d := document(1)
		d.Sections = map[string]map[string]string{"counter": {"limit": strings.Repeat("x", n)}}
		return d
	}
	s := openWithRules(t, faultfs.New(1), rules)
	if err := s.Bootstrap("g", "127.0.0.1:1", documentWithLimit(41), 0); err == nil {
		t.Error("an invalid section of the counter is accepted")
	}
	if err := s.Bootstrap("g", "127.0.0.1:1", documentWithLimit(30), 0); err != nil {
		t.Fatal(err)
	}
	for incarnation := range 3 {
		s.tick(t, 60)
		n := s.Status().Participants["counter"].(int)
		if c := s.State().StateMachine("counter").(*counter); n != c.n || n < 30 {
			t.Fatalf("incarnation %d: status has %d, state has %d, want at least 30", incarnation, n, c.n)
		}
		if _, err := clusterstate.Restore(clusterstate.Rules{}, s.State().Encode()); err == nil {
			t.Error("a program without the counter restores a state with it")
		}
		s.disk.LosePower()
		s = openWithRules(t, s.disk, rules)
		// The last entries of the log are committed only after the next election.
		if got := s.State().StateMachine("counter").(*counter).n; got > n || got < n-7 {
			t.Fatalf("incarnation %d: count was %d and is %d after recovery", incarnation, n, got)
		}
	}
}
