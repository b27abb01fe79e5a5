package store

import (
	"errors"
	"fmt"
	"io"
)

// maxIdleBuffer is the largest capacity in bytes of a buffer that is kept for the next append. Without this
// limit, one large record would occupy memory for ever.
const maxIdleBuffer = 1 << 20

// Append writes records and returns the sequence number of the first one. They are durable after the next
// successful Sync. If Append fails, none of them is in the log.
func (s *Store) Append(records ...Record) (uint64, error) {
	if s.failure != nil {
		return 0, s.failure
	}
	first := s.nextSeq
	s.buffer = s.buffer[:0]
	for i, r := range records {
		if r.Kind == kindSyncMarker || len(r.Data) > maxRecordBytes {
			return 0, fmt.Errorf(
				"store: invalid record of kind %d with %d bytes, want a kind above 0 and at most 64 MiB",
				r.Kind, len(r.Data))
		}
		s.buffer = appendRecord(s.buffer, first+uint64(i), r.Kind, r.Data)
	}
	if err := s.write(s.buffer); err != nil {
		return 0, err
	}
	s.nextSeq += uint64(len(records))
	s.unsynced = s.unsynced || len(records) > 0
	if cap(s.buffer) > maxIdleBuffer {
		s.buffer = nil
	}
	return first, nil
}

// write appends b to the active segment. If it fails, the segment is unchanged, or the store fails for good.
func (s *Store) write(b []byte) error {
	n, err := s.active.Write(b)
	if err == nil && n == len(b) {
		s.activeBytes += int64(n)
		return nil
	}
	if err == nil {
		err = io.ErrShortWrite
	}
	err = fmt.Errorf("writing to the store: %w", err)
	// Without the truncation, the part that was written would precede the next record.
	if truncateErr := s.active.Truncate(s.activeBytes); truncateErr != nil {
		return s.fail(errors.Join(err, fmt.Errorf("truncating a partial write: %w", truncateErr)))
	}
	return err
}

// Sync makes all appended records durable. If it fails, the store is unusable.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if !s.unsynced {
		return nil
	}
	// A failed sync must not be repeated: the kernel may have dropped the unwritten data, and the second
	// sync would report success.
	if err := s.active.Sync(); err != nil {
		return s.fail(fmt.Errorf("syncing the store: %w", err))
	}
	s.unsynced = false
	// The sync marker is not synced itself, because it only helps to distinguish damage from a torn tail. If
	// the disk has no space for it, only that help is lost.
	if err := s.write(appendRecord(nil, s.nextSeq, kindSyncMarker, nil)); err != nil && s.failure != nil {
		return s.failure
	}
	if s.activeBytes > s.segmentBytes {
		// If the new segment can't be created, the active one is still usable, and the next sync tries again.
		if err := s.startSegment(); err != nil && s.failure != nil {
			return s.failure
		}
	}
	return nil
}
