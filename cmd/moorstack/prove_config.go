package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/simulation"
)

type simulationFlags struct {
	seeds         int
	first         uint64
	seed          int64
	trace         bool
	instances     []int
	ackBeforeSync bool
	processes     bool
	changes       int
	keep          string
}

func newProveConfig(g *globalFlags) *cobra.Command {
	var f simulationFlags
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Test the agreement on the configuration under faults",
		Long: `config runs stories. Each simulates a group of instances in virtual time, with clients
that read and change the configuration, on a network that loses, delays, repeats and
reorders messages and is partitioned, also in one direction only, and on disks that lose
what was not synced and fill up. Machines crash at any point of a change; members are
removed, wiped and replaced.

At each step it checks that a term has one leader, that instances agree on every state
they have in common, that no change is applied twice, and that revisions only increase.
At the end it checks that nothing acknowledged is lost, that all instances have the same
state and make progress, and that the clients' histories are linearizable (porcupine).
The seed determines the whole story; the same seed always gives the same one.

With --processes it runs the story of "prove cluster" in which the current leader is killed
with SIGKILL repeatedly, while --changes changes are made at three real instances.

It exits with 1 if there was a violation.`,
		Example: `  moorstack prove config --seeds 1000
  moorstack prove config --seed 42 --trace
  moorstack prove config --seeds 40 --broken     # the checks must find this bug
  moorstack prove config --processes --changes 300`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.processes {
				return runFaultInjection(cmd, g, f.leaderKills())
			}
			return runSimulations(cmd, g, &f)
		},
	}
	fl := cmd.Flags()
	fl.IntVar(&f.seeds, "seeds", 100, "number of stories for each size of group")
	fl.Uint64Var(&f.first, "first", 0, "the first seed")
	fl.Int64Var(&f.seed, "seed", -1, "run only the story of this seed")
	fl.BoolVar(&f.trace, "trace", false, "with --seed: print each event")
	fl.IntSliceVar(&f.instances, "instances", []int{3, 5}, "sizes of the groups")
	fl.BoolVar(&f.ackBeforeSync, "broken", false,
		"simulate instances that acknowledge before they sync: the checks must find it")
	fl.BoolVar(&f.processes, "processes", false, "use real processes instead of virtual time")
	fl.IntVar(&f.changes, "changes", 300, "with --processes: number of changes")
	fl.StringVar(&f.keep, "keep", "", "with --processes: keep directories and logs in this `directory`")
	addOutput(cmd, g)
	return cmd
}

// simulationTotals sums the runs of groups of one size.
type simulationTotals struct {
	Instances       int                 `json:"instances"`
	Runs            int                 `json:"stories"`
	Events          int                 `json:"events"`
	Ticks           int64               `json:"ticks"`
	ChangesAccepted int                 `json:"accepted"`
	ChangesRejected int                 `json:"refused"`
	ChangesUnknown  int                 `json:"unknown"`
	Reads           int                 `json:"reads"`
	JobsAdmitted    int                 `json:"admitted"` // by all instances
	TaskActions     int                 `json:"acts"`     // actions of the holders of leased tasks
	TaskTransfers   int                 `json:"hand_overs"`
	Faults          map[string]int      `json:"faults"`
	Violating       []simulation.Result `json:"broken,omitempty"`
	WallSeconds     float64             `json:"wall_s"`
}

// leaderKills returns the flags of a run of real processes in which the current leader is killed repeatedly.
func (f *simulationFlags) leaderKills() *faultRunFlags {
	return &faultRunFlags{
		processes: 3,
		length:    10 * time.Minute,
		tick:      50 * time.Millisecond,
		seed:      max(f.first, uint64(max(f.seed, 0))),
		rate:      20,
		changes:   f.changes,
		keep:      f.keep,
		kills:     true,
	}
}

func runSimulations(cmd *cobra.Command, g *globalFlags, f *simulationFlags) error {
	if f.trace && f.seed < 0 {
		return errors.New("--trace requires --seed")
	}
	out := bufio.NewWriter(cmd.OutOrStdout())
	defer out.Flush()
	var all []*simulationTotals
	violating := 0
	for _, n := range f.instances {
		if n < 3 || n > 9 {
			return fmt.Errorf("--instances must be between 3 and 9, got %d", n)
		}
		t := f.simulate(n, out)
		all = append(all, t)
		violating += len(t.Violating)
	}
	if err := g.print(out, all, simulationTable(all)); err != nil {
		return err
	}
	if violating > 0 {
		return exitError{exitFailed,
			fmt.Errorf("%d stories have violations; to repeat one, use --seed N --trace", violating)}
	}
	return nil
}

func (t *simulationTotals) add(r simulation.Result) {
	t.Runs++
	t.Events += r.Events
	t.Ticks += r.Ticks
	t.ChangesAccepted += r.ChangesAccepted
	t.ChangesRejected += r.ChangesRejected
	t.ChangesUnknown += r.ChangesUnknown
	t.Reads += r.Reads
	t.JobsAdmitted += r.JobsAdmitted
	t.TaskActions += r.TaskActions
	t.TaskTransfers += r.TaskTransfers
	for name, n := range r.Faults {
		t.Faults[name] += n
	}
	if len(r.Violations) > 0 {
		t.Violating = append(t.Violating, r)
	}
}

func simulationTable(all []*simulationTotals) table {
	t := table{
		head: []string{"INSTANCES", "STORIES", "BROKEN", "EVENTS", "TICKS", "ACCEPTED", "REFUSED", "UNKNOWN",
			"READS", "FAULTS", "SECONDS"},
	}
	faults := map[string]int{}
	for _, s := range all {
		n := 0
		for name, k := range s.Faults {
			n += k
			faults[name] += k
		}
		t.add(s.Instances, s.Runs, len(s.Violating), s.Events, s.Ticks, s.ChangesAccepted, s.ChangesRejected,
			s.ChangesUnknown, s.Reads, n, fmt.Sprintf("%.1f", s.WallSeconds))
	}
	t.add("")
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.add("", name, faults[name])
	}
	for _, s := range all {
		for _, r := range s.Violating {
			t.add("")
			t.add(fmt.Sprintf("seed %d, %d instances: %s", r.Seed, r.Instances, r.Violations[0]))
		}
	}
	return t
}

// simulate runs the simulations of all seeds for groups of one size.
func (f *simulationFlags) simulate(instances int, trace io.Writer) *simulationTotals {
	first, count := f.first, f.seeds
	if f.seed >= 0 {
		first, count = uint64(f.seed), 1
	}
	t := &simulationTotals{Instances: instances, Faults: map[string]int{}}
	began := time.Now()
	options := func(seed uint64) simulation.Options {
		o := simulation.Options{Instances: instances, Seed: seed, AcknowledgeBeforeSync: f.ackBeforeSync}
		if f.trace {
			o.Trace = trace
		}
		return o
	}
	simulation.RunSeeds(first, count, runtime.NumCPU(), options, func(r simulation.Result) {
		t.add(r)
		showProgress("%d instances: %d of %d stories, %d broken ", instances, t.Runs, count, len(t.Violating))
	})
	endProgress()
	t.WallSeconds = time.Since(began).Seconds()
	return t
}
