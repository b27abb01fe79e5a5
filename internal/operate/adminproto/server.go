package adminproto

import (
	"bytes"
	"time"

	"moorstack/internal/netio/eventloop"
)

// maxConnections is the maximum number of simultaneous admin connections. It is separate from the limit for
// clients, so that neither can exhaust the other.
//
// At the limit the oldest silent connection is closed for a new one. Otherwise operators that connect and
// send nothing would lock out those with a command to send.
const maxConnections = 8

const (
	maxBufferBytes = maxConnections * 4096 // buffer bytes of all connections together
	commandTimeout = 6 * time.Second       // for receiving a complete command
)

// Listen listens on the admin address and passes the commands to the handler, on the loop.
func Listen(loop *eventloop.Loop, address string, h Handler) (*eventloop.Listener, error) {
	limits := eventloop.Limits{MaxConnections: maxConnections, MaxBufferBytes: maxBufferBytes,
		MessageTimeout: commandTimeout}
	return loop.Listen(address, limits, func(c *eventloop.Conn) { c.Handler = &session{handler: h} })
}

// session handles one connection to the admin address.
type session struct {
	handler Handler
	replied bool
}

var _ eventloop.Handler = (*session)(nil)

// OnConnect implements eventloop.Handler.
func (*session) OnConnect(*eventloop.Conn) {}

// OnClose implements eventloop.Handler.
func (*session) OnClose(*eventloop.Conn, error) {}

// OnData implements eventloop.Handler: it replies once the line is complete, even if it arrived in pieces,
// and closes the connection.
func (s *session) OnData(conn *eventloop.Conn) {
	if s.replied {
		return
	}
	line, _, complete := bytes.Cut(conn.Input(), []byte("\n"))
	var reply []byte
	switch {
	case len(line) > maxLineBytes: // without this limit, a line that never ends would be read forever
		reply = appendNAK(nil, errTooLong)
	case !complete:
		return
	default:
		reply = HandleLine(nil, bytes.TrimSuffix(line, []byte("\r")), s.handler)
	}
	s.replied = true
	conn.BeginProcessing()
	conn.Write(reply)
	conn.CloseAfterFlush()
}
