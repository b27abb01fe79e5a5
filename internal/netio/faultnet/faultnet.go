// Package faultnet provides a kernel.System for tests that makes system calls fail as a script says, with
// errors that Linux documents. Its functions may be called from any goroutine.
package faultnet

import (
	"cmp"
	"errors"
	"sync"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/kernel"
)

// Syscall names a system call.
type Syscall string

// The calls that a script can make fail.
const (
	Socket    Syscall = "socket"
	Connect   Syscall = "connect"
	Accept    Syscall = "accept"
	EpollWait Syscall = "epoll_wait"
	EpollCtl  Syscall = "epoll_ctl" // EPOLL_CTL_MOD only
	Read      Syscall = "read"
	Peek      Syscall = "peek"
	Write     Syscall = "write"
	Shutdown  Syscall = "shutdown"
	Close     Syscall = "close"
)

// Script returns the error of the n-th call of a system call, counted from 1, or nil if it is to succeed.
type Script func(call Syscall, n int) error

// System makes system calls on Linux, except those that its script makes fail. Create one with New.
type System struct {
	kernel.Linux
	OneByteIO bool // each read and write transfers at most one byte

	mu        sync.Mutex
	script    Script
	calls     map[Syscall]int
	openConns int // accepted connections minus closed descriptors
}

var _ kernel.System = (*System)(nil)

// OpenConns returns the number of accepted connections that were not closed. The number is wrong if dialled
// connections were closed, because Close does not distinguish them.
func (s *System) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openConns
}

func (s *System) addOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns += n
}

// New returns a system whose calls fail as the script says. With a nil script none fails.
func New(script Script) *System { return &System{script: script, calls: map[Syscall]int{}} }

func (s *System) nextFault(call Syscall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
	if s.script == nil {
		return nil
	}
	return s.script(call, s.calls[call])
}

// SetScript replaces the script and resets the call counts.
func (s *System) SetScript(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.calls = script, map[Syscall]int{}
}

// CallCount returns the number of calls of a system call since the script was set.
func (s *System) CallCount(call Syscall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Socket implements kernel.System.
func (s *System) Socket() (int, error) {
	if err := s.nextFault(Socket); err != nil {
		return -1, err
	}
	return s.Linux.Socket()
}

// Connect implements kernel.System.
func (s *System) Connect(fd int, to unix.Sockaddr) error {
	if err := s.nextFault(Connect); err != nil {
		if errors.Is(err, unix.EINTR) {
			_ = s.Linux.Connect(fd, to) // an interrupted connect continues in the background
		}
		return err
	}
	return s.Linux.Connect(fd, to)
}

// Accept implements kernel.System.
func (s *System) Accept(fd int) (int, error) {
	if err := s.nextFault(Accept); err != nil {
		return -1, err
	}
	fd, err := s.Linux.Accept(fd)
	if err == nil {
		s.addOpen(1)
	}
	return fd, err
}

// EpollWait implements kernel.System.
func (s *System) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := s.nextFault(EpollWait); err != nil {
		return -1, err
	}
	return s.Linux.EpollWait(epoll, events, milliseconds)
}

// EpollCtl implements kernel.System.
func (s *System) EpollCtl(epoll, operation, fd int, event *unix.EpollEvent) error {
	if operation == unix.EPOLL_CTL_MOD {
		if err := s.nextFault(EpollCtl); err != nil {
			return err
		}
	}
	return s.Linux.EpollCtl(epoll, operation, fd, event)
}

// Read implements kernel.System.
func (s *System) Read(fd int, p []byte) (int, error) {
	if err := s.nextFault(Read); err != nil {
		return -1, err
	}
	if s.OneByteIO {
		p = p[:1]
	}
	return s.Linux.Read(fd, p)
}

// Peek implements kernel.System.
func (s *System) Peek(fd int, p []byte) (int, error) {
	if err := s.nextFault(Peek); err != nil {
		return -1, err
	}
	return s.Linux.Peek(fd, p)
}

// Write implements kernel.System.
func (s *System) Write(fd int, p []byte) (int, error) {
	if err := s.nextFault(Write); err != nil {
		return -1, err
	}
	if s.OneByteIO {
		p = p[:1]
	}
	return s.Linux.Write(fd, p)
}

// Shutdown implements kernel.System.
func (s *System) Shutdown(fd int) error {
	if err := s.nextFault(Shutdown); err != nil {
		return err
	}
	return s.Linux.Shutdown(fd)
}

// Close implements kernel.System.
func (s *System) Close(fd int) error {
	err := s.Linux.Close(fd)
	s.addOpen(-1)
	return cmp.Or(s.nextFault(Close), err)
}

// FailSometimes returns a script that makes a system call fail the first five times and every third time
// after that.
func FailSometimes(call Syscall, err error) Script {
	return func(made Syscall, n int) error {
		if made == call && (n <= 5 || n%3 == 0) {
			return err
		}
		return nil
	}
}
