package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Section is the name of the document section that contains the Policy.
const Section = "rollout"

// IsolationMode determines what instances do while they are isolated from the leader.
type IsolationMode string

// The isolation modes, as values of the key cut_off.
const (
	// StopAtLeaseExpiry: an instance that can't renew its lease stops admitting jobs, and changes are
	// committed without it.
	StopAtLeaseExpiry IsolationMode = "lease"
	// KeepServing: an isolated instance continues to serve, and a change that it has not staged is withdrawn.
	KeepServing IsolationMode = "serve"
)

// Policy configures the rollout of changes. It is a section of the group's document.
type Policy struct {
	WhenIsolated IsolationMode
	Lease        time.Duration // 0: defaultLeaseTicks ticks (see WithDefaults)
	// StagingTimeout is how long instances may take to stage a change. After that the change is withdrawn.
	StagingTimeout time.Duration
	// MaxAdmissionPause is how long admission may stay closed for a change. After that it is reopened without
	// a commit.
	MaxAdmissionPause time.Duration
}

// Defaults and bounds of the values in the section.
const (
	defaultStagingTimeout    = 20 * time.Second
	defaultMaxAdmissionPause = 500 * time.Millisecond
	minLease                 = 50 * time.Millisecond
	minStagingTimeout        = 100 * time.Millisecond
	minMaxAdmissionPause     = 10 * time.Millisecond
	maxDuration              = time.Hour
)

// Durations in ticks of the consensus protocol. The duration of a tick is a setting of the instances.
const (
	// minLeaseTicks is the shortest lease. Leases are renewed on ticks, so a lease must last several of them.
	minLeaseTicks          = 5
	defaultLeaseTicks      = 10
	minAdmissionPauseTicks = 3
)

// ParsePolicy decodes the values of the section. It returns a problem for each key that is unknown or has an
// invalid value; if there is none, it returns a problem if the values contradict each other.
//
// The problems become part of the replicated state, so their texts must not change.
func ParsePolicy(values map[string]string) (p Policy, problems []string) {
	p = Policy{WhenIsolated: StopAtLeaseExpiry, StagingTimeout: defaultStagingTimeout,
		MaxAdmissionPause: defaultMaxAdmissionPause}
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	parseDuration := func(key, text string, dst *time.Duration, minimum time.Duration) {
		v, err := time.ParseDuration(text)
		if err != nil || v < minimum || v > maxDuration {
			add("%s: %q is not a time from %v to %v, as in \"1s\"", key, text, minimum, maxDuration)
			return
		}
		*dst = v
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		switch key {
		case "cut_off":
			p.WhenIsolated = IsolationMode(text)
			if p.WhenIsolated != StopAtLeaseExpiry && p.WhenIsolated != KeepServing {
				add("cut_off: %q is not %s or %s", text, StopAtLeaseExpiry, KeepServing)
			}
		case "lease":
			parseDuration(key, text, &p.Lease, minLease)
		case "stage_within":
			parseDuration(key, text, &p.StagingTimeout, minStagingTimeout)
		case "hold_within":
			parseDuration(key, text, &p.MaxAdmissionPause, minMaxAdmissionPause)
		default:
			add("%q is no key of this section; cut_off, lease, stage_within and hold_within are", key)
		}
	}
	if len(problems) == 0 && p.Lease > 0 && p.WhenIsolated == StopAtLeaseExpiry &&
		p.StagingTimeout < ExpiryWait(p.Lease) {
		add("stage_within: %v is less than the %v after which a lease of %v has surely run out",
			p.StagingTimeout, ExpiryWait(p.Lease).Round(time.Millisecond), p.Lease)
	}
	return p, problems
}

// WithDefaults returns the policy with the defaults and minimums that depend on the duration of a tick.
func (p Policy) WithDefaults(tick time.Duration) Policy {
	if p.Lease == 0 {
		p.Lease = defaultLeaseTicks * tick
		p.StagingTimeout = max(p.StagingTimeout, 2*ExpiryWait(p.Lease))
	}
	p.MaxAdmissionPause = max(p.MaxAdmissionPause, minAdmissionPauseTicks*tick)
	return p
}

// CheckTick returns an error if the lease is too short for an instance with the given duration of a tick. The
// error can become the reason of a withdrawn change and so part of the replicated state: its text must not
// change.
func (p Policy) CheckTick(tick time.Duration) error {
	if p.Lease > 0 && p.Lease < minLeaseTicks*tick {
		return fmt.Errorf("a lease of %v is shorter than %d ticks of %v", p.Lease, minLeaseTicks, tick)
	}
	return nil
}

// Bounds of the rates of the instances' clocks: each clock may advance by 0.6 to 1.4 seconds per second. If a
// clock is slower or faster, the leader may consider a lease expired while its holder does not.
const (
	slowestClockRate = 0.6
	fastestClockRate = 1.4
	// roundingMargin allows for the rounding of durations. ExpiryWait adds 1 ms for very short leases.
	roundingMargin = 1.05
)

// ExpiryWait returns how long the leader must wait, on its own clock, after it has granted a lease, until the
// lease is guaranteed to have expired at all rates of the leader's and the holder's clocks within the bounds.
func ExpiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*fastestClockRate/slowestClockRate*roundingMargin) + time.Millisecond
}
