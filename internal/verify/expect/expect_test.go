package expect

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"moorstack/balancer"
	"moorstack/internal/proxy/routing"
)

const shown = "../../../deploy/expectations/sunday.toml"

func read(t testing.TB, text string, change ...string) (*Suite, error) {
	t.Helper()
	return Load(shown, []byte(strings.NewReplacer(change...).Replace(text)), os.ReadFile)
}

func sunday(t testing.TB) string {
	raw, err := os.ReadFile(shown)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestSunday(t *testing.T) {
	s, err := read(t, sunday(t))
	if err != nil {
		t.Fatal(err)
	}
	first := s.Run(nil)
	if len(first) < 40 {
		t.Errorf("only %d expectations", len(first))
	}
	for _, r := range first {
		if !r.Passed() {
			t.Errorf("%s:%d: %s: %v", r.File, r.Line, r.Name, r.Failures)
		}
	}
	if again := s.Run(nil); fmt.Sprint(again) != fmt.Sprint(first) {
		t.Error("the same file has another result the second time")
	}
}

// No descriptor is needed to check expectations: none can be had, and they hold.
func TestOpensNoSocket(t *testing.T) {
	s, err := read(t, sunday(t))
	if err != nil {
		t.Fatal(err)
	}
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 0, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	defer unix.Setrlimit(unix.RLIMIT_NOFILE, &was)
	if fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0); err == nil {
		unix.Close(fd)
		t.Fatal("a socket can be had, so this test shows nothing")
	}
	for _, r := range s.Run(nil) {
		if !r.Passed() {
			t.Errorf("%s: %v", r.Name, r.Failures)
		}
	}
}

// A broken rule fails the run, and the failure names it.
func TestBrokenRuleIsNamed(t *testing.T) {
	rules, err := os.ReadFile("../../../deploy/routes.toml")
	if err != nil {
		t.Fatal(err)
	}
	broken := strings.Replace(string(rules), `prefer = ["seeb", "ruwi"]`, `prefer = ["ruwi", "seeb"]`, 1)
	s, err := Load(shown, []byte(sunday(t)), func(string) ([]byte, error) { return []byte(broken), nil })
	if err != nil {
		t.Fatal(err)
	}
	failed := 0
	for _, r := range s.Run(func(name string) bool { return name == "dialysis from Seeb prefers seeb" }) {
		if !r.Passed() {
			failed++
		}
		trace := strings.Join(r.Trace, "\n")
		if !strings.Contains(r.Rule, "rule 2 (dialysis-seeb)") ||
			!strings.Contains(r.Rule, "routes.toml:36") ||
			!strings.Contains(trace, "choice 1, ruwi: left r1") ||
			r.Line == 0 {
			t.Errorf("%+v", r)
		}
	}
	if failed != 1 {
		t.Errorf("%d failed", failed)
	}
}

