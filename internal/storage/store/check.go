package store

import (
	"fmt"
	"path/filepath"
)

// CheckReport is what Check found.
type CheckReport struct {
	Dir           string `json:"dir"`
	Format        int    `json:"format"`
	Snapshot      string `json:"snapshot,omitempty"` // the file's name
	SnapshotBytes int    `json:"snapshot_bytes"`     // of its payload
	Segments      int    `json:"segments"`
	Records       int    `json:"records"` // that the snapshot does not hold
	SyncMarkers   int    `json:"seals"`
	NextSeq       uint64 `json:"next_record"`
	Bytes         int64  `json:"bytes"`               // of all files
	TornTail      string `json:"torn,omitempty"`      // the end of the log that the next start will cut off
	Leftovers     int    `json:"leftovers,omitempty"` // files that the next start will remove
}

// Check reads a store and verifies every byte of it; a nil fs is the machine's file system. It
// changes nothing. It fails with ErrLocked while a process has the store open, and with a
// CorruptError if acknowledged data is damaged.
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
		return nil, fmt.Errorf("%s holds no store", dir)
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
