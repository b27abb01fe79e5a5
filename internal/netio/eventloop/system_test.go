package eventloop

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	stdnet "net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/faultnet"
)

// lines answers each line that comes.
type lines struct{}

func (lines) OnConnect(*Conn)      {}
func (lines) OnClose(*Conn, error) {}
func (lines) OnData(c *Conn) {
	for i := bytes.IndexByte(c.Input(), '\n'); i >= 0; i = bytes.IndexByte(c.Input(), '\n') {
		c.Discard(i + 1)
		c.BeginProcessing()
		c.Write([]byte("ok\n"))
		c.EndProcessing()
	}
}

// faultyInlet answers lines on a system whose calls fail.
func faultyInlet(t *testing.T, system *faultnet.System, limits Limits) (loop *Loop, address string) {
	t.Helper()
	loop, _, address = listening(t, system, limits, func(c *Conn) { c.Handler = lines{} })
	return loop, address
}

// exchanges has clients send lines, some in pieces and some ahead, and wants each answered.
func exchanges(t *testing.T, address string) {
	t.Helper()
	for i := range 8 {
		c, err := stdnet.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		in := bufio.NewReader(c)
		for j := range 6 {
			fmt.Fprintf(c, "line %d", i)
			fmt.Fprintf(c, " of %d\nahead\n", j)
			for range 2 {
				if line, err := in.ReadString('\n'); err != nil || line != "ok\n" {
					t.Fatalf("client %d, line %d: %q, %v", i, j, line, err)
				}
			}
		}
		c.Close()
	}
}

// descriptors is how many this process has open.
func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Calls fail for want of something that the kernel has again soon, or are interrupted: every message has its
// answer all the same, no descriptor is leaked and the loop doesn't spin.
func TestCallsThatFailForAWhile(t *testing.T) {
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
				_, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
				exchanges(t, address)
				before := settle(t, system)
				system.SetScript(faultnet.FailSometimes(call, err))
				exchanges(t, address)
				if after := settle(t, system); after > before {
					t.Errorf("%d descriptors, %d before", after, before)
				}
			})
		}
	}
}

// The kernel has no room to change what epoll reports just when that matters: a connection with output that
// waits, and a listener that is to be left alone, are reported on all the same.
func TestEventsThatCannotBeChanged(t *testing.T) {
	for call, err := range map[faultnet.Syscall]error{faultnet.Write: unix.EAGAIN,
		faultnet.Accept: unix.EIO} {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			failing := faultnet.FailSometimes(call, err)
			changes := faultnet.FailSometimes(faultnet.EpollCtl, unix.ENOMEM)
			system := faultnet.New(func(made faultnet.Syscall, n int) error {
				return cmp.Or(failing(made, n), changes(made, n))
			})
			_, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
			exchanges(t, address)
		})
	}
}

// A look at what lies unread is interrupted: it is made again.
func TestInterruptedLook(t *testing.T) {
	system := faultnet.New(faultnet.FailSometimes(faultnet.Peek, unix.EINTR))
	loop, _ := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	peer, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var c *Conn
	on(loop, func() { c, err = loop.Dial(peer.Addr().String(), lines{}) })
	if err != nil {
		t.Fatal(err)
	}
	other, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	on(loop, func() {
		fmt.Fprint(other, "unread")
		if !c.HasUnreadInput() {
			t.Error("what lies unread was not seen")
		}
		c.Close()
	})
}

// settle waits until the connections of the clients that have gone are closed, and counts descriptors.
func settle(t *testing.T, system *faultnet.System) int {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		was := system.OpenConns()
		if was == 0 {
			return descriptors(t)
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%d connections are open still", was)
		}
	}
}

// A call that goes on failing is not made again and again at once.
func TestCallsThatGoOnFailingDoNotSpin(t *testing.T) {
	for call, err := range map[faultnet.Syscall]error{faultnet.Accept: unix.EIO, faultnet.Read: unix.ENOMEM,
		faultnet.Write: unix.ENOBUFS} {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			system := faultnet.New(nil)
			limits := Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute}
			_, address := faultyInlet(t, system, limits)
			c := dialed(t, address)
			fmt.Fprintln(c, "before")
			wantOK(t, c, "before")
			system.SetScript(func(made faultnet.Syscall, _ int) error {
				if made == call {
					return err
				}
				return nil
			})
			other := dialed(t, address)
			fmt.Fprintln(other, "while")
			fmt.Fprintln(c, "while")
			time.Sleep(10 * retryDelay)
			if n := system.CallCount(faultnet.EpollWait); n > 200 {
				t.Errorf("the loop went round %d times in %v", n, 10*retryDelay)
			}
			if n := system.CallCount(call); n == 0 {
				t.Error("the call was not made at all")
			}
			system.SetScript(nil)
			wantOK(t, other, "a new connection, once calls are well again")
			wantOK(t, c, "the one that was there")
		})
	}
}

