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
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/frozen/golden"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// The kinds of a store's records on disk.
const (
	recordIdentity  = 1
	recordHardState = 2
	recordEntry     = 3
	recordSnapshot  = 4
)

// storeDir is the folder of the store in the in-memory file system.
const storeDir = "/d"

// term is the raft term of all entries. The decisions of a leader are valid only in its own term.
const term = 3

// The encoding of a log with every kind of entry is unchanged, byte for byte.
func TestLogIsWrittenAsBefore(t *testing.T) {
	golden.Compare(t, "log.txt", encodeFiles(newLog(t).write(t)))
}

// A log of an earlier version is read, and the effect of each entry on the replicated state is unchanged.
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
		if err := json.Unmarshal(l.prefix(n).state(t).Encode(), &after); err != nil {
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
	golden.Compare(t, "entries.txt", out.String())
}

// A store written by an earlier version opens with the same state, and its snapshot is unchanged.
func TestStoreOfBeforeIsOpened(t *testing.T) {
	if golden.Updating() {
		golden.Compare(t, "log.txt", encodeFiles(newLog(t).write(t)))
	}
	fs := decodeFiles(t, "log.txt")
	i, log := openStore(t, fs)
	golden.Compare(t, "state.json", indentJSON(t, i.State().Encode()))
	i.Compact()
	processReady(t, i, log)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "snapshot.txt", encodeFiles(fs))
}

// A snapshot written by an earlier version gives the same state and the same instance.
func TestSnapshotOfBeforeIsOpened(t *testing.T) {
	i, log := openStore(t, decodeFiles(t, "snapshot.txt"))
	defer log.Close()
	golden.Compare(t, "state.json", indentJSON(t, i.State().Encode()))
	st := i.Status()
	if st.ID != 77 || st.Name != "n1" || st.Cluster != "g" || st.Halted != nil || i.Applied() == 0 {
		t.Errorf("got the instance status %+v with %d applied entries", st, i.Applied())
	}
	again, err := clusterstate.Restore(clusterstate.Rules{}, i.State().Encode())
	if err != nil || !bytes.Equal(again.Encode(), i.State().Encode()) {
		t.Errorf("the state changes when it is encoded and restored: %v", err)
	}
}

// The problems of an invalid document are unchanged, word for word: they are part of the change's outcome in
// the replicated state, which must be the same at every instance.
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
	golden.Compare(t, "problems.txt", out.String())
}

var withdrawal = rollout.Command{Kind: rollout.Withdraw, Change: "c8"}

// A flipped bit in a store is an error that names the file and the offset. The test leaves out the last
// record of a log: it is a seal that was not synced, so no data is lost if it is damaged.
func TestFlippedByteIsNamed(t *testing.T) {
	for _, name := range []string{"log.txt", "snapshot.txt"} {
		good := decodeFiles(t, name)
		for _, file := range good.Paths() {
			size := len(good.Content(file))
			if strings.HasSuffix(file, ".log") {
				if size -= 20; name == "snapshot.txt" {
					continue // the log holds only its header, which has been rewritten
				}
			}
			for at := 0; at < size; at += 3 {
				fs := decodeFiles(t, name)
				fs.Content(file)[at] ^= 1 << (at % 8)
				_, err := store.Open(storeDir, store.Options{FS: fs}, func([]byte) error { return nil }, nil)
				var bad *store.CorruptError
				if !errors.As(err, &bad) || bad.File != file || bad.Offset > int64(at) ||
					!strings.Contains(err.Error(), path.Base(file)) {
					t.Fatalf("%s with a flipped bit in byte %d: got %v, want a CorruptError for it",
						file, at, err)
				}
			}
		}
	}
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
	processReady(t, i, log)
	return i, log
}

func processReady(t *testing.T, i *consensus.Instance, log *store.Store) {
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

func indentJSON(t *testing.T, b []byte) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "\t"); err != nil {
		t.Fatal(err)
	}
	return out.String() + "\n"
}

// encodeFiles returns the files of fs in base64, except lock files, in the form of the golden files.
func encodeFiles(fs *faultfs.FS) string {
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

// decodeFiles returns the file system that encodeFiles wrote to a golden file.
func decodeFiles(t *testing.T, name string) *faultfs.FS {
	t.Helper()
	fs := faultfs.New(1)
	for _, part := range strings.Split(golden.Read(t, name), "file ")[1:] {
		file, text, _ := strings.Cut(part, "\n")
		fs.WriteDurable(file, fromBase64(t, text))
	}
	return fs
}
