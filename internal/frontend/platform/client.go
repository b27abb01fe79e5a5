package platform

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

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

// client is an accepted connection from a client, or from a worker that calls back.
type client struct {
	front  *Front
	conn   *eventloop.Conn
	parser http1.Parser

	requestID      string // of the request that waits for its response
	class          int    // index of the request's class; -1: none
	rule           string // name of the routing rule that matched; empty: none
	awaitsResponse bool
	adoption       *adoption     // set if the request was migrated from the other process
	deadline       time.Duration // of a migrated request

	callBackForwarded  bool // a call-back was forwarded to the other process, which has not confirmed it yet
	closeAfterResponse bool
	continueSent       bool // a 100 response has been sent for the request being read
	isWorker           bool // a call-back has arrived on this connection

	openedAt    time.Duration
	sentMessage bool // a complete message has arrived on this connection
}

var _ eventloop.Handler = (*client)(nil)
var _ broker.Client = (*client)(nil)
var _ broker.DisconnectChecker = (*client)(nil)

// OnConnect implements eventloop.Handler. An accepted connection is already established.
func (c *client) OnConnect(*eventloop.Conn) {}

// mayRead reports whether the next request may be read. A pipelined request waits for the response to the
// previous one.
func (c *client) mayRead() bool {
	return !c.awaitsResponse && !c.callBackForwarded && !c.closeAfterResponse && !c.conn.Closed() &&
		len(c.conn.Input()) > 0
}

