package store

import (
	"errors"
	"fmt"
	"path/filepath"
)

// WriteSnapshot durably replaces all records appended so far by data. If it fails after it has
// written the snapshot, the store remains usable unless a sync has failed. The next snapshot or the
// next Open then removes the files that are no longer needed.
func (s *Store) WriteSnapshot(data []byte) error {
	if err := s.Sync(); err != nil {
		return err
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d%s", s.nextSeq, snapshotSuffix))
	if path == s.snapshotPath {
		return nil // no records since the last snapshot
	}
	if err := s.replaceFile(path, appendSnapshot(nil, s.nextSeq, data)); err != nil {
		return fmt.Errorf("writing a snapshot of the store: %w", err)
	}
	oldSnapshot, oldSegments := s.snapshotPath, s.segments
	s.snapshotPath = path
	if err := s.startSegment(); err != nil {
		if s.failure != nil {
			return s.failure
		}
		return err // the snapshot is valid; the next one removes the old files
	}
	// The new files' directory entries must be durable before the old files are removed. startSegment has
	// synced them.
	s.segments = s.segments[len(s.segments)-1:]
	for _, g := range oldSegments {
		if g.path == s.segments[0].path {
			continue
		}
		if err := s.fs.Remove(g.path); err != nil {
			return fmt.Errorf("removing a segment of the store: %w", err)
		}
	}
	if oldSnapshot != "" {
		if err := s.fs.Remove(oldSnapshot); err != nil {
			return fmt.Errorf("removing a snapshot of the store: %w", err)
		}
	}
	return nil
}

// replaceFile writes a file atomically: after a crash it exists either with all of its content or not at all.
func (s *Store) replaceFile(path string, content []byte) error {
	tmp := path + temporarySuffix
	f, err := s.fs.Open(tmp)
	if err != nil {
		return err
	}
	err = f.Truncate(0)
	if err == nil {
		_, err = f.Write(content)
	}
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = s.fs.Rename(tmp, path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		_ = s.fs.Remove(tmp)
	}
	return err
}
