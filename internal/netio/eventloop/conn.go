package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/slotmap"
)

const (
	// maxUnreadBytes is how much input a connection may hold that was not discarded: a head, a body of 64 KiB
	// in small chunks, and some. Beyond it nothing is read.
	maxUnreadBytes = 1 << 18

	// maxIdleBufferBytes is the largest buffer that an idle connection keeps.
	maxIdleBufferBytes = 16 << 10

	// lingerTimeout is how long a peer may take to close after CloseAfterFlush, and maxLingerBytes how much
	// it may send meanwhile. Hazard: some peers send on for ever; to read it all costs the CPU of others.
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// A peer that connects, or begins a message, must send it whole in time. Hazard: connections that send
// nothing, or stop half-way, hold the descriptors that others need. One that is slow but goes on sending is
// let go on.
const (
	messageTimeout = 2500 * time.Millisecond // from its connecting, or its first byte
	stallTimeout   = time.Second             // longer than messageTimeout, if something comes this often
	maxMessageTime = 20 * time.Second        // never longer than this
)

// Why a listener's connection was closed by this side.
var (
	errMessageTimeout = errors.New("the message did not come whole in time")
	errEvicted        = errors.New("others need the room")
)

// Handler handles the events of a connection, on the loop. None of it is called after Close.
type Handler interface {
	OnConnect(c *Conn)          // a dialled connection has come up
	OnData(c *Conn)             // Input has grown
	OnClose(c *Conn, err error) // the peer, the network or a limit has ended it; it is closed already
}

// connState is what a connection is to its listener. The lowest are evicted first.
type connState uint8

const (
	stateClosing    connState = iota // CloseAfterFlush was called
	stateNew                         // it has not sent a whole message yet
	stateIdle                        // between two messages
	stateProcessing                  // its message is being processed; never evicted
)

// Conn is a connection with one buffer, which grows as needed and is compacted in place: first input that was
// not discarded, then output that the kernel has not taken yet. Nothing is read while output waits, so that
// the two never cross, and a peer that doesn't read can't have more than a turn's output buffered.
type Conn struct {
	Handler Handler

	// OnSent, if set, is called once when the kernel has taken all that was written.
	OnSent func()

	// ReceiveFDs has descriptors that come along on a Unix socket be kept for PopFD.
	ReceiveFDs  bool
	receivedFDs []int

	loop     *Loop
	listener *Listener // nil: it was dialled
	fd       int
	id       slotmap.ID
	buf      []byte
	inputEnd int // input is buf[:inputEnd], output is buf[inputEnd:]

	state        connState
	messageStart time.Duration // when it connected, or its message began
	lastActivity time.Duration // when something came last, or its last message was processed
	messageTimer *Timer        // by which the message must be whole
	countedBytes int           // what the listener counts for its buffer

	connecting, closed, finishing bool

	interest       uint32 // the events that epoll reports
	paused         bool   // epoll reports nothing: the kernel had no room for the last call
	inputBlocked   bool   // there was no room for what is pipelined behind the message being processed
	unsentAtClose  int    // bytes of output that the kernel had not taken when the connection closed
	discardedBytes int    // input that came after CloseAfterFlush
}

func (l *Loop) newConn(fd int, connecting bool) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, connecting: connecting}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.interest = c.wantedEvents()
	var err error
	c.id, err = l.register(fd, c.interest, c)
	return c, err
}

// Dial begins a connection to an IPv4 address and port. The handler's OnConnect is called when it is
// up; after an error here it never will be.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	fd, addr, err := l.newSocket(address)
	if isResourceExhausted(err) && l.freeDescriptor(evictForDescriptor) {
		fd, addr, err = l.newSocket(address) // outgoing connections must not wait for incoming ones
	}
	if err != nil {
		return nil, err
	}
	err = l.system.Connect(fd, addr)
	// A connect that a signal interrupts goes on, as one that does not block.
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

// Adopt makes a connection of a connected stream socket, which is the connection's from here on unless an
// error is returned.
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

// Input is the input that was not discarded. It is valid until the next Write, Discard or return to the loop.
func (c *Conn) Input() []byte { return c.buf[:c.inputEnd] }

