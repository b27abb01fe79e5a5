package eventloop

// Descriptors that pass between processes, with connections or for them.

import (
	"errors"

	"golang.org/x/sys/unix"
)

// WriteFDs sends p with descriptors, which the peer gets as its own. The connection must
// be a Unix socket on which no output waits.
func (c *Conn) WriteFDs(p []byte, fds ...int) error {
	if c.closed || c.UnsentBytes() > 0 {
		return errors.New("the connection can't take descriptors now")
	}
	n, err := unix.SendmsgN(c.fd, p, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return err
	}
	c.Write(p[n:])
	return nil
}

// receive reads, and takes the descriptors that come along, where they are wanted.
func (c *Conn) receive(p []byte) (int, error) {
	if !c.ReceiveFDs {
		return c.loop.system.Read(c.fd, p)
	}
	var oob [64]byte
	n, on, _, _, err := unix.Recvmsg(c.fd, p, oob[:], unix.MSG_CMSG_CLOEXEC)
	if err != nil || on == 0 {
		return n, err
	}
	messages, err := unix.ParseSocketControlMessage(oob[:on])
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.receivedFDs = append(c.receivedFDs, fds...)
		}
	}
	return n, err
}

// TakeFD gives the descriptor that came first and was not taken yet; the caller owns it.
func (c *Conn) TakeFD() (int, bool) {
	if len(c.receivedFDs) == 0 {
		return -1, false
	}
	fd := c.receivedFDs[0]
	c.receivedFDs = c.receivedFDs[1:]
	return fd, true
}

// FD is the connection's socket, to be given to another process.
func (c *Conn) FD() int { return c.fd }

// Detach closes this process's descriptor alone: the connection goes on at another one's.
func (c *Conn) Detach() {
	if !c.closed {
		// Hazard: closed here, it stays in the epoll set for as long as the other has it.
		_ = unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, c.fd, nil)
		c.Close()
	}
}
