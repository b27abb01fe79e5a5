package emulate

import (
	"slices"
	"time"

	"moorstack/balancer"
)

// The platform's slow start, for worker groups that do not set their own.
const (
	defaultSlowStartWindow   = 20 * time.Second
	defaultSlowStartMinShare = 0.12
)

// settings returns the settings of each node.
func (s *Scenario) settings() balancer.Settings {
	healthChecks := s.HealthChecks == nil || *s.HealthChecks
	set := balancer.Settings{
		DispatcherCount:    s.Nodes,
		ZoneCount:          len(s.Zones),
		WorkerKinds:        len(s.Workers),
		ListOnRequest:      s.ListDelivery == listPolled,
		WeightByWork:       true,
		MinEventInterval:   5 * time.Millisecond,
		LoadReportsByCheck: healthChecks,
		Goal:               balancer.Goal{Overall: 0.6, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.1},
		Limits: balancer.Limits{
			MaxAttempts:    5,
			CanCancel:      true,
			HealthChecks:   healthChecks,
			RetryAfter:     true,
			HedgedRequests: true,
			ConnectTimeout: time.Duration(s.ConnectTimeout),
			IdleTimeout:    15 * time.Second,
			MaxRetryAfter:  2 * time.Second,
		},
		Rules:           s.rules(),
		OverQuotaWeight: 0.1,
		Costs: balancer.Costs{
			CrossZone:   0.02,
			WastedWork:  0.3,
			HealthCheck: 0.002,
			LateFailure: 0.03,
		},
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, c.settings())
	}
	for _, g := range s.Clients {
		if !slices.ContainsFunc(set.Tenants, func(t balancer.Tenant) bool { return t.Name == g.Team }) {
			set.Tenants = append(set.Tenants, balancer.Tenant{Name: g.Team})
		}
	}
	return set
}

// rules returns the rules of each node. Slow start is set for the workers that warm up most slowly.
func (s *Scenario) rules() balancer.Rules {
	rules := balancer.Rules{
		ResponseSlack:     20 * time.Millisecond,
		ListPollInterval:  10 * time.Second,
		DrainGrace:        time.Duration(s.DrainGrace),
		SlowStartMinShare: defaultSlowStartMinShare,
		SlowStartWindow:   defaultSlowStartWindow,
		OverloadFactor:    overloadFactor,
		OverloadWindow:    overloadWindow,
	}
	for i := range s.Workers {
		rules.SlowStartWindow = max(rules.SlowStartWindow, time.Duration(s.Workers[i].SlowStartWindow))
		rules.SlowStartMinShare = min(rules.SlowStartMinShare, s.Workers[i].SlowStartMinShare)
	}
	return rules
}

// settings returns the class in the nodes' settings.
func (c *ClassSpec) settings() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		LatencyObjective: time.Duration(c.LatencyObjective),
		ObjectiveStretch: c.ObjectiveStretch,
		Timeout:          time.Duration(c.Timeout),
		PriorityWeight:   c.PriorityWeight,
		LateShare:        c.LateShare,
		Idempotency:      idempotencyByName[c.Idempotency],
		KeyScope:         balancer.ScopeCell,
		KeyWindow:        time.Duration(c.KeyWindow),
		WorkerKind:       -1,
	}
}
