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

func TestDirectory(t *testing.T) {
	d := Dir{Path: filepath.Join(t.TempDir(), "kept"), Verify: func(b []byte) error {
		if !bytes.HasPrefix(b, []byte("whole")) {
			return errors.New("it is not whole")
		}
		return nil
	}}
	at := func(hour int) time.Time { return time.Date(2026, 12, 1, hour, 0, 0, 0, time.UTC) }
	ask := func(number uint64, hour int, text string) (Result, error) {
		return d.Write(WriteRequest{Group: "g", Task: "backup", FencingToken: number, Period: at(hour),
			Content: []byte(text),
			Retain:  3, LeaseValid: func() bool { return true }})
	}
	first, err := ask(7, 1, "whole 1")
	if err != nil || first.File != "agreed-20261201T010000Z.backup" {
		t.Fatalf("%+v %v", first, err)
	}
	// What is there for a period stays: whoever wrote it may have died before it said so.
	again, err := ask(8, 1, "whole 1, of another")
	if err != nil || again != first {
		t.Errorf("%+v %v", again, err)
	}
	// One that stood still between its look and its write is refused, and changes nothing.
	var stale *leasedtask.StaleTokenError
	if _, err := ask(7, 2, "whole 2"); !errors.As(err, &stale) || stale.NewestToken != 8 {
		t.Errorf("an old number writes: %v", err)
	}
	if _, err := d.Write(WriteRequest{Group: "g", Task: "backup", FencingToken: 9, Period: at(2),
		Content:    []byte("whole"),
		LeaseValid: func() bool { return false }}); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("it writes after its lease: %v", err)
	}
	if _, err := ask(9, 3, "half"); err == nil || !strings.Contains(err.Error(), "can't be read back") {
		t.Errorf("what is not whole is kept: %v", err)
	}
	// A damaged one is written anew; another group's, and a directory that can't be, are refused.
	if err := os.WriteFile(filepath.Join(d.Path, first.File), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, err = ask(9, 1, "whole 1"); err != nil || again != first {
		t.Errorf("%+v %v", again, err)
	}
	other := WriteRequest{
		Group:        "h",
		Task:         "backup",
		FencingToken: 99,
		Period:       at(4),
		LeaseValid:   func() bool { return true },
	}
	if _, err := d.Write(other); err == nil || !strings.Contains(err.Error(),
		"is of the group g, not h") {
		t.Errorf("another group writes: %v", err)
	}
	// The oldest go; what is not ours stays.
	mine := filepath.Join(d.Path, "agreed-of-old.backup")
	if err := os.WriteFile(mine, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	for hour := 3; hour < 9; hour++ {
		if _, err := ask(10, hour, "whole"); err != nil {
			t.Fatal(err)
		}
	}
	list, err := d.List()
	if err != nil || len(list) != 3 || list[0] != "agreed-20261201T060000Z.backup" {
		t.Errorf("%v %v", list, err)
	}
	if _, err := os.Stat(mine); err != nil {
		t.Error("a file that is not ours is gone")
	}
	if _, err := (Dir{Path: "/dev/null/x", Verify: d.Verify}).Write(other); err == nil {
		t.Error("kept where nothing can be")
	}
}
