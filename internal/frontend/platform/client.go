package platform

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
)

const (
	healthPath   = "/_health"
	callBackPath = "/v1/job-events"
)

var errNotFound = errors.New("there is nothing here")

// client is an accepted connection: of a client, or of a worker that calls back.
type client struct {
	front  *Front
	conn   *eventloop.Conn
	parser http1.Parser

	requestID      string // of the request that awaits its response
	class          int    // its class's number; -1: it has none
	rule           string // the routing rule that decided, if one did
	awaitsResponse bool
	adoption       *adoption     // set if the request was migrated from the other process
	deadline       time.Duration // of a migrated request

	callBackForwarded  bool // its call-back is with the other process, which has not answered yet
	closeAfterResponse bool
	continueSent       bool // a 100 response has been sent for the request being read
	isWorker           bool // it has called back

	openedAt    time.Duration
	sentMessage bool // a complete message has come on it
}

var _ eventloop.Handler = (*client)(nil)
var _ broker.Client = (*client)(nil)
var _ broker.DisconnectChecker = (*client)(nil)

// OnConnect implements eventloop.Handler; an accepted connection is up already.
func (c *client) OnConnect(*eventloop.Conn) {}

// mayRead reports whether the next request may be read: a pipelined one waits for the response to the one
// before it.
func (c *client) mayRead() bool {
	return !c.awaitsResponse && !c.callBackForwarded && !c.closeAfterResponse && !c.conn.Closed() &&
		len(c.conn.Input()) > 0
}

// OnData reads requests one at a time.
func (c *client) OnData(*eventloop.Conn) {
	for c.mayRead() {
		complete, err := c.parser.Feed(c.conn.Input())
		if err == nil && !complete && c.conn.InputFull() {
			// Hazard: a body in chunks of a byte is mostly framing, and would wait here unread.
			err = &http1.ProtocolError{Status: 413, Reason: "the framing of the body is too large"}
		}
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if !complete {
			c.sendContinue()
			return
		}
		c.conn.BeginProcessing()
		c.sentMessage = true
		c.closeAfterResponse = c.parser.Close
		m, body := c.parser.Message, append([]byte(nil), c.parser.Body(c.conn.Input())...)
		c.conn.Discard(c.parser.MessageSize())
		c.parser.Reset()
		c.continueSent = false
		c.handle(&m, body)
	}
}

// sendContinue has the sender of an incomplete request send its body, if it waits for a 100 response.
func (c *client) sendContinue() {
	if c.parser.HeadComplete() && c.parser.ExpectsContinue && !c.continueSent {
		c.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectMalformed ends a connection whose input can't be parsed on.
func (c *client) rejectMalformed(err error) {
	status := 400
	if bad := (*http1.ProtocolError)(nil); errors.As(err, &bad) {
		status = bad.Status
	}
	c.rejectInvalid(status, err)
}

// rejectInvalid responds to what is no valid request, and ends the connection.
//
// Hazard: the sender of such a request repeats it at once, or stays and holds a descriptor.
func (c *client) rejectInvalid(status int, err error) {
	c.closeAfterResponse = true
	c.respond(status, "", []byte(err.Error()+"\n"))
}

// respond writes a response. Fields are whole field lines with their line ends.
func (c *client) respond(status int, fields string, body []byte) {
	c.conn.Write(http1.AppendResponse(nil, status, c.closeAfterResponse, fields, body))
	if c.closeAfterResponse {
		c.conn.CloseAfterFlush()
		c.forget()
		return
	}
	c.conn.EndProcessing()
}

func (c *client) handle(m *http1.Message, body []byte) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case m.Method == "POST" && path == callBackPath:
		c.handleCallBack(body)
	case m.Method == "GET" && path == healthPath:
		c.handleHealthCheck()
	case m.Method == "POST":
		c.submit(m, body)
	default:
		c.rejectInvalid(404, errNotFound)
	}
}

func (c *client) handleCallBack(body []byte) {
	c.isWorker = true
	switch {
	case c.front.handleCallBack(body):
		c.respond(204, "", nil)
	case c.front.forwardCallBack(c, body):
	case c.front.loop.Now() < c.front.unknownPeerUntil:
		// Hazard: the process that shares the address, and with which this one has no link, waits for it.
		// A worker that calls again may reach that one.
		c.respond(503, "", nil)
	default:
		// Whatever it names, it was received: any other status would have the worker repeat it.
		c.respond(204, "", nil)
	}
}

func (c *client) handleHealthCheck() {
	// Health is checked seldom, and on connections of its own.
	c.closeAfterResponse = c.closeAfterResponse || !c.conn.HasPendingInput()
	if c.front.Ready() != nil {
		c.respond(503, "Retry-After: 1\r\n", nil)
	} else {
		c.respond(200, "", nil)
	}
}

