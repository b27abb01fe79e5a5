package schedule

import (
	"strings"
	"testing"
)

var testKnownNames = KnownNames{Classes: []string{"trip-book", "once"}, Tenants: []string{"muscat"}}

func mustParsePolicy(t testing.TB, values map[string]string, names KnownNames) Policy {
	t.Helper()
	p, problems := ParsePolicy(values, names)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return p
}

// The problem reported for an invalid trigger contains its key and what is expected.
func TestInvalidTriggerIsRejectedWithItsKey(t *testing.T) {
	for text, want := range map[string]string{
		"30 6 * * MON class=trip-book":                          "its zone is not given",
		"30 6 * * MON zone=Asia/Muscat":                         "its class is not given: class=trip-book",
		"30 6 * * MON zone=Asia/Muscat class=x":                 "there is no such class; trip-book, once",
		"30 6 * * MON zone=Asia/Muscat class=once tenant=y":     "there is no such tenant",
		"30 26 * * MON zone=Asia/Muscat class=once":             "above maximum",
		"30 6 31 4 * zone=Asia/Muscat class=once":               "never comes",
		"30 6 * * * zone=Asia/Muscat class=once gap=no":         "after, shift, skip are possible",
		"30 6 * * * zone=Asia/Muscat class=once late=1000h":     "is not a time from 1s to 168h",
		"30 6 * * * zone=Asia/Muscat class=once path=x":         "does not begin with /",
		"30 6 * * * zone=Asia/Muscat class=once colour=red":     "colour= is no word of a trigger",
		"30 6 * * * zone=Asia/Muscat class=once interval=solar": "elapsed, wall are possible",
	} {
		_, problems := ParsePolicy(map[string]string{"trigger.a": text}, testKnownNames)
		if len(problems) != 1 || !strings.HasPrefix(problems[0], "trigger.a: ") ||
			!strings.Contains(problems[0], want) {
			t.Errorf("%q: got problems %v, want one with %q", text, problems, want)
		}
	}
	for _, values := range []map[string]string{{"zones": "x"}, {"bound": "1ms"}, {"tigger.a": "x"},
		{"trigger.a@b": "0 0 * * * zone=UTC class=once"}} {
		if _, problems := ParsePolicy(values, testKnownNames); len(problems) != 1 {
			t.Errorf("%v: got problems %v, want one", values, problems)
		}
	}
	p := mustParsePolicy(t, map[string]string{"zone": "UTC",
		"trigger.a": "0 6 * * * class=once body={\"to\": 1 }"}, testKnownNames)
	if p.Triggers[0].Body != "{\"to\": 1 }" || p.Triggers[0].Expression != "0 6 * * *" {
		t.Errorf("body or expression of the trigger is wrong: %+v", p)
	}
}
