// Package transport carries messages between the instances of a group, over gRPC with mutual TLS.
//
// A slow, silent or failed peer does not delay messages to other peers: each peer has its own bounded queue.
// Messages that don't fit into the queue are dropped and counted, and Raft sends its messages again.
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

// maxMessageBytes bounds the size of sent and received messages. Snapshots are the largest.
const maxMessageBytes = 64 << 20

// Timing of outgoing connections.
const (
	minConnectTimeout      = 2 * time.Second
	minBackoff             = 100 * time.Millisecond
	maxBackoff             = time.Second
	backoffMultiplier      = 1.6
	backoffJitter          = 0.2
	keepaliveInterval      = 10 * time.Second
	clientKeepaliveTimeout = 2 * time.Second // closes a connection that leaves a ping unanswered
)

// Runner is the local instance whose messages the network carries. consensus.Runner implements it.
type Runner interface {
	Status() consensus.Status
	View(context.Context, func(*clusterstate.State)) error
	Deliver(from clusterstate.Member, m *pb.Message)
	DeliverSession(from clusterstate.Member, m *schema.SessionMessage, format uint32)
	ReportSnapshot(to uint64, ok bool)
	ReportUnreachable(id uint64)
	ReportRemoved()
	Join(ctx context.Context, cluster string) error
	Operate(ctx context.Context, op *schema.Operation, memberID uint64) error
}

// Network exchanges this instance's messages with its peers. Its methods may be called concurrently, except
// AttachRunner and the Handle methods, which must be called before the server starts.
type Network struct {
	keys           *keys.Reloader
	log            logrus.FieldLogger
	self           clusterstate.Member // name and address only; the ID and the group come from the runner
	programVersion string
	sourceAddress  string // local address of outgoing connections; empty: any

	runner   Runner
	handlers handlers

	mu       sync.Mutex
	links    map[string]*link // keyed by address
	closed   bool
	dropped  atomic.Uint64
	sent     atomic.Uint64
	rejected atomic.Uint64
}

// handlers handle the messages that are not for the runner. Messages without a handler are ignored.
type handlers struct {
	rates              func(from uint64, m *schema.RateMessage)
	outliers           func(from uint64, m *schema.WitnessMessage)
	membership         func(from uint64, m *schema.MembershipMessage)
	watchEndpointLists func(context.Context, func(*schema.ListNews) error) error
	describe           func(*schema.Description)
}

var (
	_ consensus.Transport = (*Network)(nil)
	_ Runner              = (*consensus.Runner)(nil)
)

// New returns the network of the instance with the given name, which peers reach at the given address.
// sourceAddress is the local address of outgoing connections; if it is empty, any is used. programVersion is
// reported in a Description.
func New(
	k *keys.Reloader, name, address, sourceAddress, programVersion string, log logrus.FieldLogger,
) *Network {
	return &Network{keys: k, log: log, self: clusterstate.Member{Name: name, Address: address},
		programVersion: programVersion, sourceAddress: sourceAddress, links: map[string]*link{}}
}

// AttachRunner sets the runner whose messages the network carries. It must be called before the server
// starts.
func (n *Network) AttachRunner(r Runner) { n.runner = r }

// HandleOutlierReports sets the handler of other instances' outlier reports. It must be called before the
// server starts.
func (n *Network) HandleOutlierReports(handle func(from uint64, m *schema.WitnessMessage)) {
	n.handlers.outliers = handle
}

// HandleMembershipMessages sets the handler of other instances' failure detector messages. It must be called
// before the server starts.
func (n *Network) HandleMembershipMessages(handle func(from uint64, m *schema.MembershipMessage)) {
	n.handlers.membership = handle
}

// HandleRateMessages sets the handler of other instances' rate-limit messages. It must be called before the
// server starts.
func (n *Network) HandleRateMessages(handle func(from uint64, m *schema.RateMessage)) {
	n.handlers.rates = handle
}

// HandleWatchEndpointLists sets the function that streams discovery's endpoint lists to a caller. It must
// return when the context ends or send fails. HandleWatchEndpointLists must be called before the server
// starts.
func (n *Network) HandleWatchEndpointLists(
	stream func(ctx context.Context, send func(*schema.ListNews) error) error,
) {
	n.handlers.watchEndpointLists = stream
}

// HandleDescribe sets the function that adds this instance's fronts to a Description: their addresses, the
// revision that they run, and why they admit no requests. It must be called before the server starts.
func (n *Network) HandleDescribe(fill func(*schema.Description)) { n.handlers.describe = fill }

// Counters returns the numbers of messages sent, dropped and rejected, keyed by metric name.
func (n *Network) Counters() map[string]uint64 {
	return map[string]uint64{"messages_sent": n.sent.Load(), "messages_dropped_outbound": n.dropped.Load(),
		"foreign_refused": n.rejected.Load()}
}

// Send queues a Raft message, or drops it if the queue is full or the network closed. It never blocks.
func (n *Network) Send(to clusterstate.Member, m *pb.Message) {
	l, err := n.linkTo(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	if m.GetType() == pb.MsgSnap {
		// Raft sends at most one snapshot at a time to each peer, and snapshotTimeout ends the goroutine.
		go l.sendSnapshot(m)
		return
	}
	l.enqueue(outgoing{message: m, to: m.GetTo()})
}

// SendSession queues a session message, or drops it like Send. It never blocks.
func (n *Network) SendSession(to clusterstate.Member, m *schema.SessionMessage) {
	l, err := n.linkTo(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	l.enqueue(outgoing{session: m, to: to.ID})
}

// Describe requests another instance's Description. It uses the existing connection, because a rolling
// restart calls it ten times a second.
func (n *Network) Describe(ctx context.Context, to clusterstate.Member) (*schema.Description, error) {
	l, err := n.linkTo(to)
	if err != nil {
		return nil, err
	}
	return schema.NewPeersClient(l.conn).Describe(ctx, &schema.DescribeRequest{})
}

// WatchEndpointLists streams the endpoint lists that another instance receives from discovery, and calls
// receive for each update. It returns when the context ends, the other instance ends the stream, or receive
// returns an error.
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

// Close closes all connections to peers, which ends the sending goroutines. It does not wait for them.
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
			if n.sourceAddress != "" {
				d.LocalAddr = &stdnet.TCPAddr{IP: stdnet.ParseIP(n.sourceAddress)}
			}
			return d.DialContext(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(credentials.NewTLS(n.keys.ClientTLSConfig(to.Name))),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout,
			Backoff: backoff.Config{BaseDelay: minBackoff, Multiplier: backoffMultiplier,
				Jitter: backoffJitter, MaxDelay: maxBackoff}}),
		grpc.WithKeepaliveParams(
			keepalive.ClientParameters{Time: keepaliveInterval, Timeout: clientKeepaliveTimeout},
		),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessageBytes),
			grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
}

// errClosed is returned for any use of a closed network.
var errClosed = errors.New("the network is closed")

// linkTo returns the link to a member, and creates it if there is none.
func (n *Network) linkTo(to clusterstate.Member) (*link, error) {
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

// newEnvelope wraps a message in an envelope with its sender, its recipient and the group.
func (n *Network) newEnvelope(o outgoing) (*schema.Envelope, error) {
	st := n.runner.Status()
	e := &schema.Envelope{Cluster: st.Cluster, From: st.ID, To: o.to, Session: o.session,
		FromName: n.self.Name, FromAddress: n.self.Address, Format: clusterstate.LatestFormat}
	var err error
	if o.message != nil {
		e.Message, err = proto.Marshal(o.message)
	}
	return e, err
}
