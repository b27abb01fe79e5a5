package settings

import (
	"fmt"
	"time"

	"moorstack/balancer"
)

// The balancer's values for names on the wire.
var (
	idempotencies = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotentByKey,
		"fragile":   balancer.NonIdempotent,
	}
	keyScopes = map[string]balancer.KeyScope{
		"":     balancer.ScopeAll,
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
	// Other names map to SizeNone, the zero value.
	sizeMeanings = map[string]balancer.SizeMeaning{
		"silent":  balancer.SizeNone,
		"nominal": balancer.SizeNominal,
		"rough":   balancer.SizeApproximate,
		"live":    balancer.SizeLive,
	}
)

// Balancer converts the object to the balancer's settings. It returns an error for an unknown effect or key
// scope. balancer.New checks the ranges of the values.
func (p *Params) Balancer() (balancer.Settings, error) {
	s := balancer.Settings{
		DispatcherIndex:    p.DispatcherIndex,
		DispatcherCount:    p.DispatcherCount,
		Zone:               p.Zone,
		ZoneCount:          len(p.Zones),
		WorkerKinds:        len(p.Kinds),
		SizeMeaning:        sizeMeanings[p.SizeMeaning],
		ListOnRequest:      p.ListMode == "on_request",
		WeightByWork:       p.WeightBy == "work",
		OverQuotaWeight:    p.OverQuotaWeight,
		ReportsStart:       p.Extra.ReportsStart,
		ProgressInterval:   time.Duration(p.Extra.ProgressInterval),
		MinEventInterval:   time.Duration(p.MinEventGap),
		LoadReportsByCheck: p.Reports.Mode == "pull",
		Limits:             p.Limits.balancer(),
		Rules:              p.Rules.balancer(),
		Goal:               p.Goal.balancer(),
		Costs:              p.Costs.balancer(),
	}
	for i := range p.Classes {
		class, err := p.class(i)
		if err != nil {
			return s, fmt.Errorf("params: class %d: %w", i, err)
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant(t))
	}
	return s, nil
}

// class converts Classes[i], with its settings in Extra.
func (p *Params) class(i int) (balancer.Class, error) {
	c := &p.Classes[i]
	out := balancer.Class{
		Name:             c.Name,
		LatencyObjective: time.Duration(c.LatencyObjective),
		Timeout:          time.Duration(c.Timeout),
		PriorityWeight:   c.PriorityWeight,
		LateShare:        c.LateShare,
		Streaming:        c.Streaming,
		KeyWindow:        time.Duration(c.KeyWindow),
		WorkerKind:       -1,
	}
	var ok bool
	if out.Idempotency, ok = idempotencies[c.Effect]; !ok {
		return out, fmt.Errorf("unknown effect %q, want retryable, dedup or fragile", c.Effect)
	}
	if out.KeyScope, ok = keyScopes[c.KeyScope]; !ok {
		return out, fmt.Errorf("unknown key_scope %q, want all, zone, cell or an empty text", c.KeyScope)
	}
	if c.ObjectiveStretch != nil {
		out.ObjectiveStretch = *c.ObjectiveStretch
	} else if i < len(p.Extra.ClassStretch) {
		out.ObjectiveStretch = p.Extra.ClassStretch[i]
	}
	if i < len(p.Extra.ClassKind) {
		out.WorkerKind = p.Extra.ClassKind[i]
	}
	if i < len(p.Extra.ClassPriority) {
		out.Priority = p.Extra.ClassPriority[i]
	}
	return out, nil
}

func (l *Limits) balancer() balancer.Limits {
	return balancer.Limits{
		MaxAttempts:    l.MaxAttempts,
		CanCancel:      l.CanCancel,
		HealthChecks:   l.HealthChecks,
		PeerMessages:   l.PeerMessages,
		RetryAfter:     l.RetryAfter,
		HedgedRequests: l.HedgedRequests,
		ConnectTimeout: time.Duration(l.ConnectTimeout),
		IdleTimeout:    time.Duration(l.IdleTimeout),
		MaxRetryAfter:  time.Duration(l.MaxRetryAfter),
	}
}

func (r *Rules) balancer() balancer.Rules {
	return balancer.Rules{
		ResponseSlack:     time.Duration(r.ResponseSlack),
		ListPollInterval:  time.Duration(r.ListPollInterval),
		DrainGrace:        time.Duration(r.DrainGrace),
		SlowStartMinShare: r.SlowStartMinShare,
		SlowStartWindow:   time.Duration(r.SlowStartWindow),
		OverloadFactor:    r.OverloadFactor,
		OverloadWindow:    time.Duration(r.OverloadWindow),
		RetryBudgetWindow: time.Duration(r.RetryBudgetWindow),
		RetryBudgetBase:   r.RetryBudgetBase,
		RetryBudgetShare:  r.RetryBudgetShare,
		FullMayHaveRun:    r.FullMayHaveRun,
	}
}

func (g *Goal) balancer() balancer.Goal {
	return balancer.Goal{
		Overall:          g.Overall,
		WorstWindow:      g.WorstWindow,
		WorstClass:       g.WorstClass,
		WorstTenant:      g.WorstTenant,
		OnTime:           g.OnTime,
		AllowedMissShare: g.AllowedMissShare,
	}
}

func (c *Costs) balancer() balancer.Costs {
	return balancer.Costs{
		CrossZone:   c.CrossZone,
		WastedWork:  c.WastedWork,
		Connection:  c.Connection,
		Handshake:   c.Handshake,
		HealthCheck: c.HealthCheck,
		PeerMessage: c.PeerMessage,
		LateFailure: c.LateFailure,
	}
}
