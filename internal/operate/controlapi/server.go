package controlapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// maxMessageBytes bounds a message of the service in both directions. The largest is a backup.
const maxMessageBytes = 64 << 20

// callTimeout is how long a call may take, but for one that waits for a change.
const callTimeout = 10 * time.Second

// Server implements the service, on any number of listeners.
type Server struct {
	schema.UnimplementedControlServer
	host    Host
	log     logrus.FieldLogger
	servers []*grpc.Server // one a listener
	serving sync.WaitGroup

	ownership ownershipCache
}

// New makes the service of a host. It serves nothing yet.
func New(host Host, log logrus.FieldLogger) *Server { return &Server{host: host, log: log} }

// ServeSocket serves on a unix socket that only its file's owner can open, until Stop.
func (s *Server) ServeSocket(path string) error {
	// Hazard: a socket's file outlives a process that was killed, and blocks the next one. The lock on the
	// instance's directory has made sure that there is no other process.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("removing the file of an earlier control socket: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("the control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return errors.Join(fmt.Errorf("the control socket: %w", err), l.Close())
	}
	s.serve(l)
	return nil
}

// ServeTLS serves on an address to holders of operators' and readers' certificates, until Stop.
func (s *Server) ServeTLS(address string, k *keys.Reloader) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("the control address: %w", err)
	}
	config := k.ServerTLSConfig(keys.RoleOperator, keys.RoleReader)
	s.serve(l, grpc.Creds(credentials.NewTLS(config)))
	return nil
}

// serve serves on a listener by a goroutine of its own, which Stop ends.
func (s *Server) serve(l net.Listener, options ...grpc.ServerOption) {
	server := grpc.NewServer(append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.UnaryInterceptor(s.interceptCall),
		grpc.StreamInterceptor(s.interceptStream),
	)...)
	schema.RegisterControlServer(server, s)
	s.servers = append(s.servers, server)
	s.serving.Go(func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			s.log.WithError(err).WithField("address", l.Addr().String()).Error("control service ended")
		}
	})
}

func (s *Server) interceptCall(ctx context.Context, request any, info *grpc.UnaryServerInfo,
	handle grpc.UnaryHandler) (any, error) {
	if err := s.authorize(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

func (s *Server) interceptStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo,
	handle grpc.StreamHandler) error {
	if err := s.authorize(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return handle(server, stream)
}

// Stop ends all calls and listeners, and returns when they have ended.
func (s *Server) Stop() {
	for _, server := range s.servers {
		server.Stop()
	}
	s.serving.Wait()
}

// statusError gives an error its gRPC status: whether a call may be repeated goes by that.
func statusError(err error) error {
	var rejected *consensus.RejectedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}
