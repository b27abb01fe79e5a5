package simulation

import (
	"bytes"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
)

// observations are what the checks compare each step with.
type observations struct {
	leaders         map[uint64]string   // the leader's number, by term
	states          map[uint64][32]byte // the state's digest, by applied entry
	changes         map[uint64]string   // the change's id, by revision
	revisions       map[string]uint64   // by the change's id
	acknowledged    map[string]uint64   // the revisions that clients got, by the change's id
	actions         map[string]action   // the newest, by task
	notes           map[string]int      // the newest that its holder knows to be committed, by task
	newestAdmission admission
}

// admission is of a job, under the newest revision that there was one.
type admission struct {
	revision uint64
	machine  string
}

func newObservations() observations {
	return observations{leaders: map[uint64]string{}, states: map[uint64][32]byte{},
		changes: map[uint64]string{}, revisions: map[string]uint64{}, acknowledged: map[string]uint64{},
		actions: map[string]action{}, notes: map[string]int{}}
}

// observeRevision checks that a revision is the same change everywhere, and no change is applied twice.
func (s *simulator) observeRevision(machine string, revision uint64, change string) {
	if other, ok := s.observed.changes[revision]; ok && other != change {
		s.violatef("revision %d is change %s, and %s at %s", revision, other, change, machine)
	}
	if other, ok := s.observed.revisions[change]; ok && other != revision {
		s.violatef("change %s is revision %d, and %d at %s: applied twice", change, other, revision, machine)
	}
	s.observed.changes[revision], s.observed.revisions[change] = change, revision
}

// observeLeader checks that a term has one leader.
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

// observeState checks that all instances have the same state after the same entry.
func (s *simulator) observeState(m *machine, applied uint64, digest [32]byte) {
	if other, ok := s.observed.states[applied]; ok && other != digest {
		s.violatef("%s has another state than others after entry %d", m.name, applied)
	}
	s.observed.states[applied] = digest
}

// checkFinalState checks everything once faults have ended and the group has recovered.
func (s *simulator) checkFinalState() {
	if len(s.result.Violations) > 0 {
		return
	}
	s.checkAcknowledged()
	leader := s.leader()
	if leader == nil {
		s.violatef("there is no leader though faults have ended")
		return
	}
	if !s.checkStatesEqual() {
		return
	}
	s.checkTakesChange(leader)
	s.checkAdmits()
	s.checkLinearizable()
}

func (s *simulator) checkAcknowledged() {
	for id, revision := range s.observed.acknowledged {
		if change := s.observed.changes[revision]; change != id {
			s.violatef("change %s was acknowledged as revision %d, which is %q: lost", id, revision, change)
		}
	}
}

// appliedAlike reports whether all members have applied the same entries.
func (s *simulator) appliedAlike() bool {
	applied := map[uint64]bool{}
	for _, m := range s.running() {
		if s.isVoter(m) {
			applied[m.instance.Applied()] = true
		}
	}
	return len(applied) == 1
}

// checkStatesEqual checks that all voters have the same state. It is false where one has none.
func (s *simulator) checkStatesEqual() bool {
	// Leased tasks may change hands at any time: only what all have applied is compared.
	for range 50 {
		if s.appliedAlike() {
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
			s.violatef("%s has a vote and no state at the end", m.name)
			return false
		}
		b := m.instance.State().Encode()
		if first == nil {
			first = b
		}
		if !bytes.Equal(first, b) {
			s.violatef("%s has another state than others at the end", m.name)
		}
	}
	return true
}

// checkTakesChange checks that the group takes a change, at the instance that led.
func (s *simulator) checkTakesChange(leader *machine) {
	accepted := false
	id := leader.input().Propose(clusterstate.Change{ID: "last",
		BaseRevision: leader.instance.State().CurrentRevision().Number, Document: s.document(1 << 20)}, false)
	leader.onResponse[id] = func(response consensus.Response) {
		accepted = response.Err == nil && response.Outcome.Code == clusterstate.Accepted
	}
	leader.processReady()
	s.advance(calmTicks)
	if !accepted {
		s.violatef("the group takes no change though faults have ended")
	}
}

// checkAdmits checks that every voter's front admits jobs.
func (s *simulator) checkAdmits() {
	for _, m := range s.running() {
		if s.isVoter(m) && !m.front.permit.Admits(m.localTime(), m.front.running) {
			s.violatef("%s admits nothing though faults have ended: %+v, running %d", m.name, m.front.permit,
				m.front.running)
		}
	}
}

// checkLinearizable checks that what clients saw can be put in one order.
func (s *simulator) checkLinearizable() {
	// A change without a response came into force some time or never. Where it did, the log has its revision;
	// one that never did has no effect.
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
		s.violatef("what clients saw is not linearizable")
	case porcupine.Unknown:
		s.violatef("whether what clients saw is linearizable was not found out in a minute")
	}
}
