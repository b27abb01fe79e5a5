package faktory

import (
	"errors"
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/tomlfile"
)

// Config is the file that -faktory names. Keys are read without regard to case.
type Config struct {
	// Listen is the address, with its port, at which producers and workers connect.
	Listen string `toml:"listen"`
	// Password is what every connection must prove to know; empty: none.
	Password string `toml:"password"`
	// MaxConnections is the number of open connections, producers' and workers' together.
	MaxConnections int `toml:"connections"`
	// MaxLineBytes is the length of a command's line, without its end.
	MaxLineBytes int `toml:"line_bytes"`
	// MaxJobs is the number of jobs that are kept, finished ones too.
	MaxJobs int `toml:"jobs"`
	// MaxJobBytes is the size of all unfinished jobs together.
	MaxJobBytes int `toml:"bytes"`
	// ResponseRetention is for how long a finished job's result can be read.
	ResponseRetention time.Duration `toml:"keep"`
	// SessionTimeout is after how much silence a worker's session expires.
	SessionTimeout time.Duration `toml:"silence"`
	// ReservationTimeout is how long a worker may work on a job that doesn't say so itself.
	ReservationTimeout time.Duration `toml:"reserve"`
	// MinReservationTimeout is the least that a job may say for that.
	MinReservationTimeout time.Duration `toml:"reserve_least"`
	// MaxUnfetchedPerWorker is how many jobs may wait for a worker's next FETCH.
	MaxUnfetchedPerWorker int `toml:"queue"`
	// ClassByJobType gives job types their class by name; a type that is missing here is its class's name.
	ClassByJobType map[string]string `toml:"classes"`
}

// ReadConfig reads the file, with defaults for what it doesn't give. It fails on an unknown key, without a
// listen address, and on a limit that is out of range.
func ReadConfig(path string) (*Config, error) {
	c := &Config{
		MaxConnections:        256,
		MaxLineBytes:          64 << 10,
		MaxJobs:               10000,
		MaxJobBytes:           32 << 20,
		ResponseRetention:     10 * time.Minute,
		SessionTimeout:        time.Minute,
		ReservationTimeout:    30 * time.Minute,
		MinReservationTimeout: time.Minute,
		MaxUnfetchedPerWorker: 25,
	}
	if err := tomlfile.Read(path, c); err != nil {
		return nil, err
	}
	if c.Listen == "" {
		return nil, fmt.Errorf("reading %s: no listen address", path)
	}
	if !c.limitsInRange() {
		return nil, errors.New("reading " + path + ": a limit is out of range")
	}
	return c, nil
}

func (c *Config) limitsInRange() bool {
	return c.MaxConnections >= 1 && c.MaxLineBytes >= 256 && c.MaxLineBytes <= 128<<10 &&
		c.MaxJobs >= 1 && c.MaxJobBytes >= 1 && c.MaxUnfetchedPerWorker >= 0 &&
		c.ResponseRetention > 0 && c.SessionTimeout > 0 &&
		c.ReservationTimeout > 0 && c.MinReservationTimeout > 0
}

// AdaptSettings fits a node's settings to this frontend's endpoint list, which consists of the workers that
// hold a session with this node: no discovery service need be polled, no other node sends to them, and their
// load can be read here at no cost. They are not of the platform's machine kinds. A worker fetches only what
// it has capacity for, and so needs no slow start.
func AdaptSettings(set balancer.Settings) balancer.Settings {
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
