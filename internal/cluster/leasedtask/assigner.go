package leasedtask

import (
	"slices"
	"strings"
	"time"
)

// rebalanceInterval is the number of lease durations between two transfers that only rebalance tasks. A
// preferred member that repeatedly leaves and returns causes no transfers: preferences only count for tasks
// without a holder.
const rebalanceInterval = 10

// maxProposals bounds the remembered proposals; when it is exceeded, all are forgotten and proposed again.
const maxProposals = 1024

// Assigner decides, on the leader and for one term, which instance holds which task.
type Assigner struct {
	term          uint64
	leaseDuration time.Duration
	proposedAt    map[proposal]time.Duration
	lastRebalance time.Duration // time of the last transfer for rebalancing
	// expiring maps each task whose expiry was proposed to the fencing token of its lease. Once the expiry
	// has been proposed it may be committed at any time.
	expiring map[string]uint64
}

// proposal identifies a command that may have to be proposed again. The field tasks contains the declared
// names, joined with spaces.
type proposal struct {
	kind         Kind
	task, tasks  string
	fencingToken uint64
	session      Session
}

// ClusterView is the information that decisions are based on.
type ClusterView struct {
	Now     time.Duration // the leader's monotonic clock
	Lease   time.Duration // duration of a lease
	Specs   []Spec
	Members []Member
	// LeaseExpired reports whether a member's lease has certainly expired.
	LeaseExpired func(member uint64) bool
}

// NewAssigner returns an assigner for a term that begins at the time now.
func NewAssigner(now time.Duration, term uint64) *Assigner {
	return &Assigner{term: term, lastRebalance: now, proposedAt: map[proposal]time.Duration{},
		expiring: map[string]uint64{}}
}

// CanGrant reports whether a lease that is granted to a member now may count for tasks. It may not while a
// proposed expiry of a task that the member holds can still be committed.
func (a *Assigner) CanGrant(member uint64, s *State) bool {
	for name, token := range a.expiring {
		t := s.Tasks[name]
		if t != nil && t.IsHeld() && t.FencingToken == token && t.Holder.Member == member {
			return false
		}
	}
	return true
}

// shouldPropose reports whether to propose a command now: for the first time, or again after half a lease.
func (a *Assigner) shouldPropose(now time.Duration, p proposal) bool {
	if at, ok := a.proposedAt[p]; ok && now-at < a.leaseDuration/2 {
		return false
	}
	if len(a.proposedAt) > maxProposals {
		clear(a.proposedAt)
	}
	a.proposedAt[p] = now
	return true
}

// Evaluate returns the commands that must be proposed now, in this term. They have no effect in the log of
// another leader.
func (a *Assigner) Evaluate(s *State, v ClusterView) []Command {
	a.leaseDuration = v.Lease
	e := evaluation{Assigner: a, state: s, view: v, specs: map[string]Spec{}, settled: true}
	names := make([]string, 0, len(v.Specs))
	for _, spec := range v.Specs {
		names, e.specs[spec.Name] = append(names, spec.Name), spec
	}
	if !declared(s, names) &&
		a.shouldPropose(v.Now, proposal{kind: DeclareTasks, tasks: strings.Join(names, " ")}) {
		e.propose(Command{Kind: DeclareTasks, Tasks: names})
	}
	e.held = heldCounts(s)
	for _, t := range s.List() {
		e.evaluateTask(t)
	}
	// A transfer that is due while a task changes its holder is skipped; the next is due an interval later.
	if c, ok := e.rebalanceTransfer(); ok && e.settled {
		e.propose(c)
	}
	return e.commands
}

// declared reports whether exactly the named tasks exist in the state.
func declared(s *State, names []string) bool {
	return len(s.Tasks) == len(names) &&
		!slices.ContainsFunc(names, func(n string) bool { return s.Tasks[n] == nil })
}

