package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// The names of the files in a store's directory.
const (
	lockFile        = "LOCK"
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	seqDigits       = 20 // of the sequence number in a file's name
)

// CorruptError reports that acknowledged data in a store is damaged. A damaged store can't be
// opened, because continuing without that data would be a silent loss.
type CorruptError struct {
	File   string
	Offset int64 // in bytes, from the file's start
	Reason string
}

// Error names the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// TornTail describes an end of the log that was only partly written and never acknowledged.
type TornTail struct {
	File   string
	Offset int64 // in bytes, from the file's start
	Bytes  int64 // number of bytes from Offset to the end of the file
	Reason string
}

// String names the file, the length, the offset and the reason.
func (t *TornTail) String() string {
	return fmt.Sprintf("%s: %d bytes from byte %d on were never acknowledged (%s)", t.File, t.Bytes, t.Offset,
		t.Reason)
}

// scanResult is the result of scanning a directory.
type scanResult struct {
	snapshot     []byte
	hasSnapshot  bool
	snapshotSeq  uint64 // of the first record after the snapshot
	snapshotPath string
	segments     []segment
	nextSeq      uint64 // the sequence number of the next record
	records      int    // number of records after the snapshot
	bytes        int64
	syncMarkers  int
	tornTail     *TornTail
	emptySegment string   // the last segment, if it holds no records and should be removed
	leftovers    []string // files left by interrupted writes or removals
}

// scanner scans one directory.
type scanner struct {
	scanResult
	fs    FS
	dir   string
	visit func(Record) // called with each record after the snapshot; may be nil
}

// scanDir reads and verifies a whole store without changing it.
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

// readSnapshots reads the newest snapshot. Older ones are leftovers whose removal was interrupted.
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
	if reason == "" && nextSeq != seqFromName(newest) {
		offset, reason = snapshotSeqOffset, "the snapshot's sequence number differs from its name"
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
		if !last && seqFromName(names[i+1]) <= s.snapshotSeq {
			// The snapshot covers the whole segment, whose removal was interrupted.
			s.leftovers = append(s.leftovers, filepath.Join(s.dir, name))
			continue
		}
		if err := s.readSegment(name, last); err != nil {
			return err
		}
	}
	return nil
}

// readSegment verifies one segment and reads its records.
func (s *scanner) readSegment(name string, last bool) error {
	path := filepath.Join(s.dir, name)
	b, err := s.fs.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the store: %w", err)
	}
	firstSeq, reason := parseSegmentHeader(b)
	if reason != "" {
		if last && len(b) <= segmentHeaderBytes {
			// The process ended while it created the segment. The segment holds no acknowledged
			// data, because the header is synced before the first record is written.
			s.emptySegment = path
			s.tornTail = &TornTail{path, 0, int64(len(b)), reason}
			return nil
		}
		return &CorruptError{path, 0, reason}
	}
	if firstSeq != seqFromName(name) {
		return &CorruptError{path, segmentSeqOffset, "the segment's sequence number differs from its name"}
	}
	if last && len(b) == segmentHeaderBytes && firstSeq < s.nextSeq {
		// Its creation failed, and the previous segment stayed active.
		s.emptySegment = path
		return nil
	}
	if reason := s.gapBefore(firstSeq); reason != "" {
		return &CorruptError{path, 0, reason}
	}
	return s.readRecords(path, b, firstSeq, last)
}

// gapBefore returns an empty string if a segment with the given first record continues the log that has been
// read, and otherwise the reason why it does not.
func (s *scanner) gapBefore(firstSeq uint64) string {
	switch {
	case len(s.segments) == 0 && firstSeq > s.nextSeq:
		return fmt.Sprintf("the log begins with record %d, want %d: a file is missing",
			firstSeq, s.nextSeq)
	case len(s.segments) > 0 && firstSeq != s.nextSeq:
		return fmt.Sprintf("the segment begins with record %d, want %d", firstSeq, s.nextSeq)
	}
	return ""
}

// readRecords reads the records of a segment up to its end or a torn tail.
func (s *scanner) readRecords(path string, b []byte, firstSeq uint64, last bool) error {
	seq, offset := firstSeq, segmentHeaderBytes
	for offset < len(b) {
		r, size, reason := parseRecord(b[offset:])
		if reason == "" && r.Seq != seq {
			reason = fmt.Sprintf("the record has sequence number %d, want %d", r.Seq, seq)
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

// syncMarkerFollows reports whether b, which begins with an invalid record, contains a later sync marker. If
// so, the invalid record had been acknowledged and is damaged. Other valid records do not show that: if the
// power fails while a batch is being written, its end may reach the disk without its beginning.
func syncMarkerFollows(b []byte, seq uint64) bool {
	for i := 1; i+recordHeaderBytes <= len(b); i++ {
		if !allZero(b[i+kindOffset : i+recordHeaderBytes]) {
			continue // not a marker: its kind and the three bytes after it are 0
		}
		r, _, reason := parseRecord(b[i:])
		if reason == "" && r.Seq > seq && r.Seq-seq <= uint64(len(b)) {
			return true
		}
	}
	return false
}

// isNumbered reports whether a file name consists of a sequence number and the suffix.
func isNumbered(name, suffix string) bool {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != seqDigits {
		return false
	}
	_, err := strconv.ParseUint(digits, 10, 64)
	return err == nil
}

// seqFromName returns the sequence number in a file name for which isNumbered is true.
func seqFromName(name string) uint64 {
	seq, _ := strconv.ParseUint(name[:seqDigits], 10, 64)
	return seq
}
