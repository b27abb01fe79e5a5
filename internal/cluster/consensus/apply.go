package consensus

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// applyEntry applies a committed entry. It panics if the entry can't be applied; haltOnPanic then halts the
// instance.
func (i *Instance) applyEntry(e *pb.Entry) {
	i.appliedTerm = e.GetTerm()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) > 0 {
			i.applyNormal(e.GetData())
		}
	case pb.EntryConfChangeV2:
		if err := i.applyMembershipChange(e); err != nil {
			panic(fmt.Sprintf("apply membership change at index %d: %v", e.GetIndex(), err))
		}
	default:
		panic(fmt.Sprintf("log entry %d has unexpected type %v", e.GetIndex(), e.GetType()))
	}
	i.applied = e.GetIndex()
}

func (i *Instance) applyMembershipChange(e *pb.Entry) error {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return err
	}
	i.members.conf = i.node.ApplyConfChange(change)
	i.membersChanged = true
	var members schema.MembersChange
	if err := proto.Unmarshal(change.GetContext(), &members); err != nil {
		return err
	}
	var put []clusterstate.Member
	for _, m := range members.Put {
		put = append(put, clusterstate.Member{ID: m.Id, Name: m.Name, Address: m.Address})
	}
	i.state.ApplyMembership(put, members.Drop)
	i.requests.recordOutcome(members.Change, clusterstate.Outcome{})
	return nil
}

func (i *Instance) applyNormal(data []byte) {
	m, change, err := i.decodeEntry(data)
	if err != nil {
		// Skipping an entry that can't be decoded would make this instance's state diverge from that of the
		// instances that can decode it.
		panic(err)
	}
	switch {
	case m.Enter:
		i.state.UpgradeFormat()
	case m.Command != nil:
		i.applyRolloutCommand(m.Command)
	case i.cfg.Rules.HasCommand(m):
		i.applyCommand(m)
	default:
		if o, ok := i.state.ApplyChange(change); ok {
			i.requests.recordOutcome(change.ID, o)
		}
	}
	i.ownership.observeView()
	i.state.UpdateOwners()
	i.emitRevision()
}

func (i *Instance) applyRolloutCommand(m *schema.Command) {
	c := decodeRolloutCommand(m)
	// A leader's decision is valid only in the leader's term. If the leader is deposed between its decision
	// and its proposal, the proposal is forwarded to the next leader, which may since have granted leases
	// that the command treats as expired.
	if c.Kind.LeaderDecision() && c.Term != i.appliedTerm {
		return
	}
	if c.Kind == rollout.OpenSession {
		if _, ok := i.state.Member(c.Member); !ok {
			return
		}
	}
	o, decidedChange := i.state.ApplyRollout(c)
	if c.ID != "" {
		i.requests.recordOutcome(c.ID, o)
	}
	if decidedChange != "" {
		if known, ok := i.state.OutcomeOf(decidedChange); ok {
			i.requests.recordOutcome(decidedChange, known)
		}
	}
	i.emitRevision()
}

// applyCommand applies a command of a replicated state machine.
func (i *Instance) applyCommand(e *schema.Change) {
	c, ok := i.state.DecodeCommand(e)
	// As in applyRolloutCommand, a decision of a deposed leader has no effect.
	if !ok || c.LeaderDecision && c.Term != i.appliedTerm {
		return
	}
	o := i.state.ApplyCommand(c)
	if c.ID != "" {
		i.requests.recordOutcome(c.ID, o)
	} else if o.Code != clusterstate.Accepted {
		i.cfg.Logger.WithField("reason", o.Problems).Debug("replicated command rejected")
	}
}
