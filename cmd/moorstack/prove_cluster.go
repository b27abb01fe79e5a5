package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/faultinjection"
)

func newProveCluster(g *globalFlags) *cobra.Command {
	var f faultRunFlags
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Test a group of real processes under faults of processes and of links",
		Long: `cluster starts real instances on loopback, with a link for each ordered pair, and runs a
story, which is a schedule of faults of links and processes, while the configuration is changed
and jobs run. It then audits, by the clock that all processes share, that no job was
admitted anywhere under a policy after another job had been admitted under a later one; that no
change is lost, partly in force or applied twice; and that all instances agree and admit jobs
again once the faults have ended.

A story is drawn from the seed, or read from a file with one fault a line, ordered by time:

  1.5s  stall  n2 800ms
  2s    cut    n1 n3
  4s    heal
  5s    @staged kill leader

The faults:

` + faultinjection.FaultHelp() + `
A fault may wait for a step of a change, at any instance or at a named one, as in @staged:n2:

` + faultinjection.StepHelp() + `
An instance is named n1, n2, ..., or "leader" for the leader at the time of the fault, "it" for
the instance that took the step, "asked" for the instance that the client has sent the change to.
A story that leads to a violation is written to a file; with --shrink, lines are removed first as
long as a violation remains.

It exits with 1 if there was a violation, and leaves no process behind.`,
		Example: `  moorstack prove cluster --processes 5 --for 60s --seed 7
  moorstack prove cluster --processes 3 --story found/story.txt --trace
  moorstack prove cluster --processes 40 --voters 5 --quiet --for 20s    # no faults: measurements only`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runFaultInjection(cmd, g, &f) },
	}
	f.add(cmd)
	addOutput(cmd, g)
	return cmd
}

func runFaultInjection(cmd *cobra.Command, g *globalFlags, f *faultRunFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	faults, err := f.faults()
	if err != nil {
		return err
	}
	dir, removeDir, err := f.directory()
	if err != nil {
		return exitError{exitFailed, err}
	}
	defer removeDir()
	r, err := f.run(cmd, dir, faults)
	if err != nil {
		return exitError{exitFailed, err}
	}
	if len(r.Violations) > 0 && f.shrink {
		faults = faultinjection.Shrink(faults, func(fewer []faultinjection.Fault) bool {
			rerun, err := f.run(cmd, dir, fewer)
			if err == nil && len(rerun.Violations) > 0 {
				r = rerun
				return true
			}
			return false
		})
	}
	if err := g.print(cmd.OutOrStdout(), r, faultRunTable(r)); err != nil {
		return err
	}
	if len(r.Violations) == 0 {
		return nil
	}
	path, err := f.writeViolatingSchedule(faults)
	if err != nil {
		return exitError{exitFailed, err}
	}
	return exitError{exitFailed, fmt.Errorf("%d violations; the story is in %s; to repeat it, use --story",
		len(r.Violations), path)}
}

// faults returns the schedule of faults: read from a file, only kills of leaders, drawn from the seed, or
// none.
func (f *faultRunFlags) faults() ([]faultinjection.Fault, error) {
	names := faultinjection.InstanceNames(f.processes)
	switch {
	case f.faultFile != "":
		raw, err := os.ReadFile(f.faultFile)
		if err != nil {
			return nil, err
		}
		return faultinjection.ParseSchedule(f.faultFile, raw, names)
	case f.kills:
		return faultinjection.LeaderKillSchedule(f.seed, f.length), nil
	case !f.quiet:
		return faultinjection.DrawSchedule(f.seed, names, f.length), nil
	}
	return nil, nil
}

// directory creates the directory for the instances' files. The function remove deletes it, unless --keep is
// set.
func (f *faultRunFlags) directory() (dir string, remove func(), err error) {
	if f.keep != "" {
		return f.keep, func() {}, os.MkdirAll(f.keep, 0o700)
	}
	dir, err = os.MkdirTemp("", "faults")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// writeViolatingSchedule writes a schedule of faults that led to a violation to a file. It returns the path.
func (f *faultRunFlags) writeViolatingSchedule(faults []faultinjection.Fault) (string, error) {
	if err := os.MkdirAll("found", 0o700); err != nil {
		return "", err
	}
	path := filepath.Join("found", fmt.Sprintf("story-%d-%d.txt", f.processes, f.seed))
	return path, os.WriteFile(path, faultinjection.FormatSchedule(faults), 0o600)
}

// run injects faults into real instances, whose files are in a new directory inside dir.
func (f *faultRunFlags) run(cmd *cobra.Command, dir string,
	faults []faultinjection.Fault) (*faultinjection.Result, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	// The path of a Unix socket is limited in length, so the name is short. Each run has a directory of
	// its own, so that it does not find the files of another run.
	runDir, err := os.MkdirTemp(dir, "p")
	if err == nil {
		runDir, err = filepath.Abs(runDir)
	}
	if err != nil {
		return nil, err
	}
	o, err := f.options(program, runDir, faults)
	if err != nil {
		return nil, err
	}
	if f.trace {
		o.Trace = cmd.ErrOrStderr()
	} else if isTerminal(os.Stderr) {
		o.OnProgress = func(at time.Duration, r *faultinjection.Result) {
			showProgress("%3.0f of %.0f s: %d faults, %d changes in force, %d withdrawn ", at.Seconds(),
				f.length.Seconds(), r.Faults, r.InForce, r.Withdrawn)
		}
		defer endProgress()
	}
	ctx, stop := context.WithTimeout(cmd.Context(), 2*f.length+auditTimeout)
	defer stop()
	return faultinjection.Run(ctx, o)
}

// auditTimeout is the time limit of a run beyond twice the duration of its faults.
const auditTimeout = 5 * time.Minute

// options returns the options that the flags select, for a run whose files are in dir.
func (f *faultRunFlags) options(program, dir string,
	faults []faultinjection.Fault) (o faultinjection.RunOptions, err error) {
	o = faultinjection.RunOptions{
		Schedule:   faults,
		Duration:   f.length,
		MaxChanges: f.changes,
		ClusterOptions: faultinjection.ClusterOptions{
			Program:              program,
			OlderProgram:         f.olderProgram,
			Dir:                  dir,
			Instances:            f.processes,
			Voters:               f.voters,
			Tick:                 f.tick,
			Seed:                 f.seed,
			PlatformFile:         faultinjection.SamplePlatform(),
			JobsPerSecond:        f.rate,
			DrillTasks:           f.drillTasks,
			MaxRestarting:        f.rollingRestarts,
			OperatorCommands:     f.faultFile == "",
			Accounts:             f.accounts,
			UnlistedAccounts:     f.unlistedAccounts,
			Triggers:             f.triggers,
			ClockSpeed:           f.clockSpeed,
			OldZoneRulesInstance: f.oldZoneRulesInstance,
		},
	}
	if f.clockStart != "" {
		if o.ClockStart, err = time.Parse(time.RFC3339, f.clockStart); err != nil {
			return o, fmt.Errorf("--clock: %w", err)
		}
	}
	return o, nil
}
