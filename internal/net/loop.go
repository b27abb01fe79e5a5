// Package net is the project's network code: one epoll loop that owns every
// socket and every deadline of the program, connections with one buffer each,
// and an HTTP/1.1 parser that takes its input in any pieces.
//
// Everything runs on the goroutine that calls Loop.Run, but for Loop.Post.
package net

import (
	"container/heap"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/net/kernel"
	"moorstack/internal/slots"
)

// Timer is a deadline that hangs in the loop's heap.
type Timer struct {
	loop  *Loop
	at    time.Duration
	index int // in the heap; -1 when it has run or was stopped
	f     func()
}

type deadlines []*Timer

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}
func (d *deadlines) Push(x any) {
	t := x.(*Timer)
	t.index = len(*d)
	*d = append(*d, t)
}
func (d *deadlines) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.index = -1
	return t
}

// source is what epoll reports on: a connection, a listener or the wake-up.
type source interface{ ready(events uint32) }

// Loop is the event loop.
type Loop struct {
	system   kernel.System
	ep, wake int
	sources  slots.Table[source]
	timers   deadlines
	started  time.Time
	origin   time.Duration
	stopped  bool
	inlets   []*Listener
	events   [batch]unix.EpollEvent

	mu     sync.Mutex
	posted []func()
}

// New makes a loop. Its clock counts from the Unix epoch, for start times are
// given so, and goes on by the monotonic clock, so that it never goes back.
func New() (*Loop, error) { return NewOn(kernel.Linux{}) }

// NewOn is New with another system in the kernel's place.
func NewOn(system kernel.System) (*Loop, error) {
	now := time.Now()
	l := &Loop{system: system, started: now, origin: time.Duration(now.UnixNano())}
	var err error
	if l.ep, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	_, err = l.watch(l.wake, unix.EPOLLIN, waker{l})
	return l, err
}

// Now is the loop's clock.
func (l *Loop) Now() time.Duration { return l.origin + time.Since(l.started) }

// At runs f at the given time, never before At has returned.
func (l *Loop) At(at time.Duration, f func()) *Timer {
	t := &Timer{loop: l, at: at, f: f}
	heap.Push(&l.timers, t)
	return t
}

// After runs f after d.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop takes the timer out. One that has run, or is nil, is left alone.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// Post runs f on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// It can only fail when the counter is full, and then the loop wakes anyway.
	_, _ = unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

type waker struct{ l *Loop }

func (w waker) ready(uint32) {
	var count [8]byte
	_, _ = unix.Read(w.l.wake, count[:])
	w.l.mu.Lock()
	fs := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range fs {
		f()
	}
}

// Stop ends Run.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
//
// Hazard: the process is held up, and an answer or a request lies unread when a deadline for it has passed.
// So whatever had come by the time at which deadlines are judged is taken before them.
func (l *Loop) Run() error {
	for !l.stopped {
		if err := l.poll(l.wait()); err != nil {
			return err
		}
		now := l.Now()
		if !l.due(now) {
			continue
		}
		if err := l.poll(0); err != nil {
			return err
		}
		for l.due(now) && !l.stopped {
			heap.Pop(&l.timers).(*Timer).f()
		}
	}
	return nil
}

// due reports whether the first deadline has come by the given time.
func (l *Loop) due(now time.Duration) bool { return len(l.timers) > 0 && l.timers[0].at <= now }

const (
	batch     = 128 // events that are asked for at a time
	mostPolls = 8   // how often more are asked for before deadlines have their turn
)

// poll waits so many milliseconds for events, and has their sources take them, with all that wait already.
func (l *Loop) poll(wait int) error {
	for range mostPolls {
		n, err := l.system.Wait(l.ep, l.events[:], wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll: %w", err)
		}
		for i := range max(n, 0) {
			l.take(&l.events[i])
		}
		if n < len(l.events) || l.stopped {
			return nil
		}
		wait = 0
	}
	return nil
}

// take has the source of an event take it.
func (l *Loop) take(e *unix.EpollEvent) {
	// An earlier event of this batch may have closed what this one is about, and its slot may be in use
	// again: then the generation misses.
	if s, ok := l.sources.Get(slots.Of(uint32(e.Fd), uint32(e.Pad))); ok {
		s.ready(e.Events)
	}
}

// wait is how long epoll may sleep, in milliseconds, rounded up so as not to spin.
func (l *Loop) wait() int {
	if len(l.timers) == 0 {
		return -1
	}
	left := l.timers[0].at - l.Now()
	return int(min(max(left+time.Millisecond-1, 0)/time.Millisecond, 60_000))
}

func event(events uint32, id slots.ID) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(id.Index()), Pad: int32(id.Generation())}
}

func (l *Loop) watch(fd int, events uint32, s source) (slots.ID, error) {
	id := l.sources.Add(s)
	if err := l.system.Control(l.ep, unix.EPOLL_CTL_ADD, fd, event(events, id)); err != nil {
		l.sources.Remove(id)
		return 0, fmt.Errorf("epoll: %w", err)
	}
	return id, nil
}

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
	id     slots.ID
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

// socket makes a socket for the address, to be bound or connected.
func (l *Loop) socket(address string) (int, unix.Sockaddr, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return -1, nil, fmt.Errorf("address %q: %w", address, err)
	}
	if !ap.Addr().Unmap().Is4() {
		return -1, nil, fmt.Errorf("address %q: only IPv4 is spoken", address)
	}
	fd, err := l.system.Socket()
	if err != nil {
		return -1, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().Unmap().As4()}, nil
}
