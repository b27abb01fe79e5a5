package load

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Objective is what a rate must keep to be borne.
type Objective struct {
	P99           time.Duration // of the latency of what is served
	MaxErrorShare float64       // the share of jobs that may be refused, failed, lost or not sent
}

// Step is one rate that was tried.
type Step struct {
	Rate          float64 `json:"rate"`
	SentPerSecond float64 `json:"per_second"` // that were meant to be sent, as it came
	P99           float64 `json:"p99_ms"`
	ErrorShare    float64 `json:"unkept"`
	Sustained     bool    `json:"borne"`
}

// RateSearch finds the highest rate that is borne: it doubles until one is not, then halves
// what is left between the two. It knows no node and no clock.
type RateSearch struct {
	sustained, unsustained float64 // the highest rate borne, the lowest that was not; 0: none yet
	next                   float64
	tolerance              float64 // how near they must be, as a share of the lower one
	steps                  int
}

// maxSteps bounds a search: from 1 to MaxRate by doubling is 18, to a hundredth of that 7 more.
const maxSteps = 32

// NewRateSearch begins at a rate and ends when what is borne is known within a share of it.
func NewRateSearch(from, within float64) *RateSearch {
	return &RateSearch{next: from, tolerance: within}
}

// Next is the rate to be tried now; false once the search has ended.
func (s *RateSearch) Next() (float64, bool) {
	switch {
	case s.steps >= maxSteps, s.sustained >= MaxRate, s.unsustained > 0 && s.unsustained < 1:
		return 0, false
	case s.sustained > 0 && s.unsustained > 0 && s.unsustained-s.sustained <= s.tolerance*s.sustained:
		return 0, false
	}
	return s.next, true
}

// Record says whether the rate was borne.
//
// Hazard: on a noisy machine a rate may be borne above one that was not. What is not borne
// once is taken so, and the search goes on below it.
func (s *RateSearch) Record(borne bool) {
	s.steps++
	if borne {
		s.sustained = s.next
	} else {
		s.unsustained = s.next
	}
	switch {
	case s.unsustained == 0:
		s.next = min(2*s.sustained, MaxRate)
	case s.sustained == 0:
		s.next = s.unsustained / 2
	default:
		s.next = (s.sustained + s.unsustained) / 2
	}
}

// Sustained is the highest rate that was borne; 0: none.
func (s *RateSearch) Sustained() float64 { return s.sustained }

// FindMaxRate looks for the highest rate that a node bears, one run of o.For after the other,
// beginning at o.Rate. Told, where it is not nil, hears of each step.
func FindMaxRate(ctx context.Context, o Options, b Objective, within float64, told func(Step)) (float64,
	error) {
	if b.P99 <= 0 || b.MaxErrorShare < 0 || b.MaxErrorShare >= 1 || !(within > 0 && within < 1) {
		return 0, errors.New("the bound wants a p99 above 0 and shares from 0 to under 1")
	}
	s := NewRateSearch(o.Rate, within)
	for {
		rate, more := s.Next()
		if !more {
			break
		}
		o.Rate, o.Seed = rate, o.Seed+1
		r, err := Run(ctx, o)
		if err != nil {
			return s.Sustained(), fmt.Errorf("at %.1f a second: %w", rate, err)
		}
		step := b.evaluate(r)
		step.Rate = rate
		step.SentPerSecond = float64(r.Scheduled) / o.Duration.Seconds()
		s.Record(step.Sustained)
		if told != nil {
			told(step)
		}
	}
	return s.Sustained(), nil
}

// evaluate says whether a run kept to the bound. Hazard: a sender that falls behind counts
// its own lateness as the node's; it shows as latency and as jobs not sent, and so ends the
// search too early rather than too late.
func (b Objective) evaluate(r *Result) Step {
	all := hdrhistogram.New(1, 600_000_000, 3)
	unkept := r.NotSent
	for _, f := range r.Classes {
		all.Merge(f.histogram)
		unkept += f.Rejected + f.Failed + f.Unanswered
	}
	s := Step{P99: float64(all.ValueAtQuantile(99)) / 1000}
	if r.Scheduled > 0 {
		s.ErrorShare = float64(unkept) / float64(r.Scheduled)
	}
	s.Sustained = all.TotalCount() > 0 && s.P99 <= float64(b.P99.Microseconds())/1000 &&
		s.ErrorShare <= b.MaxErrorShare
	return s
}
