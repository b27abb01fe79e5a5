package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// nextAttempt returns the connection of the next attempt, at either worker, and the other worker.
func nextAttempt(t *testing.T, a, b *fakeWorker) (net.Conn, *fakeWorker) {
	t.Helper()
	select {
	case c := <-a.attempts:
		return c, b
	case c := <-b.attempts:
		return c, a
	case <-time.After(requestTimeout):
		t.Fatal("no attempt")
		return nil, nil
	}
}

// requireRejected has both workers reject a request, and reads the rejection at its client. Both have an idle
// connection then.
func requireRejected(t *testing.T, c net.Conn, a, b *fakeWorker) {
	t.Helper()
	for range 2 {
		got, _ := nextAttempt(t, a, b)
		respondNotProcessed(got)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 {
		t.Fatalf("%d, want a rejection", resp.StatusCode)
	}
}

// slowConnectWorker listens with a full accept queue, so that the kernel drops the first packet of the next
// connection, which comes up a second late. DrainQueue makes room.
type slowConnectWorker struct {
	t           *testing.T
	fd          int
	address     string
	queuedConns int
}

func newSlowConnectWorker(t *testing.T) *slowConnectWorker {
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
	w := &slowConnectWorker{t: t, fd: fd, address: fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)}
	for {
		c, err := net.DialTimeout("tcp", w.address, 200*time.Millisecond)
		if err != nil {
			return w
		}
		t.Cleanup(func() { c.Close() })
		if w.queuedConns++; w.queuedConns > 16 {
			t.Fatal("the queue does not fill")
		}
	}
}

// accept accepts the next connection, with a timeout for reads from it.
func (w *slowConnectWorker) accept() int {
	fd, _, err := unix.Accept(w.fd)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 2})
	w.t.Cleanup(func() { unix.Close(fd) })
	return fd
}

// drainQueue accepts the connections that fill the queue.
func (w *slowConnectWorker) drainQueue() {
	for range w.queuedConns {
		w.accept()
	}
}

// request returns what comes on the first connection on which something comes; empty: nothing does.
func (w *slowConnectWorker) request() string {
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

// A connection to a worker comes up a second late: the timeout that the attempt states is that of when it is
// sent, not of when its connection was begun.
func TestTimeoutSentOnSlowConnectionIsCurrent(t *testing.T) {
	t.Parallel()
	late := newSlowConnectWorker(t)
	a := newDiscovery(t)
	a.state, a.workerAddresses = "DRAINING", []string{late.address}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	sent := time.Now()
	sendRequest(t, f.address(t), "late")
	time.Sleep(300 * time.Millisecond)
	late.drainQueue()
	text := late.request()
	elapsed := time.Since(sent)
	_, after, _ := strings.Cut(text, "X-Timeout: ")
	number, _, _ := strings.Cut(after, "u\r\n")
	us, err := strconv.Atoi(number)
	if err != nil {
		t.Fatalf("the worker got %q", text)
	}
	if elapsed < 500*time.Millisecond {
		t.Fatalf("the connection was not late: %v", elapsed)
	}
	if stated := time.Duration(us) * time.Microsecond; stated > requestTimeout-elapsed+50*time.Millisecond {
		t.Errorf("%v after the request was sent the attempt states %v of %v", elapsed, stated, requestTimeout)
	}
}

// An attempt states a little less than the rest of the client's timeout: the response takes its time, and the
// process may be held up before it writes.
func TestTimeoutSentKeepsReserve(t *testing.T) {
	t.Parallel()
	stated := make(chan string, 1)
	w := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			stated <- r.Header.Get("X-Timeout")
		}
		rw.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(w.Close)
	a := newDiscovery(t)
	a.state, a.workerAddresses = "DRAINING", []string{w.Listener.Addr().String()}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	sendRequest(t, f.address(t), "stated")
	d, err := time.ParseDuration(strings.Replace(<-stated, "u", "us", 1))
	if err != nil {
		t.Fatal(err)
	}
	if d > requestTimeout-timeoutReserve || d < requestTimeout/2 {
		t.Errorf("the attempt states %v, of %v that the client waits", d, requestTimeout)
	}
}

// A worker drains while a connection to it comes up: nothing is sent on it any more.
func TestNoAttemptToWorkerDrainedWhileConnecting(t *testing.T) {
	t.Parallel()
	late := newSlowConnectWorker(t)
	a := newDiscovery(t)
	a.state, a.workerAddresses = "DRAINING", []string{late.address}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	sendRequest(t, f.address(t), "late")
	time.Sleep(100 * time.Millisecond)
	a.locked(func() { a.state, a.drainWorkers, a.generation = "SERVING", true, a.generation+1 })
	awaitState(t, f, "SERVING", 20*drainGrace)
	late.drainQueue()
	if text := late.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("a draining worker gets %.20q", text)
	}
}

// The connection for a retry comes up a second late, beyond the window in which workers recognise the
// idempotency key of what may have run: the retry is not sent.
func TestNoRetryOnSlowConnectionBeyondKeyWindow(t *testing.T) {
	t.Parallel()
	late, first := newSlowConnectWorker(t), newFakeWorker(t)
	a := newDiscovery(t)
	a.class = `{"name":"c","effect":"dedup","key_scope":"all","window":1000000000,` +
		`"give_up":5000000000,"slo":4000000000}`
	a.state, a.workerAddresses = "DRAINING", []string{first.Addr().String()}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	c := sendRequest(t, f.address(t), "retry")
	got := <-first.attempts
	a.locked(func() {
		a.state, a.generation = "SERVING", a.generation+1
		a.workerAddresses = append(a.workerAddresses, late.address)
	})
	awaitState(t, f, "SERVING", 20*drainGrace)
	dialled := time.Now()
	got.Close() // before its 202: it may have run
	for time.Since(dialled) < 100*time.Millisecond {
		time.Sleep(time.Millisecond) // the first packet of the next connection is dropped meanwhile
	}
	late.drainQueue()
	if text := late.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("beyond the window a worker gets %.20q", text)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode == 200 {
		t.Errorf("the client gets %v, %v", resp, err)
	}
}

// A client disconnects while the loop is blocked, and the end of an attempt is read before that: no retry is
// sent. While the client stays connected it is.
func TestNoAttemptAfterClientDisconnected(t *testing.T) {
	for name, disconnects := range map[string]bool{"disconnected": true, "connected": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeWorker(t), newFakeWorker(t)
			f, address := newFrontWithWorkers(t, a, b)
			requireRejected(t, sendRequest(t, address, "before"), a, b)
			c := sendRequest(t, address, "job")
			first, other := nextAttempt(t, a, b)
			blocked, unblock := make(chan struct{}), make(chan struct{})
			f.loop.Post(func() { close(blocked); <-unblock })
			<-blocked
			respondNotProcessed(first)
			time.Sleep(50 * time.Millisecond) // the loop reads this before the client's end
			if disconnects {
				c.Close()
			}
			time.Sleep(150 * time.Millisecond)
			close(unblock)
			select {
			case <-other.attempts:
				if disconnects {
					t.Error("a retry is sent 0.15 s after the client disconnected")
				}
			case <-time.After(time.Second):
				if !disconnects {
					t.Error("no retry is sent")
				}
			}
		})
	}
}
