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

// Bounds on the queue of messages to one peer.
const (
	maxQueuedMessages = 512
	maxQueuedBytes    = 8 << 20
)

const (
	snapshotTimeout = 30 * time.Second
	retryDelay      = 100 * time.Millisecond // pause after a failed send
)

// outgoing is a queued message to a peer: either a Raft message or a session message.
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

// link is the connection to one peer address and the queue of messages to send there. A single goroutine,
// run, sends the queued messages until close is called.
type link struct {
	network *Network
	to      clusterstate.Member
	queue   chan outgoing
	bytes   atomic.Int64 // total size of the queued messages
	conn    *grpc.ClientConn
	cancel  context.CancelFunc

	stream      peerStream // used only by run; nil if no stream is open
	unreachable bool       // used only by run; whether the last send failed
}

type peerStream = grpc.ClientStreamingClient[schema.Envelope, schema.Delivered]

func newLink(network *Network, to clusterstate.Member, conn *grpc.ClientConn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{network: network, to: to, queue: make(chan outgoing, maxQueuedMessages), conn: conn,
		cancel: cancel}
	go l.run(ctx)
	return l
}

func (l *link) close() {
	l.cancel()
	l.conn.Close()
}

// enqueue queues a message, or drops it if the queue is full.
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

// run sends the queued messages in order over a single stream, which it reopens after an error.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-l.queue:
			l.bytes.Add(-o.size())
			if err := l.send(ctx, o); err != nil && !l.handleSendError(ctx, o, err) {
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
	e, err := l.network.newEnvelope(o)
	if err != nil {
		return err
	}
	if err = l.stream.Send(e); errors.Is(err, io.EOF) {
		_, err = l.stream.CloseAndRecv() // returns the status with which the peer ended the stream
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

// handleSendError counts a message that could not be sent as dropped, reports the peer as unreachable and
// waits for retryDelay. It returns false if the link is closed.
func (l *link) handleSendError(ctx context.Context, o outgoing, err error) bool {
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
	// Without this pause, every message to a peer that is down would cause a connection attempt.
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// sendSnapshot sends a snapshot in a separate call, so that heartbeats don't wait behind it.
func (l *link) sendSnapshot(m *pb.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	e, err := l.network.newEnvelope(outgoing{message: m, to: m.GetTo()})
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
