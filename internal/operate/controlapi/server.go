// Package control is the operators' service: gRPC on a unix socket, whose file's owner is
// an operator, and where configured on an address under TLS with certificates of two
// roles, reader and operator.
package controlapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// Host is the instance that the service speaks for.
type Host interface {
	Runner() *consensus.Runner
	Operate(context.Context, *schema.Operation) (*schema.Operated, error)
	// RunningRevision says which revision the fronts run, and why not the agreed one.
	RunningRevision() (revision uint64, problem string)
	// InitialDocument is the document that a new group begins with: what this instance's own settings say.
	InitialDocument() (*clusterstate.Document, error)
	Address() string
	Program() string
	Counters() map[string]uint64
	TickInterval() time.Duration
	ExplainRoute(*schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error)
	// Next says when the triggers of a document come next.
	PreviewTriggers(*clusterstate.Document, time.Time) ([]string, error)
	// HeldTasks is which duties this instance holds, as it knows.
	HeldTasks() []leasedtask.Lease
	// MemberState is what is believed of a member, if instances probe each other.
	MemberState(member uint64) (MemberState, bool)
}

// MaxMessageBytes bounds what is sent and taken: a backup is the largest.
const MaxMessageBytes = 64 << 20

// callTimeout is how long a request may take here.
const callTimeout = 10 * time.Second

// readerMethods may call these; everything else is for operators.
var readerMethods = map[string]bool{
	schema.Control_GetConfig_FullMethodName: true,
	schema.Control_History_FullMethodName:   true,
	schema.Control_Watch_FullMethodName:     true,
	schema.Control_Status_FullMethodName:    true,

	schema.Control_Pending_FullMethodName: true,
	schema.Control_Duties_FullMethodName:  true,

	schema.Control_ExplainRoute_FullMethodName: true,
}

// Server is the service.
type Server struct {
	schema.UnimplementedControlServer
	host Host
	log  logrus.FieldLogger
	grpc []*grpc.Server

	owners owners
}

// New makes the service of a host.
func New(host Host, log logrus.FieldLogger) *Server { return &Server{host: host, log: log} }

func (s *Server) newGRPCServer(opts ...grpc.ServerOption) *grpc.Server {
	g := grpc.NewServer(append(
		opts,
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.UnaryInterceptor(
			func(ctx context.Context, req any, info *grpc.UnaryServerInfo,
				next grpc.UnaryHandler) (any, error) {
				if err := s.authorize(ctx, info.FullMethod); err != nil {
					return nil, err
				}
				return next(ctx, req)
			},
		),
		grpc.StreamInterceptor(
			func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
				if err := s.authorize(ss.Context(), info.FullMethod); err != nil {
					return err
				}
				return next(srv, ss)
			},
		),
	)...)
	schema.RegisterControlServer(g, s)
	s.grpc = append(s.grpc, g)
	return g
}

// callerOf is the caller and what it may do.
func callerOf(ctx context.Context) (string, keys.Role) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", ""
	}
	if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
		c := info.State.PeerCertificates[0]
		return c.Subject.CommonName, keys.RoleOf(c)
	}
	if p.Addr.Network() == "unix" {
		return "socket", keys.RoleOperator // who may open the file may do everything
	}
	return "", ""
}

func (s *Server) authorize(ctx context.Context, method string) error {
	name, role := callerOf(ctx)
	if role == keys.RoleOperator || role == keys.RoleReader && readerMethods[method] {
		return nil
	}
	s.log.WithFields(logrus.Fields{"caller": name, "role": role, "method": method}).Warn("a call is refused")
	return status.Errorf(
		codes.PermissionDenied,
		"%s is for operators; the certificate of %q is of the role %q",
		method,
		name,
		role,
	)
}

// ServeSocket serves on a unix socket that only its owner can open.
func (s *Server) ServeSocket(path string) error {
	// Hazard: a socket's file outlives a process that was killed, and bars the next one.
	// The directory's lock has made sure that there is no other instance.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("the control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return err
	}
	g := s.newGRPCServer()
	go g.Serve(l)
	return nil
}

// ServeTLS serves on an address, to holders of operators' and readers' certificates.
func (s *Server) ServeTLS(address string, k *keys.Reloader) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("the control address: %w", err)
	}
	g := s.newGRPCServer(
		grpc.Creds(credentials.NewTLS(k.ServerTLSConfig(keys.RoleOperator, keys.RoleReader))),
	)
	go g.Serve(l)
	return nil
}

