package consensus

import (
	"cmp"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// Role is an instance's role in its group.
type Role string

// The roles. RoleWaiting is that of an instance that belongs to no group yet.
const (
	RoleWaiting      Role = "waiting"
	RoleLeader       Role = "leader"
	RoleFollower     Role = "follower"
	RoleLearner      Role = "learner"
	RoleCandidate    Role = "candidate"
	RolePreCandidate Role = "pre-candidate"
	RoleRemoved      Role = "removed"
)

// Status is a copy of what an instance knows of itself and its group.
type Status struct {
	ID                uint64
	Name              string
	Cluster           string
	Role              Role
	Leader            uint64
	Term              uint64
	Commit            uint64
	Applied           uint64
	Revision          uint64
	NoLeader          bool   // no leader is known
	TicksSinceContact uint64 // with the leader or, at the leader, a majority
	JointConsensus    bool   // a change of the voters is half done
	Members           []MemberStatus
	Halted            error // why it has stopped taking part
	Rollout           RolloutStatus
	PlacementView     placement.View
	Participants      map[string]any // the status of each participant that has one, by its section
	Incarnation       uint64         // the number that the process drew when it started
}

// MemberStatus is what an instance knows of a member.
type MemberStatus struct {
	clusterstate.Member
	Voter         bool
	ProgressKnown bool // Active and Match are: only the leader knows
	Active        bool
	Match         uint64
}

// RolloutStatus is what an instance knows of the sessions and the pending change.
type RolloutStatus struct {
	Format           int
	Policy           rollout.Policy
	Permit           rollout.Permit
	LeaseRemaining   time.Duration
	SessionEpoch     uint64
	Staged           string
	Pending          *clusterstate.Revision
	PendingPhase     rollout.PendingChange
	AwaitedMembers   map[string]time.Duration // by name, until their lease expires; known to the leader only
	Sessions         []rollout.Session
	RunningRevisions map[uint64]uint64 // by member; known to the leader only
	StagedChanges    map[uint64]string // by member; known to the leader only
}

var raftRoles = map[raft.StateType]Role{raft.StateLeader: RoleLeader, raft.StateFollower: RoleFollower,
	raft.StateCandidate: RoleCandidate, raft.StatePreCandidate: RolePreCandidate}

// Status gives the instance's status after the last Advance.
func (i *Instance) Status() Status {
	st := Status{ID: i.identity.Id, Name: i.identity.Name, Cluster: i.identity.Cluster, Role: RoleWaiting,
		NoLeader: true, Halted: i.halted}
	if i.node == nil {
		return st
	}
	s := i.node.Status()
	st.Leader, st.Term, st.Commit, st.Applied = s.Lead, s.GetTerm(), s.GetCommit(), i.applied
	st.NoLeader, st.TicksSinceContact = s.Lead == raft.None, i.ticks-i.lastContact
	st.Role = raftRoles[s.RaftState]
	st.JointConsensus = i.members.joint()
	if st.Role == RoleFollower && !i.members.electable() {
		st.Role = RoleLearner
	}
	if i.wasRemoved() {
		st.Role = RoleRemoved
	}
	if i.state == nil {
		return st
	}
	st.Revision = i.state.CurrentRevision().Number
	st.Rollout, st.Incarnation = i.sessions.status(), i.sessions.lease.Incarnation()
	st.PlacementView, st.Participants = i.state.PlacementView(), i.participants.status()
	for _, m := range i.state.Members() {
		ms := MemberStatus{Member: m, Voter: i.members.voter(m.ID)}
		if s.RaftState == raft.StateLeader {
			ms.ProgressKnown, ms.Active, ms.Match = true, i.memberActive(m.ID), s.Progress[m.ID].Match
		}
		st.Members = append(st.Members, ms)
	}
	slices.SortFunc(st.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

func (s *sessions) status() RolloutStatus {
	r := s.replica
	out := RolloutStatus{Format: r.state.Format(), Policy: r.policy(), Permit: s.permit,
		LeaseRemaining: s.lease.LeaseRemaining(r.now, r.policy()), SessionEpoch: s.lease.Epoch(),
		Staged: s.lease.StagedChange(), Sessions: r.state.Rollout().List()}
	if pending, ok := r.state.PendingRevision(); ok {
		out.Pending, out.PendingPhase = &pending, *r.state.Rollout().Pending
	}
	if s.leader != nil {
		out.AwaitedMembers = s.leader.AwaitedMembers(r.now, r.state.Rollout(), r.policy())
		out.RunningRevisions, out.StagedChanges = s.leader.LatestReports()
	}
	return out
}
