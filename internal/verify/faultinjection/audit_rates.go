package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/ratelimit"
)

// rateSection is the rate limits' section of a change: as many accounts as wanted, of small and of
// larger rates, with and without floors. Every second set has lower ones, so that rates are lowered
// while slices are handed out, and raised again.
func rateSection(accounts, instances, set int) map[string]string {
	// Triggers without an account go by the default, and all of them may be at one instance: a
	// floor of the whole rate would leave that one too little.
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

// rateAudit is what an audit of rates has found.
type rateAudit struct {
	violations []string
	admitted   int
	// utilization is the part of what the accounts' rates allow that was admitted, from each one's
	// first admission to its last.
	utilization float64
	maxGap      time.Duration // between two admissions of an account that has a line of its own
	accounts    int           // with an admission
}

// rateBucket is what one limit of one version of the section applies to.
type rateBucket struct {
	version uint64
	ratelimit.Key
}

// tokenLevel is a token bucket that every admission at any instance takes a token from.
type tokenLevel struct {
	limit     ratelimit.Limit
	tokens    float64
	first, at time.Duration // the first admission and the last
	admitted  int
	violated  bool
}

// tokenTolerance is what rounding may take from a token bucket.
const tokenTolerance = 1e-6

// rateAuditor reads the journals' entries on rates in their order.
type rateAuditor struct {
	rateAudit
	policies map[uint64]ratelimit.Policy
	versions map[string]uint64        // by instance: by which version it admits
	latest   map[string]time.Duration // by account: its last admission
	levels   map[rateBucket]*tokenLevel
}

// auditRates looks, for each bucket, for a window in which more was admitted at all instances together
// than the rate and the burst allow.
//
// Instances write by which version of the section they admit. A rate that is changed is another
// bucket: that no instance admits under one configuration after another has under a later one is
// what auditPolicies looks at.
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
			a.admission(e)
		}
	}
	a.summarize()
	return a.rateAudit
}

func (a *rateAuditor) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// admission takes a token for an admission from its account's bucket and from that of its account
// and class.
func (a *rateAuditor) admission(e auditEntry) {
	account, rest, err := unquote(e.args)
	class, _, classErr := unquote(strings.TrimPrefix(rest, " "))
	if err != nil || classErr != nil {
		a.violate("%s: %q is no admission of an account", e.instance, e.args)
		return
	}
	version := a.versions[e.instance]
	a.admitted++
	if at, ok := a.latest[account]; ok && a.policies[version].AccountLimits[account].Rate > 0 {
		a.maxGap = max(a.maxGap, e.at-at)
	}
	a.latest[account] = e.at
	a.take(e, rateBucket{version, ratelimit.Key{Account: account}})
	a.take(e, rateBucket{version, ratelimit.Key{Account: account, Class: class}})
}

func (a *rateAuditor) take(e auditEntry, b rateBucket) {
	policy, known := a.policies[b.version]
	if !known {
		a.violate("%s admits by words on rates that nobody has agreed on", e.instance)
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
		a.violate("account %s: at %v %s admitted job %d, beyond %v a second and %v at once over all "+
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

// unquote reads the quoted string that a text begins with, and gives the rest of the text.
func unquote(s string) (text, rest string, err error) {
	q, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", err
	}
	text, err = strconv.Unquote(q)
	return text, s[len(q):], err
}
