package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/faultinjection"
)

type clusterFlags struct {
	processes, voters int
	length, tick      time.Duration
	seed              uint64
	story, keep       string
	rate              float64
	changes, drills   int
	rolls             int
	accounts, names   int
	triggers          int
	clock, oldRules   string
	older             string
	speed             float64
	shrink, quiet     bool
	trace, kills      bool
}

func newProveCluster(g *global) *cobra.Command {
	var f clusterFlags
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Try to break a group of real processes by faults between them and of them",
		Long: `cluster starts real instances on loopback, with a link for each ordered pair, and plays a
story: faults of links and of processes, while changes of the configuration are made and jobs
run. It then audits, in the order of the clock that all processes share, that no job was admitted
under a policy after another was under a later one, anywhere; that no change is lost, half in
force or twice; and that all instances agree and admit jobs again once all is well.

A story is drawn from the seed, or read from a file, a line a fault, in the order of time:

  1.5s  stall  n2 800ms
  2s    cut    n1 n3
  4s    heal
  5s    @staged kill leader

The faults:

` + faultinjection.FaultHelp() + `
A fault may wait for a step of a change, of anybody or of the one named as in @staged:n2:

` + faultinjection.StepHelp() + `
An instance is named n1, n2, ... or "leader", who leads when the fault comes; "it", whose step it
was; "asked", whom the client has asked for the change. A story that breaks
something is written to a file, with --shrink with the fewest lines that still do.

It exits with 1 if anything was broken, and leaves no process behind.`,
		Example: `  moorstack prove cluster --processes 5 --for 60s --seed 7
  moorstack prove cluster --processes 3 --story found/story.txt --trace
  moorstack prove cluster --processes 40 --voters 5 --quiet --for 20s    # no faults: the figures`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return proveCluster(cmd, g, &f) },
	}
	fl := cmd.Flags()
	fl.IntVar(&f.processes, "processes", 3, "how many instances, 3 to 40")
	fl.IntVar(&f.voters, "voters", 0, "how many of them have a vote; 0: up to five")
	fl.DurationVar(&f.length, "for", 30*time.Second, "how long changes and faults go on")
	fl.DurationVar(&f.tick, "tick", 50*time.Millisecond, "the agreement's unit of time")
	fl.Uint64Var(&f.seed, "seed", 1, "draws the story, and who is asked")
	fl.StringVar(&f.story, "story", "", "play the story in this `file` instead")
	fl.Float64Var(&f.rate, "rate", 20, "jobs a second at each instance; 0: none")
	fl.IntVar(&f.changes, "changes", 0, "at most so many changes; 0: as many as there is time for")
	fl.IntVar(&f.names, "names", 0,
		"how many more accounts call that have no line of their own; 0 to 1000000")
	fl.IntVar(&f.accounts, "accounts", 4, "how many accounts' rates are kept over all instances; 0 to 1000")
	fl.IntVar(&f.rolls, "rolls", 0,
		"take instances out one after another, again and again, at the most so many at once; 0: none")
	fl.IntVar(&f.drills, "duties", 3, "how many duties the instances hold, to practise; 0 to 100")
	fl.IntVar(&f.triggers, "triggers", 6, "how many triggers fire over all instances; 0 to 1000")
	fl.StringVar(&f.clock, "clock", "", "what the instances' clocks show at the beginning, as in "+
		"2026-10-25T00:30:00Z; empty: the machine's time")
	fl.Float64Var(&f.speed, "speed", 1, "how fast the instances' clocks run, 1 to 600")
	fl.StringVar(&f.older, "older", "", "the `program` of an earlier version, which all instances run "+
		"before the story renews them")
	fl.StringVar(&f.oldRules, "old-rules", "", "an `instance` that has other zone rules than the rest")
	fl.BoolVar(&f.quiet, "quiet", false, "no faults")
	fl.BoolVar(&f.shrink, "shrink", false,
		"play a story that breaks something again, with fewer faults each time")
	fl.BoolVar(&f.trace, "trace", false, "print each fault and change")
	fl.StringVar(&f.keep, "keep", "", "keep files, logs and journals in this `directory`")
	addOutput(cmd, g)
	return cmd
}

