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

// shutdownTest has a front that is shutting down: idle connections are being closed, and one request,
// "last", is in flight.
type shutdownTest struct {
	t       *testing.T
	front   *Front
	address string
	client  net.Conn // connection of the request "last"
	done    chan struct{}
}

func newShutdownTest(t *testing.T) *shutdownTest {
	t.Helper()
	w := newFakeWorker(t)
	f, address := newFrontWithWorkers(t, w)
	e := &shutdownTest{t: t, front: f, address: address, done: make(chan struct{})}
	e.client = sendRequest(t, address, "last")
	<-w.attempts
	e.onLoop(func() { // like BeginShutdown, but without awaitDrained, which the test calls
		f.drain.BeginShutdown(f.loop.Now(), drain.TerminationGrace(f.longestTimeout()))
		f.scheduleClosing()
	})
	for closing := false; !closing; time.Sleep(time.Millisecond) {
		e.onLoop(func() { closing = f.drain.State() == drain.ClosingConnections })
	}
	return e
}

// onLoop runs f on the event loop, in one turn, and waits for it.
func (e *shutdownTest) onLoop(f func()) {
	done := make(chan struct{})
	e.front.loop.Post(func() { f(); close(done) })
	<-done
}

// lastIteration runs in one turn of the event loop: the end of the last request, then between, and then
// awaitDrained.
func (e *shutdownTest) lastIteration(partialGrace time.Duration, between func()) {
	e.onLoop(func() {
		for c := range e.front.clients {
			if c.awaitsResponse { // disconnect its client, so that no response is pending
				c.conn.Close()
				c.OnClose(c.conn, io.EOF)
			}
		}
		between()
		e.awaitDrained(partialGrace)
	})
}

// awaitDrained closes done once the front is drained. The front waits up to partialGrace for partial
// requests.
func (e *shutdownTest) awaitDrained(partialGrace time.Duration) {
	e.front.awaitDrained(e.front.loop.Now()+partialGrace, func() { close(e.done) })
}

// requireStatus fails the test unless a response with the status comes on the connection.
func (e *shutdownTest) requireStatus(c net.Conn, status int) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != status {
		e.t.Fatalf("response %v, error %v, want status %d", resp, err, status)
	}
}

// requireStatusBeforeEnd is requireStatus, and also fails the test if the shutdown has completed by then
// instead of waiting for the client to close the connection.
func (e *shutdownTest) requireStatusBeforeEnd(c net.Conn, status int) {
	e.t.Helper()
	e.requireStatus(c, status)
	select {
	case <-e.done:
		e.t.Error("the shutdown completed before the client read the response")
	default:
	}
}

// requireEnd fails the test unless the shutdown completes.
func (e *shutdownTest) requireEnd() {
	e.t.Helper()
	select {
	case <-e.done:
	case <-time.After(requestTimeout):
		e.t.Error("the shutdown does not complete")
	}
}

// writeExpiredRequest sends a request that is never sent to a worker, since its timeout has passed when it
// is read.
func writeExpiredRequest(c net.Conn, id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx", id)
}

// A request that arrives in the turn of the event loop in which the shutdown would complete still gets a
// response.
func TestRequestsInLastTurnAreAnswered(t *testing.T) {
	for name, partialGrace := range map[string]time.Duration{"within the grace": partialRequestGrace,
		"after the grace": -time.Second} {
		t.Run("on a connection not accepted yet, "+name, func(t *testing.T) {
			t.Parallel()
			e := newShutdownTest(t)
			var c net.Conn
			e.lastIteration(partialGrace, func() {
				c, _ = net.Dial("tcp", e.address)
				writeExpiredRequest(c, "new")
			})
			defer c.Close()
			e.requireStatusBeforeEnd(c, 503)
			c.Close()
			e.requireEnd()
		})
		t.Run("unread on a kept connection, "+name, func(t *testing.T) {
			t.Parallel()
			e := newShutdownTest(t)
			other := e.idleConnection()
			e.lastIteration(partialGrace, func() { writeExpiredRequest(other, "unread") })
			e.requireStatusBeforeEnd(other, 503)
			other.Close()
			e.requireEnd()
		})
	}
	t.Run("first request on a connection just opened", func(t *testing.T) {
		t.Parallel()
		e := newShutdownTest(t)
		var c net.Conn
		e.lastIteration(partialRequestGrace, func() { c, _ = net.Dial("tcp", e.address) })
		defer c.Close()
		time.Sleep(100 * time.Millisecond)
		writeExpiredRequest(c, "first")
		e.requireStatusBeforeEnd(c, 503)
		c.Close()
		e.requireEnd()
	})
	t.Run("partial request", testPartialRequest)
	t.Run("response whose client has not closed the connection", testResponseNotYetRead)
}

