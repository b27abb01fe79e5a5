package expect

import (
	"fmt"

	"moorstack/internal/proxy/routing"
)

// RoutingChange is a job that is routed differently by two files of rules.
type RoutingChange struct {
	Job    string `json:"job"`
	Before string `json:"Was"`
	After  string `json:"Now"`
}

// CompareRules lists the jobs that are routed differently by two files of rules: one, as plain as possible,
// for each pair of different decisions, and no more than limit. The jobs are made of all values that the
// rules of both name, and of values that neither names. It also returns how many jobs were made.
func CompareRules(names routing.KnownNames, before, after *routing.File, limit int) (changes []RoutingChange,
	jobs int, err error) {
	tableBefore, _, err := routing.Compile(before, names)
	if err != nil {
		return nil, 0, err
	}
	tableAfter, _, err := routing.Compile(after, names)
	if err != nil {
		return nil, 0, err
	}
	type pair struct{ before, after string }
	seen := map[pair]bool{}
	routing.EnumerateJobs(names, before, after, func(j *routing.Job) bool {
		jobs++
		p := pair{describeDecision(names, tableBefore.Decide(j)),
			describeDecision(names, tableAfter.Decide(j))}
		if p.before != p.after && !seen[p] {
			// Jobs come from plain to special, so the first of a pair is the plainest.
			seen[p] = true
			changes = append(changes, RoutingChange{Job: routing.DescribeJob(names, j), Before: p.before,
				After: p.after})
		}
		return len(changes) < limit
	})
	return changes, jobs, nil
}

// describeDecision describes where a decision sends a job. It does not name the rule, since two rules may
// decide alike.
func describeDecision(names routing.KnownNames, d routing.Decision) string {
	if d.RejectReason != "" {
		return fmt.Sprintf("refused (%s), return after %v", d.RejectReason, d.RetryAfter)
	}
	if d.Class < 0 {
		return "turned away: no class"
	}
	text := names.Classes[d.Class] + " to "
	if r, ok := d.Route.(*routing.Route); ok && r != nil {
		text += r.String()
	} else {
		text += "any worker"
	}
	if d.MaxAttempts > 0 {
		text += fmt.Sprintf(", %d attempts", d.MaxAttempts)
	}
	if d.AttemptTimeout > 0 {
		text += fmt.Sprintf(", %v each", d.AttemptTimeout)
	}
	return text
}
