package consensus

import (
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

func encoded(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRecordsThatMakeNoSenseAreErrors(t *testing.T) {
	entry := func(index uint64) store.Record {
		return store.Record{Kind: recEntry, Data: encoded(t, &pb.Entry{Index: &index, Term: proto.Uint64(1)})}
	}
	for name, c := range map[string]struct {
		records []store.Record
		want    string // part of the error of the last record; empty: no error
	}{
		"entries in order":  {[]store.Record{entry(1), entry(2)}, ""},
		"an entry twice":    {[]store.Record{entry(1), entry(1)}, ""},
		"a missing entry":   {[]store.Record{entry(2)}, "log entry index is 2, expected 1 to 1"},
		"an unknown kind":   {[]store.Record{{Kind: 99}}, "unknown kind 99"},
		"a broken identity": {[]store.Record{{Kind: recIdentity, Data: []byte{0xff}}}, "proto"},
		"a broken entry":    {[]store.Record{{Kind: recEntry, Data: []byte{0xff}}}, "proto"},
		"a broken snapshot": {[]store.Record{{Kind: recSnapshot, Data: []byte{0xff}}}, "proto"},
	} {
		s := NewRecoveredState()
		var err error
		for _, r := range c.records {
			err = s.ReplayRecord(r)
		}
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
}

func TestInstanceIsNotMadeFromWhatIsNotIts(t *testing.T) {
	cfg := Config{Logger: discardLogger(), Seed: 1}
	recovered := func(id *schema.Identity, hard *pb.HardState) *RecoveredState {
		s := NewRecoveredState()
		s.identity, s.hard = id, hard
		return s
	}
	member := &schema.Identity{Id: 7, Name: "n1", Cluster: "g"}
	for name, c := range map[string]struct {
		state  *RecoveredState
		number uint64
		want   string
	}{
		"number 0": {NewRecoveredState(), 0, "invalid instance number 0"},
		"another name": {recovered(&schema.Identity{Id: 7, Name: "n2"}, nil), 8,
			`data directory belongs to instance "n2"`},
		"commit index beyond the log": {recovered(member, &pb.HardState{Commit: proto.Uint64(5)}), 8,
			"commit index is 5"},
	} {
		_, err := New(cfg, c.state, c.number, "n1")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
}
