package eventloop

import (
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/slotmap"
)

const (
	// maxUnreadBytes is how much undiscarded input a connection may buffer before it stops reading. It has
	// room for a head and a body of 64 KiB in small chunks, with a margin.
	maxUnreadBytes = 1 << 18

	// maxIdleBufferBytes is the largest capacity that the buffer of an idle connection may keep.
	maxIdleBufferBytes = 16 << 10

	// lingerTimeout is how long a peer may take to close after CloseAfterFlush, and maxLingerBytes how much
	// it may send meanwhile. Some peers never stop sending, and reading all of it would take CPU time from
	// other connections.
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// Time limits for receiving a complete message on an accepted connection. Without them, connections that
// send nothing, or stop in the middle of a message, would hold descriptors that others need. A peer that is
// slow but keeps sending gets more time.
const (
	messageTimeout = 2500 * time.Millisecond // since the connection was accepted, or the first byte
	stallTimeout   = time.Second             // past messageTimeout: longest pause between two reads
	maxMessageTime = 20 * time.Second        // upper bound, even if the peer keeps sending
)

// Reasons passed to OnClose when this side closes an accepted connection.
var (
	errMessageTimeout = errors.New("message not complete before its timeout")
	errEvicted        = errors.New("connection evicted to free resources for others")
)

// Handler handles the events of a connection. Its methods run on the loop, and never after Conn.Close.
type Handler interface {
	OnConnect(c *Conn)          // a dialled connection is established
	OnData(c *Conn)             // more input was received
	OnClose(c *Conn, err error) // the peer, an error or a limit closed the connection
}

// connState is the state of an accepted connection. Connections of the lowest state are evicted first.
type connState uint8

const (
	stateClosing    connState = iota // CloseAfterFlush was called
	stateNew                         // no complete message received yet
	stateIdle                        // between messages
	stateProcessing                  // a message is being processed; never evicted
)

// Conn is a connection with one buffer, which grows as needed and is compacted in place. The buffer holds the
// undiscarded input, followed by the output that the kernel has not accepted yet. Nothing is read while
// output is pending: so the two never overlap, and a peer that doesn't read can't make this side buffer more
// output than one turn of the loop produces.
type Conn struct {
	Handler Handler

	// OnSent, if set, is called once, when the kernel has accepted all output.
	OnSent func()

	// OnClosed, if set, is called once when either side has closed the connection, before OnClose.
	// acknowledged reports whether all output was sent and the peer's kernel has acknowledged it. It is false
	// if the connection was reset: the peer may have dropped what it had not read.
	OnClosed func(acknowledged bool)

	// ReadAfterWriteError makes a failed write drop the pending output only: input that the peer sent before
	// it closed the connection is still read, and OnClose is called after it.
	ReadAfterWriteError bool

	// ReceiveFDs makes reads on a Unix socket keep the descriptors sent with the data, for PopFD.
	ReceiveFDs  bool
	receivedFDs []int

	loop     *Loop
	listener *Listener // nil for a dialled connection
	fd       int
	id       slotmap.ID
	buf      []byte
	inputEnd int // input is buf[:inputEnd], output is buf[inputEnd:]

	state        connState
	messageStart time.Duration // when it was accepted, or its current message began
	lastActivity time.Duration // of the last read, or of the end of processing the last message
	messageTimer *Timer        // closes the connection if the message is not complete
	countedBytes int           // capacity of buf as included in listener.bufferBytes

	connecting, closed, finishing bool

	interest       uint32 // the events that epoll reports
	paused         bool   // epoll reports nothing until a retry: the kernel was out of a resource
	inputBlocked   bool   // no buffer space for input pipelined behind the message being processed
	unsentAtClose  int    // bytes of output that the kernel had not accepted at Close
	reset          bool   // the connection has failed: the peer may not have read all output
	discardedBytes int    // input received after CloseAfterFlush
}

func (l *Loop) newConn(fd int, connecting bool) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, connecting: connecting}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.interest = c.wantedEvents()
	var err error
	c.id, err = l.register(fd, c.interest, c)
	return c, err
}

