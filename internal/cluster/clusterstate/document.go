package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"moorstack/internal/cluster/replicated"
)

// Limits of a document. A change that exceeds them is rejected before it is proposed.
const (
	MaxDocumentBytes = 256 << 10 // as JSON
	maxClasses       = 256
	maxTenants       = 10_000
	maxSections      = 64
	maxKeys          = 4096
	maxNameBytes     = 128 // for names and IDs of all kinds
)

// Duration is a time.Duration that is encoded as text, for example "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// Document is the configuration that a group agrees on. Its sections are named groups of keys and values,
// some of which are validated (see Rules).
type Document struct {
	Classes  []Class                      `toml:"class" json:"class"`
	Tenants  []Tenant                     `toml:"tenant" json:"tenant,omitempty"`
	Sections map[string]map[string]string `toml:"section" json:"section,omitempty"`
}

// Class is a class of jobs.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Idempotency is "retryable", "dedup" or "fragile".
	Idempotency string `toml:"effect" json:"effect"`
	// KeyScope is "all", "zone", "cell" or empty, which means "all". It requires the Idempotency "dedup".
	KeyScope string `toml:"key_scope,omitempty,omitzero" json:"key_scope,omitempty"`
	// KeyWindow is how long duplicates are dropped. It requires the Idempotency "dedup".
	KeyWindow Duration `toml:"window,omitempty,omitzero" json:"window,omitempty"`
	// Timeout is the client's time limit for all attempts.
	Timeout Duration `toml:"give_up" json:"give_up"`
	// LatencyObjective is the latency up to which a response counts with the full priority weight.
	LatencyObjective Duration `toml:"aim" json:"aim"`
	// ObjectiveStretch extends the objective by this multiple of the job's running time.
	ObjectiveStretch float64 `toml:"aim_stretch,omitempty,omitzero" json:"aim_stretch,omitempty"`
	PriorityWeight   float64 `toml:"worth" json:"worth"`
	// LateShare is the fraction of the priority weight that remains after the objective, from 0 to 1.
	LateShare float64 `toml:"late_share,omitempty,omitzero" json:"late_share,omitempty"`
	// MaxAttempts is the maximum number of attempts of a job; 0: the limit of the deployment.
	MaxAttempts int `toml:"attempts,omitempty,omitzero" json:"attempts,omitempty"`
}

// Replicated returns what state machines and triggers know of the class.
func (c *Class) Replicated() replicated.Class {
	return replicated.Class{Name: c.Name, Idempotency: c.Idempotency, KeyScope: c.KeyScope,
		Timeout: time.Duration(c.Timeout), KeyWindow: time.Duration(c.KeyWindow)}
}

// Tenant is one of the tenants that share the workers, with its quotas.
type Tenant struct {
	Name          string  `toml:"name" json:"name"`
	CapacityShare float64 `toml:"share" json:"share"` // fraction of the workers' capacity, from 0 to 1
	// QuotaPerSecond is the quota in requests per second over all instances; 0: unlimited.
	QuotaPerSecond float64 `toml:"allowance_per_s,omitempty,omitzero" json:"allowance_per_s,omitempty"`
}

// Encode returns the canonical encoding of the document: equal documents have equal encodings.
func (d *Document) Encode() []byte {
	b, err := json.Marshal(d) // sorts the keys of maps
	if err != nil {
		// Only numbers that isFinite rejects can't be encoded.
		panic(fmt.Sprintf("clusterstate: a document can't be encoded: %v", err))
	}
	return b
}

// DecodeDocument decodes a document that Encode encoded. Unknown fields are an error: an instance that
// skipped one would agree on a different document than the other instances.
func DecodeDocument(b []byte) (*Document, error) {
	d := &Document{}
	if err := decodeStrictly(b, d); err != nil {
		return nil, fmt.Errorf("decoding the document: %w", err)
	}
	return d, nil
}

// decodeStrictly decodes a JSON value and rejects unknown fields. An instance that skipped a field that its
// program does not know would continue from a different state than the other instances.
func decodeStrictly(b []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// isFinite reports whether all numbers are finite. Encode requires this, because JSON has no infinities or
// NaN.
func (d *Document) isFinite() bool {
	for _, c := range d.Classes {
		if !isFinite(c.ObjectiveStretch) || !isFinite(c.PriorityWeight) || !isFinite(c.LateShare) {
			return false
		}
	}
	return !slices.ContainsFunc(d.Tenants, func(t Tenant) bool {
		return !isFinite(t.CapacityShare) || !isFinite(t.QuotaPerSecond)
	})
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
