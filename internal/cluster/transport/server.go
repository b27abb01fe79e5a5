package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// Server gives the service, to be registered with a gRPC server made by Listener.
func (n *Network) Server() *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(n.keys.ServerTLSConfig(keys.RoleInstance))),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(
			keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true},
		),
		// A connection goes by the certificates as they were when it was made.
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionAge: 10 * time.Minute,
			MaxConnectionAgeGrace: 10 * time.Second, Time: 10 * time.Second, Timeout: 2 * time.Second}),
	)
	schema.RegisterPeersServer(s, &server{n: n})
	return s
}

// removed is what a removed instance is told.
const removed = "this instance has been removed from the group"

type server struct {
	schema.UnimplementedPeersServer
	n *Network
}

// caller is the name in the caller's certificate.
func caller(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
			return info.State.PeerCertificates[0].Subject.CommonName
		}
	}
	return ""
}

// take checks an envelope and hands its message on.
func (s *server) take(ctx context.Context, e *schema.Envelope) error {
	n := s.n
	refuse := func(code codes.Code, format string, args ...any) error {
		n.foreign.Add(1)
		err := status.Errorf(code, format, args...)
		n.log.WithError(err).WithField("peer", caller(ctx)).Debug("a message is refused")
		return err
	}
	if name := caller(ctx); e.FromName != name {
		return refuse(codes.PermissionDenied, "the certificate is of %q, the message of %q", name, e.FromName)
	}
	st := n.runner.Status()
	switch {
	case st.Cluster == "" || st.Cluster != e.Cluster:
		return refuse(
			codes.FailedPrecondition,
			"the message is of group %q, this instance belongs to %q",
			e.Cluster,
			st.Cluster,
		)
	case e.To != st.ID:
		return refuse(
			codes.NotFound,
			"the message is for instance %x, this is %x: was its directory emptied?",
			e.To,
			st.ID,
		)
	}
	for _, m := range st.Members {
		if m.ID == e.From && m.Name != e.FromName {
			return refuse(codes.PermissionDenied, "instance %x is %s, not %s", e.From, m.Name, e.FromName)
		}
	}
	m := &pb.Message{}
	if e.Session == nil {
		if err := proto.Unmarshal(e.Message, m); err != nil {
			return refuse(codes.InvalidArgument, "the message can't be read: %v", err)
		}
		if m.GetFrom() != e.From || m.GetTo() != e.To {
			return refuse(codes.InvalidArgument, "the message and its envelope disagree")
		}
	}
	gone := false
	if st.Revision > 0 && !knows(st, e.From) {
		// Asked only of those that the status doesn't name, which is rare.
		_ = n.runner.View(ctx, func(a *clusterstate.State) { gone = a.WasRemoved(e.From) })
	}
	if gone {
		return refuse(codes.PermissionDenied, removed)
	}
	from := clusterstate.Member{ID: e.From, Name: e.FromName, Address: e.FromAddress}
	if e.Session != nil && e.Session.Rate != nil {
		if n.rates != nil {
			n.rates(e.From, e.Session.Rate)
		}
		return nil
	}
	if e.Session != nil && e.Session.Witness != nil {
		if n.words != nil {
			n.words(e.From, e.Session.Witness)
		}
		return nil
	}
	if e.Session != nil && e.Session.Membership != nil {
		if n.probes != nil {
			n.probes(e.From, e.Session.Membership)
		}
		return nil
	}
	if e.Session != nil || st.Rollout.Format < clusterstate.LatestFormat {
		n.runner.DeliverSession(from, e.Session, e.Format)
	}
	if e.Session == nil {
		n.runner.Deliver(from, m)
	}
	return nil
}

func knows(st consensus.Status, id uint64) bool {
	for _, m := range st.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// Deliver implements schema.PeersServer.
func (s *server) Deliver(stream grpc.ClientStreamingServer[schema.Envelope, schema.Delivered]) error {
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&schema.Delivered{})
		}
		if err != nil {
			return err
		}
		if err := s.take(stream.Context(), e); err != nil {
			return err
		}
	}
}

// Snapshot implements schema.PeersServer.
func (s *server) Snapshot(ctx context.Context, e *schema.Envelope) (*schema.Delivered, error) {
	return &schema.Delivered{}, s.take(ctx, e)
}

// Describe implements schema.PeersServer.
func (s *server) Describe(context.Context, *schema.DescribeRequest) (*schema.Description, error) {
	st := s.n.runner.Status()
	out := &schema.Description{Id: st.ID, Name: st.Name, Cluster: st.Cluster, Program: s.n.program,
		Format: clusterstate.LatestFormat, Life: st.Incarnation}
	if s.n.fronts != nil {
		s.n.fronts(out)
	}
	return out, nil
}

// HandleDescribe says how this instance's fronts stand.
func (n *Network) HandleDescribe(f func(*schema.Description)) { n.fronts = f }

