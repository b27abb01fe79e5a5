package faultinjection

import (
	"context"
	"fmt"
	"slices"
)

// maxLastEntries is how many journal entries a result with violations ends with.
const maxLastEntries = 30

// audit audits every change at every instance, and the journals of all of them.
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

// auditJournals runs the audits of the journals and fills in the figures that they give.
func (r *run) auditJournals(all []auditEntry) {
	policies, admitted := auditPolicies(all)
	r.result.Admitted, r.result.AdmissionPauses = admitted, admissionPauses(all)
	tasks := auditTasks(all)
	r.result.TaskActs, r.result.TaskGaps = tasks.acts, tasks.gaps
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

// auditJobs looks for responses that the protocol does not have.
func (r *run) auditJobs() {
	if n := r.result.Jobs.WithoutRetryAfter; n > 0 {
		r.violate("%d refusals did not say when to come back", n)
	}
	if n := r.result.Jobs.UnknownStatus; n > 0 {
		r.violate("%d answers are of no kind that the protocol has", n)
	}
}

// auditCoverage looks whether each audit had something to audit.
func (r *run) auditCoverage() {
	if r.MaxRestarting > 0 && r.result.RestartedInstances == 0 {
		r.violate("no instance was taken out by a rolling restart: there was nothing to audit")
	}
	if r.Accounts > 0 && r.JobsPerSecond > 0 && r.result.RatedAdmissions == 0 {
		r.violate("no account's job was admitted: there was nothing to audit")
	}
	if r.DrillTasks > 0 && r.result.TaskActs == 0 {
		r.violate("nobody acted in a duty: there was nothing to audit")
	}
	if r.JobsPerSecond > 0 && r.result.Admitted == 0 {
		r.violate("no job was admitted: there was nothing to audit")
	}
}
