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
	nextSeq  uint64 // as found by the scan: the sequence number after its last record
	bytes    int64  // as found by the scan: the length of its valid part
}

// startSegment creates a new segment and makes it the active one. The segment's header is durable before its
// first record is written.
func (s *Store) startSegment() error {
	if n := len(s.segments); n > 0 && s.segments[n-1].firstSeq == s.nextSeq && s.active != nil {
		return s.fs.SyncDir(s.dir) // the active segment is still empty
	}
	if s.active != nil {
		// The last sync marker must be durable before another segment follows: a torn marker in a segment
		// that is not the last one would be reported as damage.
		if err := s.active.Sync(); err != nil {
			return s.fail(fmt.Errorf("syncing the store: %w", err))
		}
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d%s", s.nextSeq, segmentSuffix))
	f, err := s.createSegment(path)
	if err != nil {
		if f != nil {
			f.Close()
			// The previous segment stays active. Without the removal, this file would be in the middle of
			// the previous segment's records.
			if removeErr := s.fs.Remove(path); removeErr != nil {
				return s.fail(errors.Join(err, removeErr))
			}
		}
		return fmt.Errorf("starting a segment of the store: %w", err)
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			return s.fail(fmt.Errorf("closing a segment of the store: %w", err))
		}
	}
	s.active, s.activeBytes = f, segmentHeaderBytes
	s.segments = append(s.segments, segment{path: path, firstSeq: s.nextSeq})
	return nil
}

// createSegment durably writes an empty segment. If it fails after opening the file, it returns the file with
// the error.
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
