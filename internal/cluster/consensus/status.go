package consensus

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
)

// Status is how an instance stands.
type Status struct {
	ID                uint64
	Name              string
	Cluster           string
	Role              string
	Leader            uint64
	Term              uint64
	Commit            uint64
	Applied           uint64
	Revision          uint64
	NoLeader          bool
	TicksSinceContact uint64 // ticks since the leader, or as leader a majority, was heard of
	JointConsensus    bool
	Members           []MemberStatus
	Halted            error
	Rollout           RolloutStatus
	PlacementView     placement.View // who may own what by placement
	Participants      map[string]any // how each stands that has something to say, by its section
	Incarnation       uint64         // the number that its process drew when it started
}

// MemberStatus is how a member stands, as far as this instance knows.
type MemberStatus struct {
	clusterstate.Member
	Voter         bool
	ProgressKnown bool // Active and Match are: only the leader knows
	Active        bool
	Match         uint64
}

// Status says how the instance stands.
func (i *Instance) Status() Status {
	st := Status{
		ID:       i.identity.Id,
		Name:     i.identity.Name,
		Cluster:  i.identity.Cluster,
		Role:     "waiting",
		NoLeader: true,
		Halted:   i.halted,
	}
	if i.rn == nil {
		return st
	}
	s := i.rn.Status()
	st.Leader, st.Term, st.Commit, st.Applied = s.Lead, s.GetTerm(), s.GetCommit(), i.applied
	st.NoLeader, st.TicksSinceContact = s.Lead == raft.None, i.ticks-i.contact
	st.Role = map[raft.StateType]string{raft.StateLeader: "leader", raft.StateFollower: "follower",
		raft.StateCandidate: "candidate", raft.StatePreCandidate: "pre-candidate"}[s.RaftState]
	st.JointConsensus = len(i.conf.GetVotersOutgoing()) > 0
	if st.Role == "follower" && !i.votes() {
		st.Role = "learner"
	}
	if i.gone() {
		st.Role = "removed"
	}
	if i.state == nil {
		return st
	}
	st.Revision = i.state.CurrentRevision().Number
	st.Rollout, st.Incarnation = i.rollout(), i.ses.holder.Incarnation()
	st.PlacementView, st.Participants = i.state.PlacementView(), i.subjects()
	for _, m := range i.state.Members() {
		ms := MemberStatus{Member: m, Voter: slices.Contains(i.conf.GetVoters(), m.ID)}
		if s.RaftState == raft.StateLeader {
			ms.ProgressKnown, ms.Active, ms.Match = true, i.active(m.ID), s.Progress[m.ID].Match
		}
		st.Members = append(st.Members, ms)
	}
	slices.SortFunc(st.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

// Identity says which instance this is.
func (i *Instance) Identity() (number uint64, name, cluster string) {
	return i.identity.Id, i.identity.Name, i.identity.Cluster
}

// State is the agreed state as far as this instance knows it, or nil. It must not be
// changed, and changes with the next Finish.
func (i *Instance) State() *clusterstate.State { return i.state }

// Applied is the last entry that the state holds.
func (i *Instance) Applied() uint64 { return i.applied }
