package platform

import (
	"bufio"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fakeWorker stands for a trip worker, whose connections a test answers itself.
type fakeWorker struct {
	*stdnet.TCPListener
	jobs chan stdnet.Conn // on which a job has come
}

func newWorker(t *testing.T) *fakeWorker {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{ln.(*stdnet.TCPListener), make(chan stdnet.Conn, 16)}
	t.Cleanup(func() { w.Close() })
	go func() {
		for {
			c, err := w.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go w.read(c)
		}
	}()
	return w
}

func (w *fakeWorker) read(c stdnet.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == "POST" {
			w.jobs <- c
		}
	}
}

// turnAway answers that the job was not begun.
func turnAway(c stdnet.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
}

// served is a front whose workers are these alone, and its address.
func served(t *testing.T, workers ...*fakeWorker) (*Front, string) {
	t.Helper()
	a := newAgent(t)
	a.state = "DRAINING"
	for _, w := range workers {
		a.hosts = append(a.hosts, w.Addr().String())
	}
	f := follower(t, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	return f, f.address(t)
}

// address is where the front listens.
func (f *Front) address(t *testing.T) string {
	t.Helper()
	at, err := unix.Getsockname(f.listener.FD())
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

const patience = 4 * time.Second

// ask sends a request and returns its connection.
func ask(t *testing.T, address, id string) stdnet.Conn {
	t.Helper()
	c, err := stdnet.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: %dm\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", id, patience.Milliseconds())
	return c
}

// next is the connection of the next attempt, at either worker, and the other worker.
func next(t *testing.T, a, b *fakeWorker) (stdnet.Conn, *fakeWorker) {
	t.Helper()
	select {
	case c := <-a.jobs:
		return c, b
	case c := <-b.jobs:
		return c, a
	case <-time.After(patience):
		t.Fatal("no attempt")
		return nil, nil
	}
}

// refused has both workers turn a request away, and the client told so. Both have an idle connection then.
func refused(t *testing.T, c stdnet.Conn, a, b *fakeWorker) {
	t.Helper()
	for range 2 {
		got, _ := next(t, a, b)
		turnAway(got)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 {
		t.Fatalf("%d, want a refusal", resp.StatusCode)
	}
}

// lateWorker listens with a full queue of connections, so that the kernel drops the first packet of the next
// one, which comes up a second late. Let makes room.
type lateWorker struct {
	t       *testing.T
	fd      int
	address string
	fillers int
}

func newLateWorker(t *testing.T) *lateWorker {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	w := &lateWorker{t: t, fd: fd, address: fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)}
	for {
		c, err := stdnet.DialTimeout("tcp", w.address, 200*time.Millisecond)
		if err != nil {
			return w
		}
		t.Cleanup(func() { c.Close() })
		if w.fillers++; w.fillers > 16 {
			t.Fatal("the queue does not fill")
		}
	}
}

// accept takes the next connection; it waits at most so long for what is read from it.
func (w *lateWorker) accept() int {
	fd, _, err := unix.Accept(w.fd)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 2})
	w.t.Cleanup(func() { unix.Close(fd) })
	return fd
}

// let takes the connections that fill the queue.
func (w *lateWorker) let() {
	for range w.fillers {
		w.accept()
	}
}

// request is what comes on the first late connection on which something comes; empty: nothing does.
func (w *lateWorker) request() string {
	_ = unix.SetsockoptTimeval(w.fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 2})
	for {
		fd, _, err := unix.Accept(w.fd)
		if err != nil {
			return ""
		}
		_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 1})
		var head [4096]byte
		n, _ := unix.Read(fd, head[:])
		unix.Close(fd)
		if n > 0 {
			return string(head[:n])
		}
	}
}

