// Package expect checks where jobs would go, with no traffic: the real rules, the real
// core and the real balancer in virtual time, with stand-in next hops and no socket.
package expect

import (
	"fmt"
	"path/filepath"
	"time"

	"moorstack/balancer"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/tomlfile"
)

// File is a file of expectations as people write it.
type File struct {
	Version  int      `toml:"version"` // 1
	Platform string   `toml:"platform"`
	Rules    string   `toml:"rules"` // empty: jobs go where the balancer decides
	Zone     string   `toml:"zone"`  // of the node that is asked; the platform file's, if not given
	Seed     uint64   `toml:"seed"`
	Workers  []Worker `toml:"worker"`
	Rosters  []Roster `toml:"roster"`
	Jobs     []Job    `toml:"job"`
	Expects  []Expect `toml:"expect"`
}

// Worker is a worker as the list and the probes tell of it.
type Worker struct {
	Name      string   `toml:"name"`
	Zone      string   `toml:"zone"`
	Kind      string   `toml:"kind"`
	Cell      int      `toml:"cell"`
	Labels    []string `toml:"label"`
	Lifecycle string   `toml:"lifecycle"` // SERVING, if not given, or DRAINING
	Age       duration `toml:"age"`       // since its start; 0: long ago
	Free      float64  `toml:"free"`      // slots, as a probe tells
	Queue     float64  `toml:"queue"`     // jobs that wait there
	Reachable *bool    `toml:"reachable"` // false: neither probes nor jobs get there
}

// Roster is a list of workers. A file without rosters has one of all its workers.
type Roster struct {
	Name    string   `toml:"name"`
	Workers []string `toml:"workers"`
}

// Job is a job that might come.
type Job struct {
	Name    string            `toml:"name"`
	Front   string            `toml:"front"` // http, if not given, or faktory
	Class   string            `toml:"class"`
	Tenant  string            `toml:"tenant"`
	Host    string            `toml:"host"`
	Path    string            `toml:"path"`
	Header  map[string]string `toml:"header"`
	Key     string            `toml:"key"`
	Cost    duration          `toml:"cost"`
	Queue   string            `toml:"queue"`
	Type    string            `toml:"jobtype"`
	Timeout duration          `toml:"timeout"` // the class's give_up, if not given
}

// Expect is an expectation.
type Expect struct {
	Name   string   `toml:"name"`
	Job    string   `toml:"job"`
	Roster string   `toml:"roster"`
	After  duration `toml:"after"` // when the job comes, counted from the news of the roster
	Events []Event  `toml:"events"`

	GoesTo      []Share  `toml:"goes_to"`       // of the first attempts
	Never       []Where  `toml:"never"`         // no attempt
	FallsBackTo []Share  `toml:"falls_back_to"` // of the second attempts
	Refused     *Refused `toml:"refused"`
	Served      *bool    `toml:"served"`
	TriedAtMost int      `toml:"tried_at_most"`
	Rule        *string  `toml:"rule"` // that decides; "": none
}

// Event is something that happens before or while the job is there.
type Event struct {
	At        duration `toml:"at"`
	Worker    string   `toml:"worker"`
	Lifecycle string   `toml:"lifecycle"` // the list tells it: SERVING, DRAINING or DELETED
	Reachable *bool    `toml:"reachable"`
	Answers   string   `toml:"answers"` // ok, error or full: to jobs
}

// Where is a set of workers.
type Where struct {
	Zone   string `toml:"zone"`
	Kind   string `toml:"kind"`
	Pool   string `toml:"pool"`
	Worker string `toml:"worker"`
}

// Share is how many of the attempts go to a set of workers.
type Share struct {
	Where
	Share  *float64 `toml:"share"`  // 1, if not given
	Within float64  `toml:"within"` // 0.05, if not given
}

// Refused is a busy answer.
type Refused struct {
	Reason     string   `toml:"reason"`      // that a rule gives; empty: any
	AfterLeast duration `toml:"after_least"` // the time to return
}

type duration time.Duration

func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// Suite is a file that has been read, with all that it leads to.
type Suite struct {
	File
	Path     string
	raw      []byte
	platform *platform.Config
	set      balancer.Settings
	names    routing.Names
	table    *routing.Table
	rules    *routing.File
	workers  map[string]*Worker
	rosters  map[string][]*Worker
	jobs     map[string]*Job
}

