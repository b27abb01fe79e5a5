package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

// fakeRunner records the messages delivered to it.
type fakeRunner struct {
	status       consensus.Status
	operateError error
	joined       []string
	got          []string
}

func (r *fakeRunner) Status() consensus.Status                                 { return r.status }
func (r *fakeRunner) View(context.Context, func(*clusterstate.State)) error    { return nil }
func (r *fakeRunner) ReportSnapshot(uint64, bool)                              {}
func (r *fakeRunner) ReportUnreachable(uint64)                                 {}
func (r *fakeRunner) ReportRemoved()                                           {}
func (r *fakeRunner) Operate(context.Context, *schema.Operation, uint64) error { return r.operateError }
func (r *fakeRunner) Deliver(from clusterstate.Member, m *pb.Message)          { r.record("raft", from.ID) }
func (r *fakeRunner) DeliverSession(from clusterstate.Member, m *schema.SessionMessage, format uint32) {
	if m == nil {
		r.record("format", format)
	} else {
		r.record("session", from.ID)
	}
}

func (r *fakeRunner) Join(_ context.Context, cluster string) error {
	r.joined = append(r.joined, cluster)
	return nil
}

func (r *fakeRunner) record(kind string, value any) {
	r.got = append(r.got, fmt.Sprint(kind, " ", value))
}

// newServer returns the server of instance n1 and its runner, which also records the calls of all handlers.
func newServer(st consensus.Status) (*server, *fakeRunner) {
	r := &fakeRunner{status: st}
	n := newNetwork()
	n.AttachRunner(r)
	n.HandleRateMessages(func(from uint64, _ *schema.RateMessage) { r.record("rate", from) })
	n.HandleOutlierReports(func(from uint64, _ *schema.WitnessMessage) { r.record("outlier", from) })
	n.HandleMembershipMessages(func(from uint64, _ *schema.MembershipMessage) {
		r.record("membership", from)
	})
	return &server{network: n}, r
}

// callContext returns the context of a call by a peer with a certificate for the given name.
func callContext(t *testing.T, name string) context.Context {
	t.Helper()
	certificate := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
	return peer.NewContext(t.Context(), &peer.Peer{AuthInfo: credentials.TLSInfo{
		State: tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}}})
}

func raftMessage(t *testing.T, from, to uint64) []byte {
	t.Helper()
	b, err := proto.Marshal(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: &from, To: &to})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestMessagesGoToTheirHandlers(t *testing.T) {
	for name, c := range map[string]struct {
		session *schema.SessionMessage
		format  int // format of the group's log
		want    []string
	}{
		"raft":                     {nil, clusterstate.LatestFormat, []string{"raft 2"}},
		"raft, before the upgrade": {nil, 1, []string{"format 6", "raft 2"}},
		"session": {&schema.SessionMessage{}, clusterstate.LatestFormat,
			[]string{"session 2"}},
		"rate": {&schema.SessionMessage{Rate: &schema.RateMessage{}}, clusterstate.LatestFormat,
			[]string{"rate 2"}},
		"outlier": {&schema.SessionMessage{Witness: &schema.WitnessMessage{}}, clusterstate.LatestFormat,
			[]string{"outlier 2"}},
		"membership": {&schema.SessionMessage{Membership: &schema.MembershipMessage{}},
			clusterstate.LatestFormat, []string{"membership 2"}},
	} {
		st := groupStatus()
		st.Rollout.Format = c.format
		s, r := newServer(st)
		e := &schema.Envelope{Cluster: "g", From: 2, FromName: "n2", To: 1, Session: c.session, Format: 6}
		if c.session == nil {
			e.Message = raftMessage(t, 2, 1)
		}
		if err := s.receive(callContext(t, "n2"), e); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !slices.Equal(r.got, c.want) {
			t.Errorf("%s: delivered %v, want %v", name, r.got, c.want)
		}
	}
}

func TestMessageThatContradictsItsEnvelopeIsRejected(t *testing.T) {
	for name, message := range map[string][]byte{
		"unreadable":         {0xff},
		"of another sender":  raftMessage(t, 3, 1),
		"for another member": raftMessage(t, 2, 3),
	} {
		s, r := newServer(groupStatus())
		err := s.receive(callContext(t, "n2"),
			&schema.Envelope{Cluster: "g", From: 2, FromName: "n2", To: 1, Message: message})
		if status.Code(err) != codes.InvalidArgument || len(r.got) > 0 {
			t.Errorf("%s: error %v, want InvalidArgument; delivered %v, want nothing", name, err, r.got)
		}
		if rejected := s.network.Counters()["foreign_refused"]; rejected != 1 {
			t.Errorf("%s: foreign_refused is %d, want 1", name, rejected)
		}
	}
}

func TestInvitationIsForItsInstanceOnly(t *testing.T) {
	s, r := newServer(consensus.Status{ID: 1, Name: "n1"})
	if _, err := s.Invite(t.Context(), &schema.Invitation{Cluster: "g", Name: "n9"}); err == nil {
		t.Error("n1 accepted an invitation addressed to n9")
	}
	d, err := s.Invite(t.Context(), &schema.Invitation{Cluster: "g", Name: "n1"})
	if err != nil || d.Id != 1 || d.Name != "n1" || d.Program != "test" {
		t.Errorf("description %v, error %v; want ID 1, name n1, program test and no error", d, err)
	}
	if !slices.Equal(r.joined, []string{"g"}) {
		t.Errorf("joined groups %v, want [g]", r.joined)
	}
}

func TestOperateGivesStatuses(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want codes.Code
	}{
		"done":            {nil, codes.OK},
		"rejected":        {&consensus.RejectedError{Reason: "no"}, codes.FailedPrecondition},
		"unknown outcome": {consensus.ErrOutcomeUnknown, codes.DeadlineExceeded},
		"timed out":       {fmt.Errorf("waiting: %w", context.DeadlineExceeded), codes.DeadlineExceeded},
		"no leader":       {consensus.ErrNoLeader, codes.Unavailable},
		"another error":   {errors.New("x"), codes.Unavailable},
		// The server must not forward an operation that was already forwarded to it.
		"not the leader": {&consensus.NotLeaderError{Leader: clusterstate.Member{Name: "n2",
			Address: "127.0.0.1:2"}}, codes.Unavailable},
	} {
		s, r := newServer(groupStatus())
		r.operateError = c.err
		op := &schema.Operation{Kind: schema.Operation_REMOVE, Name: "n2"}
		if _, err := s.Operate(t.Context(), op); status.Code(err) != c.want {
			t.Errorf("%s: error %v, want status %v", name, err, c.want)
		}
	}
}
