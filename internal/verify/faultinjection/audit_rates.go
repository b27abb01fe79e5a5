package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/ratelimit"
)

// rateSection returns the section of rate limits for a change: the given number of accounts, with lower
// and higher rates, with and without floors. Every second set has lower rates, so that rates are
// lowered while slices are in use, and raised again.
func rateSection(accounts, instances, set int) map[string]string {
	// Triggers without an account are subject to the default limit, and may all be at one instance.
	// A floor of the whole rate would leave that instance too small a share.
	section := map[string]string{"account": "X-Account", "tick": "50ms", "term": "500ms",
		"parts": strconv.Itoa(instances), "default": fmt.Sprintf("25/s burst=%d floor=0.3", 4*instances)}
	for n := range accounts {
		rate, burst := 10+20*(n%3), 4*instances
		if set%2 == 1 {
			rate, burst = rate/2, burst/2
		}
		floor := []string{"none", "0.3", "none", "equal"}[n%4]
		section[fmt.Sprintf("account.acct-%d", n)] = fmt.Sprintf("%d/s burst=%d floor=%s", rate, burst, floor)
	}
	if accounts > 1 {
		section["account.acct-1@trip-quote"] = fmt.Sprintf("%d/s burst=%d", 12+set%2, 2*instances)
	}
	return section
}

// rateAudit holds the results of an audit of rate limits.
type rateAudit struct {
	violations []string
	admitted   int
	// utilization is the fraction of the admissions allowed by the accounts' rates that took place,
	// from the first admission of each account to its last.
	utilization float64
	maxGap      time.Duration // between two admissions of an account that has its own limit
	accounts    int           // with at least one admission
}

// rateBucket identifies a bucket: a key to which a limit applies, in one version of the section.
type rateBucket struct {
	version uint64
	ratelimit.Key
}

// tokenLevel is a token bucket. Every admission at any instance removes a token from it.
type tokenLevel struct {
	limit     ratelimit.Limit
	tokens    float64
	first, at time.Duration // times of the first and the last admission
	admitted  int
	violated  bool
}

// tokenTolerance is the rounding error allowed in the tokens of a bucket.
const tokenTolerance = 1e-6

// rateAuditor processes the journals' entries on rate limits in their order.
type rateAuditor struct {
	rateAudit
	policies map[uint64]ratelimit.Policy
	versions map[string]uint64        // by instance: the version of the section that it applies
	latest   map[string]time.Duration // by account: the time of its last admission
	levels   map[rateBucket]*tokenLevel
}

// auditRates reports buckets that, in some period, admitted more at all instances together than their
// rate and burst allow.
//
// Instances write which version of the section they apply. Each version of a limit has its own bucket.
// auditPolicies checks that no instance admits jobs under one configuration after another instance has
// admitted jobs under a later one.
func auditRates(all []auditEntry, policies map[uint64]ratelimit.Policy) rateAudit {
	a := &rateAuditor{
		policies: policies,
		versions: map[string]uint64{},
		latest:   map[string]time.Duration{},
		levels:   map[rateBucket]*tokenLevel{},
	}
	for _, e := range all {
		switch e.event {
		case "start":
			a.versions[e.instance] = 0
		case "rates":
			a.versions[e.instance], _ = strconv.ParseUint(e.args, 10, 64)
		case "rate":
			a.recordAdmission(e)
		}
	}
	a.summarize()
	return a.rateAudit
}

func (a *rateAuditor) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// recordAdmission removes a token for an admission from the bucket of its account and from the bucket of
// its account and class.
func (a *rateAuditor) recordAdmission(e auditEntry) {
	account, rest, err := unquote(e.args)
	class, _, classErr := unquote(strings.TrimPrefix(rest, " "))
	if err != nil || classErr != nil {
		a.violate("%s: invalid journal entry on an admission of an account: %q", e.instance, e.args)
		return
	}
	version := a.versions[e.instance]
	a.admitted++
	if at, ok := a.latest[account]; ok && a.policies[version].AccountLimits[account].Rate > 0 {
		a.maxGap = max(a.maxGap, e.at-at)
	}
	a.latest[account] = e.at
	a.takeToken(e, rateBucket{version, ratelimit.Key{Account: account}})
	a.takeToken(e, rateBucket{version, ratelimit.Key{Account: account, Class: class}})
}

func (a *rateAuditor) takeToken(e auditEntry, b rateBucket) {
	policy, known := a.policies[b.version]
	if !known {
		a.violate("%s applies a version of the rate limits that was never proposed", e.instance)
		return
	}
	limit, limited := policy.LimitOf(b.Key)
	if !limited {
		return
	}
	l := a.levels[b]
	if l == nil {
		l = &tokenLevel{tokens: limit.Burst, at: e.at, first: e.at, limit: limit}
		a.levels[b] = l
	}
	l.admitted++
	l.tokens = min(limit.Burst, l.tokens+limit.Rate*(e.at-l.at).Seconds()) - 1
	if l.at = e.at; l.tokens < -tokenTolerance && !l.violated {
		l.violated = true
		a.violate("account %s: at %v %s admitted job %d, over the rate of %v/s and the burst of %v of all "+
			"instances", b.Key, e.at, e.instance, l.admitted, limit.Rate, limit.Burst)
	}
}

func (a *rateAuditor) summarize() {
	allowed, used := 0.0, 0
	for b, l := range a.levels {
		if b.Class == "" {
			allowed += l.limit.Rate * (l.at - l.first).Seconds()
			used += l.admitted
		}
	}
	a.accounts = len(a.latest)
	if allowed > 0 {
		a.utilization = float64(used) / allowed
	}
}

// unquote decodes the quoted string at the start of s, and returns it and the rest of s.
func unquote(s string) (text, rest string, err error) {
	q, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", err
	}
	text, err = strconv.Unquote(q)
	return text, s[len(q):], err
}
