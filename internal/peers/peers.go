// Package peers carries the agreement's messages between instances: gRPC under mutual TLS.
//
// A peer that is slow, silent or gone costs the others nothing: each has a queue of its
// own with a bound, and what doesn't fit is dropped and counted. Raft sends again.
package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdnet "net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/agreement"
	"moorstack/internal/consensus"
	"moorstack/internal/keys"
	"moorstack/internal/schema"
)

// Bounds on what waits for one peer, and on a message.
const (
	maxQueued      = 512
	maxQueuedBytes = 8 << 20
	MaxMessage     = 64 << 20 // a snapshot is the largest
)

// Network is this instance's side of the peers' network.
type Network struct {
	keys    *keys.Store
	log     logrus.FieldLogger
	self    agreement.Member // its name and address; the number and the group come from the runner
	program string
	from    string // the address that it calls from; empty: any

	runner *consensus.Runner
	// rates takes another instance's word on slices; nil: nobody does.
	rates func(from uint64, m *schema.RateMessage)
	words func(from uint64, m *schema.WitnessMessage)
	// lists tells discovery's list to a caller; nil: this instance keeps none.
	lists func(context.Context, func(*schema.ListNews) error) error

	mu      sync.Mutex
	links   map[string]*link // by address
	closed  bool
	dropped atomic.Uint64
	sent    atomic.Uint64
	foreign atomic.Uint64
}

// New makes the network of an instance of that name, which others reach at the address, and
// which calls them from another one, if that is not empty.
func New(k *keys.Store, name, address, from, program string, log logrus.FieldLogger) *Network {
	return &Network{keys: k, log: log, self: agreement.Member{Name: name, Address: address}, program: program,
		from:  from,
		links: map[string]*link{}}
}

// Attach says whose messages the network carries. It must be called before Serve.
func (n *Network) Attach(r *consensus.Runner) { n.runner = r }

// Counters are what was sent, dropped and refused.
func (n *Network) Counters() map[string]uint64 {
	return map[string]uint64{"messages_sent": n.sent.Load(), "messages_dropped_outbound": n.dropped.Load(),
		"foreign_refused": n.foreign.Load()}
}

// outgoing is what waits for a peer: a message of the agreement, or a word on sessions.
type outgoing struct {
	message *pb.Message
	session *schema.SessionMessage
	to      uint64
}

func (o outgoing) size() int64 {
	if o.message != nil {
		return int64(proto.Size(o.message))
	}
	return int64(proto.Size(o.session))
}

// link is the way to one address.
type link struct {
	n     *Network
	to    agreement.Member
	queue chan outgoing
	bytes atomic.Int64
	conn  *grpc.ClientConn
	stop  context.CancelFunc
}

var _ consensus.Transport = (*Network)(nil)

// Send queues a message, or drops it. It never waits.
func (n *Network) Send(to agreement.Member, m *pb.Message) {
	l, err := n.link(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	if m.GetType() == pb.MsgSnap {
		go l.snapshot(m) // Raft has one at a time under way to each
		return
	}
	l.put(outgoing{message: m, to: m.GetTo()})
}

// SendSession queues a word on sessions, or drops it. It never waits.
func (n *Network) SendSession(to agreement.Member, m *schema.SessionMessage) {
	l, err := n.link(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	l.put(outgoing{session: m, to: to.ID})
}

// TakeWords has this function take others' words on workers. It must be called before Serve.
func (n *Network) TakeWords(take func(from uint64, m *schema.WitnessMessage)) { n.words = take }

// TakeRates has this function take others' words on slices. It must be called before Serve.
func (n *Network) TakeRates(take func(from uint64, m *schema.RateMessage)) { n.rates = take }

func (l *link) put(o outgoing) {
	size := o.size()
	if l.bytes.Add(size) > maxQueuedBytes {
		l.bytes.Add(-size)
		l.n.dropped.Add(1)
		return
	}
	select {
	case l.queue <- o:
	default:
		l.bytes.Add(-size)
		l.n.dropped.Add(1)
	}
}

func (n *Network) dial(to agreement.Member) (*grpc.ClientConn, error) {
	return grpc.NewClient(
		"passthrough:///"+to.Address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (stdnet.Conn, error) {
			d := stdnet.Dialer{}
			if n.from != "" {
				d.LocalAddr = &stdnet.TCPAddr{IP: stdnet.ParseIP(n.from)}
			}
			return d.DialContext(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(credentials.NewTLS(n.keys.Client(to.Name))),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second,
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   time.Second,
			}}),
		grpc.WithKeepaliveParams(
			keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second},
		),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(MaxMessage), grpc.MaxCallRecvMsgSize(MaxMessage)),
	)
}

