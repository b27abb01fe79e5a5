package leasedtask

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/lease"
	"moorstack/internal/verify/modelcheck"
)

type transitions []modelcheck.Transition[*model]

// add adds the transition for an event, including what immediately follows the event.
func (t *transitions) add(m *model, event string, apply func(next *model)) {
	next := m.clone()
	apply(next)
	next.settle()
	*t = append(*t, modelcheck.Transition[*model]{Event: event, State: next})
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	var t transitions
	for i := range m.instances {
		m.addMessages(&t, i)
		m.addInstanceEvents(&t, i)
	}
	m.addLeaderEvents(&t)
	m.addIsolations(&t)
	if m.allDelivered() && (m.isolated == 0 || m.now-m.isolatedSince < longestIsolation) {
		t.add(m, "time passes", func(next *model) { next.now += leaderStep })
	}
	return t
}

// allDelivered reports whether nothing is in transit except to or from the isolated instance.
func (m *model) allDelivered() bool {
	for i, x := range m.instances {
		if m.isolated != i+1 && (x.applied < len(m.log) || x.request != nil || x.grant != nil) {
			return false
		}
	}
	return len(m.proposed) == 0
}

// addMessages adds the delivery of log entries, requests and grants, and their loss. Messages to an isolated
// instance do not arrive; its own requests may.
func (m *model) addMessages(t *transitions, i int) {
	x, isolated := &m.instances[i], m.isolated == i+1
	if !isolated && x.applied < len(m.log) {
		t.add(m, fmt.Sprint("apply ", i+1), func(next *model) {
			x := &next.instances[i]
			next.log[x.applied].applyTo(x.state)
			x.applied++
		})
	}
	if x.request != nil {
		t.add(m, fmt.Sprint("grant ", i+1), func(next *model) { next.grantLease(i) })
	}
	if !isolated && x.grant != nil {
		t.add(m, fmt.Sprint("deliver grant ", i+1), func(next *model) { next.deliverGrant(i) })
	}
	if isolated && m.limits.losses && (x.request != nil || x.grant != nil) &&
		m.instanceClock()-x.lastRequestAt >= modelLease/requestsPerLease {
		t.add(m, fmt.Sprint("lose ", i+1), func(next *model) {
			next.instances[i].request, next.instances[i].grant = nil, nil
		})
	}
}

// grantLease makes the leader answer a request, as package consensus does.
func (m *model) grantLease(i int) {
	x := &m.instances[i]
	r := *x.request
	if x.request = nil; r.epoch != m.sessionEpochs[i] {
		return
	}
	g := &leaseGrant{leaseRequest: r, index: m.logStart + uint64(len(m.log))}
	if m.limits.omittedGuard != noGrantWhileExpiring && !m.assigner.CanGrant(uint64(i+1), m.leaderState) {
		g.index = 0
	}
	m.leaseExpiresAt[i] = m.now + modelExpiryWait
	x.grant = g
}

func (m *model) deliverGrant(i int) {
	x := &m.instances[i]
	g := *x.grant
	x.grant = nil
	if m.limits.omittedGuard == leaseFromRequest {
		g.at = m.instanceClock()
	}
	if m.limits.omittedGuard == stateAsNewAsLeaders && g.index > 0 {
		g.index = 1
	}
	x.clock.ObserveGrant(g.epoch, g.at, modelLease, g.index, m.logStart+uint64(x.applied))
}

// addInstanceEvents adds a crash, and the releases that the instance has been asked for.
func (m *model) addInstanceEvents(t *transitions, i int) {
	x := &m.instances[i]
	if m.crashes < m.limits.crashes {
		// The instance restarts at once, before its lease expires, and the leader opens its new session.
		t.add(m, fmt.Sprint("crash ", i+1), func(next *model) {
			x := &next.instances[i]
			x.epoch += 10
			x.clock, x.request, x.grant, x.released = lease.Tracker{}, nil, nil, 0
			next.crashes++
			next.commit(logEntry{opened: next.session(i)})
		})
	}
	for _, l := range m.leases(i) {
		if l.ReleaseReason == "" || x.hasReleased(l.FencingToken) || m.isolated == i+1 {
			continue
		}
		t.add(m, fmt.Sprint("release ", i+1), func(next *model) {
			next.instances[i].released |= 1 << l.FencingToken
			next.commit(logEntry{command: Command{Kind: Release, Task: l.Task,
				FencingToken: l.FencingToken}})
		})
	}
}

