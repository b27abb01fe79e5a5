package backups

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/leasedtask"
)

func period(hour int) time.Time { return time.Date(2026, 12, 1, hour, 0, 0, 0, time.UTC) }

func newDir(t *testing.T) Dir {
	t.Helper()
	return Dir{Path: filepath.Join(t.TempDir(), "backups"), Verify: func(b []byte) error {
		if !bytes.HasPrefix(b, []byte("complete")) {
			return errors.New("the backup is incomplete")
		}
		return nil
	}}
}

func request(token uint64, hour int, content string) WriteRequest {
	return WriteRequest{Group: "g", Task: "backup", FencingToken: token, Period: period(hour),
		Content: []byte(content), Retain: 3, LeaseValid: func() bool { return true }}
}

// A directory is created and written to several times: stale writers are rejected, files are verified, and
// the oldest backups are removed.
func TestWritesAreFencedVerifiedAndPruned(t *testing.T) {
	d := newDir(t)
	first, err := d.Write(request(7, 1, "complete 1"))
	if err != nil || first.File != "agreed-20261201T010000Z.backup" {
		t.Fatalf("got %+v and error %v, want agreed-20261201T010000Z.backup", first, err)
	}
	// An existing backup of the period is kept: its writer may have stopped before it recorded it.
	again, err := d.Write(request(8, 1, "complete 1, of another"))
	if err != nil || again != first {
		t.Errorf("got %+v and error %v, want the existing backup", again, err)
	}
	// A writer that was stalled until after its lease has a stale token. It is rejected and writes nothing.
	var stale *leasedtask.StaleTokenError
	if _, err := d.Write(request(7, 2, "complete 2")); !errors.As(err, &stale) || stale.NewestToken != 8 {
		t.Errorf("write with a stale fencing token: got error %v, want a StaleTokenError with token 8", err)
	}
	expired := request(9, 2, "complete")
	expired.LeaseValid = func() bool { return false }
	if _, err := d.Write(expired); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("write after the lease expired: got error %v, want ErrLeaseExpired", err)
	}
	if _, err := d.Write(request(9, 3, "half")); err == nil ||
		!strings.Contains(err.Error(), "can't be read back") {
		t.Errorf("write of an incomplete backup: got error %v, want one that it can't be read back", err)
	}
	// A damaged backup is replaced. Writing to the directory of another group is an error.
	if err := os.WriteFile(filepath.Join(d.Path, first.File), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, err = d.Write(request(9, 1, "complete 1")); err != nil || again != first {
		t.Errorf("got %+v and error %v, want the damaged backup written again", again, err)
	}
	other := request(99, 4, "")
	other.Group = "h"
	if _, err := d.Write(other); err == nil || !strings.Contains(err.Error(), "is of the group g, not h") {
		t.Errorf("write by another group: got error %v, want one that names both groups", err)
	}
	// The oldest backups are removed; a file that is not a backup is kept.
	foreign := filepath.Join(d.Path, "agreed-of-old.backup")
	if err := os.WriteFile(foreign, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	for hour := 3; hour < 9; hour++ {
		if _, err := d.Write(request(10, hour, "complete")); err != nil {
			t.Fatal(err)
		}
	}
	list, err := d.List()
	if err != nil || len(list) != 3 || list[0] != "agreed-20261201T060000Z.backup" {
		t.Errorf("got backups %v and error %v, want three from agreed-20261201T060000Z.backup on", list, err)
	}
	if _, err := os.Stat(foreign); err != nil {
		t.Error("a file that is not a backup was removed")
	}
	if _, err := (Dir{Path: "/dev/null/x", Verify: d.Verify}).Write(other); err == nil {
		t.Error("write to a directory that can't be created succeeded")
	}
}
