// Package explore visits every state of a small model, by all processors, without a path to each: what
// it shows is that no order of events leads to a wrong one.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// State is a state of a model. Two that have one key are the same: all that can follow from them is.
type State[S any] interface {
	Key() uint64
	// Transitions gives copies of the state after each event that may happen next, with the events' names.
	Transitions() []Transition[S]
	// Violation says what is wrong in this state; empty: nothing. It is asked once of each, and first.
	Violation() string
}

// Transition is an event, and the state after it.
type Transition[S any] struct {
	Event string
	State S
}

// Result is what was found.
type Result struct {
	States    int64
	Complete  bool // all that there are
	Violation string
	Trace     []string // the events that lead there
}

// visited is the states that have been. Of each it keeps 64 bits: of a hundred million, two are
// taken for one with a chance of 1 in 3,000.
type visited struct {
	shards [256]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
	count atomic.Int64
}

func (v *visited) first(key uint64) bool {
	s := &v.shards[key>>56]
	s.Lock()
	defer s.Unlock()
	if _, ok := s.seen[key]; ok {
		return false
	}
	if s.seen == nil {
		s.seen = map[uint64]struct{}{}
	}
	s.seen[key] = struct{}{}
	v.count.Add(1)
	return true
}

type search[S State[S]] struct {
	most  int64
	seen  visited
	stop  atomic.Bool
	mu    sync.Mutex
	wrong string
	way   []string
}

func (s *search[S]) found(wrong string, way []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrong == "" {
		s.wrong, s.way = wrong, slices.Clone(way)
	}
	s.stop.Store(true)
}

// from visits what follows from a state.
func (s *search[S]) from(at S, way []string, visit func(S, []string)) {
	for _, x := range at.Transitions() {
		if s.stop.Load() {
			return
		}
		way := append(way, x.Event)
		if wrong := x.State.Violation(); wrong != "" {
			s.found(wrong, way)
			return
		}
		if s.seen.first(x.State.Key()) {
			if s.seen.count.Load() >= s.most {
				s.stop.Store(true)
			}
			visit(x.State, way)
		}
	}
}

func (s *search[S]) deep(at S, way []string) { s.from(at, way, s.deep) }

// Check visits every state that can be reached, but no more than most, and stops at the first that is
// wrong. It searches broadly until there is enough to share out, then each processor deeply.
func Check[S State[S]](start S, most int64) Result {
	type place struct {
		at  S
		way []string
	}
	s := &search[S]{most: most}
	if wrong := start.Violation(); wrong != "" {
		return Result{States: 1, Violation: wrong}
	}
	places := []place{{start, nil}}
	s.seen.first(start.Key())
	for len(places) > 0 && len(places) < 2000 && !s.stop.Load() {
		p := places[0]
		places = places[1:]
		s.from(p.at, p.way, func(n S, way []string) { places = append(places, place{n, slices.Clone(way)}) })
	}
	var wg sync.WaitGroup
	var at atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for k := at.Add(1) - 1; k < int64(len(places)); k = at.Add(1) - 1 {
				s.deep(places[k].at, slices.Clip(places[k].way))
			}
		})
	}
	wg.Wait()
	return Result{s.seen.count.Load(), !s.stop.Load(), s.wrong, s.way}
}
