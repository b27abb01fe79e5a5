package routing

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"moorstack/balancer"
)

// noClass is the class of a job, or a rule, that names none.
const noClass = -1

// Job is what rules can know of a job.
type Job struct {
	Front        string // FrontHTTP or FrontFaktory
	Class        int    // below 0: it names none
	Tenant       int    // below 0: it names none
	Host         string
	Path         string
	Header       func(name string) string // nil: it has none
	RouteKey     string
	ExpectedWork time.Duration
	Queue        string
	JobType      string
	ID           string

	headers map[string]string // what Header returns, for DescribeJob
}

// Decision is what the rules decide about a job.
type Decision struct {
	Rule           *Rule          // nil: none matched, and the balancer alone decides
	Class          int            // the job's, or the rule's for a job that names none; below 0: none
	RejectReason   string         // empty: the job is not rejected
	RetryAfter     time.Duration  // with RejectReason
	Route          balancer.Route // nil: any worker
	MaxAttempts    int            // 0: the class's
	AttemptTimeout time.Duration  // 0: the job's
}

// Rule is a compiled rule.
type Rule struct {
	Number   int // from 1, in the file's order
	Name     string
	Position Position

	spec        *RuleSpec
	class       int // noClass: it gives none
	preferred   *Route
	split       []*Route // by the index in spec.Split
	totalWeight int      // of the split
	headers     []headerMatch
	minWork     time.Duration
	workBelow   time.Duration // 0: no limit
}

// headerMatch is a header that a job must have, with a value or anyValue.
type headerMatch struct{ name, value string }

// Table is the compiled rules of a file.
type Table struct {
	rules []*Rule
	pools map[string]*pool
	index index
}

// Rules returns the rules in their order.
func (t *Table) Rules() []*Rule { return t.rules }

// RuleByName returns a rule; nil: there is none of that name.
func (t *Table) RuleByName(name string) *Rule {
	for _, r := range t.rules {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// HasPool reports whether there is a pool of that name.
func (t *Table) HasPool(name string) bool { return t.pools[name] != nil }

// PoolContains reports whether a worker is in a pool.
func (t *Table) PoolContains(name string, w *balancer.Worker) bool {
	return t.pools[name] != nil && t.pools[name].contains(w)
}

// Decide returns the decision of the first rule that matches the job.
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

// route returns the rule's route for the job: a split always gives the same route for the same key.
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
	h.Write([]byte(r.Name)) // two splits must not split the same keys in the same way
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

// mixHash spreads a hash whose low bits may be poor (the finalizer of MurmurHash3).
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// matchesUnindexed checks the conditions that the index does not have.
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
