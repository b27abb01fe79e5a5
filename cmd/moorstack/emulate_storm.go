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

func newStorm(g *globalFlags) *cobra.Command {
	var f stormFlags
	cmd := &cobra.Command{
		Use:   "storm FILE",
		Short: "Play a scenario under random troubles, many seeds, and shrink what breaks a rule",
		Long: `storm plays the scenario in FILE again and again, each time under troubles drawn from the
seed: the same for a seed. Where a rule is broken it takes troubles away and shortens the
others as long as it still is, and prints what is left, to be put into a scenario.`,
		Example: "  moorstack emulate storm experiments/small.toml --seeds 1000",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := readScenario(args[0])
			if err != nil {
				return err
			}
			if f.seeds < 1 || f.most < 1 {
				return errors.New("--seeds and --most must be above 0")
			}
			r, err := f.run(scenario)
			if err != nil {
				return err
			}
			if err := g.print(cmd.OutOrStdout(), r.broken, r.table()); err != nil {
				return err
			}
			if len(r.broken) > 0 {
				return exitError{exitFailed, fmt.Errorf("%d storms break a rule", len(r.broken))}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&f.seeds, "seeds", 100, "how many storms")
	cmd.Flags().Uint64Var(&f.first, "first", 0, "the first seed")
	cmd.Flags().IntVar(&f.most, "most", 6, "troubles in a storm, at the most")
	addOutput(cmd, g)
	return cmd
}

// stormFlags are the flags of "emulate storm".
type stormFlags struct {
	seeds, most int
	first       uint64
}

// readScenario reads a scenario's file.
func readScenario(path string) (*emulate.Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return emulate.ParseScenario(path, raw)
}

// faultStormResults sums the fault storms of many seeds.
type faultStormResults struct {
	broken []emulate.FaultStorm // those that break a rule
	worth  []float64            // earned in each, as a share
	jobs   int
	took   time.Duration
}

// run emulates a scenario under the fault storms of all seeds, and shows its progress at a terminal.
func (f *stormFlags) run(scenario *emulate.Scenario) (*faultStormResults, error) {
	r := &faultStormResults{}
	began := time.Now()
	err := emulate.RunFaultStorms(scenario, f.first, f.seeds, f.most, func(s emulate.FaultStorm) {
		r.jobs += s.Jobs
		r.worth = append(r.worth, s.EarnedShare)
		if len(s.Violations) > 0 {
			r.broken = append(r.broken, s)
		}
		showProgress("%d of %d storms, %d broken ", len(r.worth), f.seeds, len(r.broken))
	})
	endProgress()
	if err != nil {
		return nil, err
	}
	slices.Sort(r.worth)
	r.took = time.Since(began)
	return r, nil
}

func (r *faultStormResults) table() table {
	t := table{}
	t.add(fmt.Sprintf("%d storms, %d jobs, %d break a rule; %.1f s", len(r.worth), r.jobs, len(r.broken),
		r.took.Seconds()))
	t.add(fmt.Sprintf("worth earned: %.1f%% in the worst, %.1f%% in the middle, %.1f%% in the best",
		100*r.worth[0], 100*r.worth[len(r.worth)/2], 100*r.worth[len(r.worth)-1]))
	for _, s := range r.broken {
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
