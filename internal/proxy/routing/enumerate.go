package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxEnumeratedJobs bounds how many jobs Space makes.
const maxEnumeratedJobs = 2_000_000

// EnumerateJobs makes jobs that between them have every value that the files' rules tell apart,
// in all combinations, from the plainest to the most special, until tell says no. It
// reports whether it came to the end.
func EnumerateJobs(names KnownNames, a, b *File, tell func(*Job) bool) bool {
	hosts, paths, queues, types := valueSet{""}, valueSet{""}, valueSet{""}, valueSet{""}
	fronts, keys := valueSet{"http", "faktory"}, valueSet{""}
	headers := map[string]valueSet{}
	costs := []time.Duration{0}
	for _, f := range []*File{a, b} {
		for _, r := range f.Rules {
			m := &r.Match
			for _, h := range m.Hosts {
				if strings.HasPrefix(h, "*") {
					hosts.add("any" + h[1:])
				} else {
					hosts.add(h)
				}
			}
			for _, p := range m.PathPrefixes {
				paths.add(p)
			}
			for _, q := range m.Queues {
				queues.add(q)
			}
			for _, t := range m.JobTypes {
				types.add(t)
			}
			for name, v := range m.Headers {
				list := headers[name]
				list.add("")
				list.add(strings.ReplaceAll(v, "*", "any"))
				headers[name] = list
			}
			if m.RouteKeyPrefix != "" {
				keys.add(m.RouteKeyPrefix)
			}
			for _, c := range []time.Duration{time.Duration(m.MinCost), time.Duration(m.CostBelow)} {
				if c > 0 && !slices.Contains(costs, c) {
					costs = append(costs, c)
				}
			}
			if len(r.Split) > 0 {
				for i := range 16 {
					keys.add(fmt.Sprint(m.RouteKeyPrefix, "key", i))
				}
			}
		}
	}
	heads := slices.Sorted(maps.Keys(headers))
	sizes := []int{
		len(fronts),
		len(names.Classes) + 1,
		len(names.Tenants) + 1,
		len(hosts),
		len(paths),
		len(queues),
		len(types),
		len(keys),
		len(costs),
	}
	for _, h := range heads {
		sizes = append(sizes, len(headers[h]))
	}
	at := make([]int, len(sizes))
	for made := 0; made < maxEnumeratedJobs; made++ {
		j := &Job{
			Frontend: fronts[at[0]],
			Class:    at[1] - 1,
			Tenant:   at[2] - 1,
			Host:     hosts[at[3]],
			Path:     paths[at[4]],
			Queue:    queues[at[5]],
			JobType:  types[at[6]],
			RouteKey: keys[at[7]],
			CostHint: costs[at[8]],
			ID:       "job",
		}
		set := map[string]string{}
		for i, h := range heads {
			set[h] = headers[h][at[9+i]]
		}
		j.Header = func(name string) string { return set[name] }
		j.headers = set
		if !tell(j) {
			return false
		}
		i := 0
		for ; i < len(at); i++ {
			if at[i]++; at[i] < sizes[i] {
				break
			}
			at[i] = 0
		}
		if i == len(at) {
			return true
		}
	}
	return false
}

type valueSet []string

func (v *valueSet) add(s string) {
	if !slices.Contains(*v, s) {
		*v = append(*v, s)
	}
}

// DescribeJob says in words what a job is like, leaving out what it does not name.
func DescribeJob(names KnownNames, j *Job) string {
	parts := []string{j.Frontend}
	add := func(what, value string) {
		if value != "" {
			parts = append(parts, what+" "+value)
		}
	}
	if j.Class >= 0 && j.Class < len(names.Classes) {
		add("class", names.Classes[j.Class])
	} else {
		parts = append(parts, "no class")
	}
	if j.Tenant >= 0 && j.Tenant < len(names.Tenants) {
		add("tenant", names.Tenants[j.Tenant])
	}
	add("host", j.Host)
	add("path", j.Path)
	add("queue", j.Queue)
	add("type", j.JobType)
	add("key", j.RouteKey)
	if j.CostHint > 0 {
		add("cost", j.CostHint.String())
	}
	for _, name := range slices.Sorted(maps.Keys(j.headers)) {
		add("header "+name+":", j.headers[name])
	}
	return strings.Join(parts, ", ")
}

// String says the pools in their order, and when a job goes on to the next.
func (r *Route) String() string {
	if len(r.pools) == 1 {
		return r.pools[0].name
	}
	return fmt.Sprintf("%s (on when %s)", strings.Join(r.PoolNames(), ", then "), r.spillover)
}
