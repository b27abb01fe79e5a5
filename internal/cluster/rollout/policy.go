package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Section is the section of the agreed document that holds a Policy.
const Section = "rollout"

// What instances do that are cut off.
const (
	// StopAtLeaseExpiry: who can't renew its lease ceases to admit, and a change goes on without it.
	StopAtLeaseExpiry = "lease"
	// KeepServing: who is cut off serves on, and a change that it can't be asked about is withdrawn.
	KeepServing = "serve"
)

// Policy is how changes take hold, agreed on like everything else.
type Policy struct {
	WhenIsolated      string
	Lease             time.Duration // 0: ten ticks
	StagingTimeout    time.Duration
	MaxAdmissionPause time.Duration
}

const longest = time.Hour

// ParsePolicy reads the section, and gives what is wrong with it.
func ParsePolicy(values map[string]string) (p Policy, wrong []string) {
	p = Policy{
		WhenIsolated:      StopAtLeaseExpiry,
		StagingTimeout:    20 * time.Second,
		MaxAdmissionPause: 500 * time.Millisecond,
	}
	bad := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	span := func(key, text string, into *time.Duration, least time.Duration) {
		v, err := time.ParseDuration(text)
		if err != nil || v < least || v > longest {
			bad("%s: %q is not a time from %v to %v, as in \"1s\"", key, text, least, longest)
			return
		}
		*into = v
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		switch key {
		case "cut_off":
			if p.WhenIsolated = text; text != StopAtLeaseExpiry && text != KeepServing {
				bad("cut_off: %q is not %s or %s", text, StopAtLeaseExpiry, KeepServing)
			}
		case "lease":
			span(key, text, &p.Lease, 50*time.Millisecond)
		case "stage_within":
			span(key, text, &p.StagingTimeout, 100*time.Millisecond)
		case "hold_within":
			span(key, text, &p.MaxAdmissionPause, 10*time.Millisecond)
		default:
			bad("%q is no key of this section; cut_off, lease, stage_within and hold_within are", key)
		}
	}
	if len(wrong) == 0 && p.Lease > 0 && p.WhenIsolated == StopAtLeaseExpiry &&
		p.StagingTimeout < ExpiryWait(p.Lease) {
		bad("stage_within: %v is less than the %v after which a lease of %v has surely run out",
			p.StagingTimeout, ExpiryWait(p.Lease).Round(time.Millisecond), p.Lease)
	}
	return p, wrong
}

// WithDefaults fills in what depends on the agreement's unit of time.
func (p Policy) WithDefaults(tick time.Duration) Policy {
	if p.Lease == 0 {
		p.Lease = 10 * tick
		p.StagingTimeout = max(p.StagingTimeout, 2*ExpiryWait(p.Lease))
	}
	p.MaxAdmissionPause = max(p.MaxAdmissionPause, 3*tick)
	return p
}

// MinLeaseTicks is how many ticks a lease must last at the least: renewals go with them.
const MinLeaseTicks = 5

// CheckTick says why an instance with that tick can't keep the policy.
func (p Policy) CheckTick(tick time.Duration) error {
	if p.Lease > 0 && p.Lease < MinLeaseTicks*tick {
		return fmt.Errorf("a lease of %v is shorter than %d ticks of %v", p.Lease, MinLeaseTicks, tick)
	}
	return nil
}
