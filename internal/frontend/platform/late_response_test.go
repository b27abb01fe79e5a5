package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	notProcessed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	accepted     = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
)

// rawWorker is a worker whose connections the test reads and writes itself.
type rawWorker struct {
	t        *testing.T
	accepted chan net.Conn
}

// rawConn is a connection to a rawWorker.
type rawConn struct {
	net.Conn
	in *bufio.Reader
}

func newRawWorker(t *testing.T) (w *rawWorker, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w = &rawWorker{t, make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			w.accepted <- c
		}
	}()
	return w, l.Addr().String()
}

// nextConn waits for the next connection.
func (w *rawWorker) nextConn() rawConn {
	w.t.Helper()
	select {
	case c := <-w.accepted:
		return rawConn{c, bufio.NewReader(c)}
	case <-time.After(requestTimeout):
		w.t.Fatal("no connection")
		panic("unreachable")
	}
}

// readRequest reads a request with its body, and returns its id.
func (c rawConn) readRequest(t *testing.T) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	r, err := http.ReadRequest(c.in)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Request-ID")
}

// lateResponseTest has a front with one worker, which has turned job "a" away, and the connection that it
// came on. Its class must not run twice.
type lateResponseTest struct {
	t       *testing.T
	front   *Front
	address string
	worker  *rawWorker
	conn    rawConn
}

func newLateResponseTest(t *testing.T) *lateResponseTest {
	t.Helper()
	e := &lateResponseTest{t: t}
	var workerAddress string
	e.worker, workerAddress = newRawWorker(t)
	a := newDiscovery(t)
	a.state = "DRAINING"
	a.class = `{"name":"c","effect":"fragile","give_up":5000000000,"slo":4000000000}`
	a.workerAddresses = []string{workerAddress}
	e.front = newFront(t, "on_request", a)
	awaitState(t, e.front, "DRAINING", 20*drainGrace)
	e.address = e.front.address(t)
	client := sendRequest(t, e.address, "a")
	e.conn = e.worker.nextConn()
	e.conn.readRequest(t)
	fmt.Fprint(e.conn, notProcessed)
	e.requireStatus(client, 503)
	return e
}

func (e *lateResponseTest) requireStatus(c net.Conn, status int) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != status {
		e.t.Fatalf("response %v, error %v, want status %d", resp, err, status)
	}
}

// finish lets the worker report the result of a job, which its client must get.
func (e *lateResponseTest) finish(id string, client net.Conn) {
	e.t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		e.t.Fatal(err)
	}
	defer c.Close()
	body := fmt.Sprintf(`{"id":%q,"from":"s-2","state":"done","result":"ok"}`, id)
	fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	e.requireStatus(c, 204)
	e.requireStatus(client, 200)
}

// finishOnNewConn accepts job "b" on a new connection to the worker, and finishes it.
func (e *lateResponseTest) finishOnNewConn(client net.Conn) {
	e.t.Helper()
	c := e.worker.nextConn()
	c.readRequest(e.t)
	fmt.Fprint(c, accepted)
	e.finish("b", client)
}

// requireClosed fails the test unless the front closes the connection.
func (e *lateResponseTest) requireClosed(c rawConn) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	if b, err := c.in.ReadByte(); err == nil {
		e.t.Fatalf("byte %q on a connection that must not be used again", b)
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		e.t.Fatal("the connection stays open")
	}
}

// Guards against a late second response to an earlier request that is taken for the response to the next one
// on the connection: job "b", which must not run twice, would count as never run while the worker runs it.
// Whenever the second response comes, "b" gets its own result and the connection is not used again.
func TestLateSecondResponseBelongsToNoRequest(t *testing.T) {
	t.Run("before the next request is written", func(t *testing.T) {
		t.Parallel()
		e := newLateResponseTest(t)
		fmt.Fprint(e.conn, notProcessed)
		e.requireClosed(e.conn)
		e.finishOnNewConn(sendRequest(t, e.address, "b"))
	})
	t.Run("unread when the next request is written", func(t *testing.T) {
		t.Parallel()
		e := newLateResponseTest(t)
		done := make(chan net.Conn)
		e.front.loop.Post(func() { // in one turn, so that the response is unread when the request is handled
			fmt.Fprint(e.conn, notProcessed)
			done <- sendRequest(t, e.address, "b")
		})
		e.finishOnNewConn(<-done)
	})
	t.Run("while the next request is written", func(t *testing.T) {
		t.Parallel()
		e := newLateResponseTest(t)
		client, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		_ = e.conn.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		body := strings.Repeat("x", 64<<10)
		fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: b\r\nX-Priority-Class: c\r\n"+
			"X-Timeout: 4000m\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := e.conn.in.Peek(1); err != nil { // a part of the request has arrived
			t.Fatal(err)
		}
		fmt.Fprint(e.conn, notProcessed)
		e.conn.readRequest(t)
		fmt.Fprint(e.conn, accepted)
		e.finish("b", client)
		e.requireClosed(e.conn)
	})
	for name, responses := range map[string][]string{
		"after the next request and before its response": {notProcessed, accepted},
		"together with the next request's response":      {notProcessed + accepted},
		"after the next request's response":              {accepted, notProcessed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newLateResponseTest(t)
			client := sendRequest(t, e.address, "b")
			e.conn.readRequest(t)
			for _, response := range responses {
				fmt.Fprint(e.conn, response)
				time.Sleep(rejectionConfirmTime / 4)
			}
			e.finish("b", client)
			e.requireClosed(e.conn)
		})
	}
}

// A worker that turns two requests away on one connection is believed both times, whether its second
// rejection comes once or twice, and the connection is kept where nothing unexpected came.
func TestRejectionOnAReusedConnectionIsBelieved(t *testing.T) {
	e := newLateResponseTest(t)
	client := sendRequest(t, e.address, "b")
	e.conn.readRequest(t)
	fmt.Fprint(e.conn, notProcessed)
	e.requireStatus(client, 503)
	client = sendRequest(t, e.address, "c")
	if id := e.conn.readRequest(t); id != "c" {
		t.Fatalf("got request %q on the kept connection, want c", id)
	}
	fmt.Fprint(e.conn, notProcessed+notProcessed)
	e.requireStatus(client, 503)
	e.requireClosed(e.conn)
}

// A connection that ends while a rejection is held back leaves open whether the request has run.
func TestConnectionThatEndsAfterARejection(t *testing.T) {
	e := newLateResponseTest(t)
	client := sendRequest(t, e.address, "b")
	e.conn.readRequest(t)
	fmt.Fprint(e.conn, notProcessed)
	e.conn.Close()
	e.requireStatus(client, 502)
}
