package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	"moorstack/internal/frozen/golden"
	"moorstack/internal/schema"
)

// Operators' scripts use the admin address: the calls, their complete replies, the names of the metrics and
// the output of the command "call" must not change.
func TestCallsAreFrozen(t *testing.T) {
	o := startNodeWithAdmin(t, 2, completeJob)
	o.dial().send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "did x")
	var b strings.Builder
	for _, line := range []string{"status", "stats", " stats\t", "maint-on s-0000", "stats",
		"maint-on s-0000", "maint-off s-0000", "maint-off s-0000", "maint-on s-none", "maint-off s-none",
		"standby", "status", "standby", "active", "active", "status",
		"", "maint-on", "maint-on a b", "standby now", "STATUS",
		"stat\x00us", strings.Repeat("x", 513)} {
		answer := adminCall(t, o.admin, line+"\n")
		fmt.Fprintf(&b, "%q\n  %q\n", line, answer)
	}
	for _, args := range []string{"status", "stats", "stats --output json", "maint-on s-none"} {
		cmd := exec.Command(program, append([]string{"call", o.admin}, strings.Fields(args)...)...)
		out, _ := cmd.CombinedOutput()
		fmt.Fprintf(&b, "moorstack call ADDRESS %s\nexit code %d\n%s", args, cmd.ProcessState.ExitCode(), out)
	}
	golden.Compare(t, "calls.txt", b.String())
}

var (
	numbers = regexp.MustCompile(`[0-9a-f]{8,}|[0-9.]+(µs|ms|s\b|m\b)?`)
	blanks  = regexp.MustCompile(` +`)
)

// withoutNumbers replaces what differs from run to run: numbers with their units, and the widths of columns.
func withoutNumbers(text string) string {
	return blanks.ReplaceAllString(numbers.ReplaceAllString(text, "#"), " ")
}

// The tables that the only instance of a group prints, without their numbers, and the names of its counters
// must not change.
func TestAnswersOfCommandsAreFrozen(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1")
	g.waitAdmitting("n1")
	g.setSections("n1", `[section.duties]
drill = "1"
[section.schedule]
"trigger.yearly" = "0 0 29 2 * zone=UTC class=trip-quote"
`)
	g.waitHeld("drill-1", 0, "n1")
	eventually(t, "the triggers' owner knows the fleet's time", func() bool {
		out := g.must("cluster", "status", "--config", "n1.toml")
		return strings.Contains(withoutNumbers(out), "fleet's time #")
	})
	var b strings.Builder
	for _, c := range []string{"cluster status", "duty list", "duty show drill-1", "duty history drill-1",
		"config history", "cluster roll show"} {
		out, code := g.run(append(strings.Fields(c), "--config", "n1.toml")...)
		fmt.Fprintf(&b, "moorstack %s\nexit code %d\n%s", c, code, withoutNumbers(out))
	}
	var s schema.StatusReply
	out := g.must("cluster", "status", "--output", "json", "--config", "n1.toml")
	check(t, json.Unmarshal([]byte(out), &s))
	fmt.Fprintf(&b, "counters %q\n", slices.Sorted(maps.Keys(s.Counters)))
	golden.Compare(t, "answers.txt", b.String())
}
