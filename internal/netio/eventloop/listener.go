package eventloop

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/slotmap"
)

// Limits are what a listener's connections may take together.
type Limits struct {
	MaxConnections int // held at a time
	MaxBufferBytes int // of their buffers

	MessageTimeout time.Duration // for a message to come whole; 0: as for clients
	ReusePort      bool          // another process may listen at the same address
}

// Listener accepts connections.
type Listener struct {
	loop        *Loop
	fd          int
	id          slotmap.ID
	limits      Limits
	openConns   int
	bufferBytes int // of its connections' buffers
	paused      bool
	// lingering are the connections that Finish has begun to end.
	lingering int
	suspended bool // paused for good, until Hold says otherwise
	onAccept  func(*Conn)
}

// Listen accepts on the address. At a limit, a connection that is not worked on is shed
// for the new one; while there is none, further ones wait with the kernel.
func (l *Loop) Listen(address string, limits Limits, accept func(*Conn)) (*Listener, error) {
	fd, addr, err := l.newSocket(address)
	if err != nil {
		return nil, err
	}
	// A restart must not wait for the connections of the process before it, nor a process
	// that takes this one's place for its end. Hazard: without need, two nodes that were
	// given one address by mistake would share its clients in silence.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil && limits.ReusePort {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, addr)
	}
	if err == nil {
		err = unix.Listen(fd, 1024)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return l.ListenFD(fd, limits, accept)
}

// ListenFD accepts on a socket that listens already, and owns it from here on.
func (l *Loop) ListenFD(fd int, limits Limits, accept func(*Conn)) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, limits: limits, onAccept: accept}
	var err error
	if ln.id, err = l.register(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.listeners = append(l.listeners, ln)
	return ln, nil
}

// Adopt takes over a connection that another process accepted, with its message worked on.
func (ln *Listener) Adopt(fd int, h Handler) (*Conn, error) {
	c, err := ln.loop.Adopt(fd, h)
	if err != nil {
		return nil, err
	}
	ln.openConns++
	c.listener, c.state, c.lastActivity = ln, stateProcessing, ln.loop.Now()
	return c, nil
}

// FD is the listening socket, to be given to another process.
func (ln *Listener) FD() int { return ln.fd }

// SetSuspended has connections wait with the kernel, for whoever else listens on the same socket,
// or no longer.
func (ln *Listener) SetSuspended(on bool) {
	ln.suspended = false
	ln.setPaused(on)
	ln.suspended = on
}

// SetLimits sets new limits; what is held beyond them stays.
func (ln *Listener) SetLimits(limits Limits) {
	ln.limits = limits
	ln.setPaused(false)
}

// LingeringCount is the number of connections that are being ended: what was written last may still be on
// its way.
func (ln *Listener) LingeringCount() int { return ln.lingering }

// AcceptPending accepts what waits with the kernel now, in place of the next turn of the loop.
func (ln *Listener) AcceptPending() {
	if !ln.suspended && ln.fd >= 0 {
		ln.handleEvents(0)
	}
}

// OpenCount is the number of connections held.
func (ln *Listener) OpenCount() int { return ln.openConns }

// evictionReason is what a connection is ended for.
type evictionReason uint8

const (
	// evictForConnection: another connection takes its place.
	evictForConnection evictionReason = iota
	// evictForDescriptor: descriptors have run out. A first message that lies unread, or is on its way, is
	// spared.
	evictForDescriptor
)

// newConnGrace is how long a connection counts as just opened. Hazard: a client whose every connection is
// ended before its request comes is never served.
const newConnGrace = 100 * time.Millisecond

