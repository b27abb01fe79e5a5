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

// Calls are answered however they come, beside callers that send nothing, and what is no
// call changes nothing.
func TestAdminCallsAreAnsweredHoweverTheyArrive(t *testing.T) {
	o := startNodeWithAdmin(t, 1, completeJob)
	for range 20 { // more than there is room for
		c, err := net.Dial("tcp", o.admin)
		check(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, "stan")
	}
	o.expectReply("ACK", "status\n")
	o.expectReply("ACK", "status\r\n")
	o.expectReply("ACK", strings.Split("status\r\n", "")...)
	o.expectReply("ACK", "status\nmaint-on s-0000\nstandby\n") // one line to a connection
	o.expectReply("NAK", "\n")
	o.expectReply("NAK", "what\n")
	o.expectReply("NAK", "maint-on\n")
	o.expectReply("NAK", "maint-on s-0000 s-0000\n")
	o.expectReply("NAK", "maint-on s-9999\n")
	o.expectReply("NAK", "maint-off s-9999\n")
	o.expectReply("NAK", "standby \x00\n")
	o.expectReply("NAK", strings.Repeat("x", 2000))
	if s := o.metrics(); s.Ejected != 0 || s.Discovered != 1 {
		t.Errorf("a call that was no call has changed something: %+v", s)
	}
	o.dial().send("GET /_health HTTP/1.1\r\n\r\n").expectResponse(200, "")
}

// The command makes the same calls, prints the reply and ends with its exit code.
func TestCallCommandPrintsReplyAndExitCode(t *testing.T) {
	o := startNodeWithAdmin(t, 1, completeJob)
	o.dial().send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "")
	for _, c := range []struct {
		args []string
		code int
		says string
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
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.says) {
			t.Errorf("call %q ended with %d and printed %q", c.args, code, out)
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
	eventually(t, "the jobs are out", func() bool { return o.metrics().Forwards == 8 })
	if s := o.metrics(); s.Outstanding != 2 || s.Discovered != 2 {
		t.Errorf("with two jobs open: %+v", s)
	}
	leaves.Close()
	finish()
	held.expectResponse(200, "late")
	eventually(t, "nothing is open", func() bool { return o.metrics().Outstanding == 0 })
	for _, h := range o.workers {
		o.expectReply("ACK", "maint-on "+h.name+"\n")
	}
	o.dial().send(jobRequest("declined", "book", "4000m", "x")).expectResponse(503, "")
	s := o.metrics()
	q, b := s.Results["quote"], s.Results["book"]
	if q.Succeeded != 5 || q.Declined+q.Aborted != 0 || b.Succeeded != 1 || b.Declined != 1 ||
		b.Aborted != 1 || s.Left != 1 || s.Ejected != 2 || s.Forwards != o.callCount("POST") {
		t.Errorf("the workers got %d attempts; the metrics: %+v", o.callCount("POST"), s)
	}
}

// Maintenance lasts whatever the endpoint list contains, until the call that ends it.
func TestMaintenanceOutlivesEndpointListUpdates(t *testing.T) {
	o := startNodeWithAdmin(t, 2, completeJob)
	watch := <-o.watches
	out, other := o.workers[0], o.workers[1]
	n := 0
	jobs := func(want int) {
		t.Helper()
		before := out.callCount()
		for range 10 {
			n++
			o.dial().send(jobRequest(fmt.Sprint("m", n), "book", "4000m", "x")).expectResponse(200, "")
		}
		if got := out.callCount() - before; (got > 0) != (want > 0) {
			t.Errorf("it got %d of 10 jobs", got)
		}
	}
	update := func(reset bool, lines ...string) {
		n++
		watch.lines <- fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, 41+n, reset,
			strings.Join(lines, ","))
	}
	jobs(1)
	o.expectReply("ACK", "maint-on "+out.name+"\n")
	o.expectReply("ACK", "maint-on "+out.name+"\n")
	jobs(0)
	update(false, out.instanceJSON("SERVING"))
	update(false, out.instanceJSON("DRAINING"))
	update(false, out.instanceJSON("DELETED"))
	eventually(t, "it is off the endpoint list", func() bool { return o.metrics().Discovered == 1 })
	update(true, other.instanceJSON("SERVING"), out.instanceJSON("SERVING"))
	eventually(t, "it is back on the endpoint list", func() bool { return o.metrics().Discovered == 2 })
	if s := o.metrics(); s.Ejected != 1 {
		t.Errorf("under maintenance: %+v", s)
	}
	jobs(0)
	o.expectReply("ACK", "maint-off "+out.name+"\n")
	jobs(1)
	o.expectReply("ACK", "maint-off "+out.name+"\n")
	update(false, out.instanceJSON("DELETED"))
	eventually(t, "it is off the endpoint list", func() bool { return o.metrics().Discovered == 1 })
	o.expectReply("ACK", "maint-on "+out.name+"\n") // it was listed once
	update(false, out.instanceJSON("SERVING"))
	eventually(t, "it is back on the endpoint list", func() bool { return o.metrics().Ejected == 1 })
	jobs(0)
}

// A node on standby closes its clients' connections, answers the requests that it has, and serves again
// at a call.
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
	idle.send(jobRequest("b", "quote", "4000m", "x")).expectResponse(200, "") // it is taken as ever at first
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection of a client stays: %v", err)
	}
	if resp := o.dial().send(jobRequest("c", "quote", "4000m", "x")).expectResponse(200, ""); !resp.Close {
		t.Error("an answer while clients are sent away keeps the connection")
	}
	worker.send(event).expectResponse(204, "")
	finish()
	if resp := long.expectResponse(200, "ok"); !resp.Close {
		t.Error("the answer to a job taken before keeps the connection")
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
	eventually(t, "it is to end", func() bool {
		return strings.HasPrefix(adminCall(t, o.admin, "status\n"), "NAK")
	})
	o.expectReply("ACK", "standby\n")
	o.expectReply("NAK", "active\n")
	finish()
	c.expectResponse(200, "ok")
	check(t, o.cmd.Wait())
}
