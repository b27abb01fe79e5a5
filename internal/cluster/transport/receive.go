package transport

import (
	"context"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

// removedMessage is the status text with which messages from a removed instance are rejected. Senders compare
// it, including those that run older programs, so it must not change.
const removedMessage = "this instance has been removed from the group"

// receive verifies an envelope and dispatches its message.
func (s *server) receive(ctx context.Context, e *schema.Envelope) error {
	st := s.network.runner.Status()
	m, err := s.verifyEnvelope(ctx, e, st)
	if err != nil {
		s.network.rejected.Add(1)
		s.network.log.WithError(err).WithField("instance", callerName(ctx)).Debug("message rejected")
		return err
	}
	s.dispatch(e, m, st)
	return nil
}

// verifyEnvelope verifies an envelope and returns its Raft message, or nil if it holds a session message.
func (s *server) verifyEnvelope(
	ctx context.Context, e *schema.Envelope, st consensus.Status,
) (*pb.Message, error) {
	if err := verifyAddressing(callerName(ctx), e, st); err != nil {
		return nil, err
	}
	var m *pb.Message
	if e.Session == nil {
		m = &pb.Message{}
		if err := proto.Unmarshal(e.Message, m); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "the message can't be read: %v", err)
		}
		if m.GetFrom() != e.From || m.GetTo() != e.To {
			return nil, status.Error(codes.InvalidArgument, "the message and its envelope disagree")
		}
	}
	removed := false
	if st.Revision > 0 && !isMember(st, e.From) {
		// View waits for the runner, so it is only called for senders that the status doesn't list, which
		// is rare.
		_ = s.network.runner.View(ctx, func(a *clusterstate.State) { removed = a.WasRemoved(e.From) })
	}
	if removed {
		return nil, status.Error(codes.PermissionDenied, removedMessage)
	}
	return m, nil
}

// verifyAddressing checks that an envelope's sender has the name in the caller's certificate and not the ID
// of a member with another name, and that the envelope is addressed to this instance and its group.
func verifyAddressing(caller string, e *schema.Envelope, st consensus.Status) error {
	switch {
	case e.FromName != caller:
		return status.Errorf(codes.PermissionDenied, "the certificate is of %q, the message of %q", caller,
			e.FromName)
	case st.Cluster == "" || st.Cluster != e.Cluster:
		return status.Errorf(codes.FailedPrecondition,
			"the message is of group %q, this instance belongs to %q", e.Cluster, st.Cluster)
	case e.To != st.ID:
		return status.Errorf(codes.NotFound,
			"the message is for instance %x, this is %x: was its directory emptied?", e.To, st.ID)
	}
	for _, m := range st.Members {
		if m.ID == e.From && m.Name != e.FromName {
			return status.Errorf(codes.PermissionDenied, "instance %x is %s, not %s", e.From, m.Name,
				e.FromName)
		}
	}
	return nil
}

func isMember(st consensus.Status, id uint64) bool {
	for _, m := range st.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// dispatch passes a message to the handler of its kind, or to the runner.
func (s *server) dispatch(e *schema.Envelope, m *pb.Message, st consensus.Status) {
	h := s.network.handlers
	switch session := e.Session; {
	case session.GetRate() != nil:
		callHandler(h.rates, e.From, session.Rate)
	case session.GetWitness() != nil:
		callHandler(h.outliers, e.From, session.Witness)
	case session.GetMembership() != nil:
		callHandler(h.membership, e.From, session.Membership)
	default:
		from := clusterstate.Member{ID: e.From, Name: e.FromName, Address: e.FromAddress}
		// Until the group's log has the latest format, a nil session message is delivered as well: it
		// reports which format the sender reads.
		if session != nil || st.Rollout.Format < clusterstate.LatestFormat {
			s.network.runner.DeliverSession(from, session, e.Format)
		}
		if session == nil {
			s.network.runner.Deliver(from, m)
		}
	}
}

func callHandler[M any](handle func(uint64, M), from uint64, m M) {
	if handle != nil {
		handle(from, m)
	}
}
