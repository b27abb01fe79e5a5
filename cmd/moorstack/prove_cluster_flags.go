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
	fl.IntVar(&f.processes, "processes", 3, "how many instances, 3 to 40")
	fl.IntVar(&f.voters, "voters", 0, "how many of them have a vote; 0: up to five")
	fl.DurationVar(&f.length, "for", 30*time.Second, "how long changes and faults go on")
	fl.DurationVar(&f.tick, "tick", 50*time.Millisecond, "the agreement's unit of time")
	fl.Uint64Var(&f.seed, "seed", 1, "draws the story, and who is asked")
	fl.StringVar(&f.faultFile, "story", "", "play the story in this `file` instead")
	fl.Float64Var(&f.rate, "rate", 20, "jobs a second at each instance; 0: none")
	fl.IntVar(&f.changes, "changes", 0, "at most so many changes; 0: as many as there is time for")
	fl.IntVar(&f.unlistedAccounts, "names", 0,
		"how many more accounts call that have no line of their own; 0 to 1000000")
	fl.IntVar(&f.accounts, "accounts", 4, "how many accounts' rates are kept over all instances; 0 to 1000")
	fl.IntVar(&f.rollingRestarts, "rolls", 0,
		"take instances out one after another, again and again, at the most so many at once; 0: none")
	fl.IntVar(&f.drillTasks, "duties", 3, "how many duties the instances hold, to practise; 0 to 100")
	fl.IntVar(&f.triggers, "triggers", 6, "how many triggers fire over all instances; 0 to 1000")
	fl.StringVar(&f.clockStart, "clock", "", "what the instances' clocks show at the beginning, as in "+
		"2026-10-25T00:30:00Z; empty: the machine's time")
	fl.Float64Var(&f.clockSpeed, "speed", 1, "how fast the instances' clocks run, 1 to 600")
	fl.StringVar(&f.olderProgram, "older", "",
		"the `program` of an earlier version, which all instances run before the story renews them")
	fl.StringVar(&f.oldZoneRulesInstance, "old-rules", "",
		"an `instance` that has other zone rules than the rest")
	fl.BoolVar(&f.quiet, "quiet", false, "no faults")
	fl.BoolVar(&f.shrink, "shrink", false,
		"play a story that breaks something again, with fewer faults each time")
	fl.BoolVar(&f.trace, "trace", false, "print each fault and change")
	fl.StringVar(&f.keep, "keep", "", "keep files, logs and journals in this `directory`")
}

// check says which flag makes no sense.
func (f *faultRunFlags) check() error {
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
	case f.unlistedAccounts < 0 || f.unlistedAccounts > 1_000_000 ||
		f.unlistedAccounts > 0 && f.accounts == 0:
		return fmt.Errorf("--names: %d is not from 0 to 1000000, or there are no accounts beside them",
			f.unlistedAccounts)
	case f.triggers < 0 || f.triggers > 1000:
		return fmt.Errorf("--triggers: %d is not from 0 to 1000", f.triggers)
	case f.clockSpeed < 1 || f.clockSpeed > 600:
		return fmt.Errorf("--speed: %v is not from 1 to 600", f.clockSpeed)
	case f.oldZoneRulesInstance != "" &&
		!slices.Contains(faultinjection.InstanceNames(f.processes), f.oldZoneRulesInstance):
		return fmt.Errorf("--old-rules: there is no instance %q", f.oldZoneRulesInstance)
	case f.rollingRestarts < 0 || f.rollingRestarts >= f.processes:
		return fmt.Errorf("--rolls: %d is not from 0 to %d, one less than --processes", f.rollingRestarts,
			f.processes-1)
	case f.drillTasks < 0 || f.drillTasks > 100:
		return fmt.Errorf("--duties: %d is not from 0 to 100", f.drillTasks)
	case f.rate < 0 || f.rate > 1000:
		return fmt.Errorf("--rate: %v is not from 0 to 1000", f.rate)
	case f.quiet && f.faultFile != "":
		return fmt.Errorf("--quiet and --story don't go together")
	}
	return nil
}
