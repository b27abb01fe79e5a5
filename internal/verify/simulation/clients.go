package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
)

// operationInput and operationOutput describe clients' operations in the recorded history, whose
// linearizability is checked at the end.
type operationInput struct {
	write bool
	base  uint64
	id    string
}

type operationOutput struct {
	unknown  bool // it may have taken effect at any time, or never
	accepted bool
	revision uint64
	id       string // of the change in force
}

// register is the sequential model of the document: a revision and the id of the change that created it.
type register struct {
	revision uint64
	id       string
}

var registerModel = porcupine.Model{
	Init: func() any { return register{1, "first"} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(register), in.(operationInput), out.(operationOutput)
		switch {
		case !i.write:
			return o.revision == s.revision && o.id == s.id, s
		case o.accepted:
			return i.base == s.revision && o.revision == s.revision+1, register{s.revision + 1, i.id}
		default:
			return i.base != s.revision, s
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

const (
	maxClientRetries = 8
	// unknownOffset separates operations without a response from the other operations of the clients. Each of
	// them is recorded under its own client number.
	unknownOffset = 100
	maxReturnTime = 1 << 60
)

// call is a client's proposal that is in progress.
type call struct {
	client  int
	startAt int64
	change  clusterstate.Change // the proposed change
	retries int                 // how many more times the proposal may be repeated
}

// runClient makes a client read or propose, one operation after another. A proposal without a response is
// retried under the same id.
func (s *simulator) runClient(n int) {
	s.after(int64(20+s.rng.IntN(150)), func() {
		if s.faultsEnded {
			return
		}
		running := s.running()
		if len(running) == 0 {
			s.runClient(n)
			return
		}
		m := running[s.rng.IntN(len(running))]
		state := m.instance.State()
		if state == nil {
			s.runClient(n)
			return
		}
		if s.rng.IntN(3) == 0 {
			s.read(n, m)
			return
		}
		number := s.newID()
		id := fmt.Sprintf("c%d-%d", n, number)
		s.propose(m, call{client: n, startAt: s.now, retries: maxClientRetries, change: clusterstate.Change{
			ID: id, BaseRevision: state.CurrentRevision().Number, Author: id,
			ProposedAt: time.UnixMilli(s.now), Document: s.document(number)}})
	})
}

func (s *simulator) read(n int, m *machine) {
	startAt := s.now
	done := false
	id := m.input().ReadIndex()
	m.onResponse[id] = func(response consensus.Response) {
		done = true
		s.runClient(n)
		if response.Err != nil {
			return
		}
		s.result.Reads++
		r := m.instance.State().CurrentRevision()
		s.tracef("client %d reads revision %d (%s) from %s", n, r.Number, r.ChangeID, m.name)
		s.record(n, operationInput{}, operationOutput{revision: r.Number, id: r.ChangeID}, startAt)
	}
	s.onStop(m, &done, func() { s.runClient(n) })
	m.processReady()
}

// onStop calls f if a machine stops before a request to it has completed.
func (s *simulator) onStop(m *machine, done *bool, f func()) {
	incarnation := m.incarnation
	var check func()
	check = func() {
		switch {
		case *done:
		case m.incarnation != incarnation:
			*done = true
			f()
		default:
			s.after(unitsPerTick, check)
		}
	}
	s.after(unitsPerTick, check)
}

func (s *simulator) propose(m *machine, c call) {
	done := false
	s.tracef("client %d proposes %s on revision %d to %s", c.client, c.change.ID, c.change.BaseRevision,
		m.name)
	id := m.input().Propose(c.change, false)
	m.onResponse[id] = func(response consensus.Response) {
		done = true
		if response.Err != nil {
			s.retry(c, response.Err.Error())
			return
		}
		s.observeOutcome(m, c, response.Outcome)
		s.runClient(c.client)
	}
	s.onStop(m, &done, func() { s.retry(c, "the machine stopped") })
	m.processReady()
}

// retry proposes a change again to a random machine, or gives up and records an unknown outcome.
func (s *simulator) retry(c call, reason string) {
	if c.retries == 0 || s.faultsEnded {
		s.tracef("client %d gives up on %s: %s", c.client, c.change.ID, reason)
		s.recordUnknown(c)
		return
	}
	s.after(int64(10+s.rng.IntN(60)), func() {
		if running := s.running(); len(running) > 0 && !s.faultsEnded {
			c.retries--
			s.propose(running[s.rng.IntN(len(running))], c)
		} else {
			s.recordUnknown(c)
		}
	})
}

// observeOutcome records the outcome of a change.
func (s *simulator) observeOutcome(m *machine, c call, o clusterstate.Outcome) {
	change := c.change
	s.tracef("client %d gets a response from %s: %s is %v, revision %d", c.client, m.name, change.ID, o.Code,
		o.Revision)
	in := operationInput{true, change.BaseRevision, change.ID}
	switch o.Code {
	case clusterstate.Accepted:
		s.result.ChangesAccepted++
		s.observed.acknowledged[change.ID] = o.Revision
		s.record(c.client, in, operationOutput{accepted: true, revision: o.Revision}, c.startAt)
	case clusterstate.Withdrawn:
		s.result.ChangesWithdrawn++
	case clusterstate.Conflict:
		s.result.ChangesRejected++
		// If the revision is the change's base, another change was pending, which may come into force or not.
		if o.Revision != change.BaseRevision {
			s.record(c.client, in, operationOutput{}, c.startAt)
		}
	default:
		s.violatef("change %s has the unexpected outcome %v: %v", change.ID, o.Code, o.Problems)
	}
}

// recordUnknown records a change that got no response.
func (s *simulator) recordUnknown(c call) {
	s.result.ChangesUnknown++
	s.history = append(s.history, porcupine.Operation{ClientId: c.client + unknownOffset + len(s.history),
		Input: operationInput{true, c.change.BaseRevision, c.change.ID}, Call: c.startAt,
		Output: operationOutput{unknown: true}, Return: maxReturnTime})
	s.runClient(c.client)
}

func (s *simulator) record(n int, in operationInput, out operationOutput, startAt int64) {
	s.history = append(s.history, porcupine.Operation{ClientId: n, Input: in, Call: startAt, Output: out,
		Return: s.now})
}
