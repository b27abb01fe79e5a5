package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/drain"
)

// shutdown is a front whose process is about to end: idle connections are being closed, and one request,
// "last", is in flight.
type shutdown struct {
	t       *testing.T
	front   *Front
	address string
	client  net.Conn // of the last request
	done    chan struct{}
}

func newShutdown(t *testing.T) *shutdown {
	t.Helper()
	w := newFakeWorker(t)
	f, address := newFrontWithWorkers(t, w)
	e := &shutdown{t: t, front: f, address: address, done: make(chan struct{})}
	e.client = sendRequest(t, address, "last")
	<-w.attempts
	e.onLoop(func() { // as BeginShutdown does, but for awaitDrained, which the test calls
		f.drain.BeginShutdown(f.loop.Now())
		f.scheduleClosing()
	})
	for closing := false; !closing; time.Sleep(time.Millisecond) {
		e.onLoop(func() { closing = f.drain.State() == drain.ClosingConnections })
	}
	return e
}

// onLoop runs f on the loop, in one turn.
func (e *shutdown) onLoop(f func()) {
	done := make(chan struct{})
	e.front.loop.Post(func() { f(); close(done) })
	<-done
}

// lastTurn runs a turn of the loop in which the last request ends, then between, and then awaitDrained.
func (e *shutdown) lastTurn(partialGrace time.Duration, between func()) {
	e.onLoop(func() {
		for c := range e.front.clients {
			if c.awaitsResponse { // its client disconnects, so that no response is on its way
				c.conn.Close()
				c.OnClose(c.conn, io.EOF)
			}
		}
		between()
		e.awaitDrained(partialGrace)
	})
}

// awaitDrained has the process end once it is drained, and wait that long for requests that came in part.
func (e *shutdown) awaitDrained(partialGrace time.Duration) {
	e.front.awaitDrained(e.front.loop.Now()+partialGrace, func() { close(e.done) })
}

// requireStatus fails unless that response comes on the connection.
func (e *shutdown) requireStatus(c net.Conn, status int) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != status {
		e.t.Fatalf("%v, %v, want %d", resp, err, status)
	}
}

// requireStatusBeforeEnd fails unless that response comes, and the process waits for its client to close.
func (e *shutdown) requireStatusBeforeEnd(c net.Conn, status int) {
	e.t.Helper()
	e.requireStatus(c, status)
	select {
	case <-e.done:
		e.t.Error("the process ends before its client has the response")
	default:
	}
}

// requireEnd fails unless the process ends.
func (e *shutdown) requireEnd() {
	e.t.Helper()
	select {
	case <-e.done:
	case <-time.After(requestTimeout):
		e.t.Error("the process does not end")
	}
}

// writeExpiredRequest sends a request that no worker can get: its timeout has passed when it comes.
func writeExpiredRequest(c net.Conn, id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx", id)
}

// A request that comes in the very turn in which a process would end is answered first.
func TestRequestsInLastTurnAreAnswered(t *testing.T) {
	for name, partialGrace := range map[string]time.Duration{"soon": partialRequestGrace,
		"long after the grace": -time.Second} {
		t.Run("on a connection not accepted yet, "+name, func(t *testing.T) {
			t.Parallel()
			e := newShutdown(t)
			var c net.Conn
			e.lastTurn(partialGrace, func() {
				c, _ = net.Dial("tcp", e.address)
				writeExpiredRequest(c, "new")
			})
			defer c.Close()
			e.requireStatusBeforeEnd(c, 503)
			c.Close()
			e.requireEnd()
		})
		t.Run("unread on a connection that is kept, "+name, func(t *testing.T) {
			t.Parallel()
			e := newShutdown(t)
			other := e.idleConnection()
			e.lastTurn(partialGrace, func() { writeExpiredRequest(other, "unread") })
			e.requireStatusBeforeEnd(other, 503)
			other.Close()
			e.requireEnd()
		})
	}
	t.Run("the first of a connection that was just opened", func(t *testing.T) {
		t.Parallel()
		e := newShutdown(t)
		var c net.Conn
		e.lastTurn(partialRequestGrace, func() { c, _ = net.Dial("tcp", e.address) })
		defer c.Close()
		time.Sleep(100 * time.Millisecond)
		writeExpiredRequest(c, "first")
		e.requireStatusBeforeEnd(c, 503)
		c.Close()
		e.requireEnd()
	})
	t.Run("one that has come in part", testPartialRequest)
	t.Run("a response whose client has not closed yet", testResponseNotYetRead)
}

