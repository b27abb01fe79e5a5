package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxEnumeratedJobs bounds how many jobs EnumerateJobs makes.
	maxEnumeratedJobs = 2_000_000
	// keysPerSplit is how many route keys are made for a rule with a split.
	keysPerSplit = 16
)

// EnumerateJobs makes jobs that between them have every value that the rules of two files distinguish, in all
// combinations, from the plainest to the most special, until visit returns false or there are too many. It
// reports whether it made all of them.
func EnumerateJobs(names KnownNames, a, b *File, visit func(*Job) bool) bool {
	s := newJobSpace(names)
	for _, f := range []*File{a, b} {
		for i := range f.Rules {
			s.addRule(&f.Rules[i])
		}
	}
	s.headerNames = slices.Sorted(maps.Keys(s.headers))
	sizes := s.sizes()
	at := make([]int, len(sizes))
	for range maxEnumeratedJobs {
		if !visit(s.job(at)) {
			return false
		}
		if !increment(at, sizes) {
			return true
		}
	}
	return false
}

// increment moves on to the next combination; false: there is none.
func increment(at, sizes []int) bool {
	for i := range at {
		if at[i]++; at[i] < sizes[i] {
			return true
		}
		at[i] = 0
	}
	return false
}

// jobSpace has the values that the jobs' properties take.
type jobSpace struct {
	names                                        KnownNames
	frontends, hosts, paths, queues, types, keys valueSet
	work                                         []time.Duration
	headers                                      map[string]valueSet
	headerNames                                  []string
}

// valueSet is a list of values, each once. In each, the empty value is the first, and stands for none.
type valueSet []string

func (v *valueSet) add(s string) {
	if !slices.Contains(*v, s) {
		*v = append(*v, s)
	}
}

func newJobSpace(names KnownNames) *jobSpace {
	return &jobSpace{names: names, frontends: valueSet{FrontHTTP, FrontFaktory}, hosts: valueSet{""},
		paths: valueSet{""}, queues: valueSet{""}, types: valueSet{""}, keys: valueSet{""},
		work: []time.Duration{0}, headers: map[string]valueSet{}}
}

// addRule adds the values that a rule distinguishes.
func (s *jobSpace) addRule(r *RuleSpec) {
	m := &r.Match
	for _, h := range m.Hosts {
		if strings.HasPrefix(h, "*") {
			h = "any" + h[1:]
		}
		s.hosts.add(h)
	}
	for _, p := range m.PathPrefixes {
		s.paths.add(p)
	}
	for _, q := range m.Queues {
		s.queues.add(q)
	}
	for _, t := range m.JobTypes {
		s.types.add(t)
	}
	for name, v := range m.Headers {
		values := s.headers[name]
		values.add("")
		values.add(strings.ReplaceAll(v, anyValue, "any"))
		s.headers[name] = values
	}
	if m.RouteKeyPrefix != "" {
		s.keys.add(m.RouteKeyPrefix)
	}
	for _, work := range []time.Duration{time.Duration(m.MinWork), time.Duration(m.WorkBelow)} {
		if work > 0 && !slices.Contains(s.work, work) {
			s.work = append(s.work, work)
		}
	}
	if len(r.Split) > 0 {
		for i := range keysPerSplit {
			s.keys.add(fmt.Sprint(m.RouteKeyPrefix, "key", i))
		}
	}
}

// sizes returns how many values each property takes, in the order that job expects.
func (s *jobSpace) sizes() []int {
	sizes := []int{len(s.frontends), len(s.names.Classes) + 1, len(s.names.Tenants) + 1, len(s.hosts),
		len(s.paths), len(s.queues), len(s.types), len(s.keys), len(s.work)}
	for _, h := range s.headerNames {
		sizes = append(sizes, len(s.headers[h]))
	}
	return sizes
}

// job makes the job of a combination of values.
func (s *jobSpace) job(at []int) *Job {
	headers := map[string]string{}
	for i, h := range s.headerNames {
		headers[h] = s.headers[h][at[9+i]]
	}
	return &Job{Front: s.frontends[at[0]], Class: at[1] - 1, Tenant: at[2] - 1, Host: s.hosts[at[3]],
		Path: s.paths[at[4]], Queue: s.queues[at[5]], JobType: s.types[at[6]], RouteKey: s.keys[at[7]],
		ExpectedWork: s.work[at[8]], ID: "job", headers: headers,
		Header: func(name string) string { return headers[name] }}
}

// DescribeJob describes a job, without what it does not name.
func DescribeJob(names KnownNames, j *Job) string {
	properties := []string{j.Front}
	add := func(what, value string) {
		if value != "" {
			properties = append(properties, what+" "+value)
		}
	}
	if j.Class >= 0 && j.Class < len(names.Classes) {
		add("class", names.Classes[j.Class])
	} else {
		properties = append(properties, "no class")
	}
	if j.Tenant >= 0 && j.Tenant < len(names.Tenants) {
		add("tenant", names.Tenants[j.Tenant])
	}
	add("host", j.Host)
	add("path", j.Path)
	add("queue", j.Queue)
	add("type", j.JobType)
	add("key", j.RouteKey)
	if j.ExpectedWork > 0 {
		add("cost", j.ExpectedWork.String())
	}
	for _, name := range slices.Sorted(maps.Keys(j.headers)) {
		add("header "+name+":", j.headers[name])
	}
	return strings.Join(properties, ", ")
}
