package eventloop

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/kernel"
)

// lineServer treats each line as a message. It responds immediately or, if deferred, when the test calls
// respond.
type lineServer struct {
	conn       *Conn
	processing bool // a message is being processed
	deferred   bool // the test calls respond
	closed     chan error
}

func (e *lineServer) OnConnect(*Conn) {}

func (e *lineServer) OnData(c *Conn) {
	if e.processing || !bytes.ContainsRune(c.Input(), '\n') {
		return
	}
	c.Discard(bytes.IndexByte(c.Input(), '\n') + 1)
	c.BeginProcessing()
	if e.processing = true; !e.deferred {
		e.respond()
	}
}

func (e *lineServer) respond() {
	e.processing = false
	e.conn.Write([]byte("ok\n"))
	e.conn.EndProcessing()
}

func (e *lineServer) OnClose(_ *Conn, err error) { e.closed <- err }

// listenOn starts a loop on the system and listens on it with the limits.
func listenOn(t *testing.T, system kernel.System, limits Limits,
	accept func(*Conn)) (loop *Loop, ln *Listener, address string) {
	t.Helper()
	loop, err := NewWithSystem(system)
	if err != nil {
		t.Fatal(err)
	}
	ln, err = loop.Listen("127.0.0.1:0", limits, accept)
	if err != nil {
		t.Fatal(err)
	}
	sockaddr, err := unix.Getsockname(ln.FD())
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		ln.Close()
	})
	return loop, ln, fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port)
}

// listenLines listens with the limits and serves each connection with a lineServer, which it sends to conns.
func listenLines(t *testing.T, limits Limits, deferred bool) (loop *Loop, ln *Listener, address string,
	conns chan *lineServer) {
	t.Helper()
	conns = make(chan *lineServer, 64)
	loop, ln, address = listenOn(t, kernel.Linux{}, limits, func(c *Conn) {
		e := &lineServer{conn: c, deferred: deferred, closed: make(chan error, 1)}
		c.Handler = e
		conns <- e
	})
	return loop, ln, address, conns
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func requireOK(t *testing.T, c net.Conn, what string) {
	t.Helper()
	var got [3]byte
	if _, err := io.ReadFull(c, got[:]); err != nil || string(got[:]) != "ok\n" {
		t.Fatalf("%s: got %q and error %v, want ok", what, got, err)
	}
}

// runOn runs f on the loop and waits until it returns.
func runOn(loop *Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// Without buffer space for pipelined input, the message being processed must still get its response. The
// pipelined input is read afterwards.
func TestPipelinedInputWaitsWhenBuffersAreFull(t *testing.T) {
	loop, _, address, conns := listenLines(
		t,
		Limits{MaxConnections: 8, MaxBufferBytes: 3000, MessageTimeout: time.Minute},
		true,
	)
	c := dial(t, address)
	fmt.Fprintln(c, "first")
	e := <-conns
	for processing := false; !processing; runOn(loop, func() { processing = e.processing }) {
		time.Sleep(time.Millisecond)
	}
	pipelined := bytes.Repeat([]byte("x"), 2500) // needs a buffer of 4,096 bytes, above MaxBufferBytes
	if _, err := c.Write(append(pipelined, '\n')); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-e.closed:
		t.Fatalf("the connection was closed while its message was being processed: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	runOn(loop, e.respond)
	requireOK(t, c, "the message that was processed")
}

// A close is reported even if the client has pipelined more input than the connection reads.
func TestCloseBehindFullInputIsReported(t *testing.T) {
	_, _, address, conns := listenLines(
		t,
		Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
		true,
	)
	c := dial(t, address)
	fmt.Fprintln(c, "first")
	e := <-conns
	if _, err := c.Write(bytes.Repeat([]byte("x\n"), (maxUnreadBytes+40_000)/2)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-e.closed:
	case <-time.After(time.Second):
		t.Error("the close was not reported within a second")
	}
}

// A new connection arrives at the limit while an idle connection has an unread request: the idle one must not
// be evicted, because its request would be lost.
func TestIdleConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	loop, _, address, conns := listenLines(
		t,
		Limits{MaxConnections: 1, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
		false,
	)
	c := dial(t, address)
	fmt.Fprintln(c, "first")
	requireOK(t, c, "the first request")
	<-conns
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	second := dial(t, address)
	fmt.Fprintln(second, "hello")
	time.Sleep(20 * time.Millisecond) // the loop gets the event of the new connection first
	fmt.Fprintln(c, "second")
	time.Sleep(20 * time.Millisecond)
	close(unblock)
	requireOK(t, c, "the unread request")
	requireOK(t, second, "the new connection's request")
}

// A connection that is being closed is counted as lingering until the peer has closed too.
func TestLingeringConnectionsAreCountedUntilPeerCloses(t *testing.T) {
	loop, ln, address, conns := listenLines(t, Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20}, false)
	c := dial(t, address)
	e := <-conns
	lingering := func() (n int) {
		runOn(loop, func() { n = ln.LingeringCount() })
		return n
	}
	runOn(loop, e.conn.CloseAfterFlush)
	if n := lingering(); n != 1 {
		t.Errorf("%d connections are lingering, want 1", n)
	}
	c.Close()
	for began := time.Now(); lingering() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Second/2 {
			t.Fatal("still counted after the peer has closed")
		}
	}
}

// AcceptPending accepts queued connections within the current turn of the loop.
func TestAcceptPendingAcceptsWithinTurn(t *testing.T) {
	loop, ln, address, conns := listenLines(t, Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20}, false)
	blocked, unblock := make(chan struct{}), make(chan struct{})
	accepted := make(chan int, 1)
	loop.Post(func() {
		close(blocked)
		<-unblock
		ln.AcceptPending()
		accepted <- len(conns)
	})
	<-blocked
	dial(t, address)
	close(unblock)
	if n := <-accepted; n != 1 {
		t.Errorf("%d connections were accepted, want 1", n)
	}
}

// A complete message arrives while the loop is blocked until after the message timeout: it must be read
// before its timer runs, or the connection would be closed although the message arrived in time.
func TestUnreadInputIsReadBeforeItsTimer(t *testing.T) {
	limits := Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20, MessageTimeout: 100 * time.Millisecond}
	loop, _, address, conns := listenLines(t, limits, false)
	c := dial(t, address)
	<-conns
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	fmt.Fprintln(c, "arrived in time")
	time.Sleep(stallTimeout + 100*time.Millisecond) // messageTimerFired allows this pause after the last read
	close(unblock)
	requireOK(t, c, "the unread message")
}

// If more sources are ready than one poll returns, a due timer must still run after all of them are handled.
func TestAllReadySourcesAreHandledBeforeTimers(t *testing.T) {
	loop, _, address, conns := listenLines(
		t,
		Limits{MaxConnections: 3 * maxEventsPerPoll, MaxBufferBytes: 1 << 20},
		false,
	)
	var peers []net.Conn
	for range 2 * maxEventsPerPoll {
		peers = append(peers, dial(t, address))
		<-conns
	}
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	for _, c := range peers {
		fmt.Fprintln(c, "hello")
	}
	unread := make(chan int, 1)
	countUnread := func() {
		n := 0
		for _, s := range loop.sources.All {
			if c, ok := s.(*Conn); ok && c.HasUnreadInput() {
				n++
			}
		}
		unread <- n
	}
	loop.At(loop.Now(), countUnread) // safe: the loop's goroutine is blocked
	close(unblock)
	if n := <-unread; n > 0 {
		t.Errorf("%d messages were unread when the timer ran, want none", n)
	}
}
