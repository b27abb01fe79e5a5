package rollingrestart

import (
	"fmt"
	"slices"
	"time"
)

// InstanceStatus is an instance as the conductor sees it. What it sees may be wrong or late: it decides when
// the next one is taken out, and never who is.
type InstanceStatus struct {
	Member      uint64
	Name        string
	Zone        string
	Voter       bool
	Incarnation uint64 // of the process that has the open session; 0: none has
	Healthy     bool   // it answers, runs what is in force, and admits jobs
	Reason      string // it is not well
	RestartLast bool   // it leads, or conducts: it is left for later, for that has to be handed on
}

// Controller judges, in one holding of the duty, what is to be noted next.
type Controller struct {
	out     map[uint64]time.Duration // since when it has been seen out
	blocked time.Duration            // since when nobody may be taken out
	waits   bool                     // it has been
	rolling bool                     // the plan was, after the last look
}

// NewController begins to conduct. Hazard: how long an instance has been out is not known to it. It begins
// to count anew, so that a conductor that comes does not halt what goes well.
func NewController() *Controller { return &Controller{out: map[uint64]time.Duration{}} }

// Reconcile gives the plan as it is to be noted, and whether that is another one. All that it changes counts
// only once it is agreed on.
func (c *Controller) Reconcile(now time.Duration, p Plan, seen []InstanceStatus) (Plan, bool) {
	p, changed := c.look(now, p, seen)
	p.HaltReason = p.HaltReason[:min(len(p.HaltReason), maxWhy)]
	c.rolling = p.Status == Rolling
	return p, changed
}

func (c *Controller) look(now time.Duration, p Plan, seen []InstanceStatus) (Plan, bool) {
	if !p.Active() {
		return p, false
	}
	// Hazard: who was out too long before an operator had it go on would be so at once again.
	if !c.rolling {
		clear(c.out)
		c.waits = false
	}
	p.Steps = slices.Clone(p.Steps)
	changed := c.await(now, &p, seen)
	if p.Status != Stopped && p.count(Waiting)+p.count(Restarting) == 0 {
		p.Status, p.HaltReason = Done, ""
		return p, true
	}
	if p.Status != Rolling {
		return p, changed
	}
	// One step for each note: it is made before anybody acts by it.
	if changed || p.count(Waiting) == 0 || p.count(Restarting) >= p.MaxUnavailable {
		c.waits = false
		return p, changed
	}
	k, why := next(p, seen)
	if k < 0 {
		if !c.waits {
			c.waits, c.blocked = true, now
		}
		if now-c.blocked <= p.Timeout {
			return p, false
		}
		p.Status, p.HaltReason = Halted, why
		return p, true
	}
	c.waits = false
	one, _ := find(seen, p.Steps[k].Member)
	p.Steps[k].Phase, p.Steps[k].Incarnation = Restarting, one.Incarnation
	return p, true
}

// await notes who has come back, and halts where one does not.
func (c *Controller) await(now time.Duration, p *Plan, seen []InstanceStatus) (changed bool) {
	for i := range p.Steps {
		s := &p.Steps[i]
		one, member := find(seen, s.Member)
		if !member && s.Phase != Removed {
			s.Phase, s.RestartAgain, changed = Removed, false, true
			continue
		}
		if s.Phase != Restarting {
			delete(c.out, s.Member)
			continue
		}
		if one.Incarnation != 0 && one.Incarnation != s.Incarnation && one.Healthy {
			if s.Phase, s.Incarnation = Restarted, 0; s.RestartAgain {
				s.Phase, s.RestartAgain = Waiting, false
			}
			changed = true
			continue
		}
		since, known := c.out[s.Member]
		if !known {
			c.out[s.Member] = now
			continue
		}
		if p.Status == Rolling && now-since > p.Timeout {
			p.Status, changed = Halted, true
			p.HaltReason = fmt.Sprintf(
				"%s is not back within %v: %s",
				s.Name,
				p.Timeout,
				state(one, s.Incarnation),
			)
		}
	}
	return changed
}

func state(one InstanceStatus, life uint64) string {
	switch {
	case one.Incarnation == 0:
		return "it has no session"
	case one.Incarnation == life:
		return "its process has not gone yet"
	}
	return one.Reason
}

func find(seen []InstanceStatus, member uint64) (InstanceStatus, bool) {
	k := slices.IndexFunc(seen, func(s InstanceStatus) bool { return s.Member == member })
	if k < 0 {
		return InstanceStatus{}, false
	}
	return seen[k], true
}

// next is the step that may be taken now; -1: none, and why.
func next(p Plan, seen []InstanceStatus) (best int, why string) {
	best = -1
	for k, s := range p.Steps {
		if s.Phase != Waiting {
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
		} else if other, _ := find(seen, p.Steps[best].Member); other.RestartLast && !one.RestartLast {
			best = k
		}
	}
	return best, why
}

// barred says why an instance may not be taken out now; empty: it may.
func barred(p Plan, one InstanceStatus, seen []InstanceStatus) string {
	out := func(member uint64) bool {
		return slices.ContainsFunc(
			p.Steps,
			func(s Step) bool { return s.Member == member && s.Phase == Restarting },
		)
	}
	away, voters, up, zone, well := p.count(Restarting), 0, 0, 0, 0
	for _, x := range seen {
		if x.Voter {
			voters++
		}
		if !x.Healthy && !out(x.Member) && x.Member != one.Member {
			// Who is down for another reason counts as out; one that is not well itself may go.
			if away++; away >= p.MaxUnavailable {
				return fmt.Sprintf("%s is not well: %s", x.Name, x.Reason)
			}
		}
		if x.Member == one.Member {
			continue
		}
		if x.Zone == one.Zone {
			zone++
		}
		if x.Healthy && !out(x.Member) {
			if x.Voter {
				up++
			}
			if x.Zone == one.Zone {
				well++
			}
		}
	}
	switch {
	case one.Incarnation == 0:
		return fmt.Sprintf("%s is not well: %s", one.Name, one.Reason)
	case one.Voter && up < majority(voters):
		return fmt.Sprintf("without %s only %d of %d voters would be well", one.Name, up, voters)
	case well == 0 && !(p.AllowLastInZone && zone == 0):
		return fmt.Sprintf("%s is the last of zone %s that is well", one.Name, one.Zone)
	}
	return ""
}
