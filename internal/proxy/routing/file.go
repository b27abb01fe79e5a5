package routing

import (
	"fmt"
	"strings"
	"time"

	"moorstack/internal/tomlfile"
)

// fileVersion is the only supported version of the format.
const fileVersion = 1

// File is a parsed file of rules.
type File struct {
	Version int        `toml:"version"` // must be fileVersion
	Pools   []PoolSpec `toml:"pool"`
	Rules   []RuleSpec `toml:"rule"`

	path string
	raw  []byte
}

// PoolSpec defines a pool: the workers that meet all given conditions.
type PoolSpec struct {
	Name   string   `toml:"name"`
	Zones  []string `toml:"zone"`
	Kinds  []string `toml:"kind"`
	Cells  []int    `toml:"cell"`
	Labels []string `toml:"label"` // a worker must have all of them
}

// RuleSpec defines a rule. The first rule that matches a job applies.
type RuleSpec struct {
	Name  string    `toml:"name"`
	Match MatchSpec `toml:"match"`

	Class          string      `toml:"class"`       // the class of a job that does not name one
	PreferredPools []string    `toml:"prefer"`      // in order of preference
	Spillover      Spillover   `toml:"spill"`       // empty: SpillIfEmpty
	Split          []SplitSpec `toml:"split"`       // one of these pools is preferred to PreferredPools
	SplitBy        SplitBy     `toml:"split_by"`    // empty: SplitByRouteKey
	MaxAttempts    int         `toml:"attempts"`    // lowers the class's limit; 0: the class's limit
	AttemptTimeout duration    `toml:"timeout"`     // of each attempt; 0: only the job's timeout applies
	RejectReason   string      `toml:"refuse"`      // if not empty, the job is rejected
	RetryAfter     duration    `toml:"retry_after"` // with RejectReason
}

// Spillover determines when a job may go to the next pool of its rule.
type Spillover string

// The values of Spillover.
const (
	SpillNever   Spillover = "never"
	SpillIfEmpty Spillover = "empty" // if no worker of the pool is eligible for the job now
	SpillIfBusy  Spillover = "busy"  // also if it is better not to wait for a worker of the pool
)

// SplitBy is the property of a job that determines its part of a split.
type SplitBy string

// The values of SplitBy.
const (
	SplitByRouteKey SplitBy = "key" // the ID if the job has no route key
	SplitByTenant   SplitBy = "tenant"
	SplitByID       SplitBy = "id"
)

// The names of the fronts in MatchSpec.Fronts.
const (
	FrontHTTP    = "http"
	FrontFaktory = "faktory"
)

// anyValue in place of a header's value matches any value.
const anyValue = "*"

// MatchSpec is the conditions that a job must meet. A list is met if one of its elements matches, and a
// condition that is not given is always met.
type MatchSpec struct {
	Classes        []string          `toml:"class"` // "" matches a job that does not name a class
	Tenants        []string          `toml:"tenant"`
	Fronts         []string          `toml:"front"`
	Queues         []string          `toml:"queue"`
	JobTypes       []string          `toml:"jobtype"`
	Hosts          []string          `toml:"host"`        // a name, or "*.example.org" for its subdomains
	PathPrefixes   []string          `toml:"path_prefix"` // of the path, without the query
	Headers        map[string]string `toml:"header"`      // all must match; "*" matches any value
	RouteKeyPrefix string            `toml:"key_prefix"`
	MinWork        duration          `toml:"cost_from"`  // of the expected work, inclusive
	WorkBelow      duration          `toml:"cost_below"` // of the expected work, exclusive
}

// SplitSpec is one part of a split.
type SplitSpec struct {
	Pool   string `toml:"pool"`
	Weight int    `toml:"weight"`
}

// duration is a time.Duration in the format of time.ParseDuration. It must not be negative.
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err == nil && v < 0 {
		err = fmt.Errorf("%v is below 0", v)
	}
	*d = duration(v)
	return err
}

// Parse parses a file of rules. The path is used in error messages, whose wording is fixed for the reason
// given at Compile.
func Parse(path string, raw []byte) (*File, error) {
	f := &File{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, f); err != nil {
		return nil, err
	}
	if f.Version != fileVersion {
		return nil, tomlfile.ErrorAt(path, raw, "version", "%d is not 1, the only version that there is",
			f.Version)
	}
	return f, nil
}

// position returns the line of the nth table of an array, or of a key in it if key is not empty.
func (f *File) position(array string, n int, key string) Position {
	found := -1
	for i, line := range strings.Split(string(f.raw), "\n") {
		line = strings.TrimSpace(line)
		if line == "[["+array+"]]" {
			if found >= 0 {
				break
			}
			if n--; n < 0 {
				found = i
			}
			continue
		}
		if found >= 0 && key != "" {
			if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
				return Position{f.path, i + 1}
			}
		}
	}
	return Position{f.path, found + 1}
}
