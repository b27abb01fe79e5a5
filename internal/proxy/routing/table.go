package routing

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"moorstack/balancer"
)

// noClass is the class of a job or a rule that does not name one.
const noClass = -1

// Job holds the properties of a job that rules can refer to.
type Job struct {
	Front        string // FrontHTTP or FrontFaktory
	Class        int    // negative: the job does not name one
	Tenant       int    // negative: the job does not name one
	Host         string
	Path         string
	Header       func(name string) string // nil: the job has no headers
	RouteKey     string
	ExpectedWork time.Duration
	Queue        string
	JobType      string
	ID           string

	headers map[string]string // the same headers, for DescribeJob
}

// Decision is the result of applying the rules to a job.
type Decision struct {
	Rule           *Rule          // nil: no rule matched, and only the balancer decides
	Class          int            // the job's or else the rule's; negative: none
	RejectReason   string         // empty: the job is not rejected
	RetryAfter     time.Duration  // with RejectReason
	Route          balancer.Route // nil: any worker
	MaxAttempts    int            // 0: the class's limit
	AttemptTimeout time.Duration  // 0: the job's timeout
}

// Rule is a compiled rule.
type Rule struct {
	Number   int // from 1, in the file's order
	Name     string
	Position Position

	spec        *RuleSpec
	class       int // noClass: the rule does not set one
	preferred   *Route
	split       []*Route // by index of spec.Split
	totalWeight int      // sum of the split's weights
	headers     []headerMatch
	minWork     time.Duration
	workBelow   time.Duration // 0: no limit
}

// headerMatch requires a header with the given value, or with any value if that is anyValue.
type headerMatch struct{ name, value string }

// Table holds the compiled rules of a file.
type Table struct {
	rules []*Rule
	pools map[string]*pool
	index index
}

// Rules returns the rules in the order of the file.
func (t *Table) Rules() []*Rule { return t.rules }

// RuleByName returns the rule with the given name, or nil.
func (t *Table) RuleByName(name string) *Rule {
	for _, r := range t.rules {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// HasPool reports whether there is a pool with the given name.
func (t *Table) HasPool(name string) bool { return t.pools[name] != nil }

// PoolContains reports whether the named pool exists and contains the worker.
func (t *Table) PoolContains(name string, w *balancer.Worker) bool {
	return t.pools[name] != nil && t.pools[name].contains(w)
}

// Decide returns the decision of the first rule that matches the job. Without such a rule, only Class is set.
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

// route returns the rule's route for the job, or nil. A split maps the same key always to the same route.
func (r *Rule) route(j *Job) *Route {
	if len(r.split) == 0 {
		return r.preferred
	}
	key := j.RouteKey
	switch r.spec.SplitBy {
	case SplitByTenant:
		key = strconv.Itoa(j.Tenant)
	case SplitByID:
		key = j.ID
	}
	if key == "" {
		key = j.ID
	}
	h := fnv.New64a()
	h.Write([]byte(r.Name)) // so that different rules split the same keys independently
	h.Write([]byte{0})
	h.Write([]byte(key))
	at := int(mixHash(h.Sum64()) % uint64(r.totalWeight))
	for i, part := range r.spec.Split {
		if at -= part.Weight; at < 0 {
			return r.split[i]
		}
	}
	return r.preferred
}

// mixHash improves the distribution of a hash's low bits. It is the finalizer of MurmurHash3.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// matchesUnindexed checks the conditions that are not part of the index.
func (r *Rule) matchesUnindexed(j *Job) bool {
	for _, h := range r.headers {
		value := ""
		if j.Header != nil {
			value = j.Header(h.name)
		}
		if value == "" || h.value != anyValue && value != h.value {
			return false
		}
	}
	if j.ExpectedWork < r.minWork || r.workBelow > 0 && j.ExpectedWork >= r.workBelow {
		return false
	}
	return strings.HasPrefix(j.RouteKey, r.spec.Match.RouteKeyPrefix)
}
