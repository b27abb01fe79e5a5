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

// Backup is the agreed configuration with its history, as a file holds it.
//
// The file: "MOORBACK", the format (4 bytes, little-endian), CRC32C of what follows (4 bytes), JSON. It holds
// no keys and no members: a group that is made from it has its own.
type Backup struct {
	Cluster   string                  `json:"cluster"`
	Revisions []clusterstate.Revision `json:"revisions"` // the oldest first
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
		panic(err) // a document that was agreed on can be encoded
	}
	b := binary.LittleEndian.AppendUint32([]byte(backupMagic), backupFormat)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// DecodeBackup reads the content of a backup file. It returns an error if that is no backup, damaged, of
// another format, or holds no configuration.
func DecodeBackup(b []byte) (*Backup, error) {
	if len(b) < backupBodyAt || string(b[:backupFormatAt]) != backupMagic {
		return nil, errors.New("this is no backup")
	}
	if format := binary.LittleEndian.Uint32(b[backupFormatAt:]); format != backupFormat {
		return nil, fmt.Errorf("the backup has format %d; this program reads %d", format, backupFormat)
	}
	body := b[backupBodyAt:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[backupChecksumAt:]) {
		return nil, errors.New("the backup is damaged: its checksum is wrong")
	}
	var out Backup
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("the backup can't be read: %w", err)
	}
	if len(out.Revisions) == 0 || out.Revisions[len(out.Revisions)-1].Document == nil {
		return nil, errors.New("the backup holds no configuration")
	}
	return &out, nil
}

// idBytes is the length of a random identifier.
const idBytes = 8

// newID is a random identifier: of a change or command, or of a new group, which rejects messages of others.
func newID() (string, error) {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("drawing an identifier: %w", err)
	}
	return hex.EncodeToString(b[:]), nil
}
