package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// Bounds on a document. A change beyond them is rejected before it is proposed.
const (
	MaxDocumentBytes = 256 << 10 // as JSON
	maxClasses       = 256
	maxTenants       = 10_000
	maxSections      = 64
	maxKeys          = 4096
	maxNameBytes     = 128 // of any name
)

// Duration is a time span that is written as in "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// Document is the configuration that a group agrees on. Its sections are named groups of keys and
// values; the rules of some are known (see Rules).
type Document struct {
	Classes  []Class                      `toml:"class" json:"class"`
	Tenants  []Tenant                     `toml:"tenant" json:"tenant,omitempty"`
	Sections map[string]map[string]string `toml:"section" json:"section,omitempty"`
}

// Class is a class of jobs.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Idempotency is retryable, dedup or fragile.
	Idempotency string `toml:"effect" json:"effect"`
	// KeyScope is all, zone or cell; for dedup.
	KeyScope string `toml:"key_scope,omitempty,omitzero" json:"key_scope,omitempty"`
	// KeyWindow is for how long repeats are dropped; for dedup.
	KeyWindow Duration `toml:"window,omitempty,omitzero" json:"window,omitempty"`
	// Timeout is the client's time limit for all attempts.
	Timeout Duration `toml:"give_up" json:"give_up"`
	// LatencyObjective is the time within which a response has the whole priority weight.
	LatencyObjective Duration `toml:"aim" json:"aim"`
	// ObjectiveStretch lengthens the objective by this many times the job's own running time.
	ObjectiveStretch float64 `toml:"aim_stretch,omitempty,omitzero" json:"aim_stretch,omitempty"`
	PriorityWeight   float64 `toml:"worth" json:"worth"`
	// LateShare is the part of the priority weight that remains after the objective, from 0 to 1.
	LateShare float64 `toml:"late_share,omitempty,omitzero" json:"late_share,omitempty"`
	// MaxAttempts bounds the attempts of a job; 0: as many as the deployment allows.
	MaxAttempts int `toml:"attempts,omitempty,omitzero" json:"attempts,omitempty"`
}

// Tenant is a team that shares the workers.
type Tenant struct {
	Name          string  `toml:"name" json:"name"`
	CapacityShare float64 `toml:"share" json:"share"` // of the workers' capacity, from 0 to 1
	// QuotaPerSecond is in requests a second, over all instances; 0: not limited.
	QuotaPerSecond float64 `toml:"allowance_per_s,omitempty,omitzero" json:"allowance_per_s,omitempty"`
}

// Encode returns the document's one form in bytes: equal documents have equal bytes.
func (d *Document) Encode() []byte {
	b, err := json.Marshal(d) // maps are written in the order of their keys
	if err != nil {
		// Only a number that isFinite has rejected fails.
		panic(fmt.Sprintf("clusterstate: a document can't be encoded: %v", err))
	}
	return b
}

// DecodeDocument reads what Encode wrote. An unknown field is an error: to skip it would be to agree
// on something else than the other instances.
func DecodeDocument(b []byte) (*Document, error) {
	d := &Document{}
	if err := decodeStrictly(b, d); err != nil {
		return nil, fmt.Errorf("reading a document: %w", err)
	}
	return d, nil
}

// decodeStrictly decodes a JSON value. Hazard: to skip a field that this program does not know would be
// to continue from another state than the other instances.
func decodeStrictly(b []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// isFinite guards Encode: JSON can't express infinities and NaN.
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
