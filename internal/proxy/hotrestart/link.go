package hotrestart

import (
	"bytes"
	"errors"

	"moorstack/internal/netio/eventloop"
)

var errMessageTooLong = errors.New("a message without end")

// Link is the connection of the two processes, on the loop of one. Messages are received through onMessage;
// onClose is called once if the other process closes it, dies or sends what is no message.
type Link struct {
	conn      *eventloop.Conn
	partial   []byte // the beginning of a message that has not come whole
	onMessage func(*Link, *Message)
	onClose   func(*Link, error)
}

var _ eventloop.Handler = (*Link)(nil)

// AcceptLink makes a link of a connection that a parent has accepted.
func AcceptLink(conn *eventloop.Conn, onMessage func(*Link, *Message), onClose func(*Link, error)) *Link {
	l := &Link{conn: conn, onMessage: onMessage, onClose: onClose}
	conn.Handler = l
	return l
}

// ConnectLink makes a link of the descriptor of Inheritance.ConnFD, which is the link's unless an error is
// returned.
func ConnectLink(loop *eventloop.Loop, fd int, onMessage func(*Link, *Message),
	onClose func(*Link, error)) (*Link, error) {
	l := &Link{onMessage: onMessage, onClose: onClose}
	var err error
	if l.conn, err = loop.Adopt(fd, l); err == nil {
		l.conn.ReceiveFDs = true
	}
	return l, err
}

// Send sends a message.
func (l *Link) Send(m Message) { l.conn.Write(m.Append(nil)) }

// SendRequest sends an open request with its client's connection. It fails if output waits on the link.
func (l *Link) SendRequest(r MigratedRequest, clientFD int) error {
	m := Message{Type: TypeMigratedRequest, Request: &r}
	return l.conn.WriteFDs(m.Append(nil), clientFD)
}

// SendState sends the state with the listening socket. It fails if output waits on the link.
func (l *Link) SendState(s *State, listenerFD int) error {
	m := Message{Type: TypeState, Version: Version, State: s}
	return l.conn.WriteFDs(m.Append(nil), listenerFD)
}

// PopFD returns the descriptor that came with the current message; the caller owns it.
func (l *Link) PopFD() (fd int, ok bool) { return l.conn.PopFD() }

// Reject sends a rejection and closes the link.
func (l *Link) Reject(reason string) {
	l.Send(Message{Type: TypeRejected, Version: Version, Reason: reason})
	l.conn.CloseAfterFlush()
}

// Close closes the link without a call of onClose.
func (l *Link) Close() { l.conn.Close() }

// OnConnect implements eventloop.Handler; the connection is up already.
func (*Link) OnConnect(*eventloop.Conn) {}

// OnData implements eventloop.Handler: it takes whole messages, in whatever pieces they come.
func (l *Link) OnData(c *eventloop.Conn) {
	// A process that says hello and then little is not evicted for it; ChildServesTimeout ends that.
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

// OnClose implements eventloop.Handler: the other process has closed the link, or died.
func (l *Link) OnClose(_ *eventloop.Conn, err error) { l.onClose(l, err) }

func (l *Link) fail(err error) {
	l.conn.Close()
	l.onClose(l, err)
}
