package frozen

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/frozen/golden"
	"moorstack/internal/operate/backups"
	"moorstack/internal/operate/controlapi"
)

// The encoding of a backup is unchanged, byte for byte, a backup written by an earlier version is read, and a
// corrupt or truncated one is rejected.
func TestBackupOfBeforeIsRead(t *testing.T) {
	s := newLog(t).state(t)
	golden.Compare(t, "backup.txt", base64Lines(controlapi.EncodeBackup(s.ClusterID(), s.Revisions())))
	raw := fromBase64(t, golden.Read(t, "backup.txt"))
	b, err := controlapi.DecodeBackup(raw)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "backup.json", indentJSON(t, text))
	for at := range raw {
		bad := bytes.Clone(raw)
		bad[at] ^= 1 << (at % 8)
		if _, err := controlapi.DecodeBackup(bad); err == nil {
			t.Fatalf("a backup with a flipped bit in byte %d was accepted", at)
		}
	}
	for _, size := range []int{0, 8, 15, len(raw) - 1} {
		if _, err := controlapi.DecodeBackup(raw[:size]); err == nil {
			t.Errorf("a backup truncated to %d bytes was accepted", size)
		}
	}
}

// The files of the backup directory and the encoded result of a backup are unchanged, and the fencing tokens
// in a fence file of an earlier version are enforced.
func TestBackupDirectoryIsAsBefore(t *testing.T) {
	dir := backups.Dir{Path: t.TempDir(), Verify: func([]byte) error { return nil }}
	writeBackup := func(number uint64) (backups.Result, error) {
		return dir.Write(backups.WriteRequest{Group: "g", Task: "backup", FencingToken: number,
			Period:  time.Date(2026, 12, 1, 1, 0, 0, 0, time.UTC),
			Content: []byte("content"), Retain: 2, LeaseValid: func() bool { return true }})
	}
	result, err := writeBackup(7)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(result)
	const want = `{"period":"2026-12-01T01:00:00Z","file":"agreed-20261201T010000Z.backup","sha256":` +
		`"ed7002b439e9ac845f22357d822bac1444730fbdb6016d3ec9432297b9ec9f73"}`
	if err != nil || string(encoded) != want {
		t.Errorf("got the result %s, %v; want %s", encoded, err, want)
	}
	const fence = `{"group":"g","numbers":{"backup":7}}`
	if got, err := os.ReadFile(filepath.Join(dir.Path, "fence.json")); err != nil || string(got) != fence {
		t.Errorf("got the fence file %s, %v; want %s", got, err, fence)
	}
	older := []byte(`{"group":"g","numbers":{"backup":9,"other":3}}`)
	if err := os.WriteFile(filepath.Join(dir.Path, "fence.json"), older, 0o600); err != nil {
		t.Fatal(err)
	}
	var stale *leasedtask.StaleTokenError
	if _, err := writeBackup(8); !errors.As(err, &stale) || stale.NewestToken != 9 {
		t.Errorf("a write with a stale fencing token: got %v, want a StaleTokenError with token 9", err)
	}
}

// The encoding of a rolling restart's plan, which is kept as the note of its leased task, is unchanged.
func TestRollingRestartsNoteIsAsBefore(t *testing.T) {
	for _, note := range []string{
		`{"by":"ada","out":2,"within":300000000000,"alone":true,"undo":true,"standing":"halted",` +
			`"why":"n2 is away","steps":[{"m":77,"n":"n1","z":"a","l":18364758544493064797},` +
			`{"m":78,"n":"n2","p":1,"l":5,"a":true},{"m":79,"n":"n3","p":2},{"m":80,"n":"n4","p":3},` +
			`{"m":81,"n":"n5","p":4}]}`,
		`{"out":1,"within":1000000000,"standing":"rolling"}`,
		`{"out":1,"within":1000000000,"standing":"stopped"}`,
		`{"out":1,"within":1000000000,"standing":"done"}`,
	} {
		p, err := rollingrestart.DecodePlan([]byte(note))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := p.Encode(); err != nil || string(got) != note {
			t.Errorf("got %s, %v\nwant %s", got, err, note)
		}
	}
	p := rollingrestart.Plan{
		Author:          "ada",
		MaxUnavailable:  2,
		Timeout:         time.Minute,
		AllowLastInZone: true,
		Undo:            true,
		Status:          rollingrestart.Rolling,
		HaltReason:      "why",
		Steps: []rollingrestart.Step{
			{Member: 1, Name: "n1", Zone: "a", Phase: rollingrestart.Restarting, Incarnation: 9,
				RestartAgain: true},
		},
	}
	const want = `{"by":"ada","out":2,"within":60000000000,"alone":true,"undo":true,"standing":"rolling",` +
		`"why":"why","steps":[{"m":1,"n":"n1","z":"a","p":1,"l":9,"a":true}]}`
	if got, err := p.Encode(); err != nil || string(got) != want {
		t.Errorf("got %s, %v\nwant %s", got, err, want)
	}
	// Other code compares statuses by their text and phases by their number.
	if rollingrestart.Stopped != "stopped" || rollingrestart.Halted != "halted" ||
		rollingrestart.Done != "done" ||
		rollingrestart.Restarting != 1 {
		t.Error("a status has a different text or a phase a different number")
	}
}
