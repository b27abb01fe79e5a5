// Package golden compares the output of a test with a golden file in testdata. Tests of frozen interfaces and
// formats use it: a difference is a change that affects callers, files or stored data.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with the current output")

// Updating reports whether the tests rewrite the golden files (-update).
func Updating() bool { return *update }

// Read returns the content of the golden file testdata/name. It fails the test if the file can't be read.
func Read(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Compare fails the test if got differs from the golden file testdata/name, and reports the first line that
// differs. With -update it writes got to the file instead.
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
			t.Fatalf("%s, line %d differs: want\n\t%s\ngot\n\t%s", path, i+1, w, h)
		}
	}
}

// lineAt returns the line with index i, or a placeholder after the last line.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end of the text)"
}
