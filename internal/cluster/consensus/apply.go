package consensus

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// applyEntry applies a committed entry. It panics where it can't: see guarded.
func (i *Instance) applyEntry(e *pb.Entry) {
	i.appliedTerm = e.GetTerm()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) > 0 {
			i.applyNormal(e.GetData())
		}
	case pb.EntryConfChangeV2:
		if err := i.applyConfigChange(e); err != nil {
			panic(fmt.Sprintf("entry %d: %v", e.GetIndex(), err))
		}
	default:
		panic(fmt.Sprintf("entry %d is of the kind %v, which nobody proposes", e.GetIndex(), e.GetType()))
	}
	i.applied = e.GetIndex()
}

func (i *Instance) applyConfigChange(e *pb.Entry) error {
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
		// Hazard: to skip an entry that can't be read would be to agree on something else than the instances
		// that can read it.
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
	// Hazard: a proposal of a leader that was deposed between its decision and the proposal is forwarded to
	// the next leader, which may have granted leases since that the command counts as expired.
	if c.Kind.LeaderDecision() && c.Term != i.appliedTerm {
		return
	}
	if c.Kind == rollout.OpenSession {
		if _, ok := i.state.Member(c.Member); !ok {
			return
		}
	}
	o, decided := i.state.ApplyRollout(c)
	if c.ID != "" {
		i.requests.recordOutcome(c.ID, o)
	}
	if decided != "" {
		if known, ok := i.state.OutcomeOf(decided); ok {
			i.requests.recordOutcome(decided, known)
		}
	}
	i.emitRevision()
}

// applyCommand applies a command of a replicated state machine.
func (i *Instance) applyCommand(e *schema.Change) {
	c, ok := i.state.DecodeCommand(e)
	// Hazard: as with sessions, a deposed leader's decision is void.
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
