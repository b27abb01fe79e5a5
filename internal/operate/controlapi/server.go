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

// maxMessageBytes limits the size of messages in both directions. The largest messages are backups.
const maxMessageBytes = 64 << 20

// callTimeout is the time limit of a call, except for calls that wait for a change.
const callTimeout = 10 * time.Second

// Server implements the control service on one or more listeners.
type Server struct {
	schema.UnimplementedControlServer
	host    Host
	log     logrus.FieldLogger
	servers []*grpc.Server // one per listener
	serving sync.WaitGroup

	ownership ownershipCache
}

// New returns a service for the host. It serves only after ServeSocket or ServeTLS.
func New(host Host, log logrus.FieldLogger) *Server { return &Server{host: host, log: log} }

// ServeSocket serves on a unix socket, which only the owner of its file can open, until Stop.
func (s *Server) ServeSocket(path string) error {
	// The socket file of a killed process remains and would make the next Listen fail. Removing it is safe:
	// the lock on the instance's directory has ensured that no other process runs.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("removing a stale control socket: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("opening the control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return errors.Join(fmt.Errorf("setting the mode of the control socket: %w", err), l.Close())
	}
	s.serve(l)
	return nil
}

// ServeTLS serves on a TCP address, to callers with an operator's or reader's certificate, until Stop.
func (s *Server) ServeTLS(address string, reloader *keys.Reloader) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("opening the control address: %w", err)
	}
	config := reloader.ServerTLSConfig(keys.RoleOperator, keys.RoleReader)
	s.serve(l, grpc.Creds(credentials.NewTLS(config)))
	return nil
}

// serve starts a goroutine that serves on the listener until Stop.
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
			s.log.WithError(err).WithField("address", l.Addr().String()).Error("control service failed")
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

// Stop closes all listeners, cancels all calls and waits until the listeners' goroutines have ended.
func (s *Server) Stop() {
	for _, server := range s.servers {
		server.Stop()
	}
	s.serving.Wait()
}

// statusError converts an error to a gRPC status. Callers decide by the status code whether to repeat a call.
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
