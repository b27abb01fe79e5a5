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

// Out of descriptors, the node waits for some to be free again, and goes on.
func TestNodeOutOfDescriptorsGoesOn(t *testing.T) {
	t.Setenv("FILES", "40")
	w := startNode(t, 1, completeJob)
	c := w.dial().send(jobRequest("a", "quote", "3000m", "x"))
	c.expectResponse(200, "")
	var crowd []*client
	for range 60 {
		crowd = append(crowd, w.dial())
	}
	time.Sleep(100 * time.Millisecond)
	waiting := w.dial().send("GET /_health HTTP/1.1\r\n\r\n")
	for _, c := range crowd {
		c.Close()
	}
	waiting.expectResponse(200, "")
	c.send(jobRequest("b", "quote", "3000m", "x")).expectResponse(200, "")
}

// Clients that open connections and send nothing, stop half-way, or send one request and stay, keep
// neither clients nor call-backs out, and are closed in time.
func TestIdleConnectionsKeepNobodyOut(t *testing.T) {
	t.Setenv("SOCKETS", "64")
	w := startNode(t, 1, completeJob)
	c := w.dial().send(jobRequest("a", "quote", "3000m", "x"))
	c.expectResponse(200, "did x")
	half := jobRequest("h", "quote", "3000m", "x")[:100]
	began := time.Now()
	bad := map[string]*client{"silent": w.dial(), "half a request": w.dial().send(half)}
	for name, b := range bad {
		if _, err := b.r.ReadByte(); err != io.EOF || time.Since(began) > 3*time.Second {
			t.Errorf("%s: %v after %v", name, err, time.Since(began))
		}
	}
	for i, text := range []string{"", half, "GET /_health HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n",
		strings.Replace(half, "h", "a", 1), jobRequest("z", "nothing", "3000m", "x")} {
		w.openConnections(100, text)
		began := time.Now()
		w.dial().send(jobRequest(fmt.Sprint("b", i), "quote", "3000m", "x")).expectResponse(200, "did x")
		if took := time.Since(began); took > time.Second {
			t.Errorf("beside idle connections that sent %.10q a job took %v", text, took)
		}
	}
	c.send(jobRequest("c", "quote", "3000m", "x")).
		expectResponse(200, "did x")
	// idle all the while, and no bad client
}

// A client that is slow but goes on is served, whether it is its first request or a later one.
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

// Half-sent bodies on all the connections there may be are more than the node's memory.
func TestHalfSentBodiesStayWithinMemory(t *testing.T) {
	t.Setenv("MEMORY", "32")
	w := startNode(t, 1, completeJob)
	large := strings.Repeat("x", 60<<10)
	w.openConnections(750, strings.TrimSuffix(jobRequest("h", "quote", "3000m", large), "x"))
	// While the crowd's bytes still come, this one may be the least, and is closed before
	// it is read; a client then sends once more on a new connection.
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
	var most int
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	_, err = fmt.Sscan(after, &most)
	if check(t, err); most > 32<<10 {
		t.Errorf("the node took %d KB of 32 MB", most)
	}
}

// Workers that reset kept connections at the next request: jobs go on new ones once
// this has shown, and health checks that broke so are made again, before the worker counts as failed.
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
		if resp.StatusCode != 200 { // each worker is a pod of its own
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d of 20 jobs failed", failed)
	}
	// The last job's answer may come before that of the probe that went out with it.
	eventually(t, "a probe is answered for each job", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return probes >= 20
	})
}
