// Package load sends jobs to a real node over loopback at a rate of its own, whatever the node does (open
// loop), and measures from the time at which a job was scheduled: a node that stops for a second delays all
// that were due in it, and that is counted (Tene, "How NOT to Measure Latency"; coordinated omission).
package load

import (
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moorstack/internal/verify/emulate/loopback"
)

// Class is a class of jobs that are sent.
type Class struct {
	Name              string
	Weight            float64       // how often, against the other classes
	MeanWork          float64       // seconds; the work of a job is drawn from an exponential distribution
	Timeout           time.Duration // of the clients
	HasIdempotencyKey bool
}

// Options are what is sent.
type Options struct {
	Address     string  // the node's, with its port; loopback only
	Rate        float64 // jobs a second, at random times
	Duration    time.Duration
	Classes     []Class
	Tenants     []string // alike often; none, if empty
	Seed        uint64   // of the times, classes, sizes and tenants
	MaxInFlight int      // a job that is due beyond it is counted as not sent; 4096, if not above 0
	// OnProgress, where it is set, is called each second or later with what was measured so far, on the
	// goroutine that called Run. It must not keep the result's map.
	OnProgress func(Result)
}

// Bounds on a run: jobs a second, its length, and the expected number of jobs.
const (
	MaxRate     = 200_000
	MaxDuration = time.Hour
	MaxJobs     = 50_000_000
)

const (
	defaultMaxInFlight = 4096
	// Latencies are kept from 1 us to 10 minutes, to three digits; beyond ten minutes no client waits.
	minLatencyMicros = 1
	maxLatencyMicros = 600_000_000
	latencyDigits    = 3
)

// Result is what was measured.
type Result struct {
	Seconds   float64                 `json:"seconds"` // from the start to the last response
	Scheduled int                     `json:"meant"`   // jobs that were due
	NotSent   int                     `json:"not_sent"`
	Classes   map[string]*ClassResult `json:"classes"` // by name
}

// ClassResult is what was measured of a class.
type ClassResult struct {
	Served     int            `json:"served"`
	Rejected   int            `json:"refused"`    // with 503 or 429
	Failed     int            `json:"failed"`     // with any other status
	Unanswered int            `json:"lost"`       // without a response
	Latency    map[string]any `json:"latency_ms"` // of the served, by quantile: p50, p90, p99, p99.9 and max

	histogram *hdrhistogram.Histogram // of the served, in microseconds
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
