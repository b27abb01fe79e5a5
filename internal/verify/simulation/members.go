package simulation

import (
	"fmt"
	"slices"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// How long operators take for each of their steps, in units of virtual time.
const (
	closeSessionsUnits  = 500
	replaceCheckUnits   = 100
	replaceChecks       = 20
	wipedMachineUnits   = 60
	removedMachineUnits = 400
)

// changeMembers is a fault: a member is replaced, loses its disk, or is removed.
func (s *simulator) changeMembers() string {
	leader := s.leader()
	if leader == nil {
		return "no leader to ask"
	}
	m := s.randomMachine()
	// One at a time: a majority that has lost its disks has lost what it committed, and only the operators
	// are to blame for that.
	var spare *machine
	for _, o := range s.machines {
		if o.spare {
			spare = o
		} else if o.instance == nil || !s.isVoter(o) {
			return "change put off"
		}
	}
	if s.faultRNG.IntN(2) == 0 {
		if m == spare || spare.instance == nil {
			return "change put off"
		}
		s.operate(leader, &schema.Operation{Kind: schema.Operation_REPLACE, Name: m.name, By: spare.name}, 0)
		s.completeReplacement(m, spare, replaceChecks)
		return "replaced"
	}
	if m == spare {
		return "change put off"
	}
	if s.faultRNG.IntN(2) == 0 && m != leader {
		// Its disk is lost, and with it its vote: it must not vote under its old number.
		m.wipe()
		s.after(wipedMachineUnits, func() { s.join(m) })
		return "wiped"
	}
	s.operate(leader, &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name}, 0)
	s.after(removedMachineUnits, func() { s.rejoinRemoved(m) })
	return "removed"
}

// rejoinRemoved has a machine that was removed join as a new instance.
func (s *simulator) rejoinRemoved(m *machine) {
	// Only one that is surely removed may lose its disk.
	if s.removedAtLeader(m) {
		m.wipe()
		s.after(removedMachineUnits, func() { s.join(m) })
	}
}

func (s *simulator) removedAtLeader(m *machine) bool {
	leader := s.leader()
	return leader != nil && leader.instance.State().WasRemoved(m.number)
}

// completeReplacement has a machine whose vote the spare one has taken become the spare one, once that is
// sure: the change may be half done for long, or never come about.
func (s *simulator) completeReplacement(m, spare *machine, checks int) {
	s.after(replaceCheckUnits, func() {
		if s.removedAtLeader(m) && m.instance != nil {
			m.spare, spare.spare = true, false
			m.wipe()
			s.after(removedMachineUnits, func() { s.join(m) })
			s.join(spare)
		} else if checks > 0 {
			s.completeReplacement(m, spare, checks-1)
		}
	})
}

// closeLostSessions closes, as operators do who know that a machine's disk is lost, sessions of incarnations
// that can't come back. Where no lease expires by itself, changes would wait for them for ever.
func (s *simulator) closeLostSessions() {
	s.after(closeSessionsUnits, func() {
		if leader := s.leader(); leader != nil && leader.instance.State() != nil {
			for _, session := range leader.instance.State().Rollout().List() {
				if s.calm && leader.instance.State().WasRemoved(session.Member) {
					s.rejoinUnaware(session.Member)
				}
				if session.Open && !s.hasMachine(session.Member) {
					leader.input().ProposeRolloutCommand(rollout.Command{Kind: rollout.SetAside,
						Member: session.Member, ID: fmt.Sprintf("aside-%d", s.newID())})
					leader.processReady()
				}
			}
		}
		s.closeLostSessions()
	})
}

func (s *simulator) hasMachine(number uint64) bool {
	return slices.ContainsFunc(s.machines, func(m *machine) bool { return m.number == number })
}

// rejoinUnaware has a machine that was removed, and never learned so, join as a new instance.
func (s *simulator) rejoinUnaware(number uint64) {
	for _, m := range s.machines {
		if m.number == number {
			m.wipe()
			m.number = 0
			s.after(removedMachineUnits, func() { s.join(m) })
		}
	}
}

// isVoter reports whether the leader knows the machine as a voter.
func (s *simulator) isVoter(m *machine) bool {
	if leader := s.leader(); leader != nil {
		for _, member := range leader.instance.Status().Members {
			if member.ID == m.number {
				return member.Voter
			}
		}
	}
	return false
}

// leader is the machine that leads in the highest term, or nil.
func (s *simulator) leader() *machine {
	var leader *machine
	for _, m := range s.machines {
		if m.instance == nil {
			continue
		}
		st := m.instance.Status()
		if st.Role == consensus.RoleLeader && (leader == nil || st.Term > leader.instance.Status().Term) {
			leader = m
		}
	}
	return leader
}

// join brings a machine into the group: as a learner, then with a vote, however many attempts it takes.
func (s *simulator) join(m *machine) {
	retry := func() { s.after(int64(30+s.rng.IntN(40)), func() { s.join(m) }) }
	leader := s.leader()
	if m.instance == nil || leader == nil {
		retry()
		return
	}
	if _, _, cluster := m.instance.Identity(); cluster == "" {
		if err := m.input().Join("sim"); err != nil {
			s.violatef("%s can't join: %v", m.name, err)
			return
		}
		m.processReady()
	}
	if op := nextJoinOperation(m, leader.instance.Status().Members); op != nil {
		s.operate(leader, op, m.number)
		retry()
	}
}

// nextJoinOperation is the next operation by which a machine comes into the group; nil: it is a member as it
// should be.
func nextJoinOperation(m *machine, members []consensus.MemberStatus) *schema.Operation {
	op := &schema.Operation{Kind: schema.Operation_ADD, Name: m.name, Address: "a:" + m.name}
	for _, member := range members {
		switch {
		case member.ID == m.number && (member.Voter || m.spare):
			return nil
		case member.ID == m.number:
			op = &schema.Operation{Kind: schema.Operation_PROMOTE, Name: m.name}
		case member.Name == m.name: // from before its disk was wiped
			op = &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name}
		}
	}
	return op
}

func (s *simulator) operate(leader *machine, op *schema.Operation, number uint64) {
	s.tracef("%s is to %v %s %s", leader.name, op.Kind, op.Name, op.By)
	id := leader.input().Operate(op, number)
	leader.onResponse[id] = func(response consensus.Response) {
		s.tracef("%v %s: %v", op.Kind, op.Name, response.Err)
	}
	leader.processReady()
}
