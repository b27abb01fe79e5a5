// Package modelcheck visits every reachable state of a small model, on all processors, and checks an
// invariant in each: it shows that no order of events leads to a state that violates it.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// State is a state of a model. Two states with the same key are the same: all that can follow from them is.
type State[S any] interface {
	Key() uint64
	// Transitions gives each event that may happen next, with a copy of the state after it.
	Transitions() []Transition[S]
	// Violation describes the invariant that the state violates; empty: none. It is called before Key and
	// Transitions.
	Violation() string
}

// Transition is an event, and the state after it.
type Transition[S any] struct {
	Event string
	State S
}

// Result is what a check found.
type Result struct {
	States    int64
	Complete  bool     // every reachable state was visited
	Violation string   // empty: none was found
	Trace     []string // the events that lead to the violation
}

// sharedStates is how many states are found breadth-first before the processors share them out.
const sharedStates = 2000

// visitedStates are the keys of the states that were visited. Of each it keeps 64 bits: of a hundred million,
// two are taken for one with a chance of 1 in 3,000.
type visitedStates struct {
	shards [256]struct {
		sync.Mutex
		keys map[uint64]struct{}
	}
	count atomic.Int64
}

// add reports whether a key is new.
func (v *visitedStates) add(key uint64) bool {
	s := &v.shards[key>>56]
	s.Lock()
	defer s.Unlock()
	if _, ok := s.keys[key]; ok {
		return false
	}
	if s.keys == nil {
		s.keys = map[uint64]struct{}{}
	}
	s.keys[key] = struct{}{}
	v.count.Add(1)
	return true
}

// search is a check under way. Its methods may be called from several goroutines.
type search[S State[S]] struct {
	maxStates int64
	visited   visitedStates
	stopped   atomic.Bool

	mu        sync.Mutex
	violation string
	trace     []string
}

func (s *search[S]) report(violation string, trace []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == "" {
		s.violation, s.trace = violation, slices.Clone(trace)
	}
	s.stopped.Store(true)
}

// expand visits the states that follow from one, and calls next for each that is new.
func (s *search[S]) expand(state S, trace []string, next func(S, []string)) {
	for _, t := range state.Transitions() {
		if s.stopped.Load() {
			return
		}
		trace := append(trace, t.Event)
		if violation := t.State.Violation(); violation != "" {
			s.report(violation, trace)
			return
		}
		if s.visited.add(t.State.Key()) {
			if s.visited.count.Load() >= s.maxStates {
				s.stopped.Store(true)
			}
			next(t.State, trace)
		}
	}
}

// expandDeep visits depth-first all that follows from a state.
func (s *search[S]) expandDeep(state S, trace []string) { s.expand(state, trace, s.expandDeep) }

// frontier is a state that is yet to be expanded, with the events that lead to it.
type frontier[S any] struct {
	state S
	trace []string
}

// Check visits every state that can be reached, but no more than maxStates, and stops at the first that
// violates an invariant. It searches breadth-first until there is enough to share out, then each processor
// depth-first. The states are used by several goroutines, one at a time.
func Check[S State[S]](start S, maxStates int64) Result {
	s := &search[S]{maxStates: maxStates}
	if violation := start.Violation(); violation != "" {
		return Result{States: 1, Violation: violation}
	}
	open := []frontier[S]{{start, nil}}
	s.visited.add(start.Key())
	for len(open) > 0 && len(open) < sharedStates && !s.stopped.Load() {
		f := open[0]
		open = open[1:]
		s.expand(f.state, f.trace, func(next S, trace []string) {
			open = append(open, frontier[S]{next, slices.Clone(trace)})
		})
	}
	var wg sync.WaitGroup
	var taken atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for k := taken.Add(1) - 1; k < int64(len(open)); k = taken.Add(1) - 1 {
				s.expandDeep(open[k].state, slices.Clip(open[k].trace))
			}
		})
	}
	wg.Wait()
	return Result{s.visited.count.Load(), !s.stopped.Load(), s.violation, s.trace}
}
