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

// maxUnixPathBytes is the longest path that a Unix address holds.
const maxUnixPathBytes = 107

// SocketPath is where a node's processes meet: a socket in a folder, named by the node's
// address, so that the nodes of one machine don't meet each other.
type SocketPath struct{ dir, name string }

// SocketFor is the place in a folder for the node that serves at an address.
func SocketFor(dir, listen string) SocketPath {
	sum := fnv.New64a()
	sum.Write([]byte(listen))
	return SocketPath{dir, fmt.Sprintf("moorstack-%x.sock", sum.Sum64())}
}

// sockaddr gives the socket's address under a name, and what is to be done once it has been used.
//
// Hazard: the folder's path may be longer than a Unix address. A descriptor of the folder
// makes a short one.
func (p SocketPath) sockaddr(name string) (*unix.SockaddrUnix, func(), error) {
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

// Listen waits there for the process that will take this one's place, and takes the
// place of whoever waited there before.
func (p SocketPath) Listen(loop *eventloop.Loop, accept func(*eventloop.Conn)) (*eventloop.Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	own := fmt.Sprintf("%s.%d", p.name, os.Getpid())
	err = func() error {
		_ = os.Remove(filepath.Join(p.dir, own)) // left over from a process that had this number
		addr, used, err := p.sockaddr(own)
		if err != nil {
			return err
		}
		defer used()
		if err := unix.Bind(fd, addr); err != nil {
			return err
		}
		if err := os.Chmod(filepath.Join(p.dir, own), 0o600); err != nil {
			return err
		}
		if err := unix.Listen(fd, 4); err != nil {
			return err
		}
		// In one step: at any time whoever calls there finds one of the two.
		return os.Rename(filepath.Join(p.dir, own), filepath.Join(p.dir, p.name))
	}()
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("the place for the next process, %s: %w", filepath.Join(p.dir, p.name), err)
	}
	return loop.ListenFD(fd, eventloop.Limits{MaxConnections: 2, MaxBufferBytes: 2 * MaxMessageBytes}, accept)
}

// Inheritance is what a process gets from the one whose place it takes.
type Inheritance struct {
	State      *State
	ListenerFD int // the listening socket
	ConnFD     int // the connection with the other process
}

// ErrNoParent says that no process is there.
var ErrNoParent = errors.New("no process to take over from")

// Join asks the process that waits at the place for its state and its listening socket. It
// returns ErrAlone at once if there is none, another error if it can't be had in time.
func (p SocketPath) Join(name, listen string) (*Inheritance, error) {
	for end := time.Now().Add(JoinRetryTimeout); ; time.Sleep(50 * time.Millisecond) {
		o, err := p.requestState(name, listen, time.Now().Add(StateTimeout))
		if !errors.Is(err, errRestartUnderWay) || time.Now().After(end) {
			return o, err
		}
	}
}

var errRestartUnderWay = errors.New("another process is about to take its place")

func (p SocketPath) requestState(name, listen string, end time.Time) (o *Inheritance, err error) {
	addr, used, err := p.sockaddr(p.name)
	if err != nil {
		return nil, ErrNoParent // there is no folder
	}
	defer used()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	listener := -1
	defer func() {
		if err != nil {
			unix.Close(fd)
			if listener >= 0 {
				unix.Close(listener)
			}
		}
	}()
	if err := unix.Connect(fd, addr); err != nil {
		// Hazard: the socket is left over from a process that was killed. It refuses.
		return nil, ErrNoParent
	}
	hello := Message{Type: TypeHello, Version: Version, Node: name, ListenAddress: listen}
	if _, err := unix.Write(fd, hello.Append(nil)); err != nil {
		return nil, fmt.Errorf("asking for its place: %w", err)
	}
	var in []byte
	buf, oob := make([]byte, 64<<10), make([]byte, 64)
	for !bytes.ContainsRune(in, '\n') {
		left := time.Until(end)
		if left <= 0 {
			return nil, errors.New("the process there does not answer in time")
		}
		tv := unix.NsecToTimeval(int64(left))
		if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &tv); err != nil {
			return nil, err
		}
		n, on, _, _, err := unix.Recvmsg(fd, buf, oob, unix.MSG_CMSG_CLOEXEC)
		if err != nil && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) {
			return nil, fmt.Errorf("reading its state: %w", err)
		}
		if got := firstDescriptor(oob[:max(on, 0)]); got >= 0 {
			listener = got
		}
		if err == nil && n == 0 {
			return nil, errors.New("the process there hung up")
		}
		if in = append(in, buf[:max(n, 0)]...); len(in) > MaxMessageBytes {
			return nil, errors.New("its state has no end")
		}
	}
	line, rest, _ := bytes.Cut(in, []byte("\n"))
	m, err := ParseMessage(line)
	switch {
	case err != nil:
		return nil, err
	case m.Type == TypeRejected:
		return nil, fmt.Errorf("%w: %s", errRestartUnderWay, m.Reason)
	case m.Type != TypeState || len(rest) > 0:
		return nil, fmt.Errorf("an answer of type %q", m.Type)
	case listener < 0:
		return nil, errors.New("the state came without the listening socket")
	}
	none := unix.Timeval{}
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &none)
	return &Inheritance{m.State, listener, fd}, nil
}

