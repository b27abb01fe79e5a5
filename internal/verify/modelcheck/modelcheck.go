// Package modelcheck visits every reachable state of a small model, on all processors, and checks the
// model's invariants in each. If it completes, no order of events leads to a state that violates one.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// State is a state of a model. States with the same key are the same state: everything that can follow
// from them is the same.
type State[S any] interface {
	Key() uint64
	// Transitions returns each event that may happen next, with a copy of the state after it.
	Transitions() []Transition[S]
	// Violation describes the invariant that the state violates; empty: none. It is called before Key and
	// Transitions.
	Violation() string
}

// Transition is an event and the state after it.
type Transition[S any] struct {
	Event string
	State S
}

// Result holds the outcome of a check.
type Result struct {
	States    int64
	Complete  bool     // every reachable state was visited
	Violation string   // the first that was found; empty: none
	Trace     []string // the events that lead to the violation
}

// sharedStates is how many states the breadth-first search collects before they are distributed over the
// processors.
const sharedStates = 2000

// visitedStates is the set of the keys of visited states. As keys have 64 bits, two of a hundred million
// states collide, and one of them is skipped, with a probability of about 1 in 3,000.
type visitedStates struct {
	shards [256]struct {
		sync.Mutex
		keys map[uint64]struct{}
	}
	count atomic.Int64
}

// add adds a key, and reports whether it is new.
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

// search is a check in progress. Its methods are safe for concurrent use.
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

// expand visits the states after each transition of a state, and calls next for each new one.
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

// expandDeep visits all states that can be reached from a state, depth-first.
func (s *search[S]) expandDeep(state S, trace []string) { s.expand(state, trace, s.expandDeep) }

// unexpanded is a state that is not expanded yet, with the events that lead to it.
type unexpanded[S any] struct {
	state S
	trace []string
}

// Check visits every state that can be reached from start. It stops at the first state that violates an
// invariant, and after about maxStates states. It searches breadth-first until it has sharedStates states to
// expand; then all processors search depth-first from these. Each state is used by one goroutine at a time,
// but not always by the same one.
func Check[S State[S]](start S, maxStates int64) Result {
	s := &search[S]{maxStates: maxStates}
	if violation := start.Violation(); violation != "" {
		return Result{States: 1, Violation: violation}
	}
	open := []unexpanded[S]{{start, nil}}
	s.visited.add(start.Key())
	for len(open) > 0 && len(open) < sharedStates && !s.stopped.Load() {
		f := open[0]
		open = open[1:]
		s.expand(f.state, f.trace, func(next S, trace []string) {
			open = append(open, unexpanded[S]{next, slices.Clone(trace)})
		})
	}
	var wg sync.WaitGroup
	var claimed atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for k := claimed.Add(1) - 1; k < int64(len(open)); k = claimed.Add(1) - 1 {
				s.expandDeep(open[k].state, slices.Clip(open[k].trace))
			}
		})
	}
	wg.Wait()
	return Result{s.visited.count.Load(), !s.stopped.Load(), s.violation, s.trace}
}
