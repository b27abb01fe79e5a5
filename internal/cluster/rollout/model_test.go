package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model has every order of events of a small group: entries applied early or late, reports and grants
// delayed by any time, time passing between any two events, and a crash, a lost message, a stalled leader and
// a change of leader at any point. A state is wrong if an instance might admit a job under a configuration
// after another might have admitted one under a later one.
//
// Time passes in steps of half a lease on the leader's clock, and as slowly as is allowed on the instances'
// clocks: at 0.6 to the leader's 1.4. A lease then lasts less than five steps, and the leader waits 4.9:
// there is no step to spare.

const (
	leaderStep   = 7 * time.Second // a step of time on the leader's clock
	instanceStep = 3 * time.Second // the same step on the instances' clocks
	// tooSlowStep is a step on clocks that are slower than the package allows for.
	tooSlowStep = 2500 * time.Millisecond
	// longestIsolation is long enough for a lease to have surely expired, and for two attempts at a change.
	longestIsolation = 7 * leaderStep
)

var modelPolicy = Policy{WhenIsolated: StopAtLeaseExpiry, Lease: 2 * leaderStep, StagingTimeout: time.Hour,
	MaxAdmissionPause: 3 * leaderStep}

// guard is a rule that the model can leave out, to show that the model finds it missing.
type guard string

const (
	twoPhases               guard = "a change is committed in two phases"
	confirmedClosing        guard = "a commit needs every instance's confirmation"
	leaseFromRequest        guard = "a lease counts from its request"
	monotonicClock          guard = "the clock can't be set back"
	clockReadWhenAdmitting  guard = "the clock is read in the turn that admits"
	closedUntilSession      guard = "an instance that starts admits nothing before it has a session"
	clockRateWithinTheBound guard = "clocks keep to the bounds of their rates"
)

// limits bound the model.
type limits struct {
	instances, changes int
	endsAt             time.Duration // 0: never
	crashes, losses    int
	newLeaders         int
	leaderStalls       int
	isolations         int  // of one instance from the rest, each for up to longestIsolation
	promptOtherwise    bool // all other messages are delivered, in any order, before time passes
	omittedGuard       guard
}

// logEntry is the proposal of a change, by number, or a command.
type logEntry struct {
	change  int // 0: a command
	command Command
}

type modelInstance struct {
	holder      LeaseHolder
	applied     int
	state       *State
	revision    uint64 // in force, as far as it has applied the log
	permit      Permit
	report      *Report // in transit to the leader
	grant       *Grant  // in transit from the leader
	justStarted bool    // it has no session yet
}

type model struct {
	limits limits

	now       time.Duration
	log       []logEntry
	instances []modelInstance

	leader         *Leader
	leaderState    *State // as the leader's own instance has it
	leaderRevision uint64
	leaderApplied  int

	newestAdmitted uint64 // revision under which an instance might have admitted a job
	isolated       int    // the instance that is isolated, from 1 on; 0: none
	isolatedSince  time.Duration

	changes, crashes, losses, newLeaders, leaderStalls, isolations int
	lastIncarnation                                                uint64
}

// newModel returns the state in which all instances of a group admit jobs.
func newModel(l limits) *model {
	m := &model{limits: limits{instances: l.instances}, leaderState: NewState(), leader: NewLeader(0, 1),
		leaderRevision: 1}
	if l.omittedGuard == clockRateWithinTheBound {
		m.limits.omittedGuard = l.omittedGuard
	}
	for i := range l.instances {
		m.lastIncarnation++
		m.instances = append(m.instances, modelInstance{state: NewState(), revision: 1,
			holder: *NewLeaseHolder(uint64(i+1), m.lastIncarnation)})
	}
	for {
		events := m.events()
		if events[0].name == timePasses {
			m.limits = l
			return m
		}
		m.handleEvent(events[0])
	}
}

// instanceClock is what the instances' clocks show.
func (m *model) instanceClock() time.Duration { return m.onInstanceClock(m.now) }

func (m *model) onInstanceClock(at time.Duration) time.Duration {
	if m.limits.omittedGuard == clockRateWithinTheBound {
		return at / leaderStep * tooSlowStep
	}
	return at / leaderStep * instanceStep
}

// admits reports whether an instance might admit a job now, with the guard that is left out.
func (m *model) admits(i int) bool {
	x, now, isolated := &m.instances[i], m.instanceClock(), m.isolated == i+1
	switch {
	case m.limits.omittedGuard == monotonicClock && isolated:
		now -= modelPolicy.Lease // somebody has set the clock back
	case m.limits.omittedGuard == clockReadWhenAdmitting && isolated:
		now = m.isolatedSince / leaderStep * instanceStep // as when it stalled
	case m.limits.omittedGuard == closedUntilSession && x.justStarted:
		return true
	}
	return x.permit.Admits(now, x.revision)
}

