package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/ratelimit"
)

func TestSchedulesAreParsedAndRejected(t *testing.T) {
	names := InstanceNames(3)
	for seed := range uint64(50) {
		drawn := DrawSchedule(seed, names, 20*time.Second)
		read, err := ParseSchedule("s", FormatSchedule(drawn), names)
		if err != nil || len(read) != len(drawn) {
			t.Fatalf("seed %d: %d of %d faults: %v", seed, len(read), len(drawn), err)
		}
		for i := range read {
			if read[i].String() != drawn[i].String() {
				t.Fatalf("seed %d: %q became %q", seed, drawn[i], read[i])
			}
		}
	}
	for text, says := range map[string]string{
		"x stall n1 1s":             `s:1: "x" is not a time`,
		"1s":                        "a fault must follow",
		"1s burn n1":                `"burn" is no fault; ahead, behind, cut, deaf`,
		"1s cut n1":                 "1 words follow, 2 are wanted: nothing gets through",
		"1s stall n9 1s":            `there is no instance "n9"; n1 to n3 are, and leader`,
		"1s cut n1 n1":              "n1 is named twice",
		"1s stall n1 -1s":           `"-1s" is not a time above 0`,
		"1s slow n1 n2 0":           `"0" is not a number of bytes`,
		"1s @agreed kill n1":        `@agreed: no change or duty has such a step; acts, ceased, gives, holds`,
		"1s @staged:n7 kill n1":     `@staged: there is no instance "n7"; n1 to n3 are`,
		"1s @staged":                "a fault must follow the step",
		"1s kill it":                `"it" is who has taken a step, and the line waits for none`,
		"# first\n2s heal\n1s heal": "s:3: time 1s comes after 2s",
	} {
		if _, err := ParseSchedule("s", []byte(text), names); err == nil ||
			!strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want %q", text, err, says)
		}
	}
}

func TestShrinkFindsTheSmallestSchedule(t *testing.T) {
	story := DrawSchedule(3, InstanceNames(3), time.Minute)
	need := []Fault{story[4], story[17]}
	breaks := func(s []Fault) bool {
		for _, n := range need {
			if !slices.ContainsFunc(s, func(f Fault) bool { return f.String() == n.String() }) {
				return false
			}
		}
		return true
	}
	if got := Shrink(story, breaks); len(got) != 2 {
		t.Errorf("%d of %d lines are left, 2 are needed: %v", len(got), len(story), got)
	}
}

// The audit finds what it is there for.
func TestAuditFindsAnAdmissionOutOfOrder(t *testing.T) {
	at := func(ms int, who, what, rest string) auditEntry {
		return auditEntry{time.Duration(ms) * time.Millisecond, who, what, rest}
	}
	good := []auditEntry{at(1, "a", "admit", "1 x"), at(2, "b", "admit", "1 y"), at(3, "a", "admit", "2 z")}
	if broken, n := auditPolicies(good); len(broken) > 0 || n != 3 {
		t.Errorf("%v, %d admissions", broken, n)
	}
	broken, _ := auditPolicies(append(good, at(9, "b", "admit", "1 w")))
	if len(broken) != 1 || !strings.Contains(broken[0],
		"b admitted under revision 1 6ms after a had under 2") {
		t.Errorf("%v", broken)
	}
	closed := `open=false revision=1 why="a change of policy is taking hold"`
	got := admissionPauses(
		[]auditEntry{at(1, "a", "permit", closed), at(5, "a", "open", "2"), at(6, "b", "permit", closed),
			at(7, "b", "start", "b"), at(9, "b", "open", "2")},
	)
	if !slices.Equal(got, []time.Duration{4 * time.Millisecond}) {
		t.Errorf("pauses %v", got)
	}
}

