package routing

import (
	"math/bits"
	"slices"
	"strings"
)

// index finds the rules that may match a job. Its bit sets have one bit for each rule, so a lookup processes
// 64 rules with each word.
type index struct {
	wordCount int
	all       []uint64 // the set of all rules

	classes           dimension[int]
	tenants           dimension[int]
	fronts            dimension[string]
	queues            dimension[string]
	jobTypes          dimension[string]
	hosts             dimension[string] // host names, and ".example.org" for subdomains of example.org
	pathPrefixes      dimension[string]
	pathPrefixLengths []int // distinct, ascending
}

// dimension is the index of one property. For each value that a rule names, it holds the set of rules that
// match the value. Any other value matches only the rules that name no value of this property.
type dimension[K comparable] struct {
	any   []uint64       // rules that name no value
	named map[K][]uint64 // by value; includes the rules in any
	used  bool           // at least one rule names a value
}

func (d *dimension[K]) bitsFor(k K, word int) uint64 {
	if set, ok := d.named[k]; ok {
		return set[word]
	}
	return d.any[word]
}

func (t *Table) buildIndex(names KnownNames) {
	x := &t.index
	x.wordCount = (len(t.rules) + 63) / 64
	x.all = make([]uint64, x.wordCount)
	for i := range t.rules {
		x.all[i/64] |= 1 << (i % 64)
	}
	indexIn := func(known []string) func(string) int {
		return func(name string) int { return slices.Index(known, name) } // "" becomes -1, for none
	}
	identity := func(s string) string { return s }
	withoutStar := func(host string) string { return strings.TrimPrefix(host, "*") }
	buildDimension(t, &x.classes, func(m *MatchSpec) []string { return m.Classes }, indexIn(names.Classes))
	buildDimension(t, &x.tenants, func(m *MatchSpec) []string { return m.Tenants }, indexIn(names.Tenants))
	buildDimension(t, &x.fronts, func(m *MatchSpec) []string { return m.Fronts }, identity)
	buildDimension(t, &x.queues, func(m *MatchSpec) []string { return m.Queues }, identity)
	buildDimension(t, &x.jobTypes, func(m *MatchSpec) []string { return m.JobTypes }, identity)
	buildDimension(t, &x.hosts, func(m *MatchSpec) []string { return m.Hosts }, withoutStar)
	buildDimension(t, &x.pathPrefixes, func(m *MatchSpec) []string { return m.PathPrefixes }, identity)
	for p := range x.pathPrefixes.named {
		if !slices.Contains(x.pathPrefixLengths, len(p)) {
			x.pathPrefixLengths = append(x.pathPrefixLengths, len(p))
		}
	}
	slices.Sort(x.pathPrefixLengths)
}

func buildDimension[K comparable](t *Table, d *dimension[K], values func(*MatchSpec) []string,
	key func(string) K) {
	d.any, d.named = make([]uint64, t.index.wordCount), map[K][]uint64{}
	for i, r := range t.rules {
		if len(values(&r.spec.Match)) == 0 {
			d.any[i/64] |= 1 << (i % 64)
		}
	}
	for i, r := range t.rules {
		for _, v := range values(&r.spec.Match) {
			d.used = true
			k := key(v)
			if d.named[k] == nil {
				d.named[k] = slices.Clone(d.any)
			}
			d.named[k][i/64] |= 1 << (i % 64)
		}
	}
}

// match returns the first rule that matches the job, or nil. The index finds candidates; the conditions that
// are not indexed are checked for each of them, in the order of the rules.
func (t *Table) match(j *Job) *Rule {
	x := &t.index
	host := j.Host
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for w := range x.wordCount {
		candidates := x.all[w]
		if x.classes.used {
			candidates &= x.classes.bitsFor(j.Class, w)
		}
		if x.tenants.used {
			candidates &= x.tenants.bitsFor(j.Tenant, w)
		}
		if x.fronts.used {
			candidates &= x.fronts.bitsFor(j.Front, w)
		}
		if x.queues.used {
			candidates &= x.queues.bitsFor(j.Queue, w)
		}
		if x.jobTypes.used {
			candidates &= x.jobTypes.bitsFor(j.JobType, w)
		}
		if candidates != 0 && x.hosts.used {
			candidates &= x.hostBits(host, w)
		}
		if candidates != 0 && x.pathPrefixes.used {
			candidates &= x.pathBits(j.Path, w)
		}
		for ; candidates != 0; candidates &= candidates - 1 {
			if r := t.rules[w*64+bits.TrailingZeros64(candidates)]; r.matchesUnindexed(j) {
				return r
			}
		}
	}
	return nil
}

// hostBits returns the rules that match the host itself or one of its parent domains.
func (x *index) hostBits(host string, word int) uint64 {
	set := x.hosts.bitsFor(host, word)
	for i := 0; i < len(host); i++ {
		if host[i] == '.' {
			set |= x.hosts.bitsFor(host[i:], word)
		}
	}
	return set
}

// pathBits returns the rules that match a prefix of the path.
func (x *index) pathBits(path string, word int) uint64 {
	set := x.pathPrefixes.any[word]
	for _, n := range x.pathPrefixLengths {
		if n <= len(path) {
			set |= x.pathPrefixes.bitsFor(path[:n], word)
		}
	}
	return set
}
