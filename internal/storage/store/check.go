package store

import (
	"fmt"
	"path/filepath"
)

// CheckReport describes the content of a store that Check has found intact.
type CheckReport struct {
	Dir           string `json:"dir"`
	Format        int    `json:"format"`
	Snapshot      string `json:"snapshot,omitempty"` // the name of the snapshot's file
	SnapshotBytes int    `json:"snapshot_bytes"`     // the length of the snapshot's payload
	Segments      int    `json:"segments"`
	Records       int    `json:"records"` // number of records after the snapshot
	SyncMarkers   int    `json:"seals"`
	NextSeq       uint64 `json:"next_record"`
	Bytes         int64  `json:"bytes"`               // the length of all valid data
	TornTail      string `json:"torn,omitempty"`      // the end of the log that the next Open will cut off
	Leftovers     int    `json:"leftovers,omitempty"` // the number of files that the next Open will remove
}

// Check reads and verifies a whole store without changing it. A nil fs means OS. Check fails with
// ErrLocked while a process has the store open, and with a CorruptError if acknowledged data is
// damaged.
func Check(dir string, fs FS) (*CheckReport, error) {
	if fs == nil {
		fs = OS{}
	}
	if _, err := fs.ListFiles(dir); err != nil {
		return nil, fmt.Errorf("reading the store: %w", err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	found, err := scanDir(fs, dir, nil)
	if err != nil {
		return nil, err
	}
	if len(found.segments) == 0 && !found.hasSnapshot {
		return nil, fmt.Errorf("%s contains no segment or snapshot of a store", dir)
	}
	r := &CheckReport{
		Dir:           dir,
		Format:        formatVersion,
		SnapshotBytes: len(found.snapshot),
		Segments:      len(found.segments),
		Records:       found.records,
		SyncMarkers:   found.syncMarkers,
		NextSeq:       found.nextSeq,
		Bytes:         found.bytes,
		Leftovers:     len(found.leftovers),
	}
	if found.hasSnapshot {
		r.Snapshot = filepath.Base(found.snapshotPath)
	}
	if found.tornTail != nil {
		r.TornTail = found.tornTail.String()
	}
	return r, nil
}
