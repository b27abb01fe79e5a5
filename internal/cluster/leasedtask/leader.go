package leasedtask

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Member is an instance as the leader sees it.
type Member struct {
	Seat   Seat // its session; Epoch 0: none that is open
	Name   string
	Well   bool // it has been heard of lately
	Away   bool // it hands on what it holds: it drains, or is about to end
	Labels []string
	// Doubted: it is believed to be ill.
	Doubted bool
}

// Spec is what the configuration says of a duty.
type Spec struct {
	Name   string
	Label  string   // who may hold it must have this; empty: anybody
	Prefer []string // names, the best first
}

// Leader judges who is to hold what, for one term.
type Leader struct {
	term  uint64
	lease time.Duration
	asked map[string]time.Duration
	moved time.Duration // when it last had a duty change hands for the sake of spread
	// Hazard: once it has been asked to have a duty vacated, that may be agreed on at any time.
	vacating map[string]uint64 // the number, by duty
}

// NewLeader begins a term.
func NewLeader(now time.Duration, term uint64) *Leader {
	return &Leader{term: term, moved: now, asked: map[string]time.Duration{}, vacating: map[string]uint64{}}
}

// Free says whether a lease that is granted now may be used for duties. It may not while the
// member's holding of one is about to be counted as over.
func (l *Leader) Free(member uint64, s *State) bool {
	for name, number := range l.vacating {
		if d := s.Duties[name]; d != nil && d.Held() && d.Number == number && d.Holder.Member == member {
			return false
		}
	}
	return true
}

// once says whether it is time to ask for something, for the first time or again.
func (l *Leader) once(now time.Duration, what ...any) bool {
	key := fmt.Sprint(what...)
	if at, ok := l.asked[key]; ok && now-at < l.lease/2 {
		return false
	}
	if len(l.asked) > 1024 {
		clear(l.asked)
	}
	l.asked[key] = now
	return true
}

// View is what the leader's judgement goes by.
type View struct {
	Now     time.Duration
	Lease   time.Duration
	Specs   []Spec
	Members []Member
	// Over says whether a member's lease has surely run out.
	Over func(member uint64) bool
}

// Look judges what must be decided now. The commands are to be proposed in this term, and are
// void in the log of another leader.
func (l *Leader) Look(s *State, v View) (out []Command) {
	l.lease = v.Lease
	names := make([]string, 0, len(v.Specs))
	specs := map[string]Spec{}
	for _, spec := range v.Specs {
		names, specs[spec.Name] = append(names, spec.Name), spec
	}
	if l.differ(s, names) && l.once(v.Now, Declare, names) {
		out = append(out, Command{Kind: Declare, Term: l.term, Names: names})
	}
	held := load(s)
	quiet := true // every duty is held, and stays where it is
	for _, d := range s.List() {
		c := Command{Term: l.term, Duty: d.Name, Number: d.Number}
		switch {
		case d.Held() && l.over(v, d):
			quiet = false
			if c.Kind, c.Reason = Vacate, "its lease ran out"; l.once(v.Now, c.Kind, d.Name, d.Number) {
				l.vacating[d.Name] = d.Number
				out = append(out, c)
			}
		case d.Leaving != "":
			quiet = false
		case d.Held():
			// An operator's wish comes as a command of its own. Here: who is about to go.
			if m, ok := find(v.Members, d.Holder.Member); ok && m.Away && l.another(d, specs[d.Name], v) {
				c.Kind, c.Reason = HandOn, m.Name+" is about to go"
				if l.once(v.Now, c.Kind, d.Name, d.Number) {
					out = append(out, c)
				}
			}
		case d.Paused == "":
			quiet = false
			if m, ok := l.choose(d, specs[d.Name], v, held); ok && slices.Contains(names, d.Name) {
				c.Kind, c.Seat, c.Name = Assign, m.Seat, m.Name
				if l.once(v.Now, c.Kind, d.Name, d.Number, m.Seat) {
					out = append(out, c)
				}
				held[m.Seat.Member]++ // soon
			}
		}
	}
	if c, ok := l.spread(s, specs, v); quiet && ok {
		out = append(out, c)
	}
	return out
}

