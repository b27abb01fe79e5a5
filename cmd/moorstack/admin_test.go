package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// Admin calls are answered however their bytes are split, and while other callers send incomplete calls.
// Invalid calls change nothing.
func TestAdminCallsAreAnsweredHoweverTheyArrive(t *testing.T) {
	o := startNodeWithAdmin(t, 1, completeJob)
	for range 20 { // more connections than the admin address keeps
		c, err := net.Dial("tcp", o.admin)
		check(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, "stan")
	}
	o.expectReply("ACK", "status\n")
	o.expectReply("ACK", "status\r\n")
	o.expectReply("ACK", strings.Split("status\r\n", "")...)
	o.expectReply("ACK", "status\nmaint-on s-0000\nstandby\n") // only a connection's first line is read
	o.expectReply("NAK", "\n")
	o.expectReply("NAK", "what\n")
	o.expectReply("NAK", "maint-on\n")
	o.expectReply("NAK", "maint-on s-0000 s-0000\n")
	o.expectReply("NAK", "maint-on s-9999\n")
	o.expectReply("NAK", "maint-off s-9999\n")
	o.expectReply("NAK", "standby \x00\n")
	o.expectReply("NAK", strings.Repeat("x", 2000))
	if s := o.metrics(); s.Ejected != 0 || s.Discovered != 1 {
		t.Errorf("an invalid call changed the metrics: %+v", s)
	}
	o.dial().send("GET /_health HTTP/1.1\r\n\r\n").expectResponse(200, "")
}

// The command "call" sends the same calls, prints the reply and exits with the matching code.
func TestCallCommandPrintsReplyAndExitCode(t *testing.T) {
	o := startNodeWithAdmin(t, 1, completeJob)
	o.dial().send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "")
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{o.admin, "status"}, 0, "ACK status\n"},
		{[]string{o.admin, "maint-on", o.workers[0].name}, 0, "ACK maint-on s-0000\n"},
		{[]string{o.admin, "maint-on", "nobody"}, 1, "NAK no trip worker of this id"},
		{[]string{o.admin, "stats"}, 0, "quote  1          0         0\n"},
		{[]string{o.admin, "stats", "--output", "json"}, 0, `"forwards":1`},
		{[]string{o.admin, "stats", "--output", "xml"}, 2, "must be table or json"},
		{[]string{"127.0.0.1:1", "status"}, 1, "admin_addr"},
		{[]string{o.admin}, 2, "between 2 and 3"},
	} {
		cmd := exec.Command(program, append([]string{"call"}, c.args...)...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.output) {
			t.Errorf("call %q: exit code %d, output %q", c.args, code, out)
		}
	}
}

// The metrics agree with what the clients and the workers observed.
func TestMetricsAgreeWithClientsAndWorkers(t *testing.T) {
	hold := make(chan func(), 1)
	o := startNodeWithAdmin(t, 2, func(n int, s workerCall, rw http.ResponseWriter) {
		switch {
		case strings.HasPrefix(s.id, "fails"):
			rw.WriteHeader(400)
		case strings.HasPrefix(s.id, "held"):
			rw.WriteHeader(202)
			hold <- func() { s.worker.node.callBack(s.id, s.worker.name, "done", "late") }
		case strings.HasPrefix(s.id, "leaves"):
			rw.WriteHeader(202)
		default:
			acceptJob(s, rw, "done")
		}
	})
	for i := range 5 {
		o.dial().send(jobRequest(fmt.Sprint("q", i), "quote", "4000m", "x")).expectResponse(200, "")
	}
	o.dial().send(jobRequest("fails", "book", "4000m", "x")).expectResponse(502, "")
	o.dial().send(jobRequest("bad", "nothing", "4000m", "x")).expectResponse(400, "")
	held := o.dial().send(jobRequest("held", "book", "4000m", "x"))
	leaves := o.dial().send(jobRequest("leaves", "quote", "4000m", "x"))
	finish := <-hold
	eventually(t, "all jobs are forwarded", func() bool { return o.metrics().Forwards == 8 })
	if s := o.metrics(); s.Outstanding != 2 || s.Discovered != 2 {
		t.Errorf("metrics with two jobs in flight: %+v", s)
	}
	leaves.Close()
	finish()
	held.expectResponse(200, "late")
	eventually(t, "no job is in flight", func() bool { return o.metrics().Outstanding == 0 })
	for _, h := range o.workers {
		o.expectReply("ACK", "maint-on "+h.name+"\n")
	}
	o.dial().send(jobRequest("declined", "book", "4000m", "x")).expectResponse(503, "")
	s := o.metrics()
	q, b := s.Results["quote"], s.Results["book"]
	if q.Succeeded != 5 || q.Declined+q.Aborted != 0 || b.Succeeded != 1 || b.Declined != 1 ||
		b.Aborted != 1 || s.Left != 1 || s.Ejected != 2 || s.Forwards != o.callCount("POST") {
		t.Errorf("the workers received %d attempts; metrics: %+v", o.callCount("POST"), s)
	}
}

