package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/tomlfile"
)

// Duration is a time span, written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Scenario is a world and what happens in it.
type Scenario struct {
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"`
	Nodes    int      `toml:"nodes"`
	Zones    []string `toml:"zones"`

	SameZoneLatency  Duration `toml:"near"` // one way within a zone; 0.2 ms, if not given
	CrossZoneLatency Duration `toml:"far"`  // and between two; 0.6 ms
	// until an attempt at one that is silent is given up; 250 ms
	ConnectTimeout Duration `toml:"connect"`
	ListDelay      Duration `toml:"list_delay"` // of news of the list; 1 s
	// ListDelivery says how the list comes: asked (each node has a watch at a service for all), or pushed (an
	// agent beside each node has it, and what it has counts as told); asked, if not given.
	ListDelivery string `toml:"list"`
	// DrainGrace is how long new work may go to a worker that is told as draining; 1 s, if not given.
	DrainGrace Duration `toml:"drain_grace"`
	// SubsetSize is how many of the workers each node uses; 0: all.
	SubsetSize int `toml:"subset"`

	HealthChecks *bool `toml:"probes"` // load reports come by probes; yes, if not given

	Classes []ClassSpec   `toml:"class"`
	Workers []WorkerGroup `toml:"workers"`
	Clients []ClientGroup `toml:"clients"`
	Faults  []Fault       `toml:"trouble"`

	path string
	raw  []byte
}

