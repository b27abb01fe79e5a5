package main

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client has sent a request ahead of the answer to the one before it when the node is told to end. Both
// have been read, and both are answered; the last answer closes the connection.
func TestRequestSentAheadOfTheEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, func(_ int, _ seen, rw http.ResponseWriter) { rw.WriteHeader(202) })
	idle := w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.want(200, "")
	c := w.dial().send(job("a", "book", "4000m", "x") + job("b", "book", "4000m", "x"))
	eventually(t, "the first job is out", func() bool { return w.calls("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(700 * time.Millisecond) // from half a second on answers close their connections
	w.callBack("a", w.hops[0].name, "done", "first")
	if resp := c.want(200, "first"); resp.Close {
		t.Error("the first answer closes the connection under the second request")
	}
	eventually(t, "the second job is out", func() bool { return w.calls("POST") == 2 })
	w.mu.Lock()
	told, err := time.ParseDuration(strings.Replace(w.hops[0].got[1].header.Get("X-Timeout"), "u", "us", 1))
	w.mu.Unlock()
	if check(t, err); told > 4*time.Second-600*time.Millisecond {
		t.Errorf("the worker is told of %v, of a request that was sent over 0.7 s before with 4 s", told)
	}
	w.callBack("b", w.hops[0].name, "done", "second")
	if resp := c.want(200, "second"); !resp.Close {
		t.Error("the last answer does not close the connection")
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	c.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A process that comes back has the list of its configuration, which may be long past: until discovery has
// spoken it is not ready, and requests wait for the list and go by it.
func TestRequestBeforeTheFirstList(t *testing.T) {
	t.Parallel()
	w := newWorldSaying(t, nil, 2, done)
	w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").want(503, "")
	c := w.dial().send(job("a", "quote", "4000m", "x"))
	watch := <-w.watches
	time.Sleep(300 * time.Millisecond)
	if n := w.calls("POST"); n != 0 {
		t.Fatalf("%d requests are sent by a list that nobody has confirmed", n)
	}
	watch.line <- `{"generation":42,"reset":false,"instances":[` + w.hops[0].line("DRAINING") + `]}`
	c.want(200, "did x")
	if n := w.hops[0].calls(); n != 0 {
		t.Errorf("%d requests are sent to a worker that was drained before the start", n)
	}
}

// A worker takes a request and says nothing more while the node is told to end: its client has a final answer
// when its time is up, and the process ends after it.
func TestWorkerHungThroughTheEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, func(_ int, _ seen, rw http.ResponseWriter) { rw.WriteHeader(202) })
	const patience = 2 * time.Second
	sent := time.Now()
	c := w.dial().send(job("hung", "book", "2000m", "x"))
	eventually(t, "the job is out", func() bool { return w.calls("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	c.want(502, "")
	took := time.Since(sent)
	if took < patience-100*time.Millisecond || took > patience+500*time.Millisecond {
		t.Errorf("the final answer comes after %v, of %v", took, patience)
	}
	c.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// The node stands still. Meanwhile requests come, on a connection that it has not accepted and on one that it
// keeps, and it is told to end: both are answered.
func TestRequestsThatCrossTheEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, done)
	kept := w.dial().send(job("a", "quote", "3000m", "x"))
	kept.want(200, "did x")
	check(t, w.cmd.Process.Signal(syscall.SIGSTOP))
	kept.send(job("b", "quote", "3000m", "y"))
	fresh := w.dial().send(job("c", "quote", "3000m", "z"))
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	check(t, w.cmd.Process.Signal(syscall.SIGCONT))
	kept.want(200, "did y")
	fresh.want(200, "did z")
	kept.Close()
	fresh.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}
