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

// The model consists of three instances, a leader that grants leases and assigns tasks, and the log. Entries
// are applied, and leases are requested and granted, at any time and in any order. One instance at a time is
// isolated or stalls, for up to twice the time after which its lease has certainly expired; the others
// receive everything in transit before time passes. The instances' clocks run at a rate of 0.6, the leader's
// at 1.4.

const (
	leaderStep       = 7 * time.Second // a time step on the leader's clock
	instanceStep     = 3 * time.Second // the same step on the instances' clocks
	modelLease       = 2 * leaderStep
	modelExpiryWait  = 5 * leaderStep // a lease has certainly expired after 4.9 steps
	longestIsolation = 11 * leaderStep
	// requestsPerLease is how many times an instance requests a lease within the duration of one.
	requestsPerLease = 4
)

// guard is a safety rule that the model can omit, to show that it detects the violations that the rule
// prevents.
type guard string

const (
	clockReadWhenActing  guard = "the clock is read immediately before acting"
	leaseFromRequest     guard = "a lease starts at the time of its request"
	stateAsNewAsLeaders  guard = "a lease counts once the state is as new as the leader's was"
	noGrantWhileExpiring guard = "no grant counts once an expiry is proposed"
)

// limits bounds the events of the model.
type limits struct {
	tasks, isolations, crashes, transfers, newLeaders int
	// losses: messages to and from the isolated instance may be lost.
	losses       bool
	omittedGuard guard
}

// logEntry is a command, or the opening of a session that replaces the member's previous one.
type logEntry struct {
	command Command
	opened  Session // the zero Session: the entry is a command
}

// leaseRequest is a request for a lease, in transit.
type leaseRequest struct {
	at    time.Duration // on the instance's clock
	epoch uint64
}

// leaseGrant is a grant in transit. Index 0 means that it does not count for tasks.
type leaseGrant struct {
	leaseRequest
	index uint64
}

type modelInstance struct {
	state         *State
	applied       int
	epoch         uint64 // of the current incarnation's session
	clock         lease.Tracker
	lastRequestAt time.Duration
	request       *leaseRequest
	grant         *leaseGrant
	released      uint64 // bit set of the fencing tokens of the leases that it has released
}

type model struct {
	limits    limits
	now       time.Duration
	log       []logEntry
	logStart  uint64    // index of the last entry before log, which all have applied
	proposed  []Command // the leader's proposals that are not committed yet
	instances [3]modelInstance

	assigner        *Assigner
	leaderState     *State
	sessionEpochs   [3]uint64        // of the open sessions, as applied by the leader
	leaseExpiresAt  [3]time.Duration // on the leader's clock
	preferredHolder string

	lastActions map[string]action // by task
	violation   string

	isolated                                   int // the isolated instance, from 1 on; 0: none
	isolatedSince                              time.Duration
	isolations, crashes, transfers, newLeaders int
}

// action records that an instance acted on a task under a fencing token.
type action struct {
	fencingToken uint64
	instance     int
}

// newModel returns a state in which all leases are granted and all tasks are held.
func newModel(l limits) *model {
	m := &model{limits: l, assigner: NewAssigner(0, 1), leaderState: NewState(0),
		lastActions: map[string]action{}, preferredHolder: "n1", logStart: 1}
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
			// If n1 were still preferred, it would get back each task that it loses: no violation would show.
			m.preferredHolder = "n2"
			return m
		}
		m = next[k].State
	}
}

// instanceClock returns the time on the instances' clocks.
func (m *model) instanceClock() time.Duration { return m.now / leaderStep * instanceStep }

func (m *model) session(i int) Session { return Session{uint64(i + 1), m.instances[i].epoch} }

// leases returns the tasks that an instance holds according to its own state.
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

// commit appends an entry to the log. The leader applies it at once.
func (m *model) commit(e logEntry) {
	m.log = append(m.log, e)
	if e.opened != (Session{}) {
		m.sessionEpochs[e.opened.Member-1] = e.opened.Epoch
	}
	e.applyTo(m.leaderState)
}

// settle performs what immediately follows an event: instances request leases, the leader evaluates the
// tasks, and holders act.
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

// act makes every instance with a valid lease act, and records a violation if another instance has already
// acted under the same or a newer fencing token.
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
			newest := m.lastActions[l.Task]
			if l.FencingToken < newest.fencingToken ||
				l.FencingToken == newest.fencingToken && newest.instance != i {
				m.violation = fmt.Sprintf("n%d acts on %s under token %d after n%d has acted under token %d",
					i+1, l.Task, l.FencingToken, newest.instance+1, newest.fencingToken)
			}
			m.lastActions[l.Task] = action{l.FencingToken, i}
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
		if m.now-at < modelLease/2 { // older proposals have no effect
			a.proposedAt[key] = at
		}
	}
	c.proposed, c.lastActions = slices.Clone(m.proposed), maps.Clone(m.lastActions)
	c.assigner, c.leaderState = &a, m.leaderState.clone()
	return &c
}

var keySeed = maphash.MakeSeed()

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	var h maphash.Hash
	h.SetSeed(keySeed)
	put := func(values ...any) { fmt.Fprintln(&h, values...) }
	put(m.isolated, m.isolations, m.crashes, m.transfers, m.newLeaders, m.sessionEpochs, m.lastActions)
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

// putInstance adds the state of one instance to the key. Times are relative to the present.
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
	// A granted lease that waits for an entry is detected by applying the entries to a copy of the clock.
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
