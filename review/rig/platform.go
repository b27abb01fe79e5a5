package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// platform stands in for the workers and for discovery. Each node of a group has addresses of its own for
// both, as the protocol allows, so that a worker knows whom to call back.
type platform struct {
	rig     *rig
	nodes   []*nodeAddress
	workers []*worker
	http    *http.Client

	mu   sync.Mutex
	runs []jobRun
	pods map[int]map[string]time.Time // by cell, by key: when its first run began
}

// nodeAddress is where one node listens, and where it finds discovery.
type nodeAddress struct {
	listen, discovery string
	hostPorts         []string // of the workers, for this node
}

// worker is one trip worker. It runs each job for the class's running time, times its slowness.
type worker struct {
	platform *platform
	name     string
	cell     int
	slowness float64 // guarded by platform.mu
}

// jobRun is a job that a worker began to run.
type jobRun struct {
	worker, id, key string
	began           time.Time
}

// runningTime is how long a worker runs a job of a class.
var runningTime = map[string]time.Duration{
	"trip-quote":    350 * time.Millisecond,
	"trip-book":     1400 * time.Millisecond,
	"dialysis-book": 1600 * time.Millisecond,
}

// keyWindow is how long the workers of a pod remember a key.
type keyWindow = time.Duration

// newPlatform starts the workers and discovery for a number of nodes.
func newPlatform(r *rig, nodes, workers int, cell func(int) int, window keyWindow) *platform {
	p := &platform{rig: r, pods: map[int]map[string]time.Time{},
		http: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for k := range workers {
		p.workers = append(p.workers, &worker{platform: p, name: fmt.Sprintf("s-%08x", 0x5be2a000+k),
			cell: cell(k), slowness: 1})
	}
	for range nodes {
		n := &nodeAddress{listen: r.freeAddress()}
		p.nodes = append(p.nodes, n)
		for _, w := range p.workers {
			n.hostPorts = append(n.hostPorts, r.serve(w.handler(n, window)))
		}
		n.discovery = r.serve(http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
			p.serveDiscovery(n, rw, q)
		}))
	}
	return p
}

// freeAddress returns a loopback address whose port is free.
func (r *rig) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves HTTP at a free loopback address until the program ends.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("%v", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// list returns the list of workers for a node, in discovery's form.
func (p *platform) list(n *nodeAddress) string {
	entries := make([]map[string]any, len(p.workers))
	for k, w := range p.workers {
		entries[k] = map[string]any{"instanceId": w.name, "hostPort": n.hostPorts[k], "zone": "ruwi",
			"machineType": "fast-six", "cell": w.cell, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
	}
	text, _ := json.Marshal(map[string]any{"generation": 41, "reset": true, "instances": entries})
	return string(text)
}

func (p *platform) serveDiscovery(n *nodeAddress, rw http.ResponseWriter, q *http.Request) {
	fmt.Fprintln(rw, p.list(n))
	if q.URL.Query().Get("stream") != "1" {
		return
	}
	for {
		rw.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprintln(rw)
		}
	}
}

// handler returns the worker's server for the calls of one node.
func (w *worker) handler(n *nodeAddress, window keyWindow) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		id := q.Header.Get("X-Request-ID")
		switch {
		case q.URL.Path == "/ping":
		case q.URL.Path == "/_load":
			fmt.Fprint(rw, "TEXT pending=0, served_ps=2, svc_ms=900, x0=4")
		case q.Method == http.MethodDelete:
			// Running work goes on.
			w.platform.rig.log("%s: asked to give up %s", w.name, q.URL.Path)
		case id == "":
			rw.WriteHeader(http.StatusNotFound)
		default:
			rw.WriteHeader(http.StatusAccepted)
			go w.run(n, id, q.Header.Get("Idempotency-Key"), string(body), window)
		}
	})
}

