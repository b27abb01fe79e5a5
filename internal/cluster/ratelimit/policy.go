package ratelimit

import (
	"fmt"
	"math"
	"time"

	"moorstack/internal/cluster/rollout"
)

// Section is the section of the agreed document that limits what accounts may send.
const Section = "ratelimit"

// AccountIsTenant is the value of Policy.AccountHeader by which a job's account is its tenant.
const AccountIsTenant = "tenant"

// Limit is what an account, or one class of its jobs, may send over all fronts: in every window at most Rate
// times its length, and Burst more.
type Limit struct {
	Rate  float64 // jobs a second
	Burst float64 // jobs, a whole number
	// FloorShare is the share of both, from 0 to 1, that fronts have in equal parts whatever else fails.
	FloorShare float64
}

// Policy is the section of the configuration.
type Policy struct {
	Version       uint64 // a hash of the section's text; 0: there is none, and nothing is limited
	AccountHeader string // the header that names a job's account, or AccountIsTenant
	TickInterval  time.Duration
	GrantDuration time.Duration // how long the tokens of a grant last
	MaxFronts     int           // how many fronts there may be: floors are divided by it
	DefaultLimit  *Limit        // of accounts that are not named; nil: they are not limited
	AccountLimits map[string]Limit
	ClassLimits   map[Key]Limit
}

// Key names a bucket: that of an account, or of one class of its jobs.
type Key struct {
	Account string
	Class   string // empty: all classes
}

// String is the key as the section spells it.
func (k Key) String() string {
	if k.Class == "" {
		return k.Account
	}
	return k.Account + "@" + k.Class
}

// LimitOf returns the limit of a key, if it has one.
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

// floorBurst is how many tokens each front may have in its floor.
func (p *Policy) floorBurst(l Limit) float64 {
	if l.FloorShare <= 0 {
		return 0
	}
	return max(1, math.Floor(l.Burst*l.FloorShare/float64(p.MaxFronts)))
}

// floorRate is how many tokens each front's floor gets a second.
func (p *Policy) floorRate(l Limit) float64 { return l.Rate * l.FloorShare / float64(p.MaxFronts) }

// lendable is what remains, above all floors, to be lent: tokens a second, and tokens.
func (p *Policy) lendable(l Limit) (rate, burst float64) {
	return l.Rate * (1 - l.FloorShare), l.Burst - float64(p.MaxFronts)*p.floorBurst(l)
}

// grantExpiryWait is how long after a grant was sent its tokens have surely expired, whatever the rates of
// the two clocks are.
func (p *Policy) grantExpiryWait() time.Duration { return rollout.ExpiryWait(p.GrantDuration) }

// Describe explains a limit to operators, in one line.
func (p *Policy) Describe(l Limit) string {
	text := fmt.Sprintf("%.4g a second and %.4g at once over all instances", l.Rate, l.Burst)
	if l.FloorShare <= 0 {
		return text + "; nothing at one that is cut off, and a first call is told to come back"
	}
	return text + fmt.Sprintf("; of that %.3g a second and %.4g at once at each of %d, also when it is "+
		"cut off", p.floorRate(l), p.floorBurst(l), p.MaxFronts)
}
