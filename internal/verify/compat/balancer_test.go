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

// earlierModules are commits with earlier decision modules, by what they lack: the last before hedged
// requests for jobs at a silent worker, and the last before slow-start budgets that go by what warm workers
// take.
var earlierModules = map[string]string{"no copies at silent workers": "730e886~1",
	"other cold budgets": "66d5692~1"}

// lastWithBrain is the last commit whose decision module is called brain. Earlier modules are built into its
// program, for they know neither the new names nor the new folders; the program decides and emulates as then.
const lastWithBrain = "ed6dd0a"

// scenarios are changes of the small scenario: a text and its replacement, and faults that are added.
var scenarios = map[string]struct {
	replace, by string
	faults      string
}{
	"a crash":    {},
	"one by one": {faults: fault("drain", "10s", "4s", 0.3, 0) + fault("drain", "30s", "4s", 0.5, 0)},
	"zone lost":  {faults: fault("zone-lost", "30s", "10s", 0, 0) + "zone = \"seeb\"\n"},
	"cut off":    {faults: fault("cut", "8s", "10s", 0.3, 0) + fault("cut", "38s", "10s", 0.3, 0)},
	"a flood":    {faults: fault("flood", "8s", "30s", 0, 2.5)},
	"of twelve":  {"nodes = 2\n", "nodes = 12\n", fault("crash", "36s", "8s", 0.6, 0)},
}

// fault is a fault as a scenario file declares it.
func fault(kind, at, length string, part, size float64) string {
	return fmt.Sprintf("\n[[trouble]]\nkind = %q\nat = %q\nfor = %q\npart = %v\nsize = %v\n", kind, at,
		length, part, size)
}

const (
	// maxLoss is how much less than with an earlier module today's may earn, as a fraction of all.
	maxLoss = 0.03
	// significantErrors is from how many standard errors on a difference counts as real.
	significantErrors = 3
)

// Today's decision module beside earlier ones on the same scenarios, paired seed by seed: a difference beyond
// three standard errors is real, the rest chance. Today's may not earn less by a real difference of more than
// three hundredths.
//
// It earns less where most workers come back at once in slow start before many nodes: their slow-start
// budgets add up, and those of the module before spilled over.
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
			t.Skipf("the module of %s is not in this checkout: %v", commit, err)
		}
	}
	dir := t.TempDir()
	today := program{path: filepath.Join(dir, "today")}
	buildProgram(t, root, "", today.path)
	programs := []program{today}
	for lacks, commit := range earlierModules {
		p := program{lacks, filepath.Join(dir, commit)}
		buildProgram(t, root, commit, p.path)
		programs = append(programs, p)
	}
	for name := range scenarios {
		file := writeScenario(t, root, dir, name)
		runs := runPrograms(t, programs, file, seeds)
		for _, p := range programs[1:] {
			compareRuns(t, name, p, runs[today.name], runs[p.name])
		}
	}
}

// program is a program with a decision module; its name is empty for today's.
type program struct{ name, path string }

// buildProgram builds the program of today, or the one of lastWithBrain with the module of an earlier commit.
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

// writeScenario writes a scenario's file and returns its path.
func writeScenario(t *testing.T, root, dir, name string) string {
	t.Helper()
	small, err := os.ReadFile(filepath.Join(root, "experiments/small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text, change := string(small), scenarios[name]
	if !strings.Contains(text, change.replace) {
		t.Fatalf("%s: the small scenario has no %q any more", name, change.replace)
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

// scenarioRuns are a program's runs of a scenario.
type scenarioRuns struct {
	earned     []float64 // by seed
	violations int       // runs in which a rule was broken
}

// runPrograms runs each program on a scenario, side by side, and returns the runs by the program's name.
func runPrograms(t *testing.T, programs []program, file string, seeds int) map[string]scenarioRuns {
	t.Helper()
	results := make([]scenarioRuns, len(programs))
	var wg sync.WaitGroup
	for k, p := range programs {
		wg.Go(func() {
			runs := scenarioRuns{earned: make([]float64, seeds)}
			for seed := range seeds {
				earned, violated, err := runScenario(p.path, file, seed+1)
				if err != nil || violated && p.name == "" {
					t.Errorf("%s, %s, seed %d: rule broken: %v, %v", file, p.name, seed+1, violated, err)
				}
				if runs.earned[seed] = earned; violated {
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

// runScenario returns which fraction of the priority weight of all jobs a program earns, and whether it broke
// a rule.
func runScenario(path, file string, seed int) (earned float64, violated bool, err error) {
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

// compareRuns compares today's runs with an earlier module's, seed by seed.
func compareRuns(t *testing.T, scenario string, earlier program, today, before scenarioRuns) {
	t.Helper()
	seeds := len(today.earned)
	mean, square, better := 0.0, 0.0, 0
	for seed := range seeds {
		d := today.earned[seed] - before.earned[seed]
		mean, square = mean+d/float64(seeds), square+d*d
		if d > 0 {
			better++
		}
	}
	standardError := math.Sqrt(max(square/float64(seeds)-mean*mean, 0) / float64(seeds-1))
	isReal := math.Abs(mean) > significantErrors*standardError && mean != 0
	verdict := "chance"
	if isReal {
		verdict = "real"
	}
	t.Logf("%-12s beside %-28s %+.4f, standard error %.4f, better on %d of %d: %s; a rule broken on %d",
		scenario, earlier.name, mean, standardError, better, seeds, verdict, before.violations)
	if mean < -maxLoss && isReal {
		t.Errorf("%s: today's module earns less than that with %s", scenario, earlier.name)
	}
}
