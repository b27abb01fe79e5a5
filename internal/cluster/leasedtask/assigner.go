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
	Session   Session // its session; Epoch 0: none that is open
	Name      string
	Healthy   bool // it has been heard of lately
	Departing bool // it hands on what it holds: it drains, or is about to end
	Labels    []string
	// Suspected: it is believed to be ill.
	Suspected bool
}

// Spec is what the configuration says of a duty.
type Spec struct {
	Name             string
	RequiredLabel    string   // who may hold it must have this; empty: anybody
	PreferredHolders []string // names, the best first
}

// Assigner judges who is to hold what, for one term.
type Assigner struct {
	term  uint64
	lease time.Duration
	asked map[string]time.Duration
	moved time.Duration // when it last had a duty change hands for the sake of spread
	// Hazard: once it has been asked to have a duty vacated, that may be agreed on at any time.
	vacating map[string]uint64 // the number, by duty
}

// NewAssigner begins a term.
func NewAssigner(now time.Duration, term uint64) *Assigner {
	return &Assigner{term: term, moved: now, asked: map[string]time.Duration{}, vacating: map[string]uint64{}}
}

// CanGrant says whether a lease that is granted now may be used for duties. It may not while the
// member's holding of one is about to be counted as over.
func (l *Assigner) CanGrant(member uint64, s *State) bool {
	for name, number := range l.vacating {
		if d := s.Tasks[name]; d != nil && d.IsHeld() && d.FencingToken == number &&
			d.Holder.Member == member {
			return false
		}
	}
	return true
}

// once says whether it is time to ask for something, for the first time or again.
func (l *Assigner) once(now time.Duration, what ...any) bool {
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

// ClusterView is what the leader's judgement goes by.
type ClusterView struct {
	Now     time.Duration
	Lease   time.Duration
	Specs   []Spec
	Members []Member
	// LeaseExpired says whether a member's lease has surely run out.
	LeaseExpired func(member uint64) bool
}

// Evaluate judges what must be decided now. The commands are to be proposed in this term, and are
// void in the log of another leader.
func (l *Assigner) Evaluate(s *State, v ClusterView) (out []Command) {
	l.lease = v.Lease
	names := make([]string, 0, len(v.Specs))
	specs := map[string]Spec{}
	for _, spec := range v.Specs {
		names, specs[spec.Name] = append(names, spec.Name), spec
	}
	if l.differ(s, names) && l.once(v.Now, DeclareTasks, names) {
		out = append(out, Command{Kind: DeclareTasks, Term: l.term, Tasks: names})
	}
	held := load(s)
	quiet := true // every duty is held, and stays where it is
	for _, d := range s.List() {
		c := Command{Term: l.term, Task: d.Name, FencingToken: d.FencingToken}
		switch {
		case d.IsHeld() && l.over(v, d):
			quiet = false
			if c.Kind, c.Reason = Expire, "its lease ran out"; l.once(v.Now, c.Kind, d.Name, d.FencingToken) {
				l.vacating[d.Name] = d.FencingToken
				out = append(out, c)
			}
		case d.ReleaseReason != "":
			quiet = false
		case d.IsHeld():
			// An operator's wish comes as a command of its own. Here: who is about to go.
			if m, ok := find(v.Members, d.Holder.Member); ok && m.Departing &&
				l.another(d, specs[d.Name], v) {
				c.Kind, c.Reason = Transfer, m.Name+" is about to go"
				if l.once(v.Now, c.Kind, d.Name, d.FencingToken) {
					out = append(out, c)
				}
			}
		case d.PausedBy == "":
			quiet = false
			if m, ok := l.choose(d, specs[d.Name], v, held); ok && slices.Contains(names, d.Name) {
				c.Kind, c.Session, c.Name = Assign, m.Session, m.Name
				if l.once(v.Now, c.Kind, d.Name, d.FencingToken, m.Session) {
					out = append(out, c)
				}
				held[m.Session.Member]++ // soon
			}
		}
	}
	if c, ok := l.spread(s, specs, v); quiet && ok {
		out = append(out, c)
	}
	return out
}

// over says whether the holder's lease has surely run out, or had when it was asked about first.
func (l *Assigner) over(v ClusterView, d *Task) bool {
	return l.vacating[d.Name] == d.FencingToken || v.LeaseExpired(d.Holder.Member)
}

func (l *Assigner) differ(s *State, names []string) bool {
	if len(s.Tasks) != len(names) {
		return true
	}
	return slices.ContainsFunc(names, func(n string) bool { return s.Tasks[n] == nil })
}

func find(list []Member, id uint64) (Member, bool) {
	k := slices.IndexFunc(list, func(m Member) bool { return m.Session.Member == id })
	if k < 0 {
		return Member{}, false
	}
	return list[k], true
}

// CheckEligible says why a member may not hold a duty; nil: it may.
func CheckEligible(m Member, spec Spec) error {
	switch {
	case m.Session.Epoch == 0:
		return fmt.Errorf("%s has no session that is open", m.Name)
	case !m.Healthy:
		return fmt.Errorf("%s has not been heard of lately", m.Name)
	case m.Departing:
		return fmt.Errorf("%s is about to go", m.Name)
	case spec.RequiredLabel != "" && !slices.Contains(m.Labels, spec.RequiredLabel):
		return fmt.Errorf("%s has not the label %q", m.Name, spec.RequiredLabel)
	}
	return nil
}

// another says whether somebody else could have it.
func (l *Assigner) another(d *Task, spec Spec, v ClusterView) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.Session.Member != d.Holder.Member && CheckEligible(m, spec) == nil
	})
}