// evaluation holds the data of one call of Evaluate.
type evaluation struct {
	*Assigner
	state    *State
	view     ClusterView
	specs    map[string]Spec // by task
	held     map[uint64]int  // number of tasks by member, including those being assigned
	settled  bool            // every task that is not paused is held, and none is changing its holder
	commands []Command
}

func (e *evaluation) propose(c Command) {
	c.Term = e.term
	e.commands = append(e.commands, c)
}

// evaluateTask proposes the next command for a task, if it needs one.
func (e *evaluation) evaluateTask(t *Task) {
	switch {
	case t.IsHeld() && e.holderExpired(t):
		e.settled = false
		e.expire(t)
	case t.ReleaseReason != "":
		e.settled = false
	case t.IsHeld():
		e.transferFromDeparting(t)
	case t.PausedBy == "":
		e.settled = false
		e.assign(t)
	}
}

// holderExpired reports whether the holder's lease has certainly expired, or had when its expiry was
// proposed.
func (e *evaluation) holderExpired(t *Task) bool {
	return e.expiring[t.Name] == t.FencingToken || e.view.LeaseExpired(t.Holder.Member)
}

func (e *evaluation) expire(t *Task) {
	if e.shouldPropose(e.view.Now, proposal{kind: Expire, task: t.Name, fencingToken: t.FencingToken}) {
		e.expiring[t.Name] = t.FencingToken
		e.propose(Command{Kind: Expire, Task: t.Name, FencingToken: t.FencingToken,
			Reason: "its lease ran out"})
	}
}

// transferFromDeparting asks a departing holder to release the task if another member is eligible. An
// operator's transfer is a separate command.
func (e *evaluation) transferFromDeparting(t *Task) {
	k := slices.IndexFunc(e.view.Members, func(m Member) bool {
		return m.Session.Member == t.Holder.Member
	})
	if k < 0 || !e.view.Members[k].Departing || !hasOtherCandidate(t, e.specs[t.Name], e.view.Members) {
		return
	}
	if e.shouldPropose(e.view.Now, proposal{kind: Transfer, task: t.Name, fencingToken: t.FencingToken}) {
		e.propose(Command{Kind: Transfer, Task: t.Name, FencingToken: t.FencingToken,
			Reason: e.view.Members[k].Name + " is about to go"})
	}
}

func (e *evaluation) assign(t *Task) {
	spec, configured := e.specs[t.Name]
	m, ok := chooseHolder(t, spec, e.view.Members, e.held)
	if !ok || !configured {
		return
	}
	if e.shouldPropose(e.view.Now, proposal{kind: Assign, task: t.Name, fencingToken: t.FencingToken,
		session: m.Session}) {
		e.propose(Command{Kind: Assign, Task: t.Name, FencingToken: t.FencingToken, Session: m.Session,
			Name: m.Name})
	}
	e.held[m.Session.Member]++ // although the assignment is not committed yet
}

// rebalanceTransfer returns the transfer of one task from its holder to an eligible member that holds at
// least two tasks fewer. It returns false if there is none, or the next one is not due yet.
func (e *evaluation) rebalanceTransfer() (Command, bool) {
	if e.view.Now-e.lastRebalance < rebalanceInterval*e.view.Lease {
		return Command{}, false
	}
	held := heldCounts(e.state)
	for _, t := range e.state.List() {
		spec := e.specs[t.Name]
		if !t.IsHeld() || len(spec.PreferredHolders) > 0 {
			continue
		}
		for _, m := range e.view.Members {
			if CheckEligible(m, spec) != nil || m.Suspected || t.CoolingDown[m.Session.Member] > 0 ||
				held[t.Holder.Member]-held[m.Session.Member] < 2 {
				continue
			}
			e.lastRebalance = e.view.Now
			return Command{Kind: Transfer, Task: t.Name, FencingToken: t.FencingToken,
				TransferTo: m.Session.Member, Reason: "so that nobody holds all"}, true
		}
	}
	return Command{}, false
}
