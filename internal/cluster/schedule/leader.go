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

// Reasons for excluding a member from owning shards. They are stored in the log and shown in the status.
// Instances of other versions recognise a member that is excluded for its clock by clockSkewPrefix.
const (
	departingReason = "it is about to end"
	isolatedReason  = "its lease has run out"
	clockSkewPrefix = "its clock is "
)

// minClocksForSkewCheck is the least number of clocks of which one can be found to be wrong: of two that
// differ, either may be wrong.
const minClocksForSkewCheck = 3

// ClockReading is an instance's report of its clock and its time zone rules.
type ClockReading struct {
	WallClock        int64  // Unix nanoseconds
	PolicyVersion    uint64 // of the policy whose zones ZoneRulesVersion covers
	ZoneRulesVersion uint64
}

// receivedReading is a ClockReading with the time at which the leader received it.
type receivedReading struct {
	ClockReading
	receivedAt time.Duration // on the leader's monotonic clock
}

// Leader computes the cluster time and excludes members from owning shards, for one term of leadership. It
// is not safe for concurrent use.
type Leader struct {
	term             uint64
	readings         map[uint64]receivedReading // by member
	clusterTimeFloor int64                      // Unix nanoseconds: the cluster time never goes below it
	skewed           map[uint64]bool            // members whose clocks were found to be wrong
	lastProposed     time.Duration
}

// NewLeader returns the Leader of a new term.
func NewLeader(term uint64) *Leader {
	return &Leader{term: term, readings: map[uint64]receivedReading{}, skewed: map[uint64]bool{}}
}

// Group is the leader's view of its group.
type Group struct {
	Members         []placement.Member // with open sessions
	Size            int                // number of members, including those without an open session
	LeaseDuration   time.Duration
	ExpiredSessions []Session // whose leases have certainly run out
	// Departing reports whether a member is shutting down and so may not own shards; nil: no member is.
	Departing func(member uint64) bool
	// Isolated reports whether a member's lease has certainly run out although its session stays open; nil:
	// no member's has.
	Isolated func(member uint64) bool
}

// ObserveReading records an instance's report.
func (l *Leader) ObserveReading(now time.Duration, member uint64, r ClockReading) {
	if r.WallClock != 0 {
		l.readings[member] = receivedReading{r, now}
	}
}

// Evaluate returns a command that declares the policy in force and the excluded members, or false if the
// state is up to date, a command was proposed recently, or the cluster time or zone rules are not known.
func (l *Leader) Evaluate(now time.Duration, s *State, g Group) (Command, bool) {
	p := s.Policy()
	if p.Version == 0 && s.PolicyVersion == 0 ||
		l.lastProposed > 0 && now-l.lastProposed < g.LeaseDuration/2 {
		return Command{}, false
	}
	clusterTime := l.ClusterTime(now, s, g)
	zoneRules := l.electZoneRules(p, g.Members)
	if clusterTime == 0 || zoneRules == 0 {
		return Command{}, false
	}
	c := Command{Kind: DeclarePolicy, Term: l.term, PolicyVersion: p.Version,
		ClusterTime: clusterTime / int64(time.Second), ZoneRulesVersion: zoneRules,
		ExcludedMembers: l.exclusions(now, s, g, zoneRules), ExpiredSessions: sessionsToOrphan(s, g)}
	if c.PolicyVersion == s.PolicyVersion && c.ZoneRulesVersion == s.ZoneRulesVersion &&
		len(c.ExpiredSessions) == 0 && sameMembers(c.ExcludedMembers, s.ExcludedMembers) {
		return Command{}, false
	}
	l.lastProposed = now
	return c, true
}

// exclusions returns the members that may not own shards, with the reasons.
func (l *Leader) exclusions(now time.Duration, s *State, g Group, zoneRules uint64) map[uint64]string {
	p, excluded := s.Policy(), map[uint64]string{}
	clocks := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	for _, m := range g.Members {
		r, known := l.readings[m.Member]
		if g.Departing != nil && g.Departing(m.Member) {
			excluded[m.Member] = departingReason
		} else if g.Isolated != nil && g.Isolated(m.Member) {
			excluded[m.Member] = isolatedReason
		} else if reason := l.skewReason(now, s, m.Member, clocks, g.LeaseDuration); reason != "" {
			excluded[m.Member] = reason
		} else if known && r.PolicyVersion == p.Version && r.ZoneRulesVersion != zoneRules {
			excluded[m.Member] = fmt.Sprintf("its zone rules are %016x, the group's %016x",
				r.ZoneRulesVersion, zoneRules)
		}
	}
	return excluded
}

