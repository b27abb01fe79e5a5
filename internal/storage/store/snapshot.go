package store

import (
	"errors"
	"fmt"
	"path/filepath"
)

// WriteSnapshot replaces all records appended so far by data, durably. If it fails after the
// snapshot itself was written, the store stays usable unless a sync failed; files that are no
// longer needed are then removed by the next snapshot or the next Open.
func (s *Store) WriteSnapshot(data []byte) error {
	if err := s.Sync(); err != nil {
		return err
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d%s", s.nextSeq, snapshotSuffix))
	if path == s.snapshotPath {
		return nil // nothing has been appended since
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
		return err // the snapshot is valid; the old files are removed by the next one
	}
	// Hazard: the new names must be durable before the old ones are removed. startSegment has synced them.
	s.segments = s.segments[len(s.segments)-1:]
	for _, g := range oldSegments {
		if g.path == s.segments[0].path {
			continue
		}
		if err := s.fs.Remove(g.path); err != nil {
			return fmt.Errorf("dropping a segment of the store: %w", err)
		}
	}
	if oldSnapshot != "" {
		if err := s.fs.Remove(oldSnapshot); err != nil {
			return fmt.Errorf("dropping a snapshot of the store: %w", err)
		}
	}
	return nil
}

// replaceFile writes a file that is there with all its content or not at all.
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