// submit passes a client's request to the broker, or rejects it.
func (c *client) submit(m *http1.Message, body []byte) {
	r, decision, err := c.front.parseRequest(m, body)
	// Hazard: a pipelined request has waited here for the response to the one before it.
	r.Timeout -= c.front.loop.Now() - c.conn.LastActivity()
	c.rule = ""
	if decision.Rule != nil {
		c.rule = decision.Rule.Name
	}
	c.class = r.Class
	if err == nil && decision.RejectReason != "" {
		c.front.classCounters(c.class).Declined++
		c.closeIfDraining()
		c.respondRejected(decision.RetryAfter, decision.RejectReason)
		return
	}
	if err == nil && c.front.openElsewhere(r.ID) {
		err = broker.ErrDuplicateID
	}
	if err == nil {
		c.requestID, c.awaitsResponse = r.ID, true
		if err = c.front.broker.Submit(r, c); err == nil {
			return
		}
		c.awaitsResponse = false
	}
	status := 400
	if errors.Is(err, broker.ErrDuplicateID) {
		status = 409
	}
	c.rejectInvalid(status, err)
}

// Respond implements broker.Client: it writes the request's final response.
func (c *client) Respond(r broker.Response) {
	c.awaitsResponse = false
	c.closeIfDraining()
	switch counters := c.front.classCounters(c.class); r.Kind {
	case broker.Served:
		counters.Succeeded++
		c.respond(200, "", r.Body)
	case broker.Rejected:
		counters.Declined++
		reason := r.Reason
		if c.rule != "" && reason == "" {
			reason = "no worker of rule " + c.rule
		}
		c.respondRejected(r.RetryAfter, reason)
	default:
		counters.Aborted++
		c.respond(502, "", nil)
	}
	// The next request may be in the buffer. It must not begin within this call of the broker.
	c.front.loop.After(0, func() {
		if c.front.drain.State() == drain.ClosingConnections {
			c.closeIfIdle()
		}
		c.OnData(c.conn)
	})
}

// respondRejected writes a rejection: when to retry, and the reason where one is given.
func (c *client) respondRejected(retryAfter time.Duration, reason string) {
	fields := ""
	if retryAfter > 0 {
		fields = fmt.Sprintf("Retry-After: %.3f\r\n", retryAfter.Seconds())
	}
	if reason != "" {
		fields += "X-Refusal: " + reason + "\r\n"
	}
	c.respond(503, fields, nil)
}

// closeIfDraining has the connection close after the response that is written next, if connections are being
// closed.
//
// Hazard: a pipelined request has been read, and would be closed without a response.
func (c *client) closeIfDraining() {
	c.closeAfterResponse = c.closeAfterResponse ||
		c.front.drain.State() == drain.ClosingConnections && !c.conn.HasPendingInput()
}

// closeIfIdle closes a client's connection that is between two requests.
//
// Hazard: a request that has come and was not read is in the kernel's buffer, and would be lost.
func (c *client) closeIfIdle() {
	if !c.sentMessage && c.front.loop.Now() < c.openedAt+drain.HealthCheckGrace {
		return // its first request is on its way
	}
	inUse := c.awaitsResponse || c.callBackForwarded || c.isWorker || c.conn.UnsentBytes() > 0 ||
		c.conn.Closed() || c.conn.HasPendingInput()
	if !inUse {
		c.conn.CloseAfterFlush()
		c.forget()
	}
}

// OnClose implements eventloop.Handler: the client has disconnected, perhaps before its response.
func (c *client) OnClose(*eventloop.Conn, error) {
	if c.forget(); c.awaitsResponse {
		c.awaitsResponse = false
		c.front.counters.ClientDisconnects++
		if c.adoption != nil {
			c.front.abandonAdopted(c)
			return
		}
		c.front.broker.ClientDisconnected(c.requestID)
	}
}

// Disconnected implements broker.DisconnectChecker: it reports whether the client has closed its
// connection, also if the loop has not reported that yet.
func (c *client) Disconnected() bool { return c.conn.PeerClosed() }

func (c *client) forget() { delete(c.front.clients, c) }

// owedResponse reports whether the connection still has to get a response, or may have to: a request that
// has come whole and was not read is owed one, however long ago the shutdown began.
func (c *client) owedResponse() bool {
	return c.awaitsResponse || c.callBackForwarded || c.conn.UnsentBytes() > 0 ||
		!c.isWorker && c.conn.HasUnreadInput()
}

// mayStillRequest reports whether a request is on its way: a part of it has come, or it would be the first
// of the connection.
func (c *client) mayStillRequest(now time.Duration) bool {
	justOpened := !c.sentMessage && now < c.openedAt+drain.HealthCheckGrace
	return !c.isWorker && (justOpened || c.conn.HasPendingInput())
}
