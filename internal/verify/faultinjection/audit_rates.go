package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/ratelimit"
)

// rateSection is the section on rates that the rig agrees on: as many accounts as wanted, of small and of
// larger rates, with and without floors. Every second set has lower ones, so that rates are lowered while
// slices are out, and raised again.
func rateSection(accounts, instances, set int) map[string]string {
	// Triggers without an account go by the default, and all of them may be at one instance: a floor of all
	// of it would leave that one too little.
	words := map[string]string{"account": "X-Account", "tick": "50ms", "term": "500ms",
		"parts": strconv.Itoa(instances), "default": fmt.Sprintf("25/s burst=%d floor=0.3", 4*instances)}
	for n := range accounts {
		rate, burst := 10+20*(n%3), 4*instances
		if set%2 == 1 {
			rate, burst = rate/2, burst/2
		}
		floor := []string{"none", "0.3", "none", "equal"}[n%4]
		words[fmt.Sprintf("account.acct-%d", n)] = fmt.Sprintf("%d/s burst=%d floor=%s", rate, burst, floor)
	}
	if accounts > 1 {
		words["account.acct-1@trip-quote"] = fmt.Sprintf("%d/s burst=%d", 12+set%2, 2*instances)
	}
	return words
}

// rateAudit is what an audit of rates has found.
type rateAudit struct {
	violations []string
	admitted   int
	// utilization is the part of what the accounts' rates allow that was admitted, from each one's first
	// admission to its last.
	utilization float64
	maxGap      time.Duration // the longest between two admissions of an account that has a line of its own
	// accounts is how many were admitted something.
	accounts int
}

// auditRates looks, for each bucket, for a window in which more was admitted at all instances together
// than the rate and the burst allow: what a bucket that each admission takes a job from does not have.
//
// Instances say by which words on rates they admit. A rate that is changed is another bucket: no instance
// admits under one configuration after another has under a later one, which auditPolicies looks at.
func auditRates(all []auditEntry, policies map[uint64]ratelimit.Policy) (r rateAudit) {
	type bucket struct {
		version uint64
		ratelimit.Key
	}
	type level struct {
		jobs      float64
		at, first time.Duration
		n         int
		limit     ratelimit.Limit
		wrong     bool
	}
	runs, latest := map[string]uint64{}, map[string]time.Duration{}
	levels := map[bucket]*level{}
	take := func(e auditEntry, b bucket) {
		p, known := policies[b.version]
		if !known {
			r.violations = append(r.violations,
				fmt.Sprintf("%s admits by words on rates that nobody has agreed on", e.instance))
			return
		}
		limit, limited := p.LimitOf(b.Key)
		if !limited {
			return
		}
		l := levels[b]
		if l == nil {
			l = &level{jobs: limit.Burst, at: e.at, first: e.at, limit: limit}
			levels[b] = l
		}
		l.n++
		l.jobs = min(limit.Burst, l.jobs+limit.Rate*(e.at-l.at).Seconds()) - 1
		if l.at = e.at; l.jobs < -1e-6 && !l.wrong {
			l.wrong = true
			r.violations = append(
				r.violations,
				fmt.Sprintf("account %s: at %v %s admitted job %d, beyond %v a "+
					"second and %v at once over all instances", b.Key, e.at, e.instance, l.n, limit.Rate,
					limit.Burst),
			)
		}
	}
	for _, e := range all {
		switch e.event {
		case "start":
			runs[e.instance] = 0
		case "rates":
			runs[e.instance], _ = strconv.ParseUint(e.args, 10, 64)
		case "rate":
			account, rest, err := unquote(e.args)
			class, _, err2 := unquote(strings.TrimPrefix(rest, " "))
			if err != nil || err2 != nil {
				r.violations = append(r.violations,
					fmt.Sprintf("%s: %q is no admission of an account", e.instance, e.args))
				continue
			}
			r.admitted++
			if at, ok := latest[account]; ok && policies[runs[e.instance]].AccountLimits[account].Rate > 0 {
				r.maxGap = max(r.maxGap, e.at-at)
			}
			latest[account] = e.at
			take(e, bucket{runs[e.instance], ratelimit.Key{Account: account}})
			take(e, bucket{runs[e.instance], ratelimit.Key{Account: account, Class: class}})
		}
	}
	allowed, used := 0.0, 0
	for b, l := range levels {
		if b.Class == "" {
			allowed += l.limit.Rate * (l.at - l.first).Seconds()
			used += l.n
		}
	}
	r.accounts = len(latest)
	if allowed > 0 {
		r.utilization = float64(used) / allowed
	}
	return r
}

func unquote(s string) (text, rest string, err error) {
	q, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", err
	}
	text, err = strconv.Unquote(q)
	return text, s[len(q):], err
}
