package expect

import (
	"strings"
	"testing"

	"moorstack/internal/proxy/routing"
)

// A mutant for which no expectation fails is reported as surviving. A file with a single expectation has such
// mutants.
func TestSurvivingMutantsAreReported(t *testing.T) {
	const header = "[[expect]]"
	text := readFile(t, deployedExpectations)
	first := strings.Index(text, header)
	second := first + strings.Index(text[first+1:], header) + 1
	killed, survived := 0, 0
	for _, m := range mustLoad(t, text[:second]).Mutate() {
		if m.KilledBy != "" {
			killed++
		} else {
			survived++
		}
	}
	if killed == 0 || survived == 0 {
		t.Errorf("with one expectation, %d killed and %d surviving, want some of each", killed, survived)
	}
}

func TestCompareRulesListsThePlainestChangedJob(t *testing.T) {
	s := loadDeployed(t)
	changed := strings.Replace(readFile(t, deployedRules), `cost_below = "100ms"`, `cost_below = "120ms"`, 1)
	after, err := routing.Parse("new", []byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	changes, jobs, err := CompareRules(s.knownNames, s.rules, after, 100)
	if err != nil || jobs < 1000 || len(changes) == 0 ||
		changes[0].Job != "http, class trip-quote, cost 100ms" {
		t.Errorf("%v %d %+v", err, jobs, changes)
	}
	if changes, _, _ := CompareRules(s.knownNames, s.rules, s.rules, 100); len(changes) > 0 {
		t.Errorf("the same rules are reported as different: %+v", changes)
	}
}
