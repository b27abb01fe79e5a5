package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Section is the name of the section of the agreed document that holds a Policy.
const Section = "rollout"

// IsolationMode is what instances do that are cut off from the leader.
type IsolationMode string

// The isolation modes, as the key cut_off names them.
const (
	// StopAtLeaseExpiry: an instance that can't renew its lease stops admitting jobs, and changes are
	// committed without it.
	StopAtLeaseExpiry IsolationMode = "lease"
	// KeepServing: an instance that is cut off continues to serve, and a change that it has not staged is
	// withdrawn.
	KeepServing IsolationMode = "serve"
)

// Policy is how changes take effect: a section of the agreed document.
type Policy struct {
	WhenIsolated IsolationMode
	Lease        time.Duration // 0: defaultLeaseTicks ticks
	// StagingTimeout is how long instances may take to stage a change before it is withdrawn.
	StagingTimeout time.Duration
	// MaxAdmissionPause is how long admission stays closed for a change before it is reopened without a
	// commit.
	MaxAdmissionPause time.Duration
}

// Defaults and bounds of the section's values.
const (
	defaultStagingTimeout    = 20 * time.Second
	defaultMaxAdmissionPause = 500 * time.Millisecond
	minLease                 = 50 * time.Millisecond
	minStagingTimeout        = 100 * time.Millisecond
	minMaxAdmissionPause     = 10 * time.Millisecond
	maxDuration              = time.Hour
)

// Durations in ticks of the consensus protocol, which depend on the instances' settings.
const (
	// minLeaseTicks is the shortest lease, in ticks: leases are renewed with the ticks.
	minLeaseTicks          = 5
	defaultLeaseTicks      = 10
	minAdmissionPauseTicks = 3
)

// ParsePolicy decodes the section's values. It returns one problem for each key that is unknown or has an
// invalid value, or one for values that contradict each other.
//
// Hazard: the problems are part of the replicated state, so their texts must not change.
func ParsePolicy(values map[string]string) (p Policy, problems []string) {
	p = Policy{WhenIsolated: StopAtLeaseExpiry, StagingTimeout: defaultStagingTimeout,
		MaxAdmissionPause: defaultMaxAdmissionPause}
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	parse := func(key, text string, into *time.Duration, shortest time.Duration) {
		v, err := time.ParseDuration(text)
		if err != nil || v < shortest || v > maxDuration {
			report("%s: %q is not a time from %v to %v, as in \"1s\"", key, text, shortest, maxDuration)
			return
		}
		*into = v
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		switch key {
		case "cut_off":
			p.WhenIsolated = IsolationMode(text)
			if p.WhenIsolated != StopAtLeaseExpiry && p.WhenIsolated != KeepServing {
				report("cut_off: %q is not %s or %s", text, StopAtLeaseExpiry, KeepServing)
			}
		case "lease":
			parse(key, text, &p.Lease, minLease)
		case "stage_within":
			parse(key, text, &p.StagingTimeout, minStagingTimeout)
		case "hold_within":
			parse(key, text, &p.MaxAdmissionPause, minMaxAdmissionPause)
		default:
			report("%q is no key of this section; cut_off, lease, stage_within and hold_within are", key)
		}
	}
	if len(problems) == 0 && p.Lease > 0 && p.WhenIsolated == StopAtLeaseExpiry &&
		p.StagingTimeout < ExpiryWait(p.Lease) {
		report("stage_within: %v is less than the %v after which a lease of %v has surely run out",
			p.StagingTimeout, ExpiryWait(p.Lease).Round(time.Millisecond), p.Lease)
	}
	return p, problems
}

// WithDefaults returns the policy with the values filled in that depend on the duration of a tick.
func (p Policy) WithDefaults(tick time.Duration) Policy {
	if p.Lease == 0 {
		p.Lease = defaultLeaseTicks * tick
		p.StagingTimeout = max(p.StagingTimeout, 2*ExpiryWait(p.Lease))
	}
	p.MaxAdmissionPause = max(p.MaxAdmissionPause, minAdmissionPauseTicks*tick)
	return p
}

// CheckTick returns an error if an instance whose ticks have that duration can't keep the policy.
func (p Policy) CheckTick(tick time.Duration) error {
	if p.Lease > 0 && p.Lease < minLeaseTicks*tick {
		return fmt.Errorf("a lease of %v is shorter than %d ticks of %v", p.Lease, minLeaseTicks, tick)
	}
	return nil
}

// Bounds of the rates of instances' clocks: each may advance by 0.6 to 1.4 seconds in a second. Beyond them,
// a lease may be taken for expired that is not.
const (
	slowestClockRate = 0.6
	fastestClockRate = 1.4
	// roundingMargin covers the rounding of durations, with one more millisecond for very short leases.
	roundingMargin = 1.05
)

// ExpiryWait returns how long after it was granted a lease has surely expired, at any rates of the leader's
// and the holder's clocks within the bounds.
func ExpiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*fastestClockRate/slowestClockRate*roundingMargin) + time.Millisecond
}