// Dial starts to connect to an IPv4 address and port. The handler's OnConnect is called when the connection
// is established, and never if Dial returns an error.
func (l *Loop) Dial(address string, h Handler) (*Conn, error) {
	fd, addr, err := l.newSocket(address)
	if isResourceExhausted(err) && l.freeDescriptor(evictForDescriptor) {
		fd, addr, err = l.newSocket(address) // outgoing connections take precedence over incoming ones
	}
	if err != nil {
		return nil, err
	}
	err = l.system.Connect(fd, addr)
	// A connect that a signal interrupts continues in the background, like a non-blocking one.
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

// Adopt returns a connection on a stream socket that is already connected. It takes over ownership of the
// descriptor unless it returns an error.
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

// Input returns the undiscarded input. It is valid until the next Write, Discard or return to the loop.
func (c *Conn) Input() []byte { return c.buf[:c.inputEnd] }

// Discard drops the first n bytes of the input.
func (c *Conn) Discard(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.inputEnd -= n
	if len(c.buf) == 0 && cap(c.buf) > maxIdleBufferBytes {
		c.buf = nil // hundreds of idle connections must not keep a buffer as large as their largest message
		c.updateBufferCount()
	}
	c.updateInterest()
}

// BeginProcessing records that a complete message was received. The connection is not evicted until
// EndProcessing.
func (c *Conn) BeginProcessing() {
	c.state = stateProcessing
	c.messageTimer.Stop()
	c.messageTimer = nil
}

// EndProcessing records that the message has been processed. The connection may be evicted from now on.
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
		c.listener.setPaused(false) // this connection can now be evicted for one in the kernel's queue
	}
}

// startMessageTimer starts the timeout for receiving the message that begins now.
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

// updateBufferCount updates the listener's total of its connections' buffer capacities.
func (c *Conn) updateBufferCount() {
	if c.listener != nil {
		c.listener.bufferBytes += cap(c.buf) - c.countedBytes
		c.countedBytes = cap(c.buf)
	}
}

// UnsentBytes returns the bytes of output that the kernel has not accepted, or had not accepted at Close.
func (c *Conn) UnsentBytes() int {
	if c.closed {
		return c.unsentAtClose
	}
	return len(c.buf) - c.inputEnd
}

// Connecting reports whether a dialled connection is not established yet.
func (c *Conn) Connecting() bool { return c.connecting }

// LastActivity returns the time of the last read, or of EndProcessing if no input was pending then.
func (c *Conn) LastActivity() time.Duration { return c.lastActivity }

// Closed reports whether the connection was closed by either side.
func (c *Conn) Closed() bool { return c.closed }

// InputFull reports whether the input has reached its limit: nothing is read until some is discarded.
func (c *Conn) InputFull() bool { return c.inputEnd >= maxUnreadBytes }

// Finishing reports whether CloseAfterFlush was called.
func (c *Conn) Finishing() bool { return c.finishing }

// Write sends p and buffers the part that the kernel does not accept yet. It does nothing after
// CloseAfterFlush or Close.
func (c *Conn) Write(p []byte) {
	if c.closed || c.finishing {
		return
	}
	if c.UnsentBytes() == 0 && !c.connecting {
		n, err := c.loop.system.Write(c.fd, p)
		if err != nil {
			n = 0 // nothing was sent; the loop retries the write or reports the error
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

// Close closes the connection immediately and drops pending output. It does not call OnClose. Input that was
// already read stays available.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	onClosed := c.OnClosed
	acknowledged := onClosed != nil && c.OutputAcknowledged()
	c.unsentAtClose, c.closed = c.UnsentBytes(), true
	if c.finishing && c.listener != nil {
		c.listener.lingering--
	}
	c.loop.sources.Remove(c.id)
	_ = c.loop.system.Close(c.fd) // this also removes it from the epoll set
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
	if onClosed != nil {
		onClosed(acknowledged)
	}
}

// CloseAfterFlush sends the pending output, shuts down the sending side, and closes the connection when the
// peer has closed too. Closing both sides at once while input is unread would make the kernel reset the
// connection and drop the response. OnClose is not called.
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

// linger shuts down the sending side and discards input until the peer closes, for at most lingerTimeout.
func (c *Conn) linger() {
	_ = c.loop.system.Shutdown(c.fd)
	c.loop.After(lingerTimeout, c.Close)
}

// terminate closes the connection because of the peer, an error or a limit, and informs the handler.
func (c *Conn) terminate(err error) {
	c.reset = !errors.Is(err, io.EOF) && !errors.Is(err, errMessageTimeout) && !errors.Is(err, errEvicted)
	if c.Close(); !c.finishing {
		c.Handler.OnClose(c, err)
	}
}
