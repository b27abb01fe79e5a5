package emulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/internal/portablemath"
	"moorstack/internal/tomlfile"
)

// Duration is a time.Duration written as in "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Scenario describes a world and the events in it.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // jobs arrive during this time
	Nodes    int      `toml:"nodes"`    // default 1
	Zones    []string `toml:"zones"`

	SameZoneLatency  Duration `toml:"near"`    // one way within a zone; default 0.2 ms
	CrossZoneLatency Duration `toml:"far"`     // one way between zones; default 0.6 ms
	ConnectTimeout   Duration `toml:"connect"` // of health checks at unresponsive workers; default 250 ms

	// ListDelay is the delay of changes of the endpoint list; default 1 s.
	ListDelay Duration `toml:"list_delay"`
	// ListDelivery is how nodes receive the endpoint list: asked (the default; each node watches a central
	// service) or pushed (an agent next to each node holds the list, and what it holds counts as received).
	ListDelivery string `toml:"list"`
	// DrainGrace is how long new work may be sent to a worker after it is listed as draining; default 1 s.
	DrainGrace Duration `toml:"drain_grace"`
	// SubsetSize is the number of workers that each node uses; 0: all.
	SubsetSize int `toml:"subset"`
	// HealthChecks enables health checks, by which nodes read load reports; default true.
	HealthChecks *bool `toml:"probes"`

	Classes []ClassSpec   `toml:"class"`
	Workers []WorkerGroup `toml:"workers"`
	Clients []ClientGroup `toml:"clients"`
	Faults  []Fault       `toml:"trouble"`

	path string
	raw  []byte
}

// The values of ClassSpec.Idempotency.
const (
	idempotent      = "retryable"
	idempotentByKey = "dedup"
	nonIdempotent   = "fragile"
)

// ClassSpec is a class of jobs with the distribution of their sizes.
type ClassSpec struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"effect"`      // retryable (the default), dedup or fragile
	KeyWindow        Duration `toml:"window"`      // time for which workers drop duplicates by key
	LatencyObjective Duration `toml:"aim"`         // default: the timeout
	ObjectiveStretch float64  `toml:"aim_stretch"` // added to the objective per second of a job's size
	Timeout          Duration `toml:"give_up"`     // of the clients; default 10 s
	PriorityWeight   float64  `toml:"worth"`       // of a second of work; default 1
	LateShare        float64  `toml:"late_share"`  // share of the weight earned by a late response
	Size             SizeSpec `toml:"size"`
}

// HasIdempotencyKey reports whether jobs of the class carry an idempotency key.
func (c *ClassSpec) HasIdempotencyKey() bool { return c.Idempotency == idempotentByKey }

// The values of SizeSpec.Dist.
const (
	distExponential = "exponential"
	distConstant    = "constant"
	distLogNormal   = "lognormal"
	distPareto      = "pareto"
)

// SizeSpec is a distribution of job sizes, in seconds of work on a core of speed 1.
type SizeSpec struct {
	Dist  string  `toml:"dist"` // exponential (the default), constant, lognormal or pareto
	Mean  float64 `toml:"mean"`
	Sigma float64 `toml:"sigma"` // lognormal: standard deviation of the logarithm
	Alpha float64 `toml:"alpha"` // pareto: shape, above 1
}

func (s *SizeSpec) draw(random *rand.Rand) float64 {
	switch s.Dist {
	case distConstant:
		return s.Mean
	case distLogNormal:
		deviation := float64(s.Sigma * portablemath.Normal(random))
		return s.Mean * portablemath.Exp(deviation-float64(s.Sigma*s.Sigma/2))
	case distPareto:
		minimum := s.Mean * (s.Alpha - 1) / s.Alpha
		return minimum / portablemath.Pow(1-float64(random.Float64()), 1/s.Alpha)
	}
	return s.Mean * portablemath.Exponential(random)
}

// WorkerGroup is a group of workers of one kind in one zone.
type WorkerGroup struct {
	Count             int      `toml:"count"`
	Zone              string   `toml:"zone"`       // default: the first zone
	Cores             int      `toml:"cores"`      // default 1
	Slots             int      `toml:"slots"`      // default: the number of cores
	QueueCapacity     int      `toml:"room"`       // default 64; -1: no queue
	Speed             float64  `toml:"speed"`      // default 1
	SlowStartWindow   Duration `toml:"cold"`       // default 20 s
	SlowStartMinShare float64  `toml:"cold_share"` // default 0.12
	ReportInterval    Duration `toml:"refresh"`    // default 100 ms
	ReportNoise       float64  `toml:"noise"`
	PodSize           int      `toml:"pod_size"` // workers that share duplicate detection; default 1

	// WorkerSpec is set from the other fields when the scenario is validated.
	WorkerSpec WorkerSpec `toml:"-"`
}

// ClientGroup is a group of one team's clients in one zone.
type ClientGroup struct {
	Team             string    `toml:"team"`
	Zone             string    `toml:"zone"`    // default: the scenario's zones in turn
	Rate             float64   `toml:"rate"`    // jobs per second, Poisson arrivals
	Classes          []string  `toml:"classes"` // default: all
	Mix              []float64 `toml:"mix"`     // weights of the classes; default: equal
	Retries          int       `toml:"retries"` // retries per job that is rejected or lost with a node
	Backoff          Duration  `toml:"backoff"` // before a retry without Retry-After; default 500 ms
	IgnoreRetryAfter bool      `toml:"blind"`
}

// ParseScenario parses and validates a scenario. The path is used in errors, which have the type
// *tomlfile.Error and name the line.
func ParseScenario(path string, raw []byte) (*Scenario, error) {
	sc := &Scenario{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, sc); err != nil {
		return nil, err
	}
	return sc, sc.validate()
}

func (s *Scenario) hasIdempotencyKeys() bool {
	return slices.ContainsFunc(s.Classes, func(c ClassSpec) bool { return c.HasIdempotencyKey() })
}

func (s *Scenario) maxKeyWindow() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.KeyWindow))
	}
	return longest
}

func (s *Scenario) maxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.Timeout))
	}
	return longest
}
