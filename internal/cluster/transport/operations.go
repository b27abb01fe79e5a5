package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

const (
	operateTimeout = 15 * time.Second
	inviteTimeout  = 5 * time.Second
)

// Operate runs an operator's operation on the group, forwarding it to the leader if this instance doesn't
// lead. Its errors are gRPC statuses.
func (n *Network) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return n.operate(ctx, op, true)
}

func (n *Network) operate(ctx context.Context, op *schema.Operation, forward bool) (*schema.Operated, error) {
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	st := n.runner.Status()
	var memberID uint64
	var err error
	if st.Role == consensus.RoleLeader && op.Kind == schema.Operation_ADD {
		if memberID, err = n.invite(ctx, st, op); err != nil {
			return nil, err
		}
	}
	err = n.runner.Operate(ctx, op, memberID)
	var notLeader *consensus.NotLeaderError
	var rejected *consensus.RejectedError
	switch {
	case err == nil:
		n.log.WithFields(logrus.Fields{"operation": op.Kind.String(), "name": op.Name, "by": op.By}).
			Info("operation completed")
		return &schema.Operated{Text: operationResult(op)}, nil
	case errors.As(err, &notLeader) && forward && notLeader.Leader.Address != "":
		return n.forwardOperation(ctx, notLeader.Leader, op)
	case errors.As(err, &rejected):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		return nil, status.Error(codes.DeadlineExceeded, consensus.ErrOutcomeUnknown.Error())
	default:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
}

func (n *Network) forwardOperation(
	ctx context.Context, leader clusterstate.Member, op *schema.Operation,
) (*schema.Operated, error) {
	conn, err := n.dial(leader)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	defer conn.Close()
	return schema.NewPeersClient(conn).Operate(ctx, op)
}

// invite makes a new instance join this group and returns its member ID.
func (n *Network) invite(ctx context.Context, st consensus.Status, op *schema.Operation) (uint64, error) {
	if err := keys.ValidateName(op.Name); err != nil {
		return 0, status.Error(codes.FailedPrecondition, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, inviteTimeout)
	defer cancel()
	conn, err := n.dial(clusterstate.Member{Name: op.Name, Address: op.Address})
	if err != nil {
		return 0, status.Error(codes.FailedPrecondition, err.Error())
	}
	defer conn.Close()
	c := schema.NewPeersClient(conn)
	d, err := c.Describe(ctx, &schema.DescribeRequest{})
	if err != nil {
		return 0, status.Errorf(codes.FailedPrecondition, "%s is not reached at %s: %s", op.Name, op.Address,
			status.Convert(err).Message())
	}
	if err := checkCanJoin(d, st, op); err != nil {
		return 0, err
	}
	if d, err = c.Invite(ctx, &schema.Invitation{Cluster: st.Cluster, Name: op.Name}); err != nil {
		return 0, status.Errorf(codes.FailedPrecondition, "%s does not join: %s", op.Name,
			status.Convert(err).Message())
	}
	return d.Id, nil
}

// checkCanJoin checks an invited instance's Description and returns an error if it must not join the group.
func checkCanJoin(d *schema.Description, st consensus.Status, op *schema.Operation) error {
	if d.Cluster != "" && d.Cluster != st.Cluster {
		return status.Errorf(codes.FailedPrecondition, "%s belongs to another group, %s", op.Name, d.Cluster)
	}
	// An instance that can't read the group's log format would become a member but never catch up. Programs
	// that report no format read format 1.
	if format := max(int(d.Format), 1); format < st.Rollout.Format {
		return status.Errorf(codes.FailedPrecondition,
			"%s runs an older program (%s) that reads format %d, and the group's log has %d; renew it first",
			op.Name, d.Program, format, st.Rollout.Format)
	}
	for _, m := range st.Members {
		if m.Name == op.Name && m.ID != d.Id {
			return status.Errorf(codes.FailedPrecondition,
				"the group has another instance %s (%x): if that one's disk is lost, remove it first", m.Name,
				m.ID)
		}
	}
	return nil
}

// operationResult returns the text that an operator is shown after a successful operation.
func operationResult(op *schema.Operation) string {
	switch op.Kind {
	case schema.Operation_ADD:
		return fmt.Sprintf("%s at %s belongs to the group, without a vote", op.Name, op.Address)
	case schema.Operation_PROMOTE:
		return op.Name + " has a vote"
	case schema.Operation_REMOVE:
		return op.Name + " is removed"
	case schema.Operation_REPLACE:
		return fmt.Sprintf("%s has the vote of %s, which is removed", op.By, op.Name)
	case schema.Operation_TRANSFER:
		return op.Name + " leads"
	case schema.Operation_HAND_ON:
		if op.By != "" {
			return fmt.Sprintf("%s is handed on to %s", op.Name, op.By)
		}
		return op.Name + " is handed on"
	case schema.Operation_PAUSE:
		return op.Name + " is paused: nobody is given it, and who holds it gives it back"
	case schema.Operation_RESUME:
		return op.Name + " is resumed"
	case schema.Operation_ROLL:
		return "the instances are taken out one after another; cluster roll show says how far that is"
	case schema.Operation_ROLL_STOP:
		return "nobody else is taken out; who is out is awaited"
	case schema.Operation_ROLL_RESUME:
		return "the rolling restart goes on"
	case schema.Operation_ROLL_UNDO:
		return "those that were taken out go once more, the last first"
	}
	return ""
}
