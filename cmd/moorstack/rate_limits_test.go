package main

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// rateDecision is what became of a job at an instance's rate limits.
type rateDecision string

const (
	admittedByRate rateDecision = "admitted"
	rejectedByRate rateDecision = "rejected by the rate"
	notDecided     rateDecision = "rejected before the rates, or not answered"
)

// decideRate sends a job of an account to an instance. There are no workers: the balancer rejects a job that
// is admitted, and gives no reason. An instance whose lease has run out, as for want of processor time,
// rejects the job with another reason before it looks at the rates.
func (g *group) decideRate(name, account string) (decision rateDecision, retryAfter string) {
	g.t.Helper()
	status, h := g.sendJob(name, account)
	switch reason := h.Get("X-Refusal"); {
	case strings.Contains(reason, "has used its rate"):
		return rejectedByRate, h.Get("Retry-After")
	case status == http.StatusServiceUnavailable && reason == "":
		return admittedByRate, h.Get("Retry-After")
	}
	return notDecided, ""
}

// expectRate checks what becomes of a job of an account. It repeats the job until the rates have decided.
func (g *group) expectRate(name, account string, want rateDecision) {
	g.t.Helper()
	eventually(g.t, "the rate limits of "+name+" decide", func() bool {
		got, retryAfter := g.decideRate(name, account)
		if got != notDecided && (got != want || retryAfter == "") {
			g.t.Errorf("%s, account %s: %s, Retry-After %q, want %s", name, account, got, retryAfter, want)
		}
		return got != notDecided
	})
}

// An account has one rate and one burst across three instances, no matter which of them receive its jobs; an
// account without an entry is not limited. An invalid section is rejected with the key in question and
// changes nothing.
func TestAccountsHaveOneRateOverAllFronts(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1", "n2", "n3")
	for want, bad := range map[string]string{
		"no whole number of jobs":         `"account.a" = "1/h burst=0.5"`,
		"there is no class":               `"account.a@z" = "1/s"`,
		"burst=9 or more":                 "parts = \"9\"\n\"account.a\" = \"1/h burst=3 floor=equal\"",
		"there is no tenant of that name": `"account.nobody" = "1/s"`} {
		out, code := g.propose("n1", "[section.ratelimit]\n"+bad+"\n")
		if code == 0 || !strings.Contains(out, want) {
			t.Errorf("%s: exit %d: %s", bad, code, out)
		}
	}
	// The floors of the account "few" start empty and fill at its rate per hour; the account "some" has none,
	// and gets its burst in slices.
	out, code := g.propose("n1", `[section.ratelimit]
account = "X-Account"
tick = "20ms"
term = "200ms"
"account.few" = "1/h burst=6 floor=equal"
"account.some" = "2/s burst=9"
`)
	if code != 0 {
		t.Fatal(out)
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		g.expectRate(name, "few", rejectedByRate)     // its floor has had no time to fill
		g.expectRate(name, "unknown", admittedByRate) // it has no entry, and there is no default
	}
	began, admitted := time.Now(), 0
	for n := 0; time.Since(began) < 6*time.Second; n++ {
		if got, _ := g.decideRate([]string{"n1", "n2", "n3"}[n%3], "some"); got == admittedByRate {
			admitted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if limit := 9 + 2*time.Since(began).Seconds() + 1; float64(admitted) > limit || admitted == 0 {
		t.Errorf("%d jobs in %v, at most %.0f are allowed", admitted, time.Since(began), limit)
	}
	g.expect(0, "jobs_refused_by_rates", "cluster", "status", "--config", "n1.toml", "--output", "json")
}

// While one instance learns late that others have returned, the instances' shares of a slow-start budget do
// not exceed the whole budget, and their slices of an account's rate do not exceed the rate. This includes
// thousands of accounts without an entry.
func TestQuotasAddUpWhileOneInstanceLags(t *testing.T) {
	t.Parallel()
	g := &group{t: t, dir: t.TempDir()}
	faults, err := os.ReadFile("../../docs/examples/lag.txt")
	check(t, err)
	check(t, os.WriteFile(filepath.Join(g.dir, "story.txt"), faults, 0o600))
	g.expect(0, ", 0 violations", "prove", "cluster", "--processes", "5", "--story", "story.txt", "--for",
		"14s", "--duties", "0", "--triggers", "0", "--accounts", "6", "--names", "5000", "--rate", "100")
}

// Instances own accounts and triggers by agreed weights: a dry run prints what would change owners, the
// status prints what each instance owns, and an invalid weight is rejected.
func TestWeightsDecideWhatInstancesOwn(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	all := []string{"n1", "n2", "n3"}
	g.form(all...)
	g.waitAdmitting(all...)
	for want, bad := range map[string]string{`"x" is not a number from 0.1 to 10`: `"weight.n1" = "x"`,
		`"1000" is not a number`: `"weight.n1" = "1000"`, "is no key of this section": `"weights" = "2"`} {
		if out, code := g.propose("n1", "[section.placement]\n"+bad+"\n"); code == 0 ||
			!strings.Contains(out, want) || !strings.Contains(out, "new.toml:") {
			t.Errorf("%s: exit %d: %s", bad, code, out)
		}
	}
	ownedShares := func(instance string) (list []int) {
		out, _ := g.run("cluster", "status", "--config", instance+".toml")
		for _, m := range regexp.MustCompile(`owns (\d+)%`).FindAllStringSubmatch(out, -1) {
			n, err := strconv.Atoi(m[1])
			check(t, err)
			list = append(list, n)
		}
		return list
	}
	waitShares := func(instance string, want ...int) {
		t.Helper()
		var got []int
		within(t, time.Minute, "the shares follow the weights", func() bool {
			got = ownedShares(instance)
			return slices.EqualFunc(got, want, func(a, b int) bool { return max(a-b, b-a) <= 4 })
		})
	}
	waitShares("n2", 33, 33, 33)
	sections := longLease + "[section.placement]\n\"weight.n1\" = \"3\"\n\"weight.n9\" = \"2\"\n" +
		"[section.ratelimit]\naccount = \"X-Account\"\n\"account.desk-4\" = \"20/s burst=40 floor=equal\"\n"
	if out, code := g.propose("n1", sections); code != 0 {
		t.Fatal(out)
	}
	waitShares("n2", 60, 20, 20)
	g.kill("n1", syscall.SIGKILL) // keeps its member number, and so owns the same after its restart
	waitShares("n2", 50, 50)
	g.start("n1")
	g.waitAdmitting("n1")
	waitShares("n1", 60, 20, 20)
	check(t, os.WriteFile(filepath.Join(g.dir, "even.toml"), []byte(strings.Replace(g.must("config", "get",
		"--config", "n1.toml"), `"weight.n1" = "3"`, `"weight.n1" = "1"`, 1)), 0o600))
	// The instances' member numbers are random, and what an instance owns depends on them, so the shares
	// differ by a few percent. On a busy machine a session may also just have ended.
	oneThird := regexp.MustCompile(`n1 owns 3[0-7]% of accounts and triggers`)
	within(t, time.Minute, "a dry run prints what accounts may send and what changes owners", func() bool {
		out, _ := g.run("config", "propose", "even.toml", "--dry-run", "--config", "n3.toml")
		for _, want := range []string{"of them change hands",
			"account desk-4: 20 jobs/s with a burst of 40 across all instances; of that, 4 jobs/s with a " +
				"burst of 8 are",
			"weight.n9: no instance of that name"} {
			if !strings.Contains(out, want) {
				return false
			}
		}
		return oneThird.MatchString(out)
	})
}
