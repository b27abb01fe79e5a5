package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model covers every order of the events of a small group: entries that are applied early or late,
// reports and grants with any delay, time that passes between any two events, and crashes, lost messages, a
// stalled leader and changes of leader at any point. A state is a violation if an instance might admit a job
// under a configuration after another instance might have admitted one under a later configuration.
//
// Time passes in steps of half a lease on the leader's clock. The instances' clocks run as slowly as is
// allowed, at 0.6 to the leader's 1.4. A lease then lasts less than five steps, and the leader waits for 4.9
// steps, so there is no margin of a whole step.

const (
	leaderStep   = 7 * time.Second // a step of time on the leader's clock
	instanceStep = 3 * time.Second // the same step on the instances' clocks
	// tooSlowStep is a step on clocks whose rate is below the allowed minimum.
	tooSlowStep = 2500 * time.Millisecond
	// maxIsolation is long enough for a lease to be guaranteed to expire, and for two attempts at a change.
	maxIsolation = 7 * leaderStep
)

var modelPolicy = Policy{WhenIsolated: StopAtLeaseExpiry, Lease: 2 * leaderStep, StagingTimeout: time.Hour,
	MaxAdmissionPause: 3 * leaderStep}

// guard is a safety rule that the model can omit, to test that it finds the violation that follows.
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

// limits bound the events of the model.
type limits struct {
	instances, changes int
	endsAt             time.Duration // 0: never
	crashes, losses    int
	newLeaders         int
	leaderStalls       int
	isolations         int  // of an instance from the others, each for up to maxIsolation
	promptDelivery     bool // deliver all messages, except those of an isolated instance, before time passes
	omittedGuard       guard
}

// logEntry is either the proposal of a change, given by its number, or a command.
type logEntry struct {
	change  int // 0: the entry is a command
	command Command
}

type modelInstance struct {
	holder      LeaseHolder
	applied     int
	state       *State
	revision    uint64 // in force according to the applied entries
	permit      Permit
	report      *Report // in transit to the leader
	grant       *Grant  // in transit from the leader
	justStarted bool    // it has had no session since it started
}

type model struct {
	limits limits

	now       time.Duration
	log       []logEntry
	instances []modelInstance

	leader         *Leader
	leaderState    *State // of the instance that is the leader
	leaderRevision uint64
	leaderApplied  int

	newestAdmitted uint64 // latest revision under which an instance might have admitted a job
	isolated       int    // number of the isolated instance, from 1; 0: none
	isolatedSince  time.Duration

	changes, crashes, losses, newLeaders, leaderStalls, isolations int
	lastIncarnation                                                uint64
}

// newModel returns a model in a state in which all instances admit jobs.
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

// instanceClock returns the time on the instances' clocks.
func (m *model) instanceClock() time.Duration { return m.onInstanceClock(m.now) }

func (m *model) onInstanceClock(at time.Duration) time.Duration {
	if m.limits.omittedGuard == clockRateWithinTheBound {
		return at / leaderStep * tooSlowStep
	}
	return at / leaderStep * instanceStep
}

// admits reports whether an instance might admit a job now, given the omitted guard.
func (m *model) admits(i int) bool {
	inst, now, isolated := &m.instances[i], m.instanceClock(), m.isolated == i+1
	switch {
	case m.limits.omittedGuard == monotonicClock && isolated:
		now -= modelPolicy.Lease // the clock was set back
	case m.limits.omittedGuard == clockReadWhenAdmitting && isolated:
		now = m.isolatedSince / leaderStep * instanceStep // the reading from before it stalled
	case m.limits.omittedGuard == closedUntilSession && inst.justStarted:
		return true
	}
	return inst.permit.Admits(now, inst.revision)
}

// Violation implements modelcheck.State: it describes the violation in this state; empty if there is none.
func (m *model) Violation() string {
	for i := range m.instances {
		if revision := m.instances[i].revision; m.admits(i) && revision < m.newestAdmitted {
			return fmt.Sprintf("n%d may admit jobs under revision %d, another instance may have under %d",
				i+1, revision, m.newestAdmitted)
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

// observeState updates an instance's lease holder and fronts after the instance's state has changed.
func (m *model) observeState(i int) {
	inst := &m.instances[i]
	inst.holder.ObserveState(inst.state)
	inst.justStarted = inst.justStarted && inst.holder.epoch == 0
	inst.permit = inst.holder.Permit(inst.state, inst.revision, modelPolicy)
	if inst.permit.Change != "" {
		inst.holder.SetAdmissionClosed(inst.permit.Change, inst.permit.Attempt)
	}
	if p := inst.state.Pending; p != nil && inst.holder.stagedChange != p.Change {
		inst.holder.SetStaged(p.Change, nil)
	}
}

// handleEvent applies an event and its immediate consequences: instances send their due reports, and the
// leader evaluates. Messages are delivered by later events.
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

// commitUnconfirmed makes the leader commit without the required confirmations, if such a guard is omitted.
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
		inst := &m.instances[i]
		if inst.report == nil && inst.grant == nil {
			if r, due := inst.holder.NextReport(m.instanceClock(), modelPolicy); due {
				inst.report = &r
			}
		}
	}
}

// applyAtLeader applies the whole log on the instance that is the leader.
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
		if l.lastEvaluated-at < modelPolicy.Lease/2 { // older proposals have no effect
			c.proposedAt[key] = at
		}
	}
	for id, member := range l.members {
		memberCopy := *member
		c.members[id] = &memberCopy
	}
	return &c
}

func (m *model) clone() *model {
	c := *m
	c.instances = slices.Clone(m.instances)
	// Entries that all instances have applied are no longer needed.
	applied := m.leaderApplied
	for _, inst := range m.instances {
		applied = min(applied, inst.applied)
	}
	c.log, c.leaderApplied = slices.Clone(m.log[applied:]), m.leaderApplied-applied
	for i := range c.instances {
		c.instances[i].applied -= applied
		c.instances[i].state = c.instances[i].state.clone()
	}
	c.leader, c.leaderState = m.leader.clone(), m.leaderState.clone()
	return &c
}
