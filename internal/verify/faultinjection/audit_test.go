package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/ratelimit"
)

// entryAt returns a journal entry at a time in milliseconds.
func entryAt(ms int, instance, event, args string) auditEntry {
	return auditEntry{time.Duration(ms) * time.Millisecond, instance, event, args}
}

// wantViolation fails the test unless there is exactly one violation and it contains want.
func wantViolation(t *testing.T, violations []string, want string) {
	t.Helper()
	if len(violations) != 1 || !strings.Contains(violations[0], want) {
		t.Errorf("%v, want %q", violations, want)
	}
}

func TestAuditFindsAnAdmissionOutOfOrder(t *testing.T) {
	good := []auditEntry{
		entryAt(1, "a", "admit", "1 x"),
		entryAt(2, "b", "admit", "1 y"),
		entryAt(3, "a", "admit", "2 z"),
	}
	if violations, n := auditPolicies(good); len(violations) > 0 || n != 3 {
		t.Errorf("%v, %d admissions", violations, n)
	}
	violations, _ := auditPolicies(append(good, entryAt(9, "b", "admit", "1 w")))
	wantViolation(t, violations, "b admitted under revision 1 6ms after a had under 2")
	closed := `open=false revision=1 why="a change of policy is taking hold"`
	got := admissionPauses([]auditEntry{
		entryAt(1, "a", "permit", closed),
		entryAt(5, "a", "open", "2"),
		entryAt(6, "b", "permit", closed),
		entryAt(7, "b", "start", "b"),
		entryAt(9, "b", "open", "2"),
	})
	if !slices.Equal(got, []time.Duration{4 * time.Millisecond}) {
		t.Errorf("pauses %v", got)
	}
}

func TestAuditFindsTwoTaskHolders(t *testing.T) {
	act := func(ms int, instance, args string) auditEntry { return entryAt(ms, instance, "act", args) }
	good := []auditEntry{act(1, "a", "x 4"), act(2, "b", "y 5"), act(9, "b", "x 6")}
	found := auditTasks(good)
	if len(found.violations) > 0 || found.actions != 3 ||
		!slices.Equal(found.gaps, []time.Duration{8 * time.Millisecond}) {
		t.Errorf("%+v", found)
	}
	for want, bad := range map[string]auditEntry{
		"a acted in x under the fencing token 4":  act(11, "a", "x 4"),
		"a acted in x under the fencing token 6":  act(11, "a", "x 6"),
		`invalid journal entry on an action: "x"`: act(11, "a", "x"),
	} {
		t.Run(want, func(t *testing.T) {
			wantViolation(t, auditTasks(append(slices.Clone(good), bad)).violations, want)
		})
	}
}

func TestAuditFindsOverCommittedBudget(t *testing.T) {
	share := func(ms int, instance, args string) auditEntry { return entryAt(ms, instance, "part", args) }
	good := []auditEntry{
		share(1, "a", "0 2 9000000"),
		share(2, "b", "1 2 9000000"),
		share(5, "a", "0 2 20000000"),
		share(9, "b", "none"),
		share(20, "c", "0 1 30000000"),
		share(30, "a", "1 2 40000000"),
		entryAt(31, "a", "start", "a"),
		share(32, "b", "0 1 50000000"),
	}
	if violations, shares := auditBudgetShares(good); len(violations) > 0 || shares != 6 {
		t.Errorf("%v, %d shares", violations, shares)
	}
	for want, bad := range map[string][]auditEntry{
		"b holds share 0 of 2":         {share(1, "a", "0 2 9000000"), share(2, "b", "0 2 9000000")},
		"1.333 of the slow-start":      {share(1, "a", "0 1 9000000"), share(2, "b", "1 3 9000000")},
		"1.500 of the slow-start":      {share(1, "a", "1 2 9000000"), share(2, "b", "0 1 9000000")},
		`entry on a share: "2 2 5"`:    {share(1, "a", "2 2 5")},
		`entry on a share: "1 2 soon"`: {share(1, "a", "1 2 soon")},
	} {
		t.Run(want, func(t *testing.T) {
			violations, _ := auditBudgetShares(bad)
			wantViolation(t, violations, want)
		})
	}
}

func TestAuditFindsAdmissionsBeyondRate(t *testing.T) {
	section := map[string]string{"account.a": "10/s burst=2", "account": "X-Account"}
	policy, problems := ratelimit.ParsePolicy(section, nil)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	policies := map[uint64]ratelimit.Policy{policy.Version: policy}
	switched := func(instance string) auditEntry {
		return entryAt(0, instance, "rates", fmt.Sprint(policy.Version))
	}
	admitted := func(ms int, instance, args string) auditEntry { return entryAt(ms, instance, "rate", args) }
	good := []auditEntry{
		switched("x"),
		switched("y"),
		admitted(1, "x", `"a" "c"`),
		admitted(1, "y", `"a" "c"`),
		admitted(101, "y", `"a" "c"`),
		admitted(101, "x", `"b" "c"`),
		admitted(101, "x", `"b" "c"`),
	}
	if found := auditRates(good, policies); len(found.violations) > 0 || found.admitted != 5 {
		t.Errorf("%v, %d admissions", found.violations, found.admitted)
	}
	for want, bad := range map[string]auditEntry{
		"x admitted job 4, over the rate of 10/s":             admitted(150, "x", `"a" "c"`),
		"invalid journal entry on an admission of an account": admitted(150, "x", `a c`),
		"that was never proposed":                             entryAt(0, "y", "rates", "9"),
	} {
		t.Run(want, func(t *testing.T) {
			list := append(slices.Clone(good), bad, admitted(500, "y", `"a" "c"`))
			violations := auditRates(list, policies).violations
			if len(violations) == 0 || !strings.Contains(violations[0], want) {
				t.Errorf("%v, want %q", violations, want)
			}
		})
	}
}
