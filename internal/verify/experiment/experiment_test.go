package experiment

import (
	"bytes"
	"context"
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

func files(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"s.toml": scenario, "p.toml": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "p.toml")
}

func tables(t *testing.T, dir string) []byte {
	t.Helper()
	var all []byte
	for _, name := range []string{"runs.parquet", "seconds.parquet"} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	return all
}

// The tables are the same to the byte with one run at a time and with four, and after an
// interruption that cut the journal's last line short.
func TestTablesAreTheSame(t *testing.T) {
	p, err := ReadPlan(files(t, plan))
	if err != nil {
		t.Fatal(err)
	}
	one, four, cut := t.TempDir(), t.TempDir(), t.TempDir()
	ctx := context.Background()
	for dir, workers := range map[string]int{one: 1, four: 4} {
		if r, err := Run(ctx, p, Options{Dir: dir, Workers: workers, ProgramVersion: "x"}); err != nil ||
			r.Runs != 12 {
			t.Fatal(r, err)
		}
	}
	if !bytes.Equal(tables(t, one), tables(t, four)) {
		t.Error("one and four runs at once give different tables")
	}
	interrupted, stop := context.WithCancel(ctx)
	_, err = Run(interrupted, p, Options{Dir: cut, Workers: 1, ProgramVersion: "x", Progress: func(n, _ int) {
		if n == 5 {
			stop()
		}
	}})
	if err == nil {
		t.Fatal("it was not interrupted")
	}
	path := filepath.Join(cut, journal)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b[:len(b)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := Run(ctx, p, Options{Dir: cut, Workers: 2, ProgramVersion: "x"})
	if err != nil || r.Resumed < 4 || r.Resumed > 11 {
		t.Fatal(r, err)
	}
	if !bytes.Equal(tables(t, one), tables(t, cut)) {
		t.Error("an interruption shows in the tables")
	}
	// Results of a plan that has changed are not mixed with its own.
	changed, err := ReadPlan(files(t, strings.Replace(plan, "seeds = 3", "seeds = 4", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(ctx, changed, Options{Dir: cut, Workers: 1}); err == nil {
		t.Error("a changed plan goes on with old results")
	}
}

func TestBadPlans(t *testing.T) {
	for want, change := range map[string][2]string{
		`there is no "clints"`:               {"clients.*.rate", "clints.*.rate"},
		`"9" is none of its 1 entries`:       {"workers.0.count", "workers.9.count"},
		`is no number in the scenario`:       {"clients.*.rate", "clients.*.team"},
		`p.toml:7: factor.scal`:              {"scale", "scal"},
		`either levels or scale are wanted`:  {"levels = [4, 6]", ""},
		`count, cores, slots and speed must`: {"levels = [4, 6]", "levels = [4, -1]"},
		`p.toml:3: seeds: 0 is not a number`: {"seeds = 3", "seeds = 0"},
		`there would be over 100000 runs`:    {"seeds = 3", "seeds = 90000"},
		`p.toml:1: name: a plan has a name`:  {`name = "p"`, `name = ""`},
	} {
		_, err := ReadPlan(files(t, strings.Replace(plan, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func TestCompareAndReport(t *testing.T) {
	p, err := ReadPlan(files(t, plan))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if _, err := Run(context.Background(), p, Options{Dir: dir, Workers: 4,
		ProgramVersion: "x<y"}); err != nil {
		t.Fatal(err)
	}
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
			t.Errorf("a table differs from itself: %+v", d)
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
		if d.Metric == "earned" && (!d.Significant || d.Change.High > -0.09) {
			t.Errorf("a tenth less is not seen: %+v", d)
		}
	}
	page := filepath.Join(dir, "r.html")
	if err := WriteReport(dir, page); err != nil {
		t.Fatal(err)
	}
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"12 runs", "program x&lt;y", "No rule was broken", "<svg",
		"rate x3, workers 6", "worth earned"} {
		if !bytes.Contains(html, []byte(want)) {
			t.Errorf("the page has no %q", want)
		}
	}
	for _, not := range []string{"<script", "http://", "src="} {
		if i := bytes.Index(html, []byte(not)); i >= 0 &&
			!bytes.Contains(html[i:i+40], []byte("www.w3.org")) {
			t.Errorf("the page has %q", html[i:min(i+60, len(html))])
		}
	}
}

func TestBootstrap(t *testing.T) {
	e := Bootstrap([]float64{1, 2, 3, 4, 5})
	if e.Mean != 3 || e.Low < 1 || e.Low > 2.2 || e.High < 3.8 || e.High > 5 {
		t.Errorf("%+v", e)
	}
	if e := Bootstrap(nil); e.N != 0 {
		t.Errorf("%+v", e)
	}
}
