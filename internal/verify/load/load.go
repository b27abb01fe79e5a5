// Package load sends jobs to a real node over loopback at a rate of its own, whatever the
// node does (open loop), and measures from the time at which a job was meant to be sent:
// a node that stops for a second delays all that were due in it, and that is counted
// (Tene, "How NOT to Measure Latency"; coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moorstack/internal/verify/emulate/loopback"
)

// Class is a class of jobs that are sent.
type Class struct {
	Name              string
	Weight            float64
	MeanWork          float64 // mean seconds of work, exponential
	Timeout           time.Duration
	HasIdempotencyKey bool
}

// Options are what is sent.
type Options struct {
	Address     string // loopback only
	Rate        float64
	Duration    time.Duration
	Classes     []Class
	Tenants     []string
	Seed        uint64
	MaxInFlight int // jobs out at once; beyond it a job is counted as not sent
	OnProgress  func(Result)
}

// Bounds on a run.
const (
	MaxRate     = 200_000
	MaxDuration = time.Hour
	MaxJobs     = 50_000_000
)

// Result is what was measured.
type Result struct {
	Seconds   float64                 `json:"seconds"`
	Scheduled int                     `json:"meant"` // to be sent
	NotSent   int                     `json:"not_sent"`
	Classes   map[string]*ClassResult `json:"classes"`
}

// ClassResult are of a class.
type ClassResult struct {
	Served     int            `json:"served"`
	Rejected   int            `json:"refused"`
	Failed     int            `json:"failed"`
	Unanswered int            `json:"lost"` // no answer at all
	Latency    map[string]any `json:"latency_ms"`

	histogram *hdrhistogram.Histogram
}

func (o *Options) validate() error {
	if err := loopback.CheckAddress(o.Address); err != nil {
		return err
	}
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return fmt.Errorf("a rate of %v is not above 0 and up to %d a second", o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("%v is not above 0 and up to %v", o.Duration, MaxDuration)
	case o.Rate*o.Duration.Seconds() > MaxJobs:
		return fmt.Errorf("that would be over %d jobs", MaxJobs)
	case len(o.Classes) == 0:
		return errors.New("no class is given")
	}
	return nil
}

// Run sends jobs and waits for their answers.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 4096
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: o.MaxInFlight,
		MaxIdleConnsPerHost: o.MaxInFlight,
		DisableCompression:  true}}
	defer client.CloseIdleConnections()
	r := &Result{Classes: map[string]*ClassResult{}}
	total := 0.0
	for _, c := range o.Classes {
		total += c.Weight
		// From 1 us to 10 minutes, to three digits.
		r.Classes[c.Name] = &ClassResult{histogram: hdrhistogram.New(1, 600_000_000, 3)}
	}
	rng := rand.New(rand.NewPCG(o.Seed, 9))
	var mu sync.Mutex
	var out sync.WaitGroup
	room := make(chan struct{}, o.MaxInFlight)
	began := time.Now()
	due, lastTick := began, began
	prefix := fmt.Sprintf("l%x", began.UnixNano())
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / o.Rate * 1e9))
		if due.Sub(began) > o.Duration || ctx.Err() != nil {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		at := rng.Float64() * total
		pick := 0
		for pick < len(o.Classes)-1 && at >= o.Classes[pick].Weight {
			at -= o.Classes[pick].Weight
			pick++
		}
		c := o.Classes[pick]
		size := c.MeanWork * rng.ExpFloat64()
		tenant := ""
		if len(o.Tenants) > 0 {
			tenant = o.Tenants[rng.IntN(len(o.Tenants))]
		}
		r.Scheduled++
		meant := due // the loop goes on before the answer comes
		select {
		case room <- struct{}{}:
		default:
			r.NotSent++
			continue
		}
		out.Go(func() {
			status, err := send(ctx, client, o.Address, fmt.Sprintf("%s-%d", prefix, n), c, size, tenant)
			took := time.Since(meant)
			<-room
			mu.Lock()
			defer mu.Unlock()
			f := r.Classes[c.Name]
			switch {
			case err != nil:
				f.Unanswered++
			case status == http.StatusOK:
				f.Served++
				_ = f.histogram.RecordValue(max(took.Microseconds(), 1)) // beyond ten minutes no client waits
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				f.Rejected++
			default:
				f.Failed++
			}
		})
		if o.OnProgress != nil && time.Since(lastTick) >= time.Second {
			lastTick = time.Now()
			mu.Lock()
			r.Seconds = time.Since(began).Seconds()
			o.OnProgress(*r)
			mu.Unlock()
		}
	}
	out.Wait()
	r.Seconds = time.Since(began).Seconds()
	for _, f := range r.Classes {
		f.Latency = map[string]any{}
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100} {
			f.Latency[name] = float64(f.histogram.ValueAtQuantile(q)) / 1000
		}
	}
	return r, ctx.Err()
}

// send sends one job and reads its answer.
func send(ctx context.Context, client *http.Client, address, id string, c Class, size float64,
	tenant string) (int, error) {
	ctx, stop := context.WithTimeout(ctx, c.Timeout+time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api",
		strings.NewReader(fmt.Sprintf("size=%.6f", size)))
	if err != nil {
		return 0, err
	}
	h := req.Header
	h.Set("X-Request-ID", id)
	h.Set("X-Priority-Class", c.Name)
	h.Set("X-Timeout", fmt.Sprintf("%dm", c.Timeout.Milliseconds()))
	h.Set("X-Cost", fmt.Sprintf("%.0f", size*1e6))
	if tenant != "" {
		h.Set("X-Tenant-Id", tenant)
	}
	if c.HasIdempotencyKey {
		h.Set("Idempotency-Key", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
