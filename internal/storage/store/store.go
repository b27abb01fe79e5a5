// Package store keeps what must outlive a process: a log of records and a snapshot that
// takes the place of its beginning.
//
// The contract:
//
//   - Append writes records; they are durable once a later Sync has returned nil, and
//     nothing may be acknowledged before. Several appends may share one sync.
//   - Open gives back all that was durable, in order, and perhaps more that was written
//     and not synced yet, but never a part of a record and never one without those
//     before it. A log whose end was cut short in writing loses that end, and the Store
//     says so. Any other damage fails Open with a CorruptError that names the file and
//     the byte.
//   - Snapshot replaces all records appended before it. It is durable when it returns.
//   - After an error of Append the log is as it was before, and the caller may go on,
//     say when the disk has room again. After an error of Sync, nobody knows what the
//     disk holds, and every further call fails: the process must end and open anew.
//   - One process has a directory at a time.
//
// A Store is used by one goroutine at a time. Group lets many share it.
package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

// Options are how a store is opened. The zero Options are fit for use.
type Options struct {
	FS           FS    // the machine's, if nil
	SegmentBytes int64 // a segment that has grown past this is followed by a new one; 64 MiB, if 0
}

// Store is an open store.
type Store struct {
	fs       FS
	dir      string
	max      int64
	lock     io.Closer
	log      File
	segments []segment
	next     uint64
	written  int64 // bytes in the last segment that are whole records
	unsealed bool  // something was appended since the last seal
	snap     string
	tear     *TornTail
	broken   error
	buf      []byte
}

// ErrClosed is the answer of a store that was closed.
var ErrClosed = errors.New("the store is closed")

