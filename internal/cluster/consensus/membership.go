package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// Operate starts an operation on the members, the leadership, or a replicated state machine. On an instance
// that does not lead it fails with a NotLeaderError. number is the id of the instance to add, which that
// instance has drawn itself.
func (i *Instance) Operate(op *schema.Operation, number uint64) RequestID {
	q := &request{handler: i.membership}
	id := i.requests.register(q)
	if err := i.startOperation(q, op, number); err != nil {
		i.requests.reject(q, err)
		return id
	}
	i.requests.add(q)
	i.requests.evaluate()
	return id
}

func (i *Instance) startOperation(q *request, op *schema.Operation, number uint64) error {
	if err := i.checkAvailable(); err != nil {
		return err
	}
	if s := i.node.BasicStatus(); s.RaftState != raft.StateLeader {
		leader, _ := i.state.Member(s.Lead)
		return &NotLeaderError{leader}
	}
	var err error
	i.haltOnPanic(func() {
		switch op.Kind {
		case schema.Operation_ADD, schema.Operation_PROMOTE, schema.Operation_REMOVE,
			schema.Operation_REPLACE:
			err = i.membership.start(q, op, number)
		case schema.Operation_TRANSFER:
			err = i.transfers.start(q, op)
		default:
			err = i.startCommand(q, op)
		}
	})
	if err != nil {
		return err
	}
	return i.halted
}

// startCommand proposes the command of a replicated state machine that performs an operation.
func (i *Instance) startCommand(q *request, op *schema.Operation) error {
	entryID := fmt.Sprintf("wish/%x/%d/%d", i.identity.Id, i.sessions.lease.Incarnation(), q.id)
	e, err := i.participants.commandFor(op, entryID)
	if err != nil {
		return err
	}
	q.handler, q.retryable, q.entryID, q.data = i.proposals, true, entryID, encodeEntry(e)
	i.haltOnPanic(func() { i.requests.submit(q) })
	return nil
}

// leaderTransfers handles the requests to make another member the leader.
type leaderTransfers struct {
	replica  *replica
	requests *requestTable
}

func (t *leaderTransfers) start(q *request, op *schema.Operation) error {
	m, err := memberByName(t.replica.state, op.Name)
	if err != nil {
		return err
	}
	if !t.replica.members.voter(m.ID) {
		return rejectf("%s has no vote; promote it first", m.Name)
	}
	q.handler, q.transferee = t, m.ID
	q.deadline = t.replica.ticks + uint64(leaderTransferElections*t.replica.cfg.ElectionTicks)
	t.replica.node.TransferLeader(m.ID)
	return nil
}

// submit implements requestHandler. Transfers are not retried.
func (t *leaderTransfers) submit(*request) {}

// resolve implements requestHandler.
func (t *leaderTransfers) resolve(q *request, s raft.BasicStatus) resolution {
	if s.Lead != q.transferee {
		return undecided
	}
	t.requests.respond(q, nil, clusterstate.Outcome{})
	return resolved
}

// membershipChanges handles the requests to change the Raft configuration of the group, one at a time.
type membershipChanges struct {
	replica  *replica
	requests *requestTable
}

// membershipPlan is a membership change, in the form that Raft and the cluster state expect.
type membershipPlan struct {
	raft  []*pb.ConfChangeSingle
	put   []*schema.Member // added to the cluster state
	drop  []uint64         // removed from the cluster state
	force bool             // skip checkQuorum's majority check
}

func (c *membershipPlan) add(t pb.ConfChangeType, id uint64) {
	c.raft = append(c.raft, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)})
}

func memberByName(state *clusterstate.State, name string) (clusterstate.Member, error) {
	m, ok := state.MemberByName(name)
	if !ok {
		return m, rejectf("the group has no instance %q", name)
	}
	return m, nil
}

func (m *membershipChanges) start(q *request, op *schema.Operation, number uint64) error {
	if op.Kind != schema.Operation_ADD {
		if _, err := memberByName(m.replica.state, op.Name); err != nil {
			return err
		}
	}
	pending := slices.ContainsFunc(m.requests.pending, func(w *request) bool { return w.handler == m })
	if m.replica.members.joint() || pending {
		return rejectf("another change of the members is under way")
	}
	change, err := m.plan(op, number)
	if err != nil {
		return err
	}
	if err := m.checkQuorum(change); err != nil {
		return err
	}
	q.entryID = fmt.Sprintf("members/%x/%d/%d", m.replica.identity.Id, m.replica.ticks, q.id)
	context, err := proto.Marshal(
		&schema.MembersChange{Change: q.entryID, Put: change.put, Drop: change.drop})
	if err != nil {
		return err
	}
	err = m.replica.node.ProposeConfChange(&pb.ConfChangeV2{Changes: change.raft, Context: context})
	if err != nil {
		return fmt.Errorf("%w (%w)", ErrNoLeader, err)
	}
	return nil
}

