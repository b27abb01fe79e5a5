package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// The functions in this file pass file descriptors between processes (SCM_RIGHTS).

// maxControlBytes is the size of the control message buffer of one read: enough for a few descriptors.
const maxControlBytes = 64

// errOutputPending is returned if earlier output is pending, which the descriptors would overtake.
var errOutputPending = errors.New("can't send descriptors: the connection is closed or has unsent output")

// WriteFDs sends p together with descriptors, which are duplicated into the peer's process. The connection
// must be a Unix socket without pending output.
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

// receive reads input and, if ReceiveFDs is set, keeps the descriptors sent with it.
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

// PopFD removes and returns the oldest received descriptor. The caller owns it.
func (c *Conn) PopFD() (fd int, ok bool) {
	if len(c.receivedFDs) == 0 {
		return -1, false
	}
	fd = c.receivedFDs[0]
	c.receivedFDs = c.receivedFDs[1:]
	return fd, true
}

// FD returns the connection's socket, for sending it to another process. The connection keeps ownership.
func (c *Conn) FD() int { return c.fd }

// Detach closes this process's descriptor of a connection that stays open in another process.
func (c *Conn) Detach() {
	if !c.closed {
		// Without this, the closed descriptor would stay in the epoll set for as long as the other process
		// has it open.
		_ = unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, c.fd, nil)
		c.Close()
	}
}
