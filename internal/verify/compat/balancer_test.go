package compat

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// earlier are modules of this repository's past: the last before jobs at a silent worker got second copies,
// and the last before cold workers' budgets went by what full warm ones take.
var earlier = map[string]string{"no copies at silent workers": "730e886~1", "other cold budgets": "66d5692~1"}

// days are changes of the small scenario, each a text and what takes its place, and troubles more.
var days = map[string]struct {
	was, is string
	more    string
}{
	"a crash":    {},
	"one by one": {more: trouble("drain", "10s", "4s", 0.3, 0) + trouble("drain", "30s", "4s", 0.5, 0)},
	"zone lost":  {more: trouble("zone-lost", "30s", "10s", 0, 0) + "zone = \"seeb\"\n"},
	"cut off":    {more: trouble("cut", "8s", "10s", 0.3, 0) + trouble("cut", "38s", "10s", 0.3, 0)},
	"a flood":    {more: trouble("flood", "8s", "30s", 0, 2.5)},
	"of twelve":  {was: "nodes = 2\n", is: "nodes = 12\n", more: trouble("crash", "36s", "8s", 0.6, 0)},
}

func trouble(kind, at, length string, part, size float64) string {
	return fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q\npart = %v\nsize = %v\n", kind, at,
		length, part, size)
}

// lastWithBrain is the last commit whose decision module is called brain. Earlier modules are built into its
// program, for they know neither the new names nor the new folders; the program decides and emulates as then.
const lastWithBrain = "ed6dd0a"

// build makes the program of today, or the one of lastWithBrain with the module of an earlier commit.
func build(t *testing.T, root, commit, to string) {
	t.Helper()
	dir := t.TempDir()
	script := `git -C "$0" ls-files -z -co --exclude-standard -- ':!journal' |
		(cd "$0" && xargs -0 cp --parents -t "$1")`
	if commit != "" {
		script = `git -C "$0" archive "$4" | tar x -C "$1" --exclude=journal && rm -rf "$1/brain" &&
			git -C "$0" archive "$2" brain | tar x -C "$1"`
	}
	script += ` && cd "$1" && go build -o "$3" ./cmd/moorstack`
	arguments := []string{"-c", script, root, dir, commit, to, lastWithBrain}
	if out, err := exec.Command("sh", arguments...).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", commit, err, out)
	}
}

// earned is the part of all worth that a program's module earns on a day, and whether it broke a rule.
func earned(program, file string, seed int) (share float64, broken bool, err error) {
	out, err := exec.Command(program, "emulate", "run", file, "--seed", fmt.Sprint(seed), "--output",
		"json").Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 {
		broken, err = true, nil
	}
	var r struct {
		Classes []struct{ Worth, Earned float64 }
	}
	if err == nil {
		err = json.Unmarshal(out, &r)
	}
	worth, sum := 0.0, 0.0
	for _, c := range r.Classes {
		worth, sum = worth+c.Worth, sum+c.Earned
	}
	return sum / worth, broken, err
}

// Today's module beside earlier ones on the same days, paired seed by seed: what lies beyond three standard
// errors is real, the rest chance. Today's may not be worse for real by more than three hundredths.
//
// It is worse for real where most workers come back cold at once before many nodes: its budgets for them add
// up, and those of the module before pushed cold workers over.
func TestModulesOnPairedDays(t *testing.T) {
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	small, err := os.ReadFile(filepath.Join(root, "experiments/small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	dir, seeds := t.TempDir(), 8
	if os.Getenv("VERSUS") != "" {
		seeds = 200
	}
	for _, commit := range append(slices.Collect(maps.Values(earlier)), lastWithBrain) {
		if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
			t.Skipf("the module of %s is not in this checkout: %v", commit, err)
		}
	}
	programs := map[string]string{"": filepath.Join(dir, "today")}
	build(t, root, "", programs[""])
	for name, commit := range earlier {
		programs[name] = filepath.Join(dir, commit)
		build(t, root, commit, programs[name])
	}
	for day, change := range days {
		text := string(small)
		if !strings.Contains(text, change.was) {
			t.Fatalf("%s: the scenario has no %q any more", day, change.was)
		}
		if change.was != "" {
			text = strings.ReplaceAll(text, change.was, change.is)
		}
		text += change.more
		file := filepath.Join(dir, strings.ReplaceAll(day, " ", "-")+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, broke := map[string][]float64{}, map[string]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for name, program := range programs {
			got[name] = make([]float64, seeds)
			wg.Go(func() {
				for seed := range seeds {
					v, broken, err := earned(program, file, seed+1)
					mu.Lock()
					if got[name][seed] = v; err != nil || broken && name == "" {
						t.Errorf("%s, %s, seed %d: broken: %v, %v", day, name, seed+1, broken, err)
					}
					if broken {
						broke[name]++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		for name := range earlier {
			mean, square, better := 0.0, 0.0, 0
			for seed := range seeds {
				d := got[""][seed] - got[name][seed]
				mean, square = mean+d/float64(seeds), square+d*d
				if d > 0 {
					better++
				}
			}
			e := math.Sqrt(max(square/float64(seeds)-mean*mean, 0) / float64(seeds-1))
			what := "chance"
			if math.Abs(mean) > 3*e && mean != 0 {
				what = "real"
			}
			t.Logf("%-12s beside %-28s %+.4f, standard error %.4f, better on %d of %d: %s; "+
				"a rule broken on %d", day, name, mean, e, better, seeds, what, broke[name])
			if mean < -0.03 && what == "real" {
				t.Errorf("%s: today's module earns less than that with %s", day, name)
			}
		}
	}
}
