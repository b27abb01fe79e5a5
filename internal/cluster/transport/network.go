// Package peers carries the agreement's messages between instances: gRPC under mutual TLS.
//
// A peer that is slow, silent or gone costs the others nothing: each has a queue of its
// own with a bound, and what doesn't fit is dropped and counted. Raft sends again.
package transport

import (
	"context"
	"errors"
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
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// Bounds on what waits for one peer, and on a message.
const (
	maxQueued       = 512
	maxQueuedBytes  = 8 << 20
	MaxMessageBytes = 64 << 20 // a snapshot is the largest
)

// Network is this instance's side of the peers' network.
type Network struct {
	keys    *keys.Reloader
	log     logrus.FieldLogger
	self    clusterstate.Member // its name and address; the number and the group come from the runner
	program string
	from    string // the address that it calls from; empty: any

	runner *consensus.Runner
	// rates takes another instance's word on slices; nil: nobody does.
	rates func(from uint64, m *schema.RateMessage)
	words func(from uint64, m *schema.WitnessMessage)
	// probes takes another instance's word on who is there; nil: nobody does.
	probes func(from uint64, m *schema.MembershipMessage)
	// lists tells discovery's list to a caller; nil: this instance keeps none.
	lists func(context.Context, func(*schema.ListNews) error) error

	// fronts says of this instance's own fronts where they are, which revision they run, and why they
	// admit nothing.
	fronts func(*schema.Description)

	mu      sync.Mutex
	links   map[string]*link // by address
	closed  bool
	dropped atomic.Uint64
	sent    atomic.Uint64
	foreign atomic.Uint64
}

// New makes the network of an instance of that name, which others reach at the address, and
// which calls them from another one, if that is not empty.
func New(k *keys.Reloader, name, address, from, program string, log logrus.FieldLogger) *Network {
	return &Network{
		keys:    k,
		log:     log,
		self:    clusterstate.Member{Name: name, Address: address},
		program: program,
		from:    from,
		links:   map[string]*link{},
	}
}

// AttachRunner says whose messages the network carries. It must be called before Serve.
func (n *Network) AttachRunner(r *consensus.Runner) { n.runner = r }

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
	to    clusterstate.Member
	queue chan outgoing
	bytes atomic.Int64
	conn  *grpc.ClientConn
	stop  context.CancelFunc
}

var _ consensus.Transport = (*Network)(nil)

// Send queues a message, or drops it. It never waits.
func (n *Network) Send(to clusterstate.Member, m *pb.Message) {
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
func (n *Network) SendSession(to clusterstate.Member, m *schema.SessionMessage) {
	l, err := n.link(to)
	if err != nil {
		n.dropped.Add(1)
		return
	}
	l.put(outgoing{session: m, to: to.ID})
}

// HandleOutlierReports has this function take others' words on workers. It must be called before Serve.
func (n *Network) HandleOutlierReports(take func(from uint64, m *schema.WitnessMessage)) {
	n.words = take
}

// HandleMembershipMessages has this function take others' words on who is there. It must be called before
// Serve.
func (n *Network) HandleMembershipMessages(take func(from uint64, m *schema.MembershipMessage)) {
	n.probes = take
}

// HandleRateMessages has this function take others' words on slices. It must be called before Serve.
func (n *Network) HandleRateMessages(take func(from uint64, m *schema.RateMessage)) { n.rates = take }

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

func (n *Network) dial(to clusterstate.Member) (*grpc.ClientConn, error) {
	return grpc.NewClient(
		"passthrough:///"+to.Address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (stdnet.Conn, error) {
			d := stdnet.Dialer{}
			if n.from != "" {
				d.LocalAddr = &stdnet.TCPAddr{IP: stdnet.ParseIP(n.from)}
			}
			return d.DialContext(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(credentials.NewTLS(n.keys.ClientTLSConfig(to.Name))),
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
		grpc.WithDefaultCallOptions(
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
		),
	)
}

func (n *Network) link(to clusterstate.Member) (*link, error) {
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
		Format:      clusterstate.LatestFormat,
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
			l.n.runner.ReportRemoved()
		}
		l.n.runner.ReportUnreachable(m.to)
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
	l.n.runner.ReportSnapshot(m.GetTo(), err == nil)
}
