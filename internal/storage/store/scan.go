package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// CorruptError says where a store is damaged. A store that is damaged does not open:
// to go on without what was acknowledged would be a silent loss.
type CorruptError struct {
	File   string
	Offset int64 // in bytes, from the file's start
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// TornTail is an end of the log that was written and never acknowledged.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64 // that were cut off
	Reason string
}

func (t *TornTail) String() string {
	return fmt.Sprintf(
		"%s: %d bytes from byte %d on were never acknowledged (%s)",
		t.File,
		t.Bytes,
		t.Offset,
		t.Reason,
	)
}

// segment is a file of the log as it was found.
type segment struct {
	path  string
	first uint64
	end   uint64 // as found at Open: the record that would come next in it
	size  int64  // of what is valid
}

// found is what a walk over a directory finds.
type found struct {
	snapshot     []byte
	hasSnapshot  bool
	snapshotSeq  uint64 // the first record that the snapshot does not hold
	snapshotFile string
	segments     []segment
	next         uint64 // the sequence number of the next record
	records      int
	bytes        int64
	seals        int
	tear         *TornTail
	emptyTail    string   // a last segment whose head was torn: it holds nothing
	leftovers    []string // files of writes that never came to their end
}

// walk reads a whole store, calls each record that the snapshot does not hold, and
// changes nothing.
func walk(fs FS, dir string, each func(Record) error) (*found, error) {
	names, err := fs.ListFiles(dir)
	if err != nil {
		return nil, fmt.Errorf("reading the store %s: %w", dir, err)
	}
	slices.Sort(names)
	w := &found{next: 1}
	var logs, snaps []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, ".tmp"):
			w.leftovers = append(w.leftovers, filepath.Join(dir, name))
		case numbered(name, ".log"):
			logs = append(logs, name)
		case numbered(name, ".snap"):
			snaps = append(snaps, name)
		}
	}
	// Older snapshots are only there until they have been removed.
	if n := len(snaps); n > 0 {
		w.snapshotFile = filepath.Join(dir, snaps[n-1])
		raw, err := fs.ReadFile(w.snapshotFile)
		if err != nil {
			return nil, fmt.Errorf("reading the store: %w", err)
		}
		next, data, at, reason := parseSnapshot(raw)
		if reason == "" && next != number(snaps[n-1]) {
			at, reason = 12, "the snapshot's number is not its name's"
		}
		if reason != "" {
			return nil, &CorruptError{w.snapshotFile, at, reason}
		}
		w.snapshot, w.hasSnapshot, w.snapshotSeq, w.next = data, true, next, next
		w.bytes += int64(len(raw))
		for _, name := range snaps[:n-1] {
			w.leftovers = append(w.leftovers, filepath.Join(dir, name))
		}
	}
	for i, name := range logs {
		last := i == len(logs)-1
		if !last && number(logs[i+1]) <= w.snapshotSeq {
			// All of it is in the snapshot: its removal was cut short.
			w.leftovers = append(w.leftovers, filepath.Join(dir, name))
			continue
		}
		if err := w.segment(fs, filepath.Join(dir, name), number(name), last, each); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// segment walks one file of the log.
func (w *found) segment(fs FS, path string, named uint64, last bool, each func(Record) error) error {
	b, err := fs.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the store: %w", err)
	}
	first, reason := parseSegmentHeader(b)
	if reason != "" {
		if last && len(b) <= segmentHeader {
			// Hazard: it was being made when the process ended. Nothing in it was
			// acknowledged, for a segment's head is synced before its first record.
			w.emptyTail = path
			w.tear = &TornTail{path, 0, int64(len(b)), reason}
			return nil
		}
		return &CorruptError{path, 0, reason}
	}
	if first != named {
		return &CorruptError{path, 12, "the segment's number is not its name's"}
	}
	switch {
	case last && len(b) == segmentHeader && first < w.next:
		// Its making failed and the segment before went on.
		w.emptyTail = path
		return nil
	case len(w.segments) == 0 && first > w.next:
		return &CorruptError{
			path,
			0,
			fmt.Sprintf("the log begins with record %d, wanted is %d: a file is missing",
				first, w.next),
		}
	case len(w.segments) > 0 && first != w.next:
		return &CorruptError{
			path,
			0,
			fmt.Sprintf("the segment begins with record %d, wanted is %d", first, w.next),
		}
	}
	seq, at := first, segmentHeader
	for at < len(b) {
		r, size, reason := parseRecord(b[at:])
		if reason == "" && r.Seq != seq {
			reason = fmt.Sprintf("it is record %d where %d is due", r.Seq, seq)
		}
		if reason != "" {
			if !last || follows(b[at:], seq) {
				return &CorruptError{path, int64(at), reason}
			}
			w.tear = &TornTail{path, int64(at), int64(len(b) - at), reason}
			break
		}
		at += size
		if r.Kind == seal {
			w.seals++
			continue
		}
		if seq++; r.Seq >= w.snapshotSeq {
			w.records++
			if each != nil {
				if err := each(r); err != nil {
					return &CorruptError{path, int64(at - size), err.Error()}
				}
			}
		}
	}
	w.segments = append(w.segments, segment{path, first, seq, int64(at)})
	w.next, w.bytes = max(w.next, seq), w.bytes+int64(at)
	return nil
}

// follows looks behind a bad record for a seal that was written later. If there is one,
// the bad record had been acknowledged and is damaged. Other records prove nothing: of
// a group that was being written when the power went, the end may be on disk and the
// beginning not.
func follows(b []byte, seq uint64) bool {
	for i := 1; i+recordHeader <= len(b); i++ {
		if b[i+16]|b[i+17]|b[i+18]|b[i+19] != 0 {
			continue
		}
		if r, _, reason := parseRecord(b[i:]); reason == "" && r.Seq > seq && r.Seq-seq <= uint64(len(b)) {
			return true
		}
	}
	return false
}

func numbered(name, ending string) bool {
	digits, ok := strings.CutSuffix(name, ending)
	if !ok || len(digits) != 20 {
		return false
	}
	_, err := strconv.ParseUint(digits, 10, 64)
	return err == nil
}

func number(name string) uint64 {
	n, _ := strconv.ParseUint(name[:20], 10, 64)
	return n
}
