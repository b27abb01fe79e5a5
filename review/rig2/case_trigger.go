package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// The times of the trip workers in the case trigger.
const (
	fullFor       = 300 * time.Millisecond // since the first attempt of a job: all workers hand it back
	handBackAfter = 20 * time.Millisecond
	callAgain     = time.Second // after which a call that was not answered is made again
	tripWork      = 3 * time.Second
	answersLost   = 500 * time.Millisecond // since the first attempt of a job: answers to call-backs are lost
)

// yard is trip workers that hand jobs back while they are full, each with an address for each node.
type yard struct {
	world *world
	nodes map[string]string // the nodes' addresses
	pods  map[string]string // by worker
	work  time.Duration     // of a job, at workers that are never full; 0: they are full at times

	mu    sync.Mutex
	first map[string]time.Time // by job
	ran   map[string][]string  // by job: in which pods it began, and when
	lost  int
}

// start starts a worker and returns its address for each node.
func (y *yard) start(name string) map[string]string {
	addresses := map[string]string{}
	for node := range y.nodes {
		s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			y.serve(name, node, out, r)
		}))
		addresses[node] = s.Listener.Addr().String()
	}
	return addresses
}

func (y *yard) serve(name, node string, out http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/_load":
		fmt.Fprint(out, "TEXT pending=0, served_ps=1, svc_ms=3000, x0=6")
		return
	case r.Method != http.MethodPost:
		y.world.logf("worker %s: %s %s from %s", name, r.Method, r.URL.Path, node)
		return
	}
	id := r.Header.Get("X-Request-ID")
	y.mu.Lock()
	if y.first[id].IsZero() {
		y.first[id] = time.Now()
	}
	full := y.work == 0 && time.Since(y.first[id]) < fullFor
	pod := y.pods[name]
	repeat := !full && strings.Contains(strings.Join(y.ran[id], ""), "pod "+pod)
	if !full && !repeat {
		y.ran[id] = append(y.ran[id], fmt.Sprintf("pod %s: %s at %.3f", pod, name, y.world.now().Seconds()))
	}
	y.mu.Unlock()
	out.WriteHeader(http.StatusAccepted)
	if repeat {
		y.world.logf("worker %s: %s from %s is a repeat, its pod drops it", name, id, node)
		time.AfterFunc(tripWork, func() {
			y.call(name, node, id, map[string]any{"state": "done", "result": "ok"})
		})
		return
	}
	if full {
		y.world.logf("worker %s: %s from %s taken, and handed back: full", name, id, node)
		time.AfterFunc(handBackAfter, func() { y.call(name, node, id, map[string]any{"state": "returned"}) })
		return
	}
	y.world.logf("worker %s: %s from %s begins, key %s", name, id, node, r.Header.Get("Idempotency-Key"))
	work := tripWork
	if y.work > 0 {
		work = y.work
	}
	time.AfterFunc(work, func() { y.call(name, node, id, map[string]any{"state": "done", "result": "ok"}) })
}

// call calls back until it is answered, ten times at most.
func (y *yard) call(name, node, id string, body map[string]any) {
	body["id"], body["from"] = id, name
	text, _ := json.Marshal(body)
	for range 10 {
		status := y.callOnce(node, id, text)
		y.world.logf("worker %s: told %s that %s is %s: %s", name, node, id, body["state"], status)
		if status == "200 OK" || status == "204 No Content" {
			return
		}
		time.Sleep(callAgain)
	}
}

// callOnce makes a call on a connection that is reset before the answer is read while answers are lost.
func (y *yard) callOnce(node, id string, text []byte) string {
	y.mu.Lock()
	lose := y.work == 0 && y.world.trouble && time.Since(y.first[id]) < answersLost
	if lose {
		y.lost++
	}
	y.mu.Unlock()
	if !lose {
		r, err := http.Post("http://"+y.nodes[node]+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err != nil {
			return err.Error()
		}
		r.Body.Close()
		return r.Status
	}
	c, err := net.Dial("tcp", y.nodes[node])
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", y.nodes[node],
		len(text), text)
	_, _ = c.Read(make([]byte, 1)) // the node has answered; the answer gets lost
	_ = c.(*net.TCPConn).SetLinger(0)
	return "the answer got lost"
}

// repeatedCall fires a trigger while the workers are full for a moment and the answers to their call-backs get
// lost, so that they call again.
func repeatedCall(w *world) (v verdict) {
	y := &yard{world: w, nodes: map[string]string{}, pods: map[string]string{}, first: map[string]time.Time{},
		ran: map[string][]string{}}
	lists := map[string]*discovery{}
	for _, name := range []string{"n1", "n2", "n3"} {
		lists[name] = startDiscovery(w) // one service: the same list, with another address for each node
	}
	g, err := newGroup(w, func(name string) string { return lists[name].address() }, "")
	if err != nil {
		return verdict{notRun: err.Error()}
	}
	y.nodes = g.listen
	for n := range 4 {
		name := fmt.Sprintf("s-%04d", n)
		y.pods[name] = fmt.Sprint(n / 2)
		for node, address := range y.start(name) {
			lists[node].add(entry{ID: name, Address: address, Zone: "ruwi", Kind: "eight-core", Cell: n / 2,
				Lifecycle: "SERVING", Weight: 1})
		}
	}
	for _, name := range g.names {
		if eventually(20*time.Second, func() bool { return ready(g.listen[name]) }) != nil {
			return verdict{notRun: name + " is not ready"}
		}
	}
	if err := g.configure("[section.schedule]\nzone = \"Asia/Muscat\"\n" +
		"\"trigger.dialysis-7\" = \"@every 5s class=trip-book path=/standing/7\"\n"); err != nil {
		return verdict{notRun: err.Error()}
	}
	time.Sleep(40 * time.Second)
	y.mu.Lock()
	defer y.mu.Unlock()
	w.logf("%d occurrences fired, %d began at a worker, %d answers to call-backs lost", len(y.first), len(y.ran),
		y.lost)
	if len(y.ran) < 3 {
		return verdict{notRun: "too few occurrences ran"}
	}
	for id, list := range y.ran {
		if len(list) > 1 {
			v.breaks = append(v.breaks, fmt.Sprintf("%s ran in %d pods: %s", id, len(list), strings.Join(list, ", ")))
		}
	}
	return v
}
