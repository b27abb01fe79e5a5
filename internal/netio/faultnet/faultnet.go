// Package faultnet stands in the kernel's place in tests: system calls fail by script, as Linux documents.
package faultnet

import (
	"cmp"
	"sync"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/kernel"
)

// Call names a system call.
type Call string

// The calls that can fail.
const (
	Socket   Call = "socket"
	Connect  Call = "connect"
	Accept   Call = "accept"
	Wait     Call = "epoll_wait"
	Control  Call = "epoll_ctl" // a change; what is new is always taken
	Read     Call = "read"
	Peek     Call = "peek"
	Write    Call = "write"
	Shutdown Call = "shutdown"
	Close    Call = "close"
)

// Script says whether the n-th call of its kind fails, counted from 1, and how.
type Script func(call Call, n int) error

// System is a kernel whose calls fail by script.
type System struct {
	kernel.Linux
	Short bool // reads and writes take a byte at a time

	mu    sync.Mutex
	fails Script
	calls map[Call]int
	held  int // connections that were accepted, less what was closed
}

var _ kernel.System = (*System)(nil)

// Open is how many connections were accepted and not closed, where none was dialled.
func (s *System) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *System) hold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
}

// New makes a system that fails by the script; nil: nothing fails.
func New(fails Script) *System { return &System{fails: fails, calls: map[Call]int{}} }

func (s *System) fault(call Call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
	if s.fails == nil {
		return nil
	}
	return s.fails(call, s.calls[call])
}

// Follow sets what fails from now on, and counts calls anew.
func (s *System) Follow(fails Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails, s.calls = fails, map[Call]int{}
}

// Count is how often a call has been made since the script was set.
func (s *System) Count(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Socket makes a socket.
func (s *System) Socket() (int, error) {
	if err := s.fault(Socket); err != nil {
		return -1, err
	}
	return s.Linux.Socket()
}

// Connect begins a connection.
func (s *System) Connect(fd int, to unix.Sockaddr) error {
	if err := s.fault(Connect); err != nil {
		if err == unix.EINTR {
			_ = s.Linux.Connect(fd, to) // it goes on, whatever is said
		}
		return err
	}
	return s.Linux.Connect(fd, to)
}

// Accept takes a connection that waits.
func (s *System) Accept(fd int) (int, error) {
	if err := s.fault(Accept); err != nil {
		return -1, err
	}
	fd, err := s.Linux.Accept(fd)
	if err == nil {
		s.hold(1)
	}
	return fd, err
}

// Wait waits for events.
func (s *System) Wait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := s.fault(Wait); err != nil {
		return -1, err
	}
	return s.Linux.Wait(epoll, events, milliseconds)
}

// Control says which events are waited for.
func (s *System) Control(epoll, operation, fd int, event *unix.EpollEvent) error {
	if operation == unix.EPOLL_CTL_MOD {
		if err := s.fault(Control); err != nil {
			return err
		}
	}
	return s.Linux.Control(epoll, operation, fd, event)
}

// Read reads what has come.
func (s *System) Read(fd int, p []byte) (int, error) {
	if err := s.fault(Read); err != nil {
		return -1, err
	}
	if s.Short {
		p = p[:1]
	}
	return s.Linux.Read(fd, p)
}

// Peek looks at what has come.
func (s *System) Peek(fd int, p []byte) (int, error) {
	if err := s.fault(Peek); err != nil {
		return -1, err
	}
	return s.Linux.Peek(fd, p)
}

// Write writes what there is room for.
func (s *System) Write(fd int, p []byte) (int, error) {
	if err := s.fault(Write); err != nil {
		return -1, err
	}
	if s.Short {
		p = p[:1]
	}
	return s.Linux.Write(fd, p)
}

// Shutdown ends the sending side.
func (s *System) Shutdown(fd int) error {
	if err := s.fault(Shutdown); err != nil {
		return err
	}
	return s.Linux.Shutdown(fd)
}

// Close gives the descriptor up, and then may fail.
func (s *System) Close(fd int) error {
	err := s.Linux.Close(fd)
	s.hold(-1)
	return cmp.Or(s.fault(Close), err)
}

// Sometimes fails a call the first five times, and then one time in three.
func Sometimes(call Call, err error) Script {
	return func(made Call, n int) error {
		if made == call && (n <= 5 || n%3 == 0) {
			return err
		}
		return nil
	}
}
