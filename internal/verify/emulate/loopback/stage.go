// Package stage plays the emulator's workers and the list service over loopback sockets, in
// real time, round a real node: the same model of a worker as in virtual time, spoken to
// by the platform's protocol.
package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"moorstack/balancer"
	"moorstack/internal/verify/emulate"
)

// Options are what is played.
type Options struct {
	Node    string // the node's address, for call-backs
	Listen  string // of the list service; a free port, if empty
	Workers int
	Spec    emulate.WorkerSpec
	Zone    string
	Kind    string
	Seed    uint64
	// OnJob, where it is set, is told of each job that a worker takes: which, and its key. It must not wait.
	OnJob func(worker, key string)
	// FailJob, where it is set, says whether a worker answers a job with an error. Likewise.
	FailJob func(worker string) bool
}

// Fleet is workers and a list service that listen.
type Fleet struct {
	options          Options
	mu               sync.Mutex // over the model: its clock runs under it
	clock            emulate.Clock
	startedAt        time.Time
	workers          []*worker
	discoveryServer  *http.Server
	discoveryAddress string
	watches          map[chan []byte]bool
	version          int64
	client           *http.Client
	stop             context.CancelFunc
	running          sync.WaitGroup
}

// worker is a modelled worker behind a socket.
type worker struct {
	fleet       *Fleet
	name        string
	model       *emulate.Worker
	address     string
	server      *http.Server
	cancel      map[string]func()
	lifecycle   string
	startedAtMS int64
}

// CheckAddress refuses an address that is not of this machine.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an address and a port", address)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s is not on loopback; nothing is sent to other machines", address)
	}
	return nil
}

// Start begins to play.
func Start(o Options) (*Fleet, error) {
	if err := CheckAddress(o.Node); err != nil {
		return nil, err
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	s := &Fleet{options: o, startedAt: time.Now(), watches: map[chan []byte]bool{}, version: 1,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	streams := emulate.RandomStreams{Seed: o.Seed}
	for i := range o.Workers {
		w := &worker{fleet: s, name: fmt.Sprintf("w%05d", i), cancel: map[string]func(){}, lifecycle: "SERVING"}
		w.model = emulate.NewWorker(&s.clock, streams.Source("worker", i), w.name, o.Spec)
		if err := w.listen("127.0.0.1:0"); err != nil {
			s.Close()
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.discoveryAddress = l.Addr().String()
	s.discoveryServer = &http.Server{Handler: http.HandlerFunc(s.serveDiscovery), ReadHeaderTimeout: 5 * time.Second}
	go s.discoveryServer.Serve(l)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.running.Go(func() { s.runClock(ctx) })
	return s, nil
}

// DiscoveryAddress is where the list service listens.
func (s *Fleet) DiscoveryAddress() string { return s.discoveryAddress }

// runClock has the model's clock follow the real one.
func (s *Fleet) runClock(ctx context.Context) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.atPresent(func() {})
		}
	}
}

// atPresent does something to the model, at the present.
func (s *Fleet) atPresent(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Run(time.Since(s.startedAt))
	f()
}

// Close ends it all.
func (s *Fleet) Close() {
	if s.stop != nil {
		s.stop()
		s.running.Wait()
	}
	if s.discoveryServer != nil {
		s.discoveryServer.Close()
	}
	for _, w := range s.workers {
		if w.server != nil {
			w.server.Close()
		}
	}
}

func (w *worker) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go w.server.Serve(l)
	return nil
}