// A connection to a worker comes up a second late: what the attempt says of the time left is true when it
// is sent, and not when its connection was begun.
func TestDeadlineToldOnALateConnection(t *testing.T) {
	t.Parallel()
	late := newLateWorker(t)
	a := newAgent(t)
	a.state, a.hosts = "DRAINING", []string{late.address}
	f := follower(t, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	sent := time.Now()
	ask(t, f.address(t), "late")
	time.Sleep(300 * time.Millisecond)
	late.let()
	text := late.request()
	gone := time.Since(sent)
	_, after, _ := strings.Cut(text, "X-Timeout: ")
	number, _, _ := strings.Cut(after, "u\r\n")
	us, err := strconv.Atoi(number)
	if err != nil {
		t.Fatalf("the worker got %q", text)
	}
	if gone < 500*time.Millisecond {
		t.Fatalf("the connection was not late: %v", gone)
	}
	if told := time.Duration(us) * time.Microsecond; told > patience-gone+50*time.Millisecond {
		t.Errorf("%v after the request was sent the worker is told of %v, of %v", gone, told, patience)
	}
}

// The worker is told of a little less than its client has left: the answer takes its way back, and the
// process may be held up before it writes.
func TestDeadlineToldKeepsSomeBack(t *testing.T) {
	t.Parallel()
	told := make(chan string, 1)
	w := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			told <- r.Header.Get("X-Timeout")
		}
		rw.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(w.Close)
	a := newAgent(t)
	a.state, a.hosts = "DRAINING", []string{w.Listener.Addr().String()}
	f := follower(t, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	ask(t, f.address(t), "told")
	d, err := time.ParseDuration(strings.Replace(<-told, "u", "us", 1))
	if err != nil {
		t.Fatal(err)
	}
	if d > patience-timeoutReserve || d < patience/2 {
		t.Errorf("the worker is told of %v, of %v that the client waits", d, patience)
	}
}

// A worker drains while a connection to it comes up: nothing is sent on that any more.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	t.Parallel()
	late := newLateWorker(t)
	a := newAgent(t)
	a.state, a.hosts = "DRAINING", []string{late.address}
	f := follower(t, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	ask(t, f.address(t), "late")
	time.Sleep(100 * time.Millisecond)
	a.do(func() { a.state, a.drained, a.gen = "SERVING", true, a.gen+1 })
	turns(t, f, "SERVING", 20*grace)
	late.let()
	if text := late.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("a worker that drains gets %.20q", text)
	}
}

// The connection for a repeat comes up a second late, beyond the window in which workers drop repeats of what
// may have run: it is not sent.
func TestRepeatOnALateConnectionBeyondTheWindow(t *testing.T) {
	t.Parallel()
	late, first := newLateWorker(t), newWorker(t)
	a := newAgent(t)
	a.class = `{"name":"c","effect":"dedup","key_scope":"all","window":1000000000,` +
		`"give_up":5000000000,"slo":4000000000}`
	a.state, a.hosts = "DRAINING", []string{first.Addr().String()}
	f := follower(t, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	c := ask(t, f.address(t), "repeat")
	got := <-first.jobs
	a.do(func() { a.state, a.hosts, a.gen = "SERVING", append(a.hosts, late.address), a.gen+1 })
	turns(t, f, "SERVING", 20*grace)
	dialled := time.Now()
	got.Close() // before its 202: it may have run
	for time.Since(dialled) < 100*time.Millisecond {
		time.Sleep(time.Millisecond) // the first packet of the next connection is dropped meanwhile
	}
	late.let()
	if text := late.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("beyond the window a worker gets %.20q", text)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode == 200 {
		t.Errorf("the client gets %v, %v", resp, err)
	}
}

// A client leaves while the loop is held up, and an attempt's end lies before its own: nothing more is
// sent. With the client there the same is sent on.
func TestNoAttemptForAClientThatHasLeft(t *testing.T) {
	for name, leaves := range map[string]bool{"leaves": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newWorker(t), newWorker(t)
			f, address := served(t, a, b)
			refused(t, ask(t, address, "before"), a, b)
			c := ask(t, address, "job")
			first, other := next(t, a, b)
			held, free := make(chan struct{}), make(chan struct{})
			f.loop.Post(func() { close(held); <-free })
			<-held
			turnAway(first)
			time.Sleep(50 * time.Millisecond) // the loop is told of this before the client's end
			if leaves {
				c.Close()
			}
			time.Sleep(150 * time.Millisecond)
			close(free)
			select {
			case <-other.jobs:
				if leaves {
					t.Error("a further attempt is sent 0.15 s after the client has left")
				}
			case <-time.After(time.Second):
				if !leaves {
					t.Error("no further attempt is sent")
				}
			}
		})
	}
}
