package faktory

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
)

const (
	// patience is how long a FETCH waits for a job, as the protocol says.
	patience = 2 * time.Second
	// version is the protocol's.
	version = 2
	// rounds is how often the password is hashed.
	rounds = 1545
)

// conn is a producer's or a worker's connection.
type conn struct {
	front    *Front
	conn     *eventloop.Conn
	salt     string
	greeted  bool
	session  *session // of a worker
	fetching bool     // its FETCH waits
	wants    map[string]bool
	timer    *eventloop.Timer
	scanned  int // input known to hold no line's end
}

var _ eventloop.Handler = (*conn)(nil)

func (f *Front) accept(nc *eventloop.Conn) {
	c := &conn{front: f, conn: nc}
	nc.Handler = c
	hi := map[string]any{"v": version}
	if f.cfg.Password != "" {
		c.salt = rand.Text()
		hi["s"], hi["i"] = c.salt, rounds
	}
	text, _ := json.Marshal(hi) // of a map of plain values it can't fail
	c.reply("+HI " + string(text) + "\r\n")
}

func (c *conn) reply(text string) { c.conn.Write([]byte(text)) }

func (c *conn) bulk(text []byte) {
	c.conn.Write(append(append(fmt.Appendf(nil, "$%d\r\n", len(text)), text...), "\r\n"...))
}

// fault is an error's answer. What it quotes must not break the line.
func (c *conn) fault(err error) {
	c.reply("-ERR " + strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, err.Error()) + "\r\n")
}

// hangUp ends a connection that can't go on.
func (c *conn) hangUp(why string) {
	c.fault(errors.New(why))
	c.close()
}

func (c *conn) close() {
	c.conn.CloseAfterFlush()
	c.OnClose(c.conn, nil)
}

// OnConnect is never told: nothing is dialled.
func (c *conn) OnConnect(*eventloop.Conn) {}

// OnClose is the end of the connection, from whichever side.
func (c *conn) OnClose(*eventloop.Conn, error) {
	c.timer.Stop()
	if s := c.session; s != nil {
		c.session = nil
		s.leave(c)
	}
}

// next goes on with input that came while a FETCH waited, though not within this call.
func (c *conn) next() { c.front.loop.After(0, func() { c.OnData(c.conn) }) }

// OnData takes the commands one at a time.
func (c *conn) OnData(*eventloop.Conn) {
	for !c.fetching && !c.conn.Closed() && !c.conn.Finishing() {
		in := c.conn.Input()
		i := bytes.IndexByte(in[c.scanned:], '\n')
		if i < 0 && len(in) <= c.front.cfg.LineBytes {
			c.scanned = len(in)
			return
		}
		if i < 0 || c.scanned+i > c.front.cfg.LineBytes {
			c.hangUp("the command is too long")
			return
		}
		n := c.scanned + i
		line := append([]byte(nil), bytes.TrimRight(in[:n], "\r")...)
		c.scanned = 0
		c.conn.Discard(n + 1)
		c.conn.BeginProcessing()
		c.command(line)
		// A worker's connection is never shed: its jobs would be lost.
		if c.session == nil && !c.conn.Finishing() {
			c.conn.EndProcessing()
		}
	}
}

func (c *conn) command(line []byte) {
	c.front.counts.commands++
	verb, rest, _ := bytes.Cut(line, []byte(" "))
	name, args := strings.ToUpper(string(verb)), bytes.TrimSpace(rest)
	if !c.greeted {
		if name != "HELLO" {
			c.hangUp("say HELLO first")
		} else if err := c.hello(args); err != nil {
			c.hangUp(err.Error())
		} else {
			c.greeted = true
			c.reply("+OK\r\n")
		}
		return
	}
	if c.session != nil {
		c.session.heard()
	}
	var err error
	switch name {
	case "PUSH":
		err = c.front.push(args)
	case "FETCH":
		if c.session == nil {
			err = errors.New("a worker must give a wid in HELLO")
			break
		}
		queues := strings.Fields(string(args))
		if len(queues) == 0 {
			queues = []string{"default"}
		}
		c.session.fetch(c, queues)
		return
	case "ACK", "FAIL":
		err = c.ended(name, args)
	case "BEAT":
		var state string
		if state, err = c.beat(args); err == nil && state != "" {
			c.bulk([]byte(`{"state":"` + state + `"}`))
			return
		}
	case "INFO":
		c.json(c.front.info())
		return
	case "TRACK":
		verb, jid, _ := strings.Cut(string(args), " ")
		if jid = strings.TrimSpace(jid); strings.ToUpper(verb) == "GET" && jid != "" {
			c.json(c.front.track(jid))
			return
		}
		err = errors.New("TRACK takes GET and a jid")
	case "END":
		c.reply("+OK\r\n")
		c.close()
		return
	default:
		err = fmt.Errorf("unknown command %.40q", name)
	}
	if err != nil {
		c.fault(err)
		return
	}
	c.reply("+OK\r\n")
}

func (c *conn) json(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		c.fault(err)
		return
	}
	c.bulk(text)
}

func (c *conn) hello(args []byte) error {
	var h struct {
		Version int      `json:"v"`
		WID     string   `json:"wid"`
		Hash    string   `json:"pwdhash"`
		Labels  []string `json:"labels"`
	}
	if err := json.Unmarshal(args, &h); err != nil {
		return errors.New("HELLO takes an object")
	}
	if h.Version != version {
		return fmt.Errorf("protocol version %d is not spoken, only %d", h.Version, version)
	}
	if p := c.front.cfg.Password; p != "" {
		want := Hash(p, c.salt, rounds)
		if subtle.ConstantTimeCompare([]byte(want), []byte(h.Hash)) != 1 {
			return errors.New("invalid password")
		}
	}
	if len(h.WID) > 200 {
		return errors.New("the wid is too long")
	}
	if h.WID != "" {
		c.session = c.front.join(c, h.WID, h.Labels)
	}
	return nil
}

// Hash is the protocol's hash of a password.
func Hash(password, salt string, rounds int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range rounds - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

func (c *conn) ended(name string, args []byte) error {
	var e struct {
		JID string `json:"jid"`
	}
	if json.Unmarshal(args, &e) != nil || e.JID == "" {
		return fmt.Errorf("%s takes an object with a jid", name)
	}
	if c.session == nil {
		return errors.New("a worker must give a wid in HELLO")
	}
	if name == "ACK" {
		c.session.end(e.JID, balancer.OK) // one that comes late is heard, and changes nothing
		return nil
	}
	if !c.session.end(e.JID, balancer.ServerError) {
		return fmt.Errorf("job not found %.60s", e.JID)
	}
	return nil
}

// beat takes a heartbeat, which may bear the worker's own notice, and gives ours.
func (c *conn) beat(args []byte) (state string, err error) {
	var b struct {
		WID   string `json:"wid"`
		State string `json:"current_state"`
	}
	if json.Unmarshal(args, &b) != nil {
		return "", errors.New("BEAT takes an object with a wid")
	}
	s := c.front.sessions[b.WID]
	if s == nil {
		return "", errors.New("the wid is not known")
	}
	s.heard()
	if b.State == "quiet" || b.State == "terminate" {
		s.drain()
	}
	return "", nil
}
