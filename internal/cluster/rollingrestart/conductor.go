package rollingrestart

import (
	"fmt"
	"slices"
	"time"
)

// Seen is an instance as the conductor sees it. What it sees may be wrong or late: it decides when the next
// one is taken out, and never who is.
type Seen struct {
	Member uint64
	Name   string
	Zone   string
	Voter  bool
	Life   uint64 // of the process that has the open session; 0: none has
	Well   bool   // it answers, runs what is in force, and admits jobs
	Why    string // it is not well
	Last   bool   // it leads, or conducts: it is left for later, for that has to be handed on
}

// Conductor judges, in one holding of the duty, what is to be noted next.
type Conductor struct {
	out     map[uint64]time.Duration // since when it has been seen out
	blocked time.Duration            // since when nobody may be taken out
	waits   bool                     // it has been
	rolling bool                     // the plan was, after the last look
}

// NewConductor begins to conduct. Hazard: how long an instance has been out is not known to it. It begins
// to count anew, so that a conductor that comes does not halt what goes well.
func NewConductor() *Conductor { return &Conductor{out: map[uint64]time.Duration{}} }

// Look gives the plan as it is to be noted, and whether that is another one. All that it changes counts only
// once it is agreed on.
func (c *Conductor) Look(now time.Duration, p Plan, seen []Seen) (Plan, bool) {
	p, changed := c.look(now, p, seen)
	p.Why = p.Why[:min(len(p.Why), maxWhy)]
	c.rolling = p.Standing == Rolling
	return p, changed
}

func (c *Conductor) look(now time.Duration, p Plan, seen []Seen) (Plan, bool) {
	if !p.Under() {
		return p, false
	}
	// Hazard: who was out too long before an operator had it go on would be so at once again.
	if !c.rolling {
		clear(c.out)
		c.waits = false
	}
	p.Steps = slices.Clone(p.Steps)
	changed := c.await(now, &p, seen)
	if p.Standing != Stopped && p.count(Waits)+p.count(Out) == 0 {
		p.Standing, p.Why = Done, ""
		return p, true
	}
	if p.Standing != Rolling {
		return p, changed
	}
	// One step for each note: it is made before anybody acts by it.
	if changed || p.count(Waits) == 0 || p.count(Out) >= p.Out {
		c.waits = false
		return p, changed
	}
	k, why := next(p, seen)
	if k < 0 {
		if !c.waits {
			c.waits, c.blocked = true, now
		}
		if now-c.blocked <= p.Within {
			return p, false
		}
		p.Standing, p.Why = Halted, why
		return p, true
	}
	c.waits = false
	one, _ := find(seen, p.Steps[k].Member)
	p.Steps[k].Phase, p.Steps[k].Life = Out, one.Life
	return p, true
}

// await notes who has come back, and halts where one does not.
func (c *Conductor) await(now time.Duration, p *Plan, seen []Seen) (changed bool) {
	for i := range p.Steps {
		s := &p.Steps[i]
		one, member := find(seen, s.Member)
		if !member && s.Phase != Gone {
			s.Phase, s.Again, changed = Gone, false, true
			continue
		}
		if s.Phase != Out {
			delete(c.out, s.Member)
			continue
		}
		if one.Life != 0 && one.Life != s.Life && one.Well {
			if s.Phase, s.Life = Back, 0; s.Again {
				s.Phase, s.Again = Waits, false
			}
			changed = true
			continue
		}
		since, known := c.out[s.Member]
		if !known {
			c.out[s.Member] = now
			continue
		}
		if p.Standing == Rolling && now-since > p.Within {
			p.Standing, changed = Halted, true
			p.Why = fmt.Sprintf("%s is not back within %v: %s", s.Name, p.Within, state(one, s.Life))
		}
	}
	return changed
}

func state(one Seen, life uint64) string {
	switch {
	case one.Life == 0:
		return "it has no session"
	case one.Life == life:
		return "its process has not gone yet"
	}
	return one.Why
}

func find(seen []Seen, member uint64) (Seen, bool) {
	k := slices.IndexFunc(seen, func(s Seen) bool { return s.Member == member })
	if k < 0 {
		return Seen{}, false
	}
	return seen[k], true
}

// next is the step that may be taken now; -1: none, and why.
func next(p Plan, seen []Seen) (best int, why string) {
	best = -1
	for k, s := range p.Steps {
		if s.Phase != Waits {
			continue
		}
		one, _ := find(seen, s.Member)
		if bar := barred(p, one, seen); bar != "" {
			if why == "" {
				why = bar
			}
			continue
		}
		if best < 0 {
			best = k
		} else if other, _ := find(seen, p.Steps[best].Member); other.Last && !one.Last {
			best = k
		}
	}
	return best, why
}

// barred says why an instance may not be taken out now; empty: it may.
func barred(p Plan, one Seen, seen []Seen) string {
	out := func(member uint64) bool {
		return slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Member == member && s.Phase == Out })
	}
	away, voters, up, zone, well := p.count(Out), 0, 0, 0, 0
	for _, x := range seen {
		if x.Voter {
			voters++
		}
		if !x.Well && !out(x.Member) && x.Member != one.Member {
			// Who is down for another reason counts as out; one that is not well itself may go.
			if away++; away >= p.Out {
				return fmt.Sprintf("%s is not well: %s", x.Name, x.Why)
			}
		}
		if x.Member == one.Member {
			continue
		}
		if x.Zone == one.Zone {
			zone++
		}
		if x.Well && !out(x.Member) {
			if x.Voter {
				up++
			}
			if x.Zone == one.Zone {
				well++
			}
		}
	}
	switch {
	case one.Life == 0:
		return fmt.Sprintf("%s is not well: %s", one.Name, one.Why)
	case one.Voter && up < majority(voters):
		return fmt.Sprintf("without %s only %d of %d voters would be well", one.Name, up, voters)
	case well == 0 && !(p.Alone && zone == 0):
		return fmt.Sprintf("%s is the last of zone %s that is well", one.Name, one.Zone)
	}
	return ""
}
