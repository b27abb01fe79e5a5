package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"moorstack/internal/cluster/clusterstate"
)

// Step takes a Raft message of another instance. One that makes no sense is an error, and changes nothing.
func (i *Instance) Step(m *pb.Message) error {
	if i.node == nil {
		return ErrNoGroup
	}
	if i.halted != nil {
		return i.halted
	}
	if err := i.checkMessage(m); err != nil {
		return err
	}
	i.members.observe(m.GetFrom(), i.ticks)
	var err error
	i.guarded(func() {
		err = i.node.Step(m)
		s := i.node.BasicStatus()
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
			if s.Lead == m.GetFrom() && s.GetTerm() == m.GetTerm() {
				i.electionElapsed, i.lastContact = 0, i.ticks
			}
		}
	})
	i.sessions.evaluate()
	if errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil // a response of a member that has been removed meanwhile
	}
	return err
}

// checkMessage checks what a message must hold. Raft trusts its peers for the rest.
func (r *replica) checkMessage(m *pb.Message) error {
	if m.GetTo() != r.identity.Id {
		return fmt.Errorf("the message is for instance %x, this is %x", m.GetTo(), r.identity.Id)
	}
	if m.GetFrom() == r.identity.Id || m.GetFrom() == raft.None || raft.IsLocalMsgTarget(m.GetFrom()) {
		return fmt.Errorf("the message is from %x", m.GetFrom())
	}
	if r.state != nil && r.state.WasRemoved(m.GetFrom()) {
		return ErrRemoved
	}
	switch m.GetType() {
	case pb.MsgProp:
		return r.checkForwardedProposal(m)
	case pb.MsgApp:
		return checkAppend(m)
	case pb.MsgSnap:
		return r.checkSnapshot(m)
	case pb.MsgReadIndex, pb.MsgReadIndexResp:
		if len(m.GetEntries()) != 1 || m.GetEntries()[0] == nil {
			return errors.New("a read without its number")
		}
		return nil
	case pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat,
		pb.MsgHeartbeatResp, pb.MsgTransferLeader, pb.MsgTimeoutNow:
		return nil
	}
	return fmt.Errorf("a message of the kind %v does not come from another instance", m.GetType())
}

// checkForwardedProposal checks a proposal that a follower forwards.
//
// Hazard: an entry that can't be read stops every instance. Changes of the members are only proposed by the
// leader itself.
func (r *replica) checkForwardedProposal(m *pb.Message) error {
	if len(m.GetEntries()) == 0 {
		return errors.New("a proposal of nothing")
	}
	for _, e := range m.GetEntries() {
		if e.GetType() != pb.EntryNormal {
			return errors.New("a proposal of another kind than a change")
		}
		if _, _, err := r.decodeEntry(e.GetData()); err != nil {
			return err
		}
	}
	return nil
}

func checkAppend(m *pb.Message) error {
	for n, e := range m.GetEntries() {
		if e == nil || e.GetIndex() != m.GetIndex()+1+uint64(n) || e.GetTerm() > m.GetTerm() {
			return errors.New("the entries are not in order")
		}
	}
	return nil
}

func (r *replica) checkSnapshot(m *pb.Message) error {
	meta := m.GetSnapshot().GetMetadata()
	if meta.GetIndex() == 0 || meta.GetTerm() == 0 || meta.GetConfState() == nil {
		return errors.New("the snapshot is of nothing")
	}
	_, err := clusterstate.Restore(r.cfg.Rules, m.GetSnapshot().GetData())
	return err
}

// ReportSnapshot reports whether a snapshot reached the instance that it was sent to.
func (i *Instance) ReportSnapshot(to uint64, ok bool) {
	if i.node == nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	i.guarded(func() { i.node.ReportSnapshot(to, status) })
}

// ReportUnreachable reports that messages to an instance do not get through.
func (i *Instance) ReportUnreachable(id uint64) {
	if i.node != nil {
		i.guarded(func() { i.node.ReportUnreachable(id) })
	}
}

// ReportRemoved reports that another member knows this one to be removed. One that was partitioned when it
// happened would campaign for ever.
func (i *Instance) ReportRemoved() { i.removed = true }