// evictionCandidate is the connection that is worth least: of the lowest standing, the one that has
// been quiet longest. It is nil if all are worked on, or spared.
//
// Hazard: those who open connections and say nothing, or ask once and stay, keep out
// clients and the next hops' call-backs.
func (ln *Listener) evictionCandidate(but *Conn, why evictionReason) (least *Conn) {
	now := ln.loop.Now()
	for _, s := range ln.loop.sources.All {
		c, ok := s.(*Conn)
		if ok && c.listener == ln && c != but && (least == nil || c.evictedBefore(least)) &&
			c.evictable(now, why) {
			least = c
		}
	}
	if why == evictForDescriptor && least != nil && least.state == stateNew &&
		now-least.messageStart < newConnGrace {
		return nil // its first message is on its way; nor does one that has proven itself give way to it
	}
	return least
}

// evictedBefore reports whether a connection is worth less than another.
func (c *Conn) evictedBefore(other *Conn) bool {
	if c.state != other.state {
		return c.state < other.state
	}
	return c.lastActivity < other.lastActivity
}

// evictable reports whether a connection may be ended for the room that it takes.
func (c *Conn) evictable(now time.Duration, why evictionReason) bool {
	if c.UnsentBytes() > 0 && now-c.lastActivity < maxMessageTime {
		return false // an answer is on its way
	}
	switch c.state {
	case stateNew:
		return why == evictForConnection || !c.HasUnreadInput()
	case stateIdle:
		return !c.HasPendingInput() // hazard: a request that has come, and would be lost unread
	case stateProcessing:
		return false
	}
	return true
}

// evictOne ends the least connection and reports whether there was one.
func (ln *Listener) evictOne(but *Conn, why evictionReason) bool {
	c := ln.evictionCandidate(but, why)
	if c != nil {
		c.terminate(errEvicted)
	}
	return c != nil
}

// freeDescriptor makes one descriptor free, at whatever listener, and reports whether it could.
func (l *Loop) freeDescriptor(why evictionReason) bool {
	return slices.ContainsFunc(l.listeners, func(ln *Listener) bool { return ln.evictOne(nil, why) })
}

// reserveBuffer makes room for so many bytes, if need be at the cost of other connections.
func (ln *Listener) reserveBuffer(bytes int, but *Conn) bool {
	for ln.bufferBytes+bytes > ln.limits.MaxBufferBytes {
		if !ln.evictOne(but, evictForConnection) {
			return false
		}
	}
	return true
}

func (ln *Listener) handleEvents(uint32) {
	for range 64 { // then others have their turn
		full := ln.openConns >= ln.limits.MaxConnections
		if full && ln.evictionCandidate(nil, evictForConnection) == nil {
			ln.setPaused(true)
			return
		}
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return
		case isAbortedAccept(err),
			isResourceExhausted(err) && (ln.evictOne(nil, evictForDescriptor) ||
				ln.loop.freeDescriptor(evictForDescriptor)):
			continue // that connection broke before it was taken, or there is room for it now
		default:
			// The connection waits with the kernel. Some descriptors may be free soon; an error that stays
			// must not spin the loop either.
			ln.setPaused(true)
			ln.loop.After(retryDelay, func() { ln.setPaused(false) })
			return
		}
		c, err := ln.loop.newConn(fd, false)
		if err != nil {
			_ = ln.loop.system.Close(fd)
			continue
		}
		if full {
			ln.evictOne(c, evictForConnection)
		}
		ln.openConns++
		c.listener, c.state, c.lastActivity = ln, stateNew, ln.loop.Now()
		c.startMessageTimer()
		ln.onAccept(c)
	}
}

func (ln *Listener) setPaused(on bool) {
	if ln.paused == on || ln.suspended || ln.fd < 0 {
		return
	}
	ln.paused = on
	ln.updateInterest()
}

// updateInterest tells epoll whether connections are to be reported now.
func (ln *Listener) updateInterest() {
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if ln.paused {
		events = 0
	}
	if ln.loop.system.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, epollEvent(events, ln.id)) != nil {
		ln.loop.After(retryDelay, ln.updateInterest) // hazard: unheard of, connections would wait for ever
	}
}

// Close stops listening; connections taken stay.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.sources.Remove(ln.id)
		// Hazard: where another process has the socket too, closing ours doesn't take it out
		// of the epoll set, which would report it for ever.
		_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}
