package platform

import (
	"time"

	"moorstack/internal/proxy/hotrestart"
)

const (
	// maxListingDelay is how much later than a worker's start discovery may tell of it at the most: a worker
	// that was not listed when discovery was heard last started no longer than this before.
	maxListingDelay = 15 * time.Second
	// minClockStep is the least difference of two clocks that is taken for a step of one.
	minClockStep = 50 * time.Millisecond
	// maxRememberedStarts is how many workers' starts are remembered once they are listed no more.
	maxRememberedStarts = 1 << 16
)

// startTimes turns the wall-clock times at which workers say they started into times of the loop's clock.
//
// Hazard: wall clocks are stepped. A worker that starts after a step back of an hour says that it started
// an hour ago, and would be given the load of a warm one; after a step forward it would stay cold for an
// hour. What is known without any clock is that it started after the last list without it, and before now.
type startTimes struct {
	known       map[string]startTime
	confirmedAt time.Duration // when discovery last said something; 0: never
}

// startTime is a worker's, in its own words and by the loop's clock.
type startTime struct{ reported, at time.Duration }

// confirm notes that the list was as it is known at this time.
func (s *startTimes) confirm(now time.Duration) { s.confirmedAt = now }

// resolve gives the time of a start that is told now, which the worker says was at said. Step is by how much
// the wall clock is ahead of the loop's now.
func (s *startTimes) resolve(name string, said, now, step time.Duration) time.Duration {
	if said <= 0 {
		return said // long ago
	}
	if k, ok := s.known[name]; ok && k.reported == said {
		return k.at
	}
	at := s.estimate(said, now, step)
	if s.known == nil || len(s.known) >= maxRememberedStarts {
		s.known = map[string]startTime{}
	}
	s.known[name] = startTime{said, at}
	return at
}

// restore takes over the starts that another process knew.
func (s *startTimes) restore(starts map[string]hotrestart.WorkerStart) {
	s.known = make(map[string]startTime, len(starts))
	for name, k := range starts {
		s.known[name] = startTime{k.Reported, k.At}
	}
}

// estimate takes the later of what the time means before and after the step, if it can be true.
func (s *startTimes) estimate(said, now, step time.Duration) time.Duration {
	earliest := time.Duration(0)
	if s.confirmedAt > 0 {
		earliest = s.confirmedAt - maxListingDelay
	}
	if step.Abs() < minClockStep {
		step = 0
	}
	at, future := time.Duration(0), true
	for _, t := range []time.Duration{said, said - step} {
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
