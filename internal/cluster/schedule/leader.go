package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"moorstack/internal/cluster/placement"
)

// ClockReading is what an instance says of its clock and its rules.
type ClockReading struct {
	WallClock        int64  // Unix nanoseconds
	PolicyVersion    uint64 // of the policy that Zones is for
	ZoneRulesVersion uint64
}

type receivedReading struct {
	ClockReading
	receivedAt time.Duration // when it was heard, on the leader's clock
}

// Leader is the leader's side, for one term: the fleet's time, and who may own nothing.
type Leader struct {
	term             uint64
	readings         map[uint64]receivedReading
	clusterTimeFloor int64 // nanoseconds: the fleet's time never goes back
	skewed           map[uint64]bool
	lastProposed     time.Duration
}

// NewLeader begins a term.
func NewLeader(term uint64) *Leader {
	return &Leader{term: term, readings: map[uint64]receivedReading{}, skewed: map[uint64]bool{}}
}

// ObserveReading takes an instance's reading.
func (l *Leader) ObserveReading(now time.Duration, member uint64, r ClockReading) {
	if r.WallClock != 0 {
		l.readings[member] = receivedReading{r, now}
	}
}

// clockNow is what a member's clock shows now.
func (l *Leader) clockNow(now time.Duration, member uint64, lease time.Duration) (int64, bool) {
	r, ok := l.readings[member]
	return r.WallClock + int64(now-r.receivedAt), ok && now-r.receivedAt <= 2*lease
}

// recentClocks are what the clocks of members show now, the slowest first, of those that were heard of
// lately.
func (l *Leader) recentClocks(now time.Duration, members []placement.Member, lease time.Duration,
	counts func(uint64) bool) []int64 {
	var list []int64
	for _, m := range members {
		if at, ok := l.clockNow(now, m.Member, lease); ok && counts(m.Member) {
			list = append(list, at)
		}
	}
	slices.Sort(list)
	return list
}

func lowerMedian(list []int64) int64 { return list[(len(list)-1)/2] }

// Group is whom a leader judges.
type Group struct {
	Members         []placement.Member // with open sessions
	Size            int                // all of the group
	LeaseDuration   time.Duration
	ExpiredSessions []Session // were set aside, and their leases have surely run out
	// Departing says of a member that it is about to end, and so owns nothing.
	Departing func(member uint64) bool
}

// ClusterTime is the fleet's time, in Unix nanoseconds: the median of the clocks, and of two in the middle
// the slower. It never goes back, also over a change of leader. 0: no more than half of the group has been
// heard of lately.
//
// Hazard: where some can't be heard of, one clock that is off may be half of those that are. One that was
// found to be off among three or more does not count before it was found to be right again.
func (l *Leader) ClusterTime(now time.Duration, s *State, g Group) int64 {
	all := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	list := l.recentClocks(now, g.Members, g.LeaseDuration, func(m uint64) bool {
		// Hazard: one with other zone rules may have the only clock that is right.
		return !strings.HasPrefix(s.ExcludedMembers[m], clockSkewPrefix) && !l.skewed[m]
	})
	if 2*len(all) <= g.Size || len(list) == 0 {
		return 0
	}
	l.clusterTimeFloor = max(l.clusterTimeFloor, s.ClusterTime*int64(time.Second), lowerMedian(list))
	return l.clusterTimeFloor
}

// Evaluate judges who may own shards, and from when on a policy counts.
func (l *Leader) Evaluate(now time.Duration, s *State, g Group) (Command, bool) {
	p := s.Policy()
	if p.Version == 0 && s.PolicyVersion == 0 ||
		l.lastProposed > 0 && now-l.lastProposed < g.LeaseDuration/2 {
		return Command{}, false
	}
	fleet := l.ClusterTime(now, s, g)
	zones := l.electZoneRules(p, g.Members)
	if fleet == 0 || zones == 0 {
		return Command{}, false
	}
	c := Command{
		Kind:             DeclarePolicy,
		Term:             l.term,
		PolicyVersion:    p.Version,
		ClusterTime:      fleet / int64(time.Second),
		ZoneRulesVersion: zones,
		ExcludedMembers:  map[uint64]string{},
	}
	all := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	for _, m := range g.Members {
		r, heard := l.readings[m.Member]
		if g.Departing != nil && g.Departing(m.Member) {
			c.ExcludedMembers[m.Member] = "it is about to end"
		} else if why := l.skewReason(now, s, m.Member, all, p.MaxClockSkew, g.LeaseDuration); why != "" {
			c.ExcludedMembers[m.Member] = why
		} else if heard && r.PolicyVersion == p.Version && r.ZoneRulesVersion != zones {
			c.ExcludedMembers[m.Member] = fmt.Sprintf("its zone rules are %016x, the group's %016x",
				r.ZoneRulesVersion, zones)
		}
	}
	for _, seat := range g.ExpiredSessions {
		for _, i := range s.open {
			if i.Session == seat && !i.Orphaned {
				c.ExpiredSessions = append(c.ExpiredSessions, seat)
				break
			}
		}
	}
	same := c.PolicyVersion == s.PolicyVersion && c.ZoneRulesVersion == s.ZoneRulesVersion &&
		len(c.ExpiredSessions) == 0 &&
		sameMembers(c.ExcludedMembers, s.ExcludedMembers)
	if same {
		return Command{}, false
	}
	l.lastProposed = now
	return c, true
}

// skewReason says how far a member's clock is from the others', where it is too far.
func (l *Leader) skewReason(now time.Duration, s *State, member uint64, all []int64, bound,
	lease time.Duration) string {
	was := s.ExcludedMembers[member]
	if !strings.HasPrefix(was, clockSkewPrefix) {
		was = ""
	}
	at, ok := l.clockNow(now, member, lease)
	if !ok || len(all) < 3 {
		l.skewed[member] = was != ""
		return was // of two nobody can say which is right
	}
	d := time.Duration(at - lowerMedian(all))
	if was != "" {
		bound /= 2 // it must be well inside before it counts again
	}
	if l.skewed[member] = d.Abs() > bound; !l.skewed[member] {
		return ""
	}
	return fmt.Sprintf("%s%v from the fleet's", clockSkewPrefix, roundForDisplay(d))
}

const clockSkewPrefix = "its clock is "

// roundForDisplay is a time to the second, or finer where it is short: it is told to people, and must not
// change with each reading.
func roundForDisplay(d time.Duration) time.Duration {
	if d.Abs() > 10*time.Second {
		return d.Round(10 * time.Second)
	}
	return d.Round(100 * time.Millisecond)
}

func sameMembers(a, b map[uint64]string) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a)), slices.Sorted(maps.Keys(b)))
}

// electZoneRules is the version of the zone rules to go by: the wanted one, or that of most of the members;
// of two that are as many the one that counted so far is not preferred, but the lower number, so that all
// leaders find the same.
func (l *Leader) electZoneRules(p *Policy, members []placement.Member) uint64 {
	if p.ZoneRulesVersion != 0 || p.Version == 0 {
		return max(p.ZoneRulesVersion, 1)
	}
	count, all := map[uint64]int{}, 0
	for _, m := range members {
		if r, ok := l.readings[m.Member]; ok && r.PolicyVersion == p.Version && r.ZoneRulesVersion != 0 {
			count[r.ZoneRulesVersion]++
			all++
		}
	}
	if 2*all <= len(members) {
		return 0
	}
	return slices.MinFunc(slices.Collect(maps.Keys(count)), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
}
