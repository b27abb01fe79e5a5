package main

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client has pipelined two requests when the node receives SIGTERM. Both have been read and are answered;
// the last response closes the connection.
func TestPipelinedRequestIsAnsweredWhileDraining(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, func(_ int, _ workerCall, rw http.ResponseWriter) { rw.WriteHeader(202) })
	idle := w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.expectResponse(200, "")
	c := w.dial().send(jobRequest("a", "book", "4000m", "x") + jobRequest("b", "book", "4000m", "x"))
	eventually(t, "the first job is forwarded", func() bool { return w.callCount("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(700 * time.Millisecond) // half a second after SIGTERM, responses start to close connections
	w.callBack("a", w.workers[0].name, "done", "first")
	if resp := c.expectResponse(200, "first"); resp.Close {
		t.Error("the first response closes the connection before the second request is answered")
	}
	eventually(t, "the second job is forwarded", func() bool { return w.callCount("POST") == 2 })
	w.mu.Lock()
	timeout, err := time.ParseDuration(
		strings.Replace(w.workers[0].received[1].header.Get("X-Timeout"), "u", "us", 1),
	)
	w.mu.Unlock()
	if check(t, err); timeout > 4*time.Second-600*time.Millisecond {
		t.Errorf("the worker got a timeout of %v for a request that was sent over 0.7 s earlier with 4 s",
			timeout)
	}
	w.callBack("b", w.workers[0].name, "done", "second")
	if resp := c.expectResponse(200, "second"); !resp.Close {
		t.Error("the last response does not close the connection")
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: got %v, want EOF", err)
	}
	c.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A restarted process has the endpoint list of its configuration, which may be outdated: until discovery has
// confirmed or replaced it, the process is not ready, and requests wait.
func TestRequestWaitsForTheFirstEndpointList(t *testing.T) {
	t.Parallel()
	w := startNodeWithFirstLine(t, nil, 2, completeJob)
	w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expectResponse(503, "")
	c := w.dial().send(jobRequest("a", "quote", "4000m", "x"))
	watch := <-w.watches
	time.Sleep(300 * time.Millisecond)
	if n := w.callCount("POST"); n != 0 {
		t.Fatalf("%d requests were sent before discovery confirmed the list", n)
	}
	watch.lines <- `{"generation":42,"reset":false,"instances":[` +
		w.workers[0].instanceJSON("DRAINING") + `]}`
	c.expectResponse(200, "did x")
	if n := w.workers[0].callCount(); n != 0 {
		t.Errorf("%d requests were sent to a worker that was drained before the start", n)
	}
}

// A worker accepts a request and never calls back, and the node receives SIGTERM: the client gets a final
// response at its deadline, and the process exits after that.
func TestShutdownEndsWhileAWorkerHangs(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, func(_ int, _ workerCall, rw http.ResponseWriter) { rw.WriteHeader(202) })
	const timeout = 2 * time.Second
	sent := time.Now()
	c := w.dial().send(jobRequest("hung", "book", "2000m", "x"))
	eventually(t, "the job is forwarded", func() bool { return w.callCount("POST") == 1 })
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	c.expectResponse(502, "")
	took := time.Since(sent)
	if took < timeout-100*time.Millisecond || took > timeout+500*time.Millisecond {
		t.Errorf("final response after %v, want about %v", took, timeout)
	}
	c.Close()
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// While the node is stalled, requests arrive on a kept connection and on one that it has not accepted yet,
// and then SIGTERM: both requests are answered.
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
