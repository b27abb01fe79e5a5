package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// pathState is how bytes fare from one instance to another, over all connections between the two,
// whoever opened them.
type pathState struct {
	cut       bool          // nothing gets through, and nobody is told
	refuse    bool          // new connections are closed at once
	delay     time.Duration // of each piece, and up to as much again
	bandwidth int           // bytes a second; 0: any
}

// Links carries everything between instances. In front of each stands a forwarder, which
// knows by the source address who calls.
type Links struct {
	mu          sync.Mutex
	changed     *sync.Cond
	paths       map[[2]string]pathState // from, to
	names       map[netip.Addr]string
	connections map[*connection]bool
	listeners   []net.Listener
	closed      bool
}

// connection is a connection that is carried: its two ends, and who has opened it.
type connection struct {
	dialer, acceptor  string
	inbound, outbound net.Conn
	halfOpen          bool // half-open: what comes is taken and goes nowhere, for good
}

// NewLinks makes links without faults.
func NewLinks() *Links {
	l := &Links{
		paths:       map[[2]string]pathState{},
		names:       map[netip.Addr]string{},
		connections: map[*connection]bool{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// AddForwarder opens the forwarder in front of an instance, which calls from an address of its own,
// and gives where others reach it.
func (l *Links) AddForwarder(name string, from netip.Addr, listens string) (string, error) {
	s, err := net.Listen("tcp", net.JoinHostPort(from.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("the forwarder of %s: %w", name, err)
	}
	l.mu.Lock()
	l.names[from] = name
	l.listeners = append(l.listeners, s)
	l.mu.Unlock()
	go l.accept(s, name, listens)
	return s.Addr().String(), nil
}

// Cut has nothing get through from one instance to another, until Heal.
func (l *Links) Cut(from, to string) { l.updatePath(from, to, func(w *pathState) { w.cut = true }) }

func (l *Links) accept(s net.Listener, to, listens string) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		at, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		l.mu.Lock()
		from := l.names[at.Addr().Unmap()]
		refused := l.closed || l.paths[[2]string{from, to}].refuse
		l.mu.Unlock()
		if refused {
			reset(c)
			continue
		}
		go l.connect(c, from, to, listens)
	}
}

func (l *Links) connect(c net.Conn, from, to, listens string) {
	// A cut way answers no call either.
	if !l.awaitPath(&connection{dialer: from, acceptor: to}, from, to) ||
		!l.awaitPath(&connection{dialer: from, acceptor: to}, to, from) {
		c.Close()
		return
	}
	d, err := net.DialTimeout("tcp", listens, time.Second)
	if err != nil {
		reset(c)
		return
	}
	w := &connection{dialer: from, acceptor: to, inbound: c, outbound: d}
	l.mu.Lock()
	l.connections[w] = true
	l.mu.Unlock()
	go l.relay(w, c, d, from, to)
	go l.relay(w, d, c, to, from)
}

// awaitPath waits until a way is not cut, and says whether it still matters.
func (l *Links) awaitPath(w *connection, from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (w.halfOpen || l.paths[[2]string{from, to}].cut) {
		l.changed.Wait()
	}
	return !l.closed
}

// relay takes bytes from one end to the other. What a cut holds back comes when it ends, as
// with what TCP sends again.
func (l *Links) relay(w *connection, in, out net.Conn, from, to string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			l.mu.Lock()
			way := l.paths[[2]string{from, to}]
			l.mu.Unlock()
			if way.delay > 0 {
				time.Sleep(way.delay + rand.N(way.delay))
			}
			if way.bandwidth > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(way.bandwidth))
			}
			if !l.awaitPath(w, from, to) {
				break
			}
			if _, bad := out.Write(buf[:n]); bad != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	l.awaitPath(w, from, to) // an end is a message, too
	w.inbound.Close()
	w.outbound.Close()
	l.mu.Lock()
	delete(l.connections, w)
	l.mu.Unlock()
}

// reset ends a connection so that the other side is told at once.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Set changes how bytes fare from one instance to another.
func (l *Links) updatePath(from, to string, change func(*pathState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.paths[[2]string{from, to}]
	change(&w)
	l.paths[[2]string{from, to}] = w
	l.changed.Broadcast()
}

// Reset ends all connections between two instances.
func (l *Links) Reset(a, b string) {
	l.eachConnection(a, b, func(w *connection) { reset(w.inbound); reset(w.outbound) })
}

// HalfOpen has the connections that stand between two instances lead nowhere from now on.
// New ones do.
func (l *Links) HalfOpen(a, b string) {
	l.eachConnection(a, b, func(w *connection) { w.halfOpen = true })
}

func (l *Links) eachConnection(a, b string, f func(*connection)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.connections {
		if w.dialer == a && w.acceptor == b || w.dialer == b && w.acceptor == a {
			f(w)
		}
	}
}

// Heal ends all faults.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.paths)
	for w := range l.connections {
		if w.halfOpen {
			reset(w.inbound)
			reset(w.outbound)
			w.halfOpen = false
		}
	}
	l.changed.Broadcast()
}

// Close ends everything.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, s := range l.listeners {
		s.Close()
	}
	for w := range l.connections {
		w.inbound.Close()
		w.outbound.Close()
	}
	l.changed.Broadcast()
}
