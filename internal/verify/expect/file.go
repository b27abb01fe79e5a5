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
	Version      int           `toml:"version"` // 1
	Platform     string        `toml:"platform"`
	Rules        string        `toml:"rules"` // empty: jobs go where the balancer decides
	Zone         string        `toml:"zone"`  // of the node that is asked; the platform file's, if not given
	Seed         uint64        `toml:"seed"`
	Workers      []Worker      `toml:"worker"`
	WorkerSets   []WorkerSet   `toml:"roster"`
	Jobs         []Job         `toml:"job"`
	Expectations []Expectation `toml:"expect"`
}

// Worker is a worker as the list and the probes tell of it.
type Worker struct {
	Name        string   `toml:"name"`
	Zone        string   `toml:"zone"`
	Kind        string   `toml:"kind"`
	Cell        int      `toml:"cell"`
	Labels      []string `toml:"label"`
	Lifecycle   string   `toml:"lifecycle"` // SERVING, if not given, or DRAINING
	Age         duration `toml:"age"`       // since its start; 0: long ago
	FreeSlots   float64  `toml:"free"`      // slots, as a probe tells
	QueueLength float64  `toml:"queue"`     // jobs that wait there
	Reachable   *bool    `toml:"reachable"` // false: neither probes nor jobs get there
}

// WorkerSet is a list of workers. A file without rosters has one of all its workers.
type WorkerSet struct {
	Name    string   `toml:"name"`
	Workers []string `toml:"workers"`
}

// Job is a job that might come.
type Job struct {
	Name     string            `toml:"name"`
	Frontend string            `toml:"front"` // http, if not given, or faktory
	Class    string            `toml:"class"`
	Tenant   string            `toml:"tenant"`
	Host     string            `toml:"host"`
	Path     string            `toml:"path"`
	Headers  map[string]string `toml:"header"`
	RouteKey string            `toml:"key"`
	CostHint duration          `toml:"cost"`
	Queue    string            `toml:"queue"`
	JobType  string            `toml:"jobtype"`
	Timeout  duration          `toml:"timeout"` // the class's give_up, if not given
}

// Expectation is an expectation.
type Expectation struct {
	Name      string   `toml:"name"`
	Job       string   `toml:"job"`
	WorkerSet string   `toml:"roster"`
	After     duration `toml:"after"` // when the job comes, counted from the news of the roster
	Events    []Event  `toml:"events"`

	FirstAttempts  []AttemptShare   `toml:"goes_to"`       // of the first attempts
	NoAttempts     []WorkerSelector `toml:"never"`         // no attempt
	SecondAttempts []AttemptShare   `toml:"falls_back_to"` // of the second attempts
	Rejected       *Rejection       `toml:"refused"`
	Served         *bool            `toml:"served"`
	MaxAttempts    int              `toml:"tried_at_most"`
	Rule           *string          `toml:"rule"` // that decides; "": none
}

// Event is something that happens before or while the job is there.
type Event struct {
	At          duration `toml:"at"`
	Worker      string   `toml:"worker"`
	Lifecycle   string   `toml:"lifecycle"` // the list tells it: SERVING, DRAINING or DELETED
	Reachable   *bool    `toml:"reachable"`
	JobResponse string   `toml:"answers"` // ok, error or full: to jobs
}

// WorkerSelector is a set of workers.
type WorkerSelector struct {
	Zone   string `toml:"zone"`
	Kind   string `toml:"kind"`
	Pool   string `toml:"pool"`
	Worker string `toml:"worker"`
}

// AttemptShare is how many of the attempts go to a set of workers.
type AttemptShare struct {
	WorkerSelector
	Fraction  *float64 `toml:"share"`  // 1, if not given
	Tolerance float64  `toml:"within"` // 0.05, if not given
}

// Rejection is a busy answer.
type Rejection struct {
	Reason        string   `toml:"reason"`      // that a rule gives; empty: any
	MinRetryAfter duration `toml:"after_least"` // the time to return
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
	Path       string
	raw        []byte
	platform   *platform.Config
	settings   balancer.Settings
	knownNames routing.KnownNames
	table      *routing.Table
	rules      *routing.File
	workers    map[string]*Worker
	workerSets map[string][]*Worker
	jobs       map[string]*Job
}