// Reads and writes take a byte at a time.
func TestShortReadsAndWrites(t *testing.T) {
	system := faultnet.New(nil)
	system.OneByteIO = true
	_, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	exchanges(t, address)
}

// A connection that breaks ends, once, and tells its handler; others go on.
func TestConnectionsThatBreak(t *testing.T) {
	for _, call := range []faultnet.Syscall{faultnet.Read, faultnet.Write} {
		for _, err := range []error{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE,
			unix.ENETUNREACH} {
			t.Run(fmt.Sprintf("%s %v", call, err), func(t *testing.T) {
				t.Parallel()
				system := faultnet.New(nil)
				_, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
				c, other := dialed(t, address), dialed(t, address)
				for _, c := range []stdnet.Conn{c, other} {
					fmt.Fprintln(c, "before")
					wantOK(t, c, "before")
				}
				var once sync.Once
				system.SetScript(func(made faultnet.Syscall, n int) (fault error) {
					if made == call {
						once.Do(func() { fault = err })
						if call == faultnet.Write && fault == nil && n == 2 {
							fault = unix.EPIPE // as a write meets after a break
						}
					}
					return fault
				})
				fmt.Fprintln(c, "while it breaks")
				if n, err := c.Read(make([]byte, 1)); err == nil {
					t.Fatalf("%d bytes of an answer", n)
				}
				fmt.Fprintln(other, "after")
				wantOK(t, other, "another connection")
			})
		}
	}
}

// dialler waits for a connection that it has begun.
type dialler struct{ up, ended chan error }

func (d *dialler) OnConnect(*Conn)            { d.up <- nil }
func (d *dialler) OnData(*Conn)               {}
func (d *dialler) OnClose(_ *Conn, err error) { d.ended <- err }

// A connection that can't be begun is an error at once, without a descriptor left open; one whose beginning a
// signal interrupts comes up.
func TestConnectionsThatCannotBeBegun(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
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
			before := descriptors(t)
			var err error
			on(loop, func() { _, err = loop.Dial(address, &dialler{}) })
			if err == nil || !strings.Contains(err.Error(), fault.Error()) {
				t.Errorf("%s fails with %v: %v", call, fault, err)
			}
			if after := descriptors(t); after != before {
				t.Errorf("%s fails with %v: %d descriptors, %d before", call, fault, after, before)
			}
		}
	}
	system.SetScript(faultnet.FailSometimes(faultnet.Connect, unix.EINTR))
	d := &dialler{make(chan error, 1), make(chan error, 1)}
	on(loop, func() {
		if _, err := loop.Dial(address, d); err != nil {
			t.Errorf("interrupted: %v", err)
		}
	})
	select {
	case <-d.up:
	case err := <-d.ended:
		t.Errorf("interrupted: %v", err)
	case <-time.After(5 * time.Second):
		t.Error("an interrupted connection never came up")
	}
}

// What has come before a connection's end is read though reads fail meanwhile.
func TestEndBehindAReadThatFails(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := faultyInlet(t, system, Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20})
	got := &collector{whole: make(chan string, 1)}
	peer, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	system.SetScript(faultnet.FailSometimes(faultnet.Read, unix.ENOMEM))
	on(loop, func() { _, err = loop.Dial(peer.Addr().String(), got) })
	if err != nil {
		t.Fatal(err)
	}
	c, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "all of it")
	c.Close()
	if text := <-got.whole; text != "all of it" {
		t.Errorf("%q came", text)
	}
	_ = address
}

// collector keeps all that comes, and tells it at the end.
type collector struct {
	text  bytes.Buffer
	whole chan string
}

func (c *collector) OnConnect(*Conn) {}
func (c *collector) OnData(conn *Conn) {
	c.text.Write(conn.Input())
	conn.Discard(len(conn.Input()))
}
func (c *collector) OnClose(*Conn, error) { c.whole <- c.text.String() }

// Descriptors have run out when a connection comes, and the first message of another one, opened a while ago,
// lies unread: that one is not ended for the new one.
func TestFirstMessageUnreadWhileDescriptorsRunOut(t *testing.T) {
	system := faultnet.New(nil)
	loop, address := faultyInlet(
		t,
		system,
		Limits{MaxConnections: 32, MaxBufferBytes: 1 << 20, MessageTimeout: time.Minute},
	)
	c := dialed(t, address)
	for system.OpenConns() < 1 {
		time.Sleep(time.Millisecond)
	}
	held, free := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(held); <-free })
	<-held
	system.SetScript(func(made faultnet.Syscall, n int) error {
		if made == faultnet.Accept && n == 1 {
			return unix.EMFILE
		}
		return nil
	})
	time.Sleep(newConnGrace)
	newer := dialed(t, address) // the loop is told of it first
	fmt.Fprintln(newer, "hello")
	time.Sleep(10 * time.Millisecond)
	fmt.Fprintln(c, "first")
	close(free)
	wantOK(t, c, "the message that lay unread")
	wantOK(t, newer, "the new connection's")
}
