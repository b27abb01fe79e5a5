package clusterstate

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
)

// The values of a class's effect and key_scope. The empty scope is the default.
var (
	effects = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotentByKey,
		"fragile":   balancer.NonIdempotent,
	}
	scopes = map[string]balancer.KeyScope{
		"":     balancer.ScopeAll,
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
)

// spelling returns the value that a document has for a setting.
func spelling[V comparable](settings map[string]V, setting V) string {
	for text, v := range settings {
		if v == setting && text != "" {
			return text
		}
	}
	return ""
}

// DocumentFromSettings returns the document that is equivalent to an instance's own settings: the
// first one of a new group.
func DocumentFromSettings(s balancer.Settings) *Document {
	d := &Document{}
	for _, c := range s.Classes {
		class := Class{
			Name:             c.Name,
			Idempotency:      spelling(effects, c.Idempotency),
			Timeout:          Duration(c.Timeout),
			LatencyObjective: Duration(c.LatencyObjective),
			ObjectiveStretch: c.ObjectiveStretch,
			PriorityWeight:   c.PriorityWeight,
			LateShare:        c.LateShare,
			MaxAttempts:      c.MaxAttempts,
		}
		if c.Idempotency == balancer.IdempotentByKey {
			class.KeyScope, class.KeyWindow = spelling(scopes, c.KeyScope), Duration(c.KeyWindow)
		}
		d.Classes = append(d.Classes, class)
	}
	for _, t := range s.Tenants {
		d.Tenants = append(d.Tenants, Tenant{Name: t.Name, CapacityShare: t.CapacityShare,
			QuotaPerSecond: t.QuotaPerSecond})
	}
	return d
}

// ApplyTo returns an instance's own settings with the document's values in place of theirs. The
// classes and tenants must be the same ones, in any order.
func (d *Document) ApplyTo(s balancer.Settings) (balancer.Settings, error) {
	if len(d.Classes) != len(s.Classes) || len(d.Tenants) != len(s.Tenants) {
		return s, fmt.Errorf(
			"the document has %d classes and %d tenants, this instance's own settings %d and %d",
			len(d.Classes), len(d.Tenants), len(s.Classes), len(s.Tenants))
	}
	s.Classes = slices.Clone(s.Classes)
	s.Tenants = slices.Clone(s.Tenants)
	classes := indexBy(s.Classes, func(c balancer.Class) string { return c.Name })
	for _, class := range d.Classes {
		i, ok := classes[class.Name]
		if !ok {
			return s, fmt.Errorf("this instance's own settings have no class %q", class.Name)
		}
		if err := class.applyTo(&s.Classes[i]); err != nil {
			return s, err
		}
	}
	tenants := indexBy(s.Tenants, func(t balancer.Tenant) string { return t.Name })
	for _, tenant := range d.Tenants {
		i, ok := tenants[tenant.Name]
		if !ok {
			return s, fmt.Errorf("this instance's own settings have no tenant %q", tenant.Name)
		}
		s.Tenants[i].CapacityShare, s.Tenants[i].QuotaPerSecond = tenant.CapacityShare, tenant.QuotaPerSecond
	}
	return s, nil
}

// indexBy maps each element's name to its index.
func indexBy[T any](list []T, name func(T) string) map[string]int {
	index := make(map[string]int, len(list))
	for i, x := range list {
		index[name(x)] = i
	}
	return index
}

// applyTo sets what may change while instances run; what may not has to be equal already.
func (c Class) applyTo(to *balancer.Class) error {
	sameDedup := to.KeyScope == scopes[c.KeyScope] && to.KeyWindow == time.Duration(c.KeyWindow)
	if to.Idempotency != effects[c.Idempotency] || to.Idempotency == balancer.IdempotentByKey && !sameDedup {
		return fmt.Errorf("class %q: this instance's own settings say otherwise what may run again", c.Name)
	}
	to.Timeout, to.LatencyObjective = time.Duration(c.Timeout), time.Duration(c.LatencyObjective)
	to.ObjectiveStretch, to.PriorityWeight, to.LateShare = c.ObjectiveStretch, c.PriorityWeight, c.LateShare
	to.MaxAttempts = c.MaxAttempts
	return nil
}