func (f *clusterFlags) check() error {
	switch {
	case f.processes < 3 || f.processes > 40:
		return fmt.Errorf("--processes: %d is not from 3 to 40", f.processes)
	case f.voters < 0 || f.voters > min(f.processes, 9):
		return fmt.Errorf("--voters: %d is not from 1 to %d", f.voters, min(f.processes, 9))
	case f.length < time.Second || f.length > time.Hour:
		return fmt.Errorf("--for: %v is not from 1s to 1h", f.length)
	case f.tick < 10*time.Millisecond || f.tick > 5*time.Second:
		return fmt.Errorf("--tick: %v is not from 10ms to 5s", f.tick)
	case f.changes < 0 || f.changes > 100_000:
		return fmt.Errorf("--changes: %d is not from 1 to 100000", f.changes)
	case f.accounts < 0 || f.accounts > 1000:
		return fmt.Errorf("--accounts: %d is not from 0 to 1000", f.accounts)
	case f.names < 0 || f.names > 1_000_000 || f.names > 0 && f.accounts == 0:
		return fmt.Errorf("--names: %d is not from 0 to 1000000, or there are no accounts beside them",
			f.names)
	case f.triggers < 0 || f.triggers > 1000:
		return fmt.Errorf("--triggers: %d is not from 0 to 1000", f.triggers)
	case f.speed < 1 || f.speed > 600:
		return fmt.Errorf("--speed: %v is not from 1 to 600", f.speed)
	case f.oldRules != "" && !slices.Contains(faultinjection.InstanceNames(f.processes), f.oldRules):
		return fmt.Errorf("--old-rules: there is no instance %q", f.oldRules)
	case f.rolls < 0 || f.rolls >= f.processes:
		return fmt.Errorf("--rolls: %d is not from 0 to %d, one less than --processes", f.rolls,
			f.processes-1)
	case f.drills < 0 || f.drills > 100:
		return fmt.Errorf("--duties: %d is not from 0 to 100", f.drills)
	case f.rate < 0 || f.rate > 1000:
		return fmt.Errorf("--rate: %v is not from 0 to 1000", f.rate)
	case f.quiet && f.story != "":
		return fmt.Errorf("--quiet and --story don't go together")
	}
	return nil
}

func proveCluster(cmd *cobra.Command, g *global, f *clusterFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	names := faultinjection.InstanceNames(f.processes)
	var story []faultinjection.Fault
	switch {
	case f.story != "":
		raw, err := os.ReadFile(f.story)
		if err != nil {
			return err
		}
		if story, err = faultinjection.ParseSchedule(f.story, raw, names); err != nil {
			return err
		}
	case f.kills:
		story = faultinjection.LeaderKillSchedule(f.seed, f.length)
	case !f.quiet:
		story = faultinjection.DrawSchedule(f.seed, names, f.length)
	}
	dir := f.keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "rig"); err != nil {
			return exitError{exitFailed, err}
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return exitError{exitFailed, err}
	}
	r, err := f.play(cmd, dir, story)
	if err != nil {
		return exitError{exitFailed, err}
	}
	if len(r.Violations) > 0 && f.shrink {
		story = faultinjection.Shrink(story, func(s []faultinjection.Fault) bool {
			again, err := f.play(cmd, dir, s)
			if err == nil && len(again.Violations) > 0 {
				r = again
				return true
			}
			return false
		})
	}
	if err := g.print(cmd.OutOrStdout(), r, clusterTable(r)); err != nil {
		return err
	}
	if len(r.Violations) == 0 {
		return nil
	}
	if err := os.MkdirAll("found", 0o700); err != nil {
		return exitError{exitFailed, err}
	}
	path := filepath.Join("found", fmt.Sprintf("story-%d-%d.txt", f.processes, f.seed))
	if err := os.WriteFile(path, faultinjection.FormatSchedule(story), 0o600); err != nil {
		return exitError{exitFailed, err}
	}
	return exitError{exitFailed, fmt.Errorf("%d violations; the story is in %s: play it again with --story",
		len(r.Violations), path)}
}

