package controlapi

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"moorstack/internal/cluster/clusterstate"
)

// Backup is the content of a backup file: the agreed configuration with its history.
//
// The layout of the file is: "MOORBACK", the format (4 bytes, little-endian), the CRC32C of the rest (4
// bytes, little-endian), JSON. It contains no keys and no members, because a group restored from it has its
// own.
type Backup struct {
	Cluster   string                  `json:"cluster"`
	Revisions []clusterstate.Revision `json:"revisions"` // oldest first
}

// The layout of a backup file.
const (
	backupMagic      = "MOORBACK"
	backupFormat     = 1
	backupFormatAt   = len(backupMagic)
	backupChecksumAt = backupFormatAt + 4
	backupBodyAt     = backupChecksumAt + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeBackup returns the content of a backup file.
func EncodeBackup(cluster string, revisions []clusterstate.Revision) []byte {
	body, err := json.Marshal(Backup{cluster, revisions})
	if err != nil {
		panic(err) // agreed documents can always be encoded
	}
	b := binary.LittleEndian.AppendUint32([]byte(backupMagic), backupFormat)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// DecodeBackup decodes the content of a backup file. It returns an error if the content is not a backup, is
// damaged, has another format, or contains no configuration.
func DecodeBackup(b []byte) (*Backup, error) {
	if len(b) < backupBodyAt || string(b[:backupFormatAt]) != backupMagic {
		return nil, errors.New("not a backup file")
	}
	if format := binary.LittleEndian.Uint32(b[backupFormatAt:]); format != backupFormat {
		return nil, fmt.Errorf("the backup has format %d, this program supports %d", format, backupFormat)
	}
	body := b[backupBodyAt:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[backupChecksumAt:]) {
		return nil, errors.New("the backup is damaged: checksum mismatch")
	}
	var out Backup
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("decoding the backup: %w", err)
	}
	if len(out.Revisions) == 0 || out.Revisions[len(out.Revisions)-1].Document == nil {
		return nil, errors.New("the backup contains no configuration")
	}
	return &out, nil
}

// idBytes is the length of a random ID before hexadecimal encoding.
const idBytes = 8

// newID returns a random ID for a change, a command or a new group. A group rejects messages with another
// group's ID.
func newID() (string, error) {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("generating an ID: %w", err)
	}
	return hex.EncodeToString(b[:]), nil
}
