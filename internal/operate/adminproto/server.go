package adminproto

import (
	"bytes"
	"time"

	"moorstack/internal/netio/eventloop"
)

// Limits are what callers may take of the node's descriptors. They are no part of what
// clients may take, nor the other way round.
//
// Hazard: callers that connect and say nothing keep out those who have something to say.
// The oldest silent one gives way to a new one.
const (
	MaxConnections = 8
	held           = MaxConnections * 4096 // bytes of their buffers
	patience       = 6 * time.Second       // for a call to come whole
)

// Listen opens the second address for a node.
func Listen(loop *eventloop.Loop, address string, n Handler) (*eventloop.Listener, error) {
	limits := eventloop.Limits{MaxConnections: MaxConnections, MaxBufferBytes: held, MessageTimeout: patience}
	return loop.Listen(address, limits, func(c *eventloop.Conn) { c.Handler = &caller{node: n} })
}

// caller is a connection to the second address.
type caller struct {
	node Handler
	done bool
}

var _ eventloop.Handler = (*caller)(nil)

func (*caller) OnConnect(*eventloop.Conn)      {}
func (*caller) OnClose(*eventloop.Conn, error) {}

// OnData answers once the line has come whole, in however many pieces, and closes.
func (c *caller) OnData(conn *eventloop.Conn) {
	if c.done {
		return
	}
	line, _, whole := bytes.Cut(conn.Input(), []byte("\n"))
	var answer []byte
	switch {
	case len(line) > MaxLineBytes: // hazard: a line without end is read for ever
		answer = append(append([]byte("NAK "), errLong.Error()...), '\n')
	case !whole:
		return
	default:
		answer = HandleLine(nil, bytes.TrimSuffix(line, []byte("\r")), c.node)
	}
	c.done = true
	conn.BeginProcessing()
	conn.Write(answer)
	conn.CloseAfterFlush()
}
