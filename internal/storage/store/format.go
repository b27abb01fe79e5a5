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
// and goes on with records:
//
//	4 bytes   CRC32C of all that follows
//	4 bytes   the payload's length
//	8 bytes   the sequence number
//	1 byte    kind; 0 is a seal
//	3 bytes   zero
//	          the payload
//
// A seal has no payload and the sequence number of the next record. One is written
// after each sync, so that what stands before it is known to have been durable: a bad
// record before a seal is damage, one that nothing valid follows is a write that was
// never acknowledged.
//
// A snapshot is named by the sequence number of the first record that it does not
// hold, and ".snap": "MOORSNAP", version, that number, the payload's length (8 bytes),
// CRC32C of the payload, CRC32C of the 32 bytes before, the payload.
const (
	version       = 1
	segmentMagic  = "MOORSLOG"
	snapMagic     = "MOORSNAP"
	segmentHeader = 24
	snapHeader    = 36
	recordHeader  = 20

	// MaxRecordBytes is the largest payload of a record, in bytes.
	MaxRecordBytes = 64 << 20

	seal = 0
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is what a store keeps. Kinds are the user's, from 1 on.
type Record struct {
	Seq  uint64 // given by the store
	Kind uint8
	Data []byte
}

func appendRecord(to []byte, seq uint64, kind uint8, data []byte) []byte {
	at := len(to)
	to = append(to, 0, 0, 0, 0)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(data)))
	to = binary.LittleEndian.AppendUint64(to, seq)
	to = append(to, kind, 0, 0, 0)
	to = append(to, data...)
	binary.LittleEndian.PutUint32(to[at:], crc32.Checksum(to[at+4:], castagnoli))
	return to
}

// parseRecord reads the record at the start of b. The reason says why there is none.
func parseRecord(b []byte) (r Record, size int, reason string) {
	if len(b) < recordHeader {
		return r, 0, "the record's head is cut short"
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > MaxRecordBytes || b[17]|b[18]|b[19] != 0 {
		return r, 0, "the record's head makes no sense"
	}
	size = recordHeader + int(length)
	if len(b) < size {
		return r, 0, "the record is cut short"
	}
	if crc32.Checksum(b[4:size], castagnoli) != binary.LittleEndian.Uint32(b) {
		return r, 0, "the record's checksum is wrong"
	}
	return Record{
		Seq:  binary.LittleEndian.Uint64(b[8:]),
		Kind: b[16],
		Data: b[recordHeader:size:size],
	}, size, ""
}

func appendSegmentHeader(to []byte, first uint64) []byte {
	at := len(to)
	to = append(to, segmentMagic...)
	to = binary.LittleEndian.AppendUint32(to, version)
	to = binary.LittleEndian.AppendUint64(to, first)
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[at:], castagnoli))
}

func parseSegmentHeader(b []byte) (first uint64, reason string) {
	if len(b) < segmentHeader {
		return 0, "the segment's head is cut short"
	}
	if string(b[:8]) != segmentMagic {
		return 0, "this is no segment of a store"
	}
	if crc32.Checksum(b[:20], castagnoli) != binary.LittleEndian.Uint32(b[20:]) {
		return 0, "the segment head's checksum is wrong"
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != version {
		return 0, fmt.Sprintf("its format is version %d, this program reads version %d", v, version)
	}
	return binary.LittleEndian.Uint64(b[12:]), ""
}

func appendSnapshot(to []byte, next uint64, data []byte) []byte {
	at := len(to)
	to = append(to, snapMagic...)
	to = binary.LittleEndian.AppendUint32(to, version)
	to = binary.LittleEndian.AppendUint64(to, next)
	to = binary.LittleEndian.AppendUint64(to, uint64(len(data)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(data, castagnoli))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[at:], castagnoli))
	return append(to, data...)
}

func parseSnapshot(b []byte) (next uint64, data []byte, offset int64, reason string) {
	if len(b) < snapHeader {
		return 0, nil, 0, "the snapshot's head is cut short"
	}
	if string(b[:8]) != snapMagic {
		return 0, nil, 0, "this is no snapshot of a store"
	}
	if crc32.Checksum(b[:32], castagnoli) != binary.LittleEndian.Uint32(b[32:]) {
		return 0, nil, 0, "the snapshot head's checksum is wrong"
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != version {
		return 0, nil, 8, fmt.Sprintf("its format is version %d, this program reads version %d", v, version)
	}
	if n := binary.LittleEndian.Uint64(b[20:]); n != uint64(len(b)-snapHeader) {
		return 0, nil, snapHeader, fmt.Sprintf("the snapshot has %d bytes of %d", len(b)-snapHeader, n)
	}
	data = b[snapHeader:]
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(b[28:]) {
		return 0, nil, snapHeader, "the snapshot's checksum is wrong"
	}
	return binary.LittleEndian.Uint64(b[12:]), data, 0, ""
}
