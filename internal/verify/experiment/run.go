package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/parquet-go/parquet-go"

	"moorstack/internal/verify/emulate"
)

// SchemaVersion is the version of the tables' columns. Readers refuse a newer one; columns are
// only ever added within a version.
const SchemaVersion = 1

// Row is a run in the table of runs: for each class, for each team, and for all ("").
type Row struct {
	Schema       int32   `parquet:"schema" json:"schema"`
	Plan         string  `parquet:"plan,dict" json:"plan"`
	Hash         string  `parquet:"plan_hash,dict" json:"plan_hash"`
	Program      string  `parquet:"program,dict" json:"program"`
	Run          int32   `parquet:"run" json:"run"`
	Combination  int32   `parquet:"cell" json:"cell"`
	Factors      string  `parquet:"factors,dict" json:"factors"`
	Seed         int64   `parquet:"seed" json:"seed"`
	Scope        string  `parquet:"of,dict" json:"of"` // class, team or all
	Name         string  `parquet:"name,dict" json:"name"`
	Arrived      int64   `parquet:"came" json:"came"`
	Served       int64   `parquet:"served" json:"served"`
	InTime       int64   `parquet:"in_time" json:"in_time"`
	Rejected     int64   `parquet:"refused" json:"refused"`
	Failed       int64   `parquet:"failed" json:"failed"`
	EarnedShare  float64 `parquet:"earned" json:"earned"` // part of the worth asked for
	P50          float64 `parquet:"p50_ms" json:"p50_ms"`
	P99          float64 `parquet:"p99_ms" json:"p99_ms"`
	Attempts     int64   `parquet:"attempts" json:"attempts"` // of all only, as the rest
	HealthChecks int64   `parquet:"probes" json:"probes"`
	Retries      int64   `parquet:"retries" json:"retries"`
	Events       int64   `parquet:"events" json:"events"`
	Violations   int64   `parquet:"violations" json:"violations"`
}

// SecondRow is a second of a run.
type SecondRow struct {
	Schema   int32 `parquet:"schema" json:"schema"`
	Run      int32 `parquet:"run" json:"run"`
	Second   int32 `parquet:"second" json:"second"`
	Arrived  int32 `parquet:"came" json:"came"`
	Served   int32 `parquet:"served" json:"served"`
	InTime   int32 `parquet:"in_time" json:"in_time"`
	Rejected int32 `parquet:"refused" json:"refused"`
	Failed   int32 `parquet:"failed" json:"failed"`
	Queued   int32 `parquet:"waiting" json:"waiting"`
	Running  int32 `parquet:"busy" json:"busy"`
}

// finishedRun is a finished run, as a line of the directory's journal.
type finishedRun struct {
	Hash       string      `json:"hash"`
	Run        int         `json:"run"`
	Rows       []Row       `json:"rows"`
	Seconds    []SecondRow `json:"seconds"`
	Violations []string    `json:"broken,omitempty"`
}

// Options are how a plan is run.
type Options struct {
	Dir            string
	Workers        int // runs at once
	ProgramVersion string
	Progress       func(finished, of int)
}

// Outcome is what running a plan came to.
type Outcome struct {
	Runs       int      `json:"runs"`
	Resumed    int      `json:"resumed"` // that were finished before
	Violations []string `json:"broken,omitempty"`
}

const journal = "finished.jsonl"

// Run runs what of a plan is not finished in the directory yet, and writes the tables. The
// tables are the same, byte for byte, however many runs go on at once and however often it
// was interrupted.
func Run(ctx context.Context, p *Plan, o Options) (*Outcome, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	finished, err := resume(p, o.Dir)
	if err != nil {
		return nil, err
	}
	out := &Outcome{Runs: p.RunCount(), Resumed: len(finished)}
	log, err := os.OpenFile(filepath.Join(o.Dir, journal), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	jobs, results := make(chan int), make(chan result)
	var wg sync.WaitGroup
	for range max(o.Workers, 1) {
		wg.Go(func() {
			for run := range jobs {
				results <- p.run(run, o.ProgramVersion)
			}
		})
	}
	var left []int // found out before results come in, which are noted beside
	for run := range p.RunCount() {
		if finished[run] == nil {
			left = append(left, run)
		}
	}
	go func() {
		defer close(results)
		for _, run := range left {
			select {
			case jobs <- run:
			case <-ctx.Done():
				close(jobs)
				wg.Wait()
				return
			}
		}
		close(jobs)
		wg.Wait()
	}()
	var failed error
	for r := range results {
		if r.err != nil {
			failed = errors.Join(failed, r.err)
			continue
		}
		line, err := json.Marshal(r.done)
		if err == nil {
			_, err = log.Write(append(line, '\n'))
		}
		if err != nil {
			failed = errors.Join(failed, err)
		}
		finished[r.done.Run] = r.done
		if o.Progress != nil {
			o.Progress(len(finished), p.RunCount())
		}
	}
	if err := errors.Join(failed, log.Sync()); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf(
			"interrupted after %d of %d runs; the same command goes on: %w",
			len(finished),
			p.RunCount(),
			err,
		)
	}
	var rows []Row
	var seconds []SecondRow
	for run := range p.RunCount() {
		d := finished[run]
		rows = append(rows, d.Rows...)
		seconds = append(seconds, d.Seconds...)
		for _, v := range d.Violations {
			out.Violations = append(
				out.Violations,
				fmt.Sprintf("run %d (%s, seed %d): %s", run, d.Rows[0].Factors, d.Rows[0].Seed, v),
			)
		}
	}
	return out, errors.Join(writeTable(filepath.Join(o.Dir, "runs.parquet"), rows),
		writeTable(filepath.Join(o.Dir, "seconds.parquet"), seconds))
}

