package main

import (
	"fmt"
	"slices"
	"time"

	"moorstack/internal/verify/faultinjection"
)

func faultRunTable(r *faultinjection.Result) table {
	t := table{head: []string{"", "P50", "P99", "MAX", "OF"}}
	line := func(what string, v []time.Duration) {
		q := func(q float64) string { return quantile(v, q).Round(10 * time.Microsecond).String() }
		t.add(what, q(0.5), q(0.99), q(1), len(v))
	}
	line("from propose to in force", r.ProposeLatencies)
	line("pause in admission for a change", r.AdmissionPauses)
	line("gap in acts while a duty changes hands", r.TaskGaps)
	line("lateness of a trigger's firing", r.Triggers.Lateness)
	t.add("")
	t.add(fmt.Sprintf("%d instances, %.1f s, %d faults; %d changes in force, %d withdrawn, %d calls repeated",
		r.Instances, r.Seconds, r.Faults, r.InForce, r.Withdrawn, r.Retries))
	t.add(fmt.Sprintf(
		"%d jobs sent: %d served, %d refused by sessions, %d by rates, %d others, %d failed, %d unanswered",
		r.Jobs.Sent, r.Jobs.Served, r.Jobs.RejectedByLease, r.Jobs.RejectedByRate,
		r.Jobs.RejectedOtherwise, r.Jobs.Failed, r.Jobs.Unanswered))
	t.add(fmt.Sprintf("%.0f messages per second between all instances at rest", r.MessagesPerSecond))
	t.add(fmt.Sprintf("%v from the end of the faults until all admitted jobs",
		r.RecoveryTime.Round(time.Millisecond)))
	if r.MembershipRecoveryTime > 0 {
		t.add(fmt.Sprintf("%v until every instance considered every other one alive",
			r.MembershipRecoveryTime.Round(time.Millisecond)))
	}
	t.add(fmt.Sprintf(
		"%d admissions, %d of accounts (%.0f%% of their rates) and %d acts in duties audited, %d violations",
		r.Admitted, r.RatedAdmissions, 100*r.RateUtilization, r.TaskActions, len(r.Violations)))
	if r.RatedAdmissions > 0 {
		t.add(fmt.Sprintf("%d accounts, at most %v between two admissions of one with its own entry; "+
			"%d shares of cold workers' budgets audited",
			r.Accounts, r.MaxAdmissionGap.Round(10*time.Millisecond), r.BudgetShares))
	}
	if r.RestartedInstances > 0 {
		t.add(fmt.Sprintf("%d rolling restarts completed, %d instances were taken out",
			r.RollingRestarts, r.RestartedInstances))
	}
	if f := r.Triggers; f.Intended > 0 {
		t.add(fmt.Sprintf("%d occurrences intended, %d fired, %d taken over, %d may have run, %d refused, "+
			"%d failed",
			f.Intended, f.JobsSubmitted, f.Adopted, f.MayHaveRun, f.Rejected, f.Failed))
	}
	for _, v := range r.Violations {
		t.add("  " + v)
	}
	for _, v := range r.LastEntries {
		t.add("    " + v)
	}
	return t
}

// quantile returns the q-quantile of the values, one of them, or 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
