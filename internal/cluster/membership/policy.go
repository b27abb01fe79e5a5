package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"moorstack/internal/cluster/replicated"
)

// Section is the section of the agreed document that has instances probe each other.
const Section = "membership"

// The bounds of the section's key probe.
const (
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = time.Minute
)

// Policy holds the detector's times and multipliers, named as in hashicorp/memberlist where that has them.
type Policy struct {
	ProbeInterval  time.Duration // one member is probed in each
	ProbeTimeout   time.Duration // for a ping's answer, before indirect pings are requested
	IndirectProbes int           // members that get each request for an indirect ping, or a round of gossip
	// A suspicion lasts SuspicionMult log10(members) probe intervals at the least, where IndirectProbes
	// members have come to it independently, and SuspicionMaxMult times that where nobody else has.
	SuspicionMult, SuspicionMaxMult float64
	MaxHealthScore                  int // the probe's times are stretched by at most 1 + MaxHealthScore
	RetransmitMult                  int // an update is sent RetransmitMult log2(members+1) times
	MaxPiggyback                    int // updates in a message, but for a full exchange
	// GossipInterval is the time between two Gossip messages while there are updates to send.
	//
	// Hazard: on probes alone, updates would spread as slowly as the members whose health score is high
	// probe.
	GossipInterval  time.Duration
	SyncInterval    time.Duration // the mean time between two full exchanges of state
	FailedRetention time.Duration // how long a failed or departed member is remembered
}

// DefaultPolicy has Lifeguard's constants, and a probe interval of a second.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionMult:    5,
		SuspicionMaxMult: 6,
		MaxHealthScore:   8,
		RetransmitMult:   4,
		MaxPiggyback:     8,
		GossipInterval:   200 * time.Millisecond,
		SyncInterval:     30 * time.Second,
		FailedRetention:  time.Hour,
	}
}

// ParsePolicy reads the section's values. On is whether members probe each other: without a probe interval
// they do not. Problems are for the operator who proposed the values; it is empty if they are valid.
func ParsePolicy(values map[string]string) (p Policy, on bool, problems []string) {
	p = DefaultPolicy()
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		switch key {
		case "probe":
			interval, err := time.ParseDuration(text)
			if err != nil || interval < minProbeInterval || interval > maxProbeInterval {
				problems = append(problems,
					fmt.Sprintf("probe: %q is not a time from 50ms to 1m, as in \"1s\"", text))
				continue
			}
			p, on = p.scaledTo(interval), true
		default:
			problems = append(problems, fmt.Sprintf("%q is no key of this section; probe is", key))
		}
	}
	return p, on, problems
}

// Validate returns what is wrong with the section of a document, the same at every instance.
func Validate(c replicated.Config) []string {
	_, _, problems := ParsePolicy(c.Values)
	return problems
}

// scaledTo returns the policy with another probe interval, and the times that go with it in proportion.
func (p Policy) scaledTo(interval time.Duration) Policy {
	for _, d := range []*time.Duration{&p.ProbeTimeout, &p.GossipInterval, &p.SyncInterval} {
		*d = time.Duration(float64(*d) * float64(interval) / float64(p.ProbeInterval))
	}
	p.ProbeInterval = interval
	return p
}

// suspicionTimeout is how long a suspicion lasts among so many members, when so many others confirm it.
// It is Lifeguard's formula.
func (p Policy) suspicionTimeout(members, confirmations int) time.Duration {
	least := p.SuspicionMult * max(1, math.Log10(float64(max(members, 1)))) * float64(p.ProbeInterval)
	most := p.SuspicionMaxMult * least
	expected := float64(max(min(p.IndirectProbes, members-2), 1))
	progress := math.Log(float64(confirmations)+1) / math.Log(expected+1)
	return time.Duration(max(least, most-(most-least)*progress))
}

// retransmits is how often an update is sent among so many members.
func (p Policy) retransmits(members int) int {
	return p.RetransmitMult * int(math.Ceil(math.Log2(float64(members+1))))
}
