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

// removedMessage is the text of the status with which a message of a removed instance is rejected. The sender
// recognises it, also one of an older program.
const removedMessage = "this instance has been removed from the group"

// receive checks an envelope and dispatches its message.
func (s *server) receive(ctx context.Context, e *schema.Envelope) error {
	st := s.network.runner.Status()
	m, err := s.check(ctx, e, st)
	if err != nil {
		s.network.rejected.Add(1)
		s.network.log.WithError(err).WithField("instance", callerName(ctx)).Debug("message rejected")
		return err
	}
	s.dispatch(e, m, st)
	return nil
}

// check checks an envelope, and gives the Raft message in it; nil: it holds a session message.
func (s *server) check(ctx context.Context, e *schema.Envelope, st consensus.Status) (*pb.Message, error) {
	if err := checkAddress(callerName(ctx), e, st); err != nil {
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
		// Only for those that the status doesn't name, which is rare: it waits for the runner.
		_ = s.network.runner.View(ctx, func(a *clusterstate.State) { removed = a.WasRemoved(e.From) })
	}
	if removed {
		return nil, status.Error(codes.PermissionDenied, removedMessage)
	}
	return m, nil
}

// checkAddress checks from whom and for whom an envelope is.
func checkAddress(caller string, e *schema.Envelope, st consensus.Status) error {
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

// dispatch gives a message to the runner, or to the handler of its kind.
func (s *server) dispatch(e *schema.Envelope, m *pb.Message, st consensus.Status) {
	h := s.network.handlers
	switch session := e.Session; {
	case session.GetRate() != nil:
		call(h.rates, e.From, session.Rate)
	case session.GetWitness() != nil:
		call(h.outliers, e.From, session.Witness)
	case session.GetMembership() != nil:
		call(h.membership, e.From, session.Membership)
	default:
		from := clusterstate.Member{ID: e.From, Name: e.FromName, Address: e.FromAddress}
		// A session message of nil still reports which format the sender reads.
		if session != nil || st.Rollout.Format < clusterstate.LatestFormat {
			s.network.runner.DeliverSession(from, session, e.Format)
		}
		if session == nil {
			s.network.runner.Deliver(from, m)
		}
	}
}

func call[M any](handle func(uint64, M), from uint64, m M) {
	if handle != nil {
		handle(from, m)
	}
}
