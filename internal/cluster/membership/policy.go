package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"moorstack/internal/cluster/replicated"
)

// Section is the name of the section of the group's document that makes instances probe each other.
const Section = "membership"

// The bounds of the section's "probe" key.
const (
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = time.Minute
)

// Policy holds the detector's intervals and multipliers. Those that hashicorp/memberlist also has are named
// as they are there.
type Policy struct {
	ProbeInterval  time.Duration // time between two probes, each of a single member
	ProbeTimeout   time.Duration // time to wait for an Ack before requesting indirect pings
	IndirectProbes int           // number of members that receive an indirect ping request or a gossip round
	// The minimum duration of a suspicion is SuspicionMult * max(1, log10(members)) probe intervals. It
	// applies when IndirectProbes other members have confirmed the suspicion; without any confirmation,
	// the duration is SuspicionMaxMult times the minimum.
	SuspicionMult, SuspicionMaxMult float64
	MaxHealthScore                  int // probe times are multiplied by at most 1 + MaxHealthScore
	RetransmitMult                  int // an update is sent RetransmitMult * ceil(log2(members+1)) times
	MaxPiggyback                    int // maximum number of updates in a message other than a full state sync
	// GossipInterval is the time between two Gossip messages while there are updates to send. If updates
	// were only piggybacked on probes, members with a high health score, which probe slowly, would also
	// spread updates slowly.
	GossipInterval  time.Duration
	SyncInterval    time.Duration // mean time between two full state syncs
	FailedRetention time.Duration // how long failed and departed members are kept
}

// DefaultPolicy returns a policy with Lifeguard's constants and a probe interval of one second.
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

// ParsePolicy parses the section's values. enabled reports whether members probe each other, which they do
// only if a probe interval is configured. problems describes the invalid values to the operator who proposed
// them; it is empty if all are valid.
func ParsePolicy(values map[string]string) (p Policy, enabled bool, problems []string) {
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
			p, enabled = p.scaledTo(interval), true
		default:
			problems = append(problems, fmt.Sprintf("%q is no key of this section; probe is", key))
		}
	}
	return p, enabled, problems
}

// Validate returns the problems of a document's section. The result depends only on the section, so that
// every instance returns the same.
func Validate(c replicated.Config) []string {
	_, _, problems := ParsePolicy(c.Values)
	return problems
}

// scaledTo returns the policy with the given probe interval, and scales ProbeTimeout, GossipInterval and
// SyncInterval in proportion.
func (p Policy) scaledTo(interval time.Duration) Policy {
	for _, d := range []*time.Duration{&p.ProbeTimeout, &p.GossipInterval, &p.SyncInterval} {
		*d = time.Duration(float64(*d) * float64(interval) / float64(p.ProbeInterval))
	}
	p.ProbeInterval = interval
	return p
}

// suspicionTimeout returns how long a suspicion lasts in a group with the given number of members after the
// given number of independent confirmations, by Lifeguard's formula.
func (p Policy) suspicionTimeout(members, confirmations int) time.Duration {
	minTimeout := p.SuspicionMult * max(1, math.Log10(float64(max(members, 1)))) * float64(p.ProbeInterval)
	maxTimeout := p.SuspicionMaxMult * minTimeout
	expectedConfirmations := float64(max(min(p.IndirectProbes, members-2), 1))
	progress := math.Log(float64(confirmations)+1) / math.Log(expectedConfirmations+1)
	return time.Duration(max(minTimeout, maxTimeout-(maxTimeout-minTimeout)*progress))
}

// retransmitLimit returns how many times an update is sent in a group with the given number of members.
func (p Policy) retransmitLimit(members int) int {
	return p.RetransmitMult * int(math.Ceil(math.Log2(float64(members+1))))
}
