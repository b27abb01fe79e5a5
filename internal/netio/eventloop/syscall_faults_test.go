package eventloop

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/faultnet"
)

// immediateLineServer responds to each line as soon as it is received.
type immediateLineServer struct{}

func (immediateLineServer) OnConnect(*Conn)      {}
func (immediateLineServer) OnClose(*Conn, error) {}
func (immediateLineServer) OnData(c *Conn) {
	for i := bytes.IndexByte(c.Input(), '\n'); i >= 0; i = bytes.IndexByte(c.Input(), '\n') {
		c.Discard(i + 1)
		c.BeginProcessing()
		c.Write([]byte("ok\n"))
		c.EndProcessing()
	}
}

// listenFaulty serves lines on a system whose calls can fail.
func listenFaulty(t *testing.T, system *faultnet.System, limits Limits) (loop *Loop, address string) {
	t.Helper()
	loop, _, address = listenOn(t, system, limits, func(c *Conn) { c.Handler = immediateLineServer{} })
	return loop, address
}

// requireExchanges makes clients send lines, some in pieces and some pipelined, and fails the test unless
// each line gets its response.
func requireExchanges(t *testing.T, address string) {
	t.Helper()
	for i := range 8 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		in := bufio.NewReader(c)
		for j := range 6 {
			fmt.Fprintf(c, "line %d", i)
			fmt.Fprintf(c, " of %d\npipelined\n", j)
			for range 2 {
				if line, err := in.ReadString('\n'); err != nil || line != "ok\n" {
					t.Fatalf("client %d, line %d: got %q and error %v, want ok", i, j, line, err)
				}
			}
		}
		c.Close()
	}
}

// openDescriptors returns the number of descriptors that this process has open.
func openDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Calls are interrupted, or fail because the kernel is temporarily out of a resource: every message must
// still get its response, and no descriptor may leak.
func TestTransientSystemCallFailures(t *testing.T) {
	for call, failures := range map[faultnet.Syscall][]error{
		faultnet.Accept: {unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
			unix.EPROTO, unix.EPERM, unix.EHOSTUNREACH, unix.EAGAIN, unix.EIO},
		faultnet.EpollWait: {unix.EINTR},
		faultnet.EpollCtl:  {unix.ENOMEM},
		faultnet.Read:      {unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Write:     {unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Peek:      {unix.EINTR, unix.EAGAIN, unix.ENOMEM},
		faultnet.Shutdown:  {unix.ENOTCONN, unix.ENOBUFS},
		faultnet.Close:     {unix.EINTR, unix.EIO},
	} {
		for _, err := range failures {
			t.Run(fmt.Sprintf("%s %v", call, err), func(t *testing.T) {
				system := faultnet.New(nil)
				_, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
				requireExchanges(t, address)
				before := awaitClosed(t, system)
				system.SetScript(faultnet.FailSometimes(call, err))
				requireExchanges(t, address)
				if after := awaitClosed(t, system); after > before {
					t.Errorf("%d descriptors are open, want at most the %d from before", after, before)
				}
			})
		}
	}
}

// epoll_ctl fails just when a change of the reported events is needed: for a connection with pending output,
// and for a paused listener.
func TestEpollCtlFailures(t *testing.T) {
	for call, err := range map[faultnet.Syscall]error{faultnet.Write: unix.EAGAIN,
		faultnet.Accept: unix.EIO} {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			failing := faultnet.FailSometimes(call, err)
			changes := faultnet.FailSometimes(faultnet.EpollCtl, unix.ENOMEM)
			system := faultnet.New(func(made faultnet.Syscall, n int) error {
				return cmp.Or(failing(made, n), changes(made, n))
			})
			_, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
			requireExchanges(t, address)
		})
	}
}

// A peek at unread input that is interrupted by a signal is repeated.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	system := faultnet.New(faultnet.FailSometimes(faultnet.Peek, unix.EINTR))
	loop, _ := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var c *Conn
	runOn(loop, func() { c, err = loop.Dial(peer.Addr().String(), immediateLineServer{}) })
	if err != nil {
		t.Fatal(err)
	}
	other, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	runOn(loop, func() {
		fmt.Fprint(other, "unread")
		if !c.HasUnreadInput() {
			t.Error("unread input was not seen")
		}
		c.Close()
	})
}

// awaitClosed waits until the connections of disconnected clients are closed, and returns the number of open
// descriptors.
func awaitClosed(t *testing.T, system *faultnet.System) int {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		open := system.OpenConns()
		if open == 0 {
			return openDescriptors(t)
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%d connections are still open after 5 s, want none", open)
		}
	}
}

// A call that keeps failing is repeated only after a delay.
func TestPersistentFailuresDoNotSpin(t *testing.T) {
	for call, err := range map[faultnet.Syscall]error{faultnet.Accept: unix.EIO, faultnet.Read: unix.ENOMEM,
		faultnet.Write: unix.ENOBUFS} {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			system := faultnet.New(nil)
			limits := Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute}
			_, address := listenFaulty(t, system, limits)
			c := dial(t, address)
			fmt.Fprintln(c, "before")
			requireOK(t, c, "before")
			system.SetScript(func(made faultnet.Syscall, _ int) error {
				if made == call {
					return err
				}
				return nil
			})
			other := dial(t, address)
			fmt.Fprintln(other, "while")
			fmt.Fprintln(c, "while")
			time.Sleep(10 * retryDelay)
			if n := system.CallCount(faultnet.EpollWait); n > 200 {
				t.Errorf("epoll_wait was called %d times in %v, want at most 200", n, 10*retryDelay)
			}
			if n := system.CallCount(call); n == 0 {
				t.Error("the call was not made at all")
			}
			system.SetScript(nil)
			requireOK(t, other, "a new connection, once calls succeed again")
			requireOK(t, c, "the existing connection")
		})
	}
}

