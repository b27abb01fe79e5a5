package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Objective is what a run must achieve for its rate to count as sustained.
type Objective struct {
	P99           time.Duration // limit on the p99 latency of the served jobs
	MaxErrorShare float64       // limit on the share of jobs rejected, failed, without a response or not sent
}

// Step is the result of one tried rate.
type Step struct {
	Rate               float64 `json:"rate"`       // jobs per second
	ScheduledPerSecond float64 `json:"per_second"` // jobs per second that were due; random, near Rate
	P99                float64 `json:"p99_ms"`
	ErrorShare         float64 `json:"unkept"`
	Sustained          bool    `json:"borne"`
}

// RateSearch finds the highest sustained rate: it doubles the rate until one is not sustained, then bisects
// the interval. It depends on neither node nor clock, and is not safe for concurrent use.
type RateSearch struct {
	sustained   float64 // highest sustained rate; 0: none yet
	unsustained float64 // lowest rate that was not sustained; 0: none yet
	next        float64
	tolerance   float64 // width of the interval at which the search ends, as a share of sustained
	steps       int
}

// maxSteps bounds a search. Doubling from 1 to MaxRate takes 18 steps, and narrowing the interval to a
// hundredth 7 more.
const maxSteps = 32

// NewRateSearch returns a search that begins at the rate start and ends when the highest sustained rate is
// known within the given relative tolerance.
func NewRateSearch(start, tolerance float64) *RateSearch {
	return &RateSearch{next: start, tolerance: tolerance}
}

// Next returns the rate to be tried next, or false if the search has ended.
func (s *RateSearch) Next() (float64, bool) {
	switch {
	case s.steps >= maxSteps, s.sustained >= MaxRate, s.unsustained > 0 && s.unsustained < 1:
		return 0, false
	case s.sustained > 0 && s.unsustained > 0 && s.unsustained-s.sustained <= s.tolerance*s.sustained:
		return 0, false
	}
	return s.next, true
}

// Record records whether the rate returned by Next was sustained.
//
// On a noisy machine a rate may be sustained although a lower one was not. A rate that was not sustained once
// counts as unsustained, and the search continues below it.
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

// Sustained returns the highest rate that was sustained, or 0 if there is none.
func (s *RateSearch) Sustained() float64 { return s.sustained }

// FindMaxRate searches for the highest rate at which a node meets the objective, to within the given relative
// tolerance. It starts at o.Rate and runs for o.Duration at each rate, with a new seed. OnStep, if not nil,
// is called after each step. If a run fails, FindMaxRate returns the highest rate sustained before and the
// error.
func FindMaxRate(ctx context.Context, o Options, objective Objective, tolerance float64,
	onStep func(Step)) (float64, error) {
	if objective.P99 <= 0 || objective.MaxErrorShare < 0 || objective.MaxErrorShare >= 1 ||
		!(tolerance > 0 && tolerance < 1) {
		return 0, errors.New("the p99 limit must be above 0, the error share at least 0 and below 1, " +
			"and the tolerance above 0 and below 1")
	}
	s := NewRateSearch(o.Rate, tolerance)
	for {
		rate, more := s.Next()
		if !more {
			return s.Sustained(), nil
		}
		o.Rate, o.Seed = rate, o.Seed+1
		r, err := Run(ctx, o)
		if err != nil {
			return s.Sustained(), fmt.Errorf("at %.1f jobs per second: %w", rate, err)
		}
		step := objective.evaluate(r)
		step.Rate = rate
		step.ScheduledPerSecond = float64(r.Scheduled) / o.Duration.Seconds()
		s.Record(step.Sustained)
		if onStep != nil {
			onStep(step)
		}
	}
}

// evaluate compares a run with the objective.
//
// If the generator falls behind, its own delay counts as the node's: it appears as latency and as jobs not
// sent. The search then underestimates the maximum rate rather than overestimating it.
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
