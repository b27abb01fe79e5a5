package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scenario = `duration = "6s"
nodes = 2
[[class]]
name = "quote"
aim = "1s"
size = { mean = 0.2 }
[[workers]]
count = 4
cores = 2
[[clients]]
team = "muscat"
rate = 15
[[trouble]]
kind = "crash"
at = "2s"
for = "2s"
part = 0.25
`

const plan = `name = "p"
base = "s.toml"
seeds = 3
[[factor]]
name = "rate"
key = "clients.*.rate"
scale = [1, 3]
[[factor]]
name = "workers"
key = "workers.0.count"
levels = [4, 6]
`

// writePlanFiles writes a plan and its scenario, and returns the plan's path.
func writePlanFiles(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"s.toml": scenario, "p.toml": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "p.toml")
}

// readTables returns the bytes of both tables in a directory.
func readTables(t *testing.T, dir string) []byte {
	t.Helper()
	var all []byte
	for _, name := range []string{runsFile, secondsFile} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	return all
}

// readPlan writes a plan and its scenario, and reads it.
func readPlan(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ReadPlan(writePlanFiles(t, text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// runPlan runs a plan to its end.
func runPlan(t *testing.T, p *Plan, o Options) *Outcome {
	t.Helper()
	r, err := Run(t.Context(), p, o)
	if err != nil || r.Runs != p.RunCount() {
		t.Fatal(r, err)
	}
	return r
}

func TestTablesAreTheSameWhateverRunsAtOnce(t *testing.T) {
	p := readPlan(t, plan)
	one, four := t.TempDir(), t.TempDir()
	for dir, workers := range map[string]int{one: 1, four: 4} {
		if r := runPlan(t, p, Options{Dir: dir, Workers: workers, ProgramVersion: "x"}); r.Runs != 12 {
			t.Fatal(r)
		}
	}
	if !bytes.Equal(readTables(t, one), readTables(t, four)) {
		t.Error("tables differ between one and four concurrent runs")
	}
}

// The tables are identical byte for byte after an interruption that cut the journal's last line short.
func TestTablesAreTheSameAfterInterruption(t *testing.T) {
	p := readPlan(t, plan)
	uninterrupted, resumed := t.TempDir(), t.TempDir()
	runPlan(t, p, Options{Dir: uninterrupted, Workers: 4, ProgramVersion: "x"})
	interrupted, stop := context.WithCancel(t.Context())
	stopAfterFive := func(finished, _ int) {
		if finished == 5 {
			stop()
		}
	}
	o := Options{Dir: resumed, Workers: 1, ProgramVersion: "x", Progress: stopAfterFive}
	_, err := Run(interrupted, p, o)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("want context.Canceled, got %v", err)
	}
	path := filepath.Join(resumed, journalFile)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b[:len(b)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	r := runPlan(t, p, Options{Dir: resumed, Workers: 2, ProgramVersion: "x"})
	if r.Resumed < 4 || r.Resumed > 11 {
		t.Fatal(r)
	}
	if !bytes.Equal(readTables(t, uninterrupted), readTables(t, resumed)) {
		t.Error("the interruption changed the tables")
	}
	// Results from before a change of the plan must not be mixed with later ones.
	changed := readPlan(t, strings.Replace(plan, "seeds = 3", "seeds = 4", 1))
	if _, err := Run(t.Context(), changed, Options{Dir: resumed, Workers: 1}); err == nil {
		t.Error("a changed plan was accepted with the results of the old one")
	}
}

func TestInvalidPlanIsNamed(t *testing.T) {
	for _, c := range []struct{ want, old, with string }{
		{`unknown key "clints"`, "clients.*.rate", "clints.*.rate"},
		{`"9" is not the index of one of the 1 tables`, "workers.0.count", "workers.9.count"},
		{`is not a number in the scenario`, "clients.*.rate", "clients.*.team"},
		{`p.toml:7: factor.scal`, "scale", "scal"},
		{`either levels or scale must be set`, "levels = [4, 6]", ""},
		{`count, cores, slots and speed must`, "levels = [4, 6]", "levels = [4, -1]"},
		{`p.toml:3: seeds: must be at least 1, got 0`, "seeds = 3", "seeds = 0"},
		{`would have more than 100000 runs`, "seeds = 3", "seeds = 90000"},
		{`p.toml:1: name: a plan must have a name`, `name = "p"`, `name = ""`},
	} {
		_, err := ReadPlan(writePlanFiles(t, strings.Replace(plan, c.old, c.with, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

func TestCompareFindsTheSignificantDifferences(t *testing.T) {
	dir := t.TempDir()
	runPlan(t, readPlan(t, plan), Options{Dir: dir, Workers: 4, ProgramVersion: "x"})
	a, err := ReadRuns(dir)
	if err != nil {
		t.Fatal(err)
	}
	same, err := Compare(a, a)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range same {
		if d.Significant || d.Change.Mean != 0 {
			t.Errorf("difference between a table and itself: got %+v, want 0 and not significant", d)
		}
	}
	b := append([]Row(nil), a...)
	for i := range b {
		b[i].EarnedShare -= 0.1
	}
	less, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range less {
		if d.Metric == earnedShare.name && (!d.Significant || d.Change.High > -0.09) {
			t.Errorf("a decrease by 0.1 was not found: %+v", d)
		}
	}
	if _, err := Compare(a, nil); err == nil {
		t.Error("comparing tables with nothing in common did not fail")
	}
}

func TestReportIsOnePageWithoutOtherFiles(t *testing.T) {
	dir := t.TempDir()
	runPlan(t, readPlan(t, plan), Options{Dir: dir, Workers: 4, ProgramVersion: "x<y"})
	page := filepath.Join(dir, "r.html")
	if err := WriteReport(dir, page); err != nil {
		t.Fatal(err)
	}
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"12 runs", "program x&lt;y", "No rule violations", "<svg",
		"rate x3, workers 6", "worth earned"} {
		if !bytes.Contains(html, []byte(want)) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, not := range []string{"<script", "http://", "src="} {
		if i := bytes.Index(html, []byte(not)); i >= 0 &&
			!bytes.Contains(html[i:i+40], []byte("www.w3.org")) {
			t.Errorf("the page contains %q", html[i:min(i+60, len(html))])
		}
	}
}

func TestBootstrapInterval(t *testing.T) {
	e := Bootstrap([]float64{1, 2, 3, 4, 5})
	if e.Mean != 3 || e.Low < 1 || e.Low > 2.2 || e.High < 3.8 || e.High > 5 {
		t.Errorf("estimate %+v, want a mean of 3 and an interval within 1 to 5", e)
	}
	if e := Bootstrap(nil); e.N != 0 {
		t.Errorf("want the zero Estimate without values, got %+v", e)
	}
}