func (n *Network) link(to agreement.Member) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("the network is closed")
	}
	if l := n.links[to.Address]; l != nil && l.to.Name == to.Name {
		l.to.ID = to.ID
		return l, nil
	} else if l != nil {
		l.close()
	}
	conn, err := n.dial(to)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &link{n: n, to: to, queue: make(chan outgoing, maxQueued), conn: conn, stop: stop}
	n.links[to.Address] = l
	go l.run(ctx)
	return l, nil
}

func (l *link) close() {
	l.stop()
	l.conn.Close()
}

// Close ends all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.links {
		l.close()
	}
}

func (n *Network) envelope(o outgoing) (*schema.Envelope, error) {
	st := n.runner.Status()
	e := &schema.Envelope{
		Cluster:     st.Cluster,
		From:        st.ID,
		To:          o.to,
		Session:     o.session,
		FromName:    n.self.Name,
		FromAddress: n.self.Address,
		Format:      agreement.Format,
	}
	var err error
	if o.message != nil {
		e.Message, err = proto.Marshal(o.message)
	}
	return e, err
}

// run sends what is queued, in order, over one stream at a time.
func (l *link) run(ctx context.Context) {
	var stream grpc.ClientStreamingClient[schema.Envelope, schema.Delivered]
	down := false
	for {
		var m outgoing
		select {
		case <-ctx.Done():
			return
		case m = <-l.queue:
			l.bytes.Add(-m.size())
		}
		var err error
		if stream == nil {
			stream, err = schema.NewPeersClient(l.conn).Deliver(ctx)
		}
		var e *schema.Envelope
		if err == nil {
			e, err = l.n.envelope(m)
		}
		if err == nil {
			if err = stream.Send(e); errors.Is(err, io.EOF) {
				_, err = stream.CloseAndRecv() // why the other side has ended it
			}
		}
		if err == nil {
			if l.n.sent.Add(1); down {
				down = false
				l.n.log.WithField("peer", l.to.Name).Info("a peer is reached again")
			}
			continue
		}
		stream = nil
		l.n.dropped.Add(1)
		if ctx.Err() != nil {
			return
		}
		if status.Code(err) == codes.PermissionDenied && status.Convert(err).Message() == removed {
			l.n.runner.ToldRemoved()
		}
		l.n.runner.Unreachable(m.to)
		if !down {
			down = true
			l.n.log.WithError(err).WithField("peer", l.to.Name).Warn("a peer is not reached")
		}
		// Hazard: without a pause a peer that is gone costs a try for each message.
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// snapshot sends a large message by itself, so that heartbeats don't wait behind it.
func (l *link) snapshot(m *pb.Message) {
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	e, err := l.n.envelope(outgoing{message: m, to: m.GetTo()})
	if err == nil {
		_, err = schema.NewPeersClient(l.conn).Snapshot(ctx, e)
	}
	entry := l.n.log.WithFields(
		logrus.Fields{"peer": l.to.Name, "index": m.GetSnapshot().GetMetadata().GetIndex()},
	)
	if err != nil {
		entry.WithError(err).Warn("a snapshot was not delivered")
	} else {
		entry.Info("a snapshot was delivered")
	}
	l.n.runner.SnapshotSent(m.GetTo(), err == nil)
}

// Server gives the service, to be registered with a gRPC server made by Listener.
func (n *Network) Server() *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(n.keys.Server(keys.Instance))),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
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
		_ = n.runner.View(ctx, func(a *agreement.State) { gone = a.Removed(e.From) })
	}
	if gone {
		return refuse(codes.PermissionDenied, removed)
	}
	from := agreement.Member{ID: e.From, Name: e.FromName, Address: e.FromAddress}
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
	if e.Session != nil || st.Rollout.Format < agreement.Format {
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
	return &schema.Description{Id: st.ID, Name: st.Name, Cluster: st.Cluster, Program: s.n.program,
		Format: agreement.Format}, nil
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

// TellLists has callers be told discovery's list by this function, for as long as it lasts.
func (n *Network) TellLists(tell func(context.Context, func(*schema.ListNews) error) error) {
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

// Lists asks an instance for discovery's list, and hands on what it tells until the context ends, the
// other side does, or told returns an error.
func (n *Network) Lists(ctx context.Context, of agreement.Member, told func(*schema.ListNews) error) error {
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
	var refused *consensus.RefusedError
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
	case errors.Is(err, consensus.ErrUnknown) || errors.Is(err, context.DeadlineExceeded):
		return nil, status.Error(codes.DeadlineExceeded, consensus.ErrUnknown.Error())
	default:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
}

// invite has a new instance belong to this group and gives its number.
func (n *Network) invite(ctx context.Context, st consensus.Status, op *schema.Operation) (uint64, error) {
	if err := keys.CheckName(op.Name); err != nil {
		return 0, status.Error(codes.FailedPrecondition, err.Error())
	}
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	conn, err := n.dial(agreement.Member{Name: op.Name, Address: op.Address})
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
	}
	return ""
}