// Open opens the store in a directory, and makes one where there is none. It calls
// snapshot once, if there is one, and then each with every record after it. What each is
// given stays good.
func Open(dir string, o Options, snapshot func([]byte) error, each func(Record) error) (*Store, error) {
	s := &Store{fs: o.FS, dir: dir, max: o.SegmentBytes}
	if s.fs == nil {
		s.fs = OS{}
	}
	if s.max <= 0 {
		s.max = 64 << 20
	}
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("making the store's directory: %w", err)
	}
	var err error
	if s.lock, err = s.fs.Lock(filepath.Join(dir, "LOCK")); err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	if err = s.open(snapshot, each); err != nil {
		s.lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(snapshot func([]byte) error, each func(Record) error) error {
	// The records must come after the snapshot, and the walk is made once.
	var records []Record
	w, err := walk(s.fs, s.dir, func(r Record) error {
		records = append(records, r)
		return nil
	})
	if err != nil {
		return err
	}
	if w.hasSnapshot && snapshot != nil {
		if err := snapshot(w.snapshot); err != nil {
			return &CorruptError{w.snapshotFile, snapHeader, err.Error()}
		}
	}
	for _, r := range records {
		if each != nil {
			if err := each(r); err != nil {
				return fmt.Errorf("record %d of the store %s: %w", r.Seq, s.dir, err)
			}
		}
	}
	s.next, s.segments, s.snap, s.tear = w.next, w.segments, w.snapshotFile, w.tear
	for _, path := range append(w.leftovers, w.emptyTail) {
		if path != "" {
			if err := s.fs.Remove(path); err != nil {
				return fmt.Errorf("clearing the store: %w", err)
			}
		}
	}
	if len(s.segments) == 0 {
		return s.begin()
	}
	last := s.segments[len(s.segments)-1]
	if s.log, err = s.fs.Open(last.path); err != nil {
		return fmt.Errorf("opening the store: %w", err)
	}
	s.written = last.size
	if last.end < s.next {
		// Its end is missing, but in the snapshot: nothing is lost, and no record may follow.
		s.unsealed = true
		return errors.Join(s.begin(), s.Sync())
	}
	if s.tear != nil && w.emptyTail == "" {
		if err := s.log.Truncate(last.size); err != nil {
			return fmt.Errorf("cutting off what was torn: %w", err)
		}
	}
	// What was found and not synced before the last end may be told to others from now
	// on, so it must be durable from now on.
	s.unsealed = true
	return s.Sync()
}

// TornTail is what was cut off at Open, or nil.
func (s *Store) TornTail() *TornTail { return s.tear }

// NextSeq is the sequence number of the next record.
func (s *Store) NextSeq() uint64 { return s.next }

// LogBytes is the size of the log's files, without the snapshot.
func (s *Store) LogBytes() int64 {
	n := s.written
	for _, g := range s.segments[:len(s.segments)-1] {
		n += g.size
	}
	return n
}

// begin makes a new segment. Its head is durable before its first record is written.
func (s *Store) begin() error {
	if n := len(s.segments); n > 0 && s.segments[n-1].first == s.next && s.log != nil {
		return s.fs.SyncDir(s.dir) // there is nothing in it yet
	}
	if s.log != nil {
		// Hazard: the last seal of a segment that others follow must not come short.
		if err := s.log.Sync(); err != nil {
			return s.fail(fmt.Errorf("syncing the store: %w", err))
		}
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d.log", s.next))
	f, err := s.fs.Open(path)
	if err == nil {
		// What an earlier try may have left.
		err = f.Truncate(0)
	}
	if err == nil {
		_, err = f.Write(appendSegmentHeader(nil, s.next))
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		if f != nil {
			f.Close()
			// Hazard: the segment before goes on, and this one would stand in its midst.
			if gone := s.fs.Remove(path); gone != nil {
				return s.fail(errors.Join(err, gone))
			}
		}
		return fmt.Errorf("beginning a segment of the store: %w", err)
	}
	if s.log != nil {
		s.segments[len(s.segments)-1].size = s.written
		if err := s.log.Close(); err != nil {
			return s.fail(fmt.Errorf("ending a segment of the store: %w", err))
		}
	}
	s.log, s.written = f, segmentHeader
	s.segments = append(s.segments, segment{path: path, first: s.next, size: segmentHeader})
	return nil
}

// fail makes the store useless and says why.
func (s *Store) fail(err error) error {
	if s.broken == nil {
		s.broken = err
	}
	return s.broken
}

// Append writes records and gives the sequence number of the first. On an error none of
// them is in the log.
func (s *Store) Append(records ...Record) (uint64, error) {
	if s.broken != nil {
		return 0, s.broken
	}
	first := s.next
	s.buf = s.buf[:0]
	for i, r := range records {
		if r.Kind == seal || len(r.Data) > MaxRecordBytes {
			return 0, fmt.Errorf(
				"store: a record of kind %d with %d bytes can't be kept",
				r.Kind,
				len(r.Data),
			)
		}
		s.buf = appendRecord(s.buf, first+uint64(i), r.Kind, r.Data)
	}
	if err := s.write(s.buf); err != nil {
		return 0, err
	}
	s.next += uint64(len(records))
	s.unsealed = s.unsealed || len(records) > 0
	if cap(s.buf) > 1<<20 {
		s.buf = nil // one large record must not be paid for ever
	}
	return first, nil
}

// write adds whole records to the log or leaves it as it was.
func (s *Store) write(b []byte) error {
	n, err := s.log.Write(b)
	if err == nil && n == len(b) {
		s.written += int64(n)
		return nil
	}
	if err == nil {
		err = io.ErrShortWrite
	}
	err = fmt.Errorf("writing to the store: %w", err)
	// Hazard: the part that was written would stand before the next record.
	if cut := s.log.Truncate(s.written); cut != nil {
		return s.fail(errors.Join(err, fmt.Errorf("and taking it back: %w", cut)))
	}
	return err
}

// Sync makes all that was appended durable.
func (s *Store) Sync() error {
	if s.broken != nil {
		return s.broken
	}
	if !s.unsealed {
		return nil
	}
	// Hazard: after a failed sync the kernel may have dropped what was not written, and a
	// second one would report success.
	if err := s.log.Sync(); err != nil {
		return s.fail(fmt.Errorf("syncing the store: %w", err))
	}
	s.unsealed = false
	// The seal needs no sync of its own: it only helps to tell damage from a torn end.
	// Without room for it that help is missing, and nothing else.
	if err := s.write(appendRecord(nil, s.next, seal, nil)); err != nil && s.broken != nil {
		return s.broken
	}
	if s.written > s.max {
		// There is no need for a new segment now; where it can't be made, the next sync tries.
		if err := s.begin(); err != nil && s.broken != nil {
			return s.broken
		}
	}
	return nil
}

// WriteSnapshot puts data in the place of all records appended so far.
func (s *Store) WriteSnapshot(data []byte) error {
	if err := s.Sync(); err != nil {
		return err
	}
	path := filepath.Join(s.dir, fmt.Sprintf("%020d.snap", s.next))
	if path == s.snap {
		return nil // nothing has been appended since
	}
	if err := s.replace(path, appendSnapshot(nil, s.next, data)); err != nil {
		return fmt.Errorf("writing a snapshot of the store: %w", err)
	}
	old, segments := s.snap, s.segments
	s.snap = path
	if err := s.begin(); err != nil {
		if s.broken != nil {
			return s.broken
		}
		return err // the snapshot stands; the old files are dropped by the next one
	}
	// Hazard: the new names must be durable before the old ones go. begin has seen to that.
	s.segments = s.segments[len(s.segments)-1:]
	for _, g := range segments {
		if g.path == s.segments[0].path {
			continue
		}
		if err := s.fs.Remove(g.path); err != nil {
			return fmt.Errorf("dropping a segment of the store: %w", err)
		}
	}
	if old != "" {
		if err := s.fs.Remove(old); err != nil {
			return fmt.Errorf("dropping a snapshot of the store: %w", err)
		}
	}
	return nil
}

// replace writes a whole file that is there with all its content or not at all.
func (s *Store) replace(path string, content []byte) error {
	tmp := path + ".tmp"
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

// Close syncs and closes the store.
func (s *Store) Close() error {
	if errors.Is(s.broken, ErrClosed) {
		return nil
	}
	err := s.broken
	if err == nil {
		if err = s.Sync(); err == nil {
			err = s.log.Sync() // the last seal
		}
	}
	err = errors.Join(err, s.log.Close(), s.lock.Close())
	s.broken = ErrClosed
	return err
}
