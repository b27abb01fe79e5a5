package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/emulate"
)

func newEmulateStorm(g *globalFlags) *cobra.Command {
	var f stormFlags
	cmd := &cobra.Command{
		Use:   "storm FILE",
		Short: "Run a scenario under random faults with many seeds, and shrink what breaks a rule",
		Long: `storm runs the scenario in FILE repeatedly, each time under faults drawn from the seed; the
same seed draws the same faults. If a rule is broken, storm removes faults and shortens the
others as long as a rule is still broken, and prints the remaining ones for use in a scenario.`,
		Example: "  moorstack emulate storm experiments/small.toml --seeds 1000",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := readScenario(args[0])
			if err != nil {
				return err
			}
			if f.seeds < 1 || f.most < 1 {
				return errors.New("--seeds and --most must be at least 1")
			}
			r, err := f.run(scenario)
			if err != nil {
				return err
			}
			if err := g.print(cmd.OutOrStdout(), r.violating, r.table()); err != nil {
				return err
			}
			if len(r.violating) > 0 {
				return exitError{exitFailed, fmt.Errorf("%d storms break a rule", len(r.violating))}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&f.seeds, "seeds", 100, "how many storms to run, one for each seed")
	cmd.Flags().Uint64Var(&f.first, "first", 0, "the first seed")
	cmd.Flags().IntVar(&f.most, "most", 6, "the maximum number of faults in a storm")
	addOutput(cmd, g)
	return cmd
}

// stormFlags are the flags of "emulate storm".
type stormFlags struct {
	seeds, most int
	first       uint64
}

// readScenario reads and parses a scenario file.
func readScenario(path string) (*emulate.Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return emulate.ParseScenario(path, raw)
}

// faultStormResults sums the fault storms of many seeds.
type faultStormResults struct {
	violating []emulate.FaultStorm // storms that break a rule
	earned    []float64            // the share of the offered worth that was earned, for each storm
	jobs      int
	took      time.Duration
}

// run emulates a scenario under the fault storms of all seeds. At a terminal it shows its progress.
func (f *stormFlags) run(scenario *emulate.Scenario) (*faultStormResults, error) {
	r := &faultStormResults{}
	began := time.Now()
	err := emulate.RunFaultStorms(scenario, f.first, f.seeds, f.most, func(s emulate.FaultStorm) {
		r.jobs += s.Jobs
		r.earned = append(r.earned, s.EarnedShare)
		if len(s.Violations) > 0 {
			r.violating = append(r.violating, s)
		}
		showProgress("%d of %d storms, %d broken ", len(r.earned), f.seeds, len(r.violating))
	})
	endProgress()
	if err != nil {
		return nil, err
	}
	slices.Sort(r.earned)
	r.took = time.Since(began)
	return r, nil
}

func (r *faultStormResults) table() table {
	t := table{}
	t.add(fmt.Sprintf("%d storms, %d jobs, %d break a rule; %.1f s", len(r.earned), r.jobs, len(r.violating),
		r.took.Seconds()))
	t.add(fmt.Sprintf("worth earned: %.1f%% in the worst storm, %.1f%% in the median, %.1f%% in the best",
		100*r.earned[0], 100*r.earned[len(r.earned)/2], 100*r.earned[len(r.earned)-1]))
	for _, s := range r.violating {
		t.add("")
		t.add(fmt.Sprintf("seed %d: %s", s.Seed, s.Violations[0]))
		for _, x := range s.MinimalFaults {
			t.add(fmt.Sprintf(
				"  kind = %q, at = %q, for = %q, part = %.3f, size = %.2f, zone = %q, team = %q", x.Kind,
				time.Duration(x.Start), time.Duration(x.Length), x.Fraction, x.Magnitude, x.Zone, x.Team))
		}
	}
	return t
}
