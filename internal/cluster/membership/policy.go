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

// ReadPolicy reads the section, and gives what is wrong with it. Without a probe there is none.
func ReadPolicy(values map[string]string) (p Policy, on bool, wrong []string) {
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
			p, on = p.at(d), true
		default:
			wrong = append(wrong, fmt.Sprintf("%q is no key of this section; probe is", key))
		}
	}
	return p, on, wrong
}

// at has all times go with that of a probe.
func (p Policy) at(probe time.Duration) Policy {
	for _, d := range []*time.Duration{&p.Timeout, &p.Talk, &p.Sync} {
		*d = time.Duration(float64(*d) * float64(probe) / float64(p.Probe))
	}
	p.Probe = probe
	return p
}

// Check gives what is wrong with the section of a document.
func Check(t replicated.Terms) []string {
	_, _, wrong := ReadPolicy(t.Values)
	return wrong
}