// sessionsToOrphan returns the expired sessions that still have firings not marked as orphaned.
func sessionsToOrphan(s *State, g Group) (list []Session) {
	for _, session := range g.ExpiredSessions {
		for _, f := range s.open {
			if f.Session == session && !f.Orphaned {
				list = append(list, session)
				break
			}
		}
	}
	return list
}

func sameMembers(a, b map[uint64]string) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a)), slices.Sorted(maps.Keys(b)))
}

// electZoneRules returns the version of the time zone rules to use: the one that the policy sets, or else the
// one that most members report; 0: no more than half of the members have reported theirs. If two versions
// have equally many members, the lower number wins even if the other was in use, so that all leaders elect
// the same version.
func (l *Leader) electZoneRules(p *Policy, members []placement.Member) uint64 {
	if p.ZoneRulesVersion != 0 || p.Version == 0 {
		return max(p.ZoneRulesVersion, 1)
	}
	votes, total := map[uint64]int{}, 0
	for _, m := range members {
		r, ok := l.readings[m.Member]
		if ok && r.PolicyVersion == p.Version && r.ZoneRulesVersion != 0 {
			votes[r.ZoneRulesVersion]++
			total++
		}
	}
	if 2*total <= len(members) {
		return 0
	}
	return slices.MinFunc(slices.Collect(maps.Keys(votes)), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(votes[b], votes[a]), cmp.Compare(a, b))
	})
}

// ClusterTime returns the cluster time in Unix nanoseconds: the median of the members' clocks, or the slower
// of the two middle clocks. It never goes backwards, not even when the leader changes. 0: no more than half
// of the group has reported recently.
//
// If some members don't report, one wrong clock may be half of those that do. A clock that was found to be
// wrong among three or more is therefore ignored until it is found to be right again.
func (l *Leader) ClusterTime(now time.Duration, s *State, g Group) int64 {
	all := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	trusted := l.recentClocks(now, g.Members, g.LeaseDuration, func(m uint64) bool {
		// Only exclusion for the clock matters here: a member that is excluded for its zone rules may have
		// the only correct clock.
		return !strings.HasPrefix(s.ExcludedMembers[m], clockSkewPrefix) && !l.skewed[m]
	})
	if 2*len(all) <= g.Size || len(trusted) == 0 {
		return 0
	}
	l.clusterTimeFloor = max(l.clusterTimeFloor, s.ClusterTime*int64(time.Second), lowerMedian(trusted))
	return l.clusterTimeFloor
}

// clockNow returns the present time of a member's clock, extrapolated from its last report; false: there is
// no report, or it is too old.
func (l *Leader) clockNow(now time.Duration, member uint64, lease time.Duration) (int64, bool) {
	r, ok := l.readings[member]
	return r.WallClock + int64(now-r.receivedAt), ok && now-r.receivedAt <= 2*lease
}

// recentClocks returns the present times of the members' clocks, the slowest first. It omits members without
// a recent report and those for which include returns false.
func (l *Leader) recentClocks(now time.Duration, members []placement.Member, lease time.Duration,
	include func(member uint64) bool) []int64 {
	var list []int64
	for _, m := range members {
		if clock, ok := l.clockNow(now, m.Member, lease); ok && include(m.Member) {
			list = append(list, clock)
		}
	}
	slices.Sort(list)
	return list
}

// lowerMedian returns the median of a sorted list, or the lower of the two middle values.
func lowerMedian(sorted []int64) int64 { return sorted[(len(sorted)-1)/2] }

// skewReason returns why a member is to be excluded for its clock: by how much it differs from the median;
// empty: the member is not to be excluded. If there are too few clocks to judge, the previous reason remains.
func (l *Leader) skewReason(now time.Duration, s *State, member uint64, clocks []int64,
	lease time.Duration) string {
	previous := s.ExcludedMembers[member]
	if !strings.HasPrefix(previous, clockSkewPrefix) {
		previous = ""
	}
	clock, ok := l.clockNow(now, member, lease)
	if !ok || len(clocks) < minClocksForSkewCheck {
		l.skewed[member] = previous != ""
		return previous
	}
	skew, limit := time.Duration(clock-lowerMedian(clocks)), s.Policy().MaxClockSkew
	if previous != "" {
		limit /= 2 // hysteresis: the clock must be well within the limit before it is trusted again
	}
	if l.skewed[member] = skew.Abs() > limit; !l.skewed[member] {
		return ""
	}
	return fmt.Sprintf("%s%v from the fleet's", clockSkewPrefix, roundForDisplay(skew))
}

// roundForDisplay rounds a clock's skew for operators, so that the reason does not change with each reading.
func roundForDisplay(d time.Duration) time.Duration {
	if d.Abs() > 10*time.Second {
		return d.Round(10 * time.Second)
	}
	return d.Round(100 * time.Millisecond)
}