type result struct {
	done *finishedRun
	err  error
}

// resume reads what is finished. A line that was cut short by an end in mid-write is left
// out; one of another plan is an error.
func resume(p *Plan, dir string) (map[int]*finishedRun, error) {
	finished := map[int]*finishedRun{}
	path := filepath.Join(dir, journal)
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return finished, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	whole := int64(0)
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		d := &finishedRun{}
		if json.Unmarshal(line, d) != nil {
			break
		}
		if d.Hash != p.Hash {
			return nil, fmt.Errorf(
				"%s is of another plan, or of one that has changed since; name another directory",
				path,
			)
		}
		finished[d.Run] = d
		whole += int64(len(line))
	}
	return finished, os.Truncate(path, whole)
}

// run plays a run.
func (p *Plan) run(run int, program string) result {
	cell, seed := run/p.Seeds, p.FirstSeed+uint64(run%p.Seeds)
	sc, err := p.Scenario(cell, seed)
	if err != nil {
		return result{err: err}
	}
	w, err := emulate.NewWorld(sc)
	if err != nil {
		return result{err: err}
	}
	r := w.Run()
	d := &finishedRun{Hash: p.Hash, Run: run, Violations: r.Violations}
	row := Row{
		Schema:      SchemaVersion,
		Plan:        p.Name,
		Hash:        p.Hash,
		Program:     program,
		Run:         int32(run),
		Combination: int32(cell),
		Factors:     strings.Join(p.Labels(cell), ", "),
		Seed:        int64(seed),
	}
	all := row
	all.Scope, all.EarnedShare, all.Violations = "all", r.EarnedShare, int64(len(r.Violations))
	all.Attempts, all.HealthChecks, all.Retries, all.Events = int64(
		r.Attempts,
	), int64(
		r.HealthChecks,
	), int64(
		r.Retries,
	), int64(
		r.Events,
	)
	var list []Row
	for _, group := range []struct {
		of    string
		tally []emulate.Tally
	}{{"class", r.Classes}, {"team", r.Teams}} {
		for _, t := range group.tally {
			one := row
			one.Scope, one.Name = group.of, t.Name
			one.Arrived, one.Served, one.InTime = int64(t.Arrived), int64(t.Served), int64(t.InTime)
			one.Rejected, one.Failed, one.P50, one.P99 = int64(t.Rejected), int64(t.Failed), t.P50, t.P99
			if t.OfferedWeight > 0 {
				one.EarnedShare = t.EarnedWeight / t.OfferedWeight
			}
			if group.of == "class" {
				all.Arrived += one.Arrived
				all.Served += one.Served
				all.InTime += one.InTime
				all.Rejected += one.Rejected
				all.Failed += one.Failed
			}
			list = append(list, one)
		}
	}
	d.Rows = append([]Row{all}, list...)
	for _, s := range r.Seconds {
		d.Seconds = append(
			d.Seconds,
			SecondRow{SchemaVersion, int32(run), int32(s.At), int32(s.Arrived), int32(s.Served),
				int32(s.InTime), int32(s.Rejected), int32(s.Failed), int32(s.Queued), int32(s.Running)},
		)
	}
	return result{done: d}
}

// writeTable writes a table whole or not at all.
func writeTable[T any](path string, rows []T) error {
	tmp := path + ".tmp"
	f, err := os.Create(tmp)
	if err != nil {
		return err
	}
	w := parquet.NewGenericWriter[T](f, parquet.Compression(&parquet.Zstd))
	_, err = w.Write(rows)
	err = errors.Join(err, w.Close(), f.Sync(), f.Close())
	if err != nil {
		return errors.Join(err, os.Remove(tmp))
	}
	return os.Rename(tmp, path)
}

// ReadRuns reads the table of runs of a directory.
func ReadRuns(dir string) ([]Row, error) {
	rows, err := parquet.ReadFile[Row](filepath.Join(dir, "runs.parquet"))
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Schema > SchemaVersion {
			return nil, fmt.Errorf(
				"%s: its columns are of version %d, this program reads %d",
				dir,
				r.Schema,
				SchemaVersion,
			)
		}
	}
	return rows, nil
}
