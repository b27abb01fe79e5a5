package loopback

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/emulate"
)

// event is a call-back of a worker.
type event struct {
	ID     string `json:"id"`
	From   string `json:"from"`
	State  string `json:"state"`
	Result string `json:"result"`
}

// startPlatform starts a platform with a test server as its node, and returns the call-backs that the server
// receives. The platform has two workers with one slot and a queue of one.
func startPlatform(t *testing.T, o Options) (*Platform, <-chan event) {
	t.Helper()
	events := make(chan event, 16)
	node := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var e event
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil || r.URL.Path != "/v1/job-events" {
			t.Errorf("got %s %s with error %v, want a call-back to /v1/job-events", r.Method, r.URL.Path, err)
		}
		events <- e
	}))
	t.Cleanup(node.Close)
	o.Node, o.Workers = strings.TrimPrefix(node.URL, "http://"), 2
	o.Spec = emulate.WorkerSpec{Cores: 1, Slots: 1, QueueCapacity: 1, Speed: 1,
		ReportInterval: time.Millisecond}
	p, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, events
}

// send sends a request to a worker and returns the status and header of the response.
func send(t *testing.T, w *worker, method, path, id, body string) (int, http.Header) {
	t.Helper()
	url := "http://" + w.address + path
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		r.Header.Set("X-Request-ID", id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// nextEvent waits for the next call-back.
func nextEvent(t *testing.T, events <-chan event) event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no call-back within 10 s")
		return event{}
	}
}

func TestJobIsAcceptedAndItsEndCalledBack(t *testing.T) {
	p, events := startPlatform(t, Options{})
	w := p.workers[0]
	if status, _ := send(t, w, http.MethodPost, "/", "j1", "size=0.01"); status != http.StatusAccepted {
		t.Fatalf("job: status %d, want 202", status)
	}
	want := event{ID: "j1", From: w.name, State: "done", Result: "done by " + w.name}
	if e := nextEvent(t, events); e != want {
		t.Errorf("call-back %+v, want %+v", e, want)
	}
	if status, _ := send(t, w, http.MethodPost, "/", "", "size=0.01"); status != http.StatusNotFound {
		t.Errorf("job without a request ID: status %d, want 404", status)
	}
}

func TestFullWorkerRejectsUntilAJobIsCancelled(t *testing.T) {
	p, _ := startPlatform(t, Options{})
	w := p.workers[0]
	for _, id := range []string{"running", "queued"} {
		if status, _ := send(t, w, http.MethodPost, "/", id, "size=1000"); status != http.StatusAccepted {
			t.Fatalf("job %s: status %d, want 202", id, status)
		}
	}
	status, header := send(t, w, http.MethodPost, "/", "third", "size=1000")
	if status != http.StatusServiceUnavailable || header.Get("X-Not-Processed") != "1" {
		t.Errorf("full worker: status %d and header %v, want 503 with X-Not-Processed: 1", status, header)
	}
	send(t, w, http.MethodDelete, "/jobs/running", "", "")
	if status, _ := send(t, w, http.MethodPost, "/", "fourth", "size=1000"); status != http.StatusAccepted {
		t.Errorf("job after the cancellation: status %d, want 202", status)
	}
}

func TestCrashLosesJobsAndWatchesReceiveIt(t *testing.T) {
	p, events := startPlatform(t, Options{})
	w := p.workers[1]
	resp, err := http.Get("http://" + p.DiscoveryAddress() + "/catalog/members?stream=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	receive := func() listUpdate {
		t.Helper()
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue // keep-alive of an idle watch
			}
			var u listUpdate
			if err := json.Unmarshal(lines.Bytes(), &u); err != nil {
				t.Fatal(err)
			}
			return u
		}
		t.Fatal("the watch ended: ", lines.Err())
		return listUpdate{}
	}
	if u := receive(); !u.Reset || len(u.Instances) != 2 || u.Instances[1].Lifecycle != serving {
		t.Errorf("initial list: got %+v, want two serving workers", u)
	}
	send(t, w, http.MethodPost, "/", "j1", "size=1000")
	if err := p.CrashWorker(1); err != nil {
		t.Fatal(err)
	}
	if e := nextEvent(t, events); e.ID != "j1" || e.State != "lost" {
		t.Errorf("want a call-back that j1 is lost, got %+v", e)
	}
	if u := receive(); u.Reset || len(u.Instances) != 1 || u.Instances[0].Lifecycle != deleted {
		t.Errorf("update after the crash: got %+v, want one deleted worker", u)
	}
	if err := p.RestartWorker(1); err != nil {
		t.Fatal(err)
	}
	u := receive()
	if len(u.Instances) != 1 || u.Instances[0].Lifecycle != serving || u.Instances[0].StartedAtMS == 0 {
		t.Errorf("update after the restart: got %+v, want one serving worker with a start time", u)
	}
	if p.CrashWorker(2) == nil || p.RestartWorker(-1) == nil {
		t.Error("crashing or restarting a worker that does not exist did not fail")
	}
}

func TestHooksObserveAndFailJobs(t *testing.T) {
	ids := make(chan string, 1)
	p, _ := startPlatform(t, Options{
		OnJob:   func(worker, id string) { ids <- worker + " " + id },
		FailJob: func(worker string) bool { return worker == "w00001" },
	})
	status, _ := send(t, p.workers[1], http.MethodPost, "/", "j1", "")
	if status != http.StatusInternalServerError {
		t.Errorf("job failed by FailJob: status %d, want 500", status)
	}
	send(t, p.workers[0], http.MethodPost, "/", "j2", "")
	if got := <-ids; got != "w00000 j2" {
		t.Errorf("OnJob observed %q, want \"w00000 j2\"", got)
	}
}

func TestOnlyLoopbackAddressesAreAccepted(t *testing.T) {
	for address, ok := range map[string]bool{
		"127.0.0.1:80": true, "[::1]:80": true, "[::ffff:127.0.0.1]:80": true,
		"192.0.2.1:80": false, "localhost:80": false, "127.0.0.1": false, "": false,
	} {
		if err := CheckAddress(address); (err == nil) != ok {
			t.Errorf("address %q: unexpected result, error %v", address, err)
		}
	}
}