// Load reads a file of expectations and all that it leads to.
func Load(path string, raw []byte, readFile func(string) ([]byte, error)) (*Suite, error) {
	s := &Suite{Path: path, raw: raw, workers: map[string]*Worker{}, workerSets: map[string][]*Worker{},
		jobs: map[string]*Job{}}
	if err := tomlfile.Decode(path, raw, &s.File); err != nil {
		return nil, err
	}
	if s.Version != 1 {
		return nil, tomlfile.ErrorAt(
			path,
			raw,
			"version",
			"%d is not 1, the only version that there is",
			s.Version,
		)
	}
	if s.Platform == "" {
		return nil, tomlfile.ErrorAt(path, raw, "platform", "it must name the deployment's file")
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
	if s.settings, err = s.platform.Settings.Balancer(); err != nil {
		return nil, err
	}
	s.knownNames = routing.KnownNames{Zones: s.platform.Settings.Zones, Kinds: s.platform.Settings.Kinds}
	for _, c := range s.settings.Classes {
		s.knownNames.Classes = append(s.knownNames.Classes, c.Name)
	}
	for _, t := range s.settings.Tenants {
		s.knownNames.Tenants = append(s.knownNames.Tenants, t.Name)
	}
	if s.Rules != "" {
		text, err := readFile(beside(s.Rules))
		if err != nil {
			return nil, err
		}
		if s.rules, err = routing.Parse(beside(s.Rules), text); err != nil {
			return nil, err
		}
		if s.table, _, err = routing.Compile(s.rules, s.knownNames); err != nil {
			return nil, err
		}
	}
	return s, s.resolveNames()
}

func (s *Suite) errorAt(array string, n int, format string, args ...any) error {
	return &tomlfile.Error{
		Path:    s.Path,
		Line:    tomlfile.LineOfTable(s.raw, array, n),
		Key:     array,
		Message: fmt.Sprintf(format, args...),
	}
}

// indexOf is where a name stands in a list, or -1.
func indexOf(list []string, name string) int {
	for i, n := range list {
		if n == name {
			return i
		}
	}
	return -1
}

// resolveNames resolves the names in the file, and refuses what makes no sense.
func (s *Suite) resolveNames() error {
	if s.Zone != "" {
		if s.settings.Zone = indexOf(s.knownNames.Zones, s.Zone); s.settings.Zone < 0 {
			return tomlfile.ErrorAt(s.Path, s.raw, "zone", "there is no zone %q", s.Zone)
		}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		switch {
		case w.Name == "" || s.workers[w.Name] != nil:
			return s.errorAt("worker", i, "the name %q is empty or in use", w.Name)
		case indexOf(s.knownNames.Zones, w.Zone) < 0:
			return s.errorAt("worker", i, "%s: there is no zone %q", w.Name, w.Zone)
		case indexOf(s.knownNames.Kinds, w.Kind) < 0:
			return s.errorAt("worker", i, "%s: there is no kind %q", w.Name, w.Kind)
		case workerStates[w.Lifecycle] == balancer.Removed:
			return s.errorAt("worker", i, "%s: lifecycle: %q is not SERVING or DRAINING", w.Name, w.Lifecycle)
		case w.Age < 0 || w.FreeSlots < 0 || w.QueueLength < 0:
			return s.errorAt("worker", i, "%s: age, free or queue is below 0", w.Name)
		}
		s.workers[w.Name] = w
		s.workerSets[""] = append(s.workerSets[""], w)
	}
	for i, r := range s.WorkerSets {
		if r.Name == "" || s.workerSets[r.Name] != nil {
			return s.errorAt("roster", i, "the name %q is empty or in use", r.Name)
		}
		s.workerSets[r.Name] = []*Worker{}
		for _, name := range r.Workers {
			if s.workers[name] == nil {
				return s.errorAt("roster", i, "%s: there is no worker %q", r.Name, name)
			}
			s.workerSets[r.Name] = append(s.workerSets[r.Name], s.workers[name])
		}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		switch {
		case j.Name == "" || s.jobs[j.Name] != nil:
			return s.errorAt("job", i, "the name %q is empty or in use", j.Name)
		case j.Class != "" && indexOf(s.knownNames.Classes, j.Class) < 0:
			return s.errorAt("job", i, "%s: there is no class %q", j.Name, j.Class)
		case j.Tenant != "" && indexOf(s.knownNames.Tenants, j.Tenant) < 0:
			return s.errorAt("job", i, "%s: there is no tenant %q", j.Name, j.Tenant)
		case j.Frontend != "" && j.Frontend != "http" && j.Frontend != "faktory":
			return s.errorAt("job", i, "%s: front: %q is not http or faktory", j.Name, j.Frontend)
		case j.CostHint < 0 || j.Timeout < 0:
			return s.errorAt("job", i, "%s: cost or timeout is below 0", j.Name)
		}
		s.jobs[j.Name] = j
	}
	seen := map[string]bool{}
	for i := range s.Expectations {
		if err := s.resolveExpectation(i, seen); err != nil {
			return err
		}
	}
	return nil
}

var workerStates = map[string]balancer.WorkerState{
	"":         balancer.Ready,
	"SERVING":  balancer.Ready,
	"DRAINING": balancer.Draining,
}

func (s *Suite) resolveExpectation(i int, seen map[string]bool) error {
	e := &s.Expectations[i]
	if e.Name == "" || seen[e.Name] {
		return s.errorAt("expect", i, "the name %q is empty or in use", e.Name)
	}
	seen[e.Name] = true
	if s.jobs[e.Job] == nil {
		return s.errorAt("expect", i, "%s: there is no job %q", e.Name, e.Job)
	}
	if s.workerSets[e.WorkerSet] == nil {
		return s.errorAt("expect", i, "%s: there is no roster %q", e.Name, e.WorkerSet)
	}
	if e.After < 0 || time.Duration(e.After) > time.Minute {
		return s.errorAt(
			"expect",
			i,
			"%s: after: %v is not from 0 to a minute",
			e.Name,
			time.Duration(e.After),
		)
	}
	for _, v := range e.Events {
		_, life := workerStates[v.Lifecycle]
		switch {
		case s.workers[v.Worker] == nil:
			return s.errorAt("expect", i, "%s: events: there is no worker %q", e.Name, v.Worker)
		case !life && v.Lifecycle != "DELETED":
			return s.errorAt(
				"expect",
				i,
				"%s: events: lifecycle: %q is not SERVING, DRAINING or DELETED",
				e.Name,
				v.Lifecycle,
			)
		case v.JobResponse != "" && v.JobResponse != "ok" && v.JobResponse != "error" &&
			v.JobResponse != "full":
			return s.errorAt(
				"expect",
				i,
				"%s: events: answers: %q is not ok, error or full",
				e.Name,
				v.JobResponse,
			)
		case v.At < 0 || time.Duration(v.At) > time.Minute:
			return s.errorAt(
				"expect",
				i,
				"%s: events: at: %v is not from 0 to a minute",
				e.Name,
				time.Duration(v.At),
			)
		}
	}
	var where []WorkerSelector
	for _, list := range [][]AttemptShare{e.FirstAttempts, e.SecondAttempts} {
		for k := range list {
			sh := &list[k]
			if sh.Fraction == nil {
				one := 1.0
				sh.Fraction = &one
			}
			if sh.Tolerance == 0 {
				sh.Tolerance = 0.05
			}
			if !(*sh.Fraction >= 0 && *sh.Fraction <= 1) || !(sh.Tolerance > 0 && sh.Tolerance < 1) {
				return s.errorAt(
					"expect",
					i,
					"%s: a share is from 0 to 1, within above 0 and below 1",
					e.Name,
				)
			}
			if n := requiredSamples(*sh.Fraction, sh.Tolerance); n > MaxSamples {
				return s.errorAt(
					"expect",
					i,
					"%s: a share of %v within %v takes %d draws, %d are allowed: it can't be decided",
					e.Name,
					*sh.Fraction,
					sh.Tolerance,
					n,
					MaxSamples,
				)
			}
			where = append(where, sh.WorkerSelector)
		}
	}
	for _, w := range append(where, e.NoAttempts...) {
		switch {
		case w == (WorkerSelector{}):
			return s.errorAt("expect", i, "%s: say a zone, a kind, a pool or a worker", e.Name)
		case w.Zone != "" && indexOf(s.knownNames.Zones, w.Zone) < 0:
			return s.errorAt("expect", i, "%s: there is no zone %q", e.Name, w.Zone)
		case w.Kind != "" && indexOf(s.knownNames.Kinds, w.Kind) < 0:
			return s.errorAt("expect", i, "%s: there is no kind %q", e.Name, w.Kind)
		case w.Worker != "" && s.workers[w.Worker] == nil:
			return s.errorAt("expect", i, "%s: there is no worker %q", e.Name, w.Worker)
		case w.Pool != "" && (s.table == nil || !s.table.HasPool(w.Pool)):
			return s.errorAt("expect", i, "%s: the rules have no pool %q", e.Name, w.Pool)
		}
	}
	if e.Rule != nil && *e.Rule != "" && (s.table == nil || s.table.RuleByName(*e.Rule) == nil) {
		return s.errorAt("expect", i, "%s: there is no rule %q", e.Name, *e.Rule)
	}
	if len(where)+len(e.NoAttempts) == 0 && e.Rejected == nil && e.Served == nil && e.MaxAttempts == 0 &&
		e.Rule == nil {
		return s.errorAt("expect", i, "%s: it expects nothing, and so can't fail", e.Name)
	}
	return nil
}
