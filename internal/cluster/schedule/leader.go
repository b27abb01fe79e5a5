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

// Reading is what an instance says of its clock and its rules.
type Reading struct {
	Wall    int64  // Unix nanoseconds
	Version uint64 // of the policy that Zones is for
	Zones   uint64
}

type reading struct {
	Reading
	at time.Duration // when it was heard, on the leader's clock
}

// Leader is the leader's side, for one term: the fleet's time, and who may own nothing.
type Leader struct {
	term  uint64
	heard map[uint64]reading
	floor int64 // nanoseconds: the fleet's time never goes back
	off   map[uint64]bool
	asked time.Duration
}

// NewLeader begins a term.
func NewLeader(term uint64) *Leader {
	return &Leader{term: term, heard: map[uint64]reading{}, off: map[uint64]bool{}}
}

// Heard takes an instance's reading.
func (l *Leader) Heard(now time.Duration, member uint64, r Reading) {
	if r.Wall != 0 {
		l.heard[member] = reading{r, now}
	}
}

// clock is what a member's clock shows now.
func (l *Leader) clock(now time.Duration, member uint64, lease time.Duration) (int64, bool) {
	r, ok := l.heard[member]
	return r.Wall + int64(now-r.at), ok && now-r.at <= 2*lease
}

// clocks are what the clocks of members show now, the slowest first, of those that were heard of lately.
func (l *Leader) clocks(now time.Duration, members []placement.Member, lease time.Duration,
	counts func(uint64) bool) []int64 {
	var list []int64
	for _, m := range members {
		if at, ok := l.clock(now, m.Member, lease); ok && counts(m.Member) {
			list = append(list, at)
		}
	}
	slices.Sort(list)
	return list
}

func middle(list []int64) int64 { return list[(len(list)-1)/2] }

// Group is whom a leader judges.
type Group struct {
	Members []placement.Member // with open sessions
	Size    int                // all of the group
	Lease   time.Duration
	Over    []Seat // were set aside, and their leases have surely run out
	// Away says of a member that it is about to end, and so owns nothing.
	Away func(member uint64) bool
}

// Fleet is the fleet's time, in Unix nanoseconds: the median of the clocks, and of two in the middle the
// slower. It never goes back, also over a change of leader. 0: no more than half of the group has been
// heard of lately.
//
// Hazard: where some can't be heard of, one clock that is off may be half of those that are. One that was
// found to be off among three or more does not count before it was found to be right again.
func (l *Leader) Fleet(now time.Duration, s *State, g Group) int64 {
	all := l.clocks(now, g.Members, g.Lease, func(uint64) bool { return true })
	list := l.clocks(now, g.Members, g.Lease, func(m uint64) bool {
		// Hazard: one with other zone rules may have the only clock that is right.
		return !strings.HasPrefix(s.Off[m], clockIs) && !l.off[m]
	})
	if 2*len(all) <= g.Size || len(list) == 0 {
		return 0
	}
	l.floor = max(l.floor, s.Now*int64(time.Second), middle(list))
	return l.floor
}

// Look judges who may own shards, and from when on a policy counts.
func (l *Leader) Look(now time.Duration, s *State, g Group) (Command, bool) {
	p := s.Policy()
	if p.Version == 0 && s.Version == 0 || l.asked > 0 && now-l.asked < g.Lease/2 {
		return Command{}, false
	}
	fleet := l.Fleet(now, s, g)
	zones := l.zones(p, g.Members)
	if fleet == 0 || zones == 0 {
		return Command{}, false
	}
	c := Command{Kind: Declare, Term: l.term, Version: p.Version, Now: fleet / int64(time.Second),
		Zones: zones, Off: map[uint64]string{}}
	all := l.clocks(now, g.Members, g.Lease, func(uint64) bool { return true })
	for _, m := range g.Members {
		r, heard := l.heard[m.Member]
		if g.Away != nil && g.Away(m.Member) {
			c.Off[m.Member] = "it is about to end"
		} else if why := l.apart(now, s, m.Member, all, p.Bound, g.Lease); why != "" {
			c.Off[m.Member] = why
		} else if heard && r.Version == p.Version && r.Zones != zones {
			c.Off[m.Member] = fmt.Sprintf("its zone rules are %016x, the group's %016x", r.Zones, zones)
		}
	}
	for _, seat := range g.Over {
		for _, i := range s.open {
			if i.Seat == seat && !i.Orphan {
				c.Over = append(c.Over, seat)
				break
			}
		}
	}
	same := c.Version == s.Version && c.Zones == s.Zones && len(c.Over) == 0 && sameMembers(c.Off, s.Off)
	if same {
		return Command{}, false
	}
	l.asked = now
	return c, true
}

// apart says how far a member's clock is from the others', where it is too far.
func (l *Leader) apart(now time.Duration, s *State, member uint64, all []int64, bound,
	lease time.Duration) string {
	was := s.Off[member]
	if !strings.HasPrefix(was, clockIs) {
		was = ""
	}
	at, ok := l.clock(now, member, lease)
	if !ok || len(all) < 3 {
		l.off[member] = was != ""
		return was // of two nobody can say which is right
	}
	d := time.Duration(at - middle(all))
	if was != "" {
		bound /= 2 // it must be well inside before it counts again
	}
	if l.off[member] = d.Abs() > bound; !l.off[member] {
		return ""
	}
	return fmt.Sprintf("%s%v from the fleet's", clockIs, nearly(d))
}

const clockIs = "its clock is "

// nearly is a time to the second, or finer where it is short: it is told to people, and must not change
// with each reading.
func nearly(d time.Duration) time.Duration {
	if d.Abs() > 10*time.Second {
		return d.Round(10 * time.Second)
	}
	return d.Round(100 * time.Millisecond)
}

func sameMembers(a, b map[uint64]string) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a)), slices.Sorted(maps.Keys(b)))
}

// zones is the version of the zone rules to go by: the wanted one, or that of most of the members; of two
// that are as many the one that counted so far is not preferred, but the lower number, so that all
// leaders find the same.
func (l *Leader) zones(p *Policy, members []placement.Member) uint64 {
	if p.Zones != 0 || p.Version == 0 {
		return max(p.Zones, 1)
	}
	count, all := map[uint64]int{}, 0
	for _, m := range members {
		if r, ok := l.heard[m.Member]; ok && r.Version == p.Version && r.Zones != 0 {
			count[r.Zones]++
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
