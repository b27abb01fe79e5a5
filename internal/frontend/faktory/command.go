package faktory

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"moorstack/balancer"
)

const (
	// protocolVersion is the protocol version in HI and HELLO.
	protocolVersion = 2
	// maxWIDBytes is the maximum length of a worker's id.
	maxWIDBytes = 200
)

var (
	errHelloFirst = errors.New("say HELLO first")
	errNoSession  = errors.New("a worker must give a wid in HELLO")
)

// handleCommand handles a command line, which is a verb followed by its arguments.
func (c *conn) handleCommand(line []byte) {
	c.front.counts.commands++
	verb, rest, _ := bytes.Cut(line, []byte(" "))
	name, args := strings.ToUpper(string(verb)), bytes.TrimSpace(rest)
	if !c.helloDone {
		c.handleFirst(name, args)
		return
	}
	if c.session != nil {
		c.session.resetSilenceTimer()
	}
	switch name {
	case "PUSH":
		c.replyStatus(c.front.push(args))
	case "FETCH":
		c.handleFetch(args)
	case "ACK":
		c.replyStatus(c.acknowledge(args))
	case "FAIL":
		c.replyStatus(c.fail(args))
	case "BEAT":
		c.replyStatus(c.heartbeat(args))
	case "INFO":
		c.replyJSON(c.front.info())
	case "TRACK":
		c.handleTrack(args)
	case "END":
		c.reply("+OK\r\n")
		c.close()
	default:
		c.replyError(fmt.Errorf("unknown command %.40q", name))
	}
}

// handleFirst handles the first command of a connection. It must be HELLO; an error closes the connection.
func (c *conn) handleFirst(name string, args []byte) {
	err := errHelloFirst
	if name == "HELLO" {
		err = c.hello(args)
	}
	if err != nil {
		c.closeWithError(err)
		return
	}
	c.helloDone = true
	c.reply("+OK\r\n")
}

// hello checks the protocol version and the password. With a wid the connection is a worker's and joins the
// session of that wid.
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
	if h.Version != protocolVersion {
		return fmt.Errorf("protocol version %d is not spoken, only %d", h.Version, protocolVersion)
	}
	if p := c.front.cfg.Password; p != "" {
		want := HashPassword(p, c.salt, passwordHashRounds)
		if subtle.ConstantTimeCompare([]byte(want), []byte(h.Hash)) != 1 {
			return errors.New("invalid password")
		}
	}
	if len(h.WID) > maxWIDBytes {
		return errors.New("the wid is too long")
	}
	if h.WID != "" {
		c.session = c.front.joinSession(c, h.WID, h.Labels)
	}
	return nil
}

// handleFetch delivers a job from the given queues to the worker, or has the FETCH wait for one.
func (c *conn) handleFetch(args []byte) {
	if c.session == nil {
		c.replyError(errNoSession)
		return
	}
	queues := strings.Fields(string(args))
	if len(queues) == 0 {
		queues = []string{defaultQueue}
	}
	c.session.fetchOrWait(c, queues)
}

// jobID returns the job id in the arguments of ACK or FAIL, which only a worker may send.
func (c *conn) jobID(name string, args []byte) (string, error) {
	var e struct {
		JID string `json:"jid"`
	}
	if json.Unmarshal(args, &e) != nil || e.JID == "" {
		return "", fmt.Errorf("%s takes an object with a jid", name)
	}
	if c.session == nil {
		return "", errNoSession
	}
	return e.JID, nil
}

// acknowledge handles ACK: the worker has done the job. A late ACK gets OK and changes nothing.
func (c *conn) acknowledge(args []byte) error {
	jid, err := c.jobID("ACK", args)
	if err == nil {
		c.session.endReservation(jid, balancer.OK)
	}
	return err
}

// fail handles FAIL: the worker could not do the job.
func (c *conn) fail(args []byte) error {
	jid, err := c.jobID("FAIL", args)
	if err == nil && !c.session.endReservation(jid, balancer.ServerError) {
		err = fmt.Errorf("job not found %.60s", jid)
	}
	return err
}

// heartbeat handles BEAT, which keeps a worker's session alive and may report that the worker drains. The
// reply never requests a change of the worker's state.
func (c *conn) heartbeat(args []byte) error {
	var b struct {
		WID   string `json:"wid"`
		State string `json:"current_state"`
	}
	if json.Unmarshal(args, &b) != nil {
		return errors.New("BEAT takes an object with a wid")
	}
	s := c.front.sessions[b.WID]
	if s == nil {
		return errors.New("the wid is not known")
	}
	s.resetSilenceTimer()
	if b.State == "quiet" || b.State == "terminate" {
		s.drain()
	}
	return nil
}

// handleTrack handles TRACK GET, which requests the state of a job.
func (c *conn) handleTrack(args []byte) {
	verb, jid, _ := strings.Cut(string(args), " ")
	if jid = strings.TrimSpace(jid); strings.ToUpper(verb) != "GET" || jid == "" {
		c.replyError(errors.New("TRACK takes GET and a jid"))
		return
	}
	c.replyJSON(c.front.track(jid))
}
