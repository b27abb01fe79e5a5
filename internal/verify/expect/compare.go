package expect

import (
	"fmt"

	"moorstack/internal/proxy/routing"
)

// RoutingChange is a job that two rules files route differently.
type RoutingChange struct {
	Job    string `json:"job"`
	Before string `json:"Was"`
	After  string `json:"Now"`
}

// CompareRules lists jobs that two rules files route differently: for each pair of different decisions the
// simplest job, and at most limit jobs. It generates the jobs from all values that either file names and from
// values that neither names, and also returns how many jobs it generated.
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
			// Jobs are enumerated from simple to specific, so the first job of a pair is the simplest.
			seen[p] = true
			changes = append(changes, RoutingChange{Job: routing.DescribeJob(names, j), Before: p.before,
				After: p.after})
		}
		return len(changes) < limit
	})
	return changes, jobs, nil
}

// describeDecision describes where a decision sends a job. It does not name the rule, because two rules may
// lead to the same decision.
func describeDecision(names routing.KnownNames, d routing.Decision) string {
	if d.RejectReason != "" {
		return fmt.Sprintf("rejected (%s), retry after %v", d.RejectReason, d.RetryAfter)
	}
	if d.Class < 0 {
		return "client error: no class"
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
