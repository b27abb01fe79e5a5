package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/emulate"
)

func newEmulate(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "emulate", Short: "Run real nodes in an emulated environment, in virtual time"}
	var seed uint64
	var seconds bool
	run := &cobra.Command{
		Use:   "run FILE",
		Short: "Run a scenario and print the outcomes of its jobs",
		Long: `run runs the scenario in FILE: modelled workers, discovery, clients and faults around nodes
that run the real broker and balancer. The same seed always gives the same run.

Every run is checked against the rules: one final response in time, further attempts only as
the class allows, no new jobs to a draining worker after 1 s, no worker overloaded in slow
start. The command exits with 1 if a rule is broken, and with 2 if the file is invalid.
docs/emulator.md says what is modelled and what is not.`,
		Example: `  moorstack emulate run experiments/small.toml
  moorstack emulate run experiments/small.toml --seed 7 --seconds`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := readScenario(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				scenario.Seed = seed
			}
			w, err := emulate.NewWorld(scenario)
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
				return exitError{exitFailed, fmt.Errorf("%d violations of the rules", len(r.Violations))}
			}
			return nil
		},
	}
	run.Flags().Uint64Var(&seed, "seed", 0, "the seed, instead of the file's")
	run.Flags().BoolVar(&seconds, "seconds", false, "also print a row for each second")
	addOutput(run, g)
	cmd.AddCommand(run, newEmulateStorm(g),
		newLabCommand("demo",
			"Run a real node with ten modelled workers, clients and a crash, in half a minute"),
		newLabCommand("paper",
			"Compare waiting times by the number of servers, for 1, 2, d(N) and all draws"))
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
				c.Failed, fmt.Sprintf("%.0f ms", c.P50), fmt.Sprintf("%.0f ms", c.P99),
				percent(c.EarnedWeight, c.OfferedWeight))
		}
	}
	t.add("")
	t.add(fmt.Sprintf("%d jobs, %d attempts, %d busy answers, %d retries, %d probes, %d list lines", r.Jobs,
		r.Attempts, r.Rejections, r.Retries, r.HealthChecks, r.ListEntries))
	t.add(fmt.Sprintf("%.1f%% of the offered worth was earned", 100*r.EarnedShare))
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