// load is how many duties each member holds.
func load(s *State) map[uint64]int {
	n := map[uint64]int{}
	for _, d := range s.Tasks {
		if d.IsHeld() {
			n[d.Holder.Member]++
		}
	}
	return n
}

// choose picks who is to hold a duty that nobody holds: whom an operator has named; one that has
// not failed at it lately; whom the configuration prefers; who holds the fewest. Which of those
// alike is a matter of the duty's name, so that different duties go to different ones.
func (l *Assigner) choose(d *Task, spec Spec, v ClusterView, held map[uint64]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range v.Members {
		if CheckEligible(m, spec) != nil {
			continue
		}
		if !found || l.compare(m, best, d, spec, held) < 0 {
			best, found = m, true
		}
	}
	return best, found
}

func (l *Assigner) compare(a, b Member, d *Task, spec Spec, held map[uint64]int) int {
	first := func(yes bool) int {
		if yes {
			return 0
		}
		return 1
	}
	rank := func(m Member) int {
		if k := slices.Index(spec.PreferredHolders, m.Name); k >= 0 {
			return k
		}
		return len(spec.PreferredHolders)
	}
	return cmp.Or(
		cmp.Compare(first(a.Session.Member == d.TransferTo), first(b.Session.Member == d.TransferTo)),
		cmp.Compare(first(!a.Suspected), first(!b.Suspected)),
		// Who has failed at it longest ago comes first of those that have.
		cmp.Compare(d.CoolingDown[a.Session.Member], d.CoolingDown[b.Session.Member]),
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(held[a.Session.Member], held[b.Session.Member]),
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
func (l *Assigner) spread(s *State, specs map[string]Spec, v ClusterView) (Command, bool) {
	if v.Now-l.moved < spreadEvery*v.Lease {
		return Command{}, false
	}
	held := load(s)
	for _, d := range s.List() {
		spec := specs[d.Name]
		if !d.IsHeld() || len(spec.PreferredHolders) > 0 {
			continue
		}
		for _, m := range v.Members {
			if CheckEligible(m, spec) != nil || m.Suspected || d.CoolingDown[m.Session.Member] > 0 ||
				held[d.Holder.Member]-held[m.Session.Member] < 2 {
				continue
			}
			l.moved = v.Now
			return Command{
				Kind:         Transfer,
				Term:         l.term,
				Task:         d.Name,
				FencingToken: d.FencingToken,
				TransferTo:   m.Session.Member,
				Reason:       "so that nobody holds all",
			}, true
		}
	}
	return Command{}, false
}
