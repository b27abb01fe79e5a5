package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"moorstack/internal/verify/emulate"
)

// Options configure the execution of a plan.
type Options struct {
	Dir            string // directory of the results
	Workers        int    // number of concurrent runs
	ProgramVersion string // recorded in the tables
	// Progress, if set, is called after each run, on the goroutine that called Run.
	Progress func(finished, total int)
}

// Outcome summarizes the execution of a plan.
type Outcome struct {
	Runs       int      `json:"runs"`
	Resumed    int      `json:"resumed"` // runs finished in earlier executions
	Violations []string `json:"broken,omitempty"`
}

// Run executes the runs of a plan that are not finished in the directory, and writes the tables. The tables
// are identical byte for byte, regardless of concurrency and of interruptions. If the context ends, Run waits
// for the runs in progress, keeps their results, and returns an error.
func Run(ctx context.Context, p *Plan, o Options) (*Outcome, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	j, err := openJournal(p, o.Dir)
	if err != nil {
		return nil, err
	}
	out := &Outcome{Runs: p.RunCount(), Resumed: len(j.finished)}
	if err := errors.Join(runMissing(ctx, p, o, j), j.close()); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("interrupted after %d of %d runs; repeat the command to continue: %w",
			len(j.finished), p.RunCount(), err)
	}
	return out, out.writeTables(o.Dir, j.finished)
}

// writeTables writes the tables of all runs and collects the violations.
func (o *Outcome) writeTables(dir string, finished map[int]*finishedRun) error {
	var rows []Row
	var seconds []SecondRow
	for run := range o.Runs {
		r := finished[run]
		rows = append(rows, r.Rows...)
		seconds = append(seconds, r.Seconds...)
		for _, v := range r.Violations {
			text := fmt.Sprintf("run %d (%s, seed %d): %s", run, r.Rows[0].Factors, r.Rows[0].Seed, v)
			o.Violations = append(o.Violations, text)
		}
	}
	return errors.Join(writeTable(filepath.Join(dir, runsFile), rows),
		writeTable(filepath.Join(dir, secondsFile), seconds))
}

// runMissing executes the runs that are not in the journal on o.Workers goroutines, until the context ends.
// It returns after all goroutines have ended.
func runMissing(ctx context.Context, p *Plan, o Options, j *journal) error {
	var missing []int // collected first: the loop below adds results to the journal meanwhile
	for run := range p.RunCount() {
		if j.finished[run] == nil {
			missing = append(missing, run)
		}
	}
	type result struct {
		run *finishedRun
		err error
	}
	runs, results := make(chan int), make(chan result)
	var workers sync.WaitGroup
	for range max(o.Workers, 1) {
		workers.Go(func() {
			for number := range runs {
				r, err := p.run(number, o.ProgramVersion)
				results <- result{r, err}
			}
		})
	}
	go func() {
		defer close(results)
		defer workers.Wait()
		defer close(runs)
		for _, run := range missing {
			select {
			case runs <- run:
			case <-ctx.Done():
				return
			}
		}
	}()
	var failed error
	for r := range results {
		if r.err != nil {
			failed = errors.Join(failed, r.err)
			continue
		}
		failed = errors.Join(failed, j.append(r.run))
		if o.Progress != nil {
			o.Progress(len(j.finished), p.RunCount())
		}
	}
	return failed
}

// run executes one run of the plan.
func (p *Plan) run(number int, programVersion string) (*finishedRun, error) {
	combination, seed := number/p.Seeds, p.FirstSeed+uint64(number%p.Seeds)
	sc, err := p.Scenario(combination, seed)
	if err != nil {
		return nil, err
	}
	r, err := emulate.RunScenario(sc)
	if err != nil {
		return nil, err
	}
	common := Row{
		Schema:      SchemaVersion,
		Plan:        p.Name,
		Hash:        p.Hash,
		Program:     programVersion,
		Run:         int32(number),
		Combination: int32(combination),
		Factors:     strings.Join(p.Labels(combination), ", "),
		Seed:        int64(seed),
	}
	rows := []Row{common.withTotals(r)}
	for _, t := range r.Classes {
		rows = append(rows, common.withTally(scopeClass, t))
	}
	for _, t := range r.Teams {
		rows = append(rows, common.withTally(scopeTeam, t))
	}
	return &finishedRun{Hash: p.Hash, Run: number, Rows: rows, Seconds: secondRows(number, r.Seconds),
		Violations: r.Violations}, nil
}

// withTally returns the row of a class or team.
func (r Row) withTally(scope string, t emulate.Tally) Row {
	r.Scope, r.Name = scope, t.Name
	r.Arrived, r.Served, r.InTime = int64(t.Arrived), int64(t.Served), int64(t.InTime)
	r.Rejected, r.Failed, r.P50, r.P99 = int64(t.Rejected), int64(t.Failed), t.P50, t.P99
	if t.OfferedWeight > 0 {
		r.EarnedShare = t.EarnedWeight / t.OfferedWeight
	}
	return r
}

// withTotals returns the row of all classes together.
func (r Row) withTotals(result *emulate.Result) Row {
	r.Scope, r.EarnedShare, r.Violations = scopeAll, result.EarnedShare, int64(len(result.Violations))
	r.Attempts, r.HealthChecks = int64(result.Attempts), int64(result.HealthChecks)
	r.Retries, r.Events = int64(result.Retries), int64(result.Events)
	for _, t := range result.Classes {
		r.Arrived += int64(t.Arrived)
		r.Served += int64(t.Served)
		r.InTime += int64(t.InTime)
		r.Rejected += int64(t.Rejected)
		r.Failed += int64(t.Failed)
	}
	return r
}

func secondRows(run int, seconds []emulate.Second) []SecondRow {
	var rows []SecondRow
	for _, s := range seconds {
		rows = append(rows, SecondRow{
			Schema:   SchemaVersion,
			Run:      int32(run),
			Second:   int32(s.At),
			Arrived:  int32(s.Arrived),
			Served:   int32(s.Served),
			InTime:   int32(s.InTime),
			Rejected: int32(s.Rejected),
			Failed:   int32(s.Failed),
			Queued:   int32(s.Queued),
			Running:  int32(s.Running),
		})
	}
	return rows
}
