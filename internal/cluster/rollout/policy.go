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
	// ByLease: who can't renew its lease ceases to admit, and a change goes on without it.
	ByLease = "lease"
	// Serve: who is cut off serves on, and a change that it can't be asked about is withdrawn.
	Serve = "serve"
)

// Policy is how changes take hold, agreed on like everything else.
type Policy struct {
	CutOff      string
	Lease       time.Duration // 0: ten ticks
	StageWithin time.Duration
	HoldWithin  time.Duration
}

const longest = time.Hour

// ReadPolicy reads the section, and gives what is wrong with it.
func ReadPolicy(values map[string]string) (p Policy, wrong []string) {
	p = Policy{CutOff: ByLease, StageWithin: 20 * time.Second, HoldWithin: 500 * time.Millisecond}
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
			if p.CutOff = text; text != ByLease && text != Serve {
				bad("cut_off: %q is not %s or %s", text, ByLease, Serve)
			}
		case "lease":
			span(key, text, &p.Lease, 50*time.Millisecond)
		case "stage_within":
			span(key, text, &p.StageWithin, 100*time.Millisecond)
		case "hold_within":
			span(key, text, &p.HoldWithin, 10*time.Millisecond)
		default:
			bad("%q is no key of this section; cut_off, lease, stage_within and hold_within are", key)
		}
	}
	if len(wrong) == 0 && p.Lease > 0 && p.CutOff == ByLease && p.StageWithin < Wait(p.Lease) {
		bad("stage_within: %v is less than the %v after which a lease of %v has surely run out",
			p.StageWithin, Wait(p.Lease).Round(time.Millisecond), p.Lease)
	}
	return p, wrong
}

// For fills in what depends on the agreement's unit of time.
func (p Policy) For(tick time.Duration) Policy {
	if p.Lease == 0 {
		p.Lease = 10 * tick
		p.StageWithin = max(p.StageWithin, 2*Wait(p.Lease))
	}
	p.HoldWithin = max(p.HoldWithin, 3*tick)
	return p
}

// LeastTicks is how many ticks a lease must last at the least: renewals go with them.
const LeastTicks = 5

// Bears says why an instance with that tick can't keep the policy.
func (p Policy) Bears(tick time.Duration) error {
	if p.Lease > 0 && p.Lease < LeastTicks*tick {
		return fmt.Errorf("a lease of %v is shorter than %d ticks of %v", p.Lease, LeastTicks, tick)
	}
	return nil
}