// firstDescriptor is the one that came along, or -1.
func firstDescriptor(oob []byte) int {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return -1
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil && len(fds) > 0 {
			for _, more := range fds[1:] {
				unix.Close(more)
			}
			return fds[0]
		}
	}
	return -1
}

// Link is the connection of the two processes, on the loop of one.
type Link struct {
	conn      *eventloop.Conn
	partial   []byte
	onMessage func(*Link, *Message)
	onClose   func(*Link, error)
}

var _ eventloop.Handler = (*Link)(nil)

// AcceptLink makes a link of a connection that was accepted.
func AcceptLink(conn *eventloop.Conn, said func(*Link, *Message), gone func(*Link, error)) *Link {
	l := &Link{conn: conn, onMessage: said, onClose: gone}
	conn.Handler = l
	return l
}

// ConnectLink makes a link of the connection that Join has made.
func ConnectLink(
	loop *eventloop.Loop,
	fd int,
	said func(*Link, *Message),
	gone func(*Link, error),
) (*Link, error) {
	l := &Link{onMessage: said, onClose: gone}
	var err error
	if l.conn, err = loop.Adopt(fd, l); err == nil {
		l.conn.ReceiveFDs = true
	}
	return l, err
}

// SendRequest sends an open job with its client's connection.
func (l *Link) SendRequest(j MigratedRequest, fd int) error {
	m := Message{Type: TypeMigratedRequest, Request: &j}
	return l.conn.WriteFDs(m.Append(nil), fd)
}

// TakeFD gives the descriptor that came with the message just read.
func (l *Link) TakeFD() (int, bool) { return l.conn.TakeFD() }

// Send sends a message.
func (l *Link) Send(m Message) { l.conn.Write(m.Append(nil)) }

// SendState sends the state with the listening socket.
func (l *Link) SendState(s *State, listener int) error {
	m := Message{Type: TypeState, Version: Version, State: s}
	return l.conn.WriteFDs(m.Append(nil), listener)
}

// Reject says no and hangs up.
func (l *Link) Reject(why string) {
	l.Send(Message{Type: TypeRejected, Version: Version, Reason: why})
	l.conn.CloseAfterFlush()
}

// Close hangs up; nothing is told.
func (l *Link) Close() { l.conn.Close() }

// OnConnect is of no concern: the connection is there.
func (*Link) OnConnect(*eventloop.Conn) {}

// OnData takes whole messages, however they were cut.
func (l *Link) OnData(c *eventloop.Conn) {
	c.BeginProcessing() // whoever says hello and then little is not shed for it; TakeBy ends that
	l.partial = append(l.partial, c.Input()...)
	c.Discard(len(c.Input()))
	for !c.Closed() && !c.Finishing() {
		line, rest, whole := bytes.Cut(l.partial, []byte("\n"))
		if !whole {
			break
		}
		m, err := ParseMessage(line)
		l.partial = append([]byte(nil), rest...)
		if err != nil {
			l.fail(err)
			return
		}
		l.onMessage(l, m)
	}
	if len(l.partial) > MaxMessageBytes {
		l.fail(errors.New("a message without end"))
	}
}

// OnClose is the end from the other side.
func (l *Link) OnClose(_ *eventloop.Conn, err error) { l.onClose(l, err) }

func (l *Link) fail(err error) {
	l.conn.Close()
	l.onClose(l, err)
}
