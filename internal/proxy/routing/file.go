// Package routing decides which workers a job may go to, in which order, and on what
// terms, by rules that operators write. It narrows and orders; which of the workers left
// gets the job is package balancer's to decide, and none of balancer's bars is lifted here.
//
// It has no I/O, clock or goroutine: a Table is made once from a file's text and is the
// same for all who read it, until another takes its place as one whole.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"moorstack/internal/tomlfile"
)

// File is the rules as people write them.
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
	Cells  []int    `toml:"cell"`  // pods
	Labels []string `toml:"label"` // all of them
}

// RuleSpec is a rule. The first rule that matches a job decides.
type RuleSpec struct {
	Name  string    `toml:"name"`
	Match MatchSpec `toml:"match"`

	Class          string      `toml:"class"`       // given to a job that names none
	PreferredPools []string    `toml:"prefer"`      // pools, the most wanted first
	Spillover      string      `toml:"spill"`       // when to go on: never, empty (if not given) or busy
	Split          []SplitSpec `toml:"split"`       // one of these pools comes before those of prefer
	SplitBy        string      `toml:"split_by"`    // key, tenant or id; key, if not given
	MaxAttempts    int         `toml:"attempts"`    // within the class's
	AttemptTimeout duration    `toml:"timeout"`     // of each attempt, within the job's
	RejectReason   string      `toml:"refuse"`      // the reason; no worker gets the job
	RetryAfter     duration    `toml:"retry_after"` // with refuse
}

// MatchSpec is what a job must be like. Of a list, one must fit; of what is not given,
// anything does.
type MatchSpec struct {
	Classes        []string          `toml:"class"` // "" stands for a job that names none
	Tenants        []string          `toml:"tenant"`
	Frontends      []string          `toml:"front"` // http or faktory
	Queues         []string          `toml:"queue"`
	JobTypes       []string          `toml:"jobtype"`
	Hosts          []string          `toml:"host"`        // whole, or "*.example.org" for all below
	PathPrefixes   []string          `toml:"path_prefix"` // of the path, without the query
	Headers        map[string]string `toml:"header"`      // all of them; "*": any value
	RouteKeyPrefix string            `toml:"key_prefix"`  // of the route key
	MinCost        duration          `toml:"cost_from"`   // the hint, at least
	CostBelow      duration          `toml:"cost_below"`
}

// SplitSpec is a part of a split.
type SplitSpec struct {
	Pool   string `toml:"pool"`
	Weight int    `toml:"weight"`
}

type duration time.Duration

func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err == nil && v < 0 {
		err = fmt.Errorf("%v is below 0", v)
	}
	*d = duration(v)
	return err
}

// Parse reads the text of a file. The path is for what errors say.
func Parse(path string, raw []byte) (*File, error) {
	f := &File{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, f); err != nil {
		return nil, err
	}
	if f.Version != 1 {
		return nil, tomlfile.ErrorAt(
			path,
			raw,
			"version",
			"%d is not 1, the only version that there is",
			f.Version,
		)
	}
	return f, nil
}

// Position is where something stands in a file.
type Position struct {
	Path string `json:"path"`
	Line int    `json:"line"`
}

func (p Position) String() string { return fmt.Sprintf("%s:%d", p.Path, p.Line) }

// position finds the nth table of an array, and a key in it if one is given.
func (f *File) position(array string, n int, key string) Position {
	lines := strings.Split(string(f.raw), "\n")
	found := -1
	for i, line := range lines {
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

// Problem is what is wrong with a file, or odd about it.
type Problem struct {
	Position
	Rule string // or pool
	Text string
}

func (p Problem) Error() string { return fmt.Sprintf("%v: %s: %s", p.Position, p.Rule, p.Text) }

// Problems is everything that is wrong with a file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// KnownNames are what a deployment calls its classes, tenants, zones and kinds, by number. A
// list that is nil is not known, and names are then not checked against it.
type KnownNames struct {
	Classes, Tenants, Zones, Kinds []string
}

// resolveNames gives the numbers of names, and those that have none.
func resolveNames(names, known []string) (numbers []int, unknown []string) {
	for _, name := range names {
		if i := slices.Index(known, name); i >= 0 {
			numbers = append(numbers, i)
		} else if known != nil {
			unknown = append(unknown, name)
		}
	}
	return numbers, unknown
}
