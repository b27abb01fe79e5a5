package faultinjection

import (
	"context"
	"fmt"
	"slices"
)

// maxLastEntries is how many of the last journal entries a result with violations includes.
const maxLastEntries = 30

// audit runs all audits: of every instance's history of changes, of the journals, of the jobs, and of
// whether there was anything to audit.
func (r *run) audit(ctx context.Context) error {
	r.auditHistories(ctx)
	all, err := r.readJournals()
	if err != nil {
		return err
	}
	r.auditJournals(all)
	r.auditJobs()
	r.auditCoverage()
	if len(r.result.Violations) > 0 {
		for _, e := range all[max(0, len(all)-maxLastEntries):] {
			r.result.LastEntries = append(r.result.LastEntries,
				fmt.Sprintf("%v %s %s %s", e.at, e.instance, e.event, e.args))
		}
	}
	return nil
}

// auditJournals runs the audits of the journals, and adds their counts and violations to the result.
func (r *run) auditJournals(all []auditEntry) {
	policies, admitted := auditPolicies(all)
	r.result.Admitted, r.result.AdmissionPauses = admitted, admissionPauses(all)
	tasks := auditTasks(all)
	r.result.TaskActions, r.result.TaskGaps = tasks.actions, tasks.gaps
	rates := auditRates(all, r.proposedRates)
	r.result.RatedAdmissions, r.result.RateUtilization = rates.admitted, rates.utilization
	r.result.MaxAdmissionGap, r.result.Accounts = rates.maxGap, rates.accounts
	budgets, shares := auditBudgetShares(all)
	r.result.BudgetShares = shares
	restarts, restarted := auditRollingRestarts(all)
	r.result.RestartedInstances = restarted
	var triggers triggerAudit
	if r.Triggers > 0 {
		triggers = r.auditTriggers(all)
		r.result.Triggers = triggers.TriggerCounts
	}
	shutdowns := r.auditShutdowns(all)
	for _, violation := range slices.Concat(policies, tasks.violations, rates.violations, budgets,
		triggers.violations, restarts, shutdowns) {
		r.violate("%s", violation)
	}
}

// auditJobs reports responses that the protocol does not allow.
func (r *run) auditJobs() {
	if n := r.result.Jobs.WithoutRetryAfter; n > 0 {
		r.violate("%d rejections have no Retry-After header", n)
	}
	if n := r.result.Jobs.UnknownStatus; n > 0 {
		r.violate("%d responses have a status that the protocol does not allow", n)
	}
}

// auditCoverage reports audits that had nothing to audit.
func (r *run) auditCoverage() {
	if r.MaxRestarting > 0 && r.result.RestartedInstances == 0 {
		r.violate("no instance was restarted by a rolling restart: nothing to audit")
	}
	if r.Accounts > 0 && r.JobsPerSecond > 0 && r.result.RatedAdmissions == 0 {
		r.violate("no job of an account was admitted: nothing to audit")
	}
	if r.DrillTasks > 0 && r.result.TaskActions == 0 {
		r.violate("no instance acted in a leased task: nothing to audit")
	}
	if r.JobsPerSecond > 0 && r.result.Admitted == 0 {
		r.violate("no job was admitted: nothing to audit")
	}
}