// run runs a job, unless it is a repeat that the worker's pod drops, and calls back.
func (w *worker) run(n *nodeAddress, id, key, class string, window keyWindow) {
	p := w.platform
	p.mu.Lock()
	took := time.Duration(float64(runningTime[class]) * w.slowness)
	if key != "" {
		pod := p.pods[w.cell]
		if pod == nil {
			pod = map[string]time.Time{}
			p.pods[w.cell] = pod
		}
		if first, known := pod[key]; known && time.Since(first) < window {
			p.mu.Unlock()
			p.rig.log("%s: job %s dropped as a repeat, %.3f s after the first", w.name, id,
				time.Since(first).Seconds())
			w.callBack(n, id)
			return
		}
		pod[key] = time.Now()
	}
	p.runs = append(p.runs, jobRun{w.name, id, key, time.Now()})
	p.mu.Unlock()
	p.rig.log("%s: job %s begins, %v of work", w.name, id, took)
	time.Sleep(took)
	p.rig.log("%s: job %s done", w.name, id)
	w.callBack(n, id)
}

// callBack tells the node that a job is done, ten times at most.
func (w *worker) callBack(n *nodeAddress, id string) {
	text, _ := json.Marshal(map[string]string{"id": id, "from": w.name, "state": "done",
		"result": "done " + id})
	for range 10 {
		resp, err := w.platform.http.Post("http://"+n.listen+"/v1/job-events", "application/json",
			bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 || resp.StatusCode == 204 {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// class is one class of the settings.
func class(name, effect, scope string, giveUp, window time.Duration) map[string]any {
	return map[string]any{"name": name, "credit": 5, "effect": effect, "key_scope": scope,
		"give_up": giveUp.Nanoseconds(), "late_share": 0.5, "slo": int64(time.Second), "stream": false,
		"window": window.Nanoseconds(), "aim_stretch": 2.0}
}

// settings returns the settings of the Muscat deployment, with the given classes.
func settings(fleet int, classes ...map[string]any) map[string]any {
	return map[string]any{
		"az": 0, "me": 0, "fleet_size": fleet, "granularity": 5_000_000, "worth_by": "work",
		"kinds": []string{"fast-six"}, "zones": []string{"ruwi"}, "membership_mode": "on_request",
		"classes": classes,
		"tenants": []any{map[string]any{"name": "muscat", "share": 1.0, "allowance_per_s": 50}},
		"blend":   map[string]any{"whole": 1.0},
		"contract": map[string]any{"answer_slack": 20_000_000, "ask_every": 10_000_000_000,
			"cold": 24_000_000_000, "cold_share": 0.12, "drain_grace": 1_000_000_000, "fall": 1_000_000_000,
			"overload_factor": 3.0},
		"extra": map[string]any{"report_x0": "free slots", "report_x1": "free memory"},
		"limits": map[string]any{"cancel": true, "conn_idle": 15_000_000_000,
			"connect_timeout": 250_000_000, "max_retry_after": 2_000_000_000, "probes": true,
			"retry_after": true, "second_copies": true, "try_limit": 5},
		"report": map[string]any{"how": "pull", "names": []string{"pending", "served_ps", "svc_ms", "x0"}},
	}
}

// writeConfig writes the platform's configuration of a node and returns the file's path.
func (p *platform) writeConfig(n *nodeAddress, name string, settings map[string]any) string {
	text, err := json.Marshal(map[string]any{"name": name, "listen": n.listen, "discovery": n.discovery,
		"seed":   fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  json.RawMessage(p.list(n)), "settings": settings})
	if err != nil {
		p.rig.cannotRun("%v", err)
	}
	return p.rig.write(name+".json", string(text))
}

// write writes a file into the temporary folder and returns its path.
func (r *rig) write(name, text string) string {
	path := r.dir + "/" + name
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.cannotRun("%v", err)
	}
	return path
}

// waitHealthy waits until a node answers 200 to a health check.
func (r *rig) waitHealthy(address string) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.log("%s is ready", address)
				return
			}
		}
	}
	r.cannotRun("%s does not become ready", address)
}
