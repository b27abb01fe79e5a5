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

// Operate carries out an operation on the members, the leader, or a replicated state machine. Only the
// leader does it. number is the id of the instance to be added, which that instance chose itself.
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
	if err := i.available(); err != nil {
		return err
	}
	if s := i.node.BasicStatus(); s.RaftState != raft.StateLeader {
		leader, _ := i.state.Member(s.Lead)
		return &NotLeaderError{leader}
	}
	var err error
	i.guarded(func() {
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

// startCommand proposes the command of a replicated state machine that carries out an operation.
func (i *Instance) startCommand(q *request, op *schema.Operation) error {
	entryID := fmt.Sprintf("wish/%x/%d/%d", i.identity.Id, i.sessions.lease.Incarnation(), q.id)
	e, err := i.participants.commandFor(op, entryID)
	if err != nil {
		return err
	}
	q.handler, q.retryable, q.entryID, q.data = i.proposals, true, entryID, encodeEntry(e)
	i.guarded(func() { i.requests.submit(q) })
	return nil
}

// leaderTransfers are the requests to make another member the leader.
type leaderTransfers struct {
	replica  *replica
	requests *requestTable
}

func (t *leaderTransfers) start(q *request, op *schema.Operation) error {
	m, err := memberNamed(t.replica.state, op.Name)
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

// submit implements requestHandler; a transfer is not retried.
func (t *leaderTransfers) submit(*request) {}

// resolve implements requestHandler.
func (t *leaderTransfers) resolve(q *request, s raft.BasicStatus) resolution {
	if s.Lead != q.transferee {
		return undecided
	}
	t.requests.respond(q, nil, clusterstate.Outcome{})
	return resolved
}

// membershipChanges are the requests to change Raft's configuration of the group, one at a time.
type membershipChanges struct {
	replica  *replica
	requests *requestTable
}

// configChange is a change of the members, as Raft and the cluster state take it.
type configChange struct {
	raft  []*pb.ConfChangeSingle
	put   []*schema.Member
	drop  []uint64
	force bool
}

func (c *configChange) add(t pb.ConfChangeType, id uint64) {
	c.raft = append(c.raft, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)})
}

func memberNamed(state *clusterstate.State, name string) (clusterstate.Member, error) {
	m, ok := state.MemberByName(name)
	if !ok {
		return m, rejectf("the group has no instance %q", name)
	}
	return m, nil
}

func (m *membershipChanges) start(q *request, op *schema.Operation, number uint64) error {
	if op.Kind != schema.Operation_ADD {
		if _, err := memberNamed(m.replica.state, op.Name); err != nil {
			return err
		}
	}
	underWay := slices.ContainsFunc(m.requests.pending, func(w *request) bool { return w.handler == m })
	if m.replica.members.joint() || underWay {
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

func (m *membershipChanges) plan(op *schema.Operation, number uint64) (*configChange, error) {
	c := &configChange{force: op.Force}
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

func (m *membershipChanges) planAdd(c *configChange, op *schema.Operation, number uint64) error {
	if err := m.checkAdd(op, number); err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddLearnerNode, number)
	c.put = []*schema.Member{{Id: number, Name: op.Name, Address: op.Address}}
	return nil
}

func (m *membershipChanges) planPromote(c *configChange, op *schema.Operation) error {
	learner, err := memberNamed(m.replica.state, op.Name)
	if err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddNode, learner.ID)
	return m.checkPromote(learner)
}

func (m *membershipChanges) planRemove(c *configChange, op *schema.Operation) error {
	member, err := memberNamed(m.replica.state, op.Name)
	c.add(pb.ConfChangeType_ConfChangeRemoveNode, member.ID)
	c.drop = []uint64{member.ID}
	return err
}

// planReplace plans two changes in one, which go through a joint configuration: both the old and the new
// majority must agree. Raft leaves it by itself.
func (m *membershipChanges) planReplace(c *configChange, op *schema.Operation) error {
	member, err := memberNamed(m.replica.state, op.Name)
	if err != nil {
		return err
	}
	by, err := memberNamed(m.replica.state, op.By)
	if err != nil {
		return err
	}
	if err := m.checkPromote(by); err != nil {
		return err
	}
	c.add(pb.ConfChangeType_ConfChangeAddNode, by.ID)
	c.add(pb.ConfChangeType_ConfChangeRemoveNode, member.ID)
	c.drop = []uint64{member.ID}
	return nil
}

func (m *membershipChanges) checkAdd(op *schema.Operation, number uint64) error {
	state := m.replica.state
	namesake, known := state.MemberByName(op.Name)
	switch {
	case number == 0 || op.Name == "" || op.Address == "":
		return rejectf("a new instance needs a name, an address and its number")
	case known && namesake.ID == number:
		return rejectf("%s is a member already", op.Name)
	case known:
		return rejectf("the group has another instance %s (%x): if that one's disk is lost, remove it first",
			namesake.Name, namesake.ID)
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

// checkPromote rejects giving a vote to a learner that lags or is silent: the group would need it for its
// majorities at once.
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
func (m *membershipChanges) checkQuorum(change *configChange) error {
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

// submit implements requestHandler; a change of the members is not retried.
func (m *membershipChanges) submit(*request) {}

// resolve implements requestHandler.
func (m *membershipChanges) resolve(q *request, _ raft.BasicStatus) resolution {
	return m.requests.resolveByOutcome(q)
}
