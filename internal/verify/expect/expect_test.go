package expect

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	deployedExpectations = "../../../deploy/expectations/sunday.toml"
	deployedRules        = "../../../deploy/routes.toml"
)

func readFile(t testing.TB, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// mustLoad loads text as if it were the content of the deployed file of expectations.
func mustLoad(t testing.TB, text string) *Suite {
	t.Helper()
	s, err := Load(deployedExpectations, []byte(text), os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func loadDeployed(t testing.TB) *Suite {
	t.Helper()
	return mustLoad(t, readFile(t, deployedExpectations))
}

func TestDeployedExpectationsHoldEachTime(t *testing.T) {
	s := loadDeployed(t)
	first := s.Run(nil)
	if len(first) < 40 {
		t.Errorf("got %d expectations, want at least 40", len(first))
	}
	for _, r := range first {
		if !r.Passed() {
			t.Errorf("%s:%d: %s: %v", r.File, r.Line, r.Name, r.Failures)
		}
	}
	if again := s.Run(nil); fmt.Sprint(again) != fmt.Sprint(first) {
		t.Error("a second run of the same file has a different result")
	}
}

// Checking expectations opens no file descriptor: all expectations pass while the limit on descriptors is 0.
func TestRunOpensNoDescriptor(t *testing.T) {
	s := loadDeployed(t)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 0, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	})
	if fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0); err == nil {
		unix.Close(fd)
		t.Fatal("a socket could be opened although the limit on descriptors is 0")
	}
	for _, r := range s.Run(nil) {
		if !r.Passed() {
			t.Errorf("%s: %v", r.Name, r.Failures)
		}
	}
}

// When a rule is broken, the failure names the rule, its position and the candidates that it leaves.
func TestFailureNamesTheBrokenRule(t *testing.T) {
	broken := strings.Replace(readFile(t, deployedRules), `prefer = ["seeb", "ruwi"]`,
		`prefer = ["ruwi", "seeb"]`, 1)
	s, err := Load(deployedExpectations, []byte(readFile(t, deployedExpectations)),
		func(string) ([]byte, error) { return []byte(broken), nil })
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
			!strings.Contains(trace, "tier 1, ruwi: candidates r1") ||
			r.Line == 0 {
			t.Errorf("%+v", r)
		}
	}
	if failed != 1 {
		t.Errorf("%d expectations failed, want 1", failed)
	}
}

func TestMalformedFilesAreRejectedWithTheirLine(t *testing.T) {
	text := readFile(t, deployedExpectations)
	for _, c := range []struct{ want, replace, by string }{
		{`there is no zone "mars"`, `zone = "seeb"`, `zone = "mars"`},
		{`there is no worker "s9"`, `workers = ["s1", "s2", "s3"]`, `workers = ["s9"]`},
		{`there is no job "x"`, `job = "dialysis-seeb"`, `job = "x"`},
		{`there is no roster "x"`, `roster = "no-seeb"`, `roster = "x"`},
		{`can't be decided`, "within = 0.01", "within = 0.00001, share = 0.5"},
		{`the expectation states no condition, so it can't fail`, "tried_at_most = 2\nserved = false", ""},
		{`there is no rule "dialysis-sib"`, `rule = "dialysis-seeb"`, `rule = "dialysis-sib"`},
		{`the rules have no pool "fast"`, `pool = "quick"`, `pool = "fast"`},
		{`goes_too: this key is not known here`, "goes_to", "goes_too"},
		{`lifecycle must be SERVING, DRAINING or DELETED, got "PAUSED"`, `lifecycle = "DELETED"`,
			`lifecycle = "PAUSED"`},
		{`the name "s1" is empty or in use`, `name = "s2"`, `name = "s1"`},
	} {
		changed := strings.ReplaceAll(text, c.replace, c.by)
		_, err := Load(deployedExpectations, []byte(changed), os.ReadFile)
		if err == nil || !strings.Contains(err.Error(), c.want) ||
			!strings.Contains(err.Error(), "sunday.toml:") {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

func TestLoadFailsWithoutTheRules(t *testing.T) {
	errNoRules := errors.New("no rules")
	none := func(string) ([]byte, error) { return nil, errNoRules }
	if _, err := Load(deployedExpectations, []byte(readFile(t, deployedExpectations)), none); !errors.Is(err,
		errNoRules) {
		t.Errorf("got %v, want %v", err, errNoRules)
	}
}

// The required number of samples keeps the estimate of a share within the tolerance with a confidence of 99%.
func TestRequiredSamplesReachTheTolerance(t *testing.T) {
	for _, c := range []struct{ share, tolerance float64 }{{0.5, 0.05}, {1, 0.02}, {0.1, 0.03}} {
		n := float64(requiredSamples(c.share, c.tolerance))
		p := c.share
		if p == 1 {
			p = 1 - c.tolerance
		}
		if sd := math.Sqrt(p * (1 - p) / n); sd*normalQuantile99 > c.tolerance*1.001 {
			t.Errorf("share %v, tolerance %v: with %v samples the 99%% error is %v", c.share, c.tolerance, n,
				sd*normalQuantile99)
		}
	}
	if requiredSamples(0.5, 0.001) <= MaxSamples {
		t.Error("a tolerance of 0.001 requires no more than MaxSamples samples")
	}
}
