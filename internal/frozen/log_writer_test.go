package frozen

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/schema"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// logWriter builds the records of a store: an identity, the first snapshot of a group with format 1, and
// entries of every kind.
type logWriter struct {
	t       *testing.T
	names   []string
	entries []*raftpb.Entry
}

// prefix returns a log with the n oldest entries.
func (l *logWriter) prefix(n int) *logWriter {
	return &logWriter{l.t, l.names[:n], l.entries[:n]}
}

func (l *logWriter) entry(name string, kind raftpb.EntryType, data []byte) {
	l.names = append(l.names, name)
	l.entries = append(l.entries, &raftpb.Entry{Term: proto.Uint64(term),
		Index: proto.Uint64(uint64(len(l.entries) + 2)), Type: kind.Enum(), Data: data})
}

func (l *logWriter) change(name string, c *schema.Change) {
	l.t.Helper()
	l.entry(name, raftpb.EntryNormal, marshal(l.t, c))
}

func (l *logWriter) command(name string, c *schema.Command) {
	l.t.Helper()
	l.change("command "+name, &schema.Change{Format: 2, Command: c})
}

func (l *logWriter) task(c leasedtask.Command) {
	l.t.Helper()
	l.change(fmt.Sprintf("duty %d %s", c.Kind, c.Task), leasedtask.EncodeCommand(c))
}

func (l *logWriter) schedule(name string, c schedule.Command) {
	l.t.Helper()
	l.change("schedule "+name, schedule.EncodeCommand(c))
}

func (l *logWriter) members(name string, kind raftpb.ConfChangeType, m *schema.MembersChange) {
	l.t.Helper()
	node := append(m.Drop, 0)[0]
	if len(m.Put) > 0 {
		node = m.Put[0].Id
	}
	l.entry("members "+name, raftpb.EntryConfChangeV2, marshal(l.t, &raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(node)}},
		Context: marshal(l.t, m)}))
}

// write writes the records to a store in the order in which an instance does, and closes it.
func (l *logWriter) write(t *testing.T) *faultfs.FS {
	t.Helper()
	fs := faultfs.New(1)
	log, err := store.Open(storeDir, store.Options{FS: fs}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	put := func(kind uint8, m proto.Message) {
		if _, err := log.Append(store.Record{Kind: kind, Data: marshal(t, m)}); err != nil {
			t.Fatal(err)
		}
	}
	put(recordSnapshot, &raftpb.Snapshot{Data: []byte(initialState), Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{77}}}})
	put(recordIdentity, &schema.Identity{Id: 77, Name: "n1", Cluster: "g"})
	for _, e := range l.entries {
		put(recordEntry, e)
	}
	put(recordHardState, &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(77),
		Commit: proto.Uint64(uint64(len(l.entries) + 1))})
	if err := errors.Join(log.Sync(), log.Close()); err != nil {
		t.Fatal(err)
	}
	return fs
}

// state returns the replicated state after the last entry of the log.
func (l *logWriter) state(t *testing.T) *clusterstate.State {
	t.Helper()
	i, log := openStore(t, l.write(t))
	defer log.Close()
	if st := i.Status(); st.Halted != nil || i.Applied() != uint64(len(l.entries)+1) {
		t.Fatalf("%d of %d entries are applied, halted: %v", i.Applied(), len(l.entries)+1, st.Halted)
	}
	return i.State()
}

const initialState = `{"format":1,"cluster":"g","history":[{"revision":1,"id":"first","at_ms":0,"document":` +
	baseDocument + `}],"ids":null,"members":[{"id":77,"name":"n1","address":"127.0.0.1:7001"}]}`

const baseDocument = `{"class":[{"name":"quote","effect":"retryable","give_up":"5s","aim":"1s","worth":5},` +
	`{"name":"book","effect":"dedup","key_scope":"cell","window":"25s","give_up":"15s","aim":"1s",` +
	`"aim_stretch":1.5,"worth":15,"late_share":0.25,"attempts":3}],` +
	`"tenant":[{"name":"muscat","share":0.47},{"name":"batinah","share":0.27,"allowance_per_s":9}]}`

// document returns the initial document with the given sections.
func document(sections string) []byte {
	return []byte(strings.TrimSuffix(baseDocument, "}") + `,"section":` + sections + "}")
}