func TestAuditFindsTwoTaskHolders(t *testing.T) {
	act := func(ms int, who, rest string) auditEntry {
		return auditEntry{time.Duration(ms) * time.Millisecond, who, "act", rest}
	}
	good := []auditEntry{act(1, "a", "x 4"), act(2, "b", "y 5"), act(9, "b", "x 6")}
	if broken, acts, gaps := auditTasks(good); len(broken) > 0 || acts != 3 || !slices.Equal(gaps,
		[]time.Duration{8 * time.Millisecond}) {
		t.Errorf("%v, %d acts, %v", broken, acts, gaps)
	}
	for says, bad := range map[string]auditEntry{"a acted in x under the number 4": act(11, "a", "x 4"),
		"a acted in x under the number 6": act(11, "a", "x 6"), `"x" is no act`: act(11, "a", "x")} {
		if broken, _, _ := auditTasks(append(slices.Clone(good), bad)); len(broken) != 1 ||
			!strings.Contains(broken[0], says) {
			t.Errorf("%v, want %q", broken, says)
		}
	}
}

func TestAuditFindsOverCommittedBudget(t *testing.T) {
	part := func(ms int, who, rest string) auditEntry {
		return auditEntry{time.Duration(ms) * time.Millisecond, who, "part", rest}
	}
	good := []auditEntry{
		part(1, "a", "0 2 9000000"),
		part(2, "b", "1 2 9000000"),
		part(5, "a", "0 2 20000000"),
		part(9, "b", "none"),
		part(20, "c", "0 1 30000000"),
		part(30, "a", "1 2 40000000"),
		{31 * time.Millisecond, "a", "start", "a"},
		part(32, "b", "0 1 50000000"),
	}
	if broken, parts := auditBudgetShares(good); len(broken) > 0 || parts != 6 {
		t.Errorf("%v, %d parts", broken, parts)
	}
	for says, bad := range map[string][]auditEntry{
		"b takes part 0 of 2":  {part(1, "a", "0 2 9000000"), part(2, "b", "0 2 9000000")},
		"1.333 of cold":        {part(1, "a", "0 1 9000000"), part(2, "b", "1 3 9000000")},
		"1.500 of cold":        {part(1, "a", "1 2 9000000"), part(2, "b", "0 1 9000000")},
		`"2 2 5" is no part`:   {part(1, "a", "2 2 5")},
		`"1 2 soon" is no par`: {part(1, "a", "1 2 soon")},
	} {
		if broken, _ := auditBudgetShares(bad); len(broken) != 1 || !strings.Contains(broken[0], says) {
			t.Errorf("%v, want %q", broken, says)
		}
	}
}

func TestAuditFindsAdmissionsBeyondRate(t *testing.T) {
	words := map[string]string{"account.a": "10/s burst=2", "account": "X-Account"}
	p, wrong := ratelimit.ParsePolicy(words, nil)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	policies := map[uint64]ratelimit.Policy{p.Version: p}
	runs := func(who string) auditEntry { return auditEntry{0, who, "rates", fmt.Sprint(p.Version)} }
	rate := func(ms int, who, rest string) auditEntry {
		return auditEntry{time.Duration(ms) * time.Millisecond, who, "rate", rest}
	}
	good := []auditEntry{runs("x"), runs("y"), rate(1, "x", `"a" "c"`), rate(1, "y", `"a" "c"`),
		rate(101, "y", `"a" "c"`), rate(101, "x", `"b" "c"`), rate(101, "x", `"b" "c"`)}
	if r := auditRates(good, policies); len(r.violations) > 0 || r.admitted != 5 {
		t.Errorf("%v, %d admissions", r.violations, r.admitted)
	}
	for says, bad := range map[string]auditEntry{"x admitted job 4, beyond 10 a second": rate(150, "x",
		`"a" "c"`),
		"is no admission of an account": rate(150, "x", `a c`),
		"nobody has agreed on":          {0, "y", "rates", "9"}} {
		list := append(slices.Clone(good), bad, rate(500, "y", `"a" "c"`))
		if r := auditRates(list, policies); len(r.violations) == 0 ||
			!strings.Contains(r.violations[0], says) {
			t.Errorf("%v, want %q", r.violations, says)
		}
	}
}