func (m *membershipChanges) plan(op *schema.Operation, number uint64) (*membershipPlan, error) {
	c := &membershipPlan{force: op.Force}
	switch op.Kind {
	case schema.Operation_ADD:
		return c, m.planAdd(c, op, number)
	case schema.Operation_PROMOTE:
		return c, m.planPromote(c, op)
	case schema.Operation_REMOVE:
		return c, m.planRemove(c, op)
	case schema.Operation_REPLACE:
		return c, m.planReplace(c, op)
	}
	return nil, rejectf("%v is no operation on members", op.Kind)
}

func (m *membershipChanges) planAdd(c *membershipPlan, op *schema.Operation, number uint64) error {
	if err := m.checkAdd(op, number); err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddLearnerNode, number)
	c.put = []*schema.Member{{Id: number, Name: op.Name, Address: op.Address}}
	return nil
}

func (m *membershipChanges) planPromote(c *membershipPlan, op *schema.Operation) error {
	learner, err := memberByName(m.replica.state, op.Name)
	if err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddNode, learner.ID)
	return m.checkPromote(learner)
}

func (m *membershipChanges) planRemove(c *membershipPlan, op *schema.Operation) error {
	member, err := memberByName(m.replica.state, op.Name)
	c.add(pb.ConfChangeType_ConfChangeRemoveNode, member.ID)
	c.drop = []uint64{member.ID}
	return err
}

// planReplace plans a promotion and a removal in one change, which passes through a joint configuration: a
// majority of both the old and the new voters must agree. Raft leaves the joint configuration automatically.
func (m *membershipChanges) planReplace(c *membershipPlan, op *schema.Operation) error {
	member, err := memberByName(m.replica.state, op.Name)
	if err != nil {
		return err
	}
	replacement, err := memberByName(m.replica.state, op.By)
	if err != nil {
		return err
	}
	if err := m.checkPromote(replacement); err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddNode, replacement.ID)
	c.add(pb.ConfChangeType_ConfChangeRemoveNode, member.ID)
	c.drop = []uint64{member.ID}
	return nil
}

func (m *membershipChanges) checkAdd(op *schema.Operation, number uint64) error {
	state := m.replica.state
	existing, known := state.MemberByName(op.Name)
	switch {
	case number == 0 || op.Name == "" || op.Address == "":
		return rejectf("a new instance needs a name, an address and its number")
	case known && existing.ID == number:
		return rejectf("%s is a member already", op.Name)
	case known:
		return rejectf("the group has another instance %s (%x): if that one's disk is lost, remove it first",
			existing.Name, existing.ID)
	case state.WasRemoved(number):
		return rejectf("the instance %x was removed before; start it on an empty directory", number)
	}
	for _, o := range state.Members() {
		if o.Address == op.Address {
			return rejectf("%s is at %s already", o.Name, o.Address)
		}
	}
	return nil
}

// checkPromote rejects the promotion of a learner that lags or is inactive. As a voter it counts towards the
// quorum immediately, so the group might be unable to commit until the learner has caught up.
func (m *membershipChanges) checkPromote(learner clusterstate.Member) error {
	if !m.replica.members.learner(learner.ID) {
		return rejectf("%s has a vote already", learner.Name)
	}
	s := m.replica.node.Status()
	match := s.Progress[learner.ID].Match
	lag := s.GetCommit() - min(s.GetCommit(), match)
	if !m.replica.memberActive(learner.ID) || match == 0 || lag > maxPromotionLag {
		return rejectf("%s lags %d entries behind or is not heard of; try again when it has caught up",
			learner.Name, lag)
	}
	return nil
}

// checkQuorum rejects a change after which no majority of the voters would be active, unless it is forced.
// Even a forced change can't remove the last voter.
func (m *membershipChanges) checkQuorum(change *membershipPlan) error {
	voters := slices.Clone(m.replica.members.conf.GetVoters())
	for _, c := range change.raft {
		voters = slices.DeleteFunc(voters, func(id uint64) bool { return id == c.GetNodeId() })
		if c.GetType() == pb.ConfChangeType_ConfChangeAddNode {
			voters = append(voters, c.GetNodeId())
		}
	}
	if len(voters) == 0 {
		return rejectf("the last instance with a vote can't be removed")
	}
	active := 0
	for _, id := range voters {
		if m.replica.memberActive(id) {
			active++
		}
	}
	if active <= len(voters)/2 && !change.force {
		return rejectf("of the %d voters left only %d would be heard of, no majority; "+
			"--force does it all the same", len(voters), active)
	}
	return nil
}

// submit implements requestHandler. Membership changes are not retried.
func (m *membershipChanges) submit(*request) {}

// resolve implements requestHandler.
func (m *membershipChanges) resolve(q *request, _ raft.BasicStatus) resolution {
	return m.requests.resolveByOutcome(q)
}
