package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bound is what a rate must keep to be borne.
type Bound struct {
	P99    time.Duration // of the latency of what is served
	Unkept float64       // the share of jobs that may be refused, failed, lost or not sent
}

// Step is one rate that was tried.
type Step struct {
	Rate   float64 `json:"rate"`
	Sent   float64 `json:"per_second"` // that were meant to be sent, as it came
	P99    float64 `json:"p99_ms"`
	Unkept float64 `json:"unkept"`
	Borne  bool    `json:"borne"`
}

// Search finds the highest rate that is borne: it doubles until one is not, then halves
// what is left between the two. It knows no node and no clock.
type Search struct {
	low, high float64 // the highest rate borne, the lowest that was not; 0: none yet
	next      float64
	close     float64 // how near they must be, as a share of the lower one
	steps     int
}

// maxSteps bounds a search: from 1 to MaxRate by doubling is 18, to a hundredth of that 7 more.
const maxSteps = 32

// NewSearch begins at a rate and ends when what is borne is known within a share of it.
func NewSearch(from, within float64) *Search { return &Search{next: from, close: within} }

// Next is the rate to be tried now; false once the search has ended.
func (s *Search) Next() (float64, bool) {
	switch {
	case s.steps >= maxSteps, s.low >= MaxRate, s.high > 0 && s.high < 1:
		return 0, false
	case s.low > 0 && s.high > 0 && s.high-s.low <= s.close*s.low:
		return 0, false
	}
	return s.next, true
}

// Tell says whether the rate was borne.
//
// Hazard: on a noisy machine a rate may be borne above one that was not. What is not borne
// once is taken so, and the search goes on below it.
func (s *Search) Tell(borne bool) {
	s.steps++
	if borne {
		s.low = s.next
	} else {
		s.high = s.next
	}
	switch {
	case s.high == 0:
		s.next = min(2*s.low, MaxRate)
	case s.low == 0:
		s.next = s.high / 2
	default:
		s.next = (s.low + s.high) / 2
	}
}

// Found is the highest rate that was borne; 0: none.
func (s *Search) Found() float64 { return s.low }

// FindMax looks for the highest rate that a node bears, one run of o.For after the other,
// beginning at o.Rate. Told, where it is not nil, hears of each step.
func FindMax(ctx context.Context, o Options, b Bound, within float64, told func(Step)) (float64, error) {
	if b.P99 <= 0 || b.Unkept < 0 || b.Unkept >= 1 || !(within > 0 && within < 1) {
		return 0, errors.New("the bound wants a p99 above 0 and shares from 0 to under 1")
	}
	s := NewSearch(o.Rate, within)
	for {
		rate, more := s.Next()
		if !more {
			break
		}
		o.Rate, o.Seed = rate, o.Seed+1
		r, err := Run(ctx, o)
		if err != nil {
			return s.Found(), fmt.Errorf("at %.1f a second: %w", rate, err)
		}
		step := b.judge(r)
		step.Rate = rate
		step.Sent = float64(r.Meant) / o.For.Seconds()
		s.Tell(step.Borne)
		if told != nil {
			told(step)
		}
	}
	return s.Found(), nil
}

// judge says whether a run kept to the bound. Hazard: a sender that falls behind counts
// its own lateness as the node's; it shows as latency and as jobs not sent, and so ends the
// search too early rather than too late.
func (b Bound) judge(r *Result) Step {
	all := hdrhistogram.New(1, 600_000_000, 3)
	unkept := r.NotSent
	for _, f := range r.Classes {
		all.Merge(f.hist)
		unkept += f.Refused + f.Failed + f.Lost
	}
	s := Step{P99: float64(all.ValueAtQuantile(99)) / 1000}
	if r.Meant > 0 {
		s.Unkept = float64(unkept) / float64(r.Meant)
	}
	s.Borne = all.TotalCount() > 0 && s.P99 <= float64(b.P99.Microseconds())/1000 && s.Unkept <= b.Unkept
	return s
}
