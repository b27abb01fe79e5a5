package store

import (
	"errors"
	"fmt"
	"path/filepath"
)

// segment is one file of the log.
type segment struct {
	path     string
	firstSeq uint64 // of its first record
	nextSeq  uint64 // as found by the scan: the record that would come next in it
	bytes    int64  // as found by the scan: how much of it is valid
}

// startSegment creates a new segment and makes it the active one. Its header is durable before its
// first record is written.
func (s *Store) startSegment() error {
	if n := len(s.segments); n > 0 && s.segments[n-1].firstSeq == s.nextSeq && s.active != nil {
		return s.fs.SyncDir(s.dir) // the active segment is still empty
	}
	if s.active != nil {
		// Hazard: the last sync marker of a segment that others follow must not be missing.
		if err := s.active.Sync(); err != nil {
			return s.fail(fmt.Errorf("syncing the store: %w", err))
		}
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d%s", s.nextSeq, segmentSuffix))
	f, err := s.createSegment(path)
	if err != nil {
		if f != nil {
			f.Close()
			// Hazard: the segment before stays active, and this file would stand in its midst.
			if removeErr := s.fs.Remove(path); removeErr != nil {
				return s.fail(errors.Join(err, removeErr))
			}
		}
		return fmt.Errorf("beginning a segment of the store: %w", err)
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			return s.fail(fmt.Errorf("ending a segment of the store: %w", err))
		}
	}
	s.active, s.activeBytes = f, segmentHeaderBytes
	s.segments = append(s.segments, segment{path: path, firstSeq: s.nextSeq})
	return nil
}

// createSegment writes an empty segment durably. With an error it returns the file, if that was opened.
func (s *Store) createSegment(path string) (File, error) {
	f, err := s.fs.Open(path)
	if err == nil {
		err = f.Truncate(0) // an earlier attempt may have left content
	}
	if err == nil {
		_, err = f.Write(appendSegmentHeader(nil, s.nextSeq))
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	return f, err
}
