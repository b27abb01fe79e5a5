package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// The files of a store's directory.
const (
	lockFile        = "LOCK"
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	seqDigits       = 20 // of the sequence number that a file is named by
)

// CorruptError reports where a store is damaged. A damaged store does not open: to continue
// without what was acknowledged would be a silent loss.
type CorruptError struct {
	File   string
	Offset int64 // in bytes, from the file's start
	Reason string
}

// Error names the file, the byte and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// TornTail is an end of the log that was written but never acknowledged.
type TornTail struct {
	File   string
	Offset int64 // in bytes, from the file's start
	Bytes  int64 // that were cut off
	Reason string
}

// String names the file, the bytes and the reason.
func (t *TornTail) String() string {
	return fmt.Sprintf("%s: %d bytes from byte %d on were never acknowledged (%s)", t.File, t.Bytes, t.Offset,
		t.Reason)
}

// scanResult is what a scan finds in a directory.
type scanResult struct {
	snapshot     []byte
	hasSnapshot  bool
	snapshotSeq  uint64 // the first record that the snapshot does not hold
	snapshotPath string
	segments     []segment
	nextSeq      uint64 // the sequence number of the next record
	records      int    // that the snapshot does not hold
	bytes        int64
	syncMarkers  int
	tornTail     *TornTail
	emptySegment string   // a last segment that holds no record, and is to be removed
	leftovers    []string // files of writes that were interrupted
}

// scanner reads one directory.
type scanner struct {
	scanResult
	fs    FS
	dir   string
	visit func(Record) // called with each record that the snapshot does not hold; may be nil
}

// scanDir reads and verifies a whole store, and changes nothing.
func scanDir(fs FS, dir string, visit func(Record)) (*scanResult, error) {
	names, err := fs.ListFiles(dir)
	if err != nil {
		return nil, fmt.Errorf("reading the store %s: %w", dir, err)
	}
	slices.Sort(names)
	s := &scanner{scanResult: scanResult{nextSeq: 1}, fs: fs, dir: dir, visit: visit}
	var segments, snapshots []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			s.leftovers = append(s.leftovers, filepath.Join(dir, name))
		case isNumbered(name, segmentSuffix):
			segments = append(segments, name)
		case isNumbered(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		}
	}
	if err := s.readSnapshots(snapshots); err != nil {
		return nil, err
	}
	if err := s.readSegments(segments); err != nil {
		return nil, err
	}
	return &s.scanResult, nil
}

// readSnapshots reads the newest snapshot. Older ones are there only until they have been removed.
func (s *scanner) readSnapshots(names []string) error {
	if len(names) == 0 {
		return nil
	}
	newest := names[len(names)-1]
	path := filepath.Join(s.dir, newest)
	raw, err := s.fs.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the store: %w", err)
	}
	nextSeq, data, offset, reason := parseSnapshot(raw)
	if reason == "" && nextSeq != seqOf(newest) {
		offset, reason = snapshotSeqOffset, "the snapshot's number is not its name's"
	}
	if reason != "" {
		return &CorruptError{path, offset, reason}
	}
	s.snapshot, s.hasSnapshot, s.snapshotPath = data, true, path
	s.snapshotSeq, s.nextSeq = nextSeq, nextSeq
	s.bytes += int64(len(raw))
	for _, name := range names[:len(names)-1] {
		s.leftovers = append(s.leftovers, filepath.Join(s.dir, name))
	}
	return nil
}

func (s *scanner) readSegments(names []string) error {
	for i, name := range names {
		last := i == len(names)-1
		if !last && seqOf(names[i+1]) <= s.snapshotSeq {
			// The snapshot holds all of it: its removal was interrupted.
			s.leftovers = append(s.leftovers, filepath.Join(s.dir, name))
			continue
		}
		if err := s.readSegment(name, last); err != nil {
			return err
		}
	}
	return nil
}

