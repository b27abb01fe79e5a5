package routing

import (
	"fmt"
	"strings"
	"time"

	"moorstack/internal/tomlfile"
)

// fileVersion is the only version of the format.
const fileVersion = 1

// File is a file of rules.
type File struct {
	Version int        `toml:"version"` // 1
	Pools   []PoolSpec `toml:"pool"`
	Rules   []RuleSpec `toml:"rule"`

	path string
	raw  []byte
}

// PoolSpec is a set of workers: those that meet every condition that is given.
type PoolSpec struct {
	Name   string   `toml:"name"`
	Zones  []string `toml:"zone"`
	Kinds  []string `toml:"kind"`
	Cells  []int    `toml:"cell"`
	Labels []string `toml:"label"` // all of them
}

// RuleSpec is a rule. The first rule that matches a job decides.
type RuleSpec struct {
	Name  string    `toml:"name"`
	Match MatchSpec `toml:"match"`

	Class          string      `toml:"class"`       // for a job that names none
	PreferredPools []string    `toml:"prefer"`      // the most preferred first
	Spillover      Spillover   `toml:"spill"`       // empty: SpillIfEmpty
	Split          []SplitSpec `toml:"split"`       // one of these pools comes before the preferred ones
	SplitBy        SplitBy     `toml:"split_by"`    // empty: SplitByRouteKey
	MaxAttempts    int         `toml:"attempts"`    // within the class's; 0: the class's
	AttemptTimeout duration    `toml:"timeout"`     // of each attempt, within the job's; 0: the job's
	RejectReason   string      `toml:"refuse"`      // if given, no worker gets the job
	RetryAfter     duration    `toml:"retry_after"` // with RejectReason
}

// Spillover determines when a job goes on to its rule's next pool.
type Spillover string

// The values of Spillover.
const (
	SpillNever   Spillover = "never"
	SpillIfEmpty Spillover = "empty" // if no worker of the pool may have the job now
	SpillIfBusy  Spillover = "busy"  // also if waiting for a worker of the pool is not worth it
)

// SplitBy determines which property of a job decides its part of a split.
type SplitBy string

// The values of SplitBy.
const (
	SplitByRouteKey SplitBy = "key" // or the ID, for a job without route key
	SplitByTenant   SplitBy = "tenant"
	SplitByID       SplitBy = "id"
)

// The frontends that a rule may name.
const (
	FrontHTTP    = "http"
	FrontFaktory = "faktory"
)

// anyValue as a header's value in a rule stands for any value.
const anyValue = "*"

// MatchSpec is what a job must be like. Of a list one element must match; what is not given matches anything.
type MatchSpec struct {
	Classes        []string          `toml:"class"` // "" stands for a job that names none
	Tenants        []string          `toml:"tenant"`
	Fronts         []string          `toml:"front"`
	Queues         []string          `toml:"queue"`
	JobTypes       []string          `toml:"jobtype"`
	Hosts          []string          `toml:"host"`        // whole, or "*.example.org" for all subdomains
	PathPrefixes   []string          `toml:"path_prefix"` // of the path without the query
	Headers        map[string]string `toml:"header"`      // all of them; "*": any value
	RouteKeyPrefix string            `toml:"key_prefix"`
	MinWork        duration          `toml:"cost_from"` // of the expected work
	WorkBelow      duration          `toml:"cost_below"`
}

// SplitSpec is a part of a split.
type SplitSpec struct {
	Pool   string `toml:"pool"`
	Weight int    `toml:"weight"`
}

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

// Parse reads the text of a file of rules. The path is for error messages.
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

// position finds the nth table of an array, and a key in it if one is given.
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
