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
	OnConnect(c *Conn)          // a dialled connection has come up
	OnData(c *Conn)             // there is more in In
	OnClose(c *Conn, err error) // the peer, or the network, has ended it; it is closed already
}

// maxUnreadBytes is how much unread input a connection may hold: a head, a body of
// 64 KiB in small chunks, and some. Beyond it nothing is read until some is used.
const maxUnreadBytes = 1 << 18

// maxIdleBufferBytes is the size of buffer that an idle connection may keep.
const maxIdleBufferBytes = 16 << 10

// lingerTimeout is how long a peer may take to close after us, and maxLingerBytes how much it
// may send meanwhile. Hazard: some send on for ever; to read it all costs the CPU of others.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// A peer that connects, or begins a message, must send it whole. Hazard: connections
// that say nothing, or stop half-way, hold the descriptors that others need. One that
// is slow but goes on sending is let go on.
const (
	messageTimeout = 2500 * time.Millisecond // from its connecting, or its first byte
	stallTimeout   = time.Second             // but while something comes this often
	maxMessageTime = 20 * time.Second        // at most this
)

// Why a listener's connection was ended by us.
var (
	errMessageTimeout = errors.New("the message did not come whole in time")
	errEvicted        = errors.New("others need the room")
)

// connState is what a connection is to its listener. The lowest are shed first.
type connState uint8

const (
	stateClosing    connState = iota // Finish was called
	stateNew                         // has not sent a whole message yet
	stateIdle                        // between two messages
	stateProcessing                  // its message is being worked on; never shed
)

// Conn is a connection with one buffer, which grows as it needs and is compacted
// in place: unread input first, then output that the kernel has not taken yet.
// Nothing is read while output waits, so that the two never cross, and a peer
// that doesn't read can't make us hold more than a turn's output.
type Conn struct {
	Handler  Handler
	loop     *Loop
	listener *Listener
	fd       int
	id       slotmap.ID
	buf      []byte
	inputEnd int // input is buf[:mid], output is buf[mid:]

	state        connState
	messageStart time.Duration // when it connected, or its message began
	lastActivity time.Duration // when something came last, or its last message was done with
	messageTimer *Timer        // by which the message must be whole
	countedBytes int           // what the listener counts for its buffer

	// OnSent, where it is set, is called once when the kernel has taken all that was written.
	OnSent func()

	// ReceiveFDs has descriptors that come along on a Unix socket be kept for TakeFD.
	ReceiveFDs  bool
	receivedFDs []int

	connecting, closed, finishing bool
	inputBlocked                  bool // there was no room for what it sends ahead
	paused                        bool // the kernel had no room for its last call
	interest                      uint32
	unsentAtClose                 int // output that the kernel had not taken at the end
	discardedBytes                int // input that came after Finish
}

func (l *Loop) newConn(fd int, connecting bool) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, connecting: connecting}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.interest = c.wantedEvents()
	var err error
	c.id, err = l.register(fd, c.interest, c)
	return c, err
}

// Dial begins a connection. The handler is told when it is up; an error here
// means that it never will be.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	fd, addr, err := l.newSocket(address)
	if isResourceExhausted(err) && l.freeDescriptor(evictForDescriptor) {
		fd, addr, err = l.newSocket(address) // what goes out must not wait for who comes in
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
	c, err := l.newConn(fd, true)
	if err != nil {
		_ = l.system.Close(fd)
		return nil, err
	}
	c.Handler = h
	return c, nil
}

// Adopt takes over a connected stream that was made elsewhere.
func (l *Loop) Adopt(fd int, h Handler) (*Conn, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	c, err := l.newConn(fd, false)
	if err != nil {
		return nil, err
	}
	c.Handler = h
	return c, nil
}

// Input is the unread input; it is good until the next Write, Use or return to the loop.
func (c *Conn) Input() []byte { return c.buf[:c.inputEnd] }

// Discard drops the first n bytes of the input.
func (c *Conn) Discard(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.inputEnd -= n
	if len(c.buf) == 0 && cap(c.buf) > maxIdleBufferBytes {
		c.buf = nil // hundreds of idle connections must not keep the room of their largest message
		c.updateBufferCount()
	}
	c.updateInterest()
}

// BeginProcessing says that a whole message has come and is worked on.
func (c *Conn) BeginProcessing() {
	c.state = stateProcessing
	c.messageTimer.Stop()
	c.messageTimer = nil
}

