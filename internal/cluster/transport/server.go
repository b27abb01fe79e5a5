package transport

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// Timing of incoming connections.
const (
	minKeepaliveInterval   = time.Second
	serverKeepaliveTimeout = 2 * time.Second
	// maxConnectionAge bounds how long a connection keeps using the certificates with which it was opened.
	maxConnectionAge      = 10 * time.Minute
	maxConnectionAgeGrace = 10 * time.Second
)

// Server returns the gRPC server that other instances call.
func (n *Network) Server() *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(n.keys.ServerTLSConfig(keys.RoleInstance))),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(
			keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true},
		),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionAge: maxConnectionAge,
			MaxConnectionAgeGrace: maxConnectionAgeGrace, Time: keepaliveInterval,
			Timeout: serverKeepaliveTimeout}),
	)
	schema.RegisterPeersServer(s, &server{network: n})
	return s
}

type server struct {
	schema.UnimplementedPeersServer
	network *Network
}

// callerName returns the common name in the caller's certificate, or "" if there is none.
func callerName(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
			return info.State.PeerCertificates[0].Subject.CommonName
		}
	}
	return ""
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
		if err := s.receive(stream.Context(), e); err != nil {
			return err
		}
	}
}

// Snapshot implements schema.PeersServer.
func (s *server) Snapshot(ctx context.Context, e *schema.Envelope) (*schema.Delivered, error) {
	return &schema.Delivered{}, s.receive(ctx, e)
}

// Describe implements schema.PeersServer.
func (s *server) Describe(context.Context, *schema.DescribeRequest) (*schema.Description, error) {
	st := s.network.runner.Status()
	out := &schema.Description{Id: st.ID, Name: st.Name, Cluster: st.Cluster,
		Program: s.network.programVersion, Format: clusterstate.LatestFormat, Life: st.Incarnation}
	if s.network.handlers.describe != nil {
		s.network.handlers.describe(out)
	}
	return out, nil
}

// Invite implements schema.PeersServer.
func (s *server) Invite(ctx context.Context, in *schema.Invitation) (*schema.Description, error) {
	if in.Name != s.network.self.Name {
		return nil, status.Errorf(codes.FailedPrecondition, "this is %s, not %s", s.network.self.Name,
			in.Name)
	}
	if err := s.network.runner.Join(ctx, in.Cluster); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	s.network.log.WithFields(logrus.Fields{"group": in.Cluster, "by": callerName(ctx)}).
		Info("instance joined group")
	return s.Describe(ctx, nil)
}

// Lists implements schema.PeersServer.
func (s *server) Lists(in *schema.ListsRequest, out grpc.ServerStreamingServer[schema.ListNews]) error {
	stream := s.network.handlers.watchEndpointLists
	if st := s.network.runner.Status(); in.Cluster != st.Cluster || stream == nil {
		return status.Errorf(codes.FailedPrecondition, "this is an instance of the group %s", st.Cluster)
	}
	if err := stream(out.Context(), out.Send); err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	return nil
}

// Operate implements schema.PeersServer. It runs operations that were forwarded by an instance that doesn't
// lead.
func (s *server) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return s.network.operate(ctx, op, false)
}
