package faktory

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"moorstack/internal/netio/eventloop"
)

// conn is a connection of a producer or a worker. It splits the input into lines and writes replies.
type conn struct {
	front     *Front
	conn      *eventloop.Conn
	salt      string // salt of the password's hash; empty: no password is required
	helloDone bool
	session   *session // the worker's session; nil: a producer's connection

	fetching     bool            // a FETCH waits for a job
	fetchQueues  map[string]bool // queues of the last FETCH
	fetchTimer   *eventloop.Timer
	scannedBytes int // length of the input known to contain no line end

	processing bool   // a command is being handled, or waits for its turn
	queued     bool   // it waits for its turn
	batching   bool   // replies are collected, to be written together
	replies    []byte // collected replies
}

var _ eventloop.Handler = (*conn)(nil)

// accept handles a new connection and sends HI.
func (f *Front) accept(nc *eventloop.Conn) {
	c := &conn{front: f, conn: nc}
	nc.Handler = c
	hi := map[string]any{"v": protocolVersion}
	if f.cfg.Password != "" {
		c.salt = rand.Text()
		hi["s"], hi["i"] = c.salt, passwordHashRounds
	}
	text, _ := json.Marshal(hi) // can't fail for a map of plain values
	c.reply("+HI " + string(text) + "\r\n")
}

// maxBatchedBytes is the size of collected replies from which they are written.
const maxBatchedBytes = 32 << 10

func (c *conn) reply(text string) { c.write([]byte(text)) }

// write writes a part of a reply, or collects it while commands are handled: a system call for each reply
// would cost more than most commands.
func (c *conn) write(text []byte) {
	if !c.batching {
		c.conn.Write(text)
		return
	}
	if c.replies = append(c.replies, text...); len(c.replies) >= maxBatchedBytes {
		c.flush()
	}
}

// flush writes the collected replies.
func (c *conn) flush() {
	if len(c.replies) > 0 {
		c.conn.Write(c.replies)
		c.replies = c.replies[:0]
	}
}

// replyStatus replies with OK, or with the error if there is one.
func (c *conn) replyStatus(err error) {
	if err != nil {
		c.replyError(err)
		return
	}
	c.reply("+OK\r\n")
}

// replyBulk replies with a bulk string.
func (c *conn) replyBulk(text []byte) {
	c.write(append(append(fmt.Appendf(nil, "$%d\r\n", len(text)), text...), "\r\n"...))
}

// replyJSON replies with the value in JSON, as a bulk string.
func (c *conn) replyJSON(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		c.replyError(err)
		return
	}
	c.replyBulk(text)
}

// replyError replies with an error. Control characters become spaces, since a quoted line break would end the
// reply early.
func (c *conn) replyError(err error) {
	c.reply("-ERR " + strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, err.Error()) + "\r\n")
}

// closeWithError replies with an error and closes the connection.
func (c *conn) closeWithError(err error) {
	c.replyError(err)
	c.close()
}

func (c *conn) close() {
	c.flush()
	c.conn.CloseAfterFlush()
	c.OnClose(c.conn, nil)
}

// OnConnect implements eventloop.Handler. It is never called, since this front dials no connections.
func (c *conn) OnConnect(*eventloop.Conn) {}

// OnClose implements eventloop.Handler. Either side may have closed the connection.
func (c *conn) OnClose(*eventloop.Conn, error) {
	c.fetchTimer.Stop()
	if s := c.session; s != nil {
		c.session = nil
		s.removeConn(c)
	}
}

// resumeInput schedules the handling of input that came while a FETCH waited. It must not happen within this
// call.
func (c *conn) resumeInput() { c.front.loop.After(0, func() { c.OnData(c.conn) }) }

// OnData implements eventloop.Handler. The commands are handled in the connection's turn.
func (c *conn) OnData(*eventloop.Conn) { c.front.turns.serve(c) }

// handleCommands handles the commands in the input one at a time, at most maxCommandsPerTurn. It reports
// whether more of them may be left that can be handled now.
func (c *conn) handleCommands() (more bool) {
	c.batching = true
	defer func() {
		c.batching = false
		c.flush()
		c.replies = nil
	}()
	for range maxCommandsPerTurn {
		if c.fetching || c.conn.Closed() || c.conn.Finishing() {
			return false
		}
		line, ok := c.readLine()
		if !ok {
			c.endProcessing()
			return false
		}
		c.beginProcessing()
		c.handleCommand(line)
	}
	c.endProcessing()
	return len(c.conn.Input()) > 0
}

// beginProcessing keeps the connection from being closed for others while a command is handled or waits.
func (c *conn) beginProcessing() {
	c.processing = true
	c.conn.BeginProcessing()
}

// endProcessing lets a producer's connection be closed for others again. A worker's must never be: its jobs
// would be lost.
func (c *conn) endProcessing() {
	if c.processing && c.session == nil && !c.conn.Finishing() && !c.conn.Closed() {
		c.processing = false
		c.conn.EndProcessing()
	}
}

// readLine removes a line from the input and returns it. ok is false if there is no complete line yet, or if
// the line is too long, in which case the connection is closed.
func (c *conn) readLine() (line []byte, ok bool) {
	in, limit := c.conn.Input(), c.front.cfg.MaxLineBytes
	i := bytes.IndexByte(in[c.scannedBytes:], '\n')
	if i < 0 && len(in) <= limit {
		c.scannedBytes = len(in)
		return nil, false
	}
	if i < 0 || c.scannedBytes+i > limit {
		c.closeWithError(errors.New("the command is too long"))
		return nil, false
	}
	n := c.scannedBytes + i
	line = append([]byte(nil), bytes.TrimRight(in[:n], "\r")...)
	c.scannedBytes = 0
	c.conn.Discard(n + 1)
	return line, true
}
