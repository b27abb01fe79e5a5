package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// progressInterval is the minimum time between two calls of Options.OnProgress.
	progressInterval = time.Second
	// responseGrace is how long the generator waits for a response after the job's timeout.
	responseGrace = time.Second
)

// run is a run of the generator. One goroutine schedules the jobs; each job in flight has its own goroutine,
// which ends with the job.
type run struct {
	Options
	client      *http.Client
	random      *rand.Rand
	totalWeight float64 // sum of the classes' weights
	idPrefix    string
	startedAt   time.Time
	slots       chan struct{}  // one entry for each job in flight
	inFlight    sync.WaitGroup // the jobs' goroutines

	mu     sync.Mutex // guards the classes' results
	result *Result
}

// job is a scheduled job.
type job struct {
	id          string
	class       *Class
	work        float64 // seconds
	tenant      string
	scheduledAt time.Time
}

// Run sends jobs and waits for their responses. If the context ends, it stops sending and returns the
// measurements so far together with the context's error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	r := newRun(o)
	defer r.client.CloseIdleConnections()
	r.schedule(ctx)
	r.inFlight.Wait()
	r.result.Seconds = time.Since(r.startedAt).Seconds()
	for _, c := range r.result.Classes {
		c.summarize()
	}
	return r.result, ctx.Err()
}

func newRun(o Options) *run {
	transport := &http.Transport{MaxIdleConns: o.MaxInFlight, MaxIdleConnsPerHost: o.MaxInFlight,
		DisableCompression: true}
	now := time.Now()
	r := &run{
		Options:   o,
		client:    &http.Client{Transport: transport},
		random:    rand.New(rand.NewPCG(o.Seed, 9)),
		idPrefix:  fmt.Sprintf("l%x", now.UnixNano()),
		startedAt: now,
		slots:     make(chan struct{}, o.MaxInFlight),
		result:    &Result{Classes: map[string]*ClassResult{}},
	}
	for _, c := range o.Classes {
		r.totalWeight += c.Weight
		r.result.Classes[c.Name] = &ClassResult{histogram: newHistogram()}
	}
	return r
}

// schedule starts each job when it is due, until the end of the run.
func (r *run) schedule(ctx context.Context) {
	due, progressAt := r.startedAt, r.startedAt
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.random.ExpFloat64() / r.Rate * 1e9))
		if due.Sub(r.startedAt) > r.Duration || ctx.Err() != nil {
			return
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		r.start(ctx, r.draw(n, due))
		if r.OnProgress != nil && time.Since(progressAt) >= progressInterval {
			progressAt = time.Now()
			r.reportProgress()
		}
	}
}

// draw creates the n-th job.
func (r *run) draw(n int, due time.Time) job {
	at := r.random.Float64() * r.totalWeight
	pick := 0
	for pick < len(r.Classes)-1 && at >= r.Classes[pick].Weight {
		at -= r.Classes[pick].Weight
		pick++
	}
	j := job{id: fmt.Sprintf("%s-%d", r.idPrefix, n), class: &r.Classes[pick], scheduledAt: due}
	j.work = j.class.MeanWork * r.random.ExpFloat64()
	if len(r.Tenants) > 0 {
		j.tenant = r.Tenants[r.random.IntN(len(r.Tenants))]
	}
	return j
}

// start sends a job on its own goroutine, or counts it as not sent if too many are in flight.
func (r *run) start(ctx context.Context, j job) {
	r.result.Scheduled++
	select {
	case r.slots <- struct{}{}:
	default:
		r.result.NotSent++
		return
	}
	r.inFlight.Go(func() {
		status, err := r.send(ctx, j)
		latency := time.Since(j.scheduledAt)
		<-r.slots
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Classes[j.class.Name].count(status, err, latency)
	})
}

func (r *run) reportProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Seconds = time.Since(r.startedAt).Seconds()
	r.OnProgress(*r.result)
}

// send sends a job and reads its response.
func (r *run) send(ctx context.Context, j job) (status int, err error) {
	ctx, stop := context.WithTimeout(ctx, j.class.Timeout+responseGrace)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/api",
		strings.NewReader(fmt.Sprintf("size=%.6f", j.work)))
	if err != nil {
		return 0, err
	}
	h := req.Header
	h.Set("X-Request-ID", j.id)
	h.Set("X-Priority-Class", j.class.Name)
	h.Set("X-Timeout", fmt.Sprintf("%dm", j.class.Timeout.Milliseconds()))
	h.Set("X-Cost", fmt.Sprintf("%.0f", j.work*1e6))
	if j.tenant != "" {
		h.Set("X-Tenant-Id", j.tenant)
	}
	if j.class.HasIdempotencyKey {
		h.Set("Idempotency-Key", j.id)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// count records the result of a job.
func (c *ClassResult) count(status int, err error, latency time.Duration) {
	switch {
	case err != nil:
		c.Unanswered++
	case status == http.StatusOK:
		c.Served++
		_ = c.histogram.RecordValue(max(latency.Microseconds(), minLatencyMicros)) // fails above the maximum
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.Rejected++
	default:
		c.Failed++
	}
}

// summarize computes the latency quantiles in milliseconds.
func (c *ClassResult) summarize() {
	c.Latency = map[string]any{}
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100} {
		c.Latency[name] = float64(c.histogram.ValueAtQuantile(q)) / 1000
	}
}
