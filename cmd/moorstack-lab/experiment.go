package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"moorstack/internal/verify/experiment"
)

func newExperiment() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run experiments in emulated environments, and report significant differences",
		Long: `experiment runs a plan: a scenario, factors with levels, and seeds. The measurements are
stored as Parquet (runs.parquet, seconds.parquet) with the plan's hash, the program's version
and the seeds. An interrupted run keeps what is finished; the same command continues it.`,
	}
	cmd.AddCommand(newRun(), newTable(), newReport(), newCompare())
	return cmd
}

func newRun() *cobra.Command {
	var out string
	var workers int
	cmd := &cobra.Command{
		Use:     "run PLAN",
		Short:   "Run a plan, or the unfinished rest of it",
		Example: "  moorstack experiment run experiments/crash.toml --out found/crash",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := experiment.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join("found", strings.TrimSuffix(filepath.Base(args[0]), ".toml"))
			}
			o := experiment.Options{Dir: out, Workers: workers, ProgramVersion: version}
			if _, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS); err == nil {
				o.Progress = func(n, of int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs ", n, of) }
				defer fmt.Fprint(os.Stderr, "\r\033[K")
			}
			r, err := experiment.Run(cmd.Context(), p, o)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d runs (%d finished before) in %s\n", r.Runs, r.Resumed, out)
			if len(r.Violations) > 0 {
				return fmt.Errorf("%w:\n%s", errRulesViolated, strings.Join(r.Violations, "\n"))
			}
			return printTable(cmd, out, "table")
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the `directory` for the results; found/NAME if empty")
	cmd.Flags().IntVar(&workers, "workers", runtime.NumCPU(), "maximum number of concurrent runs")
	return cmd
}

func printTable(cmd *cobra.Command, dir, output string) error {
	rows, err := experiment.ReadRuns(dir)
	if err != nil {
		return err
	}
	list := experiment.Summarize(rows)
	if output == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(list)
	}
	tw := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FACTORS\tOF\tNAME\tEARNED\t95%\tIN TIME\t95%\tP99 MS")
	for _, s := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.4f\t%.4f to %.4f\t%.4f\t%.4f to %.4f\t%.0f\n", s.Factors, s.Scope,
			s.Name, s.EarnedShare.Mean, s.EarnedShare.Low, s.EarnedShare.High, s.InTime.Mean, s.InTime.Low,
			s.InTime.High, s.P99.Mean)
	}
	return tw.Flush()
}

func newTable() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "table DIR",
		Short: "Print the results of an experiment",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return printTable(cmd, args[0], output) },
	}
	cmd.Flags().StringVar(&output, "output", "table", "output format: table or json")
	return cmd
}

func newReport() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "report DIR",
		Short: "Write an HTML report with charts and tables",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			if err := experiment.WriteReport(args[0], out); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), out)
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the report's `file`; report.html in DIR if empty")
	return cmd
}

func newCompare() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Compare the results B with A, seed by seed, and mark significant differences",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := experiment.ReadRuns(args[0])
			if err != nil {
				return err
			}
			b, err := experiment.ReadRuns(args[1])
			if err != nil {
				return err
			}
			list, err := experiment.Compare(a, b)
			if err != nil {
				return err
			}
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(list)
			}
			tw := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "FACTORS\tOF\tNAME\tMETRIC\tA\tB\tB-A\t95%\t")
			for _, d := range list {
				mark := ""
				if d.Significant {
					mark = "real"
				}
				fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", d.Factors, d.Scope,
					d.Name, d.Metric, d.A, d.B, d.Change.Mean, d.Change.Low, d.Change.High, mark)
			}
			return tw.Flush()
		},
	}
	cmd.Flags().StringVar(&output, "output", "table", "output format: table or json")
	return cmd
}
