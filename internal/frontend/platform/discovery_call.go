package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"moorstack/internal/cluster/discovery"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
)

// maxListBytes is the maximum length of a list, or of one update of a watch.
const maxListBytes = 4 << 20

// Reasons why a call to discovery failed.
var (
	errDiscoverySilent = errors.New("no response from discovery within the timeout")
	errListTooLong     = errors.New("list from discovery is longer than 4 MiB")
	errWatchEnded      = errors.New("discovery ended the watch")
)

// discoveryCall is a call to discovery: a poll, which returns one list, or a watch, which streams updates.
type discoveryCall struct {
	discovery *discoveryClient
	conn      *eventloop.Conn
	parser    http1.Parser
	unparsed  []byte // the beginning of a list that is not complete yet
	startedAt time.Duration
	heardAt   time.Duration // when the last list or heartbeat came
	timer     *eventloop.Timer
	closed    bool
}

var _ eventloop.Handler = (*discoveryCall)(nil)

func (d *discoveryClient) startCall(target string) *discoveryCall {
	c := &discoveryCall{
		discovery: d,
		parser:    http1.Parser{ReadsResponses: true, StreamsBody: true},
		startedAt: d.front.loop.Now(),
		heardAt:   d.front.loop.Now() - discovery.WatchCurrentTime - 1,
	}
	conn, err := d.front.loop.Dial(d.front.cfg.DiscoveryAddress, c)
	if err != nil {
		d.front.loop.After(0, func() { c.fail(err) }) // not within this call, which may come from the broker
		return c
	}
	c.conn = conn
	c.conn.Write(http1.AppendRequest(nil, "GET", target, d.front.cfg.DiscoveryAddress, "", nil))
	c.resetTimeout()
	return c
}

// isWatch reports whether the call is the client's current watch; any other call is a poll.
func (c *discoveryCall) isWatch() bool { return c == c.discovery.watch }

// resetTimeout restarts the call's timeout. Once a call runs, only the complete response head, a complete
// list or a blank line restarts it; otherwise a list that never ends or arrives very slowly would keep a
// useless call alive.
func (c *discoveryCall) resetTimeout() {
	d := c.discovery
	timeout := d.policy.PollTimeout()
	if c.isWatch() && c.parser.HeadComplete() {
		timeout = d.policy.WatchTimeout()
	}
	c.timer.Stop()
	c.timer = d.front.loop.After(timeout, c.timedOut)
}

// timedOut handles a timeout: it reopens an accepted watch at once, and fails any other call. A failed watch
// would wait for the broker's backoff, which is meant for an outage of discovery and too long for a silent
// watch: the node soon counts as notified of the changes that the watch misses.
func (c *discoveryCall) timedOut() {
	d := c.discovery
	if !c.isWatch() || !c.parser.HeadComplete() {
		c.fail(errDiscoverySilent)
		return
	}
	c.close()
	d.watch = nil
	d.front.log.Warn("discovery watch timed out, reopening")
	d.ensureWatch()
}

// OnConnect implements eventloop.Handler. The request has been queued by startCall.
func (c *discoveryCall) OnConnect(*eventloop.Conn) {}

// OnData implements eventloop.Handler. It reads the part of the response that has arrived.
func (c *discoveryCall) OnData(*eventloop.Conn) {
	headWasComplete := c.parser.HeadComplete()
	complete, err := c.parser.Feed(c.conn.Input())
	if err == nil && c.parser.HeadComplete() && c.parser.Status != 200 {
		err = fmt.Errorf("discovery responded with status %d", c.parser.Status)
	}
	if err != nil {
		c.fail(err)
		return
	}
	if c.parser.HeadComplete() {
		body, used := c.parser.NextBodyChunk(c.conn.Input())
		c.unparsed = append(c.unparsed, body...)
		c.conn.Discard(used)
		if !headWasComplete {
			c.resetTimeout()
		}
	}
	if len(c.unparsed) > maxListBytes {
		c.fail(errListTooLong)
		return
	}
	c.parseLists(complete)
	if complete && !c.closed {
		c.completed()
	}
}

// parseLists handles the complete lists received so far; last reports that the response is complete. A list
// may be indented over many lines, so that a line's end does not end a list.
func (c *discoveryCall) parseLists(last bool) {
	if len(c.unparsed) == 0 {
		return
	}
	d := c.discovery
	if d.lastPolled != nil && !c.isWatch() && last && bytes.Equal(c.unparsed, d.lastPolled) {
		c.unparsed = c.unparsed[:0]
		d.lastCallFailed = false
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(c.unparsed))
	used := 0
	for !c.closed {
		var received receivedList
		err := decoder.Decode(&received)
		if errors.Is(err, io.EOF) { // only white space is left: nothing has changed
			used = len(c.unparsed)
			c.heartbeat()
			break
		}
		if errors.Is(err, io.ErrUnexpectedEOF) && !last {
			break
		}
		var list *workerList
		if err == nil {
			list, err = received.validate()
		}
		if err != nil {
			c.fail(fmt.Errorf("invalid list from discovery: %w", err))
			return
		}
		text := bytes.TrimSpace(c.unparsed[used:decoder.InputOffset()])
		used = int(decoder.InputOffset())
		c.resetTimeout()
		c.handleList(list, text)
	}
	if !c.closed {
		c.unparsed = append(c.unparsed[:0], c.unparsed[used:]...)
	}
}

// heartbeat records that nothing has changed since the last list, which is what a blank line from discovery
// means.
func (c *discoveryCall) heartbeat() {
	c.heardAt = c.discovery.front.loop.Now()
	c.resetTimeout()
	if c.isWatch() {
		f := c.discovery.front
		f.initial.confirm()
		f.startTimes.confirm(f.loop.Now())
	}
}

// handleList applies a list or a delta, or fails the call if the list's generation is out of order.
func (c *discoveryCall) handleList(list *workerList, text []byte) {
	d := c.discovery
	if err := d.generations.Accept(d.front.loop.Now(), c.startedAt, list.Generation); err != nil {
		c.fail(err)
		return
	}
	c.heardAt = d.front.loop.Now()
	d.lastCallFailed = false
	if !c.isWatch() {
		d.lastPolled = append(d.lastPolled[:0], text...)
	}
	d.applyUpdate(list)
	if d.onUpdate != nil {
		d.onUpdate(list.Generation, list.Full, text)
	}
}

// completed handles the end of a response, which completes a poll but is a failure of a watch.
func (c *discoveryCall) completed() {
	if c.isWatch() {
		c.fail(errWatchEnded)
		return
	}
	c.close()
	delete(c.discovery.polls, c)
}

// OnClose implements eventloop.Handler. Discovery or the network has ended the connection.
func (c *discoveryCall) OnClose(_ *eventloop.Conn, err error) {
	if !c.closed && c.parser.CompleteAtEOF() {
		if c.parseLists(true); !c.closed {
			c.completed()
		}
		return
	}
	c.fail(err)
}

// fail closes the call, unless it is closed already, and has the discovery client schedule the next one.
func (c *discoveryCall) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	d := c.discovery
	delete(d.polls, c)
	if d.watch == c {
		d.watch = nil
	}
	d.callFailed(err)
}

func (c *discoveryCall) close() {
	c.closed = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close()
	}
}
