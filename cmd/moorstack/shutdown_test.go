package main

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client has sent a request ahead of the answer to the one before it when the node gets SIGTERM. Both
// have been read, and both are answered; the last answer closes the connection.
func TestPipelinedRequestIsAnsweredWhileDraining(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, func(_ int, _ workerCall, rw http.ResponseWriter) { rw.WriteHeader(202) })
	idle := w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.expectResponse(200, "")
	c := w.dial().send(jobRequest("a", "book", "4000m", "x") + jobRequest("b", "book", "4000m", "x"))
	eventually(t, "the first job is out", func() bool { return w.callCount("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(700 * time.Millisecond) // from half a second on answers close their connections
	w.callBack("a", w.workers[0].name, "done", "first")
	if resp := c.expectResponse(200, "first"); resp.Close {
		t.Error("the first answer closes the connection under the second request")
	}
	eventually(t, "the second job is out", func() bool { return w.callCount("POST") == 2 })
	w.mu.Lock()
	timeout, err := time.ParseDuration(
		strings.Replace(w.workers[0].received[1].header.Get("X-Timeout"), "u", "us", 1),
	)
	w.mu.Unlock()
	if check(t, err); timeout > 4*time.Second-600*time.Millisecond {
		t.Errorf("the worker got a timeout of %v, for a request that was sent over 0.7 s before with 4 s",
			timeout)
	}
	w.callBack("b", w.workers[0].name, "done", "second")
	if resp := c.expectResponse(200, "second"); !resp.Close {
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
func TestRequestWaitsForTheFirstEndpointList(t *testing.T) {
	t.Parallel()
	w := startNodeWithFirstLine(t, nil, 2, completeJob)
	w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expectResponse(503, "")
	c := w.dial().send(jobRequest("a", "quote", "4000m", "x"))
	watch := <-w.watches
	time.Sleep(300 * time.Millisecond)
	if n := w.callCount("POST"); n != 0 {
		t.Fatalf("%d requests are sent by a list that nobody has confirmed", n)
	}
	watch.lines <- `{"generation":42,"reset":false,"instances":[` +
		w.workers[0].instanceJSON("DRAINING") + `]}`
	c.expectResponse(200, "did x")
	if n := w.workers[0].callCount(); n != 0 {
		t.Errorf("%d requests are sent to a worker that was drained before the start", n)
	}
}

// A worker takes a request and sends nothing more while the node gets SIGTERM: its client has a final answer
// when its time is up, and the process ends after it.
func TestShutdownEndsWhileAWorkerHangs(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, func(_ int, _ workerCall, rw http.ResponseWriter) { rw.WriteHeader(202) })
	const patience = 2 * time.Second
	sent := time.Now()
	c := w.dial().send(jobRequest("hung", "book", "2000m", "x"))
	eventually(t, "the job is out", func() bool { return w.callCount("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	c.expectResponse(502, "")
	took := time.Since(sent)
	if took < patience-100*time.Millisecond || took > patience+500*time.Millisecond {
		t.Errorf("the final answer comes after %v, of %v", took, patience)
	}
	c.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// The node is stalled. Meanwhile requests come, on a connection that it has not accepted and on one that it
// keeps, and it gets SIGTERM: both are answered.
func TestRequestsThatCrossTheShutdown(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, completeJob)
	kept := w.dial().send(jobRequest("a", "quote", "3000m", "x"))
	kept.expectResponse(200, "did x")
	check(t, w.cmd.Process.Signal(syscall.SIGSTOP))
	kept.send(jobRequest("b", "quote", "3000m", "y"))
	fresh := w.dial().send(jobRequest("c", "quote", "3000m", "z"))
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	check(t, w.cmd.Process.Signal(syscall.SIGCONT))
	kept.expectResponse(200, "did y")
	fresh.expectResponse(200, "did z")
	kept.Close()
	fresh.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}
