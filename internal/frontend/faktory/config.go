// Package faktory is the front for the Faktory work protocol: producers push jobs,
// workers fetch and acknowledge them, and core.Core decides what goes where.
//
// It is a server in memory: what it holds is gone when the process ends. Like any
// front it only carries; a job that the module refuses is refused at once.
package faktory

import (
	"errors"
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/tomlfile"
)

// Config is the file that -faktory names.
type Config struct {
	Listen       string
	Password     string
	Connections  int
	LineBytes    int `toml:"line_bytes"`
	Jobs         int
	Bytes        int
	Keep         time.Duration
	Silence      time.Duration
	Reserve      time.Duration
	ReserveLeast time.Duration `toml:"reserve_least"`
	Queue        int
	Classes      map[string]string
}

// ReadConfig reads the file.
func ReadConfig(path string) (*Config, error) {
	c := &Config{Connections: 256, LineBytes: 64 << 10, Jobs: 10000, Bytes: 32 << 20, Keep: 10 * time.Minute,
		Silence: time.Minute, Reserve: 30 * time.Minute, ReserveLeast: time.Minute, Queue: 25}
	if err := tomlfile.Read(path, c); err != nil {
		return nil, err
	}
	if c.Listen == "" {
		return nil, fmt.Errorf("reading %s: no listen address", path)
	}
	if c.Connections < 1 || c.LineBytes < 256 || c.LineBytes > 128<<10 || c.Jobs < 1 || c.Bytes < 1 ||
		c.Queue < 0 || c.Keep <= 0 || c.Silence <= 0 || c.Reserve <= 0 || c.ReserveLeast <= 0 {
		return nil, errors.New("reading " + path + ": a limit is out of range")
	}
	return c, nil
}

// Settings fits a node's settings to this front's route set: it is of the workers
// that hold a session with this node, so that no directory need be asked, nobody
// else sends to them, and their load can be read here at no cost. They are not of
// the platform's machine kinds. A worker fetches what it has room for, and so is
// never cold in the sense of the fourth rule.
func Settings(set balancer.Settings) balancer.Settings {
	set.DispatcherIndex, set.DispatcherCount, set.WorkerKinds = 0, 1, 1
	set.ListOnRequest, set.ReportsStart, set.ProgressInterval = false, false, 0
	set.Limits.HealthChecks, set.LoadReportsByCheck = true, true
	set.SizeMeaning = balancer.SizeNone
	set.Classes = append([]balancer.Class(nil), set.Classes...)
	for i := range set.Classes {
		set.Classes[i].WorkerKind = -1
	}
	return set
}