// Discard drops the first n bytes of the input.
func (c *Conn) Discard(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.inputEnd -= n
	if len(c.buf) == 0 && cap(c.buf) > maxIdleBufferBytes {
		c.buf = nil // hundreds of idle connections must not keep buffers of their largest message
		c.updateBufferCount()
	}
	c.updateInterest()
}

// BeginProcessing records that a whole message has come and is processed: the connection is not evicted until
// EndProcessing.
func (c *Conn) BeginProcessing() {
	c.state = stateProcessing
	c.messageTimer.Stop()
	c.messageTimer = nil
}

// EndProcessing records that the message is processed: the connection may be evicted from here on.
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
		c.listener.setPaused(false) // it can be evicted now for one that waits
	}
}

// startMessageTimer sets the time by which the message that begins now must be whole.
func (c *Conn) startMessageTimer() {
	if c.listener != nil && c.messageTimer == nil && !c.closed {
		c.messageStart = c.loop.Now()
		timeout := messageTimeout
		if c.listener.limits.MessageTimeout > 0 {
			timeout = c.listener.limits.MessageTimeout
		}
		c.messageTimer = c.loop.At(c.messageStart+timeout, c.messageTimerFired)
	}
}

func (c *Conn) messageTimerFired() {
	deadline := min(c.lastActivity+stallTimeout, c.messageStart+maxMessageTime)
	if c.loop.Now() < deadline {
		c.messageTimer = c.loop.At(deadline, c.messageTimerFired)
		return
	}
	c.terminate(errMessageTimeout)
}

// updateBufferCount updates the listener's count of what its connections' buffers take.
func (c *Conn) updateBufferCount() {
	if c.listener != nil {
		c.listener.bufferBytes += cap(c.buf) - c.countedBytes
		c.countedBytes = cap(c.buf)
	}
}

// UnsentBytes is how many bytes of output the kernel has not taken, or had not when the connection closed.
func (c *Conn) UnsentBytes() int {
	if c.closed {
		return c.unsentAtClose
	}
	return len(c.buf) - c.inputEnd
}

// Connecting reports whether the connection is not up yet.
func (c *Conn) Connecting() bool { return c.connecting }

// LastActivity is when something came last or, if no input is pending, when the last message was processed.
func (c *Conn) LastActivity() time.Duration { return c.lastActivity }

// Closed reports whether the connection has ended, from whichever side.
func (c *Conn) Closed() bool { return c.closed }

// InputFull reports whether nothing more is read until some input is discarded.
func (c *Conn) InputFull() bool { return c.inputEnd >= maxUnreadBytes }

// Finishing reports whether CloseAfterFlush was called.
func (c *Conn) Finishing() bool { return c.finishing }

// Write sends p, as the peer takes it. After CloseAfterFlush and Close it does nothing.
func (c *Conn) Write(p []byte) {
	if c.closed || c.finishing {
		return
	}
	if c.UnsentBytes() == 0 && !c.connecting {
		n, err := c.loop.system.Write(c.fd, p)
		if err != nil {
			n = 0 // the loop tries again, or reports the error, with these bytes unsent
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

// Close closes the connection at once, without a call of OnClose, and drops output that waits. The
// input stays readable.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.unsentAtClose, c.closed = c.UnsentBytes(), true
	if c.finishing && c.listener != nil {
		c.listener.lingering--
	}
	c.loop.sources.Remove(c.id)
	_ = c.loop.system.Close(c.fd) // this takes it out of the epoll set, too
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

// CloseAfterFlush closes the connection once its output is sent and the peer has closed, too: the
// sending side first, so that input which has not been read does not make the kernel drop the response.
// OnClose is not called.
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

// linger closes the sending side and reads on until the peer has closed too, for lingerTimeout at most.
func (c *Conn) linger() {
	_ = c.loop.system.Shutdown(c.fd)
	c.loop.After(lingerTimeout, c.Close)
}

// terminate closes the connection for the handler: the peer, the network or a limit has ended it.
func (c *Conn) terminate(err error) {
	if c.Close(); !c.finishing {
		c.Handler.OnClose(c, err)
	}
}