// Read reads a file of expectations and all that it leads to.
func Read(path string, raw []byte, readFile func(string) ([]byte, error)) (*Suite, error) {
	s := &Suite{Path: path, raw: raw, workers: map[string]*Worker{}, rosters: map[string][]*Worker{},
		jobs: map[string]*Job{}}
	if err := tomlfile.Decode(path, raw, &s.File); err != nil {
		return nil, err
	}
	if s.Version != 1 {
		return nil, tomlfile.At(
			path,
			raw,
			"version",
			"%d is not 1, the only version that there is",
			s.Version,
		)
	}
	if s.Platform == "" {
		return nil, tomlfile.At(path, raw, "platform", "it must name the deployment's file")
	}
	beside := func(p string) string {
		if filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(filepath.Dir(path), p)
	}
	var err error
	if s.platform, err = platform.ReadConfigFile(beside(s.Platform)); err != nil {
		return nil, err
	}
	if s.set, err = s.platform.Settings.Brain(); err != nil {
		return nil, err
	}
	s.names = routing.Names{Zones: s.platform.Settings.Zones, Kinds: s.platform.Settings.Kinds}
	for _, c := range s.set.Classes {
		s.names.Classes = append(s.names.Classes, c.Name)
	}
	for _, t := range s.set.Tenants {
		s.names.Tenants = append(s.names.Tenants, t.Name)
	}
	if s.Rules != "" {
		text, err := readFile(beside(s.Rules))
		if err != nil {
			return nil, err
		}
		if s.rules, err = routing.Parse(beside(s.Rules), text); err != nil {
			return nil, err
		}
		if s.table, _, err = routing.Compile(s.rules, s.names); err != nil {
			return nil, err
		}
	}
	return s, s.link()
}

func (s *Suite) wrong(array string, n int, format string, args ...any) error {
	return &tomlfile.Error{
		Path: s.Path,
		Line: tomlfile.Nth(s.raw, array, n),
		Key:  array,
		Text: fmt.Sprintf(format, args...),
	}
}

// index is where a name stands in a list, or -1.
func index(list []string, name string) int {
	for i, n := range list {
		if n == name {
			return i
		}
	}
	return -1
}

// link resolves the names in the file, and refuses what makes no sense.
func (s *Suite) link() error {
	if s.Zone != "" {
		if s.set.Zone = index(s.names.Zones, s.Zone); s.set.Zone < 0 {
			return tomlfile.At(s.Path, s.raw, "zone", "there is no zone %q", s.Zone)
		}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		switch {
		case w.Name == "" || s.workers[w.Name] != nil:
			return s.wrong("worker", i, "the name %q is empty or in use", w.Name)
		case index(s.names.Zones, w.Zone) < 0:
			return s.wrong("worker", i, "%s: there is no zone %q", w.Name, w.Zone)
		case index(s.names.Kinds, w.Kind) < 0:
			return s.wrong("worker", i, "%s: there is no kind %q", w.Name, w.Kind)
		case lifecycles[w.Lifecycle] == balancer.Removed:
			return s.wrong("worker", i, "%s: lifecycle: %q is not SERVING or DRAINING", w.Name, w.Lifecycle)
		case w.Age < 0 || w.Free < 0 || w.Queue < 0:
			return s.wrong("worker", i, "%s: age, free or queue is below 0", w.Name)
		}
		s.workers[w.Name] = w
		s.rosters[""] = append(s.rosters[""], w)
	}
	for i, r := range s.Rosters {
		if r.Name == "" || s.rosters[r.Name] != nil {
			return s.wrong("roster", i, "the name %q is empty or in use", r.Name)
		}
		s.rosters[r.Name] = []*Worker{}
		for _, name := range r.Workers {
			if s.workers[name] == nil {
				return s.wrong("roster", i, "%s: there is no worker %q", r.Name, name)
			}
			s.rosters[r.Name] = append(s.rosters[r.Name], s.workers[name])
		}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		switch {
		case j.Name == "" || s.jobs[j.Name] != nil:
			return s.wrong("job", i, "the name %q is empty or in use", j.Name)
		case j.Class != "" && index(s.names.Classes, j.Class) < 0:
			return s.wrong("job", i, "%s: there is no class %q", j.Name, j.Class)
		case j.Tenant != "" && index(s.names.Tenants, j.Tenant) < 0:
			return s.wrong("job", i, "%s: there is no tenant %q", j.Name, j.Tenant)
		case j.Front != "" && j.Front != "http" && j.Front != "faktory":
			return s.wrong("job", i, "%s: front: %q is not http or faktory", j.Name, j.Front)
		case j.Cost < 0 || j.Timeout < 0:
			return s.wrong("job", i, "%s: cost or timeout is below 0", j.Name)
		}
		s.jobs[j.Name] = j
	}
	seen := map[string]bool{}
	for i := range s.Expects {
		if err := s.linkExpect(i, seen); err != nil {
			return err
		}
	}
	return nil
}

