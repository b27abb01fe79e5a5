package faktory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

const (
	testKeyWindow = time.Second
	testDeadline  = 10 * time.Second
)

// loopClock adapts the loop's clock to broker.Clock.
type loopClock struct{ *eventloop.Loop }

func (c loopClock) At(at time.Duration, f func()) broker.Timer { return c.Loop.At(at, f) }

// testFront is a front on a running loop, with one keyed class, "book".
type testFront struct {
	t       *testing.T
	front   *Front
	loop    *eventloop.Loop
	address string
}

func newTestFront(t *testing.T) *testFront {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop, err := eventloop.New()
	requireNoError(t, err)
	set := AdaptSettings(balancer.Settings{
		Classes: []balancer.Class{{Name: "book", Timeout: testDeadline, LatencyObjective: time.Second,
			PriorityWeight: 1, Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeCell,
			KeyWindow: testKeyWindow}},
		Limits: balancer.Limits{MaxAttempts: 5, CanCancel: true, MaxRetryAfter: time.Second},
		Rules:  balancer.Rules{ResponseSlack: 20 * time.Millisecond},
		Goal:   balancer.Goal{Overall: 1},
	})
	f, err := New(loop, &Config{Listen: "127.0.0.1:0", MaxConnections: 16, MaxLineBytes: 4096, MaxJobs: 100,
		MaxJobBytes: 1 << 20, ResponseRetention: time.Minute, SessionTimeout: time.Minute,
		ReservationTimeout: time.Minute, MinReservationTimeout: time.Minute, MaxUnfetchedPerWorker: 25},
		set, log)
	requireNoError(t, err)
	b, err := broker.New(set, 1, loopClock{loop}, nil, log)
	requireNoError(t, err)
	requireNoError(t, f.Open(b))
	at, err := unix.Getsockname(f.listener.FD())
	requireNoError(t, err)
	e := &testFront{t, f, loop, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		requireNoError(t, <-ended)
	})
	return e
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on the loop, in one turn, and waits for it.
func (e *testFront) onLoop(f func()) {
	done := make(chan struct{})
	e.loop.Post(func() { f(); close(done) })
	<-done
}

// testPeer is the connection of a producer or a worker.
type testPeer struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// connect connects and sends HELLO, as a worker if wid is not empty.
func (e *testFront) connect(wid string, pod int) *testPeer {
	e.t.Helper()
	c, err := net.Dial("tcp", e.address)
	requireNoError(e.t, err)
	e.t.Cleanup(func() { c.Close() })
	p := &testPeer{e.t, c, bufio.NewReader(c)}
	p.reply()
	p.expect(fmt.Sprintf(`HELLO {"v":2,"wid":%q,"labels":["pod:%d"]}`, wid, pod), "+OK")
	return p
}

func (p *testPeer) send(line string) {
	_, err := io.WriteString(p.conn, line+"\r\n")
	requireNoError(p.t, err)
}

// reply reads a simple string or an error, or the text of a bulk string.
func (p *testPeer) reply() string {
	p.t.Helper()
	_ = p.conn.SetReadDeadline(time.Now().Add(testDeadline))
	line, err := p.in.ReadString('\n')
	requireNoError(p.t, err)
	line = strings.TrimSuffix(line, "\r\n")
	n, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || n < 0 {
		return line
	}
	text := make([]byte, n+len("\r\n"))
	_, err = io.ReadFull(p.in, text)
	requireNoError(p.t, err)
	return string(text[:n])
}

// expect sends a command and checks that the reply contains want.
func (p *testPeer) expect(command, want string) {
	p.t.Helper()
	p.send(command)
	if got := p.reply(); !strings.Contains(got, want) {
		p.t.Fatalf("command %q: reply %q, want %q in it", command, got, want)
	}
}

// expectWithin repeats a command until its reply contains want.
func (p *testPeer) expectWithin(limit time.Duration, command, want string) {
	p.t.Helper()
	var got string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		p.send(command)
		if got = p.reply(); strings.Contains(got, want) {
			return
		}
	}
	p.t.Fatalf("command %q for %v: reply %q, want %q in it", command, limit, got, want)
}
