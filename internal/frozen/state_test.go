package frozen

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"path"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/schema"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// The kinds of a store's records, as they stand on disk.
const (
	recordIdentity  = 1
	recordHardState = 2
	recordEntry     = 3
	recordSnapshot  = 4
)

// storeDir is where the store is, on a disk in memory.
const storeDir = "/d"

// term is that of all entries: what a leader has decided counts in its own term only.
const term = 3

// A log with each kind of entry is written as it was, byte for byte.
func TestLogIsWrittenAsBefore(t *testing.T) {
	golden(t, "log.txt", filesText(newLog(t).write(t)))
}

// The log of before is read, and each entry changes of the agreed state what it did.
func TestLogOfBeforeIsReadEntryByEntry(t *testing.T) {
	l := newLog(t)
	var out strings.Builder
	before := map[string]json.RawMessage{}
	for n := range len(l.entries) + 1 {
		if n == 0 {
			fmt.Fprintln(&out, "snapshot")
		} else {
			fmt.Fprintf(&out, "entry %d: %s\n", n, l.names[n-1])
		}
		after := map[string]json.RawMessage{}
		if err := json.Unmarshal(l.first(n).state(t).Encode(), &after); err != nil {
			t.Fatal(err)
		}
		for _, field := range slices.Sorted(maps.Keys(after)) {
			if !bytes.Equal(before[field], after[field]) {
				fmt.Fprintf(&out, "\t%s %s\n", field, after[field])
			}
		}
		for _, field := range slices.Sorted(maps.Keys(before)) {
			if after[field] == nil {
				fmt.Fprintf(&out, "\t%s is empty\n", field)
			}
		}
		before = after
	}
	golden(t, "entries.txt", out.String())
}

// The store that an earlier program wrote is opened, has the state that it had, and is made a snapshot of
// as it was.
func TestStoreOfBeforeIsOpened(t *testing.T) {
	if *update {
		golden(t, "log.txt", filesText(newLog(t).write(t)))
	}
	fs := filesOf(t, "log.txt")
	i, log := openStore(t, fs)
	golden(t, "state.json", indented(t, i.State().Encode()))
	i.Compact()
	drive(t, i, log)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	golden(t, "snapshot.txt", filesText(fs))
}

// The snapshot that an earlier program wrote gives the same state, and the same instance.
func TestSnapshotOfBeforeIsOpened(t *testing.T) {
	i, log := openStore(t, filesOf(t, "snapshot.txt"))
	defer log.Close()
	golden(t, "state.json", indented(t, i.State().Encode()))
	st := i.Status()
	if st.ID != 77 || st.Name != "n1" || st.Cluster != "g" || st.Halted != nil || i.Applied() == 0 {
		t.Errorf("the instance is %+v, %d entries", st, i.Applied())
	}
	again, err := clusterstate.Restore(clusterstate.Rules{}, i.State().Encode())
	if err != nil || !bytes.Equal(again.Encode(), i.State().Encode()) {
		t.Errorf("the state is not what it is after it was written and read: %v", err)
	}
}

