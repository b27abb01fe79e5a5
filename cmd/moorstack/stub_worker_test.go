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

// workerCall is a call that a worker got.
type workerCall struct {
	worker                 *stubWorker
	method, path, body, id string
	header                 http.Header
}

// jobHandler answers a job at a stub worker; n is the number of the attempt among all.
type jobHandler func(n int, s workerCall, rw http.ResponseWriter)

// stubWorker is a worker whose behaviour a test gives; handle is called for each job.
type stubWorker struct {
	node     *nodeFixture
	name     string
	srv      *httptest.Server
	handle   jobHandler
	received []workerCall
}

func (h *stubWorker) instanceJSON(lifecycle string) string {
	cell := strings.TrimLeft(h.name[2:]+"1", "0") // a pod of its own
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":"k","cell":%s,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":0}`, h.name, h.srv.Listener.Addr(), cell, lifecycle)
}

// connectionKey finds a request's connection in its context.
type connectionKey struct{}

// connectionOf is the one that a request came on.
//
// Hazard: the remote address does not name it: the kernel gives connections to two servers one source port.
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
	case h.node.cancelled != nil: // be silent until the node hangs up
		<-r.Context().Done()
		close(h.node.cancelled)
	}
}

// callCount counts all calls that the worker got.
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

// resetConnection breaks the connection.
func resetConnection(rw http.ResponseWriter) {
	c, _, _ := rw.(http.Hijacker).Hijack()
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func completeJob(_ int, s workerCall, rw http.ResponseWriter) { acceptJob(s, rw, "done") }
