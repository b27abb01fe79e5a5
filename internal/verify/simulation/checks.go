package simulation

import (
	"bytes"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
)

// observations holds what was observed so far. The checks compare each step with it.
type observations struct {
	leaders         map[uint64]string   // the leader's number in hexadecimal, by term
	states          map[uint64][32]byte // the state's digest, by applied entry
	changes         map[uint64]string   // the change's id, by revision
	revisions       map[string]uint64   // by the change's id
	acknowledged    map[string]uint64   // the revision acknowledged to the client, by the change's id
	actions         map[string]action   // the action with the newest fencing token, by task
	notes           map[string]int      // the newest note known to be committed, by task
	newestAdmission admission
}

// admission records the first admission of a job under a revision.
type admission struct {
	revision uint64
	machine  string
}

func newObservations() observations {
	return observations{leaders: map[uint64]string{}, states: map[uint64][32]byte{},
		changes: map[uint64]string{}, revisions: map[string]uint64{}, acknowledged: map[string]uint64{},
		actions: map[string]action{}, notes: map[string]int{}}
}

// observeRevision checks that a revision is the same change at every machine, and that no change is applied
// twice.
func (s *simulator) observeRevision(machine string, revision uint64, change string) {
	if other, ok := s.observed.changes[revision]; ok && other != change {
		s.violatef("revision %d is change %s, and %s at %s", revision, other, change, machine)
	}
	if other, ok := s.observed.revisions[change]; ok && other != revision {
		s.violatef("change %s is revision %d, and %d at %s: applied twice", change, other, revision, machine)
	}
	s.observed.changes[revision], s.observed.revisions[change] = change, revision
}

// observeLeader checks that a term has only one leader.
func (s *simulator) observeLeader(m *machine, term uint64) {
	leader := s.observed.leaders[term]
	if leader != "" && leader != m.hexNumber() {
		s.violatef("term %d has the leaders %s and %x", term, leader, m.number)
	}
	if leader == "" {
		s.tracef("%s leads in term %d", m.name, term)
	}
	s.observed.leaders[term] = m.hexNumber()
}

// observeState checks that all instances have the same state after they have applied the same entry.
func (s *simulator) observeState(m *machine, applied uint64, digest [32]byte) {
	if other, ok := s.observed.states[applied]; ok && other != digest {
		s.violatef("the state of %s after entry %d differs from that of another instance", m.name, applied)
	}
	s.observed.states[applied] = digest
}

// checkFinalState performs the final checks, after faults have ended and the group had time to recover.
func (s *simulator) checkFinalState() {
	if len(s.result.Violations) > 0 {
		return
	}
	s.checkAcknowledged()
	leader := s.leader()
	if leader == nil {
		s.violatef("no leader after faults have ended")
		return
	}
	if !s.checkStatesEqual() {
		return
	}
	s.checkAcceptsChange(leader)
	s.checkAdmits()
	s.checkLinearizable()
}

func (s *simulator) checkAcknowledged() {
	for id, revision := range s.observed.acknowledged {
		if change := s.observed.changes[revision]; change != id {
			s.violatef("change %s was acknowledged as revision %d, but is lost: that revision is %q", id,
				revision, change)
		}
	}
}

// votersAppliedSameEntry reports whether all voters have applied the log up to the same entry.
func (s *simulator) votersAppliedSameEntry() bool {
	applied := map[uint64]bool{}
	for _, m := range s.running() {
		if s.isVoter(m) {
			applied[m.instance.Applied()] = true
		}
	}
	return len(applied) == 1
}

// checkStatesEqual checks that all voters have the same state. It returns false if a voter has none.
func (s *simulator) checkStatesEqual() bool {
	// Entries on leased tasks may be committed at any time, so states are comparable only when all voters
	// have applied the same entries.
	for range 50 {
		if s.votersAppliedSameEntry() {
			break
		}
		s.advance(1)
	}
	var first []byte
	for _, m := range s.running() {
		if !s.isVoter(m) {
			continue
		}
		if m.instance.State() == nil {
			s.violatef("%s is a voter but has no state at the end", m.name)
			return false
		}
		b := m.instance.State().Encode()
		if first == nil {
			first = b
		}
		if !bytes.Equal(first, b) {
			s.violatef("the state of %s at the end differs from that of another voter", m.name)
		}
	}
	return true
}

// checkAcceptsChange checks that the group accepts a change that is proposed to the given leader.
func (s *simulator) checkAcceptsChange(leader *machine) {
	accepted := false
	id := leader.input().Propose(clusterstate.Change{ID: "last",
		BaseRevision: leader.instance.State().CurrentRevision().Number, Document: s.document(1 << 20)}, false)
	leader.onResponse[id] = func(response consensus.Response) {
		accepted = response.Err == nil && response.Outcome.Code == clusterstate.Accepted
	}
	leader.processReady()
	s.advance(recoveryTicks)
	if !accepted {
		s.violatef("the group accepts no change after faults have ended")
	}
}

// checkAdmits checks that every voter's front admits jobs.
func (s *simulator) checkAdmits() {
	for _, m := range s.running() {
		if s.isVoter(m) && !m.front.permit.Admits(m.localTime(), m.front.running) {
			s.violatef("%s admits no jobs after faults have ended: permit %+v, running revision %d", m.name,
				m.front.permit, m.front.running)
		}
	}
}

// checkLinearizable checks that the history of the clients' operations is linearizable.
func (s *simulator) checkLinearizable() {
	// A change without a response may have come into force at any time, or never. If it did, its revision was
	// observed. If it did not, it had no effect and is dropped from the history.
	s.history = slices.DeleteFunc(s.history, func(o porcupine.Operation) bool {
		return o.Output.(operationOutput).unknown && s.observed.revisions[o.Input.(operationInput).id] == 0
	})
	for i := range s.history {
		if o := &s.history[i]; o.Output.(operationOutput).unknown {
			o.Output = operationOutput{accepted: true,
				revision: s.observed.revisions[o.Input.(operationInput).id]}
		}
	}
	slices.SortStableFunc(s.history, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	switch porcupine.CheckOperationsTimeout(registerModel, s.history, time.Minute) {
	case porcupine.Illegal:
		s.violatef("the clients' history is not linearizable")
	case porcupine.Unknown:
		s.violatef("the linearizability of the clients' history could not be determined in a minute")
	}
}
