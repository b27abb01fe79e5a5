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

func newEmulate(g *global) *cobra.Command {
	cmd := &cobra.Command{Use: "emulate", Short: "Play a model world round real nodes, in virtual time"}
	var seed uint64
	var seconds bool
	run := &cobra.Command{
		Use:   "run FILE",
		Short: "Play a scenario and print what became of its jobs",
		Long: `run plays the scenario in FILE: workers, a list service, clients and troubles of a model
round nodes that are the real core and decisions. A seed gives the same run each time.

Every run is held to the rules: one final answer in time, repeats only as the class
allows, nothing new to a drained worker after 1 s, no cold worker pushed over. It exits
with 1 if one is broken, with 2 if the file is wrong. docs/emulator.md says what is
modelled and what is not.`,
		Example: `  moorstack emulate run experiments/small.toml
  moorstack emulate run experiments/small.toml --seed 7 --seconds`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			sc, err := emulate.ParseScenario(args[0], raw)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				sc.Seed = seed
			}
			w, err := emulate.NewWorld(sc)
			if err != nil {
				return err
			}
			began := time.Now()
			r := w.Run()
			if !seconds {
				r.Seconds = nil
			}
			if err := g.print(cmd.OutOrStdout(), r, runTable(r, time.Since(began))); err != nil {
				return err
			}
			if len(r.Violations) > 0 {
				return exitError{exitFailed, fmt.Errorf("%d rules are broken", len(r.Violations))}
			}
			return nil
		},
	}
	run.Flags().Uint64Var(&seed, "seed", 0, "in place of the file's")
	run.Flags().BoolVar(&seconds, "seconds", false, "also a row for each second")
	addOutput(run, g)
	cmd.AddCommand(run, newStorm(g),
		newLab("demo", "A real node, ten modelled workers, clients and a crash, in half a minute"),
		newLab("paper", "Waits against the number of servers, for 1, 2, d(N) and all draws"))
	return cmd
}

func newStorm(g *global) *cobra.Command {
	var seeds, most int
	var first uint64
	cmd := &cobra.Command{
		Use:   "storm FILE",
		Short: "Play a scenario under random troubles, many seeds, and shrink what breaks a rule",
		Long: `storm plays the scenario in FILE again and again, each time under troubles drawn from the
seed: the same for a seed. Where a rule is broken it takes troubles away and shortens the
others as long as it still is, and prints what is left, to be put into a scenario.`,
		Example: "  moorstack emulate storm experiments/small.toml --seeds 1000",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			sc, err := emulate.ParseScenario(args[0], raw)
			if err != nil {
				return err
			}
			if seeds < 1 || most < 1 {
				return errors.New("--seeds and --most must be above 0")
			}
			var broken []emulate.FaultStorm
			var worth []float64
			jobs := 0
			began := time.Now()
			err = emulate.RunFaultStorms(sc, first, seeds, most, func(s emulate.FaultStorm) {
				jobs += s.Jobs
				worth = append(worth, s.EarnedShare)
				if len(s.Violations) > 0 {
					broken = append(broken, s)
				}
				if terminal(os.Stderr) {
					fmt.Fprintf(os.Stderr, "\r%d of %d storms, %d broken ", len(worth), seeds, len(broken))
				}
			})
			if terminal(os.Stderr) {
				fmt.Fprint(os.Stderr, "\r\033[K")
			}
			if err != nil {
				return err
			}
			slices.Sort(worth)
			t := table{}
			t.add(fmt.Sprintf("%d storms, %d jobs, %d break a rule; %.1f s", seeds, jobs, len(broken),
				time.Since(began).Seconds()))
			t.add(fmt.Sprintf("worth earned: %.1f%% in the worst, %.1f%% in the middle, %.1f%% in the best",
				100*worth[0], 100*worth[len(worth)/2], 100*worth[len(worth)-1]))
			for _, s := range broken {
				t.add("")
				t.add(fmt.Sprintf("seed %d: %s", s.Seed, s.Violations[0]))
				for _, x := range s.MinimalFaults {
					t.add(
						fmt.Sprintf(
							"  kind = %q, at = %q, for = %q, part = %.3f, size = %.2f, zone = %q, team = %q",
							x.Kind,
							time.Duration(x.Start),
							time.Duration(x.Length),
							x.Fraction,
							x.Magnitude,
							x.Zone,
							x.Team,
						),
					)
				}
			}
			if err := g.print(cmd.OutOrStdout(), broken, t); err != nil {
				return err
			}
			if len(broken) > 0 {
				return exitError{exitFailed, fmt.Errorf("%d storms break a rule", len(broken))}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 100, "how many storms")
	cmd.Flags().Uint64Var(&first, "first", 0, "the first seed")
	cmd.Flags().IntVar(&most, "most", 6, "troubles in a storm, at the most")
	addOutput(cmd, g)
	return cmd
}

func runTable(r *emulate.Result, took time.Duration) table {
	t := table{head: []string{"", "CAME", "SERVED", "IN TIME", "REFUSED", "FAILED", "P50", "P99", "EARNED"}}
	percent := func(a, b float64) string {
		if b == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f%%", 100*a/b)
	}
	for _, list := range [][]emulate.Tally{r.Classes, r.Teams} {
		for _, c := range list {
			t.add(c.Name, c.Arrived, c.Served, percent(float64(c.InTime), float64(c.Arrived)), c.Rejected,
				c.Failed,
				fmt.Sprintf("%.0f ms", c.P50), fmt.Sprintf("%.0f ms", c.P99), percent(c.EarnedWeight,
					c.OfferedWeight))
		}
	}
	t.add("")
	t.add(fmt.Sprintf("%d jobs, %d attempts, %d busy answers, %d retries, %d probes, %d list lines", r.Jobs,
		r.Attempts, r.Rejections, r.Retries, r.HealthChecks, r.ListEntries))
	t.add(fmt.Sprintf("%.1f%% of the worth asked for was earned", 100*r.EarnedShare))
	if len(r.Seconds) > 0 {
		t.add("")
		t.add("SECOND", "CAME", "SERVED", "IN TIME", "REFUSED", "FAILED", "WAITING", "BUSY")
		for _, s := range r.Seconds {
			t.add(s.At, s.Arrived, s.Served, s.InTime, s.Rejected, s.Failed, s.Queued, s.Running)
		}
	}
	for _, v := range r.Violations {
		t.add("BROKEN: " + v)
	}
	t.add(fmt.Sprintf("%d events in %.2f s", r.Events, took.Seconds()))
	return t
}