// readSegment reads one file of the log.
func (s *scanner) readSegment(name string, last bool) error {
	path := filepath.Join(s.dir, name)
	b, err := s.fs.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the store: %w", err)
	}
	firstSeq, reason := parseSegmentHeader(b)
	if reason != "" {
		if last && len(b) <= segmentHeaderBytes {
			// Hazard: it was being created when the process ended. Nothing in it was
			// acknowledged, for a segment's header is synced before its first record.
			s.emptySegment = path
			s.tornTail = &TornTail{path, 0, int64(len(b)), reason}
			return nil
		}
		return &CorruptError{path, 0, reason}
	}
	if firstSeq != seqOf(name) {
		return &CorruptError{path, segmentSeqOffset, "the segment's number is not its name's"}
	}
	if last && len(b) == segmentHeaderBytes && firstSeq < s.nextSeq {
		// Its creation failed and the segment before stayed active.
		s.emptySegment = path
		return nil
	}
	if reason := s.gapBefore(firstSeq); reason != "" {
		return &CorruptError{path, 0, reason}
	}
	return s.readRecords(path, b, firstSeq, last)
}

// gapBefore reports why a segment with that first record can't follow what has been read.
func (s *scanner) gapBefore(firstSeq uint64) string {
	switch {
	case len(s.segments) == 0 && firstSeq > s.nextSeq:
		return fmt.Sprintf("the log begins with record %d, wanted is %d: a file is missing",
			firstSeq, s.nextSeq)
	case len(s.segments) > 0 && firstSeq != s.nextSeq:
		return fmt.Sprintf("the segment begins with record %d, wanted is %d", firstSeq, s.nextSeq)
	}
	return ""
}

// readRecords reads the records of a segment's content, up to a torn tail.
func (s *scanner) readRecords(path string, b []byte, firstSeq uint64, last bool) error {
	seq, offset := firstSeq, segmentHeaderBytes
	for offset < len(b) {
		r, size, reason := parseRecord(b[offset:])
		if reason == "" && r.Seq != seq {
			reason = fmt.Sprintf("it is record %d where %d is due", r.Seq, seq)
		}
		if reason != "" {
			if !last || syncMarkerFollows(b[offset:], seq) {
				return &CorruptError{path, int64(offset), reason}
			}
			s.tornTail = &TornTail{path, int64(offset), int64(len(b) - offset), reason}
			break
		}
		offset += size
		if r.Kind == kindSyncMarker {
			s.syncMarkers++
			continue
		}
		seq++
		if r.Seq >= s.snapshotSeq {
			s.records++
			if s.visit != nil {
				s.visit(r)
			}
		}
	}
	s.segments = append(s.segments, segment{path, firstSeq, seq, int64(offset)})
	s.nextSeq, s.bytes = max(s.nextSeq, seq), s.bytes+int64(offset)
	return nil
}

// syncMarkerFollows searches behind a bad record for a sync marker that was written later. If there is
// one, the bad record had been acknowledged and is damaged. Other records prove nothing: of a group that
// was being written when the power failed, the end may be on disk and the beginning not.
func syncMarkerFollows(b []byte, seq uint64) bool {
	for i := 1; i+recordHeaderBytes <= len(b); i++ {
		if !zero(b[i+kindOffset : i+recordHeaderBytes]) {
			continue // no marker: its kind is 0, and so are the bytes after
		}
		r, _, reason := parseRecord(b[i:])
		if reason == "" && r.Seq > seq && r.Seq-seq <= uint64(len(b)) {
			return true
		}
	}
	return false
}

// isNumbered reports whether a file is named by a sequence number and the suffix.
func isNumbered(name, suffix string) bool {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != seqDigits {
		return false
	}
	_, err := strconv.ParseUint(digits, 10, 64)
	return err == nil
}

// seqOf returns the sequence number in a name that isNumbered.
func seqOf(name string) uint64 {
	seq, _ := strconv.ParseUint(name[:seqDigits], 10, 64)
	return seq
}
