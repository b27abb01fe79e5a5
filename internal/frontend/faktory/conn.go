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

// conn is a producer's or a worker's connection: it cuts the input into lines and writes replies.
type conn struct {
	front     *Front
	conn      *eventloop.Conn
	salt      string // of the password's hash; empty where there is no password
	helloDone bool
	session   *session // nil: a producer's

	fetching     bool            // its FETCH waits for a job
	fetchQueues  map[string]bool // of its last FETCH
	fetchTimer   *eventloop.Timer
	scannedBytes int // of the input, known to hold no line's end
}

var _ eventloop.Handler = (*conn)(nil)

func (f *Front) accept(nc *eventloop.Conn) {
	c := &conn{front: f, conn: nc}
	nc.Handler = c
	hi := map[string]any{"v": protocolVersion}
	if f.cfg.Password != "" {
		c.salt = rand.Text()
		hi["s"], hi["i"] = c.salt, passwordHashRounds
	}
	text, _ := json.Marshal(hi) // of a map of plain values it can't fail
	c.reply("+HI " + string(text) + "\r\n")
}

func (c *conn) reply(text string) { c.conn.Write([]byte(text)) }

// replyStatus replies OK, or the error.
func (c *conn) replyStatus(err error) {
	if err != nil {
		c.replyError(err)
		return
	}
	c.reply("+OK\r\n")
}

func (c *conn) replyBulk(text []byte) {
	c.conn.Write(append(append(fmt.Appendf(nil, "$%d\r\n", len(text)), text...), "\r\n"...))
}

func (c *conn) replyJSON(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		c.replyError(err)
		return
	}
	c.replyBulk(text)
}

// replyError replies with an error. What it quotes must not break the line.
func (c *conn) replyError(err error) {
	c.reply("-ERR " + strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, err.Error()) + "\r\n")
}

// closeWithError ends a connection that can't go on.
func (c *conn) closeWithError(err error) {
	c.replyError(err)
	c.close()
}

func (c *conn) close() {
	c.conn.CloseAfterFlush()
	c.OnClose(c.conn, nil)
}

// OnConnect is never called: nothing is dialled.
func (c *conn) OnConnect(*eventloop.Conn) {}

// OnClose is the end of the connection, from whichever side.
func (c *conn) OnClose(*eventloop.Conn, error) {
	c.fetchTimer.Stop()
	if s := c.session; s != nil {
		c.session = nil
		s.removeConn(c)
	}
}

// resumeInput goes on with input that came while a FETCH waited, though not within this call.
func (c *conn) resumeInput() { c.front.loop.After(0, func() { c.OnData(c.conn) }) }

// OnData handles the commands one at a time.
func (c *conn) OnData(*eventloop.Conn) {
	for !c.fetching && !c.conn.Closed() && !c.conn.Finishing() {
		line, ok := c.readLine()
		if !ok {
			return
		}
		c.conn.BeginProcessing()
		c.handleCommand(line)
		// A worker's connection is never shed: its jobs would be lost.
		if c.session == nil && !c.conn.Finishing() {
			c.conn.EndProcessing()
		}
	}
}

// readLine takes a line out of the input; not ok: there is no whole one yet, or it is too long, which ends
// the connection.
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
