package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The format, version 1. Numbers are little-endian.
//
// A segment's file name is the sequence number of its first record in 20 digits, and
// ".log". The segment begins with a header:
//
//	8 bytes   "MOORSLOG"
//	4 bytes   version
//	8 bytes   the sequence number of its first record
//	4 bytes   CRC32C of the preceding 20 bytes
//
// and continues with records:
//
//	4 bytes   CRC32C of the rest of the record
//	4 bytes   the payload's length
//	8 bytes   the sequence number
//	1 byte    kind; 0 is a sync marker
//	3 bytes   zero
//	          the payload
//
// A sync marker (a "seal" in the output of `moorstack store check`) has no payload and the
// sequence number of the next record. One is written after each sync, which shows that
// everything before it was durable: an invalid record before a marker is damage, and an
// invalid record that no marker follows is a write that was never acknowledged.
//
// A snapshot's file name is the sequence number of the first record after it in 20 digits,
// and ".snap". The snapshot consists of "MOORSNAP", the version, that sequence number, the
// payload's length (8 bytes), CRC32C of the payload, CRC32C of the preceding 32 bytes, and
// the payload.
const (
	formatVersion = 1
	segmentMagic  = "MOORSLOG"
	snapshotMagic = "MOORSNAP"

	magicBytes          = 8
	segmentHeaderBytes  = 24
	snapshotHeaderBytes = 36
	recordHeaderBytes   = 20

	versionOffset     = magicBytes // in the headers of segments and snapshots
	segmentSeqOffset  = 12
	segmentCRCOffset  = 20
	snapshotSeqOffset = 12
	payloadLenOffset  = 20 // this and the next two are in a snapshot's header
	payloadCRCOffset  = 28
	snapshotCRCOffset = 32

	lengthOffset = 4 // this and the next two are in a record's header
	seqOffset    = 8
	kindOffset   = 16

	// maxRecordBytes is the maximum length of a record's payload.
	maxRecordBytes = 64 << 20

	// kindSyncMarker is the kind of sync markers, which only the store itself writes.
	kindSyncMarker = 0
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is an entry of the log: the caller's data with a kind and a sequence number.
type Record struct {
	Seq  uint64 // assigned by the store
	Kind uint8  // defined by the caller; at least 1
	Data []byte
}

func appendRecord(b []byte, seq uint64, kind uint8, data []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(data)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = append(b, kind, 0, 0, 0)
	b = append(b, data...)
	binary.LittleEndian.PutUint32(b[start:], crc32.Checksum(b[start+lengthOffset:], castagnoli))
	return b
}

// parseRecord parses the record at the start of b. If there is no valid record, it returns the reason.
func parseRecord(b []byte) (r Record, size int, reason string) {
	if len(b) < recordHeaderBytes {
		return r, 0, "the record's header is incomplete"
	}
	length := binary.LittleEndian.Uint32(b[lengthOffset:])
	if length > maxRecordBytes || !allZero(b[kindOffset+1:recordHeaderBytes]) {
		return r, 0, "the record's header is invalid"
	}
	size = recordHeaderBytes + int(length)
	if len(b) < size {
		return r, 0, "the record is incomplete"
	}
	if crc32.Checksum(b[lengthOffset:size], castagnoli) != binary.LittleEndian.Uint32(b) {
		return r, 0, "the record's checksum is wrong"
	}
	return Record{
		Seq:  binary.LittleEndian.Uint64(b[seqOffset:]),
		Kind: b[kindOffset],
		Data: b[recordHeaderBytes:size:size],
	}, size, ""
}

func allZero(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}

func appendSegmentHeader(b []byte, firstSeq uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, firstSeq)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// parseSegmentHeader parses the segment header at the start of b. If there is no valid header, it returns the
// reason.
func parseSegmentHeader(b []byte) (firstSeq uint64, reason string) {
	if len(b) < segmentHeaderBytes {
		return 0, "the segment's header is incomplete"
	}
	if string(b[:magicBytes]) != segmentMagic {
		return 0, "the file is not a segment of a store"
	}
	if crc32.Checksum(b[:segmentCRCOffset], castagnoli) != binary.LittleEndian.Uint32(b[segmentCRCOffset:]) {
		return 0, "the checksum of the segment's header is wrong"
	}
	if reason := versionMismatch(b); reason != "" {
		return 0, reason
	}
	return binary.LittleEndian.Uint64(b[segmentSeqOffset:]), ""
}

// versionMismatch returns an empty string if the header has the supported format version, and otherwise the
// reason why the file can't be read.
func versionMismatch(header []byte) string {
	if v := binary.LittleEndian.Uint32(header[versionOffset:]); v != formatVersion {
		return fmt.Sprintf("the format version is %d, this program supports only %d", v, formatVersion)
	}
	return ""
}

func appendSnapshot(b []byte, nextSeq uint64, data []byte) []byte {
	start := len(b)
	b = append(b, snapshotMagic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, nextSeq)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(data, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, data...)
}

// parseSnapshot parses the content of a snapshot file. If it is invalid, parseSnapshot returns the reason and
// the offset of the problem.
func parseSnapshot(b []byte) (nextSeq uint64, data []byte, offset int64, reason string) {
	if len(b) < snapshotHeaderBytes {
		return 0, nil, 0, "the snapshot's header is incomplete"
	}
	if string(b[:magicBytes]) != snapshotMagic {
		return 0, nil, 0, "the file is not a snapshot of a store"
	}
	if crc := crc32.Checksum(b[:snapshotCRCOffset], castagnoli); crc !=
		binary.LittleEndian.Uint32(b[snapshotCRCOffset:]) {
		return 0, nil, 0, "the checksum of the snapshot's header is wrong"
	}
	if reason := versionMismatch(b); reason != "" {
		return 0, nil, versionOffset, reason
	}
	data = b[snapshotHeaderBytes:]
	if n := binary.LittleEndian.Uint64(b[payloadLenOffset:]); n != uint64(len(data)) {
		return 0, nil, snapshotHeaderBytes, fmt.Sprintf("the snapshot's payload has %d bytes, want %d",
			len(data), n)
	}
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(b[payloadCRCOffset:]) {
		return 0, nil, snapshotHeaderBytes, "the checksum of the snapshot's payload is wrong"
	}
	return binary.LittleEndian.Uint64(b[snapshotSeqOffset:]), data, 0, ""
}
