package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// workerCall is a call that a worker received.
type workerCall struct {
	worker                 *stubWorker
	method, path, body, id string
	header                 http.Header
}

// jobHandler answers a job at a stub worker; n counts the attempts at all workers.
type jobHandler func(n int, s workerCall, rw http.ResponseWriter)

// stubWorker is a worker that calls handle for each job.
type stubWorker struct {
	node     *nodeFixture
	name     string
	srv      *httptest.Server
	handle   jobHandler
	received []workerCall
}

func (h *stubWorker) instanceJSON(lifecycle string) string {
	cell := strings.TrimLeft(h.name[2:]+"1", "0") // a separate pod for each worker
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":"k","cell":%s,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":0}`, h.name, h.srv.Listener.Addr(), cell, lifecycle)
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connectionOf returns the connection that a request arrived on.
//
// The remote address does not identify it: the kernel gives connections to two servers the same source port.
func connectionOf(r *http.Request) net.Conn { return r.Context().Value(connectionKey{}).(net.Conn) }

func (h *stubWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if h.node.intercept != nil && h.node.intercept(rw, r) {
		return
	}
	if r.URL.Path == "/_load" {
		fmt.Fprint(rw, "TEXT pending=0, x0=6")
		return
	}
	body, _ := io.ReadAll(r.Body)
	s := workerCall{h, r.Method, r.URL.String(), string(body), r.Header.Get("X-Request-ID"), r.Header}
	h.node.mu.Lock()
	h.received = append(h.received, s)
	n := 0
	for _, other := range h.node.workers {
		for _, s := range other.received {
			if s.method == "POST" {
				n++
			}
		}
	}
	h.node.mu.Unlock()
	switch {
	case r.Method == "POST":
		h.handle(n, s, rw)
	case h.node.cancelled != nil: // do not answer until the node disconnects
		<-r.Context().Done()
		close(h.node.cancelled)
	}
}

// callCount counts all calls that the worker received.
func (h *stubWorker) callCount() int {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return len(h.received)
}

// acceptJob accepts a job and calls back with its state a little later.
func acceptJob(s workerCall, rw http.ResponseWriter, state string) {
	rw.WriteHeader(202)
	go func() {
		time.Sleep(10 * time.Millisecond)
		s.worker.node.callBack(s.id, s.worker.name, state, "did "+s.body)
	}()
}

// resetConnection resets the connection instead of sending a response.
func resetConnection(rw http.ResponseWriter) {
	c, _, _ := rw.(http.Hijacker).Hijack()
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func completeJob(_ int, s workerCall, rw http.ResponseWriter) { acceptJob(s, rw, "done") }
