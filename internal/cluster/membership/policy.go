package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/internal/cluster/replicated"
)

// Section is the section of the agreed document that has instances probe each other.
const Section = "membership"

// ParsePolicy reads the section, and gives what is wrong with it. Without a probe there is none.
func ParsePolicy(values map[string]string) (p Policy, on bool, wrong []string) {
	p = DefaultPolicy()
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		switch key {
		case "probe":
			d, err := time.ParseDuration(text)
			if err != nil || d < 50*time.Millisecond || d > time.Minute {
				wrong = append(wrong,
					fmt.Sprintf("probe: %q is not a time from 50ms to 1m, as in \"1s\"", text))
				continue
			}
			p, on = p.scaledTo(d), true
		default:
			wrong = append(wrong, fmt.Sprintf("%q is no key of this section; probe is", key))
		}
	}
	return p, on, wrong
}

// scaledTo has all times go with that of a probe.
func (p Policy) scaledTo(probe time.Duration) Policy {
	for _, d := range []*time.Duration{&p.ProbeTimeout, &p.GossipInterval, &p.SyncInterval} {
		*d = time.Duration(float64(*d) * float64(probe) / float64(p.ProbeInterval))
	}
	p.ProbeInterval = probe
	return p
}

// Validate gives what is wrong with the section of a document.
func Validate(t replicated.Config) []string {
	_, _, wrong := ParsePolicy(t.Values)
	return wrong
}
