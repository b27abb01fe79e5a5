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

// Reasons for which a member is excluded from owning shards. They stand in the log and in the status that
// operators read. Hazard: instances of other versions recognise an excluded clock by clockSkewPrefix.
const (
	departingReason = "it is about to end"
	clockSkewPrefix = "its clock is "
)

// minClocksToJudge is the number of clocks from which on it is clear which one is wrong.
const minClocksToJudge = 3

// ClockReading is what an instance reports about its clock and its time zone rules.
type ClockReading struct {
	WallClock        int64  // Unix nanoseconds
	PolicyVersion    uint64 // of the policy that ZoneRulesVersion is for
	ZoneRulesVersion uint64
}

type receivedReading struct {
	ClockReading
	receivedAt time.Duration // on the leader's monotonic clock
}

// Leader keeps the cluster time and decides who may own no shard, for one term. It is used by one goroutine.
type Leader struct {
	term             uint64
	readings         map[uint64]receivedReading // by member
	clusterTimeFloor int64                      // Unix nanoseconds: the cluster time never goes back
	skewed           map[uint64]bool            // members whose clocks were found to be wrong
	lastProposed     time.Duration
}

// NewLeader begins a term.
func NewLeader(term uint64) *Leader {
	return &Leader{term: term, readings: map[uint64]receivedReading{}, skewed: map[uint64]bool{}}
}

// Group is the group that a leader decides for.
type Group struct {
	Members         []placement.Member // with open sessions
	Size            int                // including those without
	LeaseDuration   time.Duration
	ExpiredSessions []Session // whose leases have certainly run out
	// Departing reports whether a member is about to end, and so owns nothing; nil: none is.
	Departing func(member uint64) bool
}

// ObserveReading takes an instance's report.
func (l *Leader) ObserveReading(now time.Duration, member uint64, r ClockReading) {
	if r.WallClock != 0 {
		l.readings[member] = receivedReading{r, now}
	}
}

// Evaluate returns the command that declares the policy in force and the excluded members, if the state
// differs from what it should be.
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

// exclusions returns the members that may own no shard, with the reason.
func (l *Leader) exclusions(now time.Duration, s *State, g Group, zoneRules uint64) map[uint64]string {
	p, excluded := s.Policy(), map[uint64]string{}
	clocks := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	for _, m := range g.Members {
		r, known := l.readings[m.Member]
		if g.Departing != nil && g.Departing(m.Member) {
			excluded[m.Member] = departingReason
		} else if reason := l.skewReason(now, s, m.Member, clocks, g.LeaseDuration); reason != "" {
			excluded[m.Member] = reason
		} else if known && r.PolicyVersion == p.Version && r.ZoneRulesVersion != zoneRules {
			excluded[m.Member] = fmt.Sprintf("its zone rules are %016x, the group's %016x",
				r.ZoneRulesVersion, zoneRules)
		}
	}
	return excluded
}

// sessionsToOrphan returns the expired sessions that have firings which are not marked as orphaned.
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

// electZoneRules returns the version of the time zone rules to use: the policy's, or that of most of the
// members; 0: no more than half of them have reported theirs. Of two versions with as many members the lower
// number is taken, whichever was in use, so that all leaders choose the same.
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

// ClusterTime returns the cluster time in Unix nanoseconds: the median of the clocks, and of two in the
// middle the slower. It never goes back, also over a change of leader. 0: no more than half of the group has
// reported lately.
//
// Hazard: if some members don't report, one wrong clock may be half of those that do. One that was found to
// be wrong among three or more does not count before it was found to be right again.
func (l *Leader) ClusterTime(now time.Duration, s *State, g Group) int64 {
	all := l.recentClocks(now, g.Members, g.LeaseDuration, func(uint64) bool { return true })
	trusted := l.recentClocks(now, g.Members, g.LeaseDuration, func(m uint64) bool {
		// Hazard: a member that is excluded for its zone rules may have the only clock that is right.
		return !strings.HasPrefix(s.ExcludedMembers[m], clockSkewPrefix) && !l.skewed[m]
	})
	if 2*len(all) <= g.Size || len(trusted) == 0 {
		return 0
	}
	l.clusterTimeFloor = max(l.clusterTimeFloor, s.ClusterTime*int64(time.Second), lowerMedian(trusted))
	return l.clusterTimeFloor
}

// clockNow returns what a member's clock shows now, by its last report; false: that is too old.
func (l *Leader) clockNow(now time.Duration, member uint64, lease time.Duration) (int64, bool) {
	r, ok := l.readings[member]
	return r.WallClock + int64(now-r.receivedAt), ok && now-r.receivedAt <= 2*lease
}

// recentClocks returns what the clocks of members show now, the slowest first, of those that have reported
// lately and that count.
func (l *Leader) recentClocks(now time.Duration, members []placement.Member, lease time.Duration,
	counts func(member uint64) bool) []int64 {
	var list []int64
	for _, m := range members {
		if clock, ok := l.clockNow(now, m.Member, lease); ok && counts(m.Member) {
			list = append(list, clock)
		}
	}
	slices.Sort(list)
	return list
}

// lowerMedian returns the median of a sorted list, and of two values in the middle the lower.
func lowerMedian(sorted []int64) int64 { return sorted[(len(sorted)-1)/2] }

// skewReason states by how much a member's clock differs from the others'; empty: by no more than is allowed.
func (l *Leader) skewReason(now time.Duration, s *State, member uint64, clocks []int64,
	lease time.Duration) string {
	previous := s.ExcludedMembers[member]
	if !strings.HasPrefix(previous, clockSkewPrefix) {
		previous = ""
	}
	clock, ok := l.clockNow(now, member, lease)
	if !ok || len(clocks) < minClocksToJudge {
		l.skewed[member] = previous != ""
		return previous
	}
	skew, limit := time.Duration(clock-lowerMedian(clocks)), s.Policy().MaxClockSkew
	if previous != "" {
		limit /= 2 // hysteresis: it must be well within the limit before it counts again
	}
	if l.skewed[member] = skew.Abs() > limit; !l.skewed[member] {
		return ""
	}
	return fmt.Sprintf("%s%v from the fleet's", clockSkewPrefix, roundForDisplay(skew))
}

// roundForDisplay rounds a clock's skew: people read it, and it must not change with each reading.
func roundForDisplay(d time.Duration) time.Duration {
	if d.Abs() > 10*time.Second {
		return d.Round(10 * time.Second)
	}
	return d.Round(100 * time.Millisecond)
}
