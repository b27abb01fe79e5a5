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

// earlierModules maps a description of an earlier decision module to its commit: the last commit before
// hedged requests for jobs at a silent worker, and the last before slow-start budgets that depend on the load
// of warm workers.
var earlierModules = map[string]string{"no hedging at silent workers": "730e886~1",
	"other slow-start budgets": "66d5692~1"}

// lastWithBrain is the last commit whose decision module is in the folder brain. Earlier modules are built
// into the program of that commit, because they use neither the current names nor the current folders. Its
// decisions and its simulation are those of that time.
const lastWithBrain = "ed6dd0a"

// scenarios are variants of the small scenario: a text and its replacement, and additional faults.
var scenarios = map[string]struct {
	replace, by string
	faults      string
}{
	"crash":        {},
	"two drains":   {faults: fault("drain", "10s", "4s", 0.3, 0) + fault("drain", "30s", "4s", 0.5, 0)},
	"zone loss":    {faults: fault("zone-lost", "30s", "10s", 0, 0) + "zone = \"seeb\"\n"},
	"partition":    {faults: fault("cut", "8s", "10s", 0.3, 0) + fault("cut", "38s", "10s", 0.3, 0)},
	"load surge":   {faults: fault("flood", "8s", "30s", 0, 2.5)},
	"twelve nodes": {"nodes = 2\n", "nodes = 12\n", fault("crash", "36s", "8s", 0.6, 0)},
}

// fault returns a fault in the form of a scenario file.
func fault(kind, at, length string, part, size float64) string {
	return fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q\npart = %v\nsize = %v\n", kind, at,
		length, part, size)
}

const (
	// maxLoss is how far the score of the current module may be below that of an earlier one.
	maxLoss = 0.03
	// significantErrors is the number of standard errors beyond which a difference is significant.
	significantErrors = 3
)

// Compares the current decision module with earlier ones on the same scenarios, paired by seed. A difference
// of more than three standard errors is significant. The score of the current module must not be
// significantly lower by more than 0.03.
//
// The current module scores lower in scenarios in which most workers return at once, in slow start, to many
// nodes: the slow-start budgets of the nodes add up there, while those of the earlier module overflowed to
// other workers.
func TestModulesOnPairedScenarios(t *testing.T) {
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	seeds := 8
	if os.Getenv("VERSUS") != "" {
		seeds = 200
	}
	for _, commit := range append(slices.Collect(maps.Values(earlierModules)), lastWithBrain) {
		if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
			t.Skipf("commit %s is not in this checkout: %v", commit, err)
		}
	}
	dir := t.TempDir()
	current := program{path: filepath.Join(dir, "current")}
	buildProgram(t, root, "", current.path)
	programs := []program{current}
	for lacks, commit := range earlierModules {
		p := program{lacks, filepath.Join(dir, commit)}
		buildProgram(t, root, commit, p.path)
		programs = append(programs, p)
	}
	for name := range scenarios {
		file := writeScenario(t, root, dir, name)
		runs := runPrograms(t, programs, file, seeds)
		for _, p := range programs[1:] {
			compareRuns(t, name, p, runs[current.name], runs[p.name])
		}
	}
}

// program is an executable with a decision module. The name of the current one is empty.
type program struct{ name, path string }

// buildProgram builds the current program or, with a commit, the program of lastWithBrain with the decision
// module of that commit.
func buildProgram(t *testing.T, root, commit, to string) {
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

// writeScenario writes the file of a scenario to dir and returns its path.
func writeScenario(t *testing.T, root, dir, name string) string {
	t.Helper()
	small, err := os.ReadFile(filepath.Join(root, "experiments/small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text, change := string(small), scenarios[name]
	if !strings.Contains(text, change.replace) {
		t.Fatalf("%s: the small scenario does not contain %q", name, change.replace)
	}
	if change.replace != "" {
		text = strings.ReplaceAll(text, change.replace, change.by)
	}
	file := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".toml")
	if err := os.WriteFile(file, []byte(text+change.faults), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// scenarioRuns holds the results of a program's runs of a scenario.
type scenarioRuns struct {
	scores     []float64 // by seed
	violations int       // number of runs with a rule violation
}

// runPrograms runs all programs on a scenario concurrently and returns their runs by program name.
func runPrograms(t *testing.T, programs []program, file string, seeds int) map[string]scenarioRuns {
	t.Helper()
	results := make([]scenarioRuns, len(programs))
	var wg sync.WaitGroup
	for k, p := range programs {
		wg.Go(func() {
			runs := scenarioRuns{scores: make([]float64, seeds)}
			for seed := range seeds {
				score, violated, err := runScenario(p.path, file, seed+1)
				if err != nil || violated && p.name == "" {
					t.Errorf("%s, %s, seed %d: rule violation: %v, error: %v", file, p.name, seed+1, violated,
						err)
				}
				if runs.scores[seed] = score; violated {
					runs.violations++
				}
			}
			results[k] = runs
		})
	}
	wg.Wait()
	byName := map[string]scenarioRuns{}
	for k, p := range programs {
		byName[p.name] = results[k]
	}
	return byName
}

// runScenario runs a program on a scenario. It returns whether the program violated a rule, and its score:
// the priority weight that the program was credited with, as a fraction of the total weight of all jobs.
func runScenario(path, file string, seed int) (score float64, violated bool, err error) {
	out, err := exec.Command(path, "emulate", "run", file, "--seed", fmt.Sprint(seed), "--output",
		"json").Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 {
		violated, err = true, nil
	}
	var report struct {
		Classes []struct{ Worth, Earned float64 }
	}
	if err == nil {
		err = json.Unmarshal(out, &report)
	}
	total, sum := 0.0, 0.0
	for _, c := range report.Classes {
		total, sum = total+c.Worth, sum+c.Earned
	}
	return sum / total, violated, err
}

// compareRuns compares the runs of the current module with those of an earlier one, paired by seed.
func compareRuns(t *testing.T, scenario string, earlier program, current, before scenarioRuns) {
	t.Helper()
	seeds := len(current.scores)
	mean, square, better := 0.0, 0.0, 0
	for seed := range seeds {
		d := current.scores[seed] - before.scores[seed]
		mean, square = mean+d/float64(seeds), square+d*d
		if d > 0 {
			better++
		}
	}
	standardError := math.Sqrt(max(square/float64(seeds)-mean*mean, 0) / float64(seeds-1))
	isSignificant := math.Abs(mean) > significantErrors*standardError && mean != 0
	verdict := "not significant"
	if isSignificant {
		verdict = "significant"
	}
	t.Logf("%-12s against %-28s %+.4f, standard error %.4f, better on %d of %d: %s; %d rule violations",
		scenario, earlier.name, mean, standardError, better, seeds, verdict, before.violations)
	if mean < -maxLoss && isSignificant {
		t.Errorf("%s: the current module scores lower than the module with %s", scenario, earlier.name)
	}
}