// EndProcessing says that the message is done with: the connection may be shed from here on.
func (c *Conn) EndProcessing() {
	c.inputBlocked = false
	if c.state = stateIdle; c.finishing {
		c.state = stateClosing
	}
	if c.inputEnd == 0 {
		c.lastActivity = c.loop.Now()
	} else {
		c.startMessageTimer()
	}
	c.updateInterest()
	if c.listener != nil {
		c.listener.setPaused(false) // it can be shed now for one that waits
	}
}

// startMessageTimer sets the time by which the message that begins now must be whole.
func (c *Conn) startMessageTimer() {
	if c.listener != nil && c.messageTimer == nil && !c.closed {
		c.messageStart = c.loop.Now()
		by := messageTimeout
		if c.listener.limits.MessageTimeout > 0 {
			by = c.listener.limits.MessageTimeout
		}
		c.messageTimer = c.loop.At(c.messageStart+by, c.messageTimerFired)
	}
}

func (c *Conn) messageTimerFired() {
	at := min(c.lastActivity+stallTimeout, c.messageStart+maxMessageTime)
	if c.loop.Now() < at {
		c.messageTimer = c.loop.At(at, c.messageTimerFired)
		return
	}
	c.terminate(errMessageTimeout)
}

// updateBufferCount keeps the listener's count of the room that its connections take.
func (c *Conn) updateBufferCount() {
	if c.listener != nil {
		c.listener.bufferBytes += cap(c.buf) - c.countedBytes
		c.countedBytes = cap(c.buf)
	}
}

// UnsentBytes is how many bytes the kernel has not taken yet.
func (c *Conn) UnsentBytes() int {
	if c.closed {
		return c.unsentAtClose
	}
	return len(c.buf) - c.inputEnd
}

// Connecting says that the connection is not up yet.
func (c *Conn) Connecting() bool { return c.connecting }

// LastActivity is when something came last, or when the last message was done with if nothing waits.
func (c *Conn) LastActivity() time.Duration { return c.lastActivity }

// Closed says that the connection has ended, from whichever side.
func (c *Conn) Closed() bool { return c.closed }

// InputFull says that nothing more is read until some input is used.
func (c *Conn) InputFull() bool { return c.inputEnd >= maxUnreadBytes }

// Finishing says that Finish was called.
func (c *Conn) Finishing() bool { return c.finishing }

// Write sends p, now or as the peer takes it.
func (c *Conn) Write(p []byte) {
	if c.closed || c.finishing {
		return
	}
	if c.UnsentBytes() == 0 && !c.connecting {
		n, err := c.loop.system.Write(c.fd, p)
		if err != nil {
			n = 0 // the loop tries again, or reports the break, with these bytes unsent
		}
		p = p[n:]
	}
	c.buf = append(c.buf, p...)
	c.updateBufferCount()
	c.updateInterest()
	c.notifySent()
}

func (c *Conn) notifySent() {
	if f := c.OnSent; f != nil && c.UnsentBytes() == 0 && !c.connecting && !c.closed {
		c.OnSent = nil
		f()
	}
}

// Close ends the connection at once, and drops output that waits. The input stays
// readable.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.unsentAtClose, c.closed = c.UnsentBytes(), true
	if c.finishing && c.listener != nil {
		c.listener.lingering--
	}
	c.loop.sources.Remove(c.id)
	_ = c.loop.system.Close(c.fd) // leaves the epoll set, too
	for _, fd := range c.receivedFDs {
		unix.Close(fd)
	}
	c.receivedFDs = nil
	c.messageTimer.Stop()
	if ln := c.listener; ln != nil {
		ln.openConns--
		ln.bufferBytes -= c.countedBytes
		ln.setPaused(false)
	}
}

// CloseAfterFlush ends the connection once its output is sent: writing first, so that
// input which has not been read does not make the kernel drop the answer.
func (c *Conn) CloseAfterFlush() {
	if c.listener != nil && !c.finishing && !c.closed {
		c.listener.lingering++
	}
	c.finishing, c.state = true, stateClosing
	c.messageTimer.Stop()
	c.Discard(c.inputEnd)
	if c.UnsentBytes() == 0 && !c.closed {
		c.linger()
	}
}

// linger half-closes and reads on until the peer has closed too, for a second at most.
func (c *Conn) linger() {
	_ = c.loop.system.Shutdown(c.fd)
	c.loop.After(lingerTimeout, c.Close)
}

