package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/experiment"
)

// paperRow is one point of the comparison: a number of servers, a load and a number of draws.
type paperRow struct {
	N            int     `json:"n"`
	Load         string  `json:"load"`
	Draws        string  `json:"draws"`
	D            int     `json:"d"`
	MeanWait     float64 `json:"wait"`
	WaitingShare float64 `json:"waits"`
}

func newPaper() *cobra.Command {
	var sizes []int
	var seeds, jobs int
	var output, chart string
	cmd := &cobra.Command{
		Use:   "paper",
		Short: "Compare waiting times by the number of servers, for 1, 2, d(N) and all draws",
		Long: `paper emulates the model of the literature (one dispatcher that sees every queue,
exponential work, one slot per server) and shows the basis of the design: with
d(N) = ceil(sqrt(N) ln N) draws, waiting times are close to those with knowledge of all N
queues; with one or two draws they are not. The loads are 0.7, 0.9, and Halfin-Whitt
(1 - 1/sqrt(N)). Waiting times are in mean service times.`,
		Example: "  moorstack emulate paper --sizes 10,100,1000 --chart waits.svg",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := runPaper(sizes, seeds, jobs)
			if err != nil {
				return err
			}
			if chart != "" {
				if err := drawPaper(rows, chart); err != nil {
					return err
				}
			}
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rows)
			}
			tw := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "LOAD\tN\tDRAWS\tD\tMEAN WAIT\tSHARE THAT WAITS")
			for _, r := range rows {
				fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%.5f\t%.5f\n", r.Load, r.N, r.Draws, r.D, r.MeanWait,
					r.WaitingShare)
			}
			return tw.Flush()
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "sizes", []int{10, 30, 100, 300, 1000}, "numbers of servers")
	f.IntVar(&seeds, "seeds", 3, "runs for each point; the mean is printed")
	f.IntVar(&jobs, "jobs", 100_000,
		"jobs measured in a run; at least 200 per server, 2000 with one or two draws")
	f.StringVar(&output, "output", "table", "output format: table or json")
	f.StringVar(&chart, "chart", "", "also draw the waiting times in this SVG `file`")
	return cmd
}

// runPaper emulates each point of the comparison, on all cores.
func runPaper(sizes []int, seeds, jobs int) ([]paperRow, error) {
	if seeds < 1 || jobs < 1000 {
		return nil, fmt.Errorf("--seeds must be at least 1, and --jobs at least 1000")
	}
	var rows []paperRow
	for _, load := range []string{"0.7", "0.9", "1-1/sqrt(N)"} {
		for _, n := range sizes {
			if n < 2 || n > 10_000 {
				return nil, fmt.Errorf("--sizes must be between 2 and 10000, got %d", n)
			}
			for _, d := range []struct {
				name string
				d    int
			}{{"1", 1}, {"2", 2}, {"d(N)", emulate.SampleSize(n)}, {"N", n}} {
				rows = append(rows, paperRow{N: n, Load: load, Draws: d.name, D: d.d})
			}
		}
	}
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for i := range next {
				r := &rows[i]
				halfinWhitt := 1 - 1/math.Sqrt(float64(r.N))
				load := map[string]float64{"0.7": 0.7, "0.9": 0.9, "1-1/sqrt(N)": halfinWhitt}[r.Load]
				// The queues start empty. With one or two draws it takes a few hundred service
				// times until they are in steady state.
				least := 200 * r.N
				if r.D <= 2 {
					least = 2000 * r.N
				}
				for seed := range seeds {
					got := emulate.JSQ{
						N:    r.N,
						D:    r.D,
						Load: load,
						Seed: uint64(seed + 1),
						Jobs: max(jobs, least),
					}.Run()
					r.MeanWait += got.MeanWait / float64(seeds)
					r.WaitingShare += got.WaitingShare / float64(seeds)
				}
			}
		})
	}
	for i := range rows {
		next <- i
	}
	close(next)
	wg.Wait()
	return rows, nil
}

// drawPaper draws the waiting times at load 0.9, with two logarithmic axes.
func drawPaper(rows []paperRow, path string) error {
	lines := map[string][]experiment.Point{}
	var order []string
	for _, r := range rows {
		if r.Load != "0.9" || r.MeanWait <= 0 {
			continue // log(0) is undefined
		}
		name := r.Draws + " draws"
		if r.Draws == "1" {
			name = "1 draw"
		}
		if lines[name] == nil {
			order = append(order, name)
		}
		lines[name] = append(lines[name], experiment.Point{X: float64(r.N), Y: r.MeanWait})
	}
	svg, err := experiment.LogLogChart("servers", "mean wait at load 0.9 (service times)", order, lines)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(path, ".svg") {
		return fmt.Errorf("--chart must be a file that ends in .svg, got %q", path)
	}
	return os.WriteFile(path, svg, 0o644)
}
