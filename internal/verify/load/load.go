// Package load is an open-loop load generator: it sends jobs to a real node over loopback at a given rate,
// independent of the node's responses. Latency is measured from the time at which a job was scheduled. A node
// that stalls for a second thus delays all jobs scheduled in that second, and each delay is counted, which
// avoids coordinated omission (Tene, "How NOT to Measure Latency").
package load

import (
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moorstack/internal/verify/emulate/loopback"
)

// Class is a class of generated jobs.
type Class struct {
	Name              string
	Weight            float64       // relative frequency among the classes
	MeanWork          float64       // seconds; work is drawn from an exponential distribution
	Timeout           time.Duration // of the clients
	HasIdempotencyKey bool
}

// Options configure a run.
type Options struct {
	Address     string  // host and port of the node; loopback only
	Rate        float64 // jobs per second, Poisson arrivals
	Duration    time.Duration
	Classes     []Class
	Tenants     []string // drawn with equal probability; empty: no tenant
	Seed        uint64   // of the arrival times, classes, work and tenants
	MaxInFlight int      // jobs due beyond this limit count as not sent; 4096 if not positive
	// OnProgress, if set, is called at intervals of at least one second with the measurements so far, on the
	// goroutine that called Run. It must not retain the result's map.
	OnProgress func(Result)
}

// Limits on a run: jobs per second, its length, and the expected number of jobs.
const (
	MaxRate     = 200_000
	MaxDuration = time.Hour
	MaxJobs     = 50_000_000
)

const (
	defaultMaxInFlight = 4096
	// Latencies are recorded from 1 us to 10 minutes with three significant digits; no client waits longer
	// than ten minutes.
	minLatencyMicros = 1
	maxLatencyMicros = 600_000_000
	latencyDigits    = 3
)

// Result holds the measurements of a run.
type Result struct {
	Seconds   float64                 `json:"seconds"` // from the start to the last response
	Scheduled int                     `json:"meant"`   // jobs that were due
	NotSent   int                     `json:"not_sent"`
	Classes   map[string]*ClassResult `json:"classes"` // by name
}

// ClassResult holds the measurements of a class.
type ClassResult struct {
	Served     int            `json:"served"`
	Rejected   int            `json:"refused"`    // status 503 or 429
	Failed     int            `json:"failed"`     // any other status except 200
	Unanswered int            `json:"lost"`       // no response
	Latency    map[string]any `json:"latency_ms"` // of the served: p50, p90, p99, p99.9 and max

	histogram *hdrhistogram.Histogram // of the served jobs, in microseconds
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

func (o *Options) validate() error {
	if err := loopback.CheckAddress(o.Address); err != nil {
		return err
	}
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return fmt.Errorf("rate must be above 0 and at most %[2]d jobs per second, got %[1]v",
			o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("duration must be above 0 and at most %[2]v, got %[1]v", o.Duration, MaxDuration)
	case o.Rate*o.Duration.Seconds() > MaxJobs:
		return fmt.Errorf("rate times duration must not exceed %d jobs", MaxJobs)
	case len(o.Classes) == 0:
		return errors.New("at least one class is required")
	}
	return nil
}