// Describe asks another instance how it stands.
func (n *Network) Describe(ctx context.Context, to clusterstate.Member) (*schema.Description, error) {
	// Over the connection that stands: a conductor asks ten times a second.
	l, err := n.link(to)
	if err != nil {
		return nil, err
	}
	return schema.NewPeersClient(l.conn).Describe(ctx, &schema.DescribeRequest{})
}

// Invite implements schema.PeersServer.
func (s *server) Invite(ctx context.Context, in *schema.Invitation) (*schema.Description, error) {
	if in.Name != s.n.self.Name {
		return nil, status.Errorf(codes.FailedPrecondition, "this is %s, not %s", s.n.self.Name, in.Name)
	}
	if err := s.n.runner.Join(ctx, in.Cluster); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	s.n.log.WithFields(logrus.Fields{"group": in.Cluster, "by": caller(ctx)}).
		Info("this instance has joined a group")
	return s.Describe(ctx, nil)
}

// HandleWatchEndpointLists has callers be told discovery's list by this function, for as long as it lasts.
func (n *Network) HandleWatchEndpointLists(tell func(context.Context, func(*schema.ListNews) error) error) {
	n.lists = tell
}

// Lists implements schema.PeersServer.
func (s *server) Lists(in *schema.ListsRequest, out grpc.ServerStreamingServer[schema.ListNews]) error {
	if st := s.n.runner.Status(); in.Cluster != st.Cluster || s.n.lists == nil {
		return status.Errorf(codes.FailedPrecondition, "this is an instance of the group %s", st.Cluster)
	}
	if err := s.n.lists(out.Context(), out.Send); err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	return nil
}

// WatchEndpointLists asks an instance for discovery's list, and hands on what it tells until the context
// ends, the other side does, or told returns an error.
func (n *Network) WatchEndpointLists(
	ctx context.Context,
	of clusterstate.Member,
	told func(*schema.ListNews) error,
) error {
	conn, err := n.dial(of)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := schema.NewPeersClient(conn).Lists(ctx, &schema.ListsRequest{
		Cluster: n.runner.Status().Cluster})
	for err == nil {
		var news *schema.ListNews
		if news, err = stream.Recv(); err == nil {
			err = told(news)
		}
	}
	return err
}

// Operate implements schema.PeersServer, for an instance that doesn't lead.
func (s *server) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return s.n.operate(ctx, op, false)
}

// Operate carries out an operation on the members: here, or at the leader.
func (n *Network) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return n.operate(ctx, op, true)
}

func (n *Network) operate(ctx context.Context, op *schema.Operation, forward bool) (*schema.Operated, error) {
	ctx, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	st := n.runner.Status()
	var number uint64
	var err error
	if st.Role == "leader" && op.Kind == schema.Operation_ADD {
		if number, err = n.invite(ctx, st, op); err != nil {
			return nil, err
		}
	}
	err = n.runner.Operate(ctx, op, number)
	var elsewhere *consensus.NotLeaderError
	var refused *consensus.RejectedError
	switch {
	case err == nil:
		n.log.WithFields(logrus.Fields{"operation": op.Kind.String(), "name": op.Name, "by": op.By}).
			Info("the group has changed")
		return &schema.Operated{Text: describe(op)}, nil
	case errors.As(err, &elsewhere) && forward && elsewhere.Leader.Address != "":
		conn, err := n.dial(elsewhere.Leader)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		defer conn.Close()
		return schema.NewPeersClient(conn).Operate(ctx, op)
	case errors.As(err, &refused):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		return nil, status.Error(codes.DeadlineExceeded, consensus.ErrOutcomeUnknown.Error())
	default:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
}

// invite has a new instance belong to this group and gives its number.
func (n *Network) invite(ctx context.Context, st consensus.Status, op *schema.Operation) (uint64, error) {
	if err := keys.ValidateName(op.Name); err != nil {
		return 0, status.Error(codes.FailedPrecondition, err.Error())
	}
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
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
	if d.Cluster != "" && d.Cluster != st.Cluster {
		return 0, status.Errorf(
			codes.FailedPrecondition,
			"%s belongs to another group, %s",
			op.Name,
			d.Cluster,
		)
	}
	// It would belong to the group and never follow: it can't read the log.
	if reads := max(int(d.Format), 1); reads < st.Rollout.Format {
		return 0, status.Errorf(codes.FailedPrecondition,
			"%s runs an older program (%s) that reads format %d, and the group's log has %d; renew it first",
			op.Name, d.Program, reads, st.Rollout.Format)
	}
	for _, m := range st.Members {
		if m.Name == op.Name && m.ID != d.Id {
			return 0, status.Errorf(
				codes.FailedPrecondition,
				"the group has another instance %s (%x): if that one's disk is lost, remove it first",
				m.Name,
				m.ID,
			)
		}
	}
	if d, err = c.Invite(ctx, &schema.Invitation{Cluster: st.Cluster, Name: op.Name}); err != nil {
		return 0, status.Errorf(
			codes.FailedPrecondition,
			"%s does not join: %s",
			op.Name,
			status.Convert(err).Message(),
		)
	}
	return d.Id, nil
}

func describe(op *schema.Operation) string {
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
