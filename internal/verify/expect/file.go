package expect

import (
	"time"

	"moorstack/balancer"
)

// fileVersion is the only supported version of the file format.
const fileVersion = 1

// File is a file of expectations.
type File struct {
	Version      int           `toml:"version"` // 1
	Platform     string        `toml:"platform"`
	Rules        string        `toml:"rules"` // empty: no rules; the balancer alone decides
	Zone         string        `toml:"zone"`  // of the receiving node; empty: the platform file's
	Seed         uint64        `toml:"seed"`
	Workers      []Worker      `toml:"worker"`
	WorkerSets   []WorkerSet   `toml:"roster"`
	Jobs         []Job         `toml:"job"`
	Expectations []Expectation `toml:"expect"`
}

// Worker describes a worker: its entry in the endpoint list and its responses to health checks.
type Worker struct {
	Name        string    `toml:"name"`
	Zone        string    `toml:"zone"`
	Kind        string    `toml:"kind"`
	Cell        int       `toml:"cell"`
	Labels      []string  `toml:"label"`
	Lifecycle   Lifecycle `toml:"lifecycle"` // empty: LifecycleServing
	Age         duration  `toml:"age"`       // time since its start; 0: it started long ago
	FreeSlots   float64   `toml:"free"`      // reported by health checks
	QueueLength float64   `toml:"queue"`     // reported by health checks
	Reachable   *bool     `toml:"reachable"` // nil: true; if false, health checks and jobs fail to connect
}

// Lifecycle is a worker's state in the endpoint list.
type Lifecycle string

// The values of Lifecycle.
const (
	LifecycleServing  Lifecycle = "SERVING"
	LifecycleDraining Lifecycle = "DRAINING"
	LifecycleDeleted  Lifecycle = "DELETED"
)

// workerState converts l to the balancer's worker state. It returns false if l is not a known lifecycle.
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

// WorkerSet is a named endpoint list. The set with the empty name is implicit: it holds all workers of the
// file.
type WorkerSet struct {
	Name    string   `toml:"name"`
	Workers []string `toml:"workers"`
}

// Job describes a job that is submitted to the simulation.
type Job struct {
	Name         string            `toml:"name"`
	Front        string            `toml:"front"` // routing.FrontHTTP or routing.FrontFaktory; empty: HTTP
	Class        string            `toml:"class"`
	Tenant       string            `toml:"tenant"`
	Host         string            `toml:"host"`
	Path         string            `toml:"path"`
	Headers      map[string]string `toml:"header"`
	RouteKey     string            `toml:"key"`
	ExpectedWork duration          `toml:"cost"`
	Queue        string            `toml:"queue"`
	JobType      string            `toml:"jobtype"`
	Timeout      duration          `toml:"timeout"` // 0: the timeout of its class
}

// Expectation states what is expected of a job.
type Expectation struct {
	Name      string   `toml:"name"`
	Job       string   `toml:"job"`
	WorkerSet string   `toml:"roster"`
	After     duration `toml:"after"` // delay from the endpoint list to the job; 0: defaultJobDelay
	Events    []Event  `toml:"events"`

	FirstAttempts  []AttemptShare   `toml:"goes_to"`
	NoAttempts     []WorkerSelector `toml:"never"`         // workers that receive no attempt
	SecondAttempts []AttemptShare   `toml:"falls_back_to"` // fractions of the jobs with a second attempt
	Rejected       *Rejection       `toml:"refused"`
	Served         *bool            `toml:"served"`
	MaxAttempts    int              `toml:"tried_at_most"` // 0: unlimited
	Rule           *string          `toml:"rule"`          // the rule that matches; "": no rule does
}

// Event is a change of a worker before or during the job.
type Event struct {
	At          duration    `toml:"at"` // time since the endpoint list
	Worker      string      `toml:"worker"`
	Lifecycle   Lifecycle   `toml:"lifecycle"` // new lifecycle in the endpoint list; empty: unchanged
	Reachable   *bool       `toml:"reachable"`
	JobResponse JobResponse `toml:"answers"`
}

// JobResponse is the kind of response that a worker sends to jobs.
type JobResponse string

// The values of JobResponse.
const (
	RespondOK    JobResponse = "ok"
	RespondError JobResponse = "error"
	RespondFull  JobResponse = "full" // the worker has no free capacity for the job
)

// WorkerSelector selects the workers that meet all of its conditions. An empty condition matches any worker.
type WorkerSelector struct {
	Zone   string `toml:"zone"`
	Kind   string `toml:"kind"`
	Pool   string `toml:"pool"`
	Worker string `toml:"worker"`
}

// AttemptShare is the expected fraction of attempts that go to the selected workers.
type AttemptShare struct {
	WorkerSelector
	Fraction  *float64 `toml:"share"`  // nil: 1
	Tolerance float64  `toml:"within"` // 0: defaultTolerance
}

// defaultTolerance is the tolerance of a share that does not set one.
const defaultTolerance = 0.05

// Rejection states what is expected of the response to a rejected job.
type Rejection struct {
	Reason        string   `toml:"reason"` // reject reason set by a rule; empty: any
	MinRetryAfter duration `toml:"after_least"`
}

type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}
