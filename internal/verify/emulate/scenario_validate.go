package emulate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/tomlfile"
)

// Limits on scenarios.
const (
	maxDuration = 48 * time.Hour
	maxNodes    = 10_000
)

var idempotencyByName = map[string]balancer.Idempotency{
	idempotent:      balancer.Idempotent,
	idempotentByKey: balancer.IdempotentByKey,
	nonIdempotent:   balancer.NonIdempotent,
}

// orDefault returns d, or the fallback if d is 0.
func orDefault(d Duration, fallback time.Duration) Duration { return cmp.Or(d, Duration(fallback)) }

// errorAt returns an error located in the n-th table of an array.
func (s *Scenario) errorAt(array string, n int, format string, args ...any) error {
	return &tomlfile.Error{
		Path:    s.path,
		Line:    tomlfile.LineOfTable(s.raw, array, n),
		Key:     array,
		Message: fmt.Sprintf(format, args...),
	}
}

// validate fills in defaults and checks the scenario. Repeated calls change nothing.
func (s *Scenario) validate() error {
	if err := s.validateWorld(); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := s.validateClass(i); err != nil {
			return err
		}
	}
	for i := range s.Workers {
		if err := s.validateWorkers(i); err != nil {
			return err
		}
	}
	for i := range s.Clients {
		if err := s.validateClients(i); err != nil {
			return err
		}
	}
	for i := range s.Faults {
		if err := s.validateFault(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) validateWorld() error {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	s.Nodes = cmp.Or(s.Nodes, 1)
	s.SameZoneLatency = orDefault(s.SameZoneLatency, 200*time.Microsecond)
	s.CrossZoneLatency = orDefault(s.CrossZoneLatency, 600*time.Microsecond)
	s.ConnectTimeout = orDefault(s.ConnectTimeout, 250*time.Millisecond)
	s.ListDelay = orDefault(s.ListDelay, time.Second)
	s.DrainGrace = orDefault(s.DrainGrace, time.Second)
	s.ListDelivery = cmp.Or(s.ListDelivery, listPolled)
	invalid := func(key, format string, args ...any) error {
		return tomlfile.ErrorAt(s.path, s.raw, key, format, args...)
	}
	switch {
	case s.Duration <= 0 || time.Duration(s.Duration) > maxDuration:
		return invalid("duration", "must be above 0 and at most 48h, got %v", time.Duration(s.Duration))
	case s.ListDelivery != listPolled && s.ListDelivery != listPushed:
		return invalid("list", "%q is neither %s nor %s", s.ListDelivery, listPolled, listPushed)
	case s.DrainGrace < 0:
		return invalid("drain_grace", "must not be negative, got %v", time.Duration(s.DrainGrace))
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return invalid("nodes", "must be between 1 and 10000, got %d", s.Nodes)
	case len(s.Classes) == 0 || len(s.Workers) == 0 || len(s.Clients) == 0:
		return invalid("duration", "at least one class, one worker group and one client group are required")
	}
	return nil
}

func (s *Scenario) validateClass(i int) error {
	c := &s.Classes[i]
	c.Idempotency = cmp.Or(c.Idempotency, idempotent)
	c.Timeout = orDefault(c.Timeout, 10*time.Second)
	c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Timeout)
	c.PriorityWeight = cmp.Or(c.PriorityWeight, 1)
	_, known := idempotencyByName[c.Idempotency]
	size := &c.Size
	distributions := []string{"", distExponential, distConstant, distLogNormal, distPareto}
	switch {
	case c.Name == "" || !known || c.Timeout < 0 || c.LatencyObjective < 0 || c.PriorityWeight < 0:
		return s.errorAt("class", i,
			"%q: name must not be empty, effect must be retryable, dedup or fragile, "+
				"and give_up, aim and worth must not be negative", c.Name)
	case c.HasIdempotencyKey() && c.KeyWindow <= 0:
		return s.errorAt("class", i, "%s: window must be above 0 in a dedup class", c.Name)
	case !(size.Mean > 0):
		return s.errorAt("class", i, "%s: size.mean must be above 0", c.Name)
	case !slices.Contains(distributions, size.Dist):
		return s.errorAt("class", i,
			"%s: size.dist must be exponential, constant, lognormal or pareto, got %q", c.Name, size.Dist)
	case size.Dist == distPareto && !(size.Alpha > 1):
		return s.errorAt("class", i,
			"%s: size.alpha must be above 1, otherwise the distribution has no mean", c.Name)
	}
	return nil
}

func (s *Scenario) validateWorkers(i int) error {
	g := &s.Workers[i]
	g.Zone = cmp.Or(g.Zone, s.Zones[0])
	g.Cores = cmp.Or(g.Cores, 1)
	g.Slots = cmp.Or(g.Slots, g.Cores)
	g.QueueCapacity = cmp.Or(g.QueueCapacity, 64)
	g.Speed = cmp.Or(g.Speed, 1)
	g.SlowStartMinShare = cmp.Or(g.SlowStartMinShare, defaultSlowStartMinShare)
	g.SlowStartWindow = orDefault(g.SlowStartWindow, defaultSlowStartWindow)
	g.ReportInterval = orDefault(g.ReportInterval, 100*time.Millisecond)
	if g.Count < 1 || g.Cores < 1 || g.Slots < 1 || !(g.Speed > 0) || g.QueueCapacity < -1 ||
		!slices.Contains(s.Zones, g.Zone) {
		return s.errorAt("workers", i, "count, cores, slots and speed must be above 0, "+
			"room at least -1, and zone one of the scenario's zones")
	}
	g.WorkerSpec = WorkerSpec{
		Cores:             g.Cores,
		Slots:             g.Slots,
		QueueCapacity:     max(g.QueueCapacity, 0),
		Speed:             g.Speed,
		SlowStartWindow:   time.Duration(g.SlowStartWindow),
		SlowStartMinShare: g.SlowStartMinShare,
		ReportInterval:    time.Duration(g.ReportInterval),
		ReportNoise:       g.ReportNoise,
	}
	return nil
}

func (s *Scenario) validateClients(i int) error {
	g := &s.Clients[i]
	g.Zone = cmp.Or(g.Zone, s.Zones[i%len(s.Zones)])
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
	g.Backoff = orDefault(g.Backoff, 500*time.Millisecond)
	if !(g.Rate > 0) || len(g.Mix) != len(g.Classes) || g.Retries < 0 || !slices.Contains(s.Zones, g.Zone) {
		return s.errorAt("clients", i, "rate must be above 0, retries must not be negative, "+
			"zone must be one of the scenario's zones, and mix must be as long as classes")
	}
	for _, name := range g.Classes {
		if !slices.ContainsFunc(s.Classes, func(c ClassSpec) bool { return c.Name == name }) {
			return s.errorAt("clients", i, "unknown class %q", name)
		}
	}
	return nil
}
