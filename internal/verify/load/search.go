package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Objective is what a run must keep to for its rate to count as sustained.
type Objective struct {
	P99           time.Duration // of the latency of the served
	MaxErrorShare float64       // of the jobs: rejected, failed, without a response or not sent
}

// Step is one rate that was tried.
type Step struct {
	Rate          float64 `json:"rate"`       // jobs a second
	SentPerSecond float64 `json:"per_second"` // that were due, as drawn
	P99           float64 `json:"p99_ms"`
	ErrorShare    float64 `json:"unkept"`
	Sustained     bool    `json:"borne"`
}

// RateSearch finds the highest sustained rate: it doubles until one is not, then halves the interval between
// the two. It knows no node and no clock, and is for one goroutine.
type RateSearch struct {
	sustained   float64 // the highest rate that was; 0: none yet
	unsustained float64 // the lowest that was not; 0: none yet
	next        float64
	tolerance   float64 // how near the two must be, as a share of the lower one
	steps       int
}

// maxSteps bounds a search: from 1 to MaxRate by doubling is 18, to a hundredth of that 7 more.
const maxSteps = 32

// NewRateSearch begins at a rate and ends when the highest sustained one is known within a share of it.
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

// Record takes whether the rate that Next gave was sustained.
//
// Hazard: on a noisy machine a rate may be sustained above one that was not. What was not sustained once
// counts as such, and the search goes on below it.
func (s *RateSearch) Record(sustained bool) {
	s.steps++
	if sustained {
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

// Sustained is the highest rate that was sustained; 0: none.
func (s *RateSearch) Sustained() float64 { return s.sustained }

// FindMaxRate searches for the highest rate at which a node keeps to the objective, one run of o.Duration
// after the other, beginning at o.Rate, until it is known within a share of it. OnStep, where it is not nil,
// is called with each. With an error it gives the highest rate that was sustained before.
func FindMaxRate(ctx context.Context, o Options, objective Objective, within float64,
	onStep func(Step)) (float64, error) {
	if objective.P99 <= 0 || objective.MaxErrorShare < 0 || objective.MaxErrorShare >= 1 ||
		!(within > 0 && within < 1) {
		return 0, errors.New("the bound wants a p99 above 0 and shares from 0 to under 1")
	}
	s := NewRateSearch(o.Rate, within)
	for {
		rate, more := s.Next()
		if !more {
			return s.Sustained(), nil
		}
		o.Rate, o.Seed = rate, o.Seed+1
		r, err := Run(ctx, o)
		if err != nil {
			return s.Sustained(), fmt.Errorf("at %.1f a second: %w", rate, err)
		}
		step := objective.evaluate(r)
		step.Rate = rate
		step.SentPerSecond = float64(r.Scheduled) / o.Duration.Seconds()
		s.Record(step.Sustained)
		if onStep != nil {
			onStep(step)
		}
	}
}

// evaluate says whether a run kept to the objective.
//
// Hazard: a sender that falls behind counts its own lateness as the node's; it shows as latency and as jobs
// not sent, and so ends the search too early rather than too late.
func (o Objective) evaluate(r *Result) Step {
	all := newHistogram()
	errorCount := r.NotSent
	for _, c := range r.Classes {
		all.Merge(c.histogram)
		errorCount += c.Rejected + c.Failed + c.Unanswered
	}
	s := Step{P99: float64(all.ValueAtQuantile(99)) / 1000}
	if r.Scheduled > 0 {
		s.ErrorShare = float64(errorCount) / float64(r.Scheduled)
	}
	maxP99 := float64(o.P99.Microseconds()) / 1000
	s.Sustained = all.TotalCount() > 0 && s.P99 <= maxP99 && s.ErrorShare <= o.MaxErrorShare
	return s
}
