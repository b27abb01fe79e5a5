package adminproto

import (
	"bytes"
	"time"

	"moorstack/internal/netio/eventloop"
)

// maxConnections is how many operators may be connected at once. Their connections are no part of what
// clients may have, nor the other way round.
//
// Hazard: operators that connect and send nothing would keep out those who have something to send. The oldest
// silent connection is closed for a new one.
const maxConnections = 8

const (
	maxBuffered    = maxConnections * 4096 // bytes of all connections
	commandTimeout = 6 * time.Second       // for a command to arrive complete
)

// Listen opens the second address, and has a handler carry out the commands, on the loop.
func Listen(loop *eventloop.Loop, address string, h Handler) (*eventloop.Listener, error) {
	limits := eventloop.Limits{MaxConnections: maxConnections, MaxBufferBytes: maxBuffered,
		MessageTimeout: commandTimeout}
	return loop.Listen(address, limits, func(c *eventloop.Conn) { c.Handler = &session{handler: h} })
}

// session is a connection to the second address.
type session struct {
	handler Handler
	replied bool
}

var _ eventloop.Handler = (*session)(nil)

// OnConnect implements eventloop.Handler.
func (*session) OnConnect(*eventloop.Conn) {}

// OnClose implements eventloop.Handler.
func (*session) OnClose(*eventloop.Conn, error) {}

// OnData implements eventloop.Handler: it replies once the line is complete, in however many pieces it came,
// and closes.
func (s *session) OnData(conn *eventloop.Conn) {
	if s.replied {
		return
	}
	line, _, complete := bytes.Cut(conn.Input(), []byte("\n"))
	var reply []byte
	switch {
	case len(line) > maxLineBytes: // Hazard: a line without an end would be read for ever.
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
