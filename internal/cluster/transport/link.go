package transport

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// Bounds on what waits for one peer.
const (
	maxQueued      = 512
	maxQueuedBytes = 8 << 20
)

const (
	snapshotTimeout = 30 * time.Second
	retryDelay      = 100 * time.Millisecond // after a message could not be sent
)

// outgoing is what waits for a peer: a Raft message or a session message.
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

// link is the connection to one address, with the queue of what is to be sent there. One goroutine, run,
// sends what is queued, until close.
type link struct {
	network *Network
	to      clusterstate.Member
	queue   chan outgoing
	bytes   atomic.Int64 // queued
	conn    *grpc.ClientConn
	stop    context.CancelFunc

	stream      peerStream // of the goroutine run; nil: none is open
	unreachable bool       // likewise: the last message could not be sent
}

type peerStream = grpc.ClientStreamingClient[schema.Envelope, schema.Delivered]

func newLink(n *Network, to clusterstate.Member, conn *grpc.ClientConn) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{network: n, to: to, queue: make(chan outgoing, maxQueued), conn: conn, stop: stop}
	go l.run(ctx)
	return l
}

func (l *link) close() {
	l.stop()
	l.conn.Close()
}

// enqueue queues a message, or drops it where the queue is full.
func (l *link) enqueue(o outgoing) {
	size := o.size()
	if l.bytes.Add(size) > maxQueuedBytes {
		l.drop(size)
		return
	}
	select {
	case l.queue <- o:
	default:
		l.drop(size)
	}
}

func (l *link) drop(size int64) {
	l.bytes.Add(-size)
	l.network.dropped.Add(1)
}

// run sends what is queued, in order, over one stream at a time.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-l.queue:
			l.bytes.Add(-o.size())
			if err := l.send(ctx, o); err != nil && !l.failed(ctx, o, err) {
				return
			}
		}
	}
}

func (l *link) send(ctx context.Context, o outgoing) (err error) {
	if l.stream == nil {
		if l.stream, err = schema.NewPeersClient(l.conn).Deliver(ctx); err != nil {
			return err
		}
	}
	e, err := l.network.envelope(o)
	if err != nil {
		return err
	}
	if err = l.stream.Send(e); errors.Is(err, io.EOF) {
		_, err = l.stream.CloseAndRecv() // why the other side has ended it
	}
	if err != nil {
		return err
	}
	l.network.sent.Add(1)
	if l.unreachable {
		l.unreachable = false
		l.network.log.WithField("instance", l.to.Name).Info("peer reachable")
	}
	return nil
}

// failed handles a message that could not be sent, and pauses. It is false once the link is closed.
func (l *link) failed(ctx context.Context, o outgoing, err error) bool {
	l.stream = nil
	l.network.dropped.Add(1)
	if ctx.Err() != nil {
		return false
	}
	if status.Code(err) == codes.PermissionDenied && status.Convert(err).Message() == removedMessage {
		l.network.runner.ReportRemoved()
	}
	l.network.runner.ReportUnreachable(o.to)
	if !l.unreachable {
		l.unreachable = true
		l.network.log.WithError(err).WithField("instance", l.to.Name).Warn("peer unreachable")
	}
	// Hazard: without a pause a peer that is down costs an attempt for each message.
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// sendSnapshot sends a large message by itself, so that heartbeats don't wait behind it.
func (l *link) sendSnapshot(m *pb.Message) {
	ctx, stop := context.WithTimeout(context.Background(), snapshotTimeout)
	defer stop()
	e, err := l.network.envelope(outgoing{message: m, to: m.GetTo()})
	if err == nil {
		_, err = schema.NewPeersClient(l.conn).Snapshot(ctx, e)
	}
	entry := l.network.log.WithFields(
		logrus.Fields{"instance": l.to.Name, "index": m.GetSnapshot().GetMetadata().GetIndex()},
	)
	if err != nil {
		entry.WithError(err).Warn("snapshot delivery failed")
	} else {
		entry.Info("snapshot delivered")
	}
	l.network.runner.ReportSnapshot(m.GetTo(), err == nil)
}
