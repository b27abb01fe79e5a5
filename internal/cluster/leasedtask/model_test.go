package leasedtask

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"

	"moorstack/internal/cluster/lease"
	"moorstack/internal/verify/modelcheck"
)

// The model has three instances, a leader that grants leases and assigns tasks, and the log. Entries are
// applied, leases requested and granted at any time, in any order; one instance at a time is isolated or
// stalls, for up to twice the time that surely ends its lease; the others get all that is in transit before
// time passes. Instances' clocks run at 0.6 to the leader's 1.4.

const (
	leaderStep       = 7 * time.Second // a step of time on the leader's clock
	instanceStep     = 3 * time.Second // the same step on the instances' clocks
	modelLease       = 2 * leaderStep
	modelExpiryWait  = 5 * leaderStep // a lease has surely expired after 4.9
	longestIsolation = 11 * leaderStep
	// requestsPerLease is how often an instance requests a lease while one lasts.
	requestsPerLease = 4
)

// guard is a rule that the model can leave out, to show that the model finds it missing.
type guard string

const (
	clockReadWhenActing  guard = "the clock is read in the turn that acts"
	leaseFromRequest     guard = "a lease counts from its request"
	stateAsNewAsLeaders  guard = "a lease counts once the state is as new as the leader's"
	noGrantWhileExpiring guard = "no grant counts once expiry is proposed"
)

// limits bound the model.
type limits struct {
	tasks, isolations, crashes, transfers, newLeaders int
	// losses: messages to and from the isolated instance may be lost.
	losses       bool
	omittedGuard guard
}

// logEntry is a command, or the opening of a session that replaces the member's last one.
type logEntry struct {
	command Command
	opened  Session // the zero Session: a command
}

// leaseRequest is a request for a lease in transit.
type leaseRequest struct {
	at    time.Duration // on the instance's clock
	epoch uint64
}

// leaseGrant is a grant in transit; index 0: it does not count for tasks.
type leaseGrant struct {
	leaseRequest
	index uint64
}

type modelInstance struct {
	state         *State
	applied       int
	epoch         uint64 // of this incarnation's session
	clock         lease.Tracker
	lastRequestAt time.Duration
	request       *leaseRequest
	grant         *leaseGrant
	released      uint64 // the fencing tokens that it has released, as bits
}

type model struct {
	limits    limits
	now       time.Duration
	log       []logEntry
	logStart  uint64    // entries before log, which all have applied
	proposed  []Command // the leader's, not committed yet
	instances [3]modelInstance

	assigner        *Assigner
	leaderState     *State
	sessionEpochs   [3]uint64        // of the open sessions, as the leader has applied
	leaseExpiresAt  [3]time.Duration // on the leader's clock
	preferredHolder string

	newestActs map[string]act // by task
	violation  string

	isolated                                   int // the isolated instance, from 1 on; 0: none
	isolatedSince                              time.Duration
	isolations, crashes, transfers, newLeaders int
}

// act is that an instance acted on a task under a fencing token.
type act struct {
	fencingToken uint64
	instance     int
}

// newModel returns a state in which all leases are granted and all tasks are held.
func newModel(l limits) *model {
	m := &model{limits: l, assigner: NewAssigner(0, 1), leaderState: NewState(0),
		newestActs: map[string]act{}, preferredHolder: "n1", logStart: 1}
	for i := range m.instances {
		m.instances[i] = modelInstance{state: NewState(0), epoch: uint64(i + 1), lastRequestAt: -modelLease}
		m.sessionEpochs[i], m.leaseExpiresAt[i] = uint64(i+1), modelExpiryWait
	}
	m.settle()
	for {
		next := m.Transitions()
		k := slices.IndexFunc(next, func(x modelcheck.Transition[*model]) bool {
			return strings.HasPrefix(x.Event, "apply") || strings.HasPrefix(x.Event, "grant") ||
				strings.HasPrefix(x.Event, "deliver grant") || x.Event == "commit"
		})
		if k < 0 {
			// Were n1 preferred, it would get again what it has lost, and its lease would show nothing.
			m.preferredHolder = "n2"
			return m
		}
		m = next[k].State
	}
}

// instanceClock is what the instances' clocks show.
func (m *model) instanceClock() time.Duration { return m.now / leaderStep * instanceStep }

func (m *model) session(i int) Session { return Session{uint64(i + 1), m.instances[i].epoch} }

// leases are the tasks that an instance holds, as far as its own state goes.
func (m *model) leases(i int) []Lease {
	x := &m.instances[i]
	return x.state.HeldBy(m.session(i), x.clock.ExpiresAt(x.epoch, modelLease))
}

func (x *modelInstance) hasReleased(fencingToken uint64) bool {
	return x.released&(1<<fencingToken) != 0
}

func (e logEntry) applyTo(s *State) {
	if e.opened != (Session{}) {
		s.SessionsExpired(func(x Session) bool {
			return x.Member == e.opened.Member && x.Epoch != e.opened.Epoch
		}, "", 0)
		return
	}
	_ = s.Apply(e.command, everySessionOpen)
}

// commit puts an entry into the log. The leader applies it at once.
func (m *model) commit(e logEntry) {
	m.log = append(m.log, e)
	if e.opened != (Session{}) {
		m.sessionEpochs[e.opened.Member-1] = e.opened.Epoch
	}
	e.applyTo(m.leaderState)
}

