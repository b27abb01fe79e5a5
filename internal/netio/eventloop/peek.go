package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// The functions in this file query the kernel about a connection without waiting for the loop to report an
// event.

// HasPendingInput reports whether there is undiscarded input, in the connection's or the kernel's buffer.
func (c *Conn) HasPendingInput() bool { return c.inputEnd > 0 || c.HasUnreadInput() }

// HasUnreadInput reports whether there is input in the kernel's buffer.
func (c *Conn) HasUnreadInput() bool {
	if c.closed {
		return false
	}
	n, _ := c.peek()
	return n > 0
}

// peek reads without consuming. n is greater than 0 if there is input.
func (c *Conn) peek() (n int, err error) {
	var one [1]byte
	for {
		if n, err = c.loop.system.Peek(c.fd, one[:]); !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// PeerClosed reports whether the peer has closed the connection, even if input before the close is unread.
func (c *Conn) PeerClosed() bool {
	if c.closed {
		return true
	}
	return c.pollEvents()&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollEvents returns the events of an open connection that tell of its end.
func (c *Conn) pollEvents() int16 {
	state := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	if n, err := unix.Poll(state, 0); err != nil || n == 0 {
		return 0
	}
	return state[0].Revents
}

// OutputAcknowledged reports whether the peer's kernel has acknowledged all output, and the connection has
// not been reset. A peer whose process lives then reads the output, unless it closes the connection before.
func (c *Conn) OutputAcknowledged() bool {
	if c.closed || c.reset || c.UnsentBytes() > 0 || c.pollEvents()&unix.POLLERR != 0 {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if c.finishing {
		unacknowledged-- // the end of the output counts as a byte
	}
	return err != nil || unacknowledged <= 0
}

// Stale reports whether a connection that should be idle was closed or has unsolicited input.
func (c *Conn) Stale() bool {
	if c.closed || c.inputEnd > 0 {
		return true
	}
	n, err := c.peek()
	return n > 0 || !errors.Is(err, unix.EAGAIN)
}
