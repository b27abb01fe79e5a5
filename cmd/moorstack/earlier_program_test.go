package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// commitBeforeRenaming is the last commit before identifiers and packages were renamed.
const commitBeforeRenaming = "ed6dd0a"

// earlierPrograms lists commits whose program must work in one group with the current one.
var earlierPrograms = []struct{ name, commit string }{
	// The last commit with rates across all fronts and without triggers: state format 4.
	{"before triggers", "337f08d"},
	// The last commit before identifiers and packages were renamed: the same state format.
	{"before renaming", commitBeforeRenaming},
}

// mixedGroupFaults upgrades the instances one after another and rolls n1 back once in between.
const mixedGroupFaults = `500ms renew n1
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
`

// Under faults, a group is upgraded from an earlier version of the program to this one, and one instance is
// rolled back in between. Both versions together enforce rates and keep leased tasks; triggers start when all
// instances support them.
func TestRolledForwardAndBack(t *testing.T) {
	t.Parallel()
	root := must(filepath.Abs("../.."))
	for _, earlier := range earlierPrograms {
		t.Run(earlier.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			buildCommit(t, root, earlier.commit, dir, "older")
			g := &group{t: t, dir: dir}
			g.write("story.txt", mixedGroupFaults)
			g.expect(0, ", 0 violations", "prove", "cluster", "--story", "story.txt", "--for", "14s",
				"--older", "./older")
		})
	}
}

// buildCommit builds the program of a commit into a directory.
func buildCommit(t *testing.T, root, commit, dir, name string) {
	t.Helper()
	if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the earlier version is not in this checkout: %v", err)
	}
	check(t, os.Mkdir(filepath.Join(dir, "before"), 0o700))
	build := exec.Command("sh", "-c", `git -C "$0" archive "$1" | tar x -C before && cd before &&
		go build -o ../"$2" ./cmd/moorstack`, root, commit, name)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", commit, err, out)
	}
}
