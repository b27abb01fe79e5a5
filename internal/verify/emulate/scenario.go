package emulate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/internal/tomlfile"
)

// Duration is a time span, written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads a time span.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Scenario is a world and what happens in it.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // for which jobs arrive
	Nodes    int      `toml:"nodes"`    // 1, if not given
	Zones    []string `toml:"zones"`

	SameZoneLatency  Duration `toml:"near"`    // one way within a zone; 0.2 ms, if not given
	CrossZoneLatency Duration `toml:"far"`     // one way between two zones; 0.6 ms, if not given
	ConnectTimeout   Duration `toml:"connect"` // of a health check at a silent worker; 250 ms, if not given

	// ListDelay is how late changes of the endpoint list come; 1 s, if not given.
	ListDelay Duration `toml:"list_delay"`
	// ListDelivery is how the endpoint list comes: asked (each node has a watch at a service for all) or
	// pushed (an agent beside each node has it, and what it has counts as received); asked, if not given.
	ListDelivery string `toml:"list"`
	// DrainGrace is how long new work may go to a worker that is listed as draining; 1 s, if not given.
	DrainGrace Duration `toml:"drain_grace"`
	// SubsetSize is how many of the workers each node uses; 0: all.
	SubsetSize int `toml:"subset"`
	// HealthChecks says whether nodes read load reports by health checks; yes, if not given.
	HealthChecks *bool `toml:"probes"`

	Classes []ClassSpec   `toml:"class"`
	Workers []WorkerGroup `toml:"workers"`
	Clients []ClientGroup `toml:"clients"`
	Faults  []Fault       `toml:"trouble"`

	path string
	raw  []byte
}

// The values of ClassSpec.Idempotency, in the scenario's words.
const (
	idempotent      = "retryable"
	idempotentByKey = "dedup"
	nonIdempotent   = "fragile"
)

// ClassSpec is a class of jobs and the sizes that its jobs have.
type ClassSpec struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"effect"`      // retryable, dedup or fragile; retryable, if not given
	KeyWindow        Duration `toml:"window"`      // for which workers drop duplicates, by the key
	LatencyObjective Duration `toml:"aim"`         // the timeout, if not given
	ObjectiveStretch float64  `toml:"aim_stretch"` // added to the objective for each second of a job's size
	Timeout          Duration `toml:"give_up"`     // of the clients; 10 s, if not given
	PriorityWeight   float64  `toml:"worth"`       // of a second of work; 1, if not given
	LateShare        float64  `toml:"late_share"`  // of the weight, for a response after the objective
	Size             SizeSpec `toml:"size"`
}

// HasIdempotencyKey says whether jobs of the class carry a key.
func (c *ClassSpec) HasIdempotencyKey() bool { return c.Idempotency == idempotentByKey }

// The values of SizeSpec.Dist.
const (
	distExponential = "exponential"
	distConstant    = "constant"
	distLogNormal   = "lognormal"
	distPareto      = "pareto"
)

// SizeSpec is a distribution of work, in seconds on a core of speed 1.
type SizeSpec struct {
	Dist  string  `toml:"dist"` // exponential (if not given), constant, lognormal or pareto
	Mean  float64 `toml:"mean"`
	Sigma float64 `toml:"sigma"` // of lognormal: of the logarithm
	Alpha float64 `toml:"alpha"` // of pareto: above 1
}

func (s *SizeSpec) draw(random *rand.Rand) float64 {
	switch s.Dist {
	case distConstant:
		return s.Mean
	case distLogNormal:
		return s.Mean * math.Exp(s.Sigma*random.NormFloat64()-s.Sigma*s.Sigma/2)
	case distPareto:
		least := s.Mean * (s.Alpha - 1) / s.Alpha
		return least / math.Pow(1-random.Float64(), 1/s.Alpha)
	}
	return s.Mean * random.ExpFloat64()
}

// WorkerGroup is workers of one kind in one zone.
type WorkerGroup struct {
	Count             int      `toml:"count"`
	Zone              string   `toml:"zone"`       // the first, if not given
	Cores             int      `toml:"cores"`      // 1, if not given
	Slots             int      `toml:"slots"`      // as many as cores, if not given
	QueueCapacity     int      `toml:"room"`       // 64, if not given; -1: none
	Speed             float64  `toml:"speed"`      // 1, if not given
	SlowStartWindow   Duration `toml:"cold"`       // 20 s, if not given
	SlowStartMinShare float64  `toml:"cold_share"` // 0.12, if not given
	ReportInterval    Duration `toml:"refresh"`    // 100 ms, if not given
	ReportNoise       float64  `toml:"noise"`
	PodSize           int      `toml:"pod_size"` // workers that drop each other's duplicates; 1, if not given

	// WorkerSpec is made of the others when the scenario is checked.
	WorkerSpec WorkerSpec `toml:"-"`
}

// ClientGroup is clients of one team in one zone.
type ClientGroup struct {
	Team             string    `toml:"team"`
	Zone             string    `toml:"zone"`    // one after the other of the scenario's, if not given
	Rate             float64   `toml:"rate"`    // jobs a second, arriving at random (Poisson)
	Classes          []string  `toml:"classes"` // all, if not given
	Mix              []float64 `toml:"mix"`     // how often each; alike, if not given
	Retries          int       `toml:"retries"` // of what was rejected or lost with a node
	Backoff          Duration  `toml:"backoff"` // before a retry without Retry-After; 500 ms, if not given
	IgnoreRetryAfter bool      `toml:"blind"`
}

// ParseScenario reads a scenario and checks it. The path is for errors, which are of *tomlfile.Error and name
// the line.
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
