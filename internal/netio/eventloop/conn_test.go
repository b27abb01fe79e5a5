package eventloop

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/kernel"
)

// echo takes a line as a message, and answers it when the test says so, or at once.
type echo struct {
	conn  *Conn
	works bool // a message is worked on
	slow  bool // it is answered by answer, not at once
	ended chan error
}

func (e *echo) OnConnect(*Conn) {}

func (e *echo) OnData(c *Conn) {
	if e.works || !bytes.ContainsRune(c.Input(), '\n') {
		return
	}
	c.Discard(bytes.IndexByte(c.Input(), '\n') + 1)
	c.BeginProcessing()
	if e.works = true; !e.slow {
		e.answer()
	}
}

func (e *echo) answer() {
	e.works = false
	e.conn.Write([]byte("ok\n"))
	e.conn.EndProcessing()
}

func (e *echo) OnClose(_ *Conn, err error) { e.ended <- err }

// listening has a loop of its own, on the system, accept on an address with the limits.
func listening(t *testing.T, system kernel.System, limits Limits,
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
	over := make(chan error, 1)
	go func() { over <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-over; err != nil {
			t.Error(err)
		}
		ln.Close()
	})
	return loop, ln, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

// inlet listens with the limits on a loop of its own; conns has what was accepted.
func inlet(t *testing.T, limits Limits, slow bool) (loop *Loop, ln *Listener, address string,
	conns chan *echo) {
	t.Helper()
	conns = make(chan *echo, 64)
	loop, ln, address = listening(t, kernel.Linux{}, limits, func(c *Conn) {
		e := &echo{conn: c, slow: slow, ended: make(chan error, 1)}
		c.Handler = e
		conns <- e
	})
	return loop, ln, address, conns
}

func dialed(t *testing.T, address string) stdnet.Conn {
	t.Helper()
	c, err := stdnet.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func wantOK(t *testing.T, c stdnet.Conn, what string) {
	t.Helper()
	var got [3]byte
	if _, err := io.ReadFull(c, got[:]); err != nil || string(got[:]) != "ok\n" {
		t.Fatalf("%s: %q, %v", what, got, err)
	}
}

// on runs f on the loop and waits for it.
func on(loop *Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// There is no room for what a client sends ahead: the message of its that is worked on has its answer all
// the same, and what was sent ahead is answered after it.
func TestNoRoomForWhatIsSentAhead(t *testing.T) {
	loop, _, address, conns := inlet(
		t,
		Limits{MaxConnections: 8, MaxBufferBytes: 3000, MessageTimeout: time.Minute},
		true,
	)
	c := dialed(t, address)
	fmt.Fprintln(c, "first")
	e := <-conns
	for works := false; !works; on(loop, func() { works = e.works }) {
		time.Sleep(time.Millisecond)
	}
	ahead := bytes.Repeat([]byte("x"), 2500) // the room for it would be 4,096
	if _, err := c.Write(append(ahead, '\n')); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-e.ended:
		t.Fatalf("the connection is ended under its message: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	on(loop, e.answer)
	wantOK(t, c, "the message that was worked on")
}

// The end of a client that has sent much ahead is heard, though no more of it is read.
func TestEndBehindMuchSentAhead(t *testing.T) {
	_, _, address, conns := inlet(
		t,
		Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
		true,
	)
	c := dialed(t, address)
	fmt.Fprintln(c, "first")
	e := <-conns
	if _, err := c.Write(bytes.Repeat([]byte("x\n"), (maxUnreadBytes+40_000)/2)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-e.ended:
	case <-time.After(time.Second):
		t.Error("a second after the client closed its connection nobody has heard of it")
	}
}

// A connection comes when there is room for none, and a request on an idle one has not been read yet: the
// idle one is not closed for the new one.
func TestIdleConnectionWithAnUnreadRequestIsKept(t *testing.T) {
	loop, _, address, conns := inlet(
		t,
		Limits{MaxConnections: 1, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
		false,
	)
	c := dialed(t, address)
	fmt.Fprintln(c, "first")
	wantOK(t, c, "the first request")
	<-conns
	held, free := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(held); <-free })
	<-held
	newcomer := dialed(t, address)
	fmt.Fprintln(newcomer, "hello")
	time.Sleep(20 * time.Millisecond) // the loop is told of the newcomer first
	fmt.Fprintln(c, "second")
	time.Sleep(20 * time.Millisecond)
	close(free)
	wantOK(t, c, "the request that had come")
	wantOK(t, newcomer, "the newcomer's")
}

// What is being ended is counted until the peer has closed, too.
func TestLingering(t *testing.T) {
	loop, ln, address, conns := inlet(t, Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20}, false)
	c := dialed(t, address)
	e := <-conns
	lingering := func() (n int) {
		on(loop, func() { n = ln.LingeringCount() })
		return n
	}
	on(loop, e.conn.CloseAfterFlush)
	if n := lingering(); n != 1 {
		t.Errorf("%d connections are being ended, want 1", n)
	}
	c.Close()
	for began := time.Now(); lingering() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Second/2 {
			t.Fatal("still counted after the peer has closed")
		}
	}
}

// What waits with the kernel can be accepted within a turn of the loop.
func TestAcceptPending(t *testing.T) {
	loop, ln, address, conns := inlet(t, Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20}, false)
	held, free := make(chan struct{}), make(chan struct{})
	accepted := make(chan int, 1)
	loop.Post(func() {
		close(held)
		<-free
		ln.AcceptPending()
		accepted <- len(conns)
	})
	<-held
	dialed(t, address)
	close(free)
	if n := <-accepted; n != 1 {
		t.Errorf("%d connections were accepted, want 1", n)
	}
}

// A message comes whole while the loop is held up, beyond the time by which it had to come: it is read first,
// and answered.
func TestWhatHasComeGoesBeforeItsDeadline(t *testing.T) {
	limits := Limits{MaxConnections: 8, MaxBufferBytes: 1 << 20, MessageTimeout: 100 * time.Millisecond}
	loop, _, address, conns := inlet(t, limits, false)
	c := dialed(t, address)
	<-conns
	held, free := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(held); <-free })
	<-held
	fmt.Fprintln(c, "late, but here")
	time.Sleep(stallTimeout + 100*time.Millisecond) // so long nothing need come before the message is overdue
	close(free)
	wantOK(t, c, "the message that lay unread")
}

// More sources are ready than are asked for at a time, and a deadline has passed: it waits for all of them.
func TestManyReadySourcesGoBeforeADeadline(t *testing.T) {
	loop, _, address, conns := inlet(
		t,
		Limits{MaxConnections: 3 * maxEventsPerPoll, MaxBufferBytes: 1 << 20},
		false,
	)
	var peers []stdnet.Conn
	for range 2 * maxEventsPerPoll {
		peers = append(peers, dialed(t, address))
		<-conns
	}
	held, free := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(held); <-free })
	<-held
	for _, c := range peers {
		fmt.Fprintln(c, "hello")
	}
	unread := make(chan int, 1)
	on := func() {
		n := 0
		for _, s := range loop.sources.All {
			if c, ok := s.(*Conn); ok && c.HasUnreadInput() {
				n++
			}
		}
		unread <- n
	}
	loop.At(loop.Now(), on) // the loop's goroutine is held, and touches nothing meanwhile
	close(free)
	if n := <-unread; n > 0 {
		t.Errorf("%d messages lie unread when a deadline that came after them has its turn", n)
	}
}
