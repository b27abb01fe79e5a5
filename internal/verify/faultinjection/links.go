package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// path identifies the bytes that one instance sends to another.
type path struct{ from, to string }

func (p path) reverse() path { return path{p.to, p.from} }

// pathState holds the faults of a path. They apply to all connections between the two instances,
// regardless of which one opened it.
type pathState struct {
	cut       bool          // data is held back, and neither side gets an error
	refuse    bool          // new connections are reset
	delay     time.Duration // of each chunk; the actual delay is between this and twice this
	bandwidth int           // bytes per second; 0: unlimited
}

// Links carries all traffic between instances. Each instance is reached through a forwarder, which
// identifies the instance that opened a connection by its source address. The methods are safe for
// concurrent use.
type Links struct {
	mu          sync.Mutex
	changed     *sync.Cond
	paths       map[path]pathState
	names       map[netip.Addr]string
	connections map[*connection]bool
	listeners   []net.Listener
	closed      bool
}

// connection is a forwarded connection: its two ends, and the path from the instance that opened it
// to the instance that accepted it.
type connection struct {
	path
	inbound, outbound net.Conn
	halfOpen          bool // data is read and never forwarded
}

func (c *connection) reset() {
	resetConn(c.inbound)
	resetConn(c.outbound)
}

func (c *connection) close() {
	c.inbound.Close()
	c.outbound.Close()
}

// resetConn closes a connection with an RST, so that the other side notices at once.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

const (
	// dialTimeout bounds the dialing of an instance by its forwarder.
	dialTimeout = time.Second
	// chunkBytes is the most bytes that are forwarded, and delayed, at once.
	chunkBytes = 32 << 10
)

// NewLinks returns links without faults and without forwarders.
func NewLinks() *Links {
	l := &Links{
		paths:       map[path]pathState{},
		names:       map[netip.Addr]string{},
		connections: map[*connection]bool{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// AddForwarder opens the forwarder of an instance that listens on target and dials from the source
// address from. It returns the address where other instances reach it.
func (l *Links) AddForwarder(name string, from netip.Addr, target string) (string, error) {
	s, err := net.Listen("tcp", net.JoinHostPort(from.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("listening for the forwarder of %s: %w", name, err)
	}
	l.mu.Lock()
	l.names[from] = name
	l.listeners = append(l.listeners, s)
	l.mu.Unlock()
	go l.accept(s, name, target)
	return s.Addr().String(), nil
}

// Cut holds back all data from one instance to another until Heal.
func (l *Links) Cut(from, to string) { l.updatePath(from, to, func(w *pathState) { w.cut = true }) }

// accept forwards connections until the listener is closed.
func (l *Links) accept(s net.Listener, to, target string) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		remote, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		l.mu.Lock()
		p := path{l.names[remote.Addr().Unmap()], to}
		refused := l.closed || l.paths[p].refuse
		l.mu.Unlock()
		if refused {
			resetConn(c)
			continue
		}
		go l.connect(c, p, target)
	}
}

// connect dials the target for an accepted connection and starts to forward in both directions.
func (l *Links) connect(inbound net.Conn, p path, target string) {
	c := &connection{path: p, inbound: inbound}
	// While either direction is cut, the handshake can't complete.
	if !l.awaitPath(c, p) || !l.awaitPath(c, p.reverse()) {
		inbound.Close()
		return
	}
	outbound, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetConn(inbound)
		return
	}
	c.outbound = outbound
	l.mu.Lock()
	l.connections[c] = true
	l.mu.Unlock()
	go l.relay(c, inbound, outbound, p)
	go l.relay(c, outbound, inbound, p.reverse())
}

// awaitPath waits until the path is not cut and the connection is not half-open. It reports whether
// the links are still open.
func (l *Links) awaitPath(c *connection, p path) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (c.halfOpen || l.paths[p].cut) {
		l.changed.Wait()
	}
	return !l.closed
}

// relay forwards bytes along a path until either end is closed. Data that a cut holds back is
// delivered when the cut ends, like data that TCP retransmits.
func (l *Links) relay(c *connection, in, out net.Conn, p path) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := in.Read(buf)
		if n > 0 && !l.forward(c, out, p, buf[:n]) || err != nil {
			break
		}
	}
	l.awaitPath(c, p) // a cut also holds back the closing of a connection
	c.close()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forward writes a chunk, subject to the faults of the path, and reports whether it was written.
func (l *Links) forward(c *connection, out net.Conn, p path, chunk []byte) bool {
	l.mu.Lock()
	state := l.paths[p]
	l.mu.Unlock()
	if state.delay > 0 {
		time.Sleep(state.delay + rand.N(state.delay))
	}
	if state.bandwidth > 0 {
		time.Sleep(time.Duration(len(chunk)) * time.Second / time.Duration(state.bandwidth))
	}
	if !l.awaitPath(c, p) {
		return false
	}
	_, err := out.Write(chunk)
	return err == nil
}

// updatePath applies a change to the faults of the path from one instance to another.
func (l *Links) updatePath(from, to string, change func(*pathState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.paths[path{from, to}]
	change(&state)
	l.paths[path{from, to}] = state
	l.changed.Broadcast()
}

// Reset resets all connections between two instances.
func (l *Links) Reset(a, b string) { l.eachConnection(a, b, (*connection).reset) }

// HalfOpen stops all data on the existing connections between two instances, until Heal resets them.
// New connections are not affected.
func (l *Links) HalfOpen(a, b string) {
	l.eachConnection(a, b, func(c *connection) { c.halfOpen = true })
}

func (l *Links) eachConnection(a, b string, do func(*connection)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	between := path{a, b}
	for c := range l.connections {
		if c.path == between || c.path == between.reverse() {
			do(c)
		}
	}
}

// Heal ends all faults and resets half-open connections.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.paths)
	for c := range l.connections {
		if c.halfOpen {
			c.reset()
			c.halfOpen = false
		}
	}
	l.changed.Broadcast()
}

// Close closes all listeners and connections, which ends their goroutines.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, s := range l.listeners {
		s.Close()
	}
	for c := range l.connections {
		c.close()
	}
	l.changed.Broadcast()
}
