package controlapi

import (
	"strings"
	"testing"

	"moorstack/internal/cluster/clusterstate"
)

// Decoding returns what was encoded. Damaged or other content is rejected with the reason.
func TestDamagedBackupsAreRejected(t *testing.T) {
	document := &clusterstate.Document{}
	encoded := EncodeBackup("c1", []clusterstate.Revision{{Number: 7, Document: document}})
	b, err := DecodeBackup(encoded)
	if err != nil || b.Cluster != "c1" || len(b.Revisions) != 1 || b.Revisions[0].Number != 7 {
		t.Fatalf("got %+v and error %v, want revision 7 of group c1", b, err)
	}
	flipped := func(at int) []byte {
		out := append([]byte{}, encoded...)
		out[at] ^= 1
		return out
	}
	for want, content := range map[string][]byte{
		"not a backup":  flipped(0),
		"has format 0":  flipped(backupFormatAt),
		"damaged":       flipped(backupBodyAt),
		"checksum":      encoded[:len(encoded)-1],
		"configuration": EncodeBackup("c1", nil),
	} {
		if _, err := DecodeBackup(content); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	for size := range backupBodyAt {
		if _, err := DecodeBackup(encoded[:size]); err == nil {
			t.Errorf("the first %d bytes of a backup were accepted", size)
		}
	}
}
