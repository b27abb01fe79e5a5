package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// auditPolicies reports admissions under a revision that follow an admission, at any instance, under a
// later revision. It counts the admissions.
func auditPolicies(all []auditEntry) (violations []string, admitted int) {
	newest, latest := uint64(0), auditEntry{}
	for _, e := range all {
		if e.event != "admit" {
			continue
		}
		revision, err := strconv.ParseUint(strings.Fields(e.args)[0], 10, 64)
		if err != nil {
			violations = append(violations, fmt.Sprintf(
				"%s: invalid journal entry on an admission: %q", e.instance, e.args))
			continue
		}
		admitted++
		if revision < newest {
			violations = append(violations, fmt.Sprintf(
				"%s admitted under revision %d %v after %s had under %d",
				e.instance, revision, e.at-latest.at, latest.instance, newest))
		}
		if revision > newest {
			newest, latest = revision, e
		}
	}
	return violations, admitted
}

// admissionPauses returns the lengths of all periods in which an instance admitted no jobs because a
// change was being applied.
func admissionPauses(all []auditEntry) []time.Duration {
	var list []time.Duration
	since := map[string]time.Duration{}
	for _, e := range all {
		closed := e.event == "permit" && strings.HasPrefix(e.args, "open=false")
		switch {
		case closed && strings.Contains(e.args, "taking hold"):
			if _, ok := since[e.instance]; !ok {
				since[e.instance] = e.at
			}
		case e.event == "open":
			if at, ok := since[e.instance]; ok {
				list = append(list, e.at-at)
			}
			delete(since, e.instance)
		case e.event == "start" || closed: // it admits no jobs for another reason
			delete(since, e.instance)
		}
	}
	return list
}