func (c *Conn) wantedEvents() uint32 {
	switch {
	case c.connecting || c.UnsentBytes() > 0:
		return unix.EPOLLOUT
	case c.InputFull() || c.state == stateProcessing && c.inputBlocked:
		return unix.EPOLLRDHUP // hazard: unheard, an end would keep its message in work
	}
	return unix.EPOLLIN | unix.EPOLLRDHUP
}

// updateInterest has epoll report what is wanted now.
func (c *Conn) updateInterest() {
	if w := c.wantedEvents(); !c.closed && !c.paused && w != c.interest {
		c.setInterest(unix.EPOLL_CTL_MOD, w)
	}
}

// setInterest tells epoll which events are wanted.
func (c *Conn) setInterest(operation int, events uint32) {
	if err := c.loop.system.EpollCtl(c.loop.epoll, operation, c.fd, epollEvent(events, c.id)); err != nil {
		// Hazard: unheard of, the connection would stand for ever.
		c.paused = true
		c.loop.After(retryDelay, c.resumeEvents)
		return
	}
	c.interest = events
}

// pauseEvents leaves the connection alone for a while: the kernel has no room for what it was asked.
//
// Hazard: some events can't be masked, and would spin the loop meanwhile.
func (c *Conn) pauseEvents() {
	c.setInterest(unix.EPOLL_CTL_DEL, 0)
	if !c.paused {
		c.paused = true
		c.loop.After(retryDelay, c.resumeEvents)
	}
}

// resumeEvents ends a pause.
func (c *Conn) resumeEvents() {
	if c.closed {
		return
	}
	operation := unix.EPOLL_CTL_ADD
	if c.interest != 0 {
		operation = unix.EPOLL_CTL_MOD // it was never taken out
	}
	c.paused = false
	c.setInterest(operation, c.wantedEvents())
}

func (c *Conn) handleEvents(events uint32) {
	if c.connecting {
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.terminate(unix.Errno(code))
			return
		}
		c.connecting = false
		c.updateInterest()
		if c.Handler.OnConnect(c); c.closed {
			return
		}
	}
	if c.UnsentBytes() > 0 {
		if c.flush(); c.closed || c.UnsentBytes() > 0 {
			return
		}
	}
	switch {
	case events&unix.EPOLLRDHUP != 0 && c.interest&unix.EPOLLIN == 0:
		c.terminate(io.EOF) // what lies before the end is not read: nobody waits for what would come of it
	case events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0:
		c.read()
	case events&(unix.EPOLLERR|unix.EPOLLHUP) != 0:
		c.terminate(io.ErrUnexpectedEOF)
	}
}

func (c *Conn) flush() {
	n, err := c.loop.system.Write(c.fd, c.buf[c.inputEnd:])
	switch {
	case err == nil:
	case isRetryable(err):
		return
	case isResourceExhausted(err):
		c.pauseEvents()
		return
	default:
		c.terminate(err)
		return
	}
	c.buf = c.buf[:c.inputEnd+copy(c.buf[c.inputEnd:], c.buf[c.inputEnd+n:])]
	c.updateInterest()
	c.notifySent()
	if c.finishing && c.UnsentBytes() == 0 {
		c.linger()
	}
}

func (c *Conn) read() {
	if cap(c.buf)-c.inputEnd < 1024 {
		room := max(2048, 2*cap(c.buf))
		if c.listener != nil && !c.listener.reserveBuffer(room-cap(c.buf), c) {
			if c.state == stateProcessing {
				// Hazard: its message is worked on, and is owed an answer. What it sends ahead waits.
				c.inputBlocked = true
				c.updateInterest()
				return
			}
			c.terminate(errEvicted)
			return
		}
		c.buf = append(make([]byte, 0, room), c.buf...)
		c.updateBufferCount()
	}
	n, err := c.receive(c.buf[c.inputEnd:min(cap(c.buf), maxUnreadBytes+1024)])
	switch {
	case isRetryable(err):
	case isResourceExhausted(err):
		c.pauseEvents()
	case err != nil:
		c.terminate(err)
	case n == 0:
		c.terminate(io.EOF)
	case c.finishing: // what still comes is not wanted
		if c.discardedBytes += n; c.discardedBytes > maxLingerBytes {
			c.Close()
		}
	default:
		c.inputEnd += n
		c.buf = c.buf[:c.inputEnd]
		c.lastActivity = c.loop.Now()
		if c.state == stateIdle {
			c.startMessageTimer()
		}
		c.updateInterest()
		c.Handler.OnData(c)
	}
}

// terminate is the end from the other side.
func (c *Conn) terminate(err error) {
	if c.Close(); !c.finishing {
		c.Handler.OnClose(c, err)
	}
}
