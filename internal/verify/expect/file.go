package expect

import (
	"time"

	"moorstack/balancer"
)

// fileVersion is the only version of the format.
const fileVersion = 1

// File is a file of expectations.
type File struct {
	Version      int           `toml:"version"` // 1
	Platform     string        `toml:"platform"`
	Rules        string        `toml:"rules"` // empty: there are none, and the balancer alone decides
	Zone         string        `toml:"zone"`  // of the node that has the jobs; empty: the platform file's
	Seed         uint64        `toml:"seed"`
	Workers      []Worker      `toml:"worker"`
	WorkerSets   []WorkerSet   `toml:"roster"`
	Jobs         []Job         `toml:"job"`
	Expectations []Expectation `toml:"expect"`
}

// Worker is a worker as the endpoint list and health checks describe it.
type Worker struct {
	Name        string    `toml:"name"`
	Zone        string    `toml:"zone"`
	Kind        string    `toml:"kind"`
	Cell        int       `toml:"cell"`
	Labels      []string  `toml:"label"`
	Lifecycle   Lifecycle `toml:"lifecycle"` // empty: LifecycleServing
	Age         duration  `toml:"age"`       // since its start; 0: long ago
	FreeSlots   float64   `toml:"free"`      // as a health check reports
	QueueLength float64   `toml:"queue"`     // as a health check reports
	Reachable   *bool     `toml:"reachable"` // false: neither health checks nor jobs get there
}

// Lifecycle is a worker's state in the endpoint list.
type Lifecycle string

// The values of Lifecycle.
const (
	LifecycleServing  Lifecycle = "SERVING"
	LifecycleDraining Lifecycle = "DRAINING"
	LifecycleDeleted  Lifecycle = "DELETED"
)

// workerState returns the balancer's state; false: there is no such lifecycle.
func (l Lifecycle) workerState() (balancer.WorkerState, bool) {
	switch l {
	case "", LifecycleServing:
		return balancer.Ready, true
	case LifecycleDraining:
		return balancer.Draining, true
	case LifecycleDeleted:
		return balancer.Removed, true
	}
	return balancer.Removed, false
}

// WorkerSet is an endpoint list. A file without any has one of all its workers, whose name is empty.
type WorkerSet struct {
	Name    string   `toml:"name"`
	Workers []string `toml:"workers"`
}

// Job is a job that might come.
type Job struct {
	Name         string            `toml:"name"`
	Front        string            `toml:"front"` // as package routing has them; empty: HTTP
	Class        string            `toml:"class"`
	Tenant       string            `toml:"tenant"`
	Host         string            `toml:"host"`
	Path         string            `toml:"path"`
	Headers      map[string]string `toml:"header"`
	RouteKey     string            `toml:"key"`
	ExpectedWork duration          `toml:"cost"`
	Queue        string            `toml:"queue"`
	JobType      string            `toml:"jobtype"`
	Timeout      duration          `toml:"timeout"` // 0: the class's
}

// Expectation is what is expected of a job.
type Expectation struct {
	Name      string   `toml:"name"`
	Job       string   `toml:"job"`
	WorkerSet string   `toml:"roster"`
	After     duration `toml:"after"` // from the endpoint list to the job; 0: defaultJobDelay
	Events    []Event  `toml:"events"`

	FirstAttempts  []AttemptShare   `toml:"goes_to"`
	NoAttempts     []WorkerSelector `toml:"never"`         // where none goes
	SecondAttempts []AttemptShare   `toml:"falls_back_to"` // of the jobs that have one
	Rejected       *Rejection       `toml:"refused"`
	Served         *bool            `toml:"served"`
	MaxAttempts    int              `toml:"tried_at_most"` // 0: any number
	Rule           *string          `toml:"rule"`          // that decides; "": none
}

// Event is something that happens before or during the job.
type Event struct {
	At          duration    `toml:"at"` // counted from the endpoint list
	Worker      string      `toml:"worker"`
	Lifecycle   Lifecycle   `toml:"lifecycle"` // that the endpoint list has from now on
	Reachable   *bool       `toml:"reachable"`
	JobResponse JobResponse `toml:"answers"`
}

// JobResponse is how a worker responds to jobs.
type JobResponse string

// The values of JobResponse.
const (
	RespondOK    JobResponse = "ok"
	RespondError JobResponse = "error"
	RespondFull  JobResponse = "full" // it has no room for the job
)

// WorkerSelector is a set of workers: those that meet every condition that is given.
type WorkerSelector struct {
	Zone   string `toml:"zone"`
	Kind   string `toml:"kind"`
	Pool   string `toml:"pool"`
	Worker string `toml:"worker"`
}

// AttemptShare is the fraction of attempts that go to a set of workers.
type AttemptShare struct {
	WorkerSelector
	Fraction  *float64 `toml:"share"`  // nil: 1
	Tolerance float64  `toml:"within"` // 0: defaultTolerance
}

// defaultTolerance is the tolerance of a share that gives none.
const defaultTolerance = 0.05

// Rejection is what is expected of a rejected job's response.
type Rejection struct {
	Reason        string   `toml:"reason"` // that a rule gives; empty: any
	MinRetryAfter duration `toml:"after_least"`
}

type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}
