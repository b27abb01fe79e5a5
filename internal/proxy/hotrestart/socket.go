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
	maxControlBytes   = 64 // room for the control message with the listening socket
)

var (
	// ErrNoParent is the error of Join if no process listens at the path.
	ErrNoParent = errors.New("no process to take over from")

	errRestartUnderWay = errors.New("another process is about to take its place")
	errStateTimeout    = errors.New("the process there does not answer in time")
	errParentClosed    = errors.New("the process there closed the connection")
	errStateTooLong    = errors.New("its state has no end")
	errNoListener      = errors.New("the state came without the listening socket")
)

// SocketPath is where a node's processes meet: a Unix socket in a folder. Its name is derived from the node's
// address, so that the nodes of one machine don't meet each other.
type SocketPath struct{ dir, name string }

// SocketFor returns the path in a folder for the node that serves clients at an address.
func SocketFor(dir, listenAddress string) SocketPath {
	hash := fnv.New64a()
	hash.Write([]byte(listenAddress))
	return SocketPath{dir, fmt.Sprintf("moorstack-%x.sock", hash.Sum64())}
}

// sockaddr returns the address of a socket in the folder, and a function to call once it has been used.
//
// Hazard: the folder's path may be longer than a Unix address. A descriptor of the folder makes a short one.
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

// Listen listens at the path for a child, in place of the process that listened there before. OnAccept is
// called on the loop for each connection.
func (p SocketPath) Listen(loop *eventloop.Loop, onAccept func(*eventloop.Conn)) (
	*eventloop.Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	if err := p.bind(fd); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening at %s for a child: %w", filepath.Join(p.dir, p.name), err)
	}
	limits := eventloop.Limits{MaxConnections: maxLinks, MaxBufferBytes: maxLinks * maxMessageBytes}
	return loop.ListenFD(fd, limits, onAccept)
}

// bind has the socket listen at the path.
func (p SocketPath) bind(fd int) error {
	own := fmt.Sprintf("%s.%d", p.name, os.Getpid())
	ownPath := filepath.Join(p.dir, own)
	_ = os.Remove(ownPath) // of a process that had the same number
	addr, release, err := p.sockaddr(own)
	if err != nil {
		return err
	}
	defer release()
	if err := unix.Bind(fd, addr); err != nil {
		return err
	}
	if err := os.Chmod(ownPath, 0o600); err != nil {
		return err
	}
	if err := unix.Listen(fd, listenBacklog); err != nil {
		return err
	}
	// In one step: at any time a process that connects there reaches one of the two.
	return os.Rename(ownPath, filepath.Join(p.dir, p.name))
}

// Inheritance is what a child gets from its parent. The descriptors are the caller's.
type Inheritance struct {
	State      *State
	ListenerFD int // the listening socket
	ConnFD     int // the connection with the parent, for ConnectLink
}

// Join requests the state and the listening socket of the process that listens at the path. It returns
// ErrNoParent at once if there is none, and another error if they can't be had in time. It blocks, up to
// joinRetryTimeout and stateTimeout together.
func (p SocketPath) Join(node, listenAddress string) (*Inheritance, error) {
	hello := Message{Type: TypeHello, Version: Version, Node: node, ListenAddress: listenAddress}
	for end := time.Now().Add(joinRetryTimeout); ; time.Sleep(joinRetryInterval) {
		in, err := p.requestState(hello, time.Now().Add(stateTimeout))
		if !errors.Is(err, errRestartUnderWay) || time.Now().After(end) {
			return in, err
		}
	}
}

// requestState makes one attempt at Join.
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
		return -1, ErrNoParent // there is no folder
	}
	defer release()
	fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err := unix.Connect(fd, addr); err != nil {
		// Hazard: the socket may be of a process that was killed. Then the connection is refused.
		unix.Close(fd)
		return -1, ErrNoParent
	}
	return fd, nil
}

// request sends a hello and receives the state.
func (in *Inheritance) request(hello Message, deadline time.Time) error {
	if _, err := unix.Write(in.ConnFD, hello.Append(nil)); err != nil {
		return fmt.Errorf("sending hello: %w", err)
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
		return fmt.Errorf("unexpected message of type %q", m.Type)
	case in.ListenerFD < 0:
		return errNoListener
	}
	in.State = m.State
	noTimeout := unix.Timeval{}
	_ = unix.SetsockoptTimeval(in.ConnFD, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &noTimeout)
	return nil
}

// receiveLine reads until a line has come whole, and keeps the descriptor that comes with it.
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
			return nil, fmt.Errorf("reading its state: %w", err)
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

// firstDescriptor returns the first descriptor of a control message, or -1, and closes the others.
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
