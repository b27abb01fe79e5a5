// Package kernel defines an interface for the system calls that an event loop makes on its sockets, so that
// tests can make them fail.
package kernel

import (
	"golang.org/x/sys/unix"
)

// System is the set of system calls of an event loop. The methods return the errors that Linux documents for
// the calls. Package faultnet implements it for tests.
type System interface {
	// Socket creates a non-blocking IPv4 TCP socket.
	Socket() (fd int, err error)
	// Connect starts to connect a socket.
	Connect(fd int, to unix.Sockaddr) error
	// Accept accepts a queued connection and returns its non-blocking socket.
	Accept(fd int) (int, error)
	// EpollWait waits for events up to the given time; -1 milliseconds means without a limit.
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)
	// EpollCtl adds, changes or removes the events that are reported for a descriptor.
	EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error
	// Read reads available input.
	Read(fd int, p []byte) (int, error)
	// Peek reads available input without consuming it. It never blocks.
	Peek(fd int, p []byte) (int, error)
	// Write writes as much as the kernel accepts.
	Write(fd int, p []byte) (int, error)
	// Shutdown closes the sending side of a connection.
	Shutdown(fd int) error
	// Close closes a descriptor. On Linux it is closed even if an error is returned.
	Close(fd int) error
}

// Linux is the System that makes the real calls. It may be used by several goroutines.
type Linux struct{}

var _ System = Linux{}

// Socket implements System.
func (Linux) Socket() (int, error) {
	return unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect implements System.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept implements System.
func (Linux) Accept(fd int) (int, error) {
	fd, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}

// EpollWait implements System.
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// EpollCtl implements System.
func (Linux) EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epoll, operation, fd, event)
}

// Read implements System.
func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

// Peek implements System.
func (Linux) Peek(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Write implements System.
func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Shutdown implements System.
func (Linux) Shutdown(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }

// Close implements System.
func (Linux) Close(fd int) error { return unix.Close(fd) }
