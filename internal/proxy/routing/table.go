package routing

import (
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"
	"strings"
	"time"

	"moorstack/balancer"
)

// Job is what rules can know of a job.
type Job struct {
	Frontend string // http or faktory
	Class    int    // below 0: it names none
	Tenant   int    // below 0: it names none
	Host     string
	Path     string
	Header   func(name string) string // nil: it has none
	RouteKey string
	CostHint time.Duration
	Queue    string
	JobType  string
	ID       string

	headers map[string]string // what Header gives, for Describe
}

// Decision is what the rules say of a job.
type Decision struct {
	Rule           *Rule // nil: none matched, and the job goes where the balancer decides
	Class          int   // the job's, or the rule's for one that names none
	RejectReason   string
	RetryAfter     time.Duration
	Route          balancer.Route // nil: any worker
	MaxAttempts    int            // 0: the class's
	AttemptTimeout time.Duration
}

// Rule is a compiled rule.
type Rule struct {
	Number   int // from 1, in the file's order
	Name     string
	Position Position

	spec        *RuleSpec
	class       int // below 0: gives none
	preferred   *Route
	split       []*Route // by the place in spec.Split
	totalWeight int
	headers     [][2]string
	minCost     time.Duration
	costBelow   time.Duration
}

// Table is all rules, with an index over them.
type Table struct {
	rules     []*Rule
	pools     map[string]*pool
	wordCount int

	all               []uint64 // every rule
	classes           dimension[int]
	tenants           dimension[int]
	frontends         dimension[string]
	queues            dimension[string]
	jobTypes          dimension[string]
	hosts             dimension[string] // whole hosts, and ".example.org" for what is below
	pathPrefixes      dimension[string]
	pathPrefixLengths []int // of the path prefixes, each once
}

// dimension knows, for each value that some rule names, the rules that the value fits. A
// value that none names fits those that ask for nothing.
type dimension[K comparable] struct {
	any   []uint64
	named map[K][]uint64 // with any's
	used  bool
}

// Rules gives the rules in their order.
func (t *Table) Rules() []*Rule { return t.rules }

// Decide finds the first rule that matches the job and says what it says.
func (t *Table) Decide(j *Job) Decision {
	d := Decision{Class: j.Class}
	r := t.match(j)
	if r == nil {
		return d
	}
	d.Rule, d.MaxAttempts, d.AttemptTimeout = r, r.spec.MaxAttempts, time.Duration(r.spec.AttemptTimeout)
	if d.Class < 0 {
		d.Class = r.class
	}
	if r.spec.RejectReason != "" {
		d.RejectReason, d.RetryAfter = r.spec.RejectReason, time.Duration(r.spec.RetryAfter)
		return d
	}
	if route := r.route(j); route != nil {
		d.Route = route
	}
	return d
}

// route is the rule's route for the job: a split sends the same key the same way always.
func (r *Rule) route(j *Job) *Route {
	if len(r.split) == 0 {
		return r.preferred
	}
	key := j.RouteKey
	switch r.spec.SplitBy {
	case "tenant":
		key = fmt.Sprint(j.Tenant)
	case "id":
		key = j.ID
	}
	if key == "" {
		key = j.ID
	}
	h := fnv.New64a()
	h.Write([]byte(r.Name)) // two splits must not send the same keys
	h.Write([]byte{0})
	h.Write([]byte(key))
	at := int(mixHash(h.Sum64()) % uint64(r.totalWeight))
	for i, s := range r.spec.Split {
		if at -= s.Weight; at < 0 {
			return r.split[i]
		}
	}
	return r.preferred
}

