package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The format, version 1. Numbers are little-endian.
//
// A segment is named by the sequence number of its first record, in 20 digits and
// ".log". It begins with a header:
//
//	8 bytes   "MOORSLOG"
//	4 bytes   version
//	8 bytes   the sequence number of its first record
//	4 bytes   CRC32C of the 20 bytes before
//
// and continues with records:
//
//	4 bytes   CRC32C of all that follows
//	4 bytes   the payload's length
//	8 bytes   the sequence number
//	1 byte    kind; 0 is a sync marker
//	3 bytes   zero
//	          the payload
//
// A sync marker (a "seal" in what `moorstack store check` prints) has no payload and the
// sequence number of the next record. One is written after each sync, so that what stands
// before it is known to have been durable: a bad record before a marker is damage, one that
// no marker follows is a write that was never acknowledged.
//
// A snapshot is named by the sequence number of the first record that it does not
// hold, and ".snap": "MOORSNAP", version, that number, the payload's length (8 bytes),
// CRC32C of the payload, CRC32C of the 32 bytes before, the payload.
const (
	formatVersion = 1
	segmentMagic  = "MOORSLOG"
	snapshotMagic = "MOORSNAP"

	magicBytes          = 8
	segmentHeaderBytes  = 24
	snapshotHeaderBytes = 36
	recordHeaderBytes   = 20

	versionOffset     = magicBytes // in both headers
	segmentSeqOffset  = 12
	segmentCRCOffset  = 20
	snapshotSeqOffset = 12
	payloadLenOffset  = 20 // in a snapshot's header, as the two after it
	payloadCRCOffset  = 28
	snapshotCRCOffset = 32

	lengthOffset = 4 // in a record's header, as the two after it
	seqOffset    = 8
	kindOffset   = 16

	// maxRecordBytes is the largest payload of a record, in bytes.
	maxRecordBytes = 64 << 20

	// kindSyncMarker is the kind of the records that the store writes itself.
	kindSyncMarker = 0
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is an entry of the log.
type Record struct {
	Seq  uint64 // assigned by the store
	Kind uint8  // the caller's, from 1 on
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

// parseRecord reads the record at the start of b. A reason that is not empty reports why there is none.
func parseRecord(b []byte) (r Record, size int, reason string) {
	if len(b) < recordHeaderBytes {
		return r, 0, "the record's head is cut short"
	}
	length := binary.LittleEndian.Uint32(b[lengthOffset:])
	if length > maxRecordBytes || !zero(b[kindOffset+1:recordHeaderBytes]) {
		return r, 0, "the record's head makes no sense"
	}
	size = recordHeaderBytes + int(length)
	if len(b) < size {
		return r, 0, "the record is cut short"
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

func zero(b []byte) bool {
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

// parseSegmentHeader reads the header at the start of b. A reason that is not empty reports why there is
// none.
func parseSegmentHeader(b []byte) (firstSeq uint64, reason string) {
	if len(b) < segmentHeaderBytes {
		return 0, "the segment's head is cut short"
	}
	if string(b[:magicBytes]) != segmentMagic {
		return 0, "this is no segment of a store"
	}
	if crc32.Checksum(b[:segmentCRCOffset], castagnoli) != binary.LittleEndian.Uint32(b[segmentCRCOffset:]) {
		return 0, "the segment head's checksum is wrong"
	}
	if reason := wrongVersion(b); reason != "" {
		return 0, reason
	}
	return binary.LittleEndian.Uint64(b[segmentSeqOffset:]), ""
}

// wrongVersion reports why a file with this header can't be read; empty: it can.
func wrongVersion(header []byte) string {
	if v := binary.LittleEndian.Uint32(header[versionOffset:]); v != formatVersion {
		return fmt.Sprintf("its format is version %d, this program reads version %d", v, formatVersion)
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

// parseSnapshot reads a snapshot file. A reason that is not empty reports what is wrong with it, at which
// offset.
func parseSnapshot(b []byte) (nextSeq uint64, data []byte, offset int64, reason string) {
	if len(b) < snapshotHeaderBytes {
		return 0, nil, 0, "the snapshot's head is cut short"
	}
	if string(b[:magicBytes]) != snapshotMagic {
		return 0, nil, 0, "this is no snapshot of a store"
	}
	if crc := crc32.Checksum(b[:snapshotCRCOffset], castagnoli); crc !=
		binary.LittleEndian.Uint32(b[snapshotCRCOffset:]) {
		return 0, nil, 0, "the snapshot head's checksum is wrong"
	}
	if reason := wrongVersion(b); reason != "" {
		return 0, nil, versionOffset, reason
	}
	data = b[snapshotHeaderBytes:]
	if n := binary.LittleEndian.Uint64(b[payloadLenOffset:]); n != uint64(len(data)) {
		return 0, nil, snapshotHeaderBytes, fmt.Sprintf("the snapshot has %d bytes of %d", len(data), n)
	}
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(b[payloadCRCOffset:]) {
		return 0, nil, snapshotHeaderBytes, "the snapshot's checksum is wrong"
	}
	return binary.LittleEndian.Uint64(b[snapshotSeqOffset:]), data, 0, ""
}