func testPartialRequest(t *testing.T) {
	t.Parallel()
	e := newShutdownTest(t)
	var c net.Conn
	e.lastIteration(partialRequestGrace, func() {
		c, _ = net.Dial("tcp", e.address)
		fmt.Fprint(c, "POST /api HT")
	})
	defer c.Close()
	time.Sleep(partialRequestGrace * 3 / 4) // longer than HealthCheckGrace, so that it isn't just opened
	fmt.Fprint(c, "TP/1.1\r\nHost: x\r\nX-Request-ID: half\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx")
	e.requireStatusBeforeEnd(c, 503)
	c.Close()
	e.requireEnd()
}

func testResponseNotYetRead(t *testing.T) {
	t.Parallel()
	e := newShutdownTest(t)
	e.onLoop(func() {
		e.front.broker.EndAttemptAt("last", "s-2", balancer.OK, []byte("done"), balancer.NoLoadReport)
		e.awaitDrained(partialRequestGrace)
	})
	time.Sleep(minLingerTime / 2)
	e.requireStatusBeforeEnd(e.client, 200)
	e.client.Close()
	e.requireEnd()
}

// The shutdown waits for the response to a call-back that was forwarded and that the other process has not
// handled yet.
func TestShutdownAwaitsForwardedCallBack(t *testing.T) {
	t.Parallel()
	e := newShutdownTest(t)
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
	e.lastIteration(-time.Second, func() { worker.callBackForwarded, worker.isWorker = true, true })
	select {
	case <-e.done:
		t.Error("the shutdown completed before the other process handled the call-back")
	case <-time.After(100 * time.Millisecond):
	}
	e.onLoop(func() { worker.callBackForwarded = false; worker.respond(204, "", nil) })
	e.requireStatus(caller, 204)
	e.requireEnd()
}

// While the node drains, idle connections are closed, except those with an unread request and those just
// opened, whose first request may be on its way.
func TestIdleConnectionsWhileDraining(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		t.Parallel()
		e := newShutdownTest(t)
		c := e.idleConnection()
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("got error %v, want EOF", err)
		}
	})
	t.Run("with an unread request", func(t *testing.T) {
		t.Parallel()
		e := newShutdownTest(t)
		c := e.idleConnection()
		e.onLoop(func() {
			writeExpiredRequest(c, "crossing")
			e.front.closeIdleClients()
		})
		e.requireStatusBeforeEnd(c, 503)
	})
	t.Run("just opened", func(t *testing.T) {
		t.Parallel()
		e := newShutdownTest(t)
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

// idleConnection returns an idle client connection that counts as having carried a request.
func (e *shutdownTest) idleConnection() net.Conn {
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

// minLingerTime is how long the front waits at least for a client to close its connection.
const minLingerTime = 500 * time.Millisecond

// A request that is pipelined behind a health check gets its response, too.
func TestRequestPipelinedBehindHealthCheckIsAnswered(t *testing.T) {
	t.Parallel()
	f, address := newFrontWithWorkers(t, newFakeWorker(t))
	var c net.Conn
	sent := make(chan struct{})
	f.loop.Post(func() {
		c, _ = net.Dial("tcp", address)
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		writeExpiredRequest(c, "pipelined")
		close(sent)
	})
	<-sent
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	in := bufio.NewReader(c)
	for _, status := range []int{200, 503} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("response %v, error %v, want status %d", resp, err, status)
		}
	}
}
