package clusterstate

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
)

// The values of the keys effect and key_scope of a class. An empty key_scope is the default.
var (
	idempotencyValues = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotentByKey,
		"fragile":   balancer.NonIdempotent,
	}
	keyScopeValues = map[string]balancer.KeyScope{
		"":     balancer.ScopeAll,
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
)

// settingText returns the text by which a document represents a setting; empty if it has none.
func settingText[V comparable](settings map[string]V, setting V) string {
	for text, v := range settings {
		if v == setting && text != "" {
			return text
		}
	}
	return ""
}

// DocumentFromSettings returns the document that is equivalent to an instance's local settings. It becomes
// the initial document of a new group.
func DocumentFromSettings(s balancer.Settings) *Document {
	d := &Document{}
	for _, c := range s.Classes {
		class := Class{
			Name:             c.Name,
			Idempotency:      settingText(idempotencyValues, c.Idempotency),
			Timeout:          Duration(c.Timeout),
			LatencyObjective: Duration(c.LatencyObjective),
			ObjectiveStretch: c.ObjectiveStretch,
			PriorityWeight:   c.PriorityWeight,
			LateShare:        c.LateShare,
			MaxAttempts:      c.MaxAttempts,
		}
		if c.Idempotency == balancer.IdempotentByKey {
			class.KeyScope, class.KeyWindow = settingText(keyScopeValues, c.KeyScope), Duration(c.KeyWindow)
		}
		d.Classes = append(d.Classes, class)
	}
	for _, t := range s.Tenants {
		d.Tenants = append(d.Tenants, Tenant{Name: t.Name, CapacityShare: t.CapacityShare,
			QuotaPerSecond: t.QuotaPerSecond})
	}
	return d
}

// ApplyTo returns an instance's local settings with the values of the document. Both must have the same
// classes and tenants, in any order.
//
// The error can become the reason of a withdrawn change and so part of the replicated state: its text must
// not change.
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

// indexBy returns the index of each element by its name.
func indexBy[T any](list []T, name func(T) string) map[string]int {
	index := make(map[string]int, len(list))
	for i, x := range list {
		index[name(x)] = i
	}
	return index
}

// applyTo sets the values that can change while instances run. It returns an error if another value differs.
func (c Class) applyTo(to *balancer.Class) error {
	sameDedup := to.KeyScope == keyScopeValues[c.KeyScope] && to.KeyWindow == time.Duration(c.KeyWindow)
	if to.Idempotency != idempotencyValues[c.Idempotency] ||
		to.Idempotency == balancer.IdempotentByKey && !sameDedup {
		return fmt.Errorf("class %q: this instance's own settings say otherwise what may run again", c.Name)
	}
	to.Timeout, to.LatencyObjective = time.Duration(c.Timeout), time.Duration(c.LatencyObjective)
	to.ObjectiveStretch, to.PriorityWeight, to.LateShare = c.ObjectiveStretch, c.PriorityWeight, c.LateShare
	to.MaxAttempts = c.MaxAttempts
	return nil
}
