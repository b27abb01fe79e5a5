package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// defaultSegmentBytes is the size past which a segment is closed unless Options sets another.
const defaultSegmentBytes = 64 << 20

// ErrClosed is returned by the calls of a Store or GroupCommitter that has been closed.
var ErrClosed = errors.New("the store is closed")

// Options configure a Store. The zero value is ready for use.
type Options struct {
	FS           FS    // nil: the machine's file system
	SegmentBytes int64 // a segment larger than this is followed by a new one; 0: 64 MiB
}

// Store is an open store. It is used by one goroutine at a time.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         io.Closer
	active       File // the segment that records are appended to
	activeBytes  int64
	segments     []segment // oldest first; the last one is active
	nextSeq      uint64
	unsynced     bool // something was appended since the last sync marker
	snapshotPath string
	tornTail     *TornTail
	failure      error // why every further call fails
	buffer       []byte
}

// Open opens the store in a directory, and creates one where there is none. It calls
// snapshot once, if there is a snapshot, and then replay with every record after it. The
// bytes passed to either stay valid.
//
// It fails with ErrLocked while another process has the directory open, and with a
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
		return nil, fmt.Errorf("making the store's directory: %w", err)
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

// load reads the directory, passes its content on and makes the log ready for appending.
func (s *Store) load(snapshot func([]byte) error, replay func(Record) error) error {
	// The directory is read once, and the records must be replayed after the snapshot.
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
				return fmt.Errorf("record %d of the store %s: %w", r.Seq, s.dir, err)
			}
		}
	}
	s.nextSeq, s.segments = found.nextSeq, found.segments
	s.snapshotPath, s.tornTail = found.snapshotPath, found.tornTail
	for _, path := range append(found.leftovers, found.emptySegment) {
		if path != "" {
			if err := s.fs.Remove(path); err != nil {
				return fmt.Errorf("clearing the store: %w", err)
			}
		}
	}
	return s.resume(found)
}

// resume opens the last segment for appending, or starts the first one.
func (s *Store) resume(found *scanResult) error {
	if len(s.segments) == 0 {
		return s.startSegment()
	}
	last := s.segments[len(s.segments)-1]
	var err error
	if s.active, err = s.fs.Open(last.path); err != nil {
		return fmt.Errorf("opening the store: %w", err)
	}
	s.activeBytes = last.bytes
	s.unsynced = true
	if last.nextSeq < s.nextSeq {
		// The segment's end is missing, but the snapshot holds it: nothing is lost, and no record may
		// follow in this file.
		return errors.Join(s.startSegment(), s.Sync())
	}
	if s.tornTail != nil && found.emptySegment == "" {
		if err := s.active.Truncate(last.bytes); err != nil {
			return fmt.Errorf("cutting off what was torn: %w", err)
		}
	}
	// What was found and not synced before the last exit may be sent to others from now on, so it must
	// be durable from now on.
	return s.Sync()
}

// TornTail returns the unacknowledged end of the log that Open cut off, or nil.
func (s *Store) TornTail() *TornTail { return s.tornTail }

// fail makes every further call return err, or the first such error.
func (s *Store) fail(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return s.failure
}

// Close syncs and closes the store. Closing it again does nothing.
func (s *Store) Close() error {
	if errors.Is(s.failure, ErrClosed) {
		return nil
	}
	err := s.failure
	if err == nil {
		if err = s.Sync(); err == nil {
			err = s.active.Sync() // the last sync marker
		}
	}
	err = errors.Join(err, s.active.Close(), s.lock.Close())
	s.failure = ErrClosed
	return err
}
