package platform

import (
	"time"

	"moorstack/internal/proxy/hotrestart"
)

const (
	// maxListingDelay is how long after a worker's start discovery may list it at the latest: a worker that
	// was not in the last list started no longer than this before that.
	maxListingDelay = 15 * time.Second

	// minClockStep is the least difference of two clocks that is taken for a step of the wall clock.
	minClockStep = 50 * time.Millisecond

	// maxRememberedStarts bounds how many start times are remembered, also of workers that are not listed
	// any more. Beyond it all are forgotten.
	maxRememberedStarts = 1 << 16
)

// startTimes converts the wall-clock times at which workers report that they started to times of the loop's
// clock.
//
// Hazard: wall clocks are stepped. A worker that starts after a step back of an hour reports that it started
// an hour ago, and would be given the load of a warm one; after a step forward it would stay in slow start
// for an hour. What is known without any clock is that it started after the last list without it, and before
// now.
type startTimes struct {
	known       map[string]startTime
	confirmedAt time.Duration // when discovery last answered; 0: never
}

// startTime is when a worker started, as it reports and by the loop's clock.
type startTime struct{ reported, at time.Duration }

// confirm records that the list was as it is known at this time.
func (s *startTimes) confirm(now time.Duration) { s.confirmedAt = now }

// resolve returns the time of a start that the worker reports. Step is how far the wall clock is ahead of
// now, which is the loop's.
func (s *startTimes) resolve(name string, reported, now, step time.Duration) time.Duration {
	if reported <= 0 {
		return reported // long ago
	}
	if k, ok := s.known[name]; ok && k.reported == reported {
		return k.at
	}
	at := s.estimate(reported, now, step)
	if s.known == nil || len(s.known) >= maxRememberedStarts {
		s.known = map[string]startTime{}
	}
	s.known[name] = startTime{reported, at}
	return at
}

// restore takes over the start times that another process knew.
func (s *startTimes) restore(starts map[string]hotrestart.WorkerStart) {
	s.known = make(map[string]startTime, len(starts))
	for name, k := range starts {
		s.known[name] = startTime{k.Reported, k.At}
	}
}

// estimate returns the later of what the reported time means before and after the step, if it is possible.
func (s *startTimes) estimate(reported, now, step time.Duration) time.Duration {
	earliest := time.Duration(0)
	if s.confirmedAt > 0 {
		earliest = s.confirmedAt - maxListingDelay
	}
	if step.Abs() < minClockStep {
		step = 0
	}
	at, future := time.Duration(0), true
	for _, t := range []time.Duration{reported, reported - step} {
		if t <= now {
			future = false
			at = max(at, t)
		}
	}
	switch {
	case future:
		return now
	case at < earliest:
		return s.confirmedAt
	}
	return at
}
