// Package kernel has the system calls that an event loop makes for its sockets behind one interface, so that
// tests can have them fail.
package kernel

import (
	"golang.org/x/sys/unix"
)

// System is the kernel as an event loop calls it. Its calls return the errors that Linux documents. In tests
// package faultnet takes its place.
type System interface {
	// Socket makes a non-blocking TCP socket.
	Socket() (fd int, err error)
	// Connect begins a connection.
	Connect(fd int, to unix.Sockaddr) error
	// Accept accepts a connection from the queue, as a non-blocking socket.
	Accept(fd int) (int, error)
	// EpollWait waits for events; -1 milliseconds: for ever.
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)
	// EpollCtl changes which events of a descriptor are reported.
	EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error
	// Read reads what has come.
	Read(fd int, p []byte) (int, error)
	// Peek reads what has come without consuming it, and never blocks.
	Peek(fd int, p []byte) (int, error)
	// Write writes what the kernel has room for.
	Write(fd int, p []byte) (int, error)
	// Shutdown closes the sending side.
	Shutdown(fd int) error
	// Close closes a descriptor. On Linux it is closed whatever is returned.
	Close(fd int) error
}

// Linux is the System that makes the calls. It may be used by several goroutines.
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
