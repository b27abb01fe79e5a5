package eventloop

import (
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/slotmap"
)

// Handler is told what happens on a connection. None of it is called after Close.
type Handler interface {
	Up(c *Conn)               // a dialled connection has come up
	Data(c *Conn)             // there is more in In
	Ended(c *Conn, err error) // the peer, or the network, has ended it; it is closed already
}

// most is how much unread input a connection may hold: a head, a body of
// 64 KiB in small chunks, and some. Beyond it nothing is read until some is used.
const most = 1 << 18

// roomy is the size of buffer that an idle connection may keep.
const roomy = 16 << 10

// lingering is how long a peer may take to close after us, and unwanted how much it
// may send meanwhile. Hazard: some send on for ever; to read it all costs the CPU of others.
const (
	lingering = time.Second
	unwanted  = 256 << 10
)

// A peer that connects, or begins a message, must send it whole. Hazard: connections
// that say nothing, or stop half-way, hold the descriptors that others need. One that
// is slow but goes on sending is let go on.
const (
	wholeBy = 2500 * time.Millisecond // from its connecting, or its first byte
	stalled = time.Second             // but while something comes this often
	slowest = 20 * time.Second        // at most this
)

// Why a listener's connection was ended by us.
var (
	errSlow = errors.New("the message did not come whole in time")
	errShed = errors.New("others need the room")
)

// standing is what a connection is to its listener. The lowest are shed first.
type standing uint8

const (
	leaving  standing = iota // Finish was called
	unproven                 // has not sent a whole message yet
	idle                     // between two messages
	taken                    // its message is being worked on; never shed
)

// Conn is a connection with one buffer, which grows as it needs and is compacted
// in place: unread input first, then output that the kernel has not taken yet.
// Nothing is read while output waits, so that the two never cross, and a peer
// that doesn't read can't make us hold more than a turn's output.
type Conn struct {
	H    Handler
	loop *Loop
	from *Listener
	fd   int
	id   slotmap.ID
	buf  []byte
	mid  int // input is buf[:mid], output is buf[mid:]

	standing standing
	began    time.Duration // when it connected, or its message began
	heard    time.Duration // when something came last, or its last message was done with
	timer    *Timer        // by which the message must be whole
	counted  int           // what the listener counts for its buffer

	// Sent, where it is set, is called once when the kernel has taken all that was written.
	Sent func()

	// Passing has descriptors that come along on a Unix socket be kept for TakeFD.
	Passing bool
	fds     []int

	connecting, closed, closing bool
	starved                     bool // there was no room for what it sends ahead
	pausing                     bool // the kernel had no room for its last call
	events                      uint32
	lost                        int // output that the kernel had not taken at the end
	ignored                     int // input that came after Finish
}

func (l *Loop) adopt(fd int, connecting bool) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, connecting: connecting}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.events = c.wanted()
	var err error
	c.id, err = l.watch(fd, c.events, c)
	return c, err
}

// Dial begins a connection. The handler is told when it is up; an error here
// means that it never will be.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	fd, addr, err := l.socket(address)
	if scarce(err) && l.free(forDescriptor) {
		fd, addr, err = l.socket(address) // what goes out must not wait for who comes in
	}
	if err != nil {
		return nil, err
	}
	err = l.system.Connect(fd, addr)
	// A signal that comes meanwhile leaves the connection to come up, as if it had not come.
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) {
		_ = l.system.Close(fd)
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	c, err := l.adopt(fd, true)
	if err != nil {
		_ = l.system.Close(fd)
		return nil, err
	}
	c.H = h
	return c, nil
}

// Adopt takes over a connected stream that was made elsewhere.
func (l *Loop) Adopt(fd int, h Handler) (*Conn, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	c, err := l.adopt(fd, false)
	if err != nil {
		return nil, err
	}
	c.H = h
	return c, nil
}

// In is the unread input; it is good until the next Write, Use or return to the loop.
func (c *Conn) In() []byte { return c.buf[:c.mid] }

