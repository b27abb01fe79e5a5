package node

import (
	"testing"

	"moorstack/internal/schema"
)

func TestListUpdatesSurviveEncoding(t *testing.T) {
	in := &schema.ListNews{Number: 1, Generation: 2, Previous: 3, Whole: true, Text: []byte("x")}
	got := encodeListUpdate(decodeListUpdate(in))
	if got.Number != 1 || got.Generation != 2 || got.Previous != 3 || !got.Whole || string(got.Text) != "x" {
		t.Errorf("%v became %v", in, got)
	}
}
