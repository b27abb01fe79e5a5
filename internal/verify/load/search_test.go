package load

import (
	"math"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Whatever rate a node sustains and wherever the search starts, the result is close to that rate and not
// above it.
func TestRateSearchEndsNearTheLimit(t *testing.T) {
	for _, limit := range []float64{0, 1.5, 37, 800, 12_345, 199_000, 1e9} {
		for _, from := range []float64{1, 100, 50_000} {
			s, steps := NewRateSearch(from, 0.05), 0
			for {
				rate, more := s.Next()
				if !more {
					break
				}
				steps++
				s.Record(rate <= limit)
			}
			want := math.Min(limit, MaxRate)
			if got := s.Sustained(); got > want || got < want/1.06 || steps > maxSteps {
				t.Errorf("limit %v, search from %v: found %v in %d steps, want the limit or just below",
					limit, from, got, steps)
			}
		}
	}
}

// A server that serves 200 jobs per second and rejects the rest: the search finds about that rate.
func TestFindMaxRateOfServerWithLimit(t *testing.T) {
	var mu sync.Mutex
	var window time.Time
	n := 0
	o := options(startServer(t, func(rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now().Truncate(250 * time.Millisecond); now != window {
			window, n = now, 0
		}
		if n++; n > 50 {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	o.Rate, o.Duration = 50, 600*time.Millisecond
	var steps []Step
	objective := Objective{P99: 5 * time.Second, MaxErrorShare: 0.02}
	got, err := FindMaxRate(t.Context(), o, objective, 0.2, func(s Step) { steps = append(steps, s) })
	if err != nil || got < 50 || got > 400 {
		t.Errorf("found rate %v, error %v, steps %+v; want a rate from 50 to 400", got, err, steps)
	}
	if len(steps) < 3 || !steps[0].Sustained || steps[len(steps)-1].P99 <= 0 {
		t.Errorf("got steps %+v, want three or more, the first sustained, the last with a latency", steps)
	}
}

func TestInvalidObjectiveIsRejected(t *testing.T) {
	for _, objective := range []Objective{{}, {P99: time.Second, MaxErrorShare: 1}, {P99: -1}} {
		if _, err := FindMaxRate(t.Context(), options("127.0.0.1:1"), objective, 0.1, nil); err == nil {
			t.Errorf("invalid objective %+v was accepted", objective)
		}
	}
}
