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

// lineServer takes a line as a message, and responds at once or, if deferred, when the test calls respond.
type lineServer struct {
	conn       *Conn
	processing bool // a message is being processed
	deferred   bool // respond is called by the test
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

// listenOn listens with the limits on a running loop of its own on the system.
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
	at, err := unix.Getsockname(ln.FD())
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
	return loop, ln, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

// listenLines listens with the limits and has a lineServer for each connection; conns receives them.
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
		t.Fatalf("%s: %q, %v", what, got, err)
	}
}

// runOn runs f on the loop and waits until it returns.
func runOn(loop *Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// There is no room for what a client pipelines: its message that is being processed gets its response all the
// same, and what was pipelined is read after it.
func TestPipelinedInputWaitsWhenBuffersAreFull(t *testing.T) {
	loop, _, address, conns := listenLines(
		t,
		Limits{MaxConnections: 8, MaxBufferBytes: 3000, MessageTimeout: time.Minute},
		true,
	)
	c := dial(t, address)
	fmt.Fprintln(c, "first")
	e := <-conns
	for works := false; !works; runOn(loop, func() { works = e.processing }) {
		time.Sleep(time.Millisecond)
	}
	pipelined := bytes.Repeat([]byte("x"), 2500) // a buffer for it would have 4,096 bytes
	if _, err := c.Write(append(pipelined, '\n')); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-e.closed:
		t.Fatalf("the connection is closed while its message is processed: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	runOn(loop, e.respond)
	requireOK(t, c, "the message that was processed")
}

// The close of a client that has pipelined more than is read is reported all the same.
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
		t.Error("the close is not reported within a second")
	}
}

// A connection comes at the limit, and a request on an idle one has not been read yet: the idle one is not
// evicted.
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
	requireOK(t, c, "the request that had come")
	requireOK(t, second, "the new connection's request")
}

// A connection that is being closed is counted until the peer has closed, too.
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

// What is in the kernel's queue can be accepted within a turn of the loop.
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

// A message comes whole while the loop is blocked, beyond the time by which it had to come: it is read before
// its timer runs.
func TestUnreadInputIsReadBeforeItsTimer(t *testing.T) {
	limits := Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20, MessageTimeout: 100 * time.Millisecond}
	loop, _, address, conns := listenLines(t, limits, false)
	c := dial(t, address)
	<-conns
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	fmt.Fprintln(c, "late, but here")
	time.Sleep(stallTimeout + 100*time.Millisecond) // the message may stall for that long
	close(unblock)
	requireOK(t, c, "the unread message")
}

// More sources are ready than one poll returns, and a timer is due: it runs after all of them are handled.
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
	loop.At(loop.Now(), countUnread) // the loop's goroutine is blocked, and touches nothing meanwhile
	close(unblock)
	if n := <-unread; n > 0 {
		t.Errorf("%d messages are unread when the timer runs", n)
	}
}