// over says whether the holder's lease has surely run out, or had when it was asked about first.
func (l *Leader) over(v View, d *Duty) bool {
	return l.vacating[d.Name] == d.Number || v.Over(d.Holder.Member)
}

func (l *Leader) differ(s *State, names []string) bool {
	if len(s.Duties) != len(names) {
		return true
	}
	return slices.ContainsFunc(names, func(n string) bool { return s.Duties[n] == nil })
}

func find(list []Member, id uint64) (Member, bool) {
	k := slices.IndexFunc(list, func(m Member) bool { return m.Seat.Member == id })
	if k < 0 {
		return Member{}, false
	}
	return list[k], true
}

// Eligible says why a member may not hold a duty; nil: it may.
func Eligible(m Member, spec Spec) error {
	switch {
	case m.Seat.Epoch == 0:
		return fmt.Errorf("%s has no session that is open", m.Name)
	case !m.Well:
		return fmt.Errorf("%s has not been heard of lately", m.Name)
	case m.Away:
		return fmt.Errorf("%s is about to go", m.Name)
	case spec.Label != "" && !slices.Contains(m.Labels, spec.Label):
		return fmt.Errorf("%s has not the label %q", m.Name, spec.Label)
	}
	return nil
}

// another says whether somebody else could have it.
func (l *Leader) another(d *Duty, spec Spec, v View) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.Seat.Member != d.Holder.Member && Eligible(m, spec) == nil
	})
}

// load is how many duties each member holds.
func load(s *State) map[uint64]int {
	n := map[uint64]int{}
	for _, d := range s.Duties {
		if d.Held() {
			n[d.Holder.Member]++
		}
	}
	return n
}

// choose picks who is to hold a duty that nobody holds: whom an operator has named; one that has
// not failed at it lately; whom the configuration prefers; who holds the fewest. Which of those
// alike is a matter of the duty's name, so that different duties go to different ones.
func (l *Leader) choose(d *Duty, spec Spec, v View, held map[uint64]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range v.Members {
		if Eligible(m, spec) != nil {
			continue
		}
		if !found || l.compare(m, best, d, spec, held) < 0 {
			best, found = m, true
		}
	}
	return best, found
}

func (l *Leader) compare(a, b Member, d *Duty, spec Spec, held map[uint64]int) int {
	first := func(yes bool) int {
		if yes {
			return 0
		}
		return 1
	}
	rank := func(m Member) int {
		if k := slices.Index(spec.Prefer, m.Name); k >= 0 {
			return k
		}
		return len(spec.Prefer)
	}
	return cmp.Or(
		cmp.Compare(first(a.Seat.Member == d.To), first(b.Seat.Member == d.To)),
		cmp.Compare(first(!a.Doubted), first(!b.Doubted)),
		// Who has failed at it longest ago comes first of those that have.
		cmp.Compare(d.Resting[a.Seat.Member], d.Resting[b.Seat.Member]),
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(held[a.Seat.Member], held[b.Seat.Member]),
		cmp.Compare(toss(d.Name, a.Name), toss(d.Name, b.Name)),
	)
}

func toss(duty, member string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, duty, "/", member)
	return h.Sum64()
}

// spreadEvery is how many leases pass between two moves for the sake of spread. A preferred member
// that comes and goes pulls nothing back: preference counts only where nobody holds the duty.
const spreadEvery = 10

// spread moves one duty from who holds two or more over another that could have it.
func (l *Leader) spread(s *State, specs map[string]Spec, v View) (Command, bool) {
	if v.Now-l.moved < spreadEvery*v.Lease {
		return Command{}, false
	}
	held := load(s)
	for _, d := range s.List() {
		spec := specs[d.Name]
		if !d.Held() || len(spec.Prefer) > 0 {
			continue
		}
		for _, m := range v.Members {
			if Eligible(m, spec) != nil || m.Doubted || d.Resting[m.Seat.Member] > 0 ||
				held[d.Holder.Member]-held[m.Seat.Member] < 2 {
				continue
			}
			l.moved = v.Now
			return Command{Kind: HandOn, Term: l.term, Duty: d.Name, Number: d.Number, To: m.Seat.Member,
				Reason: "so that nobody holds all"}, true
		}
	}
	return Command{}, false
}
