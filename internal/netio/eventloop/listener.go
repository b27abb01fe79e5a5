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
	Connections int // held at a time
	Bytes       int // of their buffers

	Patience time.Duration // for a message to come whole; 0: as for clients
	Share    bool          // another process may listen at the same address
}

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	fd     int
	id     slotmap.ID
	limits Limits
	open   int
	bytes  int // of its connections' buffers
	paused bool
	// lingering are the connections that Finish has begun to end.
	lingering int
	held      bool // paused for good, until Hold says otherwise
	accept    func(*Conn)
}

// Listen accepts on the address. At a limit, a connection that is not worked on is shed
// for the new one; while there is none, further ones wait with the kernel.
func (l *Loop) Listen(address string, limits Limits, accept func(*Conn)) (*Listener, error) {
	fd, addr, err := l.socket(address)
	if err != nil {
		return nil, err
	}
	// A restart must not wait for the connections of the process before it, nor a process
	// that takes this one's place for its end. Hazard: without need, two nodes that were
	// given one address by mistake would share its clients in silence.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil && limits.Share {
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
	return l.ListenOn(fd, limits, accept)
}

// ListenOn accepts on a socket that listens already, and owns it from here on.
func (l *Loop) ListenOn(fd int, limits Limits, accept func(*Conn)) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, limits: limits, accept: accept}
	var err error
	if ln.id, err = l.watch(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.inlets = append(l.inlets, ln)
	return ln, nil
}

// Adopt takes over a connection that another process accepted, with its message worked on.
func (ln *Listener) Adopt(fd int, h Handler) (*Conn, error) {
	c, err := ln.loop.Adopt(fd, h)
	if err != nil {
		return nil, err
	}
	ln.open++
	c.from, c.standing, c.heard = ln, taken, ln.loop.Now()
	return c, nil
}

// FD is the listening socket, to be given to another process.
func (ln *Listener) FD() int { return ln.fd }

// Hold has connections wait with the kernel, for whoever else listens on the same socket,
// or no longer.
func (ln *Listener) Hold(on bool) {
	ln.held = false
	ln.pause(on)
	ln.held = on
}

// Limit sets new limits; what is held beyond them stays.
func (ln *Listener) Limit(limits Limits) {
	ln.limits = limits
	ln.pause(false)
}

// Lingering is the number of connections that are being ended: what was written last may still be on its way.
func (ln *Listener) Lingering() int { return ln.lingering }

// AcceptPending accepts what waits with the kernel now, in place of the next turn of the loop.
func (ln *Listener) AcceptPending() {
	if !ln.held && ln.fd >= 0 {
		ln.ready(0)
	}
}

// Open is the number of connections held.
func (ln *Listener) Open() int { return ln.open }

// purpose is what a connection is ended for.
type purpose uint8

const (
	// forNewcomer: another connection takes its place.
	forNewcomer purpose = iota
	// forDescriptor: descriptors have run out. A first message that lies unread, or is on its way, is spared.
	forDescriptor
)

// newcomer is how long a connection counts as just opened. Hazard: a client whose every connection is ended
// before its request comes is never served.
const newcomer = 100 * time.Millisecond

// least is the connection that is worth least: of the lowest standing, the one that has
// been quiet longest. It is nil if all are worked on, or spared.
//
// Hazard: those who open connections and say nothing, or ask once and stay, keep out
// clients and the next hops' call-backs.
func (ln *Listener) least(but *Conn, why purpose) (least *Conn) {
	now := ln.loop.Now()
	for _, s := range ln.loop.sources.All {
		c, ok := s.(*Conn)
		if ok && c.from == ln && c != but && (least == nil || c.lessThan(least)) && c.sheddable(now, why) {
			least = c
		}
	}
	if why == forDescriptor && least != nil && least.standing == unproven && now-least.began < newcomer {
		return nil // its first message is on its way; nor does one that has proven itself give way to it
	}
	return least
}

// lessThan reports whether a connection is worth less than another.
func (c *Conn) lessThan(other *Conn) bool {
	if c.standing != other.standing {
		return c.standing < other.standing
	}
	return c.heard < other.heard
}

// sheddable reports whether a connection may be ended for the room that it takes.
func (c *Conn) sheddable(now time.Duration, why purpose) bool {
	if c.Unsent() > 0 && now-c.heard < slowest {
		return false // an answer is on its way
	}
	switch c.standing {
	case unproven:
		return why == forNewcomer || !c.Unread()
	case idle:
		return !c.Pending() // hazard: a request that has come, and would be lost unread
	case taken:
		return false
	}
	return true
}

// shed ends the least connection and reports whether there was one.
func (ln *Listener) shed(but *Conn, why purpose) bool {
	c := ln.least(but, why)
	if c != nil {
		c.end(errShed)
	}
	return c != nil
}

// free makes one descriptor free, at whatever listener, and reports whether it could.
func (l *Loop) free(why purpose) bool {
	return slices.ContainsFunc(l.inlets, func(ln *Listener) bool { return ln.shed(nil, why) })
}

// fit makes room for so many bytes, if need be at the cost of other connections.
func (ln *Listener) fit(bytes int, but *Conn) bool {
	for ln.bytes+bytes > ln.limits.Bytes {
		if !ln.shed(but, forNewcomer) {
			return false
		}
	}
	return true
}

func (ln *Listener) ready(uint32) {
	for range 64 { // then others have their turn
		full := ln.open >= ln.limits.Connections
		if full && ln.least(nil, forNewcomer) == nil {
			ln.pause(true)
			return
		}
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return
		case broken(err), scarce(err) && (ln.shed(nil, forDescriptor) || ln.loop.free(forDescriptor)):
			continue // that connection broke before it was taken, or there is room for it now
		default:
			// The connection waits with the kernel. Some descriptors may be free soon; an error that stays
			// must not spin the loop either.
			ln.pause(true)
			ln.loop.After(retryPause, func() { ln.pause(false) })
			return
		}
		c, err := ln.loop.adopt(fd, false)
		if err != nil {
			_ = ln.loop.system.Close(fd)
			continue
		}
		if full {
			ln.shed(c, forNewcomer)
		}
		ln.open++
		c.from, c.standing, c.heard = ln, unproven, ln.loop.Now()
		c.mind()
		ln.accept(c)
	}
}

func (ln *Listener) pause(on bool) {
	if ln.paused == on || ln.held || ln.fd < 0 {
		return
	}
	ln.paused = on
	ln.control()
}

// control tells epoll whether connections are to be reported now.
func (ln *Listener) control() {
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if ln.paused {
		events = 0
	}
	if ln.loop.system.Control(ln.loop.ep, unix.EPOLL_CTL_MOD, ln.fd, event(events, ln.id)) != nil {
		ln.loop.After(retryPause, ln.control) // hazard: unheard of, connections would wait for ever
	}
}

// Close stops listening; connections taken stay.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.sources.Remove(ln.id)
		// Hazard: where another process has the socket too, closing ours doesn't take it out
		// of the epoll set, which would report it for ever.
		_ = unix.EpollCtl(ln.loop.ep, unix.EPOLL_CTL_DEL, ln.fd, nil)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}
