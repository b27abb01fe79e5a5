package eventloop

// Looks at what the kernel holds for a connection, without waiting for the loop to tell.

import (
	"errors"

	"golang.org/x/sys/unix"
)

// HasPendingInput says that input has come which has not been used, read or unread.
func (c *Conn) HasPendingInput() bool { return c.inputEnd > 0 || c.HasUnreadInput() }

// HasUnreadInput says that input lies with the kernel.
func (c *Conn) HasUnreadInput() bool {
	if c.closed {
		return false
	}
	n, _ := c.peek()
	return n > 0
}

// peek looks whether input has come: n is more than 0 if so.
func (c *Conn) peek() (n int, err error) {
	var one [1]byte
	for {
		if n, err = c.loop.system.Peek(c.fd, one[:]); !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// PeerClosed looks whether the peer has closed the connection, without waiting for the loop to tell and
// whatever input lies before the end.
func (c *Conn) PeerClosed() bool {
	if c.closed {
		return true
	}
	const ends = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	state := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0 && state[0].Revents&ends != 0
}

// Stale looks whether a connection that should be idle has ended, or holds
// something unasked for, without waiting for the loop to tell.
func (c *Conn) Stale() bool {
	if c.closed || c.inputEnd > 0 {
		return true
	}
	n, err := c.peek()
	return n > 0 || !errors.Is(err, unix.EAGAIN)
}
