package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// defaultSegmentBytes is the default of Options.SegmentBytes.
const defaultSegmentBytes = 64 << 20

// ErrClosed is returned by the methods of a closed Store or GroupCommitter.
var ErrClosed = errors.New("the store is closed")

// Options configure a Store. The zero value is ready for use.
type Options struct {
	FS           FS    // nil: OS
	SegmentBytes int64 // a new segment is started after a larger one; 0: 64 MiB
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         io.Closer
	active       File // the segment that records are appended to
	activeBytes  int64
	segments     []segment // oldest first; the last one is the active segment
	nextSeq      uint64
	unsynced     bool // records may have been appended since the last sync marker
	snapshotPath string
	tornTail     *TornTail
	failure      error // the error that all further calls return
	buffer       []byte
}

// Open opens the store in a directory, or creates one if the directory has none. It calls
// snapshot once if there is a snapshot, and then replay with each later record. The byte
// slices passed to both remain valid.
//
// Open fails with ErrLocked while another process has the directory open, and with a
// CorruptError if acknowledged data is damaged.
func Open(dir string, o Options, snapshot func([]byte) error, replay func(Record) error) (*Store, error) {
	s := &Store{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes}
	if s.fs == nil {
		s.fs = OS{}
	}
	if s.segmentBytes <= 0 {
		s.segmentBytes = defaultSegmentBytes
	}
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("creating the store's directory: %w", err)
	}
	var err error
	if s.lock, err = s.fs.Lock(filepath.Join(dir, lockFile)); err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	if err = s.load(snapshot, replay); err != nil {
		s.lock.Close()
		return nil, err
	}
	return s, nil
}

// load reads the directory, passes its content to the callbacks and prepares the log for appending.
func (s *Store) load(snapshot func([]byte) error, replay func(Record) error) error {
	// The directory is read only once. Records are collected because they must be replayed after the
	// snapshot.
	var records []Record
	found, err := scanDir(s.fs, s.dir, func(r Record) { records = append(records, r) })
	if err != nil {
		return err
	}
	if found.hasSnapshot && snapshot != nil {
		if err := snapshot(found.snapshot); err != nil {
			return &CorruptError{found.snapshotPath, snapshotHeaderBytes, err.Error()}
		}
	}
	for _, r := range records {
		if replay != nil {
			if err := replay(r); err != nil {
				return fmt.Errorf("replaying record %d of the store %s: %w", r.Seq, s.dir, err)
			}
		}
	}
	s.nextSeq, s.segments = found.nextSeq, found.segments
	s.snapshotPath, s.tornTail = found.snapshotPath, found.tornTail
	for _, path := range append(found.leftovers, found.emptySegment) {
		if path != "" {
			if err := s.fs.Remove(path); err != nil {
				return fmt.Errorf("removing a leftover file of the store: %w", err)
			}
		}
	}
	return s.openActiveSegment(found)
}

// openActiveSegment opens the last segment for appending. It starts a new segment if there is none or if the
// end of the last one is missing.
func (s *Store) openActiveSegment(found *scanResult) error {
	if len(s.segments) == 0 {
		return s.startSegment()
	}
	last := s.segments[len(s.segments)-1]
	var err error
	if s.active, err = s.fs.Open(last.path); err != nil {
		return fmt.Errorf("opening the active segment of the store: %w", err)
	}
	s.activeBytes = last.bytes
	s.unsynced = true
	if last.nextSeq < s.nextSeq {
		// The segment's end is missing, but the snapshot covers it, so nothing is lost. A record appended
		// here would not follow the one before it, so a new segment is needed.
		return errors.Join(s.startSegment(), s.Sync())
	}
	if s.tornTail != nil && found.emptySegment == "" {
		if err := s.active.Truncate(last.bytes); err != nil {
			return fmt.Errorf("truncating the torn tail of the store: %w", err)
		}
	}
	// Records that were found but may not have been synced before the last exit can now be sent to other
	// processes, so they must be made durable first.
	return s.Sync()
}

// TornTail returns the unacknowledged end of the log that Open has cut off, or nil.
func (s *Store) TornTail() *TornTail { return s.tornTail }

// fail makes all further calls return err, or an earlier error that was passed to fail.
func (s *Store) fail(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return s.failure
}

// Close syncs and closes the store. Further calls of Close have no effect.
func (s *Store) Close() error {
	if errors.Is(s.failure, ErrClosed) {
		return nil
	}
	err := s.failure
	if err == nil {
		if err = s.Sync(); err == nil {
			err = s.active.Sync() // for the last sync marker
		}
	}
	err = errors.Join(err, s.active.Close(), s.lock.Close())
	s.failure = ErrClosed
	return err
}