// A worker stays in maintenance through updates of the endpoint list, until an operator ends the maintenance.
func TestMaintenanceOutlivesEndpointListUpdates(t *testing.T) {
	o := startNodeWithAdmin(t, 2, completeJob)
	watch := <-o.watches
	maintained, other := o.workers[0], o.workers[1]
	n := 0
	sendJobs := func(want int) {
		t.Helper()
		before := maintained.callCount()
		for range 10 {
			n++
			o.dial().send(jobRequest(fmt.Sprint("m", n), "book", "4000m", "x")).expectResponse(200, "")
		}
		if got := maintained.callCount() - before; (got > 0) != (want > 0) {
			t.Errorf("the worker got %d of 10 jobs", got)
		}
	}
	update := func(reset bool, lines ...string) {
		n++
		watch.lines <- fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, 41+n, reset,
			strings.Join(lines, ","))
	}
	sendJobs(1)
	o.expectReply("ACK", "maint-on "+maintained.name+"\n")
	o.expectReply("ACK", "maint-on "+maintained.name+"\n")
	sendJobs(0)
	update(false, maintained.instanceJSON("SERVING"))
	update(false, maintained.instanceJSON("DRAINING"))
	update(false, maintained.instanceJSON("DELETED"))
	eventually(t, "the worker is off the endpoint list", func() bool { return o.metrics().Discovered == 1 })
	update(true, other.instanceJSON("SERVING"), maintained.instanceJSON("SERVING"))
	eventually(t, "the worker is back on the endpoint list",
		func() bool { return o.metrics().Discovered == 2 })
	if s := o.metrics(); s.Ejected != 1 {
		t.Errorf("metrics with a worker in maintenance: %+v", s)
	}
	sendJobs(0)
	o.expectReply("ACK", "maint-off "+maintained.name+"\n")
	sendJobs(1)
	o.expectReply("ACK", "maint-off "+maintained.name+"\n")
	update(false, maintained.instanceJSON("DELETED"))
	eventually(t, "the worker is off the endpoint list", func() bool { return o.metrics().Discovered == 1 })
	o.expectReply("ACK", "maint-on "+maintained.name+"\n") // accepted, as the worker was listed before
	update(false, maintained.instanceJSON("SERVING"))
	eventually(t, "the worker is back on the endpoint list", func() bool { return o.metrics().Ejected == 1 })
	sendJobs(0)
}

// A node on standby closes its clients' connections and answers the requests in flight; the call "active"
// makes it serve again.
func TestStandbyDrainsClientsAndActiveServesAgain(t *testing.T) {
	hold := make(chan func(), 1)
	o := startNodeWithAdmin(t, 1, func(n int, s workerCall, rw http.ResponseWriter) {
		if s.id != "long" {
			acceptJob(s, rw, "done")
			return
		}
		rw.WriteHeader(202)
		hold <- func() { s.worker.node.callBack(s.id, s.worker.name, "done", "ok") }
	})
	health := "GET /_health HTTP/1.1\r\n\r\n"
	idle := o.dial().send(jobRequest("a", "quote", "4000m", "x"))
	idle.expectResponse(200, "")
	long := o.dial().send(jobRequest("long", "book", "4000m", "x"))
	finish := <-hold
	worker := o.dial()
	event := "POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
	worker.send(event).expectResponse(204, "")

	o.expectReply("ACK", "standby\n")
	o.expectReply("ACK", "standby\n")
	o.expectReply("NAK", "status\n")
	o.dial().send(health).expectResponse(503, "")
	idle.send(jobRequest("b", "quote", "4000m", "x")).expectResponse(200, "") // still accepted at first
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read from a client's idle connection: got %v, want EOF", err)
	}
	if resp := o.dial().send(jobRequest("c", "quote", "4000m", "x")).expectResponse(200, ""); !resp.Close {
		t.Error("a response on standby does not close the connection")
	}
	worker.send(event).expectResponse(204, "")
	finish()
	if resp := long.expectResponse(200, "ok"); !resp.Close {
		t.Error("the response to a job accepted before standby does not close the connection")
	}

	o.expectReply("ACK", "active\n")
	o.expectReply("ACK", "status\n")
	o.dial().send(health).expectResponse(200, "")
	c := o.dial()
	for _, id := range []string{"d", "e"} {
		c.send(jobRequest(id, "quote", "4000m", "x")).expectResponse(200, "")
	}
	worker.send(event).expectResponse(204, "")

	c.send(jobRequest("long", "quote", "4000m", "x"))
	finish = <-hold
	check(t, o.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "the node rejects status calls during its shutdown", func() bool {
		return strings.HasPrefix(adminCall(t, o.admin, "status\n"), "NAK")
	})
	o.expectReply("ACK", "standby\n")
	o.expectReply("NAK", "active\n")
	finish()
	c.expectResponse(200, "ok")
	check(t, o.cmd.Wait())
}
