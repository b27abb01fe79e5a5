package frozen

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// testFunction matches the declaration of a test, a fuzz target, a benchmark or an example.
var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark|Example)\w*)\(`)

// Every test that existed before the packages were moved and renamed still exists. Each line of
// test-names.txt gives the package and name of a test at that time, and its current package and name.
func TestEveryEarlierTestStays(t *testing.T) {
	names, err := os.ReadFile("testdata/test-names.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(names)), "\n")
	const earlierTests = 361
	if len(lines) != earlierTests {
		t.Errorf("%d tests are listed, want %d", len(lines), earlierTests)
	}
	declared := map[string]map[string]bool{}
	for _, line := range lines {
		_, now, found := strings.Cut(line, " -> ")
		folder, name, _ := strings.Cut(now, " ")
		if !found || name == "" {
			t.Errorf("malformed line %q, expected \"PACKAGE NAME -> PACKAGE NAME\"", line)
			continue
		}
		if declared[folder] == nil {
			declared[folder] = declaredTests(t, folder)
		}
		if !declared[folder][name] {
			t.Errorf("%s: there is no such test", line)
		}
	}
}

// declaredTests returns the names of the test functions in a folder, whose path is relative to the
// repository's root.
func declaredTests(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../..", folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range testFunction.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
	}
	return names
}