// ClassSpec is a class of jobs and the sizes that its jobs have.
type ClassSpec struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"effect"` // retryable, dedup or fragile; retryable, if not given
	KeyWindow        Duration `toml:"window"`
	LatencyObjective Duration `toml:"aim"`
	ObjectiveStretch float64  `toml:"aim_stretch"`
	Timeout          Duration `toml:"give_up"`
	PriorityWeight   float64  `toml:"worth"`
	LateShare        float64  `toml:"late_share"`
	Size             SizeSpec `toml:"size"`
}

// HasIdempotencyKey says whether jobs of the class carry a key.
func (c *ClassSpec) HasIdempotencyKey() bool { return c.Idempotency == "dedup" }

// SizeSpec is a distribution of work, in seconds on a core of speed 1.
type SizeSpec struct {
	Dist  string  `toml:"dist"` // exponential (if not given), constant, lognormal or pareto
	Mean  float64 `toml:"mean"`
	Sigma float64 `toml:"sigma"` // of lognormal: of the logarithm
	Alpha float64 `toml:"alpha"` // of pareto: above 1
}

func (s *SizeSpec) draw(rng *rand.Rand) float64 {
	switch s.Dist {
	case "constant":
		return s.Mean
	case "lognormal":
		return s.Mean * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2)
	case "pareto":
		least := s.Mean * (s.Alpha - 1) / s.Alpha
		return least / math.Pow(1-rng.Float64(), 1/s.Alpha)
	}
	return s.Mean * rng.ExpFloat64()
}

// WorkerGroup is workers of one kind in one zone.
type WorkerGroup struct {
	Count             int      `toml:"count"`
	Zone              string   `toml:"zone"`
	Cores             int      `toml:"cores"`
	Slots             int      `toml:"slots"` // as many as cores, if not given
	QueueCapacity     int      `toml:"room"`  // 64, if not given; -1: none
	Speed             float64  `toml:"speed"` // 1, if not given
	SlowStartWindow   Duration `toml:"cold"`  // 20 s
	SlowStartMinShare float64  `toml:"cold_share"`
	ReportInterval    Duration `toml:"refresh"` // 100 ms
	ReportNoise       float64  `toml:"noise"`
	PodSize           int      `toml:"pod_size"`

	WorkerSpec WorkerSpec `toml:"-"`
}

// ClientGroup is clients of one team in one zone.
type ClientGroup struct {
	Team             string    `toml:"team"`
	Zone             string    `toml:"zone"`
	Rate             float64   `toml:"rate"`    // jobs a second, arriving at random (Poisson)
	Classes          []string  `toml:"classes"` // all, if not given
	Mix              []float64 `toml:"mix"`     // how often each; alike, if not given
	Retries          int       `toml:"retries"` // of what was refused or lost with a node
	Backoff          Duration  `toml:"backoff"` // before a retry that was not told when to return
	IgnoreRetryAfter bool      `toml:"blind"`   // it does not heed when to return
}

// ParseScenario reads a scenario.
func ParseScenario(path string, raw []byte) (*Scenario, error) {
	sc := &Scenario{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, sc); err != nil {
		return nil, err
	}
	return sc, sc.validate()
}

func (s *Scenario) errorAt(array string, n int, format string, args ...any) error {
	return &tomlfile.Error{
		Path:    s.path,
		Line:    tomlfile.LineOfTable(s.raw, array, n),
		Key:     array,
		Message: fmt.Sprintf(format, args...),
	}
}

func (s *Scenario) validate() error {
	fill := func(d *Duration, to time.Duration) {
		if *d == 0 {
			*d = Duration(to)
		}
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	if s.Nodes == 0 {
		s.Nodes = 1
	}
	fill(&s.SameZoneLatency, 200*time.Microsecond)
	fill(&s.CrossZoneLatency, 600*time.Microsecond)
	fill(&s.ConnectTimeout, 250*time.Millisecond)
	fill(&s.ListDelay, time.Second)
	fill(&s.DrainGrace, time.Second)
	if s.ListDelivery == "" {
		s.ListDelivery = listPolled
	}
	bad := func(key, format string, args ...any) error {
		return tomlfile.ErrorAt(s.path, s.raw, key, format, args...)
	}
	switch {
	case s.Duration <= 0 || time.Duration(s.Duration) > 48*time.Hour:
		return bad("duration", "%v is not above 0 and up to 48h", time.Duration(s.Duration))
	case s.ListDelivery != listPolled && s.ListDelivery != listPushed:
		return bad("list", "%q is neither %s nor %s", s.ListDelivery, listPolled, listPushed)
	case s.DrainGrace < 0:
		return bad("drain_grace", "%v is below 0", time.Duration(s.DrainGrace))
	case s.Nodes < 1 || s.Nodes > 10_000:
		return bad("nodes", "%d is not from 1 to 10000", s.Nodes)
	case len(s.Classes) == 0 || len(s.Workers) == 0 || len(s.Clients) == 0:
		return bad("duration", "there must be a class, workers and clients")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Idempotency == "" {
			c.Idempotency = "retryable"
		}
		fill(&c.Timeout, 10*time.Second)
		fill(&c.LatencyObjective, time.Duration(c.Timeout))
		if c.PriorityWeight == 0 {
			c.PriorityWeight = 1
		}
		_, known := idempotencyByName[c.Idempotency]
		size := &c.Size
		switch {
		case c.Name == "" || !known || c.Timeout < 0 || c.LatencyObjective < 0 || c.PriorityWeight < 0:
			return s.errorAt(
				"class",
				i,
				"%q: a name, an effect (retryable, dedup, fragile) and times above 0 are wanted",
				c.Name,
			)
		case c.HasIdempotencyKey() && c.KeyWindow <= 0:
			return s.errorAt("class", i, "%s: a dedup class has a window", c.Name)
		case !(size.Mean > 0):
			return s.errorAt("class", i, "%s: size.mean must be above 0", c.Name)
		case !slices.Contains([]string{"", "exponential", "constant", "lognormal", "pareto"}, size.Dist):
			return s.errorAt(
				"class",
				i,
				"%s: size.dist: %q is not exponential, constant, lognormal or pareto",
				c.Name,
				size.Dist,
			)
		case size.Dist == "pareto" && !(size.Alpha > 1):
			return s.errorAt("class", i, "%s: size.alpha must be above 1, else there is no mean", c.Name)
		}
	}
	return s.validateGroups(fill)
}

var idempotencyByName = map[string]balancer.Idempotency{
	"retryable": balancer.Idempotent,
	"dedup":     balancer.IdempotentByKey,
	"fragile":   balancer.NonIdempotent,
}

func (s *Scenario) validateGroups(fill func(*Duration, time.Duration)) error {
	for i := range s.Workers {
		g := &s.Workers[i]
		if g.Zone == "" {
			g.Zone = s.Zones[0]
		}
		if g.Cores == 0 {
			g.Cores = 1
		}
		if g.Slots == 0 {
			g.Slots = g.Cores
		}
		if g.QueueCapacity == 0 {
			g.QueueCapacity = 64
		}
		if g.Speed == 0 {
			g.Speed = 1
		}
		if g.SlowStartMinShare == 0 {
			g.SlowStartMinShare = 0.12
		}
		fill(&g.SlowStartWindow, 20*time.Second)
		fill(&g.ReportInterval, 100*time.Millisecond)
		if g.Count < 1 || g.Cores < 1 || g.Slots < 1 || !(g.Speed > 0) || g.QueueCapacity < -1 ||
			!slices.Contains(s.Zones, g.Zone) {
			return s.errorAt("workers", i,
				"count, cores, slots and speed must be above 0, and the zone known")
		}
		g.WorkerSpec = WorkerSpec{Cores: g.Cores, Slots: g.Slots, QueueCapacity: max(g.QueueCapacity, 0),
			Speed: g.Speed,
			SlowStartWindow: time.Duration(
				g.SlowStartWindow,
			), SlowStartMinShare: g.SlowStartMinShare, ReportInterval: time.Duration(g.ReportInterval),
			ReportNoise: g.ReportNoise}
	}
	for i := range s.Clients {
		g := &s.Clients[i]
		if g.Zone == "" {
			g.Zone = s.Zones[i%len(s.Zones)]
		}
		if len(g.Classes) == 0 {
			for _, c := range s.Classes {
				g.Classes = append(g.Classes, c.Name)
			}
		}
		if len(g.Mix) == 0 {
			for range g.Classes {
				g.Mix = append(g.Mix, 1)
			}
		}
		fill(&g.Backoff, 500*time.Millisecond)
		if !(g.Rate > 0) || len(g.Mix) != len(g.Classes) || g.Retries < 0 ||
			!slices.Contains(s.Zones, g.Zone) {
			return s.errorAt(
				"clients",
				i,
				"the rate must be above 0, the zone known, and mix as long as classes",
			)
		}
		for _, name := range g.Classes {
			if !slices.ContainsFunc(s.Classes, func(c ClassSpec) bool { return c.Name == name }) {
				return s.errorAt("clients", i, "there is no class %q", name)
			}
		}
	}
	for i := range s.Faults {
		if err := s.validateFault(i); err != nil {
			return err
		}
	}
	return nil
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

// settings are what each node is told.
func (s *Scenario) settings() balancer.Settings {
	probes := s.HealthChecks == nil || *s.HealthChecks
	set := balancer.Settings{
		DispatcherCount:    s.Nodes,
		ZoneCount:          len(s.Zones),
		WorkerKinds:        len(s.Workers),
		ListOnRequest:      s.ListDelivery == listPolled,
		WeightByWork:       true,
		MinEventInterval:   5 * time.Millisecond,
		LoadReportsByCheck: probes,
		Goal: balancer.Goal{Overall: 0.6, WorstClass: 0.2, WorstTenant: 0.1,
			WorstWindow: 0.1},
		Limits: balancer.Limits{
			MaxAttempts:    5,
			CanCancel:      true,
			HealthChecks:   probes,
			RetryAfter:     true,
			HedgedRequests: true,
			ConnectTimeout: time.Duration(
				s.ConnectTimeout,
			),
			IdleTimeout:   15 * time.Second,
			MaxRetryAfter: 2 * time.Second,
		},
		Rules: balancer.Rules{
			ResponseSlack:     20 * time.Millisecond,
			ListPollInterval:  10 * time.Second,
			DrainGrace:        time.Duration(s.DrainGrace),
			SlowStartMinShare: 0.12,
			SlowStartWindow:   20 * time.Second,
			OverloadFactor:    3,
			OverloadWindow:    time.Second,
		},
		OverQuotaWeight: 0.1,
		Costs: balancer.Costs{
			CrossZone:   0.02,
			WastedWork:  0.3,
			HealthCheck: 0.002,
			LateFailure: 0.03,
		},
	}
	for i := range s.Workers {
		set.Rules.SlowStartWindow = max(set.Rules.SlowStartWindow,
			time.Duration(s.Workers[i].SlowStartWindow))
		set.Rules.SlowStartMinShare = min(set.Rules.SlowStartMinShare, s.Workers[i].SlowStartMinShare)
	}
	for _, c := range s.Classes {
		set.Classes = append(
			set.Classes,
			balancer.Class{Name: c.Name, LatencyObjective: time.Duration(c.LatencyObjective),
				ObjectiveStretch: c.ObjectiveStretch,
				Timeout: time.Duration(
					c.Timeout,
				), PriorityWeight: c.PriorityWeight, LateShare: c.LateShare,
				Idempotency: idempotencyByName[c.Idempotency],
				KeyScope:    balancer.ScopeCell, KeyWindow: time.Duration(c.KeyWindow), WorkerKind: -1},
		)
	}
	for _, g := range s.Clients {
		if !slices.ContainsFunc(set.Tenants, func(t balancer.Tenant) bool { return t.Name == g.Team }) {
			set.Tenants = append(set.Tenants, balancer.Tenant{Name: g.Team})
		}
	}
	return set
}