// Use drops the first n bytes of the input.
func (c *Conn) Use(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.mid -= n
	if len(c.buf) == 0 && cap(c.buf) > roomy {
		c.buf = nil // hundreds of idle connections must not keep the room of their largest message
		c.count()
	}
	c.update()
}

// Taken says that a whole message has come and is worked on.
func (c *Conn) Taken() {
	c.standing = taken
	c.timer.Stop()
	c.timer = nil
}

// Idle says that the message is done with: the connection may be shed from here on.
func (c *Conn) Idle() {
	c.starved = false
	if c.standing = idle; c.closing {
		c.standing = leaving
	}
	if c.mid == 0 {
		c.heard = c.loop.Now()
	} else {
		c.mind()
	}
	c.update()
	if c.from != nil {
		c.from.pause(false) // it can be shed now for one that waits
	}
}

// mind sets the time by which the message that begins now must be whole.
func (c *Conn) mind() {
	if c.from != nil && c.timer == nil && !c.closed {
		c.began = c.loop.Now()
		by := wholeBy
		if c.from.limits.Patience > 0 {
			by = c.from.limits.Patience
		}
		c.timer = c.loop.At(c.began+by, c.overdue)
	}
}

func (c *Conn) overdue() {
	at := min(c.heard+stalled, c.began+slowest)
	if c.loop.Now() < at {
		c.timer = c.loop.At(at, c.overdue)
		return
	}
	c.end(errSlow)
}

// count keeps the listener's count of the room that its connections take.
func (c *Conn) count() {
	if c.from != nil {
		c.from.bytes += cap(c.buf) - c.counted
		c.counted = cap(c.buf)
	}
}

// Unsent is how many bytes the kernel has not taken yet.
func (c *Conn) Unsent() int {
	if c.closed {
		return c.lost
	}
	return len(c.buf) - c.mid
}

// Connecting says that the connection is not up yet.
func (c *Conn) Connecting() bool { return c.connecting }

// Heard is when something came last, or when the last message was done with if nothing waits.
func (c *Conn) Heard() time.Duration { return c.heard }

// Closed says that the connection has ended, from whichever side.
func (c *Conn) Closed() bool { return c.closed }

// Full says that nothing more is read until some input is used.
func (c *Conn) Full() bool { return c.mid >= most }

// Finished says that Finish was called.
func (c *Conn) Finished() bool { return c.closing }

// Write sends p, now or as the peer takes it.
func (c *Conn) Write(p []byte) {
	if c.closed || c.closing {
		return
	}
	if c.Unsent() == 0 && !c.connecting {
		n, err := c.loop.system.Write(c.fd, p)
		if err != nil {
			n = 0 // the loop tries again, or reports the break, with these bytes unsent
		}
		p = p[n:]
	}
	c.buf = append(c.buf, p...)
	c.count()
	c.update()
	c.sent()
}

func (c *Conn) sent() {
	if f := c.Sent; f != nil && c.Unsent() == 0 && !c.connecting && !c.closed {
		c.Sent = nil
		f()
	}
}

// Close ends the connection at once, and drops output that waits. The input stays
// readable.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.lost, c.closed = c.Unsent(), true
	if c.closing && c.from != nil {
		c.from.lingering--
	}
	c.loop.sources.Remove(c.id)
	_ = c.loop.system.Close(c.fd) // leaves the epoll set, too
	for _, fd := range c.fds {
		unix.Close(fd)
	}
	c.fds = nil
	c.timer.Stop()
	if ln := c.from; ln != nil {
		ln.open--
		ln.bytes -= c.counted
		ln.pause(false)
	}
}

// Finish ends the connection once its output is sent: writing first, so that
// input which has not been read does not make the kernel drop the answer.
func (c *Conn) Finish() {
	if c.from != nil && !c.closing && !c.closed {
		c.from.lingering++
	}
	c.closing, c.standing = true, leaving
	c.timer.Stop()
	c.Use(c.mid)
	if c.Unsent() == 0 && !c.closed {
		c.linger()
	}
}

// linger half-closes and reads on until the peer has closed too, for a second at most.
func (c *Conn) linger() {
	_ = c.loop.system.Shutdown(c.fd)
	c.loop.After(lingering, c.Close)
}

