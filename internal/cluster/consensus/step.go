package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"moorstack/internal/cluster/clusterstate"
)

// Step processes a Raft message from another instance. It returns an error for an invalid message, which
// changes nothing.
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
	i.haltOnPanic(func() {
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
		return nil // a response from a member that was removed in the meantime
	}
	return err
}

// checkMessage validates those parts of a message that Raft itself does not, as it trusts its peers.
func (r *replica) checkMessage(m *pb.Message) error {
	if m.GetTo() != r.identity.Id {
		return fmt.Errorf("message is addressed to instance %x, but this is %x", m.GetTo(), r.identity.Id)
	}
	if m.GetFrom() == r.identity.Id || m.GetFrom() == raft.None || raft.IsLocalMsgTarget(m.GetFrom()) {
		return fmt.Errorf("message has invalid sender %x", m.GetFrom())
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
			return errors.New("read index message must have exactly one entry with the read context")
		}
		return nil
	case pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat,
		pb.MsgHeartbeatResp, pb.MsgTransferLeader, pb.MsgTimeoutNow:
		return nil
	}
	return fmt.Errorf("unexpected type %v of a message from another instance", m.GetType())
}

// checkForwardedProposal validates a proposal that a follower has forwarded. If an entry that can't be
// decoded got into the log, every instance would halt. Membership changes are rejected too, as only the
// leader itself proposes them.
func (r *replica) checkForwardedProposal(m *pb.Message) error {
	if len(m.GetEntries()) == 0 {
		return errors.New("proposal has no entries")
	}
	for _, e := range m.GetEntries() {
		if e.GetType() != pb.EntryNormal {
			return errors.New("forwarded proposal must consist of normal entries")
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
			return errors.New("append message has entries out of order")
		}
	}
	return nil
}

func (r *replica) checkSnapshot(m *pb.Message) error {
	meta := m.GetSnapshot().GetMetadata()
	if meta.GetIndex() == 0 || meta.GetTerm() == 0 || meta.GetConfState() == nil {
		return errors.New("snapshot message must have an index, a term and a configuration")
	}
	_, err := clusterstate.Restore(r.cfg.Rules, m.GetSnapshot().GetData())
	return err
}

// ReportSnapshot reports whether a snapshot reached its recipient.
func (i *Instance) ReportSnapshot(to uint64, ok bool) {
	if i.node == nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	i.haltOnPanic(func() { i.node.ReportSnapshot(to, status) })
}

// ReportUnreachable reports that an instance can't be reached.
func (i *Instance) ReportUnreachable(id uint64) {
	if i.node != nil {
		i.haltOnPanic(func() { i.node.ReportUnreachable(id) })
	}
}

// ReportRemoved reports that, according to another member, this one was removed. Without this report, an
// instance that was partitioned during its removal would campaign forever.
func (i *Instance) ReportRemoved() { i.removed = true }