// Every message gets its response although each read and write transfers one byte only.
func TestShortReadsAndWrites(t *testing.T) {
	system := faultnet.New(nil)
	system.OneByteIO = true
	_, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	requireExchanges(t, address)
}

// A connection that breaks is closed exactly once, and others stay open.
func TestBrokenConnectionClosesOnce(t *testing.T) {
	for _, call := range []faultnet.Syscall{faultnet.Read, faultnet.Write} {
		for _, err := range []error{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE,
			unix.ENETUNREACH} {
			t.Run(fmt.Sprintf("%s %v", call, err), func(t *testing.T) {
				t.Parallel()
				system := faultnet.New(nil)
				_, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
				c, other := dial(t, address), dial(t, address)
				for _, c := range []net.Conn{c, other} {
					fmt.Fprintln(c, "before")
					requireOK(t, c, "before")
				}
				var once sync.Once
				system.SetScript(func(made faultnet.Syscall, n int) (fault error) {
					if made == call {
						once.Do(func() { fault = err })
						if call == faultnet.Write && fault == nil && n == 2 {
							fault = unix.EPIPE // the error of a write after the connection broke
						}
					}
					return fault
				})
				fmt.Fprintln(c, "while it breaks")
				if n, err := c.Read(make([]byte, 1)); err == nil {
					t.Fatalf("read %d bytes of a response from a broken connection", n)
				}
				fmt.Fprintln(other, "after")
				requireOK(t, other, "another connection")
			})
		}
	}
}

// dialHandler reports whether a dialled connection is established or closed.
type dialHandler struct{ connected, closed chan error }

func (d *dialHandler) OnConnect(*Conn)            { d.connected <- nil }
func (d *dialHandler) OnData(*Conn)               {}
func (d *dialHandler) OnClose(_ *Conn, err error) { d.closed <- err }

// Dial returns an error immediately if the connection can't be started, and leaks no descriptor. A connection
// whose connect is interrupted by a signal is still established.
func TestDialFailures(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	for call, failures := range map[faultnet.Syscall][]error{
		faultnet.Socket: {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES},
		faultnet.Connect: {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ECONNREFUSED, unix.EAGAIN,
			unix.ETIMEDOUT, unix.EPERM, unix.ENOBUFS},
	} {
		for _, fault := range failures {
			system.SetScript(func(made faultnet.Syscall, _ int) error {
				if made == call {
					return fault
				}
				return nil
			})
			before := openDescriptors(t)
			var err error
			runOn(loop, func() { _, err = loop.Dial(address, &dialHandler{}) })
			if err == nil || !strings.Contains(err.Error(), fault.Error()) {
				t.Errorf("%s fails with %v: Dial returned %v, want that error", call, fault, err)
			}
			if after := openDescriptors(t); after != before {
				t.Errorf("%s fails with %v: %d descriptors, %d before", call, fault, after, before)
			}
		}
	}
	system.SetScript(faultnet.FailSometimes(faultnet.Connect, unix.EINTR))
	d := &dialHandler{make(chan error, 1), make(chan error, 1)}
	runOn(loop, func() {
		if _, err := loop.Dial(address, d); err != nil {
			t.Errorf("interrupted: Dial returned %v, want no error", err)
		}
	})
	select {
	case <-d.connected:
	case err := <-d.closed:
		t.Errorf("interrupted: the connection was closed with %v, want it established", err)
	case <-time.After(5 * time.Second):
		t.Error("interrupted: the connection was not established within 5 s")
	}
}

// Input sent before the peer's close is read completely although reads fail temporarily.
func TestInputBeforeCloseIsReadThroughReadFailures(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := listenFaulty(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	got := &collector{complete: make(chan string, 1)}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	system.SetScript(faultnet.FailSometimes(faultnet.Read, unix.ENOMEM))
	runOn(loop, func() { _, err = loop.Dial(peer.Addr().String(), got) })
	if err != nil {
		t.Fatal(err)
	}
	c, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "all of it")
	c.Close()
	if text := <-got.complete; text != "all of it" {
		t.Errorf("got %q, want \"all of it\"", text)
	}
	_ = address
}

// collector collects all input and sends it to complete when the connection closes.
type collector struct {
	text     bytes.Buffer
	complete chan string
}

func (c *collector) OnConnect(*Conn) {}
func (c *collector) OnData(conn *Conn) {
	c.text.Write(conn.Input())
	conn.Discard(len(conn.Input()))
}
func (c *collector) OnClose(*Conn, error) { c.complete <- c.text.String() }

// Accept fails because descriptors have run out, while the first message of an older connection is unread:
// that connection must not be evicted, because its message would be lost.
func TestUnreadFirstMessageSurvivesDescriptorExhaustion(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := listenFaulty(
		t,
		system,
		Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
	)
	c := dial(t, address)
	for system.OpenConns() < 1 {
		time.Sleep(time.Millisecond)
	}
	blocked, unblock := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	system.SetScript(func(made faultnet.Syscall, n int) error {
		if made == faultnet.Accept && n == 1 {
			return unix.EMFILE
		}
		return nil
	})
	time.Sleep(newConnGrace)
	newer := dial(t, address) // the loop gets its event first
	fmt.Fprintln(newer, "hello")
	time.Sleep(10 * time.Millisecond)
	fmt.Fprintln(c, "first")
	close(unblock)
	requireOK(t, c, "the unread message")
	requireOK(t, newer, "the new connection's message")
}