func (c *Conn) wanted() uint32 {
	switch {
	case c.connecting || c.Unsent() > 0:
		return unix.EPOLLOUT
	case c.Full() || c.standing == taken && c.starved:
		return unix.EPOLLRDHUP // hazard: unheard, an end would keep its message in work
	}
	return unix.EPOLLIN | unix.EPOLLRDHUP
}

// update has epoll report what is wanted now.
func (c *Conn) update() {
	if w := c.wanted(); !c.closed && !c.pausing && w != c.events {
		c.control(unix.EPOLL_CTL_MOD, w)
	}
}

// control tells epoll which events are wanted.
func (c *Conn) control(operation int, events uint32) {
	if err := c.loop.system.Control(c.loop.ep, operation, c.fd, event(events, c.id)); err != nil {
		// Hazard: unheard of, the connection would stand for ever.
		c.pausing = true
		c.loop.After(retryPause, c.resume)
		return
	}
	c.events = events
}

// pause leaves the connection alone for a while: the kernel has no room for what it was asked.
//
// Hazard: some events can't be masked, and would spin the loop meanwhile.
func (c *Conn) pause() {
	c.control(unix.EPOLL_CTL_DEL, 0)
	if !c.pausing {
		c.pausing = true
		c.loop.After(retryPause, c.resume)
	}
}

// resume ends a pause.
func (c *Conn) resume() {
	if c.closed {
		return
	}
	operation := unix.EPOLL_CTL_ADD
	if c.events != 0 {
		operation = unix.EPOLL_CTL_MOD // it was never taken out
	}
	c.pausing = false
	c.control(operation, c.wanted())
}

func (c *Conn) ready(events uint32) {
	if c.connecting {
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(unix.Errno(code))
			return
		}
		c.connecting = false
		c.update()
		if c.H.Up(c); c.closed {
			return
		}
	}
	if c.Unsent() > 0 {
		if c.flush(); c.closed || c.Unsent() > 0 {
			return
		}
	}
	switch {
	case events&unix.EPOLLRDHUP != 0 && c.events&unix.EPOLLIN == 0:
		c.end(io.EOF) // what lies before the end is not read: nobody waits for what would come of it
	case events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0:
		c.read()
	case events&(unix.EPOLLERR|unix.EPOLLHUP) != 0:
		c.end(io.ErrUnexpectedEOF)
	}
}

func (c *Conn) flush() {
	n, err := c.loop.system.Write(c.fd, c.buf[c.mid:])
	switch {
	case err == nil:
	case again(err):
		return
	case scarce(err):
		c.pause()
		return
	default:
		c.end(err)
		return
	}
	c.buf = c.buf[:c.mid+copy(c.buf[c.mid:], c.buf[c.mid+n:])]
	c.update()
	c.sent()
	if c.closing && c.Unsent() == 0 {
		c.linger()
	}
}

func (c *Conn) read() {
	if cap(c.buf)-c.mid < 1024 {
		room := max(2048, 2*cap(c.buf))
		if c.from != nil && !c.from.fit(room-cap(c.buf), c) {
			if c.standing == taken {
				// Hazard: its message is worked on, and is owed an answer. What it sends ahead waits.
				c.starved = true
				c.update()
				return
			}
			c.end(errShed)
			return
		}
		c.buf = append(make([]byte, 0, room), c.buf...)
		c.count()
	}
	n, err := c.receive(c.buf[c.mid:min(cap(c.buf), most+1024)])
	switch {
	case again(err):
	case scarce(err):
		c.pause()
	case err != nil:
		c.end(err)
	case n == 0:
		c.end(io.EOF)
	case c.closing: // what still comes is not wanted
		if c.ignored += n; c.ignored > unwanted {
			c.Close()
		}
	default:
		c.mid += n
		c.buf = c.buf[:c.mid]
		c.heard = c.loop.Now()
		if c.standing == idle {
			c.mind()
		}
		c.update()
		c.H.Data(c)
	}
}

// end is the end from the other side.
func (c *Conn) end(err error) {
	if c.Close(); !c.closing {
		c.H.Ended(c, err)
	}
}