// ServeHTTP is the worker's side of the platform's protocol.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/_load":
		var rep balancer.LoadReport
		w.fleet.atPresent(func() { rep = w.model.LoadReport() })
		fmt.Fprintf(rw, "TEXT pending=%.2f, x0=%.2f", rep.QueueLength, rep.FreeSlots)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/jobs/"):
		id := strings.TrimPrefix(r.URL.Path, "/jobs/")
		w.fleet.atPresent(func() {
			if f := w.cancel[id]; f != nil {
				delete(w.cancel, id)
				f()
			}
		})
	case r.Method == http.MethodPost:
		w.startJob(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// startJob takes a job whose body says "size=SECONDS".
func (w *worker) startJob(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	id := r.Header.Get("X-Request-ID")
	if w.fleet.options.FailJob != nil && w.fleet.options.FailJob(w.name) {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if w.fleet.options.OnJob != nil {
		w.fleet.options.OnJob(w.name, id)
	}
	if err != nil || id == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	size := 0.001
	if text, ok := strings.CutPrefix(string(body), "size="); ok {
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && v < 3600 {
			size = v
		}
	}
	atOnce, now := true, balancer.OK
	w.fleet.atPresent(func() {
		done := func(res balancer.Result) {
			if atOnce {
				now = res
				return
			}
			delete(w.cancel, id)
			go w.callBack(id, res)
		}
		now = balancer.NotSent // not ended yet
		giveUp := w.model.StartJob(emulate.JobRequest{Key: r.Header.Get("Idempotency-Key"),
			Class: r.Header.Get("X-Priority-Class"), Size: size, KnewStart: true}, done)
		if atOnce = false; now == balancer.NotSent {
			w.cancel[id] = giveUp
		}
	})
	switch now {
	case balancer.NotSent:
		rw.WriteHeader(http.StatusAccepted)
	case balancer.WorkerFull:
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case balancer.OK:
		rw.WriteHeader(http.StatusAccepted)
		go w.callBack(id, now)
	default:
		rw.WriteHeader(http.StatusInternalServerError)
	}
}

// callBack tells the node what has become of a job, until it is heard.
func (w *worker) callBack(id string, res balancer.Result) {
	event := map[string]string{"id": id, "from": w.name, "state": "failed"}
	switch res {
	case balancer.OK:
		event["state"], event["result"] = "done", "done by "+w.name
	case balancer.ConnectionReset:
		event["state"] = "lost"
	case balancer.WorkerFull:
		event["state"] = "returned"
	}
	b, err := json.Marshal(event)
	if err != nil {
		return
	}
	for range 10 {
		resp, err := w.fleet.client.Post(
			"http://"+w.fleet.options.Node+"/v1/job-events",
			"application/json",
			bytes.NewReader(b),
		)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode < 300 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// CrashWorker kills a worker: its connections are reset, its jobs lost.
func (s *Fleet) CrashWorker(n int) error {
	if n < 0 || n >= len(s.workers) {
		return fmt.Errorf("there is no worker %d", n)
	}
	w := s.workers[n]
	w.server.Close()
	s.atPresent(func() {
		w.model.Crash()
		w.lifecycle = "DELETED"
	})
	s.notifyWatchers(w)
	return nil
}

// RestartWorker starts a worker again, cold.
func (s *Fleet) RestartWorker(n int) error {
	if n < 0 || n >= len(s.workers) {
		return fmt.Errorf("there is no worker %d", n)
	}
	w := s.workers[n]
	if err := w.listen(w.address); err != nil {
		return err
	}
	s.atPresent(func() {
		w.model.Restart()
		w.lifecycle, w.startedAtMS = "SERVING", time.Now().UnixMilli()
	})
	s.notifyWatchers(w)
	return nil
}

type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"startedAtMs"`
}

type listUpdate struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

func (w *worker) instance() instance {
	return instance{w.name, w.address, w.fleet.options.Zone, w.fleet.options.Kind, 1, w.lifecycle, 1, w.startedAtMS}
}

// notifyWatchers tells all watchers of a worker.
func (s *Fleet) notifyWatchers(w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	b, _ := json.Marshal(listUpdate{s.version, false, []instance{w.instance()}})
	for c := range s.watches {
		select {
		case c <- b:
		default: // who doesn't read is told the whole list when it comes again
			close(c)
			delete(s.watches, c)
		}
	}
}

// serveDiscovery is the list service's side of the platform's protocol.
func (s *Fleet) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	c := make(chan []byte, 64)
	s.mu.Lock()
	all := listUpdate{Generation: s.version, Reset: true}
	for _, w := range s.workers {
		if w.lifecycle != "DELETED" {
			all.Instances = append(all.Instances, w.instance())
		}
	}
	watch := r.URL.Query().Get("stream") == "1"
	if watch {
		s.watches[c] = true
	}
	s.mu.Unlock()
	b, err := json.Marshal(all)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.watches, c)
		s.mu.Unlock()
	}()
	send := func(b []byte) error {
		if _, err := rw.Write(append(b, '\n')); err != nil {
			return err
		}
		if f, ok := rw.(http.Flusher); ok {
			f.Flush()
			return nil
		}
		return errors.New("no flushing")
	}
	if send(b) != nil || !watch {
		return
	}
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case b, ok := <-c:
			if !ok || send(b) != nil {
				return
			}
		case <-idle.C:
			if send(nil) != nil {
				return
			}
		}
	}
}
