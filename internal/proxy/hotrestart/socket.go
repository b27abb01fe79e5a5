package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/eventloop"
)

const (
	maxUnixPathBytes = 107 // the longest path in a Unix socket's address
	listenBacklog    = 4
	maxLinks         = 2 // connections that a parent accepts at a time

	joinRetryInterval = 50 * time.Millisecond
	readBufferBytes   = 64 << 10
	maxControlBytes   = 64 // buffer for the control message with the listening socket
)

var (
	// ErrNoParent is returned by Join if no process listens at the path.
	ErrNoParent = errors.New("no parent process is listening")

	errRestartUnderWay = errors.New("another hot restart is in progress")
	errStateTimeout    = errors.New("timed out while waiting for the parent's state")
	errParentClosed    = errors.New("the parent closed the connection before it sent its state")
	errStateTooLong    = errors.New("the parent's state is longer than 8 MiB")
	errNoListener      = errors.New("the parent sent its state without the listening socket")
)

// SocketPath is the path of the Unix socket at which a child connects to its parent. The socket's name is
// derived from the node's listen address, so that nodes on the same machine use different sockets.
type SocketPath struct{ dir, name string }

// SocketFor returns the path for the node that serves clients at an address, in the given folder.
func SocketFor(dir, listenAddress string) SocketPath {
	hash := fnv.New64a()
	hash.Write([]byte(listenAddress))
	return SocketPath{dir, fmt.Sprintf("moorstack-%x.sock", hash.Sum64())}
}

// sockaddr returns the address of a socket in the folder, and a function to call when the address is no
// longer needed.
//
// The folder's path may be too long for a Unix socket address. It is then replaced by a short path through a
// descriptor of the folder.
func (p SocketPath) sockaddr(name string) (addr *unix.SockaddrUnix, release func(), err error) {
	path := filepath.Join(p.dir, name)
	if len(path) <= maxUnixPathBytes {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	fd, err := unix.Open(p.dir, unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("opening %s: %w", p.dir, err)
	}
	path = fmt.Sprintf("/proc/self/fd/%d/%s", fd, name)
	return &unix.SockaddrUnix{Name: path}, func() { unix.Close(fd) }, nil
}

// Listen listens at the path for a child. It replaces any process that has listened there before. It calls
// onAccept on the loop for each connection.
func (p SocketPath) Listen(loop *eventloop.Loop, onAccept func(*eventloop.Conn)) (
	*eventloop.Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("creating a Unix socket: %w", err)
	}
	if err := p.bind(fd); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening for a child process at %s: %w", filepath.Join(p.dir, p.name), err)
	}
	limits := eventloop.Limits{MaxConnections: maxLinks, MaxBufferBytes: maxLinks * maxMessageBytes}
	return loop.ListenFD(fd, limits, onAccept)
}

// bind binds the socket to the path and starts listening.
func (p SocketPath) bind(fd int) error {
	bindName := fmt.Sprintf("%s.%d", p.name, os.Getpid())
	bindPath := filepath.Join(p.dir, bindName)
	_ = os.Remove(bindPath) // left by a process that had the same process ID
	addr, release, err := p.sockaddr(bindName)
	if err != nil {
		return err
	}
	defer release()
	if err := unix.Bind(fd, addr); err != nil {
		return err
	}
	if err := os.Chmod(bindPath, 0o600); err != nil {
		return err
	}
	if err := unix.Listen(fd, listenBacklog); err != nil {
		return err
	}
	// The rename is atomic, so a process that connects at any time reaches either the old or the new
	// listener.
	return os.Rename(bindPath, filepath.Join(p.dir, p.name))
}

// Inheritance is what a child receives from its parent. The caller owns the descriptors.
type Inheritance struct {
	State      *State
	ListenerFD int // the listening socket
	ConnFD     int // the connection to the parent, for ConnectLink
}

