package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
)

// maxListBytes is the longest list, or line of a watch, that is read.
const maxListBytes = 4 << 20

// Why a call of discovery failed.
var (
	errDiscoverySilent = errors.New("discovery is silent")
	errListTooLong     = errors.New("discovery sends a list without end")
	errWatchEnded      = errors.New("the watch has ended")
)

// discoveryCall is a call of discovery: one list, or a watch with an update a line.
type discoveryCall struct {
	directory *directory
	conn      *eventloop.Conn
	parser    http1.Parser
	unparsed  []byte // the beginning of a list that has not come whole
	startedAt time.Duration
	timer     *eventloop.Timer
	closed    bool
}

var _ eventloop.Handler = (*discoveryCall)(nil)

func (d *directory) startCall(target string) *discoveryCall {
	c := &discoveryCall{
		directory: d,
		parser:    http1.Parser{ReadsResponses: true, StreamsBody: true},
		startedAt: d.front.loop.Now(),
	}
	conn, err := d.front.loop.Dial(d.front.cfg.DiscoveryAddress, c)
	if err != nil {
		d.front.loop.After(0, func() { c.fail(err) }) // not from within the broker's call
		return c
	}
	c.conn = conn
	c.conn.Write(http1.AppendRequest(nil, "GET", target, d.front.cfg.DiscoveryAddress, "", nil))
	c.resetTimeout()
	return c
}

func (c *discoveryCall) isWatch() bool { return c == c.directory.watch }

// resetTimeout sets the time at which the call times out.
//
// Hazard: a list that never ends, or comes in drips, keeps a call alive that brings nothing. So only a
// complete list, or a blank line, resets the timeout.
func (c *discoveryCall) resetTimeout() {
	d := c.directory
	timeout := d.policy.PollTimeout()
	if c.isWatch() && c.parser.HeadComplete() {
		timeout = d.policy.WatchTimeout()
	}
	c.timer.Stop()
	c.timer = d.front.loop.After(timeout, c.timedOut)
}

// timedOut fails a call that is silent. A watch that was accepted is opened again at once.
//
// Hazard: what a silent watch misses counts as announced soon. The broker's backoff before it requests
// another watch is for discovery that is down, and is too long here.
func (c *discoveryCall) timedOut() {
	d := c.directory
	if !c.isWatch() || !c.parser.HeadComplete() {
		c.fail(errDiscoverySilent)
		return
	}
	c.close()
	d.watch = nil
	d.front.log.Warn("discovery watch timed out, reopening")
	d.ensureWatch()
}

// OnConnect implements eventloop.Handler; the request is written already.
func (c *discoveryCall) OnConnect(*eventloop.Conn) {}

// OnData reads the response as far as it has come.
func (c *discoveryCall) OnData(*eventloop.Conn) {
	headWasComplete := c.parser.HeadComplete()
	complete, err := c.parser.Feed(c.conn.Input())
	if err == nil && c.parser.HeadComplete() && c.parser.Status != 200 {
		err = fmt.Errorf("discovery answers %d", c.parser.Status)
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

// parseLists handles the complete lists that have come. Last: the response ends here.
//
// Hazard: a list may be indented, over many lines, so that a line's end is not a list's.
func (c *discoveryCall) parseLists(last bool) {
	if len(c.unparsed) == 0 {
		return
	}
	d := c.directory
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
		if errors.Is(err, io.EOF) { // the rest is blank: nothing has changed
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
			c.fail(fmt.Errorf("discovery's list: %w", err))
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

// heartbeat records that nothing has changed since the last list.
func (c *discoveryCall) heartbeat() {
	c.resetTimeout()
	if c.isWatch() {
		f := c.directory.front
		f.initial.confirm()
		f.startTimes.confirm(f.loop.Now())
	}
}

// handleList applies a list, or a delta, unless a later generation was received before.
func (c *discoveryCall) handleList(list *workerList, text []byte) {
	d := c.directory
	if err := d.generations.Accept(d.front.loop.Now(), c.startedAt, list.Generation); err != nil {
		c.fail(err)
		return
	}
	d.lastCallFailed = false
	if !c.isWatch() {
		d.lastPolled = append(d.lastPolled[:0], text...)
	}
	d.applyUpdate(list)
	if d.onUpdate != nil {
		d.onUpdate(list.Generation, list.Full, text)
	}
}

// completed handles the end of a response: that is as it should be for a poll, and a failure of a watch.
func (c *discoveryCall) completed() {
	if c.isWatch() {
		c.fail(errWatchEnded)
		return
	}
	c.close()
	delete(c.directory.polls, c)
}

// OnClose implements eventloop.Handler: discovery, or the network, has ended the connection.
func (c *discoveryCall) OnClose(_ *eventloop.Conn, err error) {
	if !c.closed && c.parser.CompleteAtEOF() {
		if c.parseLists(true); !c.closed {
			c.completed()
		}
		return
	}
	c.fail(err)
}

// fail ends the call, once, and has the directory schedule the next one.
func (c *discoveryCall) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	d := c.directory
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
