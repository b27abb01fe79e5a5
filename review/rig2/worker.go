package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// attempt is a request that has reached a worker.
type attempt struct {
	worker, id string
	node       string // the node whose listen address got it
	at         time.Duration
}

// fleet is the trip workers.
type fleet struct {
	world *world
	mu    sync.Mutex
	seen  []attempt
	// back returns the node's address for a request's call-backs.
	back func(id string) string
	// work is how long a job runs.
	work time.Duration
}

// start starts a worker and returns its address.
func (f *fleet) start(name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		f.serve(name, out, r)
	}))
	return strings.TrimPrefix(s.URL, "http://")
}

func (f *fleet) serve(name string, out http.ResponseWriter, r *http.Request) {
	at := f.world.now()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/_load":
		fmt.Fprint(out, "TEXT pending=0, served_ps=5, svc_ms=100, x0=6")
		return
	case r.Method == http.MethodDelete:
		f.world.logf("worker %s: %s given up", name, r.URL.Path)
		return
	case r.Method != http.MethodPost:
		return
	}
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-ID")
	f.mu.Lock()
	f.seen = append(f.seen, attempt{worker: name, id: id, node: f.back(id), at: at})
	f.mu.Unlock()
	f.world.logf("worker %s: %s from %s", name, id, f.back(id))
	out.WriteHeader(http.StatusAccepted)
	time.AfterFunc(f.work, func() { f.report(name, id) })
}

// report calls back until it is answered, ten times at most.
func (f *fleet) report(name, id string) {
	text, _ := json.Marshal(map[string]any{"id": id, "from": name, "state": "done", "result": "ok " + id})
	for range 10 {
		r, err := http.Post("http://"+f.back(id)+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// attempts returns what has reached the workers.
func (f *fleet) attempts() []attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]attempt(nil), f.seen...)
}