func testPartialRequest(t *testing.T) {
	t.Parallel()
	e := newShutdown(t)
	var c net.Conn
	e.lastTurn(partialRequestGrace, func() {
		c, _ = net.Dial("tcp", e.address)
		fmt.Fprint(c, "POST /api HT")
	})
	defer c.Close()
	time.Sleep(partialRequestGrace * 3 / 4) // longer than a connection counts as just opened
	fmt.Fprint(c, "TP/1.1\r\nHost: x\r\nX-Request-ID: half\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx")
	e.requireStatusBeforeEnd(c, 503)
	c.Close()
	e.requireEnd()
}

func testResponseNotYetRead(t *testing.T) {
	t.Parallel()
	e := newShutdown(t)
	e.onLoop(func() {
		e.front.broker.EndAttemptAt("last", "s-2", balancer.OK, []byte("done"), balancer.NoLoadReport)
		e.awaitDrained(partialRequestGrace)
	})
	time.Sleep(minLingerTime / 2)
	e.requireStatusBeforeEnd(e.client, 200)
	e.client.Close()
	e.requireEnd()
}

// A call-back that was forwarded to the other process, which has not handled it yet, is owed its response.
func TestShutdownAwaitsForwardedCallBack(t *testing.T) {
	t.Parallel()
	e := newShutdown(t)
	caller, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	var worker *client
	for worker == nil {
		e.onLoop(func() {
			for c := range e.front.clients {
				if !c.awaitsResponse {
					worker = c
				}
			}
		})
	}
	e.lastTurn(-time.Second, func() { worker.callBackForwarded, worker.isWorker = true, true })
	select {
	case <-e.done:
		t.Error("the process ends before the other one has handled the call-back")
	case <-time.After(100 * time.Millisecond):
	}
	e.onLoop(func() { worker.callBackForwarded = false; worker.respond(204, "", nil) })
	e.requireStatus(caller, 204)
	e.requireEnd()
}

// While the node drains an idle connection is closed, but not over an unread request, and not while the first
// request of one that was just opened is on its way.
func TestIdleConnectionsWhileDraining(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		t.Parallel()
		e := newShutdown(t)
		c := e.idleConnection()
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%v, want the end", err)
		}
	})
	t.Run("with an unread request", func(t *testing.T) {
		t.Parallel()
		e := newShutdown(t)
		c := e.idleConnection()
		e.onLoop(func() {
			writeExpiredRequest(c, "crossing")
			e.front.closeIdleClients()
		})
		e.requireStatusBeforeEnd(c, 503)
	})
	t.Run("just opened", func(t *testing.T) {
		t.Parallel()
		e := newShutdown(t)
		c, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(2 * closeIdleInterval)
		writeExpiredRequest(c, "first")
		e.requireStatusBeforeEnd(c, 503)
	})
}

// idleConnection returns a client's connection that has carried a request and is idle.
func (e *shutdown) idleConnection() net.Conn {
	e.t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	for found := false; !found; {
		e.onLoop(func() {
			for other := range e.front.clients {
				if !other.awaitsResponse {
					other.sentMessage, found = true, true
				}
			}
		})
	}
	return c
}

// minLingerTime is how long the process waits at least for a client to close a connection.
const minLingerTime = 500 * time.Millisecond

// A request is pipelined behind a health check: both are answered.
func TestRequestPipelinedBehindHealthCheckIsAnswered(t *testing.T) {
	t.Parallel()
	f, address := newFrontWithWorkers(t, newFakeWorker(t))
	var c net.Conn
	held := make(chan struct{})
	f.loop.Post(func() {
		c, _ = net.Dial("tcp", address)
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		writeExpiredRequest(c, "pipelined")
		close(held)
	})
	<-held
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	in := bufio.NewReader(c)
	for _, status := range []int{200, 503} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("%v, %v, want %d", resp, err, status)
		}
	}
}
