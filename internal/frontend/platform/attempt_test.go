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

// nextAttempt returns the connection of the next attempt at either worker, and the worker that did not get
// it.
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

// requireRejected has both workers reject a request and requires that its client gets the rejection.
// Afterwards the front has an idle connection to each worker.
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
		t.Fatalf("status %d, want a rejection (503)", resp.StatusCode)
	}
}

// slowConnectWorker listens with a full accept queue. The kernel drops the first packet of the next
// connection, which is therefore established a second late, if drainQueue has made room by then.
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
			t.Fatal("the accept queue does not fill up")
		}
	}
}

// accept accepts the next connection and sets a read timeout on it.
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

// request returns the first data received on any new connection; empty: none came in time.
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

// A connection to a worker is established a second late. The timeout sent with the attempt must be the time
// that remains when the request is written, not when the connection was dialled.
func TestTimeoutSentOnSlowConnectionIsCurrent(t *testing.T) {
	t.Parallel()
	slow := newSlowConnectWorker(t)
	a := newDiscovery(t)
	a.state, a.workerAddresses = "DRAINING", []string{slow.address}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	sent := time.Now()
	sendRequest(t, f.address(t), "late")
	time.Sleep(300 * time.Millisecond)
	slow.drainQueue()
	text := slow.request()
	elapsed := time.Since(sent)
	_, after, _ := strings.Cut(text, "X-Timeout: ")
	number, _, _ := strings.Cut(after, "u\r\n")
	us, err := strconv.Atoi(number)
	if err != nil {
		t.Fatalf("X-Timeout is missing or invalid in %q", text)
	}
	if elapsed < 500*time.Millisecond {
		t.Fatalf("the connection was established too early, after %v", elapsed)
	}
	if stated := time.Duration(us) * time.Microsecond; stated > requestTimeout-elapsed+50*time.Millisecond {
		t.Errorf("%v after the request the attempt has a timeout of %v, of %v in the request",
			elapsed, stated, requestTimeout)
	}
}

// The timeout sent with an attempt is less than what remains of the client's timeout by timeoutReserve, which
// covers the delay of the response and a delay of this process before it writes.
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
		t.Errorf("the attempt has a timeout of %v; the client waits %v", d, requestTimeout)
	}
}

// A worker begins to drain while a connection to it is being established: no attempt may be sent on it.
func TestNoAttemptToWorkerDrainedWhileConnecting(t *testing.T) {
	t.Parallel()
	slow := newSlowConnectWorker(t)
	a := newDiscovery(t)
	a.state, a.workerAddresses = "DRAINING", []string{slow.address}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	sendRequest(t, f.address(t), "late")
	time.Sleep(100 * time.Millisecond)
	a.locked(func() { a.state, a.drainWorkers, a.generation = "SERVING", true, a.generation+1 })
	awaitState(t, f, "SERVING", 20*drainGrace)
	slow.drainQueue()
	if text := slow.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("a draining worker received %.20q", text)
	}
}

// The connection for a retry is established a second late, after the window in which workers recognise the
// idempotency key of a request that may have run: the retry must not be sent.
func TestNoRetryOnSlowConnectionBeyondKeyWindow(t *testing.T) {
	t.Parallel()
	slow, first := newSlowConnectWorker(t), newFakeWorker(t)
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
		a.workerAddresses = append(a.workerAddresses, slow.address)
	})
	awaitState(t, f, "SERVING", 20*drainGrace)
	dialled := time.Now()
	got.Close() // without a 202: the request may have run
	for time.Since(dialled) < 100*time.Millisecond {
		time.Sleep(time.Millisecond) // until the first packet of the next connection has been dropped
	}
	slow.drainQueue()
	if text := slow.request(); strings.HasPrefix(text, "POST") {
		t.Errorf("after the idempotency key's window a worker received %.20q", text)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode == 200 {
		t.Errorf("the client got %v, %v, want a response other than 200", resp, err)
	}
}

// A client disconnects while the event loop is blocked, and the loop reads the end of the attempt before it
// reads the disconnection: no retry may be sent. If the client stays connected, the retry is sent.
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
			time.Sleep(50 * time.Millisecond) // so that the loop reads the response before the disconnection
			if disconnects {
				c.Close()
			}
			time.Sleep(150 * time.Millisecond)
			close(unblock)
			select {
			case <-other.attempts:
				if disconnects {
					t.Error("a retry was sent 0.15 s after the client disconnected")
				}
			case <-time.After(time.Second):
				if !disconnects {
					t.Error("no retry was sent")
				}
			}
		})
	}
}
