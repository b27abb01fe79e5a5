package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxEnumeratedJobs limits the number of jobs that EnumerateJobs generates.
	maxEnumeratedJobs = 2_000_000
	// keysPerSplit is the number of route keys that are generated for a rule with a split.
	keysPerSplit = 16
)

// EnumerateJobs calls visit with a job for each combination of the values that the rules of two files
// distinguish, beginning with jobs that have few properties. It stops when visit returns false or after
// maxEnumeratedJobs jobs. It reports whether it has visited all combinations.
func EnumerateJobs(names KnownNames, a, b *File, visit func(*Job) bool) bool {
	s := newJobSpace(names)
	for _, f := range []*File{a, b} {
		for i := range f.Rules {
			s.addRule(&f.Rules[i])
		}
	}
	s.headerNames = slices.Sorted(maps.Keys(s.headers))
	sizes := s.sizes()
	idx := make([]int, len(sizes))
	for range maxEnumeratedJobs {
		if !visit(s.job(idx)) {
			return false
		}
		if !increment(idx, sizes) {
			return true
		}
	}
	return false
}

// increment advances idx to the next combination. It returns false after the last one.
func increment(idx, sizes []int) bool {
	for i := range idx {
		if idx[i]++; idx[i] < sizes[i] {
			return true
		}
		idx[i] = 0
	}
	return false
}

// jobSpace holds the values of each property that the enumerated jobs can have.
type jobSpace struct {
	names                                     KnownNames
	fronts, hosts, paths, queues, types, keys valueSet
	work                                      []time.Duration
	headers                                   map[string]valueSet
	headerNames                               []string
}

// valueSet is a list of distinct values. An empty value means that a job does not have the property; it comes
// first, except in jobSpace.fronts, which has none.
type valueSet []string

func (v *valueSet) add(s string) {
	if !slices.Contains(*v, s) {
		*v = append(*v, s)
	}
}

func newJobSpace(names KnownNames) *jobSpace {
	return &jobSpace{names: names, fronts: valueSet{FrontHTTP, FrontFaktory}, hosts: valueSet{""},
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

// sizes returns the number of values of each property, in the order in which job uses them.
func (s *jobSpace) sizes() []int {
	sizes := []int{len(s.fronts), len(s.names.Classes) + 1, len(s.names.Tenants) + 1, len(s.hosts),
		len(s.paths), len(s.queues), len(s.types), len(s.keys), len(s.work)}
	for _, h := range s.headerNames {
		sizes = append(sizes, len(s.headers[h]))
	}
	return sizes
}

// job returns the job for a combination, given by an index into the values of each property.
func (s *jobSpace) job(idx []int) *Job {
	headers := map[string]string{}
	for i, h := range s.headerNames {
		headers[h] = s.headers[h][idx[9+i]]
	}
	return &Job{Front: s.fronts[idx[0]], Class: idx[1] - 1, Tenant: idx[2] - 1, Host: s.hosts[idx[3]],
		Path: s.paths[idx[4]], Queue: s.queues[idx[5]], JobType: s.types[idx[6]], RouteKey: s.keys[idx[7]],
		ExpectedWork: s.work[idx[8]], ID: "job", headers: headers,
		Header: func(name string) string { return headers[name] }}
}

// DescribeJob describes the properties that a job has.
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