func TestMalformedFiles(t *testing.T) {
	text := sunday(t)
	for want, change := range map[string][]string{
		`there is no zone "mars"`:              {`zone = "seeb"`, `zone = "mars"`},
		`there is no worker "s9"`:              {`workers = ["s1", "s2", "s3"]`, `workers = ["s9"]`},
		`there is no job "x"`:                  {`job = "dialysis-seeb"`, `job = "x"`},
		`there is no roster "x"`:               {`roster = "no-seeb"`, `roster = "x"`},
		`can't be decided`:                     {"within = 0.01", "within = 0.00001, share = 0.5"},
		`it expects nothing`:                   {"tried_at_most = 2\nserved = false", ""},
		`there is no rule "dialysis-sib"`:      {`rule = "dialysis-seeb"`, `rule = "dialysis-sib"`},
		`the rules have no pool "fast"`:        {`pool = "quick"`, `pool = "fast"`},
		`goes_too: this key is not known here`: {"goes_to", "goes_too"},
		`"PAUSED" is not SERVING`:              {`lifecycle = "DELETED"`, `lifecycle = "PAUSED"`},
		`the name "s1" is empty or in use`:     {`name = "s2"`, `name = "s1"`},
	} {
		if _, err := read(t, text, change...); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "sunday.toml:") {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	none := func(string) ([]byte, error) { return nil, errors.New("no rules") }
	if _, err := Load(shown, []byte(text), none); err == nil {
		t.Error("read without its rules")
	}
}

// The draws bring an estimate within its tolerance as often as is said.
func TestDraws(t *testing.T) {
	for _, c := range []struct{ share, within float64 }{{0.5, 0.05}, {1, 0.02}, {0.1, 0.03}} {
		n := float64(requiredSamples(c.share, c.within))
		p := c.share
		if p == 1 {
			p = 1 - c.within
		}
		if sd := math.Sqrt(p * (1 - p) / n); sd*z99 > c.within*1.001 {
			t.Errorf("%v within %v: %v draws leave %v", c.share, c.within, n, sd*z99)
		}
	}
	if requiredSamples(0.5, 0.001) <= MaxSamples {
		t.Error("a share within a thousandth is decided by few draws")
	}
}

// Whatever the rules, no attempt goes where core or balancer bar it, nor outside the pools.
func TestNoRuleSetLiftsABar(t *testing.T) {
	s, err := read(t, sunday(t))
	if err != nil {
		t.Fatal(err)
	}
	kinds := []string{"s1", "s2", "r1", "r2", "r6", "s-drains", "s-cold", "s-mute"}
	replies := []string{"ok", "error", "full"}
	jobs := []string{"dialysis-muscat", "book-muscat", "quote-muscat"}
	names := []string{"everyone", "seeb", "ruwi", "quick", "slow", "canary"}
	rapid.Check(t, func(t *rapid.T) {
		f := *s.rules
		f.Rules = []routing.RuleSpec{
			{Name: "r", Spillover: rapid.SampledFrom([]routing.Spillover{routing.SpillNever, routing.SpillIfEmpty,
				routing.SpillIfBusy}).Draw(t, "spillover"),
				PreferredPools: rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID[string]).
					Draw(t, "prefer"),
				MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts")},
		}
		table, _, err := routing.Compile(&f, s.knownNames)
		if err != nil {
			t.Fatal(err)
		}
		changed := *s
		changed.table = table
		e := Expectation{WorkerSet: "any", After: duration(3 * time.Second)}
		var workers []*Worker
		drained := map[string]bool{}
		for i := range rapid.IntRange(1, 10).Draw(t, "workers") {
			w := *s.workers[rapid.SampledFrom(kinds).Draw(t, "worker")]
			w.Name = fmt.Sprint("w", i)
			copied := w
			workers = append(workers, &copied)
			if rapid.IntRange(0, 3).Draw(t, "drained") == 0 {
				// Told at 1 s, and the job comes at 3 s: nothing new may go there.
				drained[w.Name] = true
				e.Events = append(
					e.Events,
					Event{At: duration(time.Second), Worker: w.Name, Lifecycle: "DRAINING"},
				)
			}
			if answers := rapid.SampledFrom(replies).Draw(t, "answers"); answers != "ok" {
				e.Events = append(e.Events, Event{Worker: w.Name, JobResponse: answers})
			}
		}
		changed.workerSets = map[string][]*Worker{"any": workers}
		j := s.jobs[rapid.SampledFrom(jobs).Draw(t, "job")]
		d := changed.decide(j)
		w, err := changed.newSimulation(&e, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		if err := w.run(j, d, false); err != nil {
			t.Fatal(err)
		}
		if w.response == nil {
			t.Fatal("no final answer")
		}
		pod := -1000
		for n, h := range w.attempts {
			entry := h.entry()
			bw := balancer.Worker{Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, Labels: entry.Labels}
			switch {
			case h.state != balancer.Ready || drained[h.worker.Name]:
				t.Fatalf("attempt %d goes to a worker that drains", n)
			case h.worker.Age > 0 && time.Duration(h.worker.Age) < 24*time.Second:
				t.Fatalf("attempt %d goes to a cold worker without a budget", n)
			case d.Route.Tier(&bw) < 0:
				t.Fatalf("attempt %d goes outside the pools", n)
			case n > 0 && d.MaxAttempts > 0 && n >= d.MaxAttempts:
				t.Fatalf("%d attempts of %d", n+1, d.MaxAttempts)
			case pod != -1000 && s.settings.Classes[d.Class].Idempotency == balancer.IdempotentByKey &&
				h.worker.Cell != pod:
				t.Fatalf("attempt %d of a keyed job that may have run leaves its pod", n)
			}
			if h.reachable && h.jobResponse == "error" { // one that can't be reached has run nothing
				pod = h.worker.Cell
			}
		}
	})
}

// A mutant that no expectation notices is said: here, there is none that would.
func TestSurvivorsAreSaid(t *testing.T) {
	text := sunday(t)
	cut := strings.Index(text, "[[expect]]")
	second := cut + strings.Index(text[cut+1:], "[[expect]]") + 1
	s, err := Load(shown, []byte(text[:second]), os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	killed, survived := 0, 0
	for _, m := range s.Mutate() {
		if m.KilledBy != "" {
			killed++
		} else {
			survived++
		}
	}
	if killed == 0 || survived == 0 {
		t.Errorf("%d killed, %d survive of what one expectation sees", killed, survived)
	}
}

func TestAgainst(t *testing.T) {
	s, err := read(t, sunday(t))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join("../../../deploy", "routes.toml"))
	if err != nil {
		t.Fatal(err)
	}
	now, err := routing.Parse(
		"new",
		[]byte(strings.Replace(string(raw), `cost_below = "100ms"`, `cost_below = "120ms"`, 1)),
	)
	if err != nil {
		t.Fatal(err)
	}
	changes, jobs, err := CompareRules(s.knownNames, s.rules, now, 100)
	if err != nil || jobs < 1000 || len(changes) == 0 ||
		changes[0].Job != "http, class trip-quote, cost 100ms" {
		t.Errorf("%v %d %+v", err, jobs, changes)
	}
	if changes, _, _ := CompareRules(s.knownNames, s.rules, s.rules, 100); len(changes) > 0 {
		t.Errorf("the same rules differ: %+v", changes)
	}
}