// Stop ends the service.
func (s *Server) Stop() {
	for _, g := range s.grpc {
		g.Stop()
	}
}

// statusError is an error as the caller sees it.
func statusError(err error) error {
	var refused *consensus.RejectedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}

// Status implements schema.ControlServer. It answers whatever state the agreement is in.
func (s *Server) Status(context.Context, *schema.StatusRequest) (*schema.StatusReply, error) {
	st := s.host.Runner().Status()
	out := &schema.StatusReply{
		Name:     st.Name,
		Id:       st.ID,
		Cluster:  st.Cluster,
		Role:     string(st.Role),
		Term:     st.Term,
		Commit:   st.Commit,
		Applied:  st.Applied,
		Revision: st.Revision,
		CutOff:   st.NoLeader && st.Cluster != "",
		Joint:    st.JointConsensus,
		ContactS: (time.Duration(st.TicksSinceContact) * s.host.TickInterval()).Seconds(),
		Counters: s.host.Counters(),
		Program:  s.host.Program(),
	}
	out.Running, out.RunningProblem = s.host.RunningRevision()
	select {
	case <-s.host.Runner().Done():
		out.Role = "stopped"
		if err := s.host.Runner().Err(); err != nil {
			out.RunningProblem = err.Error()
		}
	default:
	}
	if st.Halted != nil {
		out.Role, out.RunningProblem = "stopped", st.Halted.Error()
	}
	for _, m := range st.Members {
		if m.ID == st.Leader {
			out.Leader = m.Name
		}
		out.Members = append(
			out.Members,
			&schema.MemberStatus{Name: m.Name, Id: m.ID, Address: m.Address, Voter: m.Voter,
				Active: m.Active, Match: m.Match, Known: m.ProgressKnown},
		)
	}
	s.describeMembership(out)
	describeSessions(out, st)
	s.describeOwners(out, st)
	return out, nil
}

// Init implements schema.ControlServer.
func (s *Server) Init(ctx context.Context, in *schema.InitRequest) (*schema.StatusReply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	doc, after, err := (*clusterstate.Document)(nil), uint64(0), error(nil)
	if len(in.Backup) > 0 {
		var b *Backup
		if b, err = DecodeBackup(in.Backup); err == nil {
			newest := b.Revisions[len(b.Revisions)-1]
			doc, after = newest.Document, newest.Number
		}
	} else {
		doc, err = s.host.InitialDocument()
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	cluster, err := newID()
	if err == nil {
		err = s.host.Runner().Bootstrap(ctx, cluster, s.host.Address(), doc, after)
	}
	if err == nil {
		err = s.host.Runner().Barrier(ctx)
	}
	if err != nil {
		return nil, statusError(err)
	}
	s.log.WithField("group", cluster).Info("a new group was made")
	return s.Status(ctx, nil)
}

// Operate implements schema.ControlServer.
func (s *Server) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	op.Author, _ = callerOf(ctx)
	return s.host.Operate(ctx, op)
}

// ExplainRoute implements schema.ControlServer.
func (s *Server) ExplainRoute(_ context.Context,
	in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	out, err := s.host.ExplainRoute(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return out, nil
}

// Snapshot implements schema.ControlServer.
func (s *Server) Snapshot(ctx context.Context, _ *schema.SnapshotRequest) (*schema.Operated, error) {
	if err := s.host.Runner().Compact(ctx); err != nil {
		return nil, statusError(err)
	}
	return &schema.Operated{
		Text: fmt.Sprintf("the log of %s begins anew after entry %d", s.host.Runner().Status().Name,
			s.host.Runner().Status().Applied),
	}, nil
}

// Backup implements schema.ControlServer.
func (s *Server) Backup(ctx context.Context, _ *schema.BackupRequest) (*schema.BackupReply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r := s.host.Runner()
	if err := r.Barrier(ctx); err != nil {
		return nil, statusError(err)
	}
	out := &schema.BackupReply{}
	err := r.View(ctx, func(st *clusterstate.State) {
		out.Backup, out.Revision = EncodeBackup(st.ClusterID(), st.Revisions()), st.CurrentRevision().Number
	})
	return out, statusError(err)
}
