package load

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Whatever a node bears and wherever the search begins, it ends near it, from below.
func TestSearch(t *testing.T) {
	for _, bears := range []float64{0, 1.5, 37, 800, 12_345, 199_000, 1e9} {
		for _, from := range []float64{1, 100, 50_000} {
			s, steps := NewRateSearch(from, 0.05), 0
			for {
				rate, more := s.Next()
				if !more {
					break
				}
				steps++
				s.Record(rate <= bears)
			}
			want := math.Min(bears, MaxRate)
			if got := s.Sustained(); got > want || got < want/1.06 || steps > maxSteps {
				t.Errorf("a node that bears %v, from %v: found %v in %d steps", bears, from, got, steps)
			}
		}
	}
}

// A server that takes 100 jobs a second and refuses the rest: that is what is found.
func TestFindMax(t *testing.T) {
	var mu sync.Mutex
	var window time.Time
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now().Truncate(250 * time.Millisecond); now != window {
			window, n = now, 0
		}
		if n++; n > 50 {
			rw.WriteHeader(503)
		}
	}))
	defer srv.Close()
	o := options(strings.TrimPrefix(srv.URL, "http://"))
	o.Rate, o.Duration = 50, 600*time.Millisecond
	var steps []Step
	got, err := FindMaxRate(context.Background(), o, Objective{P99: 5 * time.Second, MaxErrorShare: 0.02},
		0.2,
		func(s Step) { steps = append(steps, s) })
	if err != nil || got < 50 || got > 400 {
		t.Errorf("found %v, %v: %+v", got, err, steps)
	}
	if first, last := steps[0], steps[len(steps)-1]; !first.Sustained || len(steps) < 3 || last.P99 <= 0 {
		t.Errorf("the steps: %+v", steps)
	}
	for _, bad := range []Objective{{}, {P99: time.Second, MaxErrorShare: 1}, {P99: -1}} {
		if _, err := FindMaxRate(context.Background(), o, bad, 0.1, nil); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
