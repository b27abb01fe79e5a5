package controlapi

import (
	"strings"
	"testing"

	"moorstack/internal/cluster/clusterstate"
)

// A backup that is read is the one that was written. Any other content is rejected, with the reason.
func TestDamagedBackupsAreRejected(t *testing.T) {
	document := &clusterstate.Document{}
	whole := EncodeBackup("c1", []clusterstate.Revision{{Number: 7, Document: document}})
	b, err := DecodeBackup(whole)
	if err != nil || b.Cluster != "c1" || len(b.Revisions) != 1 || b.Revisions[0].Number != 7 {
		t.Fatalf("%+v: %v", b, err)
	}
	flipped := func(at int) []byte {
		out := append([]byte{}, whole...)
		out[at] ^= 1
		return out
	}
	for want, content := range map[string][]byte{
		"no backup":     flipped(0),
		"has format 0":  flipped(backupFormatAt),
		"damaged":       flipped(backupBodyAt),
		"checksum":      whole[:len(whole)-1],
		"configuration": EncodeBackup("c1", nil),
	} {
		if _, err := DecodeBackup(content); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for size := range backupBodyAt {
		if _, err := DecodeBackup(whole[:size]); err == nil {
			t.Errorf("%d bytes of a backup are accepted", size)
		}
	}
}
