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

// Backup is the agreed configuration with its history, in a file.
//
// The file: "MOORBACK", the format (4 bytes, little-endian), CRC32C of what follows
// (4 bytes), JSON. It holds no keys and no members: a group made from it has its own.
type Backup struct {
	Cluster   string                  `json:"cluster"`
	Revisions []clusterstate.Revision `json:"revisions"` // oldest first
}

const backupMagic, backupFormat = "MOORBACK", 1

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeBackup gives the file's content.
func EncodeBackup(cluster string, revisions []clusterstate.Revision) []byte {
	body, err := json.Marshal(Backup{cluster, revisions})
	if err != nil {
		panic(err) // documents in the state can be written
	}
	b := binary.LittleEndian.AppendUint32([]byte(backupMagic), backupFormat)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// DecodeBackup reads the file's content.
func DecodeBackup(b []byte) (*Backup, error) {
	if len(b) < 16 || string(b[:8]) != backupMagic {
		return nil, errors.New("this is no backup")
	}
	if f := binary.LittleEndian.Uint32(b[8:]); f != backupFormat {
		return nil, fmt.Errorf("the backup has format %d; this program reads %d", f, backupFormat)
	}
	if crc32.Checksum(b[16:], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return nil, errors.New("the backup is damaged: its checksum is wrong")
	}
	var out Backup
	if err := json.Unmarshal(b[16:], &out); err != nil {
		return nil, fmt.Errorf("the backup can't be read: %w", err)
	}
	if len(out.Revisions) == 0 || out.Revisions[len(out.Revisions)-1].Document == nil {
		return nil, errors.New("the backup holds no configuration")
	}
	return &out, nil
}

// newID is a new group's number: messages of another group are refused by it.
func newID() (string, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(b[:]), nil
}
