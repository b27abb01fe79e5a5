package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// discoveryStub is a discovery server that counts its watches and sends each the endpoint list and its
// changes.
type discoveryStub struct {
	*httptest.Server
	mu       sync.Mutex
	lines    []string // one update per line; the first is generation 1
	watchers map[chan struct{}]bool
	calls    int
	failing  bool
}

func startDiscoveryStub(t *testing.T) *discoveryStub {
	c := &discoveryStub{watchers: map[chan struct{}]bool{},
		lines: []string{`{"generation":1,"reset":true,"instances":[]}`}}
	c.Server = httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	return c
}

func (c *discoveryStub) address() string { return strings.TrimPrefix(c.URL, "http://") }

func (c *discoveryStub) serve(w http.ResponseWriter, r *http.Request) {
	changed := make(chan struct{}, 1)
	next := 0
	fmt.Sscan(r.URL.Query().Get("index"), &next)
	c.mu.Lock()
	if c.calls++; c.failing {
		c.mu.Unlock()
		w.WriteHeader(500)
		return
	}
	c.watchers[changed] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.watchers, changed)
		c.mu.Unlock()
	}()
	for {
		c.mu.Lock()
		lines := c.lines[min(next, len(c.lines)):]
		next = len(c.lines)
		c.mu.Unlock()
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		if fmt.Fprintln(w); r.URL.Query().Get("stream") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (c *discoveryStub) watchCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.watchers)
}

// add adds a worker to the endpoint list and notifies the watches.
func (c *discoveryStub) add(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line, _ := json.Marshal(map[string]any{"generation": len(c.lines) + 1, "instances": []any{map[string]any{
		"instanceId": id, "hostPort": address, "zone": "z", "machineType": "k", "lifecycle": "SERVING",
		"weight": 1}}})
	c.lines = append(c.lines, string(line))
	for changed := range c.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// setFailing sets whether calls are answered with status 500.
func (c *discoveryStub) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}