// addLeaderEvents adds operators' transfers, the commit of a proposal, and a change of the leader.
func (m *model) addLeaderEvents(t *transitions) {
	for name, task := range m.leaderState.Tasks {
		if m.transfers < m.limits.transfers && task.IsHeld() && task.ReleaseReason == "" {
			t.add(m, "transfer "+name, func(next *model) {
				next.transfers++
				next.commit(logEntry{command: Command{Kind: Transfer, Task: name, Reason: "transfer"}})
			})
		}
	}
	if len(m.proposed) > 0 {
		t.add(m, "commit", func(next *model) {
			c := next.proposed[0]
			next.proposed = next.proposed[1:]
			next.commit(logEntry{command: c})
		})
	}
	if m.newLeaders < m.limits.newLeaders {
		t.add(m, "new leader", func(next *model) {
			next.newLeaders++
			next.proposed = nil // void in the log of the new leader
			next.assigner = NewAssigner(next.now, next.assigner.term+1)
			for i := range next.instances {
				// The new leader can't know which leases its predecessor granted.
				next.leaseExpiresAt[i] = next.now + modelExpiryWait
			}
		})
	}
}

func (m *model) addIsolations(t *transitions) {
	if m.isolated > 0 {
		t.add(m, "end isolation", func(next *model) { next.isolated = 0 })
		return
	}
	if m.isolations >= m.limits.isolations {
		return
	}
	for i := range m.instances {
		t.add(m, fmt.Sprint("isolate ", i+1), func(next *model) {
			next.isolated, next.isolatedSince, next.isolations = i+1, next.now, next.isolations+1
		})
	}
}

var maxStates = flag.Int64("explore", 40_000, "maximum `number` of states of the model to visit")

func TestNoTwoInstancesHoldATaskInAnyState(t *testing.T) {
	for _, l := range []limits{
		{tasks: 1, transfers: 1},
		{tasks: 1, isolations: 1},
		{tasks: 1, isolations: 1, losses: true},
		{tasks: 1, crashes: 1},
		{tasks: 1, newLeaders: 1},
		{tasks: 1, isolations: 1, newLeaders: 1},
		{tasks: 1, isolations: 1, crashes: 1},
		{tasks: 1, isolations: 1, transfers: 1, newLeaders: 1},
		{tasks: 2, isolations: 1},
		{tasks: 2, isolations: 1, crashes: 1},
	} {
		startedAt := time.Now()
		r := modelcheck.Check(newModel(l), *maxStates)
		if r.Violation != "" {
			t.Errorf("%+v: %s:\n%s", l, r.Violation, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%+v: %d states, complete: %v, %v", l, r.States, r.Complete,
			time.Since(startedAt).Round(time.Second/10))
	}
}

// The model finds a violation for each guard that is omitted.
func TestModelFindsEachMissingGuard(t *testing.T) {
	for _, g := range []guard{clockReadWhenActing, leaseFromRequest, stateAsNewAsLeaders,
		noGrantWhileExpiring} {
		t.Run(string(g), func(t *testing.T) {
			l := limits{tasks: 1, isolations: 1, omittedGuard: g}
			l.losses = g == noGrantWhileExpiring // the violation needs a second lease, requested after a loss
			r := modelcheck.Check(newModel(l), 200_000)
			if r.Violation == "" {
				t.Fatalf("no violation in %d states, complete: %v", r.States, r.Complete)
			}
			t.Logf("found after %d states, by %d events: %s", r.States, len(r.Trace), r.Violation)
		})
	}
}