var lifecycles = map[string]balancer.State{"": balancer.Ready, "SERVING": balancer.Ready, "DRAINING": balancer.Draining}

func (s *Suite) linkExpect(i int, seen map[string]bool) error {
	e := &s.Expects[i]
	if e.Name == "" || seen[e.Name] {
		return s.wrong("expect", i, "the name %q is empty or in use", e.Name)
	}
	seen[e.Name] = true
	if s.jobs[e.Job] == nil {
		return s.wrong("expect", i, "%s: there is no job %q", e.Name, e.Job)
	}
	if s.rosters[e.Roster] == nil {
		return s.wrong("expect", i, "%s: there is no roster %q", e.Name, e.Roster)
	}
	if e.After < 0 || time.Duration(e.After) > time.Minute {
		return s.wrong("expect", i, "%s: after: %v is not from 0 to a minute", e.Name, time.Duration(e.After))
	}
	for _, v := range e.Events {
		_, life := lifecycles[v.Lifecycle]
		switch {
		case s.workers[v.Worker] == nil:
			return s.wrong("expect", i, "%s: events: there is no worker %q", e.Name, v.Worker)
		case !life && v.Lifecycle != "DELETED":
			return s.wrong(
				"expect",
				i,
				"%s: events: lifecycle: %q is not SERVING, DRAINING or DELETED",
				e.Name,
				v.Lifecycle,
			)
		case v.Answers != "" && v.Answers != "ok" && v.Answers != "error" && v.Answers != "full":
			return s.wrong("expect", i, "%s: events: answers: %q is not ok, error or full", e.Name, v.Answers)
		case v.At < 0 || time.Duration(v.At) > time.Minute:
			return s.wrong(
				"expect",
				i,
				"%s: events: at: %v is not from 0 to a minute",
				e.Name,
				time.Duration(v.At),
			)
		}
	}
	var where []Where
	for _, list := range [][]Share{e.GoesTo, e.FallsBackTo} {
		for k := range list {
			sh := &list[k]
			if sh.Share == nil {
				one := 1.0
				sh.Share = &one
			}
			if sh.Within == 0 {
				sh.Within = 0.05
			}
			if !(*sh.Share >= 0 && *sh.Share <= 1) || !(sh.Within > 0 && sh.Within < 1) {
				return s.wrong("expect", i, "%s: a share is from 0 to 1, within above 0 and below 1", e.Name)
			}
			if n := draws(*sh.Share, sh.Within); n > MaxDraws {
				return s.wrong(
					"expect",
					i,
					"%s: a share of %v within %v takes %d draws, %d are allowed: it can't be decided",
					e.Name,
					*sh.Share,
					sh.Within,
					n,
					MaxDraws,
				)
			}
			where = append(where, sh.Where)
		}
	}
	for _, w := range append(where, e.Never...) {
		switch {
		case w == (Where{}):
			return s.wrong("expect", i, "%s: say a zone, a kind, a pool or a worker", e.Name)
		case w.Zone != "" && index(s.names.Zones, w.Zone) < 0:
			return s.wrong("expect", i, "%s: there is no zone %q", e.Name, w.Zone)
		case w.Kind != "" && index(s.names.Kinds, w.Kind) < 0:
			return s.wrong("expect", i, "%s: there is no kind %q", e.Name, w.Kind)
		case w.Worker != "" && s.workers[w.Worker] == nil:
			return s.wrong("expect", i, "%s: there is no worker %q", e.Name, w.Worker)
		case w.Pool != "" && (s.table == nil || !s.table.HasPool(w.Pool)):
			return s.wrong("expect", i, "%s: the rules have no pool %q", e.Name, w.Pool)
		}
	}
	if e.Rule != nil && *e.Rule != "" && (s.table == nil || s.table.Named(*e.Rule) == nil) {
		return s.wrong("expect", i, "%s: there is no rule %q", e.Name, *e.Rule)
	}
	if len(where)+len(e.Never) == 0 && e.Refused == nil && e.Served == nil && e.TriedAtMost == 0 &&
		e.Rule == nil {
		return s.wrong("expect", i, "%s: it expects nothing, and so can't fail", e.Name)
	}
	return nil
}
