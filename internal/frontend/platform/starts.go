package platform

import (
	"time"

	"moorstack/internal/proxy/hotrestart"
)

const (
	// startLag is how much later than a worker's start discovery may tell of it at the most: a worker that
	// was not listed when discovery was heard last started no longer than this before.
	startLag = 15 * time.Second
	// leastStep is the least difference of two clocks that is taken for a step of one.
	leastStep = 50 * time.Millisecond
	// mostStarts is how many workers' starts are remembered once they are listed no more.
	mostStarts = 1 << 16
)

// starts turns the wall-clock times at which workers say they started into times of the loop's clock.
//
// Hazard: wall clocks are stepped. A worker that starts after a step back of an hour says that it started
// an hour ago, and would be given the load of a warm one; after a step forward it would stay cold for an
// hour. What is known without any clock is that it started after the last list without it, and before now.
type starts struct {
	known map[string]start
	heard time.Duration // when discovery last said something; 0: never
}

// start is a worker's, in its own words and by the loop's clock.
type start struct{ said, at time.Duration }

// confirm notes that the list was as it is known at this time.
func (s *starts) confirm(now time.Duration) { s.heard = now }

// at gives the time of a start that is told now, which the worker says was at said. Step is by how much the
// wall clock is ahead of the loop's now.
func (s *starts) at(name string, said, now, step time.Duration) time.Duration {
	if said <= 0 {
		return said // long ago
	}
	if k, ok := s.known[name]; ok && k.said == said {
		return k.at
	}
	at := s.judge(said, now, step)
	if s.known == nil || len(s.known) >= mostStarts {
		s.known = map[string]start{}
	}
	s.known[name] = start{said, at}
	return at
}

// recall takes over the starts that another process knew.
func (s *starts) recall(starts map[string]hotrestart.Start) {
	s.known = make(map[string]start, len(starts))
	for name, k := range starts {
		s.known[name] = start{k.Said, k.At}
	}
}

// judge takes the later of what the time means before and after the step, if it can be true.
func (s *starts) judge(said, now, step time.Duration) time.Duration {
	earliest := time.Duration(0)
	if s.heard > 0 {
		earliest = s.heard - startLag
	}
	if step.Abs() < leastStep {
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
		return s.heard
	}
	return at
}
