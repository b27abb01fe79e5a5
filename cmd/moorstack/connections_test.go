package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// A node that runs out of file descriptors waits until some are free and then continues to serve.
func TestNodeOutOfDescriptorsGoesOn(t *testing.T) {
	t.Setenv("FILES", "40")
	w := startNode(t, 1, completeJob)
	c := w.dial().send(jobRequest("a", "quote", "3000m", "x"))
	c.expectResponse(200, "")
	var idle []*client
	for range 60 {
		idle = append(idle, w.dial())
	}
	time.Sleep(100 * time.Millisecond)
	waiting := w.dial().send("GET /_health HTTP/1.1\r\n\r\n")
	for _, c := range idle {
		c.Close()
	}
	waiting.expectResponse(200, "")
	c.send(jobRequest("b", "quote", "3000m", "x")).expectResponse(200, "")
}

// Clients that send nothing, stop partway through a request, or stay connected after one request block
// neither other clients nor call-backs, and their connections are closed in time.
func TestIdleConnectionsKeepNobodyOut(t *testing.T) {
	t.Setenv("SOCKETS", "64")
	w := startNode(t, 1, completeJob)
	c := w.dial().send(jobRequest("a", "quote", "3000m", "x"))
	c.expectResponse(200, "did x")
	halfRequest := jobRequest("h", "quote", "3000m", "x")[:100]
	began := time.Now()
	bad := map[string]*client{"silent": w.dial(), "half a request": w.dial().send(halfRequest)}
	for name, b := range bad {
		if _, err := b.r.ReadByte(); err != io.EOF || time.Since(began) > 3*time.Second {
			t.Errorf("%s: read ended with %v after %v, want EOF within 3s", name, err, time.Since(began))
		}
	}
	for i, text := range []string{"", halfRequest, "GET /_health HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n",
		strings.Replace(halfRequest, "h", "a", 1), jobRequest("z", "nothing", "3000m", "x")} {
		w.openConnections(100, text)
		began := time.Now()
		w.dial().send(jobRequest(fmt.Sprint("b", i), "quote", "3000m", "x")).expectResponse(200, "did x")
		if took := time.Since(began); took > time.Second {
			t.Errorf("with idle connections that sent %.10q, a job took %v, want at most 1s", text, took)
		}
	}
	c.send(jobRequest("c", "quote", "3000m", "x")).
		expectResponse(200, "did x")
	// The connection c was idle meanwhile, but the node keeps it, because c has sent a valid request before.
}

// A client that sends slowly but steadily is served, on its first request and on a later one.
func TestSlowClientIsServed(t *testing.T) {
	t.Parallel()
	w := startNode(t, 1, completeJob)
	c := w.dial()
	for _, id := range []string{"a", "b"} {
		for text := jobRequest(id, "quote", "3000m", "x"); text != ""; time.Sleep(400 * time.Millisecond) {
			n := min(len(text), 25)
			c.send(text[:n])
			text = text[n:]
		}
		c.expectResponse(200, "did x")
	}
}

// Incomplete bodies on all allowed connections would exceed the node's memory; it stays within its limit.
func TestHalfSentBodiesStayWithinMemory(t *testing.T) {
	t.Setenv("MEMORY", "32")
	w := startNode(t, 1, completeJob)
	large := strings.Repeat("x", 60<<10)
	w.openConnections(750, strings.TrimSuffix(jobRequest("h", "quote", "3000m", large), "x"))
	// While the bytes of the other connections are still arriving, the node may close this connection before
	// it reads the request. The client then retries on a new connection.
	eventually(t, "a large job is served", func() bool {
		c := w.dial()
		if _, err := io.WriteString(c, jobRequest("a", "quote", "3000m", large)); err != nil {
			return false
		}
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == 200 && string(body) == "did "+large
	})
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.cmd.Process.Pid))
	check(t, err)
	var peakKB int
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	_, err = fmt.Sscan(after, &peakKB)
	if check(t, err); peakKB > 32<<10 {
		t.Errorf("the node used %d KB, limit 32 MB", peakKB)
	}
}

// Workers reset keep-alive connections at the next request. Once that has happened, jobs are sent on new
// connections, and health checks that broke this way are repeated before the worker counts as failed.
func TestResetKeepAliveConnectionsAreRetried(t *testing.T) {
	w := startNode(t, 2, completeJob)
	var mu sync.Mutex
	used, probes := map[net.Conn]bool{}, 0
	w.intercept = func(rw http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if used[connectionOf(r)] {
			resetConnection(rw)
			return true
		}
		used[connectionOf(r)] = true
		if r.Method == "GET" {
			probes++
		}
		return false
	}
	failed := 0
	for i := range 20 {
		resp, _ := w.dial().send(jobRequest(fmt.Sprint("a", i), "book", "3000m", "x")).readResponse()
		if resp.StatusCode != 200 { // each worker is a separate pod, so that no other one may retry the job
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d of 20 jobs failed", failed)
	}
	// The last job's response may arrive before the response to the probe that was sent with it.
	eventually(t, "a probe is answered for each job", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return probes >= 20
	})
}