// OnData implements eventloop.Handler. It reads requests one at a time.
func (c *client) OnData(*eventloop.Conn) {
	for c.mayRead() {
		complete, err := c.parser.Feed(c.conn.Input())
		if err == nil && !complete && c.conn.InputFull() {
			// A body in chunks of one byte is mostly framing and fills the input buffer before it is
			// complete; without this check the connection would stall.
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
		c.forgetCallBack() // its response has been read, as messages are sent one at a time
		c.closeAfterResponse = c.parser.Close
		m, body := c.parser.Message, append([]byte(nil), c.parser.Body(c.conn.Input())...)
		c.conn.Discard(c.parser.MessageSize())
		c.parser.Reset()
		c.continueSent = false
		c.handle(&m, body)
	}
}

// sendContinue sends a 100 response if the sender of an incomplete request waits for one before the body.
func (c *client) sendContinue() {
	if c.parser.HeadComplete() && c.parser.ExpectsContinue && !c.continueSent {
		c.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectMalformed rejects input that can't be parsed and closes the connection.
func (c *client) rejectMalformed(err error) {
	status := 400
	if bad := (*http1.ProtocolError)(nil); errors.As(err, &bad) {
		status = bad.Status
	}
	c.rejectInvalid(status, err)
}

// rejectInvalid responds to an invalid request and closes the connection. Otherwise the sender could repeat
// the request at once, or stay idle and hold a descriptor.
func (c *client) rejectInvalid(status int, err error) {
	c.closeAfterResponse = true
	c.respond(status, "", []byte(err.Error()+"\n"))
}

// respond writes a response. fields holds complete header lines, each with its line ending.
func (c *client) respond(status int, fields string, body []byte) {
	c.conn.Write(http1.AppendResponse(nil, status, c.closeAfterResponse, fields, body))
	if c.closeAfterResponse {
		c.conn.CloseAfterFlush()
		c.unregister()
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
	cb := c.front.parseCallBack(body)
	switch {
	case cb == nil:
		c.respond(204, "", nil)
	case c.front.isRepeat(cb):
		c.front.log.WithFields(logrus.Fields{"request_id": cb.RequestID, "worker": cb.Worker,
			"state": cb.State}).Info("repeated call-back ignored")
		c.respondCallBack(cb)
	case c.front.applyCallBack(cb):
		c.respondCallBack(cb)
	case c.front.forwardCallBack(c, body):
	case c.front.loop.Now() < c.front.unlinkedPeerUntil:
		// The attempt may belong to an unlinked process that shares this address. The worker repeats the
		// call-back after a 503 and may then reach that process.
		c.respond(503, "", nil)
	default:
		// The request is unknown, but any other status would make the worker repeat the call-back.
		c.respondCallBack(cb)
	}
}

// respondCallBack confirms a call-back to its worker, and records it as repeated if the connection ends
// before the worker has the response.
func (c *client) respondCallBack(cb *callBack) {
	if cb.State.endsWithoutResult() {
		key := cb.key()
		c.front.unconfirmed[c] = key
		c.conn.OnClosed = func(acknowledged bool) {
			if delete(c.front.unconfirmed, c); !acknowledged {
				c.front.repeats.responseLost(key, c.front.loop.Now())
			}
		}
	}
	c.respond(204, "", nil)
}

// forgetCallBack stops the watch for a lost response that respondCallBack has begun.
func (c *client) forgetCallBack() {
	delete(c.front.unconfirmed, c)
	c.conn.OnClosed = nil
}

func (c *client) handleHealthCheck() {
	// Health checks are rare and use separate connections, so that there is no reason to keep this one open.
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
	// A pipelined request has waited here for the response to the previous one; that counts against its
	// timeout.
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
		c.front.limitToShutdown(&r, c.conn.LastActivity())
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

// Respond implements broker.Client. It writes the request's final response.
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
	// The next request may be in the buffer already. It must not be handled within this call by the broker.
	c.front.loop.After(0, func() {
		if c.front.drain.State() == drain.ClosingConnections {
			c.closeIfIdle()
		}
		c.OnData(c.conn)
	})
}

// respondRejected writes a rejection, with the time after which to retry and the reason, where they are
// given.
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

// closeIfDraining marks the connection to close after the next response if connections are being closed. A
// connection with a pipelined request stays open, since that request would be lost without a response.
func (c *client) closeIfDraining() {
	c.closeAfterResponse = c.closeAfterResponse ||
		c.front.drain.State() == drain.ClosingConnections && !c.conn.HasPendingInput()
}

// closeIfIdle closes a client's connection that is between two requests. It stays open if unread input is in
// the kernel's buffer: closing would lose that request.
func (c *client) closeIfIdle() {
	if !c.sentMessage && c.front.loop.Now() < c.openedAt+drain.HealthCheckGrace {
		return // its first request may be on its way
	}
	inUse := c.awaitsResponse || c.callBackForwarded || c.isWorker || c.conn.UnsentBytes() > 0 ||
		c.conn.Closed() || c.conn.HasPendingInput()
	if !inUse {
		c.conn.CloseAfterFlush()
		c.unregister()
	}
}

// OnClose implements eventloop.Handler. The client may have disconnected before its response.
func (c *client) OnClose(*eventloop.Conn, error) {
	if c.unregister(); c.awaitsResponse {
		c.awaitsResponse = false
		c.front.counters.ClientDisconnects++
		if c.adoption != nil {
			c.front.abandonAdopted(c)
			return
		}
		c.front.broker.ClientDisconnected(c.requestID)
	}
}

// Disconnected implements broker.DisconnectChecker. It reports whether the client has closed its connection,
// even if the event loop has not reported that yet.
func (c *client) Disconnected() bool { return c.conn.PeerClosed() }

// unregister removes the connection from the connections that the front tracks.
func (c *client) unregister() { delete(c.front.clients, c) }

// needsResponse reports whether a response on this connection is still pending or may be. Unread input may be
// a complete request, which gets a response however long ago the shutdown began.
func (c *client) needsResponse() bool {
	return c.awaitsResponse || c.callBackForwarded || c.conn.UnsentBytes() > 0 ||
		!c.isWorker && c.conn.HasUnreadInput()
}

// expectsRequest reports whether a request may be on its way: part of one has arrived, or the connection was
// just opened and has not carried one yet.
func (c *client) expectsRequest(now time.Duration) bool {
	justOpened := !c.sentMessage && now < c.openedAt+drain.HealthCheckGrace
	return !c.isWorker && (justOpened || c.conn.HasPendingInput())
}