// What is wrong with a document is agreed on too, word for word: it is what became of the change, at every
// instance the same.
func TestProblemsAreNamedAsBefore(t *testing.T) {
	s := newLog(t).state(t)
	s.ApplyRollout(withdrawal)
	var out strings.Builder
	classes := func(edit string) string {
		return `{"class":[{"name":"quote","effect":"retryable","give_up":"5s",` +
			`"aim":"1s","worth":5` + edit + `},` +
			`{"name":"book","effect":"dedup","key_scope":"cell","window":"25s","give_up":"15s","aim":"1s",` +
			`"worth":15}],"tenant":[{"name":"muscat","share":0.47},{"name":"batinah","share":0.27}]`
	}
	section := func(name, values string) string {
		return classes("") + `,"section":{"` + name + `":` + values + "}}"
	}
	for _, text := range []string{
		`{"class":[]}`,
		classes(`,"effect":"maybe","give_up":"0s","aim":"-1s","aim_stretch":-1,`+
			`"late_share":2,"attempts":-1`) + "}",
		classes(`,"key_scope":"all","window":"1s","give_up":"25h","aim":"26h","attempts":101`) + "}",
		strings.ReplaceAll(classes(`,"key_scope":"room"`), "book", "quote") + "}",
		strings.ReplaceAll(classes(""), "book", "a b") + "}",
		strings.ReplaceAll(classes(""), "book", "") + "}",
		strings.ReplaceAll(classes(""), "0.47", "0.9") + "}",
		strings.ReplaceAll(classes(""), "25s", "26s") + "}",
		strings.ReplaceAll(classes(""), "batinah", "sohar") + "}",
		strings.ReplaceAll(classes(""), "0.27", "-1") + "}",
		section("a b", `{"k":"v"}`),
		section("levels", `{"a\u0001":"v"}`),
		section("duties", `{"list":"yes","roll":"1","backup_every":"x","backup_keep":"0",`+
			`"drill":"-1","other":""}`),
		section("rollout", `{"cut_off":"x","lease":"1","stage_within":"1ms","hold_within":"x","other":""}`),
		section("rollout", `{"lease":"10s","stage_within":"1s"}`),
		section("membership", `{"probe":"1","other":""}`),
		section("placement", `{"weight.n1":"0","weight.":"1","weight.n2":"x","other":""}`),
		section("workers", `{"subset":"1","cold_parts":"x","witnesses":"x","other":""}`),
		section("ratelimit", `{"account":"a b","tick":"1","term":"x","parts":"0",`+
			`"default":"x","account.a":"1",`+
			`"class.a@b":"rate=1","other":""}`),
		section("schedule", `{"zone":"","zones":"1","bound":"1","trigger.":"x","trigger.a":"* * * * *",`+
			`"trigger.b":"* * * * * zone=UTC","trigger.c":"* * * * x zone=UTC class=quote","other":"",`+
			`"trigger.d":"* * * * * class=none","trigger.e":"* * * * * tenant=none",`+
			`"trigger.f":"* * * * * path=x","trigger.g":"* * * * * late=0s","trigger.h":"* * * * * leap=x",`+
			`"trigger.i":"* * * * * gap=x","trigger.j":"* * * * * other=x"}`),
	} {
		document, err := clusterstate.DecodeDocument([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		o, err := json.MarshalIndent(
			s.CheckChange(clusterstate.Change{ID: "new", BaseRevision: s.CurrentRevision().Number,
				Document: document}),
			"",
			"\t",
		)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n%s\n", text, o)
	}
	golden(t, "problems.txt", out.String())
}

var withdrawal = rollout.Command{Kind: rollout.Withdraw, Change: "c8"}

// A flipped bit is an error that names the file and the byte. The last record of the log is a seal that was
// not synced, and no loss.
func TestFlippedByteIsNamed(t *testing.T) {
	for _, name := range []string{"log.txt", "snapshot.txt"} {
		good := filesOf(t, name)
		for _, file := range good.Paths() {
			size := len(good.Content(file))
			if strings.HasSuffix(file, ".log") {
				if size -= 20; name == "snapshot.txt" {
					continue // there is nothing in it but its head, which was made anew
				}
			}
			for at := 0; at < size; at += 3 {
				fs := filesOf(t, name)
				fs.Content(file)[at] ^= 1 << (at % 8)
				_, err := store.Open(storeDir, store.Options{FS: fs}, func([]byte) error { return nil }, nil)
				var bad *store.CorruptError
				if !errors.As(err, &bad) || bad.File != file || bad.Offset > int64(at) ||
					!strings.Contains(err.Error(), path.Base(file)) {
					t.Fatalf("%s with byte %d flipped: %v", file, at, err)
				}
			}
		}
	}
}

// logWriter makes a store's records: an identity, the snapshot that a group of format 1 began with, and
// entries of each kind.
type logWriter struct {
	t       *testing.T
	names   []string
	entries []*raftpb.Entry
}

// first is the log up to an entry.
func (l *logWriter) first(n int) *logWriter {
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

func (l *logWriter) duty(c leasedtask.Command) {
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

// write writes the records as an instance does, and closes the store.
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
	put(recordSnapshot, &raftpb.Snapshot{Data: []byte(firstState), Metadata: &raftpb.SnapshotMetadata{
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

// state is the agreed state after the log's last entry.
func (l *logWriter) state(t *testing.T) *clusterstate.State {
	t.Helper()
	i, log := openStore(t, l.write(t))
	defer log.Close()
	if st := i.Status(); st.Halted != nil || i.Applied() != uint64(len(l.entries)+1) {
		t.Fatalf("%d of %d entries are applied: %v", i.Applied(), len(l.entries)+1, st.Halted)
	}
	return i.State()
}

func openStore(t *testing.T, fs *faultfs.FS) (*consensus.Instance, *store.Store) {
	t.Helper()
	saved := consensus.NewRecoveredState()
	log, err := store.Open(storeDir, store.Options{FS: fs}, saved.RestoreSnapshot, saved.ReplayRecord)
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	i, err := consensus.New(consensus.Config{Logger: quiet, Seed: 1, SnapshotCount: 1000}, saved, 77, "n1")
	if err != nil {
		t.Fatal(err)
	}
	drive(t, i, log)
	return i, log
}

func drive(t *testing.T, i *consensus.Instance, log *store.Store) {
	t.Helper()
	clock := func() time.Duration { return 0 }
	if err := consensus.ProcessReady(i, log, clock, func(consensus.Effects) {}); err != nil {
		t.Fatal(err)
	}
}

func marshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func indented(t *testing.T, b []byte) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "\t"); err != nil {
		t.Fatal(err)
	}
	return out.String() + "\n"
}

// filesText writes the files of a disk in base64, for testdata.
func filesText(fs *faultfs.FS) string {
	var out strings.Builder
	for _, name := range fs.Paths() {
		if strings.HasSuffix(name, "LOCK") {
			continue
		}
		fmt.Fprintf(&out, "file %s\n%s", name, base64Lines(fs.Content(name)))
	}
	return out.String()
}

func base64Lines(b []byte) string {
	var out strings.Builder
	for part := range slices.Chunk(b, 75) {
		out.WriteString(base64.StdEncoding.EncodeToString(part) + "\n")
	}
	return out.String()
}

func fromBase64(t *testing.T, text string) []byte {
	t.Helper()
	b, err := base64.StdEncoding.DecodeString(strings.ReplaceAll(text, "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// filesOf is the disk that filesText wrote.
func filesOf(t *testing.T, name string) *faultfs.FS {
	t.Helper()
	fs := faultfs.New(1)
	for _, part := range strings.Split(readText(t, name), "file ")[1:] {
		file, text, _ := strings.Cut(part, "\n")
		fs.WriteDurable(file, fromBase64(t, text))
	}
	return fs
}

const firstState = `{"format":1,"cluster":"g","history":[{"revision":1,"id":"first","at_ms":0,"document":` +
	firstDocument + `}],"ids":null,"members":[{"id":77,"name":"n1","address":"127.0.0.1:7001"}]}`

const firstDocument = `{"class":[{"name":"quote","effect":"retryable","give_up":"5s","aim":"1s","worth":5},` +
	`{"name":"book","effect":"dedup","key_scope":"cell","window":"25s","give_up":"15s","aim":"1s",` +
	`"aim_stretch":1.5,"worth":15,"late_share":0.25,"attempts":3}],` +
	`"tenant":[{"name":"muscat","share":0.47},{"name":"batinah","share":0.27,"allowance_per_s":9}]}`

// document is the first one with sections.
func document(sections string) []byte {
	return []byte(strings.TrimSuffix(firstDocument, "}") + `,"section":` + sections + "}")
}

const allSections = `{"duties":{"backup_every":"1h","backup_keep":"3","drill":"1","list":"on","roll":"on"},` +
	`"levels":{"of-nobody":"kept as it is"},"membership":{"probe":"1s"},` +
	`"placement":{"weight.n1":"2","weight.n2":"0.5"},"ratelimit":{"account":"X-Account","tick":"200ms"},` +
	`"rollout":{"lease":"2s","stage_within":"30s"},` +
	`"schedule":{"trigger.a":"* * * * * class=quote","trigger.b":"0 3 * * * class=book tenant=muscat ` +
	`late=1h missed=last body=x y","trigger.c":"*/5 * * * * class=quote spread=10s","zone":"UTC"},` +
	`"workers":{"cold_parts":"group","subset":"20","witnesses":"on"}}`

// newLog makes a log with each kind of entry, and most of the ways in which one counts or does not.
func newLog(t *testing.T) *logWriter {
	t.Helper()
	l := &logWriter{t: t}
	l.groupEntries()
	l.rolloutEntries()
	l.dutyEntries()
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
		Document: []byte(firstDocument)})
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
		Document: []byte(firstDocument)})
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

// seats are the open sessions, as the log has them.
func (l *logWriter) seats() (list []*schema.Seat) {
	for _, s := range l.state(l.t).Rollout().OpenSessions() {
		list = append(list, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	return list
}

// seat is a member's session.
func (l *logWriter) seat(member uint64) placement.Session {
	s := l.state(l.t).Rollout().Sessions[member]
	return placement.Session{Member: member, Epoch: s.Epoch}
}

func (l *logWriter) dutyEntries() {
	n1, n2 := leasedtask.Session(l.seat(77)), leasedtask.Session(l.seat(78))
	l.duty(
		leasedtask.Command{
			Kind:  leasedtask.DeclareTasks,
			Term:  term,
			Tasks: []string{"backup", "drill-1", "list", "roll"},
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:    leasedtask.Assign,
			Term:    term,
			Task:    "list",
			Session: n1,
			Name:    "n1",
			AtMS:    5000,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:    leasedtask.Assign,
			Term:    term,
			Task:    "list",
			Session: n2,
			Name:    "n2",
			AtMS:    5001,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.UpdateNote,
			Task:         "list",
			FencingToken: 1,
			Note:         []byte("note 1"),
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.UpdateNote,
			Task:         "list",
			FencingToken: 1,
			NoteRevision: 1,
			Note:         []byte{},
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.UpdateNote,
			Task:         "list",
			FencingToken: 1,
			NoteRevision: 1,
			Note:         []byte("from a stale copy"),
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:       leasedtask.Transfer,
			ID:         "op2",
			Task:       "list",
			TransferTo: 78,
			Reason:     "ada asks",
			Name:       "ada",
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.Release,
			Task:         "list",
			FencingToken: 1,
			Note:         []byte("last"),
			Reason:       "handed on",
			AtMS:         6000,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.Assign,
			Term:         term,
			Task:         "list",
			FencingToken: 1,
			Session:      n2,
			Name:         "n2",
			AtMS:         6001,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.Expire,
			Term:         term,
			Task:         "list",
			FencingToken: 2,
			Reason:       "its lease ran out",
			AtMS:         7000,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:    leasedtask.Assign,
			Term:    term,
			Task:    "drill-1",
			Session: n1,
			Name:    "n1",
			AtMS:    7001,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.Release,
			Task:         "drill-1",
			FencingToken: 3,
			Failed:       true,
			Reason:       "it failed",
			AtMS:         7002,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:    leasedtask.Assign,
			Term:    term,
			Task:    "backup",
			Session: n2,
			Name:    "n2",
			AtMS:    7003,
		},
	)
	l.duty(leasedtask.Command{Kind: leasedtask.UpdateNote, Task: "backup", FencingToken: 4, Note: []byte(
		`{"period":"2026-12-01T01:00:00Z","file":"agreed-20261201T010000Z.backup","sha256":"00ff"}`)})
	l.duty(leasedtask.Command{Kind: leasedtask.Pause, ID: "op3", Task: "backup", Name: "ada"})
	l.duty(leasedtask.Command{Kind: leasedtask.Pause, ID: "op4", Task: "list", Name: "ada"})
	l.duty(leasedtask.Command{Kind: leasedtask.Resume, ID: "op5", Task: "list", Name: "ada"})
	l.duty(leasedtask.Command{Kind: leasedtask.Resume, ID: "op6", Task: "list", Name: "ada"})
	l.duty(leasedtask.Command{Kind: leasedtask.Pause, ID: "op9", Task: "backup", Name: "bob"})
	l.duty(
		leasedtask.Command{
			Kind:       leasedtask.Transfer,
			ID:         "op10",
			Task:       "backup",
			TransferTo: 77,
			Name:       "bob",
		},
	)
	l.duty(leasedtask.Command{Kind: leasedtask.Transfer, ID: "op11", Task: "list", Name: "bob"})
	l.duty(leasedtask.Command{Kind: leasedtask.Transfer, ID: "op12", Task: "sweep", Name: "bob"})
	l.duty(
		leasedtask.Command{
			Kind:    leasedtask.Assign,
			Term:    term,
			Task:    "roll",
			Session: n1,
			Name:    "n1",
			AtMS:    7004,
		},
	)
	l.duty(
		leasedtask.Command{
			Kind:         leasedtask.Transfer,
			Task:         "roll",
			FencingToken: 5,
			Reason:       "it is about to end",
		},
	)
}

func (l *logWriter) scheduleEntries() {
	s := l.state(l.t)
	version, now := s.Schedule().Policy().Version, int64(1_800_000_000)
	command := func(kind schedule.CommandKind, by placement.Session) schedule.Command {
		return schedule.Command{
			Kind:             kind,
			Session:          by,
			PolicyVersion:    version,
			ClusterTime:      now,
			ZoneRulesVersion: 0xabcdef0123456789,
		}
	}
	declare := command(schedule.DeclarePolicy, placement.Session{})
	declare.Term, declare.ExcludedMembers = term, map[uint64]string{79: "its clock is 3 s ahead"}
	l.schedule("declare", declare)
	now += 120
	var owners [3]placement.Session
	s = l.state(l.t)
	for n, x := range s.Schedule().Policy().Triggers {
		owners[n], _ = s.Schedule().Owner(placement.ShardOf(x.Name))
		c := command(schedule.IntendFirings, owners[n])
		c.Advances = []schedule.ShardAdvance{{Shard: placement.ShardOf(x.Name)}}
		for k := range int64(3) {
			at := now - 100 + 30*k
			c.Occurrences = append(
				c.Occurrences,
				schedule.DueOccurrence{Trigger: n, At: at, WallClock: at + 3600, Missed: int(2 - k),
					LocalTime: calendar.LocalTime(2_000_000 + 60*k)},
			)
		}
		l.schedule("intend of trigger "+x.Name, c)
	}
	l.schedule("intend on an old version", command(schedule.IntendFirings, owners[0]))
	settle := command(schedule.RecordResults, owners[0])
	settle.Numbers = []uint64{1, 2, 3}
	settle.Results = []schedule.Result{schedule.Succeeded, schedule.Failed, schedule.Released}
	l.schedule("settle", settle)
	resolve := command(schedule.ResolveOrphans, owners[0])
	resolve.Numbers, resolve.Results = []uint64{3}, []schedule.Result{schedule.Succeeded}
	l.schedule("resolve: taken over", resolve)
	settle = command(schedule.RecordResults, owners[1])
	settle.Numbers = []uint64{4, 5, 6}
	settle.Results = []schedule.Result{schedule.Rejected, schedule.Missed, schedule.Released}
	l.schedule("settle", settle)
	resolve = command(schedule.ResolveOrphans, owners[1])
	resolve.Numbers, resolve.Results = []uint64{6}, []schedule.Result{schedule.Unknown}
	l.schedule("resolve: given up", resolve)
	declare.ClusterTime, declare.ExpiredSessions = now, []placement.Session{owners[2]}
	l.schedule("declare, with a session that has ended", declare)
}

func (l *logWriter) endEntries() {
	l.command("set aside", &schema.Command{Kind: 7, Id: "op7", Member: 79})
	l.command("set aside, of a closed one", &schema.Command{Kind: 7, Id: "op13", Member: 79})
	l.command("withdraw, of another change", &schema.Command{Kind: 6, Id: "op14", Change: "c3"})
	l.command("lapse", &schema.Command{Kind: 2, Term: term, AtMs: 8000, Seats: []*schema.Seat{
		{Member: 79, Epoch: l.seat(79).Epoch}, {Member: 78, Epoch: l.seat(78).Epoch}}})
	l.members("drop n3", raftpb.ConfChangeRemoveNode, &schema.MembersChange{Change: "m3", Drop: []uint64{79}})
	l.command("open anew", &schema.Command{Kind: 1, Term: term, Member: 77, Name: "n1", Nonce: 5, AtMs: 9000})
	l.entry("empty, of a new leader", raftpb.EntryNormal, nil)
	l.change("change that stays pending", &schema.Change{Id: "c8", Base: 3, Author: "bob", Format: 7,
		Document: document(`{"duties":{"list":"off"}}`)})
}
