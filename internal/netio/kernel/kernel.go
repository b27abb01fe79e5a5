// Package kernel has the system calls that the loop makes for its sockets, behind one interface, so that
// tests can have them fail.
package kernel

import (
	"golang.org/x/sys/unix"
)

// System is the kernel as a loop calls it for its sockets. Tests put another in its place, whose calls fail
// as Linux documents, or take only a part.
type System interface {
	Socket() (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Accept(fd int) (int, error)
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)
	EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error
	Read(fd int, p []byte) (int, error)
	Peek(fd int, p []byte) (int, error) // reads and leaves what it has read; never waits
	Write(fd int, p []byte) (int, error)
	Shutdown(fd int) error // of the sending side
	Close(fd int) error
}

// Linux is the System that makes the calls.
type Linux struct{}

var _ System = Linux{}

// Socket makes a TCP socket that doesn't block.
func (Linux) Socket() (int, error) {
	return unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect begins a connection.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept takes a connection that waits.
func (Linux) Accept(fd int) (int, error) {
	fd, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}

// EpollWait waits for events.
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// EpollCtl says which events of a descriptor are waited for.
func (Linux) EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epoll, operation, fd, event)
}

// Read reads what has come.
func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

// Peek reads what has come and leaves it.
func (Linux) Peek(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Write writes what the kernel has room for.
func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Shutdown ends the sending side.
func (Linux) Shutdown(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }

// Close gives the descriptor up. On Linux it is gone whatever is returned.
func (Linux) Close(fd int) error { return unix.Close(fd) }
