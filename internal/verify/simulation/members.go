package simulation

import (
	"fmt"
	"slices"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// How long operators wait between steps, in units of virtual time, and how often they check a replacement.
const (
	closeSessionsUnits  = 500
	replaceCheckUnits   = 100
	replaceChecks       = 20
	wipedMachineUnits   = 60
	removedMachineUnits = 400
)

// changeMembers is a fault that replaces a member, erases its disk, or removes it.
func (s *simulator) changeMembers() string {
	leader := s.leader()
	if leader == nil {
		return "no leader to ask"
	}
	m := s.randomMachine()
	// One member changes at a time: if a majority lost its disks, committed entries would be lost, and that
	// would be an error of the operators and not of the code under test.
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
		// With its disk it loses the record of its votes, so it must not vote again under its old number.
		m.wipe()
		s.after(wipedMachineUnits, func() { s.join(m) })
		return "wiped"
	}
	s.operate(leader, &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name}, 0)
	s.after(removedMachineUnits, func() { s.rejoinRemoved(m) })
	return "removed"
}

// rejoinRemoved makes a machine that was removed join as a new instance.
func (s *simulator) rejoinRemoved(m *machine) {
	// The disk may be erased only once the removal is committed.
	if s.removedAtLeader(m) {
		m.wipe()
		s.after(removedMachineUnits, func() { s.join(m) })
	}
}

func (s *simulator) removedAtLeader(m *machine) bool {
	leader := s.leader()
	return leader != nil && leader.instance.State().WasRemoved(m.number)
}

// completeReplacement makes a machine that was replaced by the spare machine the new spare one. It waits
// until the removal is committed: a replacement may remain half done for long, or never complete.
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

// closeLostSessions periodically closes sessions of instances that can't return, like operators who know that
// a machine's disk is lost. With a rule under which leases don't expire, changes would wait for such sessions
// forever.
func (s *simulator) closeLostSessions() {
	s.after(closeSessionsUnits, func() {
		if leader := s.leader(); leader != nil && leader.instance.State() != nil {
			for _, session := range leader.instance.State().Rollout().List() {
				if s.faultsEnded && leader.instance.State().WasRemoved(session.Member) {
					s.rejoinUninformed(session.Member)
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

// rejoinUninformed makes a machine that was removed, but has not learned of it, join as a new instance.
func (s *simulator) rejoinUninformed(number uint64) {
	for _, m := range s.machines {
		if m.number == number {
			m.wipe()
			m.number = 0
			s.after(removedMachineUnits, func() { s.join(m) })
		}
	}
}

// isVoter reports whether the machine is a voter, as the leader sees it.
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

// leader returns the machine that leads in the highest term, or nil.
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

// join adds a machine to the group as a learner, and then promotes it to a voter. It retries until it
// succeeds.
func (s *simulator) join(m *machine) {
	retry := func() { s.after(int64(30+s.rng.IntN(40)), func() { s.join(m) }) }
	leader := s.leader()
	if m.instance == nil || leader == nil {
		retry()
		return
	}
	if _, _, cluster := m.instance.Identity(); cluster == "" {
		if err := m.input().Join("sim"); err != nil {
			s.violatef("%s failed to join: %v", m.name, err)
			return
		}
		m.processReady()
	}
	if op := nextJoinOperation(m, leader.instance.Status().Members); op != nil {
		s.operate(leader, op, m.number)
		retry()
	}
}

// nextJoinOperation returns the next operation to add a machine to the group, or nil if it is already a
// voter, or a learner in the case of the spare machine.
func nextJoinOperation(m *machine, members []consensus.MemberStatus) *schema.Operation {
	op := &schema.Operation{Kind: schema.Operation_ADD, Name: m.name, Address: "a:" + m.name}
	for _, member := range members {
		switch {
		case member.ID == m.number && (member.Voter || m.spare):
			return nil
		case member.ID == m.number:
			op = &schema.Operation{Kind: schema.Operation_PROMOTE, Name: m.name}
		case member.Name == m.name: // an earlier instance, from before its disk was wiped
			op = &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name}
		}
	}
	return op
}

func (s *simulator) operate(leader *machine, op *schema.Operation, number uint64) {
	s.tracef("operator asks %s: %v %s %s", leader.name, op.Kind, op.Name, op.By)
	id := leader.input().Operate(op, number)
	leader.onResponse[id] = func(response consensus.Response) {
		s.tracef("%v %s: %v", op.Kind, op.Name, response.Err)
	}
	leader.processReady()
}
