package frozen

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// testFunction is the declaration of a test, a fuzz target, a benchmark or an example.
var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark|Example)\w*)\(`)

// The tests of before the packages were moved and renamed stand under the names that test-names.txt gives: a
// line for each, the package and name of then, and the package and name of now.
func TestEveryEarlierTestStays(t *testing.T) {
	names, err := os.ReadFile("testdata/test-names.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(names)), "\n")
	const earlierTests = 361
	if len(lines) != earlierTests {
		t.Errorf("%d tests are listed, there were %d", len(lines), earlierTests)
	}
	declared := map[string]map[string]bool{}
	for _, line := range lines {
		_, now, found := strings.Cut(line, " -> ")
		folder, name, _ := strings.Cut(now, " ")
		if !found || name == "" {
			t.Errorf("not two names: %q", line)
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

// declaredTests are the test functions of a folder, which is named from the repository's root.
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
