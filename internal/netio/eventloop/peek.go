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
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	state := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0 && state[0].Revents&closedEvents != 0
}

// Stale reports whether a connection that should be idle was closed or has unsolicited input.
func (c *Conn) Stale() bool {
	if c.closed || c.inputEnd > 0 {
		return true
	}
	n, err := c.peek()
	return n > 0 || !errors.Is(err, unix.EAGAIN)
}
