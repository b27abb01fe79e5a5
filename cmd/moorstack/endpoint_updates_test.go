package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"
)

// The endpoint list follows discovery's watch: draining workers, changed addresses, a watch that ends and one
// that goes silent.
func TestEndpointListFollowsTheWatch(t *testing.T) {
	w := startNode(t, 2, completeJob)
	watch := <-w.watches
	if watch.path != "/catalog/members?stream=1&index=41" {
		t.Errorf("watch request %q", watch.path)
	}
	a, b := w.workers[0], w.workers[1]
	watch.lines <- `{"generation":42,"reset":false,"instances":[` + a.instanceJSON("DRAINING") + "]}"
	time.Sleep(time.Second) // a node may take one second to apply an update
	for i := range 10 {
		w.dial().send(jobRequest(fmt.Sprint("d", i), "quote", "3000m", "x")).expectResponse(200, "")
	}
	if len(a.received) != 0 {
		t.Errorf("a draining worker got %d jobs", len(a.received))
	}
	moved := strings.Replace(a.instanceJSON("SERVING"), a.name, b.name, 1) // b now has a's address
	watch.lines <- `{"generation":43,"reset":true,"instances":[` + moved + "]}"
	n := 0
	eventually(t, "the new address is used", func() bool {
		n++ // gets no response: a receives the job and calls back under its own name instead of b's
		w.dial().send(jobRequest(fmt.Sprint("m", n), "quote", "1000m", "x"))
		return w.callCount("POST") > 10 && a.callCount() > 0
	})
	close(watch.lines)
	next := <-w.watches
	if next.path != "/catalog/members?stream=1&index=43" {
		t.Errorf("watch request %q", next.path)
	}
	began := time.Now() // this watch sends nothing
	select {
	case <-w.watches:
		// A heartbeat is due every 2 s; a silent watch counts as lost after 6 s.
		if d := time.Since(began); d < 2200*time.Millisecond {
			t.Errorf("a silent watch was given up after %v", d)
		}
	case <-time.After(waitLimit):
		t.Error("a silent watch was not given up")
	}
}

// After SIGHUP the node watches discovery at the address in its file, although the environment names the old
// one, and continues after the last update; jobs in flight are kept. An invalid file changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	w := startNode(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		time.AfterFunc(time.Second, func() { s.worker.node.callBack(s.id, s.worker.name, "done", "ok") })
	})
	watch := <-w.watches
	watch.lines <- `{"generation":43,"reset":false,"instances":[]}`
	c := w.dial().send(jobRequest("a", "book", "4000m", "x"))
	eventually(t, "the job is forwarded", func() bool { return w.callCount("POST") == 1 })
	moved := httptest.NewServer(http.HandlerFunc(w.serveDiscovery))
	t.Cleanup(moved.Close)
	t.Cleanup(moved.CloseClientConnections)
	discoveryField := regexp.MustCompile(`"discovery":"[^"]*"`)
	configWithDiscovery := func(address string) string {
		return discoveryField.ReplaceAllString(w.config, fmt.Sprintf(`"discovery":%q`, address))
	}
	good := configWithDiscovery(strings.TrimPrefix(moved.URL, "http://"))
	for _, bad := range []string{"{", configWithDiscovery("nowhere"),
		strings.Replace(good, "retryable", "no such", 1)} {
		w.reload(bad)
		select {
		case <-w.watches:
			t.Fatalf("an invalid file was accepted: %.40s", bad)
		case <-time.After(200 * time.Millisecond):
		}
	}
	w.reload(good)
	select {
	case next := <-w.watches:
		if next.path != "/catalog/members?stream=1&index=43" {
			t.Errorf("watch request %q", next.path)
		}
		next.lines <- `{"generation":44,"reset":true,"instances":[` +
			w.workers[0].instanceJSON("SERVING") + "]}"
	case <-time.After(waitLimit):
		t.Fatal("discovery's new address is not watched")
	}
	c.expectResponse(200, "ok")
	n := w.workers[1].callCount()
	for i := range 4 {
		w.dial().send(jobRequest(fmt.Sprint("r", i), "quote", "4000m", "x")).expectResponse(200, "ok")
	}
	if w.workers[1].callCount() != n {
		t.Error("a worker that is not on the new address's list got jobs")
	}
}
