package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// before is the last commit whose program knows rates over all fronts and nothing of triggers: format 4.
const before = "337f08d"

// A group is rolled from an earlier version of the program to this one, and one instance of it back in
// between, under faults: rates and duties are kept by both together, and triggers begin when all know
// them.
func TestRolledForwardAndBack(t *testing.T) {
	t.Parallel()
	root := must(filepath.Abs("../.."))
	if err := exec.Command("git", "-C", root, "cat-file", "-e", before+"^{commit}").Run(); err != nil {
		t.Skipf("the earlier version is not in this checkout: %v", err)
	}
	dir := t.TempDir()
	check(t, os.Mkdir(filepath.Join(dir, "before"), 0o700))
	build := exec.Command("sh", "-c", `git -C "$0" archive "$1" | tar x -C before && cd before &&
		go build -o ../older ./cmd/moorstack`, root, before)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	g := &group{t: t, dir: dir}
	check(t, os.WriteFile(filepath.Join(dir, "story.txt"), []byte(`500ms renew n1
1500ms isolate n2
2500ms heal
3s renew n2
4s roll-back n1
4500ms stall leader 700ms
5500ms renew n1
6500ms restart leader 300ms
7500ms renew n3
8500ms stall leader 800ms
10s restart n1 200ms
`), 0o600))
	g.expect(0, ", 0 violations", "prove", "cluster", "--story", "story.txt", "--for", "14s",
		"--older", "./older")
}
