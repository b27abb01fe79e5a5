package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/slotmap"
)

const (
	listenBacklog     = 1024 // connections that the kernel keeps until they are accepted
	maxAcceptsPerTurn = 64   // then other sources have their turn
)

// Limits are what the connections of a listener may take together.
type Limits struct {
	MaxConnections int // open at a time
	MaxBufferBytes int // of their buffers

	MessageTimeout time.Duration // for a message to come whole; 0: the default, for clients
	ReusePort      bool          // another process may listen at the same address
}

// Listener accepts connections.
type Listener struct {
	loop        *Loop
	fd          int // -1 once closed
	id          slotmap.ID
	limits      Limits
	openConns   int
	bufferBytes int  // of the connections' buffers
	lingering   int  // connections that CloseAfterFlush has begun to close
	paused      bool // nothing is accepted until there is room
	suspended   bool // nothing is accepted until SetSuspended(false)
	onAccept    func(*Conn)
}

// Listen listens on an IPv4 address and port; onAccept is called on the loop for each connection, and sets
// its Handler. At a limit an idle connection is evicted for the new one; while there is none, further ones
// wait in the kernel's queue. It fails if the address is invalid or in use.
func (l *Loop) Listen(address string, limits Limits, onAccept func(*Conn)) (*Listener, error) {
	fd, addr, err := l.newSocket(address)
	if err != nil {
		return nil, err
	}
	// A restart must not wait for the connections of the process before it, nor a process that takes this
	// one's place for its end. Hazard: without need, two nodes that were given one address by mistake would
	// share its clients in silence.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil && limits.ReusePort {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, addr)
	}
	if err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return l.ListenFD(fd, limits, onAccept)
}

// ListenFD is Listen on a socket that listens already, and which is the Listener's from here on, also if an
// error is returned.
func (l *Loop) ListenFD(fd int, limits Limits, onAccept func(*Conn)) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, limits: limits, onAccept: onAccept}
	var err error
	if ln.id, err = l.register(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.listeners = append(l.listeners, ln)
	return ln, nil
}

// Adopt takes over a connection that another process accepted, while its message is processed.
func (ln *Listener) Adopt(fd int, h Handler) (*Conn, error) {
	c, err := ln.loop.Adopt(fd, h)
	if err != nil {
		return nil, err
	}
	ln.openConns++
	c.listener, c.state, c.lastActivity = ln, stateProcessing, ln.loop.Now()
	return c, nil
}

// FD is the listening socket, to be sent to another process. It stays the Listener's.
func (ln *Listener) FD() int { return ln.fd }

// SetSuspended sets whether connections are left in the kernel's queue, for another process that listens on
// the same socket.
func (ln *Listener) SetSuspended(on bool) {
	ln.suspended = false
	ln.setPaused(on)
	ln.suspended = on
}

// SetLimits sets new limits. Connections and buffers beyond them are kept.
func (ln *Listener) SetLimits(limits Limits) {
	ln.limits = limits
	ln.setPaused(false)
}

// LingeringCount is the number of connections that are being closed: what was written last may still be on
// its way.
func (ln *Listener) LingeringCount() int { return ln.lingering }

// OpenCount is the number of open connections.
func (ln *Listener) OpenCount() int { return ln.openConns }

// AcceptPending accepts what is in the kernel's queue now, rather than at the next event.
func (ln *Listener) AcceptPending() {
	if !ln.suspended && ln.fd >= 0 {
		ln.handleEvents(0)
	}
}

func (ln *Listener) handleEvents(uint32) {
	for range maxAcceptsPerTurn {
		full := ln.openConns >= ln.limits.MaxConnections
		if full && ln.evictionCandidate(nil, evictForConnection) == nil {
			ln.setPaused(true)
			return
		}
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
			ln.accepted(fd, full)
		case errors.Is(err, unix.EAGAIN):
			return
		case isAbortedAccept(err):
		case isResourceExhausted(err) &&
			(ln.evictOne(nil, evictForDescriptor) || ln.loop.freeDescriptor(evictForDescriptor)):
		default:
			// The connection stays in the queue. Some descriptors may be free soon; an error that persists
			// must not spin the loop either.
			ln.setPaused(true)
			ln.loop.After(retryDelay, func() { ln.setPaused(false) })
			return
		}
	}
}

// accepted makes a connection of an accepted socket, and evicts another one for it if the listener is full.
func (ln *Listener) accepted(fd int, full bool) {
	c, err := ln.loop.newConn(fd, false)
	if err != nil {
		_ = ln.loop.system.Close(fd)
		return
	}
	if full {
		ln.evictOne(c, evictForConnection)
	}
	ln.openConns++
	c.listener, c.state, c.lastActivity = ln, stateNew, ln.loop.Now()
	c.startMessageTimer()
	ln.onAccept(c)
}

func (ln *Listener) setPaused(on bool) {
	if ln.paused == on || ln.suspended || ln.fd < 0 {
		return
	}
	ln.paused = on
	ln.updateInterest()
}

// updateInterest has epoll report new connections, or not while the listener is paused.
func (ln *Listener) updateInterest() {
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if ln.paused {
		events = 0
	}
	if ln.loop.system.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, epollEvent(events, ln.id)) != nil {
		ln.loop.After(retryDelay, ln.updateInterest) // hazard: unreported, connections would wait for ever
	}
}

// Close stops listening. Accepted connections stay open.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.sources.Remove(ln.id)
		// Hazard: where another process has the socket open too, closing it here doesn't take it out of the
		// epoll set, which would report it for ever.
		_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}