// Join requests the state and the listening socket from the process that listens at the path. It returns
// ErrNoParent at once if there is none, and another error if it does not receive both in time. It blocks for
// at most the sum of joinRetryTimeout and stateTimeout.
func (p SocketPath) Join(node, listenAddress string) (*Inheritance, error) {
	hello := Message{Type: TypeHello, Version: Version, Node: node, ListenAddress: listenAddress}
	for end := time.Now().Add(joinRetryTimeout); ; time.Sleep(joinRetryInterval) {
		in, err := p.requestState(hello, time.Now().Add(stateTimeout))
		if !errors.Is(err, errRestartUnderWay) || time.Now().After(end) {
			return in, err
		}
	}
}

// requestState makes one attempt to receive the state for Join.
func (p SocketPath) requestState(hello Message, deadline time.Time) (*Inheritance, error) {
	fd, err := p.connect()
	if err != nil {
		return nil, err
	}
	in := &Inheritance{ListenerFD: -1, ConnFD: fd}
	if err := in.request(hello, deadline); err != nil {
		unix.Close(fd)
		if in.ListenerFD >= 0 {
			unix.Close(in.ListenerFD)
		}
		return nil, err
	}
	return in, nil
}

func (p SocketPath) connect() (fd int, err error) {
	addr, release, err := p.sockaddr(p.name)
	if err != nil {
		return -1, ErrNoParent // the folder does not exist
	}
	defer release()
	fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("creating a Unix socket: %w", err)
	}
	if err := unix.Connect(fd, addr); err != nil {
		// The socket may have been left by a process that was killed. The connection is then refused.
		unix.Close(fd)
		return -1, ErrNoParent
	}
	return fd, nil
}

// request sends a hello message and receives the state.
func (in *Inheritance) request(hello Message, deadline time.Time) error {
	if _, err := unix.Write(in.ConnFD, hello.Append(nil)); err != nil {
		return fmt.Errorf("sending the hello message: %w", err)
	}
	text, err := in.receiveLine(deadline)
	if err != nil {
		return err
	}
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	m, err := ParseMessage(line)
	switch {
	case err != nil:
		return err
	case m.Type == TypeRejected:
		return fmt.Errorf("%w: %s", errRestartUnderWay, m.Reason)
	case m.Type != TypeState || len(rest) > 0:
		return fmt.Errorf("expected a single state message, got type %q", m.Type)
	case in.ListenerFD < 0:
		return errNoListener
	}
	in.State = m.State
	noTimeout := unix.Timeval{}
	_ = unix.SetsockoptTimeval(in.ConnFD, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &noTimeout)
	return nil
}

// receiveLine reads a complete line, and stores the descriptor that arrives with it in ListenerFD.
func (in *Inheritance) receiveLine(deadline time.Time) (text []byte, err error) {
	buf, control := make([]byte, readBufferBytes), make([]byte, maxControlBytes)
	for !bytes.ContainsRune(text, '\n') {
		timeout := time.Until(deadline)
		if timeout <= 0 {
			return nil, errStateTimeout
		}
		tv := unix.NsecToTimeval(int64(timeout))
		if err := unix.SetsockoptTimeval(in.ConnFD, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &tv); err != nil {
			return nil, err
		}
		n, controlLen, _, _, err := unix.Recvmsg(in.ConnFD, buf, control, unix.MSG_CMSG_CLOEXEC)
		if err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
			return nil, fmt.Errorf("receiving the parent's state: %w", err)
		}
		if fd := firstDescriptor(control[:max(controlLen, 0)]); fd >= 0 {
			in.ListenerFD = fd
		}
		if err == nil && n == 0 {
			return nil, errParentClosed
		}
		if text = append(text, buf[:max(n, 0)]...); len(text) > maxMessageBytes {
			return nil, errStateTooLong
		}
	}
	return text, nil
}

// firstDescriptor returns the first descriptor in a control message, or -1. It closes any others.
func firstDescriptor(control []byte) int {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return -1
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil && len(fds) > 0 {
			for _, extra := range fds[1:] {
				unix.Close(extra)
			}
			return fds[0]
		}
	}
	return -1
}
