package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// SchemaVersion is the version of the tables' columns. Readers reject newer versions; within a version,
// columns may be added but not changed or removed.
const SchemaVersion = 1

// The files of the tables in a results directory.
const (
	runsFile    = "runs.parquet"
	secondsFile = "seconds.parquet"
)

// The values of Row.Scope.
const (
	scopeClass = "class"
	scopeTeam  = "team"
	scopeAll   = "all"
)

// Row is a row of the table of runs. Each run has one for each class, one for each team, and one for all
// classes together.
type Row struct {
	Schema       int32   `parquet:"schema" json:"schema"`
	Plan         string  `parquet:"plan,dict" json:"plan"`
	Hash         string  `parquet:"plan_hash,dict" json:"plan_hash"`
	Program      string  `parquet:"program,dict" json:"program"` // version of the program
	Run          int32   `parquet:"run" json:"run"`
	Combination  int32   `parquet:"cell" json:"cell"` // number of the combination of levels
	Factors      string  `parquet:"factors,dict" json:"factors"`
	Seed         int64   `parquet:"seed" json:"seed"`
	Scope        string  `parquet:"of,dict" json:"of"`     // class, team or all
	Name         string  `parquet:"name,dict" json:"name"` // of the class or team; empty: all
	Arrived      int64   `parquet:"came" json:"came"`
	Served       int64   `parquet:"served" json:"served"`
	InTime       int64   `parquet:"in_time" json:"in_time"`
	Rejected     int64   `parquet:"refused" json:"refused"`
	Failed       int64   `parquet:"failed" json:"failed"`
	EarnedShare  float64 `parquet:"earned" json:"earned"` // share of the offered weight
	P50          float64 `parquet:"p50_ms" json:"p50_ms"`
	P99          float64 `parquet:"p99_ms" json:"p99_ms"`
	Attempts     int64   `parquet:"attempts" json:"attempts"` // this and the rest: only in rows of scope all
	HealthChecks int64   `parquet:"probes" json:"probes"`
	Retries      int64   `parquet:"retries" json:"retries"`
	Events       int64   `parquet:"events" json:"events"`
	Violations   int64   `parquet:"violations" json:"violations"`
}

// SecondRow is a row of the table of seconds: one second of a run.
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

// writeTable writes a table atomically.
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

// ReadRuns reads the table of runs in a directory. It returns an error if the columns have a newer version.
func ReadRuns(dir string) ([]Row, error) {
	rows, err := parquet.ReadFile[Row](filepath.Join(dir, runsFile))
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Schema > SchemaVersion {
			return nil, fmt.Errorf("%s: the table has schema version %d, this program supports up to %d",
				dir, r.Schema, SchemaVersion)
		}
	}
	return rows, nil
}