const allSections = `{"duties":{"backup_every":"1h","backup_keep":"3","drill":"1","list":"on","roll":"on"},` +
	`"levels":{"of-nobody":"kept as it is"},"membership":{"probe":"1s"},` +
	`"placement":{"weight.n1":"2","weight.n2":"0.5"},"ratelimit":{"account":"X-Account","tick":"200ms"},` +
	`"rollout":{"lease":"2s","stage_within":"30s"},` +
	`"schedule":{"trigger.a":"* * * * * class=quote","trigger.b":"0 3 * * * class=book tenant=muscat ` +
	`late=1h missed=last body=x y","trigger.c":"*/5 * * * * class=quote spread=10s","zone":"UTC"},` +
	`"workers":{"cold_parts":"group","subset":"20","witnesses":"on"}}`

// newLog returns a log with every kind of entry and most of the ways in which entries are accepted or
// ignored.
func newLog(t *testing.T) *logWriter {
	t.Helper()
	l := &logWriter{t: t}
	l.groupEntries()
	l.rolloutEntries()
	l.leaseEntries()
	l.operatorEntries()
	l.scheduleEntries()
	l.endEntries()
	return l
}

func (l *logWriter) groupEntries() {
	l.change(
		"change of format 1",
		&schema.Change{Id: "c1", Base: 1, Author: "ada", Note: "a note", AtMs: 1000,
			Format: 1, Document: document(`{"levels":{"a":"1"}}`)},
	)
	l.change("change on an old base", &schema.Change{Id: "c2", Base: 1, Format: 1,
		Document: []byte(baseDocument)})
	l.members("add n2", raftpb.ConfChangeAddLearnerNode, &schema.MembersChange{Change: "m1",
		Put: []*schema.Member{{Id: 78, Name: "n2", Address: "127.0.0.1:7002"}}})
	l.members("add n3", raftpb.ConfChangeAddLearnerNode, &schema.MembersChange{Change: "m2",
		Put: []*schema.Member{{Id: 79, Name: "n3", Address: "127.0.0.1:7003"}}})
	l.change("enter the newest format", &schema.Change{Format: 2, Enter: true})
}

func (l *logWriter) rolloutEntries() {
	for n, member := range []uint64{77, 78, 79} {
		l.command("open", &schema.Command{Kind: 1, Term: term, Member: member, Name: fmt.Sprint("n", n+1),
			Nonce: 0xfedcba9876543210 + member, AtMs: 2000})
	}
	l.command(
		"open, in another leader's term",
		&schema.Command{Kind: 1, Term: term - 1, Member: 77, Nonce: 9},
	)
	l.change(
		"change with all sections",
		&schema.Change{Id: "c3", Base: 2, Author: "ada", AtMs: 3000, Format: 7,
			Document: document(allSections)},
	)
	l.change("change while one is pending", &schema.Change{Id: "c4", Base: 2, Format: 7,
		Document: []byte(baseDocument)})
	seats := l.seats()
	l.command(
		"hold, without one of the sessions",
		&schema.Command{Kind: 3, Term: term, Change: "c3", Attempt: 1,
			Seats: seats[1:]},
	)
	l.command("hold", &schema.Command{Kind: 3, Term: term, Change: "c3", Attempt: 1, Seats: seats})
	l.command("reopen", &schema.Command{Kind: 5, Term: term, Change: "c3", Attempt: 1, Reason: "late"})
	l.command("hold", &schema.Command{Kind: 3, Term: term, Change: "c3", Attempt: 2, Seats: seats})
	l.command("decide", &schema.Command{Kind: 4, Term: term, Change: "c3", Attempt: 2, Seats: seats,
		AtMs: 4000})
	l.change("change", &schema.Change{Id: "c5", Base: 3, Format: 7, Document: document(`{"duties":{}}`)})
	l.command("withdraw", &schema.Command{Kind: 6, Id: "op1", Change: "c5", Reason: "withdrawn by ada"})
	l.change("change that is not valid", &schema.Change{Id: "c6", Base: 3, Format: 7,
		Document: document(`{"duties":{"list":"perhaps"}}`)})
	l.command("withdraw, with nothing pending", &schema.Command{Kind: 6, Id: "op8", Change: "c5"})
	l.change(
		"change of nothing",
		&schema.Change{Id: "c7", Base: 3, Format: 7, Document: document(allSections)},
	)
}

// seats returns the open sessions as they are encoded in the log.
func (l *logWriter) seats() (list []*schema.Seat) {
	for _, s := range l.state(l.t).Rollout().OpenSessions() {
		list = append(list, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	return list
}

// memberSession returns the session of a member.
func (l *logWriter) memberSession(member uint64) placement.Session {
	s := l.state(l.t).Rollout().Sessions[member]
	return placement.Session{Member: member, Epoch: s.Epoch}
}
