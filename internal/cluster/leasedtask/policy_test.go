package leasedtask

import (
	"strings"
	"testing"
)

func TestParsePolicy(t *testing.T) {
	p, problems := ParsePolicy(map[string]string{"drill": "2", "backup_every": "1h",
		"backup_prefer": "n2 n1"}, 6)
	if len(problems) > 0 || len(p.Specs()) != 3 || p.BackupsKept != 24 ||
		p.Specs()[0].RequiredLabel != BackupLabel {
		t.Errorf("got the policy %+v and the problems %v", p, problems)
	}
}

func TestParsePolicyReportsProblems(t *testing.T) {
	_, problems := ParsePolicy(map[string]string{"drill": "x", "backup_every": "1ms", "backup_keep": "0",
		"bakup": "1"}, rollingRestartFormat)
	for _, want := range []string{`drill: "x" is not a number`, `backup_every: "1ms" is not a time from 1s`,
		`backup_keep: "0" is not a number from 1`, `"bakup" is no key of this section`} {
		if !strings.Contains(strings.Join(problems, "\n"), want) {
			t.Errorf("the problems %v do not include %q", problems, want)
		}
	}
}

// A group that includes an older program reports the same problems as that program, word for word.
func TestParsePolicyOfAnOlderFormat(t *testing.T) {
	p, problems := ParsePolicy(map[string]string{"roll": "on"}, rollingRestartFormat-1)
	if p.RollingRestart || len(problems) != 1 || problems[0] != `"roll" is no key of this section; list, `+
		`backup_every, backup_keep, backup_prefer and drill are` {
		t.Errorf("got the policy %+v and the problems %v", p, problems)
	}
	p, problems = ParsePolicy(map[string]string{"roll": "on"}, rollingRestartFormat)
	if !p.RollingRestart || len(problems) > 0 {
		t.Errorf("got the policy %+v and the problems %v", p, problems)
	}
}
