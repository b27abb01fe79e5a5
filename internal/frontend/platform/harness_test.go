package platform

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/kernel"
	"moorstack/internal/proxy/broker"
)

// fakeDiscovery is a fake of discovery or of its local agent. It lists worker s-1 in a given state, and
// further workers at workerAddresses.
type fakeDiscovery struct {
	*httptest.Server
	mu              sync.Mutex
	state           string
	generation      int
	silentWatches   bool          // open and new watches send nothing
	silentPolls     bool          // polls get no response
	pollDelay       time.Duration // how long a poll takes
	down            bool
	override        string // sent in place of the list, if not empty
	truncateAt      int    // number of bytes of the list that are sent; 0: all
	polls           int    // number of polls so far
	watches         int
	workerAddresses []string      // addresses of further workers, s-2 and so on
	drainWorkers    bool          // the further workers are draining
	class           string        // replaces the class in the settings, if not empty
	endWatches      chan struct{} // open watches end when it is closed
}

func newDiscovery(t *testing.T) *fakeDiscovery {
	a := &fakeDiscovery{state: "SERVING", generation: 41, endWatches: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// locked runs f with the mutex held.
func (a *fakeDiscovery) locked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

// setState changes the state of worker s-1 in a new generation.
func (a *fakeDiscovery) setState(state string) {
	a.locked(func() { a.state, a.generation = state, a.generation+1 })
}

func (a *fakeDiscovery) list() string {
	const format = `{"instanceId":"s-%d","hostPort":%q,"zone":"z","machineType":"k","cell":1,` +
		`"lifecycle":%q,"weight":1,"startedAtMs":0}`
	lines := []string{fmt.Sprintf(format, 1, "127.0.0.9:9", a.state)}
	state := "SERVING"
	if a.drainWorkers {
		state = "DRAINING"
	}
	for i, host := range a.workerAddresses {
		lines = append(lines, fmt.Sprintf(format, i+2, host, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, a.generation,
		strings.Join(lines, ","))
}

func (a *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	stream := r.URL.Query().Get("stream") != ""
	a.mu.Lock()
	if stream {
		a.watches++
	} else {
		a.polls++
	}
	down, silent, delay, end := a.down, a.silentPolls && !stream, a.pollDelay, a.endWatches
	text := a.list()
	if a.override != "" {
		text = a.override
	}
	if a.truncateAt > 0 {
		text = text[:a.truncateAt]
	}
	a.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(503)
		return
	case silent:
		<-r.Context().Done()
		return
	case !stream:
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, text)
		return
	}
	w.WriteHeader(200)
	for announced := 0; ; {
		var line string
		a.locked(func() {
			if !a.silentWatches && announced < a.generation {
				line, announced = a.list(), a.generation
				if a.override != "" {
					line = a.override
				}
			}
		})
		fmt.Fprint(w, line)
		if line != "" {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(5 * time.Millisecond):
		case <-end:
			return
		case <-r.Context().Done():
			return
		}
	}
}

const drainGrace = 400 * time.Millisecond

// newFront returns a running front that uses the given discovery.
func newFront(t *testing.T, mode string, a *fakeDiscovery) *Front {
	t.Helper()
	return newFrontOn(t, kernel.Linux{}, mode, a)
}

// newFrontOn is newFront with the given implementation of system calls.
func newFrontOn(t *testing.T, system kernel.System, mode string, a *fakeDiscovery) *Front {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	cfg := writeConfig(t, file, mode, a)
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop, err := eventloop.NewWithSystem(system)
	if err != nil {
		t.Fatal(err)
	}
	f := New(loop, cfg, log)
	set, err := cfg.Settings.Balancer()
	if err != nil {
		t.Fatal(err)
	}
	c, err := broker.New(set, 7, loopClock{loop}, f.EndpointSource(), log)
	if err == nil {
		err = f.Open(c)
	}
	if err != nil {
		t.Fatal(err)
	}
	runResult := make(chan error, 1)
	go func() { runResult <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-runResult
	})
	return f
}

type loopClock struct{ loop *eventloop.Loop }

func (b loopClock) Now() time.Duration                         { return b.loop.Now() }
func (b loopClock) At(at time.Duration, f func()) broker.Timer { return b.loop.At(at, f) }

func writeConfig(t *testing.T, file, mode string, a *fakeDiscovery) *Config {
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"7","known":%s,`+
		`"settings":{"fleet_size":1,"kinds":["k"],"zones":["z"],"membership_mode":%q,`+
		`"classes":[%s],`+
		`"limits":{"try_limit":3,"cancel":true,"connect_timeout":3000000000},`+
		`"contract":{"drain_grace":%d,"ask_every":10000000000}}}`,
		a.Listener.Addr(), a.list(), mode, cmp.Or(a.class,
			`{"name":"c","effect":"retryable","give_up":5000000000,"slo":4000000000}`),
		drainGrace.Nanoseconds())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := ReadConfigFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// firstWorkerState returns the state of worker s-1 as the front knows it.
func (f *Front) firstWorkerState() string {
	got := make(chan string, 1)
	f.loop.Post(func() { got <- f.entries["s-1"].Lifecycle })
	return <-got
}

// awaitState waits until the front knows worker s-1 in the given state, and fails the test after the time
// limit.
func awaitState(t *testing.T, f *Front, state string, within time.Duration) {
	t.Helper()
	for began := time.Now(); f.firstWorkerState() != state; time.Sleep(time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("after %v the front does not know the worker's state %s", within, state)
		}
	}
}

// requireStateStays fails the test if the worker's state in the front changes within drainGrace.
func requireStateStays(t *testing.T, f *Front, state string) {
	t.Helper()
	for began := time.Now(); time.Since(began) < drainGrace; time.Sleep(time.Millisecond) {
		if got := f.firstWorkerState(); got != state {
			t.Fatalf("the worker's state in the front changed to %q", got)
		}
	}
}

// fakeWorker is a fake worker that reads requests and leaves the responses to the test.
type fakeWorker struct {
	*net.TCPListener
	attempts chan net.Conn // connections on which an attempt was received
}

func newFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{ln.(*net.TCPListener), make(chan net.Conn, 16)}
	t.Cleanup(func() { w.Close() })
	go func() {
		for {
			c, err := w.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go w.readRequests(c)
		}
	}()
	return w
}

func (w *fakeWorker) readRequests(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == "POST" {
			w.attempts <- c
		}
	}
}

// respondNotProcessed responds that the request was not run.
func respondNotProcessed(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
}

// newFrontWithWorkers returns a front that can use only the given workers, and its address.
func newFrontWithWorkers(t *testing.T, workers ...*fakeWorker) (*Front, string) {
	t.Helper()
	a := newDiscovery(t)
	a.state = "DRAINING"
	for _, w := range workers {
		a.workerAddresses = append(a.workerAddresses, w.Addr().String())
	}
	f := newFront(t, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	return f, f.address(t)
}

// address returns the address on which the front listens.
func (f *Front) address(t *testing.T) string {
	t.Helper()
	at, err := unix.Getsockname(f.listener.FD())
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

const requestTimeout = 4 * time.Second

// sendRequest sends a request on a new connection and returns the connection.
func sendRequest(t *testing.T, address, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: %dm\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", id,
		requestTimeout.Milliseconds())
	return c
}
