package hotrestart

import (
	"bytes"
	"errors"

	"moorstack/internal/netio/eventloop"
)

var errMessageTooLong = errors.New("message is longer than 8 MiB")

// Link is one process's end of the connection between the two. It passes each received message to onMessage.
// It calls onClose once if the other process closes the connection, dies or sends a malformed message, after
// all messages that the other process had sent before: they may carry requests whose only owner is now this
// process.
type Link struct {
	conn      *eventloop.Conn
	partial   []byte // the beginning of a message that is not complete yet
	onMessage func(*Link, *Message)
	onClose   func(*Link, error)
}

var _ eventloop.Handler = (*Link)(nil)

// AcceptLink creates a link from a connection that a parent has accepted.
func AcceptLink(conn *eventloop.Conn, onMessage func(*Link, *Message), onClose func(*Link, error)) *Link {
	l := &Link{conn: conn, onMessage: onMessage, onClose: onClose}
	conn.Handler = l
	conn.ReadAfterWriteError = true
	return l
}

// ConnectLink creates a link from Inheritance.ConnFD. The link owns the descriptor unless an error is
// returned.
func ConnectLink(loop *eventloop.Loop, fd int, onMessage func(*Link, *Message),
	onClose func(*Link, error)) (*Link, error) {
	l := &Link{onMessage: onMessage, onClose: onClose}
	var err error
	if l.conn, err = loop.Adopt(fd, l); err == nil {
		l.conn.ReceiveFDs, l.conn.ReadAfterWriteError = true, true
	}
	return l, err
}

// Send sends a message.
func (l *Link) Send(m Message) { l.conn.Write(m.Append(nil)) }

// SendRequest sends an open request with its client's connection. It fails while earlier output is still
// buffered on the link.
func (l *Link) SendRequest(r MigratedRequest, clientFD int) error {
	m := Message{Type: TypeMigratedRequest, Request: &r}
	return l.conn.WriteFDs(m.Append(nil), clientFD)
}

// SendState sends the state with the listening socket. It fails while earlier output is still buffered on the
// link.
func (l *Link) SendState(s *State, listenerFD int) error {
	m := Message{Type: TypeState, Version: Version, State: s}
	return l.conn.WriteFDs(m.Append(nil), listenerFD)
}

// PopFD returns the descriptor that arrived with the current message. The caller owns it.
func (l *Link) PopFD() (fd int, ok bool) { return l.conn.PopFD() }

// Reject sends a rejection and closes the link.
func (l *Link) Reject(reason string) {
	l.Send(Message{Type: TypeRejected, Version: Version, Reason: reason})
	l.conn.CloseAfterFlush()
}

// Close closes the link without calling onClose.
func (l *Link) Close() { l.conn.Close() }

// OnConnect implements eventloop.Handler. It does nothing, because a link's connection is already
// established.
func (*Link) OnConnect(*eventloop.Conn) {}

// OnData implements eventloop.Handler. It assembles complete messages from the data that has arrived.
func (l *Link) OnData(c *eventloop.Conn) {
	// This exempts the link from eviction. ChildServesTimeout covers a process that
	// sends a hello and then nothing.
	c.BeginProcessing()
	l.partial = append(l.partial, c.Input()...)
	c.Discard(len(c.Input()))
	for !c.Closed() && !c.Finishing() {
		line, rest, complete := bytes.Cut(l.partial, []byte("\n"))
		if !complete {
			break
		}
		m, err := ParseMessage(line)
		l.partial = append([]byte(nil), rest...)
		if err != nil {
			l.fail(err)
			return
		}
		l.onMessage(l, m)
	}
	if len(l.partial) > maxMessageBytes {
		l.fail(errMessageTooLong)
	}
}

// OnClose implements eventloop.Handler. The other process has closed the link or died.
func (l *Link) OnClose(_ *eventloop.Conn, err error) { l.onClose(l, err) }

func (l *Link) fail(err error) {
	l.conn.Close()
	l.onClose(l, err)
}
