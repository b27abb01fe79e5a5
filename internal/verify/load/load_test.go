package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts a test server as the node and returns its address.
func startServer(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func options(address string) Options {
	return Options{Address: address, Rate: 200, Duration: time.Second, Seed: 1,
		Classes: []Class{{Name: "c", Weight: 1, Timeout: 3 * time.Second}}}
}

// runOneClass runs the generator against a test server with one class of jobs.
func runOneClass(t *testing.T, handle http.HandlerFunc) (*Result, *ClassResult) {
	t.Helper()
	r, err := Run(t.Context(), options(startServer(t, handle)))
	if err != nil {
		t.Fatal(err)
	}
	return r, r.Classes["c"]
}

// Guards against coordinated omission: a server stalls once for 600 ms. A closed-loop generator would record
// one slow job; the open loop must record the delay of every job that was due during the stall.
func TestStallCountsForAllJobsDueInIt(t *testing.T) {
	var n atomic.Int32
	var until atomic.Int64
	r, c := runOneClass(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "" || r.Header.Get("X-Priority-Class") != "c" {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if n.Add(1) == 50 {
			until.Store(time.Now().Add(600 * time.Millisecond).UnixNano())
		}
		time.Sleep(time.Until(time.Unix(0, until.Load())))
	})
	if c.Served < 100 || c.Failed+c.Unanswered+c.Rejected > 0 || c.Served+r.NotSent != r.Scheduled {
		t.Fatalf("want every sent job served, got %+v of %d", c, r.Scheduled)
	}
	// At 200 jobs per second about 120 were due in the stall, so more than a tenth of all jobs waited 100 ms
	// or more.
	if waited := c.histogram.ValueAtQuantile(85); waited < 100_000 {
		t.Errorf("the delays of the jobs due in the stall are missing: p85 is %d us, want 100000 or more",
			waited)
	}
}

func TestEveryJobHasOneOutcome(t *testing.T) {
	var n atomic.Int32
	r, c := runOneClass(t, func(rw http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 1:
			rw.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			rw.WriteHeader(http.StatusBadGateway)
		case 3:
			conn, _, _ := rw.(http.Hijacker).Hijack()
			conn.Close()
		}
	})
	if c.Served == 0 || c.Rejected == 0 || c.Failed == 0 || c.Unanswered == 0 ||
		c.Served+c.Rejected+c.Failed+c.Unanswered != r.Scheduled {
		t.Errorf("want each outcome and a total of all jobs, got %+v of %d", c, r.Scheduled)
	}
}

func TestOptionsOutOfBoundsAreRejected(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"not on loopback":          func(o *Options) { o.Address = "192.0.2.1:80" },
		"rate must be":             func(o *Options) { o.Rate = 1e9 },
		"duration must be":         func(o *Options) { o.Duration = 0 },
		"at least one class":       func(o *Options) { o.Classes = nil },
		"must not exceed 50000000": func(o *Options) { o.Rate, o.Duration = 100_000, time.Hour },
	} {
		o := options("127.0.0.1:1")
		change(&o)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}
