package platform

import (
	"bufio"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/drain"
)

// ending is a front in the last moment of its process: the notice is over, and one request, "last", is out.
type ending struct {
	t       *testing.T
	f       *Front
	address string
	client  stdnet.Conn // of the last request
	ended   chan struct{}
}

func newEnding(t *testing.T) *ending {
	t.Helper()
	w := newWorker(t)
	f, address := served(t, w)
	e := &ending{t: t, f: f, address: address, ended: make(chan struct{})}
	e.client = ask(t, address, "last")
	<-w.jobs
	e.onLoop(func() { // as Drain does, but for the looks at the end, which are the test's
		f.drain.BeginShutdown(f.loop.Now())
		f.scheduleClosing()
	})
	for closing := false; !closing; time.Sleep(time.Millisecond) {
		e.onLoop(func() { closing = f.drain.State() == drain.ClosingConnections })
	}
	return e
}

// onLoop runs f within one turn of the loop.
func (e *ending) onLoop(f func()) {
	done := make(chan struct{})
	e.f.loop.Post(func() { f(); close(done) })
	<-done
}

// moment is one turn of the loop in which nothing is under way any more and the end is looked at, with what
// comes between the two. Until is how long the end waits for what may yet come.
func (e *ending) moment(until time.Duration, between func()) {
	e.onLoop(func() {
		for c := range e.f.clients {
			if c.awaitsResponse { // its client leaves, so that no answer is on its way
				c.conn.Close()
				c.OnClose(c.conn, io.EOF)
			}
		}
		between()
		e.finish(until)
	})
}

// finish looks at the end.
func (e *ending) finish(until time.Duration) {
	e.f.awaitDrained(e.f.loop.Now()+until, func() { close(e.ended) })
}

// reads fails unless an answer comes on the connection.
func (e *ending) reads(c stdnet.Conn, status int) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != status {
		e.t.Fatalf("%v, %v, want %d", resp, err, status)
	}
}

// answered fails unless an answer comes that closes the connection, and the process waits for its client to
// close, too.
func (e *ending) answered(c stdnet.Conn, status int) {
	e.t.Helper()
	e.reads(c, status)
	select {
	case <-e.ended:
		e.t.Error("the process ends before its client has the answer")
	default:
	}
}

// over fails unless the process ends.
func (e *ending) over() {
	e.t.Helper()
	select {
	case <-e.ended:
	case <-time.After(patience):
		e.t.Error("the process does not end")
	}
}

// write sends a request that no worker can get: its time is up as it comes.
func write(c stdnet.Conn, id string) {
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx", id)
}

// What comes in the very turn in which a process would end is answered first.
func TestRequestsInTheLastMoment(t *testing.T) {
	for name, until := range map[string]time.Duration{"soon": partialRequestGrace,
		"long after the notice": -time.Second} {
		t.Run("on a connection not accepted yet, "+name, func(t *testing.T) {
			t.Parallel()
			e := newEnding(t)
			var c stdnet.Conn
			e.moment(until, func() {
				c, _ = stdnet.Dial("tcp", e.address)
				write(c, "new")
			})
			defer c.Close()
			e.answered(c, 503)
			c.Close()
			e.over()
		})
		t.Run("unread on a connection that is kept, "+name, func(t *testing.T) {
			t.Parallel()
			e := newEnding(t)
			other := e.kept()
			e.moment(until, func() { write(other, "unread") })
			e.answered(other, 503)
			other.Close()
			e.over()
		})
	}
	t.Run("the first one of a connection that was just opened", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		var c stdnet.Conn
		e.moment(partialRequestGrace, func() { c, _ = stdnet.Dial("tcp", e.address) })
		defer c.Close()
		time.Sleep(100 * time.Millisecond)
		write(c, "first")
		e.answered(c, 503)
		c.Close()
		e.over()
	})
	t.Run("half of one that has come", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		var c stdnet.Conn
		e.moment(partialRequestGrace, func() {
			c, _ = stdnet.Dial("tcp", e.address)
			fmt.Fprint(c, "POST /api HT")
		})
		defer c.Close()
		time.Sleep(partialRequestGrace * 3 / 4) // longer than a connection counts as just opened
		fmt.Fprint(c, "TP/1.1\r\nHost: x\r\nX-Request-ID: half\r\nX-Priority-Class: c\r\n"+
			"X-Timeout: 1u\r\nContent-Length: 1\r\n\r\nx")
		e.answered(c, 503)
		c.Close()
		e.over()
	})
	t.Run("an answer whose client has not closed yet", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		e.onLoop(func() {
			e.f.broker.EndAttemptAt("last", "s-2", balancer.OK, []byte("done"), balancer.NoLoadReport)
			e.finish(partialRequestGrace)
		})
		time.Sleep(lingers / 2)
		e.answered(e.client, 200)
		e.client.Close()
		e.over()
	})
}

// A worker's word that the process beside this one has been asked about, and has not answered yet, is owed
// its answer.
func TestRelayedWordInTheLastMoment(t *testing.T) {
	t.Parallel()
	e := newEnding(t)
	caller, err := stdnet.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	var asked *client
	for asked == nil {
		e.onLoop(func() {
			for c := range e.f.clients {
				if !c.awaitsResponse {
					asked = c
				}
			}
		})
	}
	e.moment(-time.Second, func() { asked.callBackForwarded, asked.isWorker = true, true })
	select {
	case <-e.ended:
		t.Error("the process ends before the other one has answered")
	case <-time.After(100 * time.Millisecond):
	}
	e.onLoop(func() { asked.callBackForwarded = false; asked.respond(204, "", nil) })
	e.reads(caller, 204)
	e.over()
}

// Clients are sent away: an idle connection is closed, but not over a request that lies unread, and not while
// the first request of one that was just opened is on its way.
func TestIdleConnectionsWhileClientsAreSentAway(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		c := e.kept()
		_ = c.SetReadDeadline(time.Now().Add(patience))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%v, want the end", err)
		}
	})
	t.Run("with an unread request", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		c := e.kept()
		e.onLoop(func() {
			write(c, "crossing")
			e.f.closeIdleClients()
		})
		e.answered(c, 503)
	})
	t.Run("just opened", func(t *testing.T) {
		t.Parallel()
		e := newEnding(t)
		c, err := stdnet.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(2 * closeIdleInterval)
		write(c, "first")
		e.answered(c, 503)
	})
}

// kept is a connection that has carried a request, and is idle while clients are sent away.
func (e *ending) kept() stdnet.Conn {
	e.t.Helper()
	c, err := stdnet.Dial("tcp", e.address)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	for found := false; !found; {
		e.onLoop(func() {
			for other := range e.f.clients {
				if !other.awaitsResponse {
					other.sentMessage, found = true, true
				}
			}
		})
	}
	return c
}

// lingers is how long a connection may be ended, at least, before the process gives it up.
const lingers = 500 * time.Millisecond

// Health is asked, and a request was sent ahead behind it: both are answered.
func TestRequestSentAheadOfHealth(t *testing.T) {
	t.Parallel()
	f, address := served(t, newWorker(t))
	var c stdnet.Conn
	held := make(chan struct{})
	f.loop.Post(func() {
		c, _ = stdnet.Dial("tcp", address)
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		write(c, "ahead")
		close(held)
	})
	<-held
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	for _, status := range []int{200, 503} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("%v, %v, want %d", resp, err, status)
		}
	}
}
