package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// The functions here pass descriptors between processes (SCM_RIGHTS).

// maxControlBytes is the room for control messages of one read: a few descriptors.
const maxControlBytes = 64

// errOutputPending is the error where output waits, before which descriptors would be sent.
var errOutputPending = errors.New("the connection can't take descriptors now")

// WriteFDs sends p with descriptors, which the peer receives as its own. The connection must be a Unix socket
// on which no output waits.
func (c *Conn) WriteFDs(p []byte, fds ...int) error {
	if c.closed || c.UnsentBytes() > 0 {
		return errOutputPending
	}
	n, err := unix.SendmsgN(c.fd, p, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return err
	}
	c.Write(p[n:])
	return nil
}

// receive reads, and keeps the descriptors that come along if ReceiveFDs is set.
func (c *Conn) receive(p []byte) (int, error) {
	if !c.ReceiveFDs {
		return c.loop.system.Read(c.fd, p)
	}
	var control [maxControlBytes]byte
	n, controlLen, _, _, err := unix.Recvmsg(c.fd, p, control[:], unix.MSG_CMSG_CLOEXEC)
	if err != nil || controlLen == 0 {
		return n, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:controlLen])
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.receivedFDs = append(c.receivedFDs, fds...)
		}
	}
	return n, err
}

// PopFD returns the descriptor that was received first and not taken yet; the caller owns it.
func (c *Conn) PopFD() (fd int, ok bool) {
	if len(c.receivedFDs) == 0 {
		return -1, false
	}
	fd = c.receivedFDs[0]
	c.receivedFDs = c.receivedFDs[1:]
	return fd, true
}

// FD is the connection's socket, to be sent to another process. It stays the connection's.
func (c *Conn) FD() int { return c.fd }

// Detach closes this process's descriptor alone: the connection stays open in another process.
func (c *Conn) Detach() {
	if !c.closed {
		// Hazard: a descriptor closed here stays in the epoll set for as long as the other process has it
		// open.
		_ = unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, c.fd, nil)
		c.Close()
	}
}
