package rollingrestart

import (
	"fmt"
	"slices"
	"time"
)

// InstanceStatus is an instance as the controller observes it. The observation may be wrong or late: it
// determines when the next instance is restarted, but never which instances count as restarting.
type InstanceStatus struct {
	Member      uint64
	Name        string
	Zone        string
	Voter       bool
	Incarnation uint64 // of the process that has the open session; 0: none is open
	Healthy     bool   // it responds, runs the configuration in force, and admits jobs
	Reason      string // why it is not healthy
	RestartLast bool   // it leads or runs the controller, which must be transferred first
}

// Controller decides, during one lease of the task, what to record next.
type Controller struct {
	restartingSince map[uint64]time.Duration // by member: when it was first observed to be restarting
	blocked         bool                     // no waiting instance may be restarted
	blockedSince    time.Duration
	wasRolling      bool // the plan was rolling after the last call of Reconcile
}

// NewController returns a controller. It does not know how long an instance has been restarting. It counts
// from its first observation, so that a new controller does not halt a restart that is progressing well.
func NewController() *Controller {
	return &Controller{restartingSince: map[uint64]time.Duration{}}
}

// Reconcile returns the plan to record, and whether it differs from p. A change takes effect only once the
// note is committed. The time now is on a monotonic clock.
func (c *Controller) Reconcile(now time.Duration, p Plan, instances []InstanceStatus) (Plan, bool) {
	p, changed := c.reconcile(now, p, instances)
	p.HaltReason = p.HaltReason[:min(len(p.HaltReason), maxReasonBytes)]
	c.wasRolling = p.Status == Rolling
	return p, changed
}

func (c *Controller) reconcile(now time.Duration, p Plan, instances []InstanceStatus) (Plan, bool) {
	if !p.Active() {
		return p, false
	}
	// Without this reset, an instance that had exceeded the timeout before an operator resumed the plan would
	// exceed it again at once.
	if !c.wasRolling {
		clear(c.restartingSince)
		c.blocked = false
	}
	p.Steps = slices.Clone(p.Steps)
	changed := c.observeSteps(now, &p, instances)
	if p.Status != Stopped && p.count(Waiting)+p.count(Restarting) == 0 {
		p.Status, p.HaltReason = Done, ""
		return p, true
	}
	if p.Status != Rolling {
		return p, changed
	}
	// Only one step begins per update of the note: it must be committed before anything acts on it.
	if changed || p.count(Waiting) == 0 || p.count(Restarting) >= p.MaxUnavailable {
		c.blocked = false
		return p, changed
	}
	return c.restartNext(now, p, instances)
}

// restartNext begins the next step, or halts the plan if no step has been allowed for longer than the
// timeout.
func (c *Controller) restartNext(now time.Duration, p Plan, instances []InstanceStatus) (Plan, bool) {
	k, reason := nextStep(p, instances)
	if k >= 0 {
		c.blocked = false
		instance, _ := findInstance(instances, p.Steps[k].Member)
		p.Steps[k].Phase, p.Steps[k].Incarnation = Restarting, instance.Incarnation
		return p, true
	}
	if !c.blocked {
		c.blocked, c.blockedSince = true, now
	}
	if now-c.blockedSince <= p.Timeout {
		return p, false
	}
	p.Status, p.HaltReason = Halted, reason
	return p, true
}

// observeSteps records which instances are back or removed, and halts the plan if one exceeds the timeout.
func (c *Controller) observeSteps(now time.Duration, p *Plan, instances []InstanceStatus) (changed bool) {
	for i := range p.Steps {
		s := &p.Steps[i]
		instance, member := findInstance(instances, s.Member)
		switch {
		case !member && s.Phase != Removed:
			s.Phase, s.RestartAgain, changed = Removed, false, true
		case s.Phase != Restarting:
			delete(c.restartingSince, s.Member)
		case instance.Incarnation != 0 && instance.Incarnation != s.Incarnation && instance.Healthy:
			if s.Phase, s.Incarnation = Restarted, 0; s.RestartAgain {
				s.Phase, s.RestartAgain = Waiting, false
			}
			changed = true
		case c.timedOut(now, s.Member, p.Timeout) && p.Status == Rolling:
			p.Status, changed = Halted, true
			p.HaltReason = fmt.Sprintf("%s is not back within %v: %s", s.Name, p.Timeout,
				pendingReason(instance, s.Incarnation))
		}
	}
	return changed
}

// timedOut reports whether a member was first observed to be restarting longer ago than the timeout.
func (c *Controller) timedOut(now time.Duration, member uint64, timeout time.Duration) bool {
	since, known := c.restartingSince[member]
	if !known {
		c.restartingSince[member] = now
		return false
	}
	return now-since > timeout
}

// pendingReason returns why an instance is not back. The given incarnation is the one that must exit.
func pendingReason(instance InstanceStatus, incarnation uint64) string {
	switch instance.Incarnation {
	case 0:
		return "it has no session"
	case incarnation:
		return "its process has not gone yet"
	}
	return instance.Reason
}

func findInstance(instances []InstanceStatus, member uint64) (InstanceStatus, bool) {
	k := slices.IndexFunc(instances, func(s InstanceStatus) bool { return s.Member == member })
	if k < 0 {
		return InstanceStatus{}, false
	}
	return instances[k], true
}

// nextStep returns the index of the step that may begin now, or -1 and the reason if none may.
func nextStep(p Plan, instances []InstanceStatus) (best int, reason string) {
	best = -1
	for k, s := range p.Steps {
		if s.Phase != Waiting {
			continue
		}
		instance, _ := findInstance(instances, s.Member)
		if blocked := blockedReason(p, instance, instances); blocked != "" {
			if reason == "" {
				reason = blocked
			}
			continue
		}
		if best < 0 {
			best = k
		} else if other, _ := findInstance(instances, p.Steps[best].Member); other.RestartLast &&
			!instance.RestartLast {
			best = k
		}
	}
	return best, reason
}

// blockedReason returns why an instance may not be restarted now, or an empty string if it may.
func blockedReason(p Plan, instance InstanceStatus, instances []InstanceStatus) string {
	unavailable, voters, healthyVoters, othersInZone, healthyInZone := p.count(Restarting), 0, 0, 0, 0
	for _, x := range instances {
		if x.Voter {
			voters++
		}
		if x.Member == instance.Member {
			continue // whether the instance itself is healthy does not matter
		}
		if x.Zone == instance.Zone {
			othersInZone++
		}
		switch restarting := p.isRestarting(x.Member); {
		case restarting:
		case !x.Healthy:
			// An instance that is down for another reason counts as unavailable.
			if unavailable++; unavailable >= p.MaxUnavailable {
				return fmt.Sprintf("%s is not well: %s", x.Name, x.Reason)
			}
		default:
			if x.Voter {
				healthyVoters++
			}
			if x.Zone == instance.Zone {
				healthyInZone++
			}
		}
	}
	switch {
	case instance.Incarnation == 0:
		return fmt.Sprintf("%s is not well: %s", instance.Name, instance.Reason)
	case instance.Voter && healthyVoters < majority(voters):
		return fmt.Sprintf("without %s only %d of %d voters would be well", instance.Name, healthyVoters,
			voters)
	case healthyInZone == 0 && !(p.AllowLastInZone && othersInZone == 0):
		return fmt.Sprintf("%s is the last of zone %s that is well", instance.Name, instance.Zone)
	}
	return ""
}
