package ratelimit

import (
	"fmt"
	"math"
	"time"

	"moorstack/internal/cluster/rollout"
)

// Section is the name of the section of the group's document that configures rate limits.
const Section = "ratelimit"

// AccountIsTenant is the value of Policy.AccountHeader that makes each job's tenant its account.
const AccountIsTenant = "tenant"

// Limit bounds the jobs of an account, or of one class of its jobs, across all fronts: in every time window,
// at most Rate times the length of the window, plus Burst, are admitted.
type Limit struct {
	Rate  float64 // jobs per second
	Burst float64 // jobs; a whole number
	// FloorShare is the fraction of Rate and Burst, from 0 to 1, that is divided equally among the fronts as
	// their floors. A front can use its floor without reaching the authority.
	FloorShare float64
}

// Policy is the parsed rate limit section of the configuration.
type Policy struct {
	Version       uint64 // hash of the section's text; 0: there is no section, and nothing is limited
	AccountHeader string // header that contains a job's account, or AccountIsTenant
	TickInterval  time.Duration
	GrantDuration time.Duration // how long granted tokens last
	MaxFronts     int           // maximum number of fronts, among which floors are divided
	DefaultLimit  *Limit        // of accounts that have no limit of their own; nil: they are not limited
	AccountLimits map[string]Limit
	ClassLimits   map[Key]Limit
}

// Key identifies a bucket, either that of an account or that of one class of its jobs.
type Key struct {
	Account string
	Class   string // empty: all classes
}

// String returns the key as the section writes it: ACCOUNT or ACCOUNT@CLASS.
func (k Key) String() string {
	if k.Class == "" {
		return k.Account
	}
	return k.Account + "@" + k.Class
}

// LimitOf returns the limit of a key, and false if the key has none.
func (p *Policy) LimitOf(k Key) (Limit, bool) {
	if k.Class != "" {
		l, ok := p.ClassLimits[k]
		return l, ok
	}
	l, ok := p.AccountLimits[k.Account]
	if !ok && p.DefaultLimit != nil {
		return *p.DefaultLimit, true
	}
	return l, ok
}

// floorBurst returns the maximum number of tokens in each front's floor.
func (p *Policy) floorBurst(l Limit) float64 {
	if l.FloorShare <= 0 {
		return 0
	}
	return max(1, math.Floor(l.Burst*l.FloorShare/float64(p.MaxFronts)))
}

// floorRate returns the rate at which each front's floor fills, in tokens per second.
func (p *Policy) floorRate(l Limit) float64 { return l.Rate * l.FloorShare / float64(p.MaxFronts) }

// lendable returns the rate, in tokens per second, and the burst, in tokens, that remain for lending after
// all floors are deducted.
func (p *Policy) lendable(l Limit) (rate, burst float64) {
	return l.Rate * (1 - l.FloorShare), l.Burst - float64(p.MaxFronts)*p.floorBurst(l)
}

// grantExpiryWait returns how long after a grant was sent its tokens have certainly expired, at any rates of
// the authority's and the front's clocks within the bounds of package rollout.
func (p *Policy) grantExpiryWait() time.Duration { return rollout.ExpiryWait(p.GrantDuration) }

// Describe explains a limit to operators in one line.
func (p *Policy) Describe(l Limit) string {
	text := fmt.Sprintf("%.4g jobs/s with a burst of %.4g across all instances", l.Rate, l.Burst)
	if l.FloorShare <= 0 {
		return text + "; none at an instance that is cut off, and a first call is rejected with a retry time"
	}
	return text + fmt.Sprintf("; of that, %.3g jobs/s with a burst of %.4g are reserved for each of %d "+
		"instances, even when it is cut off", p.floorRate(l), p.floorBurst(l), p.MaxFronts)
}
