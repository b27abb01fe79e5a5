package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/proxy/drain"
)

// sigkillAfter is the earliest time after SIGTERM at which the platform sends SIGKILL in a planned restart:
// the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const sigkillAfter = 3700 * time.Millisecond

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

// Guards against a front that serves on after SIGTERM until another front has drained: a worker of the
// Faktory front holds a job throughout. The HTTP front must fail health checks at once, close its connections
// and its address when its own work is done, and accept nothing from then on; the Faktory job is finished all
// the same.
func TestFrontsDrainAtTheSameTime(t *testing.T) {
	t.Parallel()
	w, addr := startFaktoryNodeWithWorkers(t, 1, "")
	worker, producer := connectFaktory(t, addr, "w1"), connectFaktory(t, addr, "")
	worker.fetch("default")
	producer.expectReply(pushCommand("job-held", "quote", `,"reserve_for":60,"custom":{"deadline":60}`),
		"+OK")
	worker.expectJob("job-held")
	idle := w.dial()
	idle.send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "did x")
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	eventually(t, "health checks fail", func() bool { return !w.healthy() })
	if after := time.Since(signalled); after > drain.HealthCheckGrace {
		t.Errorf("health checks failed %v after SIGTERM, want them to fail at once", after)
	}
	request := jobRequest("partial", "quote", "4000m", "xyz")
	partial := w.dial().send(request[:100])
	time.Sleep(drain.HealthCheckGrace + 100*time.Millisecond - time.Since(signalled))
	late := w.dial().send(jobRequest("b", "quote", "4000m", "y"))
	if resp := late.expectResponse(200, "did y"); !resp.Close {
		t.Error("a response 0.6 s after SIGTERM does not close its connection")
	}
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read on an idle connection after SIGTERM: got %v, want EOF", err)
	}
	eventually(t, "the HTTP front's address is closed", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if after := time.Since(signalled); after > sigkillAfter {
		t.Errorf("the HTTP front had drained %v after SIGTERM, when SIGKILL would have come", after)
	}
	_, _ = io.WriteString(partial, request[100:]) // fails if the connection is closed already
	if _, err := partial.r.ReadByte(); err == nil {
		t.Error("a request that became complete after the HTTP front had drained was answered")
	}
	worker.ack("job-held")
	if got := producer.state("job-held"); got != "success" {
		t.Errorf("the Faktory job is %q after its ACK, want success", got)
	}
	if err := w.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if n := w.callCount("POST"); n != 2 {
		t.Errorf("%d requests were forwarded, want the two that were complete", n)
	}
}

// Guards against a request that is taken late in a planned restart and found unanswered by SIGKILL: its
// client completes it over a second after SIGTERM, on a connection that stays open because part of it had
// come. It is served if it can be finished, rejected at once and not forwarded if jobs of its class run for
// too long, and has its final response before SIGKILL in any case, also if it runs longer than others of its
// class.
func TestLateRequestIsAnsweredBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	const longJob = 2700 * time.Millisecond
	w := startNode(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		duration := 10 * time.Millisecond
		if strings.HasPrefix(s.body, "long") {
			duration = longJob
		}
		go func() {
			time.Sleep(duration)
			s.worker.node.callBack(s.id, s.worker.name, "done", "did "+s.body)
		}()
	})
	// Without a cost, a job is expected to run for as long as others of its class.
	lateJob := func(id, class, body string) string {
		return strings.Replace(jobRequest(id, class, "15000m", body), "X-Cost: 1000\r\n", "", 1)
	}
	earlier := w.dial().send(lateJob("earlier", "book", "long"))
	w.dial().send(lateJob("earlier-short", "quote", "short")).expectResponse(200, "did short")
	earlier.expectResponse(200, "did long")

	begin := func(id, class, body string) (c *client, rest string) {
		request := lateJob(id, class, body)
		half := len(request) - len(body)
		return w.dial().send(request[:half]), request[half:]
	}
	short, shortRest := begin("short", "quote", "short")
	long, longRest := begin("long", "book", "long one")
	unlike, unlikeRest := begin("unlike", "quote", "long, unlike others of its class")
	check(t, w.cmd.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	time.Sleep(1200 * time.Millisecond)
	short.send(shortRest)
	unlike.send(unlikeRest)
	long.send(longRest)
	if resp := long.expectResponse(503, ""); resp.Header.Get("Retry-After") == "" {
		t.Error("the request that could not be finished was rejected without Retry-After")
	}
	if after := time.Since(signalled); after > 2*time.Second {
		t.Errorf("the request that could not be finished was rejected %v after SIGTERM, want at once", after)
	}
	short.expectResponse(200, "did short")
	unlike.expectResponse(503, "") // its class may be repeated
	if after := time.Since(signalled); after > sigkillAfter {
		t.Errorf("the last response came %v after SIGTERM, when SIGKILL would have come", after)
	}
	if n := w.callCount("POST"); n != 4 {
		t.Errorf("%d requests were forwarded, want the 4 that could be finished", n)
	}
	for _, c := range []*client{short, long, unlike} {
		c.Close()
	}
	check(t, w.cmd.Wait())
}
