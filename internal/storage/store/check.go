package store

import (
	"fmt"
	"path/filepath"
)

// CheckReport is what Check found.
type CheckReport struct {
	Dir           string `json:"dir"`
	Format        int    `json:"format"`
	Snapshot      string `json:"snapshot,omitempty"`
	SnapshotBytes int    `json:"snapshot_bytes"`
	Segments      int    `json:"segments"`
	Records       int    `json:"records"`
	SyncMarkers   int    `json:"seals"`
	NextSeq       uint64 `json:"next_record"`
	Bytes         int64  `json:"bytes"`
	TornTail      string `json:"torn,omitempty"`      // an end that the next start will cut off
	Leftovers     int    `json:"leftovers,omitempty"` // files that the next start will remove
}

// Check walks a store and verifies every byte of it. It changes nothing, and fails with
// ErrLocked while a process has the store open.
func Check(dir string, fs FS) (*CheckReport, error) {
	if fs == nil {
		fs = OS{}
	}
	if _, err := fs.ListFiles(dir); err != nil {
		return nil, fmt.Errorf("reading the store: %w", err)
	}
	lock, err := fs.Lock(filepath.Join(dir, "LOCK"))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	w, err := walk(fs, dir, nil)
	if err != nil {
		return nil, err
	}
	r := &CheckReport{Dir: dir, Format: version, SnapshotBytes: len(w.snapshot), Segments: len(w.segments),
		Records: w.records, SyncMarkers: w.seals, NextSeq: w.next, Bytes: w.bytes,
		Leftovers: len(w.leftovers)}
	if w.hasSnapshot {
		r.Snapshot = filepath.Base(w.snapshotFile)
	}
	if w.tear != nil {
		r.TornTail = w.tear.String()
	}
	if len(w.segments) == 0 && !w.hasSnapshot {
		return nil, fmt.Errorf("%s holds no store", dir)
	}
	return r, nil
}