// Violation describes what is wrong in this state; empty if nothing is.
func (m *model) Violation() string {
	for i := range m.instances {
		if revision := m.instances[i].revision; m.admits(i) && revision < m.newestAdmitted {
			return fmt.Sprintf("n%d may admit under %d, and an instance might have under %d", i+1, revision,
				m.newestAdmitted)
		}
	}
	for i := range m.instances {
		if m.admits(i) {
			m.newestAdmitted = max(m.newestAdmitted, m.instances[i].revision)
		}
	}
	return ""
}

// applyTo applies an entry to a state, and updates the revision in force.
func (e logEntry) applyTo(s *State, revision *uint64) {
	if e.change > 0 {
		if s.Pending == nil {
			s.Pending = &PendingChange{Change: fmt.Sprint(e.change), Revision: *revision + 1, Phase: Staging,
				Attempt: 1}
		}
		return
	}
	pending := s.Pending
	if s.Apply(e.command) == nil && e.command.Kind == Commit {
		*revision = pending.Revision
	}
}

// observeState has an instance's fronts act on the state as it has applied it.
func (m *model) observeState(i int) {
	x := &m.instances[i]
	x.holder.ObserveState(x.state)
	x.justStarted = x.justStarted && x.holder.epoch == 0
	x.permit = x.holder.Permit(x.state, x.revision, modelPolicy)
	if x.permit.Change != "" {
		x.holder.SetAdmissionClosed(x.permit.Change, x.permit.Attempt)
	}
	if p := x.state.Pending; p != nil && x.holder.stagedChange != p.Change {
		x.holder.SetStaged(p.Change, nil)
	}
}

// handleEvent has an event happen, and what follows from it at once: instances send what they have to
// report, and the leader evaluates. How long a message takes is up to later events.
func (m *model) handleEvent(e event) {
	e.apply(m)
	m.sendReports()
	m.applyAtLeader()
	m.commitUnconfirmed()
	for _, c := range m.leader.Evaluate(m.now, m.leaderState, modelPolicy, m.names()) {
		m.log = append(m.log, logEntry{command: c})
	}
	m.applyAtLeader()
}

// commitUnconfirmed has the leader commit without the confirmations that it needs.
func (m *model) commitUnconfirmed() {
	p := m.leaderState.Pending
	if p == nil {
		return
	}
	c := Command{Change: p.Change, Attempt: p.Attempt, Sessions: m.leaderState.OpenSessions()}
	closeAdmission, commit := c, c
	closeAdmission.Kind, commit.Kind = CloseAdmission, Commit
	if m.limits.omittedGuard == twoPhases {
		m.log = append(m.log, logEntry{command: closeAdmission}, logEntry{command: commit})
	}
	if m.limits.omittedGuard == confirmedClosing && p.Phase == ClosingAdmission {
		m.log = append(m.log, logEntry{command: commit})
	}
}

func (m *model) sendReports() {
	for i := range m.instances {
		x := &m.instances[i]
		if x.report == nil && x.grant == nil {
			if r, due := x.holder.NextReport(m.instanceClock(), modelPolicy); due {
				x.report = &r
			}
		}
	}
}

// applyAtLeader has the leader's own instance apply the whole log.
func (m *model) applyAtLeader() {
	for ; m.leaderApplied < len(m.log); m.leaderApplied++ {
		m.log[m.leaderApplied].applyTo(m.leaderState, &m.leaderRevision)
	}
}

func (m *model) names() map[uint64]string {
	names := map[uint64]string{}
	for i := range m.instances {
		names[uint64(i+1)] = fmt.Sprint("n", i+1)
	}
	return names
}

func (s *State) clone() *State {
	c := &State{Sessions: maps.Clone(s.Sessions), LastEpoch: s.LastEpoch}
	if s.Pending != nil {
		p := *s.Pending
		c.Pending = &p
	}
	return c
}

func (l *Leader) clone() *Leader {
	c := *l
	c.members, c.proposedAt = map[uint64]*memberState{}, map[proposal]time.Duration{}
	for key, at := range l.proposedAt {
		if l.lastEvaluated-at < modelPolicy.Lease/2 { // older ones have no effect
			c.proposedAt[key] = at
		}
	}
	for id, x := range l.members {
		y := *x
		c.members[id] = &y
	}
	return &c
}

func (m *model) clone() *model {
	c := *m
	c.instances = slices.Clone(m.instances)
	// Entries that all have applied are not needed any more.
	applied := m.leaderApplied
	for _, x := range m.instances {
		applied = min(applied, x.applied)
	}
	c.log, c.leaderApplied = slices.Clone(m.log[applied:]), m.leaderApplied-applied
	for i := range c.instances {
		c.instances[i].applied -= applied
		c.instances[i].state = c.instances[i].state.clone()
	}
	c.leader, c.leaderState = m.leader.clone(), m.leaderState.clone()
	return &c
}
