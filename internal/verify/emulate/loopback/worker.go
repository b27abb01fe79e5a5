package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"moorstack/balancer"
	"moorstack/internal/verify/emulate"
)

const (
	maxBodyBytes = 64 << 10
	// defaultSize and maxSize are the work of a job in seconds: the default if its body gives none, and the
	// limit.
	defaultSize = 0.001
	maxSize     = 3600
	// A failed call-back is repeated every callBackInterval, up to callBackTries tries in total.
	callBackTries    = 10
	callBackInterval = 50 * time.Millisecond
)

// worker is a modelled worker that listens on a socket.
type worker struct {
	platform *Platform
	name     string
	model    *emulate.Worker
	address  string
	server   *http.Server

	// Guarded by the platform's lock.
	cancel      map[string]func() // of the jobs that have not ended, by request ID
	lifecycle   lifecycle
	startedAtMS int64 // Unix time; 0: unknown, long ago
}

func (w *worker) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.server = serve(l, w)
	return nil
}

// ServeHTTP implements the worker's side of the platform's protocol.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/_load":
		var report balancer.LoadReport
		w.platform.atCurrentTime(func() { report = w.model.LoadReport() })
		fmt.Fprintf(rw, "TEXT pending=%.2f, x0=%.2f", report.QueueLength, report.FreeSlots)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.cancelJob(strings.TrimPrefix(r.URL.Path, "/jobs/"))
	case r.Method == http.MethodPost:
		w.handleJob(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) cancelJob(id string) {
	w.platform.atCurrentTime(func() {
		if cancel := w.cancel[id]; cancel != nil {
			delete(w.cancel, id)
			cancel()
		}
	})
}

// handleJob starts a job whose body gives its work as "size=SECONDS".
func (w *worker) handleJob(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	id := r.Header.Get("X-Request-ID")
	if fails := w.platform.options.FailJob; fails != nil && fails(w.name) {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if onJob := w.platform.options.OnJob; onJob != nil {
		onJob(w.name, id)
	}
	if err != nil || id == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	result, ended := w.startJob(id, emulate.JobRequest{Key: r.Header.Get("Idempotency-Key"),
		Class: r.Header.Get("X-Priority-Class"), Size: jobSize(string(body)), KnewStart: true})
	switch {
	case !ended:
		rw.WriteHeader(http.StatusAccepted)
	case result == balancer.WorkerFull:
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case result == balancer.OK:
		rw.WriteHeader(http.StatusAccepted)
		go w.callBack(id, result)
	default:
		rw.WriteHeader(http.StatusInternalServerError)
	}
}

func jobSize(body string) float64 {
	if text, ok := strings.CutPrefix(body, "size="); ok {
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && v < maxSize {
			return v
		}
	}
	return defaultSize
}

// startJob starts a job in the model. If the job ends at once, it returns the result and true. The result of
// a job that ends later is sent by call-back.
func (w *worker) startJob(id string, job emulate.JobRequest) (result balancer.Result, ended bool) {
	w.platform.atCurrentTime(func() {
		starting := true
		cancel := w.model.StartJob(job, func(r balancer.Result) {
			if starting {
				result, ended = r, true
				return
			}
			delete(w.cancel, id)
			go w.callBack(id, r)
		})
		if starting = false; !ended {
			w.cancel[id] = cancel
		}
	})
	return result, ended
}

// callBack sends a job's result to the node, until the node accepts it or the tries are used up.
func (w *worker) callBack(id string, result balancer.Result) {
	event := map[string]string{"id": id, "from": w.name, "state": "failed"}
	switch result {
	case balancer.OK:
		event["state"], event["result"] = "done", "done by "+w.name
	case balancer.ConnectionReset:
		event["state"] = "lost"
	case balancer.WorkerFull:
		event["state"] = "returned"
	}
	body, err := json.Marshal(event)
	if err != nil {
		return
	}
	url := "http://" + w.platform.options.Node + "/v1/job-events"
	for range callBackTries {
		resp, err := w.platform.client.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode < 300 {
				return
			}
		}
		time.Sleep(callBackInterval)
	}
}
