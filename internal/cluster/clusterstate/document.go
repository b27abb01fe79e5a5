// Package agreement is the state that the instances of a group agree on: a versioned
// document of classes, tenants and sections, who belongs to the group, and which changes
// have been applied.
//
// It is a state machine without I/O, clock or randomness: the same changes in the same
// order give the same state, byte for byte, at every instance. Package consensus brings
// the changes in that order.
package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"moorstack/balancer"
)

// LatestFormat is the newest form of the agreed state and its log that this program reads. An
// instance that meets a newer one stops applying changes rather than reading it in part.
//
// Format 1 is a group in which a change is in force when it is agreed on. In one of format 2
// it takes hold as package rollout says, one of format 3 has duties, one of format 4 keeps rates over
// all fronts, one of format 5 has triggers, one of format 6 weights of its instances, and one of format 7 a
// conductor of rolling restarts, and probes. A group goes to a newer one once all its instances can.
const LatestFormat = 7

// Bounds on a document. A change beyond them is refused before it is proposed.
const (
	MaxDocumentBytes = 256 << 10 // bytes, as JSON
	maxClasses       = 256
	maxTenants       = 10_000
	maxSections      = 64
	maxKeys          = 4096
	maxName          = 128 // bytes, of any name
)

// Duration is a time span, written as in "1.5s".
type Duration time.Duration

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

func (d Duration) String() string { return time.Duration(d).String() }

// Document is what is agreed.
type Document struct {
	Classes  []Class                      `toml:"class" json:"class"`
	Tenants  []Tenant                     `toml:"tenant" json:"tenant,omitempty"`
	Sections map[string]map[string]string `toml:"section" json:"section,omitempty"`
}

// Class is a class of jobs.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Retryable, dedup or fragile.
	Idempotency string `toml:"effect" json:"effect"`
	// All, zone or cell; for dedup.
	KeyScope string `toml:"key_scope,omitempty,omitzero" json:"key_scope,omitempty"`
	// For how long repeats are dropped; for dedup.
	KeyWindow Duration `toml:"window,omitempty,omitzero" json:"window,omitempty"`
	// The client's patience over all its tries.
	Timeout Duration `toml:"give_up" json:"give_up"`
	// An answer within it earns the whole worth.
	LatencyObjective Duration `toml:"aim" json:"aim"`
	// ObjectiveStretch: the aim grows by this many times the job's own work.
	ObjectiveStretch float64 `toml:"aim_stretch,omitempty,omitzero" json:"aim_stretch,omitempty"`
	PriorityWeight   float64 `toml:"worth" json:"worth"`
	// Of the worth, after the aim.
	LateShare float64 `toml:"late_share,omitempty,omitzero" json:"late_share,omitempty"`
	// 0: as many as the deployment allows.
	MaxAttempts int `toml:"attempts,omitempty,omitzero" json:"attempts,omitempty"`
}

// Tenant is a team that shares the workers.
type Tenant struct {
	Name          string  `toml:"name" json:"name"`
	CapacityShare float64 `toml:"share" json:"share"`
	// Requests a second, over all instances.
	QuotaPerSecond float64 `toml:"allowance_per_s,omitempty,omitzero" json:"allowance_per_s,omitempty"`
}

// Encode gives the document's one form in bytes: equal documents have equal bytes.
func (d *Document) Encode() []byte {
	b, err := json.Marshal(d) // maps are written in the order of their keys
	if err != nil {
		panic(fmt.Sprintf("agreement: a document can't be written: %v", err)) // NaN; Validate has refused it
	}
	return b
}

// DecodeDocument reads what Encode wrote. A field that it doesn't know is an error: to pass over
// it would be to agree on something else than the others.
func DecodeDocument(b []byte) (*Document, error) {
	d := &Document{}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return nil, fmt.Errorf("reading a document: %w", err)
	}
	return d, nil
}

var effects = map[string]balancer.Idempotency{
	"retryable": balancer.Idempotent,
	"dedup":     balancer.IdempotentByKey,
	"fragile":   balancer.NonIdempotent,
}

var scopes = map[string]balancer.KeyScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

func wordFor[V comparable](words map[string]V, v V) string {
	for word, has := range words {
		if has == v && word != "" {
			return word
		}
	}
	return ""
}

// DocumentFromSettings is the document that says what the settings say: a new group's first one.
func DocumentFromSettings(s balancer.Settings) *Document {
	d := &Document{}
	for _, c := range s.Classes {
		k := Class{
			Name:             c.Name,
			Idempotency:      wordFor(effects, c.Idempotency),
			Timeout:          Duration(c.Timeout),
			LatencyObjective: Duration(c.LatencyObjective),
			ObjectiveStretch: c.ObjectiveStretch,
			PriorityWeight:   c.PriorityWeight,
			LateShare:        c.LateShare,
			MaxAttempts:      c.MaxAttempts,
		}
		if c.Idempotency == balancer.IdempotentByKey {
			k.KeyScope, k.KeyWindow = wordFor(scopes, c.KeyScope), Duration(c.KeyWindow)
		}
		d.Classes = append(d.Classes, k)
	}
	for _, t := range s.Tenants {
		d.Tenants = append(
			d.Tenants,
			Tenant{Name: t.Name, CapacityShare: t.CapacityShare, QuotaPerSecond: t.QuotaPerSecond},
		)
	}
	return d
}

// ApplyTo puts the document's word over an instance's own settings. The classes and tenants
// must be the same ones, in any order.
func (d *Document) ApplyTo(s balancer.Settings) (balancer.Settings, error) {
	if len(d.Classes) != len(s.Classes) || len(d.Tenants) != len(s.Tenants) {
		return s, fmt.Errorf(
			"the document has %d classes and %d tenants, this instance's own settings %d and %d",
			len(d.Classes),
			len(d.Tenants),
			len(s.Classes),
			len(s.Tenants),
		)
	}
	s.Classes = append([]balancer.Class(nil), s.Classes...)
	s.Tenants = append([]balancer.Tenant(nil), s.Tenants...)
	at := map[string]int{}
	for i, c := range s.Classes {
		at[c.Name] = i
	}
	for _, k := range d.Classes {
		i, ok := at[k.Name]
		if !ok {
			return s, fmt.Errorf("this instance's own settings have no class %q", k.Name)
		}
		c := &s.Classes[i]
		if c.Idempotency != effects[k.Idempotency] || c.Idempotency == balancer.IdempotentByKey &&
			(c.KeyScope != scopes[k.KeyScope] || c.KeyWindow != time.Duration(k.KeyWindow)) {
			return s, fmt.Errorf(
				"class %q: this instance's own settings say otherwise what may run again",
				k.Name,
			)
		}
		c.Timeout, c.LatencyObjective, c.ObjectiveStretch = time.Duration(
			k.Timeout,
		), time.Duration(
			k.LatencyObjective,
		), k.ObjectiveStretch
		c.PriorityWeight, c.LateShare, c.MaxAttempts = k.PriorityWeight, k.LateShare, k.MaxAttempts
	}
	clear(at)
	for i, t := range s.Tenants {
		at[t.Name] = i
	}
	for _, k := range d.Tenants {
		i, ok := at[k.Name]
		if !ok {
			return s, fmt.Errorf("this instance's own settings have no tenant %q", k.Name)
		}
		s.Tenants[i].CapacityShare, s.Tenants[i].QuotaPerSecond = k.CapacityShare, k.QuotaPerSecond
	}
	return s, nil
}
