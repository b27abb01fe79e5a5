package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func options(address string) Options {
	return Options{Address: address, Rate: 200, Duration: time.Second, Seed: 1,
		Classes: []Class{{Name: "c", Weight: 1, Timeout: 3 * time.Second}}}
}

// A server that stops once for 600 ms: in a closed loop one job would have seen it. Here
// all that were due meanwhile have waited, and that is counted.
func TestStallIsCounted(t *testing.T) {
	var n atomic.Int32
	var until atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "" || r.Header.Get("X-Priority-Class") != "c" {
			rw.WriteHeader(400)
			return
		}
		if n.Add(1) == 50 {
			until.Store(time.Now().Add(600 * time.Millisecond).UnixNano())
		}
		time.Sleep(time.Until(time.Unix(0, until.Load())))
	}))
	defer srv.Close()
	r, err := Run(context.Background(), options(strings.TrimPrefix(srv.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	f := r.Classes["c"]
	if f.Served < 100 || f.Failed+f.Unanswered+f.Rejected > 0 || f.Served+r.NotSent != r.Scheduled {
		t.Fatalf("%+v of %d", f, r.Scheduled)
	}
	// At 200 a second some 120 were due in the stall: over a tenth of all waited 100 ms or more.
	if waited := f.histogram.ValueAtQuantile(85); waited < 100_000 {
		t.Errorf("of those that were due in the stall nothing shows: 85%% within %d us", waited)
	}
}

func TestOutcomesAndBounds(t *testing.T) {
	var n atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 1:
			rw.WriteHeader(503)
		case 2:
			rw.WriteHeader(502)
		case 3:
			c, _, _ := rw.(http.Hijacker).Hijack()
			c.Close()
		}
	}))
	defer srv.Close()
	r, err := Run(context.Background(), options(strings.TrimPrefix(srv.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	f := r.Classes["c"]
	if f.Served == 0 || f.Rejected == 0 || f.Failed == 0 || f.Unanswered == 0 ||
		f.Served+f.Rejected+f.Failed+f.Unanswered != r.Scheduled {
		t.Errorf("%+v of %d", f, r.Scheduled)
	}
	for what, spoil := range map[string]func(*Options){
		"not on loopback": func(o *Options) { o.Address = "192.0.2.1:80" },
		"a rate of":       func(o *Options) { o.Rate = 1e9 },
		"is not above 0":  func(o *Options) { o.Duration = 0 },
		"no class":        func(o *Options) { o.Classes = nil },
		"over 50000000":   func(o *Options) { o.Rate, o.Duration = 100_000, time.Hour },
	} {
		o := options("127.0.0.1:1")
		spoil(&o)
		if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}
