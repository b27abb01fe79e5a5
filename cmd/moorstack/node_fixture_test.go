package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

const classFormat = `{"name":%q,"credit":5,"effect":%q,"give_up":5000000000,"key_scope":"cell",` +
	`"late_share":0.5,"slo":4000000000,"window":25000000000}`

var testSettings = `{"az":0,"me":0,"fleet_size":1,"classes":[` + fmt.Sprintf(
	classFormat,
	"quote",
	"retryable",
) +
	"," + fmt.Sprintf(
	classFormat,
	"book",
	"dedup",
) + `],"contract":{"answer_slack":20000000,` +
	`"ask_every":10000000000,"drain_grace":1000000000},"extra":{"report_x0":"free slots"},` +
	`"granularity":5000000,"kinds":["k"],` +
	`"limits":{"cancel":true,"conn_idle":15000000000,"connect_timeout":250000000,"try_limit":5,` +
	`"max_retry_after":2000000000,"probes":true,"retry_after":true},"membership_mode":"on_request",` +
	`"report":{"how":"pull","names":["pending","x0"]},"blend":{"whole":1},"zones":["z"],` +
	`"tenants":[{"name":"muscat","share":1}],"worth_by":"work"}`

// nodeFixture is a node with its discovery and workers.
type nodeFixture struct {
	t         *testing.T
	addr      string
	cmd       *exec.Cmd
	workers   []*stubWorker
	mu        sync.Mutex
	watches   chan *discoveryWatch // received by discovery
	file      string               // the path of the configuration
	config    string               // the content of file
	cancelled chan bool            // if set, DELETE is not answered; closed when the node disconnects
	firstLine *string              // the first line of each watch; nil: none
	// intercept is called for each request to a worker and returns true if it has handled it.
	intercept func(http.ResponseWriter, *http.Request) bool
}

type discoveryWatch struct {
	lines chan string // sent to the node; closing it ends the watch
	path  string
}

// startNode starts workers, discovery and a node. The number that handle gets counts the attempts at all
// workers.
func startNode(t *testing.T, workers int, handle jobHandler, args ...string) *nodeFixture {
	return startNodeWithFile(t, filepath.Join(t.TempDir(), "config.json"), workers, handle, args...)
}

// unchangedLine is the line of a watch that reports no change of the node's list.
var unchangedLine = ""

// startNodeWithFirstLine is startNode with the first line of each watch; nil: none.
func startNodeWithFirstLine(t *testing.T, firstLine *string, workers int,
	handle jobHandler) *nodeFixture {
	return startNodeFixture(t, filepath.Join(t.TempDir(), "config.json"), testSettings, firstLine, workers,
		handle)
}

// startNodeWithFile is startNode with the platform file at a given path, to which the arguments may refer.
func startNodeWithFile(t *testing.T, file string, workers int, handle jobHandler,
	args ...string) *nodeFixture {
	return startNodeFixture(t, file, testSettings, &unchangedLine, workers, handle, args...)
}

func startNodeFixture(t *testing.T, file, settings string, firstLine *string, workers int,
	handle jobHandler, args ...string) *nodeFixture {
	w := &nodeFixture{t: t, addr: freeAddress(t), watches: make(chan *discoveryWatch, 16),
		firstLine: firstLine}
	known := []string{}
	for i := range workers {
		h := &stubWorker{node: w, name: fmt.Sprintf("s-%04d", i), handle: handle}
		h.srv = httptest.NewUnstartedServer(h)
		h.srv.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		}
		h.srv.Start()
		t.Cleanup(h.srv.Close)
		w.workers = append(w.workers, h)
		known = append(known, h.instanceJSON("SERVING"))
	}
	discovery := httptest.NewServer(http.HandlerFunc(w.serveDiscovery))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	list := fmt.Sprintf(`{"generation":41,"reset":true,"instances":[%s]}`, strings.Join(known, ","))
	address := strings.TrimPrefix(discovery.URL, "http://")
	w.config = fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":1,`+
		`"memory_mb":%s,"sockets":%s},"known":%s,"settings":%s}`, w.addr, address,
		cmp.Or(os.Getenv("MEMORY"), "192"), cmp.Or(os.Getenv("SOCKETS"), "1024"), list, settings)
	w.file = file
	check(t, os.WriteFile(w.file, []byte(w.config), 0o600))
	w.cmd = exec.Command("/bin/sh", append([]string{"-c", `ulimit -n ${FILES:-1024}; exec "$0" "$@"`,
		program}, args...)...)
	w.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+w.file, "BALANCER_DISCOVERY="+address)
	w.cmd.Stderr = os.Stderr
	check(t, w.cmd.Start())
	t.Cleanup(func() {
		if w.cmd.ProcessState == nil {
			_ = w.cmd.Process.Kill()
			_ = w.cmd.Wait()
		}
	})
	waitListening(t, w.addr)
	if firstLine != nil && workers > 0 {
		eventually(t, "the node has its endpoint list", w.healthy)
	}
	return w
}

// healthy reports whether the node knows a worker and accepts requests.
func (w *nodeFixture) healthy() bool {
	resp, _ := w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").readResponse()
	return resp.StatusCode == http.StatusOK
}

// waitListening waits until a process listens at an address.
func waitListening(t *testing.T, addr string) {
	t.Helper()
	eventually(t, "the node listens", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// reload replaces the configuration file and sends SIGHUP to the node.
func (w *nodeFixture) reload(config string) {
	check(w.t, os.WriteFile(w.file+"~", []byte(config), 0o600))
	check(w.t, os.Rename(w.file+"~", w.file))
	check(w.t, w.cmd.Process.Signal(syscall.SIGHUP))
}

func (w *nodeFixture) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	watch := &discoveryWatch{lines: make(chan string, 16), path: r.URL.String()}
	w.watches <- watch
	rw.WriteHeader(200)
	if w.firstLine != nil {
		fmt.Fprintln(rw, *w.firstLine)
	}
	rw.(http.Flusher).Flush()
	for {
		select {
		case line, ok := <-watch.lines:
			if !ok {
				return
			}
			fmt.Fprintln(rw, line)
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// callCount counts the calls with a method that all workers received.
func (w *nodeFixture) callCount(method string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.workers {
		for _, s := range h.received {
			if s.method == method {
				n++
			}
		}
	}
	return n
}

// callBack sends a call-back with a job's state to the node and returns the status of the response, or 0.
func (w *nodeFixture) callBack(id, from, state, result string) int {
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": result})
	// A call-back on a keep-alive connection to a process that has just ended would be lost.
	httpClient := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := httpClient.Post("http://"+w.addr+"/v1/job-events", "", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (w *nodeFixture) dial() *client { return dial(w.t, w.addr) }

// openConnections opens connections, sends a text on each and leaves them open.
func (w *nodeFixture) openConnections(n int, text string) {
	for range n {
		c, err := net.Dial("tcp", w.addr)
		check(w.t, err)
		w.t.Cleanup(func() { c.Close() })
		// The node may have shed it already.
		_, _ = io.WriteString(c, text)
	}
}
