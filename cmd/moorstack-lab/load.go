package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"moorstack/internal/verify/load"
)

// loadFlags are the flags of "load".
type loadFlags struct {
	options   load.Options
	class     load.Class
	findMax   bool
	objective load.Objective
	output    string
}

func newLoad() *cobra.Command {
	f := &loadFlags{class: load.Class{Weight: 1}}
	cmd := &cobra.Command{
		Use:   "load ADDRESS",
		Short: "Send jobs to a node on loopback at a steady rate, and measure the results",
		Long: `load sends jobs to the node at ADDRESS, which must be on loopback, at random times with the
given mean rate, regardless of the node's responses (open loop). Latency is measured from the
time at which a job was scheduled to be sent. The run is bounded in time and number of jobs.

With --find-max it searches for the highest rate that the node sustains: starting at --rate
it doubles the rate, then bisects the remaining interval, and runs for --for at each rate. A
rate is sustained if 99% of the served jobs are answered within --p99, and at most the share
--unkept of the jobs are refused, fail, are lost or could not be sent in time.`,
		Example: `  moorstack load 127.0.0.1:7070 --class trip-quote --rate 200 --for 30s --size 0.01
  moorstack load 127.0.0.1:7070 --find-max --p99 50ms --rate 100 --for 5s --size 0.001`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f.options.Address = args[0]
			return f.run(cmd)
		},
	}
	f.add(cmd)
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	o := f.options
	o.Classes = []load.Class{f.class}
	if _, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS); err == nil {
		o.OnProgress = func(r load.Result) {
			fmt.Fprintf(os.Stderr, "\r%.0f s, %d sent ", r.Seconds, r.Scheduled-r.NotSent)
		}
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if f.findMax {
		return findMax(cmd, o, f.objective, f.output)
	}
	r, err := load.Run(cmd.Context(), o)
	if r == nil {
		return err
	}
	return printLoad(cmd.OutOrStdout(), r, f.output)
}

func (f *loadFlags) add(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.Float64Var(&f.options.Rate, "rate", 100, "jobs per second")
	fl.DurationVar(&f.options.Duration, "for", 10*time.Second, "how long jobs are sent")
	fl.Uint64Var(&f.options.Seed, "seed", 1, "seed of the times and sizes of the jobs")
	fl.IntVar(&f.options.MaxInFlight, "most", 4096,
		"maximum number of jobs in flight; a job due beyond it counts as not sent")
	fl.StringSliceVar(&f.options.Tenants, "tenant", nil,
		"tenants of the jobs, in equal shares; none if empty")
	fl.StringVar(&f.class.Name, "class", "trip-quote", "class of the jobs")
	fl.BoolVar(&f.class.HasIdempotencyKey, "keyed", false, "send an idempotency key with each job")
	fl.Float64Var(&f.class.MeanWork, "size", 0.01,
		"mean seconds of work, sent as the cost hint and in the body")
	fl.DurationVar(&f.class.Timeout, "timeout", 5*time.Second, "how long a client waits")
	fl.BoolVar(&f.findMax, "find-max", false, "search for the highest rate that the node sustains")
	fl.DurationVar(&f.objective.P99, "p99", 50*time.Millisecond,
		"with --find-max: maximum latency of 99% of the served jobs")
	fl.Float64Var(&f.objective.MaxErrorShare, "unkept", 0.001,
		"with --find-max: maximum share of jobs that are not served")
	fl.StringVar(&f.output, "output", "table", "output format: table or json")
}

// findMax prints each rate that is tried, and the highest sustained one.
func findMax(cmd *cobra.Command, o load.Options, b load.Objective, output string) error {
	o.OnProgress = nil
	steps := []load.Step{}
	tw := tabwriter.NewWriter(cmd.OutOrStdout(), 8, 0, 2, ' ', tabwriter.AlignRight)
	if output != "json" {
		fmt.Fprintln(tw, "RATE\tP99 MS\tNOT SERVED %\tBORNE\t")
	}
	rate, err := load.FindMaxRate(cmd.Context(), o, b, 0.05, func(s load.Step) {
		if steps = append(steps, s); output != "json" {
			fmt.Fprintf(tw, "%.0f\t%.1f\t%.2f\t%v\t\n", s.Rate, s.P99, 100*s.ErrorShare, s.Sustained)
			_ = tw.Flush() // print each row at once; a write error shows at the final Fprintf
		}
	})
	if err != nil {
		return err
	}
	if output == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"rate": rate, "steps": steps})
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "the node sustains %.0f jobs per second\n", rate)
	return err
}

func printLoad(w io.Writer, r *load.Result, output string) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tSERVED\tREFUSED\tFAILED\tLOST\tP50 MS\tP90\tP99\tP99.9\tMAX")
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f := r.Classes[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, f.Served, f.Rejected,
			f.Failed, f.Unanswered, f.Latency["p50"], f.Latency["p90"], f.Latency["p99"], f.Latency["p99.9"],
			f.Latency["max"])
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d jobs in %.1f s; %d were due but not sent\n", r.Scheduled, r.Seconds,
		r.NotSent)
	return err
}
