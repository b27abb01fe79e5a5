package eventloop

import (
	"io"

	"golang.org/x/sys/unix"
)

const (
	minReadSpace  = 1024 // a buffer with less free space grows before a read
	minBufferSize = 2048
)

// wantedEvents returns the events that epoll should report in the connection's current state.
func (c *Conn) wantedEvents() uint32 {
	switch {
	case c.connecting || c.UnsentBytes() > 0:
		return unix.EPOLLOUT
	case c.InputFull() || c.state == stateProcessing && c.inputBlocked:
		// Without EPOLLRDHUP the peer's close would go unnoticed and its message would stay in processing.
		return unix.EPOLLRDHUP
	}
	return unix.EPOLLIN | unix.EPOLLRDHUP
}

// updateInterest registers the wanted events with epoll if they have changed.
func (c *Conn) updateInterest() {
	if w := c.wantedEvents(); !c.closed && !c.paused && w != c.interest {
		c.setInterest(unix.EPOLL_CTL_MOD, w)
	}
}

func (c *Conn) setInterest(operation int, events uint32) {
	if err := c.loop.system.EpollCtl(c.loop.epoll, operation, c.fd, epollEvent(events, c.id)); err != nil {
		// Without this retry no event would be reported and the connection would stay open forever.
		c.paused = true
		c.loop.After(retryDelay, c.resumeEvents)
		return
	}
	c.interest = events
}

// pauseEvents removes the connection from the epoll set for retryDelay, after a call that failed because the
// kernel is out of a resource. Masking the events is not enough: EPOLLERR and EPOLLHUP can't be masked, and
// would make the loop spin meanwhile.
func (c *Conn) pauseEvents() {
	c.setInterest(unix.EPOLL_CTL_DEL, 0)
	if !c.paused {
		c.paused = true
		c.loop.After(retryDelay, c.resumeEvents)
	}
}

func (c *Conn) resumeEvents() {
	if c.closed {
		return
	}
	operation := unix.EPOLL_CTL_ADD
	if c.interest != 0 {
		operation = unix.EPOLL_CTL_MOD // the removal failed, so it is still in the set
	}
	c.paused = false
	c.setInterest(operation, c.wantedEvents())
}

// handleEvents implements eventSource.
func (c *Conn) handleEvents(events uint32) {
	if c.connecting && !c.connected() {
		return
	}
	if c.UnsentBytes() > 0 {
		if !c.flush() {
			return
		}
	}
	switch {
	case events&unix.EPOLLRDHUP != 0 && c.interest&unix.EPOLLIN == 0:
		c.terminate(io.EOF) // the peer no longer waits for responses, so pipelined input is dropped unread
	case events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0:
		c.read()
	case events&(unix.EPOLLERR|unix.EPOLLHUP) != 0:
		c.terminate(io.ErrUnexpectedEOF)
	}
}

// connected handles the outcome of a connect and reports whether the connection is open afterwards.
func (c *Conn) connected() bool {
	if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
		c.terminate(unix.Errno(code))
		return false
	}
	c.connecting = false
	c.updateInterest()
	c.Handler.OnConnect(c)
	return !c.closed
}

// flush writes pending output and reports whether nothing is left of it, so that input may be read.
func (c *Conn) flush() bool {
	n, err := c.loop.system.Write(c.fd, c.buf[c.inputEnd:])
	switch {
	case err == nil:
	case isRetryable(err):
		return false
	case isResourceExhausted(err):
		c.pauseEvents()
		return false
	case c.ReadAfterWriteError && !c.finishing:
		// The input is read at the next event: this one was reported without it.
		c.buf = c.buf[:c.inputEnd]
		c.updateInterest()
		return false
	default:
		c.terminate(err)
		return false
	}
	c.buf = c.buf[:c.inputEnd+copy(c.buf[c.inputEnd:], c.buf[c.inputEnd+n:])]
	c.updateInterest()
	c.notifySent()
	if c.finishing && c.UnsentBytes() == 0 {
		c.linger()
	}
	return !c.closed && c.UnsentBytes() == 0
}

// read reads available input and passes it to the handler.
func (c *Conn) read() {
	if !c.growBuffer() {
		return
	}
	n, err := c.receive(c.buf[c.inputEnd:min(cap(c.buf), maxUnreadBytes+minReadSpace)])
	switch {
	case isRetryable(err):
	case isResourceExhausted(err):
		c.pauseEvents()
	case err != nil:
		c.terminate(err)
	case n == 0:
		c.terminate(io.EOF)
	case c.finishing: // discard input after CloseAfterFlush
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

// growBuffer makes sure that the buffer has space for a read and reports whether it has. At the listener's
// buffer limit it blocks the input of a connection whose message is being processed, and closes any other.
func (c *Conn) growBuffer() bool {
	if cap(c.buf)-c.inputEnd >= minReadSpace {
		return true
	}
	size := max(minBufferSize, 2*cap(c.buf))
	if c.listener != nil && !c.listener.reserveBuffer(size-cap(c.buf), c) {
		if c.state == stateProcessing {
			// The message must still get its response, so the connection stays open. Input that is pipelined
			// behind the message stays in the kernel until EndProcessing.
			c.inputBlocked = true
			c.updateInterest()
			return false
		}
		c.terminate(errEvicted)
		return false
	}
	c.buf = append(make([]byte, 0, size), c.buf...)
	c.updateBufferCount()
	return true
}