// play plays a story in a directory of its own.
func (f *clusterFlags) play(
	cmd *cobra.Command,
	dir string,
	story []faultinjection.Fault,
) (*faultinjection.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	// A socket's path has little room, and a story must not find another's files.
	at, err := os.MkdirTemp(dir, "p")
	if err == nil {
		at, err = filepath.Abs(at)
	}
	if err != nil {
		return nil, err
	}
	o := faultinjection.RunOptions{
		Schedule:   story,
		Duration:   f.length,
		MaxChanges: f.changes,
		ClusterOptions: faultinjection.ClusterOptions{
			Program: self, Dir: at, OlderProgram: f.older,
			Instances: f.processes, Voters: f.voters, Tick: f.tick, Seed: f.seed,
			PlatformFile: faultinjection.SamplePlatform(), JobsPerSecond: f.rate,
			DrillTasks: f.drills, MaxRestarting: f.rolls, OperatorCommands: f.story == "",
			Accounts: f.accounts, UnlistedAccounts: f.names, Triggers: f.triggers,
			ClockSpeed: f.speed, OldZoneRulesInstance: f.oldRules,
		},
	}
	if f.clock != "" {
		if o.ClockStart, err = time.Parse(time.RFC3339, f.clock); err != nil {
			return nil, fmt.Errorf("--clock: %w", err)
		}
	}
	if f.trace {
		o.Trace = cmd.ErrOrStderr()
	} else if terminal(os.Stderr) {
		o.OnProgress = func(at time.Duration, r *faultinjection.Result) {
			fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s: %d faults, %d changes in force, %d withdrawn ",
				at.Seconds(),
				f.length.Seconds(), r.Faults, r.InForce, r.Withdrawn)
		}
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	ctx, stop := context.WithTimeout(cmd.Context(), 2*f.length+5*time.Minute)
	defer stop()
	return faultinjection.Run(ctx, o)
}

func clusterTable(r *faultinjection.Result) table {
	t := table{head: []string{"", "P50", "P99", "MAX", "OF"}}
	line := func(what string, v []time.Duration) {
		q := func(q float64) string { return quantile(v, q).Round(10 * time.Microsecond).String() }
		t.add(what, q(0.5), q(0.99), q(1), len(v))
	}
	line("from propose to in force", r.ProposeLatencies)
	line("pause in admission for a change", r.AdmissionPauses)
	line("nobody acts while a duty changes hands", r.TaskGaps)
	line("a trigger is fired after its time", r.Triggers.Lateness)
	t.add("")
	t.add(fmt.Sprintf("%d instances, %.1f s, %d faults; %d changes in force, %d withdrawn, %d calls repeated",
		r.Instances, r.Seconds, r.Faults, r.InForce, r.Withdrawn, r.Retries))
	t.add(fmt.Sprintf(
		"%d jobs sent: %d served, %d refused by sessions, %d by rates, %d else, %d failed, %d unanswered",
		r.Jobs.Sent, r.Jobs.Served, r.Jobs.RejectedByLease, r.Jobs.RejectedByRate,
		r.Jobs.RejectedOtherwise, r.Jobs.Failed, r.Jobs.Unanswered))
	t.add(fmt.Sprintf("%.0f messages a second between all instances at rest", r.MessagesPerSecond))
	t.add(fmt.Sprintf("%v from the end of the faults until all admitted jobs",
		r.RecoveryTime.Round(time.Millisecond)))
	if r.MembershipRecoveryTime > 0 {
		t.add(fmt.Sprintf("%v until each believed of each that it is there",
			r.MembershipRecoveryTime.Round(time.Millisecond)))
	}
	t.add(fmt.Sprintf(
		"%d admissions, %d of accounts (%.0f%% of their rates) and %d acts in duties audited, %d violations",
		r.Admitted, r.RatedAdmissions, 100*r.RateUtilization, r.TaskActs, len(r.Violations)))
	if r.RatedAdmissions > 0 {
		t.add(fmt.Sprintf("%d accounts, %v at the most between two admissions of one with a line; "+
			"%d parts of cold workers' budgets audited",
			r.Accounts, r.MaxAdmissionGap.Round(10*time.Millisecond), r.BudgetShares))
	}
	if r.RestartedInstances > 0 {
		t.add(fmt.Sprintf("%d rolling restarts came to their end, %d instances were taken out",
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

// quantile is the smallest of the values that is not less than the given part of them.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
