package main

import (
	"fmt"
	"slices"
	"time"

	"moorstack/internal/verify/faultinjection"

	"github.com/spf13/cobra"
)

type faultRunFlags struct {
	processes, voters                int
	length, tick                     time.Duration
	seed                             uint64
	faultFile, keep                  string
	rate                             float64
	changes, drillTasks              int
	rollingRestarts                  int
	accounts, unlistedAccounts       int
	triggers                         int
	clockStart, oldZoneRulesInstance string
	olderProgram                     string
	clockSpeed                       float64
	shrink, quiet                    bool
	trace, kills                     bool
}

func (f *faultRunFlags) add(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.IntVar(&f.processes, "processes", 3, "number of instances, 3 to 40")
	fl.IntVar(&f.voters, "voters", 0, "how many instances have a vote; 0: all of them, at most five")
	fl.DurationVar(&f.length, "for", 30*time.Second, "for how long changes are made and faults occur")
	fl.DurationVar(&f.tick, "tick", 50*time.Millisecond, "the length of a tick of the consensus")
	fl.Uint64Var(&f.seed, "seed", 1, "seed of the story, and of the choice of instances that are called")
	fl.StringVar(&f.faultFile, "story", "", "run the story in this `file` instead")
	fl.Float64Var(&f.rate, "rate", 20, "jobs per second at each instance; 0: none")
	fl.IntVar(&f.changes, "changes", 0, "maximum number of changes; 0: as many as there is time for")
	fl.IntVar(&f.unlistedAccounts, "names", 0,
		"number of further accounts that call without an entry of their own; 0 to 1000000")
	fl.IntVar(&f.accounts, "accounts", 4,
		"number of accounts whose rates are limited across all instances; 0 to 1000")
	fl.IntVar(&f.rollingRestarts, "rolls", 0,
		"repeat rolling restarts, with at most this many instances out at once; 0: none")
	fl.IntVar(&f.drillTasks, "duties", 3, "number of drill duties that the instances hold; 0 to 100")
	fl.IntVar(&f.triggers, "triggers", 6, "number of triggers that fire across all instances; 0 to 1000")
	fl.StringVar(&f.clockStart, "clock", "", "start time of the instances' clocks, as in "+
		"2026-10-25T00:30:00Z; empty: the machine's time")
	fl.Float64Var(&f.clockSpeed, "speed", 1, "speed of the instances' clocks, 1 to 600")
	fl.StringVar(&f.olderProgram, "older", "",
		"the `program` of an earlier version, which all instances run until the story upgrades them")
	fl.StringVar(&f.oldZoneRulesInstance, "old-rules", "",
		"an `instance` whose zone rules differ from those of the others")
	fl.BoolVar(&f.quiet, "quiet", false, "inject no faults")
	fl.BoolVar(&f.shrink, "shrink", false,
		"repeat a story that leads to a violation, with fewer and fewer faults")
	fl.BoolVar(&f.trace, "trace", false, "print each fault and change")
	fl.StringVar(&f.keep, "keep", "", "keep files, logs and journals in this `directory`")
}

// check returns an error for the first flag that is out of range or conflicts with another one.
func (f *faultRunFlags) check() error {
	switch {
	case f.processes < 3 || f.processes > 40:
		return fmt.Errorf("--processes must be between 3 and 40, got %d", f.processes)
	case f.voters < 0 || f.voters > min(f.processes, 9):
		return fmt.Errorf("--voters must be between 0 and %[2]d, got %[1]d", f.voters, min(f.processes, 9))
	case f.length < time.Second || f.length > time.Hour:
		return fmt.Errorf("--for must be between 1s and 1h, got %v", f.length)
	case f.tick < 10*time.Millisecond || f.tick > 5*time.Second:
		return fmt.Errorf("--tick must be between 10ms and 5s, got %v", f.tick)
	case f.changes < 0 || f.changes > 100_000:
		return fmt.Errorf("--changes must be between 0 and 100000, got %d", f.changes)
	case f.accounts < 0 || f.accounts > 1000:
		return fmt.Errorf("--accounts must be between 0 and 1000, got %d", f.accounts)
	case f.unlistedAccounts < 0 || f.unlistedAccounts > 1_000_000 ||
		f.unlistedAccounts > 0 && f.accounts == 0:
		return fmt.Errorf("--names must be between 0 and 1000000, and 0 if --accounts is 0, got %d",
			f.unlistedAccounts)
	case f.triggers < 0 || f.triggers > 1000:
		return fmt.Errorf("--triggers must be between 0 and 1000, got %d", f.triggers)
	case f.clockSpeed < 1 || f.clockSpeed > 600:
		return fmt.Errorf("--speed must be between 1 and 600, got %v", f.clockSpeed)
	case f.oldZoneRulesInstance != "" &&
		!slices.Contains(faultinjection.InstanceNames(f.processes), f.oldZoneRulesInstance):
		return fmt.Errorf("--old-rules must name an instance of the group, got %q", f.oldZoneRulesInstance)
	case f.rollingRestarts < 0 || f.rollingRestarts >= f.processes:
		return fmt.Errorf("--rolls must be between 0 and %[2]d (one less than --processes), got %[1]d",
			f.rollingRestarts, f.processes-1)
	case f.drillTasks < 0 || f.drillTasks > 100:
		return fmt.Errorf("--duties must be between 0 and 100, got %d", f.drillTasks)
	case f.rate < 0 || f.rate > 1000:
		return fmt.Errorf("--rate must be between 0 and 1000, got %v", f.rate)
	case f.quiet && f.faultFile != "":
		return fmt.Errorf("--quiet and --story can't be combined")
	}
	return nil
}
