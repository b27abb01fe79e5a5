package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/slotmap"
)

const (
	listenBacklog     = 1024 // connections that the kernel queues until they are accepted
	maxAcceptsPerTurn = 64   // accepts before other event sources are handled
)

// Limits are the limits of a listener and of all its connections together.
type Limits struct {
	MaxConnections int // open connections
	MaxBufferBytes int // sum of the connections' buffer capacities

	MessageTimeout time.Duration // for receiving a complete message; 0: messageTimeout
	ReusePort      bool          // another process may listen on the same address
}

// Listener accepts connections on a socket, within its limits.
type Listener struct {
	loop        *Loop
	fd          int // -1 once closed
	id          slotmap.ID
	limits      Limits
	openConns   int
	bufferBytes int  // sum of the connections' buffer capacities
	lingering   int  // connections that CloseAfterFlush is closing
	paused      bool // nothing is accepted: at a limit, or after an error
	suspended   bool // nothing is accepted until SetSuspended(false)
	onAccept    func(*Conn)
}

// Listen listens on an IPv4 address and port. onAccept is called on the loop for each connection and must set
// its Handler. At the connection limit an existing connection is evicted for the new one; while none may be
// evicted, new ones wait in the kernel's queue. Listen fails if the address is invalid or in use.
func (l *Loop) Listen(address string, limits Limits, onAccept func(*Conn)) (*Listener, error) {
	fd, addr, err := l.newSocket(address)
	if err != nil {
		return nil, err
	}
	// SO_REUSEADDR: a restarted process must not wait for the old process's connections to expire.
	// SO_REUSEPORT: in a hot restart the new process listens before the old one has exited. It is set only
	// on request: otherwise two nodes configured with the same address by mistake would silently share its
	// clients.
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

// ListenFD is like Listen, but uses a socket that is already listening. It takes over ownership of the
// descriptor, even if it returns an error.
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

// Adopt takes over a connection that another process has accepted and whose message is being processed.
func (ln *Listener) Adopt(fd int, h Handler) (*Conn, error) {
	c, err := ln.loop.Adopt(fd, h)
	if err != nil {
		return nil, err
	}
	ln.openConns++
	c.listener, c.state, c.lastActivity = ln, stateProcessing, ln.loop.Now()
	return c, nil
}

// FD returns the listening socket, for sending it to another process. The Listener keeps ownership.
func (ln *Listener) FD() int { return ln.fd }

// SetSuspended sets whether new connections stay in the kernel's queue, for another process that listens on
// the same socket to accept.
func (ln *Listener) SetSuspended(on bool) {
	ln.suspended = false
	ln.setPaused(on)
	ln.suspended = on
}

// SetLimits changes the limits. Open connections and their buffers are kept even if they exceed them.
func (ln *Listener) SetLimits(limits Limits) {
	ln.limits = limits
	ln.setPaused(false)
}

// LingeringCount returns the number of connections that CloseAfterFlush is closing: their last output may not
// have reached the peer yet.
func (ln *Listener) LingeringCount() int { return ln.lingering }

// OpenCount returns the number of open connections.
func (ln *Listener) OpenCount() int { return ln.openConns }

// AcceptPending accepts the connections in the kernel's queue immediately, without waiting for an event.
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
			// The connection stays in the queue. Descriptors may become free soon. The delay also keeps a
			// persistent error from making the loop spin.
			ln.setPaused(true)
			ln.loop.After(retryDelay, func() { ln.setPaused(false) })
			return
		}
	}
}

// accepted sets up a connection on an accepted socket, and evicts another one if the listener was full.
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

// updateInterest makes epoll report new connections, except while the listener is paused.
func (ln *Listener) updateInterest() {
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if ln.paused {
		events = 0
	}
	if ln.loop.system.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, epollEvent(events, ln.id)) != nil {
		ln.loop.After(retryDelay, ln.updateInterest) // otherwise connections could wait forever, unreported
	}
}

// Close stops listening. Accepted connections stay open.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.sources.Remove(ln.id)
		// While another process has the socket open too, closing it here doesn't remove it from the epoll
		// set, which would keep reporting its events.
		_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}