// settle does what follows from an event at once: instances request leases, the leader evaluates, and
// holders act.
func (m *model) settle() {
	now := m.instanceClock()
	for i := range m.instances {
		x := &m.instances[i]
		x.clock.ObserveApplied(m.logStart + uint64(x.applied))
		if x.request == nil && x.grant == nil && now-x.lastRequestAt >= modelLease/requestsPerLease {
			x.request, x.lastRequestAt = &leaseRequest{now, x.epoch}, now
		}
	}
	view := ClusterView{Now: m.now, Lease: modelLease,
		LeaseExpired: func(member uint64) bool { return m.now >= m.leaseExpiresAt[member-1] }}
	for n := range m.limits.tasks {
		view.Specs = append(view.Specs, Spec{Name: fmt.Sprint("t", n),
			PreferredHolders: []string{m.preferredHolder}})
	}
	for i := range m.instances {
		view.Members = append(view.Members, Member{Session: Session{uint64(i + 1), m.sessionEpochs[i]},
			Name: fmt.Sprint("n", i+1), Healthy: m.now < m.leaseExpiresAt[i]})
	}
	m.proposed = append(m.proposed, m.assigner.Evaluate(m.leaderState, view)...)
	m.act()
}

// act has every holder act that may, and records what is wrong with it.
func (m *model) act() {
	for i := range m.instances {
		now := m.instanceClock()
		if m.limits.omittedGuard == clockReadWhenActing && m.isolated == i+1 {
			now = m.isolatedSince / leaderStep * instanceStep
		}
		for _, l := range m.leases(i) {
			if !l.Valid(now) || m.instances[i].hasReleased(l.FencingToken) {
				continue
			}
			newest := m.newestActs[l.Task]
			if l.FencingToken < newest.fencingToken ||
				l.FencingToken == newest.fencingToken && newest.instance != i {
				m.violation = fmt.Sprintf("n%d acts on %s under %d after n%d has under %d", i+1, l.Task,
					l.FencingToken, newest.instance+1, newest.fencingToken)
			}
			m.newestActs[l.Task] = act{l.FencingToken, i}
		}
	}
}

// Violation implements modelcheck.State.
func (m *model) Violation() string { return m.violation }

func (s *State) clone() *State {
	c := &State{Tasks: map[string]*Task{}, LastFencingToken: s.LastFencingToken}
	for name, t := range s.Tasks {
		x := *t
		x.History = nil
		c.Tasks[name] = &x
	}
	return c
}

func (m *model) clone() *model {
	c := *m
	applied := len(m.log)
	for _, x := range m.instances {
		applied = min(applied, x.applied)
	}
	c.log, c.logStart = slices.Clone(m.log[applied:]), m.logStart+uint64(applied)
	for i := range c.instances {
		c.instances[i].applied -= applied
		c.instances[i].state = c.instances[i].state.clone()
	}
	a := *m.assigner
	a.proposedAt, a.expiring = map[proposal]time.Duration{}, maps.Clone(a.expiring)
	for key, at := range m.assigner.proposedAt {
		if m.now-at < modelLease/2 { // older ones have no effect
			a.proposedAt[key] = at
		}
	}
	c.proposed, c.newestActs = slices.Clone(m.proposed), maps.Clone(m.newestActs)
	c.assigner, c.leaderState = &a, m.leaderState.clone()
	return &c
}

var keySeed = maphash.MakeSeed()

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	var h maphash.Hash
	h.SetSeed(keySeed)
	put := func(values ...any) { fmt.Fprintln(&h, values...) }
	put(m.isolated, m.isolations, m.crashes, m.transfers, m.newLeaders, m.sessionEpochs, m.newestActs)
	if m.isolated > 0 {
		put(int(m.now - m.isolatedSince))
	}
	put(m.assigner.expiring)
	for _, c := range m.proposed {
		put(c.Kind, c.Task, c.Session, c.FencingToken)
	}
	furthestBehind := 0
	for i := range m.instances {
		m.putInstance(i, put)
		if m.instances[i].applied < m.instances[furthestBehind].applied {
			furthestBehind = i
		}
	}
	for _, t := range m.instances[furthestBehind].state.List() {
		put(t.Name, t.Holder, t.FencingToken, t.ReleaseReason)
	}
	for _, e := range m.log[m.instances[furthestBehind].applied:] {
		put(e.command.Kind, e.command.Task, e.command.Session, e.command.FencingToken, e.opened)
	}
	return h.Sum64()
}

// putInstance writes what belongs to one instance, with times counted from now.
func (m *model) putInstance(i int, put func(values ...any)) {
	x, now := &m.instances[i], m.instanceClock()
	remaining := func(d time.Duration) int { return int(max(d, 0) / time.Second) }
	put(len(m.log)-x.applied, x.epoch, x.released, remaining(m.leaseExpiresAt[i]-m.now),
		remaining(x.clock.ExpiresAt(x.epoch, modelLease)-now))
	if x.request != nil {
		put("request", x.request.epoch, remaining(x.request.at+modelLease-now))
	}
	if x.grant != nil {
		put("grant", x.grant.epoch, remaining(x.grant.at+modelLease-now),
			int(x.grant.index-m.logStart)-x.applied)
	}
	// A granted lease that waits for an entry shows in what a copy of the clock does once that is applied.
	for applied := x.applied + 1; applied <= len(m.log); applied++ {
		clock := x.clock
		clock.ObserveApplied(m.logStart + uint64(applied))
		if clock != x.clock {
			put("pending", remaining(clock.ExpiresAt(x.epoch, modelLease)-now), applied-x.applied)
			break
		}
	}
	put(remaining(x.lastRequestAt + modelLease/requestsPerLease - now))
}
