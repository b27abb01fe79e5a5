package faktory

import (
	"errors"
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/tomlfile"
)

// Config is the content of the file that -faktory names. Its keys are case-insensitive.
type Config struct {
	// Listen is the address and port for producers and workers.
	Listen string `toml:"listen"`
	// Password is required from every connection, as a salted hash; empty: no password.
	Password string `toml:"password"`
	// MaxConnections limits the open connections of producers and workers together.
	MaxConnections int `toml:"connections"`
	// MaxLineBytes limits the length of a command line, without its line ending.
	MaxLineBytes int `toml:"line_bytes"`
	// MaxJobs limits the number of jobs in memory, including finished ones.
	MaxJobs int `toml:"jobs"`
	// MaxJobBytes limits the total size of all unfinished jobs.
	MaxJobBytes int `toml:"bytes"`
	// ResponseRetention is how long the result of a finished job can be read.
	ResponseRetention time.Duration `toml:"keep"`
	// SessionTimeout is the time without a command after which a worker's session expires.
	SessionTimeout time.Duration `toml:"silence"`
	// ReservationTimeout is how long a worker may work on a job without reserve_for.
	ReservationTimeout time.Duration `toml:"reserve"`
	// MinReservationTimeout is the lower limit for reserve_for; smaller values are raised to it.
	MinReservationTimeout time.Duration `toml:"reserve_least"`
	// MaxUnfetchedPerWorker limits the jobs that are assigned to a worker and not fetched yet.
	MaxUnfetchedPerWorker int `toml:"queue"`
	// ClassByJobType maps job types to class names. A type that is not listed is itself a class name.
	ClassByJobType map[string]string `toml:"classes"`
}

// ReadConfig reads the file and sets defaults for missing keys. It fails if a key is unknown, if the listen
// address is missing, or if a limit is out of range.
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
		return nil, fmt.Errorf("reading %s: listen must be set", path)
	}
	if !c.limitsInRange() {
		return nil, errors.New("reading " + path +
			": a limit is out of range: line_bytes from 256 to 131072, queue from 0, all others above 0")
	}
	return c, nil
}

// limitsInRange reports whether every limit is in its range.
func (c *Config) limitsInRange() bool {
	return c.MaxConnections >= 1 && c.MaxLineBytes >= 256 && c.MaxLineBytes <= 128<<10 &&
		c.MaxJobs >= 1 && c.MaxJobBytes >= 1 && c.MaxUnfetchedPerWorker >= 0 &&
		c.ResponseRetention > 0 && c.SessionTimeout > 0 &&
		c.ReservationTimeout > 0 && c.MinReservationTimeout > 0
}

// AdaptSettings returns a node's settings adapted to this front. Its endpoint list consists of the
// workers that have a session with this node: no discovery service has to be polled, no other node sends
// jobs to them, and their load can be read here at no cost. They have none of the platform's machine kinds.
// A worker fetches only the jobs that it has capacity for, and so needs no slow start.
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