// mixHash spreads a hash whose low bits may be poor (the finalizer of MurmurHash3).
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// match finds the first rule that fits. The index leaves those that fit by class, tenant,
// front, queue, type, host and path; what is left is asked one after the other.
func (t *Table) match(j *Job) *Rule {
	host := j.Host
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for w := range t.wordCount {
		left := t.all[w]
		if t.classes.used {
			left &= t.classes.bitsFor(j.Class, w)
		}
		if t.tenants.used {
			left &= t.tenants.bitsFor(j.Tenant, w)
		}
		if t.frontends.used {
			left &= t.frontends.bitsFor(j.Frontend, w)
		}
		if t.queues.used {
			left &= t.queues.bitsFor(j.Queue, w)
		}
		if t.jobTypes.used {
			left &= t.jobTypes.bitsFor(j.JobType, w)
		}
		if left != 0 && t.hosts.used {
			left &= t.hostBits(host, w)
		}
		if left != 0 && t.pathPrefixes.used {
			left &= t.pathBits(j.Path, w)
		}
		for ; left != 0; left &= left - 1 {
			if r := t.rules[w*64+bits.TrailingZeros64(left)]; r.matchesUnindexed(j) {
				return r
			}
		}
	}
	return nil
}

func (d *dimension[K]) bitsFor(k K, word int) uint64 {
	if set, ok := d.named[k]; ok {
		return set[word]
	}
	return d.any[word]
}

// hostBits joins the rules that fit the host itself and each domain above it.
func (t *Table) hostBits(host string, w int) uint64 {
	set := t.hosts.bitsFor(host, w)
	for i := 0; i < len(host); i++ {
		if host[i] == '.' {
			set |= t.hosts.bitsFor(host[i:], w)
		}
	}
	return set
}

func (t *Table) pathBits(path string, w int) uint64 {
	set := t.pathPrefixes.any[w]
	for _, n := range t.pathPrefixLengths {
		if n <= len(path) {
			set |= t.pathPrefixes.bitsFor(path[:n], w)
		}
	}
	return set
}

// matchesUnindexed asks what the index does not know.
func (r *Rule) matchesUnindexed(j *Job) bool {
	for _, h := range r.headers {
		got := ""
		if j.Header != nil {
			got = j.Header(h[0])
		}
		if got == "" || h[1] != "*" && got != h[1] {
			return false
		}
	}
	if j.CostHint < r.minCost || r.costBelow > 0 && j.CostHint >= r.costBelow {
		return false
	}
	return strings.HasPrefix(j.RouteKey, r.spec.Match.RouteKeyPrefix)
}

// pool is a compiled set of workers.
type pool struct {
	name         string
	zones, kinds []bool // by number; nil: any
	cells        []int
	labels       []string
}

func (p *pool) contains(w *balancer.Worker) bool {
	if p.zones != nil && (w.Zone < 0 || w.Zone >= len(p.zones) || !p.zones[w.Zone]) {
		return false
	}
	if p.kinds != nil && (w.Kind < 0 || w.Kind >= len(p.kinds) || !p.kinds[w.Kind]) {
		return false
	}
	if p.cells != nil && !slices.Contains(p.cells, w.Cell) {
		return false
	}
	for _, l := range p.labels {
		if !slices.Contains(w.Labels, l) {
			return false
		}
	}
	return true
}

// Route is an order of pools. It is balancer's Route: a worker that is in several stands
// where it is wanted most.
type Route struct {
	pools     []*pool
	spillover string
}

var _ balancer.Route = (*Route)(nil)

// TierCount implements balancer.Route.
func (r *Route) TierCount() int { return len(r.pools) }

// Tier implements balancer.Route.
func (r *Route) Tier(w *balancer.Worker) int {
	for i, p := range r.pools {
		if p.contains(w) {
			return i
		}
	}
	return -1
}

// SpillsOver implements balancer.Route.
func (r *Route) SpillsOver(_ int, busy bool) bool {
	return r.spillover == "busy" || r.spillover == "empty" && !busy
}

// PoolNames names the pools, the most wanted first.
func (r *Route) PoolNames() []string {
	names := make([]string, len(r.pools))
	for i, p := range r.pools {
		names[i] = p.name
	}
	return names
}

// HasPool says whether there is a pool of that name.
func (t *Table) HasPool(name string) bool { return t.pools[name] != nil }

// PoolContains says whether a worker is in a pool.
func (t *Table) PoolContains(name string, w *balancer.Worker) bool {
	return t.pools[name] != nil && t.pools[name].contains(w)
}

// RuleByName finds a rule.
func (t *Table) RuleByName(name string) *Rule {
	for _, r := range t.rules {
		if r.Name == name {
			return r
		}
	}
	return nil
}
