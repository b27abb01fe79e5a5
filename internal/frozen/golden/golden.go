// Package golden compares what a test finds with a text kept under testdata. The tests of
// frozen interfaces use it: a difference is a change that callers, files or stored data would notice.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with what is found now")

// Updating reports whether the tests rewrite the golden files (-update).
func Updating() bool { return *update }

// Read is the golden file testdata/name. A file that can't be read ends the test.
func Read(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Compare fails the test at the first line in which got differs from the golden file
// testdata/name. With -update it writes the file instead.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	frozen := Read(t, name)
	if got == frozen {
		return
	}
	want, have := strings.Split(frozen, "\n"), strings.Split(got, "\n")
	for i := range max(len(want), len(have)) {
		w, h := lineAt(want, i), lineAt(have, i)
		if w != h {
			t.Fatalf("%s, line %d: the frozen line is\n\t%s\nand now it is\n\t%s", path, i+1, w, h)
		}
	}
}

// lineAt is a line of a text, or a mark that the text has ended.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end of the text)"
}
