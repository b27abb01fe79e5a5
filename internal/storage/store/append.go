package store

import (
	"errors"
	"fmt"
	"io"
)

// maxIdleBuffer is the capacity in bytes above which an append's buffer is not kept, so that one large
// record does not hold memory for ever.
const maxIdleBuffer = 1 << 20

// Append writes records and returns the sequence number of the first. They are durable after
// the next Sync. After an error none of them is in the log.
func (s *Store) Append(records ...Record) (uint64, error) {
	if s.failure != nil {
		return 0, s.failure
	}
	first := s.nextSeq
	s.buffer = s.buffer[:0]
	for i, r := range records {
		if r.Kind == kindSyncMarker || len(r.Data) > maxRecordBytes {
			return 0, fmt.Errorf("store: a record of kind %d with %d bytes can't be kept",
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

// write adds whole records to the active segment or leaves it as it was.
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
	// Hazard: the part that was written would stand before the next record.
	if truncateErr := s.active.Truncate(s.activeBytes); truncateErr != nil {
		return s.fail(errors.Join(err, fmt.Errorf("truncating the partial write: %w", truncateErr)))
	}
	return err
}

// Sync makes all appended records durable. After an error the store is unusable.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if !s.unsynced {
		return nil
	}
	// Hazard: after a failed sync the kernel may have dropped what was not written, and a
	// second one would report success.
	if err := s.active.Sync(); err != nil {
		return s.fail(fmt.Errorf("syncing the store: %w", err))
	}
	s.unsynced = false
	// The marker needs no sync of its own: it only helps to distinguish damage from a torn tail. If the disk
	// has no space for it, that help is missing and nothing else.
	if err := s.write(appendRecord(nil, s.nextSeq, kindSyncMarker, nil)); err != nil && s.failure != nil {
		return s.failure
	}
	if s.activeBytes > s.segmentBytes {
		// A new segment is not needed yet: if it can't be created, the next sync tries again.
		if err := s.startSegment(); err != nil && s.failure != nil {
			return s.failure
		}
	}
	return nil
}
