package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/prove"
)

func proveProcesses(cmd *cobra.Command, g *global, f *proveFlags) error {
	if f.changes < 1 || f.changes > 100_000 {
		return fmt.Errorf("--changes: %d is not from 1 to 100000", f.changes)
	}
	self, err := os.Executable()
	if err != nil {
		return exitError{exitFailed, err}
	}
	dir := f.keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "prove"); err != nil {
			return exitError{exitFailed, err}
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return exitError{exitFailed, err}
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return exitError{exitFailed, err}
	}
	o := prove.ProcessOptions{Program: self, Dir: dir, Instances: 3, Changes: f.changes, Kills: 1 << 20,
		Seed: max(f.first, uint64(max(f.seed, 0))), Platform: prove.SamplePlatform()}
	if terminal(os.Stderr) {
		o.Progress = func(done, _ int) { fmt.Fprintf(os.Stderr, "\r%d of %d changes ", done, f.changes) }
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	r, err := prove.RunProcesses(cmd.Context(), o)
	if err != nil {
		return exitError{exitFailed, err}
	}
	t := table{head: []string{"", "P50", "P99", "MAX", "OF"}}
	line := func(what string, v []time.Duration) {
		round := func(q float64) string { return prove.Quantile(v, q).Round(10 * time.Microsecond).String() }
		t.add(what, round(0.5), round(0.99), round(1), len(v))
	}
	line("commit, by the client", r.Commit)
	line("bare append and fsync", r.Fsync)
	line("without a leader", r.Leaderless)
	t.add("")
	t.add(fmt.Sprintf("%d changes with %d kills of the leader in %.1f s; %d calls repeated", r.Changes,
		r.Kills, r.Seconds, r.Repeats))
	if r.QuietSecs > 0 {
		t.add(fmt.Sprintf("%.0f changes a second, one after another, while nothing was killed",
			float64(r.Quiet)/r.QuietSecs))
	}
	t.add(fmt.Sprintf("%d violations", len(r.Violations)))
	for _, v := range r.Violations {
		t.add("  " + v)
	}
	if err := g.print(cmd.OutOrStdout(), r, t); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return exitError{exitFailed, fmt.Errorf("%d violations", len(r.Violations))}
	}
	return nil
}
