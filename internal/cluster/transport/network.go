// Package transport carries messages between the instances of a group: gRPC under mutual TLS.
//
// A peer that is slow, silent or down costs the others nothing: each has a bounded queue of its own, and what
// doesn't fit is dropped and counted. Raft sends again.
package transport

import (
	"context"
	"errors"
	stdnet "net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// maxMessageBytes bounds a message in both directions: a snapshot is the largest.
const maxMessageBytes = 64 << 20

// Timing of connections to peers.
const (
	minConnectTimeout = 2 * time.Second
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.2
	keepaliveInterval = 10 * time.Second
	clientKeepalive   = 2 * time.Second // without a response to a ping, until a connection is closed
)

// Runner is the instance that messages are for and from: a consensus.Runner.
type Runner interface {
	Status() consensus.Status
	View(context.Context, func(*clusterstate.State)) error
	Deliver(from clusterstate.Member, m *pb.Message)
	DeliverSession(from clusterstate.Member, m *schema.SessionMessage, format uint32)
	ReportSnapshot(to uint64, ok bool)
	ReportUnreachable(id uint64)
	ReportRemoved()
	Join(ctx context.Context, cluster string) error
	Operate(ctx context.Context, op *schema.Operation, number uint64) error
}

// Network is this instance's side of the network between instances. Its methods may be called from any
// goroutine, but for AttachRunner and the Handle methods, which come before Serve.
type Network struct {
	keys    *keys.Reloader
	log     logrus.FieldLogger
	self    clusterstate.Member // its name and address; the number and the group come from the runner
	program string
	source  string // the address that it connects from; empty: any

	runner   Runner
	handlers handlers

	mu       sync.Mutex
	links    map[string]*link // by address
	closed   bool
	dropped  atomic.Uint64
	sent     atomic.Uint64
	rejected atomic.Uint64
}

// handlers take what is not the runner's. A nil one ignores its messages.
type handlers struct {
	rates      func(from uint64, m *schema.RateMessage)
	outliers   func(from uint64, m *schema.WitnessMessage)
	membership func(from uint64, m *schema.MembershipMessage)
	lists      func(context.Context, func(*schema.ListNews) error) error
	describe   func(*schema.Description)
}

var (
	_ consensus.Transport = (*Network)(nil)
	_ Runner              = (*consensus.Runner)(nil)
)

// New makes the network of an instance of that name, which others reach at the address. source is the address
// that it connects from; empty: any. program is the version that it gives in a Description.
func New(k *keys.Reloader, name, address, source, program string, log logrus.FieldLogger) *Network {
	return &Network{keys: k, log: log, self: clusterstate.Member{Name: name, Address: address},
		program: program, source: source, links: map[string]*link{}}
}

// AttachRunner sets whose messages the network carries. It must be called before Serve.
func (n *Network) AttachRunner(r Runner) { n.runner = r }

// HandleOutlierReports sets what takes the outlier reports of other instances. It must be called before
// Serve.
func (n *Network) HandleOutlierReports(handle func(from uint64, m *schema.WitnessMessage)) {
	n.handlers.outliers = handle
}

// HandleMembershipMessages sets what takes the membership gossip of other instances. It must be called before
// Serve.
func (n *Network) HandleMembershipMessages(handle func(from uint64, m *schema.MembershipMessage)) {
	n.handlers.membership = handle
}

// HandleRateMessages sets what takes the rate-limit messages of other instances. It must be called before
// Serve.
func (n *Network) HandleRateMessages(handle func(from uint64, m *schema.RateMessage)) {
	n.handlers.rates = handle
}

// HandleWatchEndpointLists sets what streams the endpoint lists of discovery to a caller, until its context
// ends or send fails. It must be called before Serve.
func (n *Network) HandleWatchEndpointLists(
	stream func(ctx context.Context, send func(*schema.ListNews) error) error,
) {
	n.handlers.lists = stream
}

// HandleDescribe sets what fills in a Description of this instance's fronts: where they are, which revision
// they run, and why they admit nothing. It must be called before Serve.
func (n *Network) HandleDescribe(fill func(*schema.Description)) { n.handlers.describe = fill }

// Counters are the messages that were sent, dropped and rejected, by the names of the metrics.
func (n *Network) Counters() map[string]uint64 {
	return map[string]uint64{"messages_sent": n.sent.Load(), "messages_dropped_outbound": n.dropped.Load(),
		"foreign_refused": n.rejected.Load()}
}

// Send queues a Raft message, or drops it. It never blocks.
func (n *Network) Send(to clusterstate.Member, m *pb.Message) {
	l, err := n.link(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	if m.GetType() == pb.MsgSnap {
		// Raft has one at a time under way to each. It ends by itself, with snapshotTimeout.
		go l.sendSnapshot(m)
		return
	}
	l.enqueue(outgoing{message: m, to: m.GetTo()})
}

// SendSession queues a session message, or drops it. It never blocks.
func (n *Network) SendSession(to clusterstate.Member, m *schema.SessionMessage) {
	l, err := n.link(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	l.enqueue(outgoing{session: m, to: to.ID})
}

// Describe requests another instance's Description, over the connection that is open: a rolling restart does
// so ten times a second.
func (n *Network) Describe(ctx context.Context, to clusterstate.Member) (*schema.Description, error) {
	l, err := n.link(to)
	if err != nil {
		return nil, err
	}
	return schema.NewPeersClient(l.conn).Describe(ctx, &schema.DescribeRequest{})
}

// WatchEndpointLists watches the endpoint lists that an instance has of discovery, and calls receive with
// each update until the context ends, the other side does, or receive returns an error.
func (n *Network) WatchEndpointLists(
	ctx context.Context, of clusterstate.Member, receive func(*schema.ListNews) error,
) error {
	conn, err := n.dial(of)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := schema.NewPeersClient(conn).Lists(ctx, &schema.ListsRequest{
		Cluster: n.runner.Status().Cluster})
	for err == nil {
		var update *schema.ListNews
		if update, err = stream.Recv(); err == nil {
			err = receive(update)
		}
	}
	return err
}

// Close ends all connections to peers, and with them the goroutines that send. It does not wait for those.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.links {
		l.close()
	}
}

func (n *Network) dial(to clusterstate.Member) (*grpc.ClientConn, error) {
	return grpc.NewClient(
		"passthrough:///"+to.Address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (stdnet.Conn, error) {
			d := stdnet.Dialer{}
			if n.source != "" {
				d.LocalAddr = &stdnet.TCPAddr{IP: stdnet.ParseIP(n.source)}
			}
			return d.DialContext(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(credentials.NewTLS(n.keys.ClientTLSConfig(to.Name))),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout,
			Backoff: backoff.Config{BaseDelay: minBackoff, Multiplier: backoffMultiplier,
				Jitter: backoffJitter, MaxDelay: maxBackoff}}),
		grpc.WithKeepaliveParams(
			keepalive.ClientParameters{Time: keepaliveInterval, Timeout: clientKeepalive},
		),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessageBytes),
			grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
}

// errClosed is why a closed network has no link.
var errClosed = errors.New("the network is closed")

// link gives the link to a member, which it makes where there is none.
func (n *Network) link(to clusterstate.Member) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errClosed
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
	l := newLink(n, to, conn)
	n.links[to.Address] = l
	return l, nil
}

// envelope wraps a message with who sends it and to whom.
func (n *Network) envelope(o outgoing) (*schema.Envelope, error) {
	st := n.runner.Status()
	e := &schema.Envelope{Cluster: st.Cluster, From: st.ID, To: o.to, Session: o.session,
		FromName: n.self.Name, FromAddress: n.self.Address, Format: clusterstate.LatestFormat}
	var err error
	if o.message != nil {
		e.Message, err = proto.Marshal(o.message)
	}
	return e, err
}
