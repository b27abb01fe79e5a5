package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/broker"
)

// responseFate is what becomes of the response to a call-back.
type responseFate int

const (
	responseRead    responseFate = iota
	responseReset                // the worker's connection is reset before it has read the response
	responseDropped              // the network drops all packets to the worker, and nobody notices
)

// callBackTest has a front with two workers, which returns and accepts the same scheduled job again and
// again.
type callBackTest struct {
	t         *testing.T
	front     *Front
	address   string
	workers   [2]*fakeWorker
	responses chan broker.Response
}

// Respond implements broker.Client.
func (e *callBackTest) Respond(r broker.Response) { e.responses <- r }

func newCallBackTest(t *testing.T) *callBackTest {
	e := &callBackTest{t: t, workers: [2]*fakeWorker{newFakeWorker(t), newFakeWorker(t)},
		responses: make(chan broker.Response, 4)}
	e.front, e.address = newFrontWithWorkers(t, e.workers[:]...)
	return e
}

// submit submits the job under its id, and returns the index of the worker that gets it. The worker accepts
// it.
func (e *callBackTest) submit() int {
	e.t.Helper()
	e.front.loop.Post(func() {
		err := e.front.SubmitScheduled(ScheduledRequest{ID: "job", Timeout: requestTimeout, Path: "/"}, e)
		if err != nil {
			e.t.Error(err)
		}
	})
	return e.nextAttempt()
}

// nextAttempt waits for an attempt, and returns the index of its worker, which accepts it.
func (e *callBackTest) nextAttempt() int {
	e.t.Helper()
	var conn net.Conn
	worker := 0
	select {
	case conn = <-e.workers[0].attempts:
	case conn = <-e.workers[1].attempts:
		worker = 1
	case <-time.After(requestTimeout):
		e.t.Fatal("no attempt")
	}
	fmt.Fprint(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	return worker
}

// call sends a call-back of a worker on a new connection.
func (e *callBackTest) call(worker int, state string, header string, fate responseFate) {
	e.t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	if fate == responseDropped {
		dropIncoming(e.t, c.(*net.TCPConn))
	}
	body := fmt.Sprintf(`{"id":"job","from":"s-%d","state":%q,"result":"ok"}`, worker+2, state)
	fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", header,
		len(body), body)
	switch fate {
	case responseReset:
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	case responseDropped:
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 204 {
		e.t.Fatalf("call-back: response %v, error %v, want 204", resp, err)
	}
	c.Close()
}

// dropIncoming makes the kernel drop all packets that arrive for a connection, as a network that has failed
// in one direction does.
func dropIncoming(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
	if err != nil || setErr != nil {
		t.Fatal(err, setErr)
	}
}

// returnFromAll lets both workers return the job, the first one with the given call, so that it is rejected.
func (e *callBackTest) returnFromAll(call func(worker int)) {
	e.t.Helper()
	first := e.submit()
	call(first)
	if second := e.nextAttempt(); second == first {
		e.t.Fatal("the second attempt went to the same worker")
	}
	call(1 - first)
	if r := <-e.responses; r.Kind != broker.Rejected {
		e.t.Fatalf("got the response %+v, want a rejection", r)
	}
}

// requireNoAttempt fails the test if an attempt begins.
func (e *callBackTest) requireNoAttempt(why string) {
	e.t.Helper()
	select {
	case <-e.workers[0].attempts:
	case <-e.workers[1].attempts:
	case <-time.After(200 * time.Millisecond):
		return
	}
	e.t.Fatalf("another attempt began after %s", why)
}

// Guards against a repeated call-back that ends the attempt of a later submission under the same id: the
// response to the call-back that returned the job was lost, and the worker has accepted the job again since.
// The job would run a second time, at another worker.
func TestRepeatedCallBackDoesNotEndALaterAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		fate   responseFate
	}{
		"connection reset":                 {fate: responseReset},
		"connection reset while it closes": {"Connection: close\r\n", responseReset},
		"packets dropped":                  {fate: responseDropped},
		"packets dropped while it closes":  {"Connection: close\r\n", responseDropped},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newCallBackTest(t)
			e.returnFromAll(func(worker int) { e.call(worker, "returned", c.header, c.fate) })
			worker := e.submit()
			e.call(worker, "returned", c.header, responseRead)
			e.requireNoAttempt("the repeat")
			e.call(worker, "done", c.header, responseRead)
			if r := <-e.responses; r.Kind != broker.Served {
				t.Errorf("got the response %+v, want the job's result", r)
			}
		})
	}
}

// A worker that got the response to its call-back and returns the job again is believed, and so is one whose
// first response was lost, once the repeat has come too.
func TestJobThatIsReturnedAgainIsSentElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		fate   responseFate
		repeat bool
	}{
		"responses read":                       {},
		"responses read, connection closed":    {header: "Connection: close\r\n"},
		"responses lost, and then both repeat": {fate: responseReset, repeat: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newCallBackTest(t)
			e.returnFromAll(func(worker int) { e.call(worker, "returned", c.header, c.fate) })
			worker := e.submit()
			e.call(worker, "returned", c.header, responseRead)
			if c.repeat {
				e.requireNoAttempt("one of two call-backs")
				e.call(worker, "returned", c.header, responseRead)
			}
			if other := e.nextAttempt(); other == worker {
				t.Error("the next attempt went to the same worker")
			}
		})
	}
}

func TestRepeatsAreExpectedForALimitedTime(t *testing.T) {
	var r callBackRepeats
	key := callBackKey{"job", "s-2", callBackReturned}
	r.responseLost(key, time.Second)
	r.responseLost(key, 2*time.Second)
	if r.consume(callBackKey{"job", "s-3", callBackReturned}, 3*time.Second) {
		t.Error("a call-back of another worker was taken for the repeat")
	}
	repeats := 0
	for range 4 {
		if r.consume(key, 3*time.Second) {
			repeats++
		}
	}
	if repeats != 2 {
		t.Errorf("two lost responses led to %d repeats", repeats)
	}
	r.responseLost(key, 4*time.Second)
	if r.consume(key, 4*time.Second+callBackRepeatTimeout) {
		t.Error("a repeat was expected after the last call that a worker makes")
	}
	r.responseLost(callBackKey{"other", "s-2", callBackReturned}, 5*time.Second+callBackRepeatTimeout)
	if len(r.expected) != 1 {
		t.Errorf("%d repeats are expected, want the one that has not expired", len(r.expected))
	}
}
