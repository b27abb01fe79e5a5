package platform

import (
	"time"

	"moorstack/internal/proxy/hotrestart"
)

const (
	// maxListingDelay is the maximum time between a worker's start and its listing by discovery. A worker
	// that was missing from the last confirmed list started at most this long before that list.
	maxListingDelay = 15 * time.Second

	// minClockStep is the smallest difference between two clocks that counts as a step of the wall clock.
	minClockStep = 50 * time.Millisecond

	// maxRememberedStarts limits the remembered start times, which include those of workers that are no
	// longer listed. When the limit is reached, all are dropped.
	maxRememberedStarts = 1 << 16
)

// startTimes converts the start times that workers report, which are wall-clock times, to times of the event
// loop's clock.
//
// Wall clocks can be stepped. A worker that starts after its clock was set back by an hour reports that it
// started an hour ago, and would get the load of a warm worker; after a step forward it would stay in slow
// start for an hour. Regardless of the clocks, a worker must have started after the last list without it and
// before now.
type startTimes struct {
	known       map[string]startTime
	confirmedAt time.Duration // when discovery last confirmed the list; 0: never
}

// startTime is a worker's start time as reported and as converted to the loop's clock.
type startTime struct{ reported, at time.Duration }

// confirm records that the known list was current at the given time.
func (s *startTimes) confirm(now time.Duration) { s.confirmedAt = now }

// resolve converts a reported start time to the loop's clock. now is the time of the loop's clock, and step
// is how far the wall clock is ahead of it. A start that was resolved before keeps its time.
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

// restore replaces the known start times by those of the replaced process.
func (s *startTimes) restore(starts map[string]hotrestart.WorkerStart) {
	s.known = make(map[string]startTime, len(starts))
	for name, k := range starts {
		s.known[name] = startTime{k.Reported, k.At}
	}
}

// estimate reads the reported time as one from before and as one from after the clock's step, and returns the
// later of the two that is not in the future; if both are, it returns now. A result more than maxListingDelay
// before the last confirmed list is impossible, and is replaced by the time of that list.
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
