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

// Role is the role of an instance in its group.
type Role string

// Roles of an instance.
const (
	RoleWaiting      Role = "waiting" // belongs to no group yet
	RoleLeader       Role = "leader"
	RoleFollower     Role = "follower"
	RoleLearner      Role = "learner"
	RoleCandidate    Role = "candidate"
	RolePreCandidate Role = "pre-candidate"
	RoleRemoved      Role = "removed"
)

// Status is a snapshot of an instance's view of itself and its group.
type Status struct {
	ID       uint64
	Name     string
	Cluster  string
	Role     Role
	Leader   uint64
	Term     uint64
	Commit   uint64
	Applied  uint64
	Revision uint64
	NoLeader bool // no leader is known
	// TicksSinceContact counts from the leader's last message. It is 0 on the leader, which steps down if it
	// loses contact with a majority.
	TicksSinceContact uint64
	JointConsensus    bool // a joint configuration is in force: a change of the voters is in progress
	Members           []MemberStatus
	Halted            error // why the instance has halted; nil: it has not
	Rollout           RolloutStatus
	PlacementView     placement.View
	Participants      map[string]any // status of each participant that has one, by section
	Incarnation       uint64         // random number drawn when the process started
}

// MemberStatus is an instance's view of a member.
type MemberStatus struct {
	clusterstate.Member
	Voter         bool
	ProgressKnown bool   // whether Active and Match are valid, which is the case on the leader only
	Active        bool   // a message of the member arrived recently
	Match         uint64 // index up to which the member's log is known to match the leader's
}

// RolloutStatus is an instance's view of the sessions and the pending change.
type RolloutStatus struct {
	Format           int
	Policy           rollout.Policy
	Permit           rollout.Permit
	LeaseRemaining   time.Duration
	SessionEpoch     uint64
	Staged           string // id of the change that this instance has staged
	Pending          *clusterstate.Revision
	PendingPhase     rollout.PendingChange
	AwaitedMembers   map[string]time.Duration // time until the lease expires, by name; leader only
	Sessions         []rollout.Session
	RunningRevisions map[uint64]uint64 // by member; leader only
	StagedChanges    map[uint64]string // id of the staged change, by member; leader only
}

var raftRoles = map[raft.StateType]Role{raft.StateLeader: RoleLeader, raft.StateFollower: RoleFollower,
	raft.StateCandidate: RoleCandidate, raft.StatePreCandidate: RolePreCandidate}

// Status returns the instance's current status.
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
