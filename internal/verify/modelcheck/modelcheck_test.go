package modelcheck

import (
	"slices"
	"testing"
)

// counters is a model of two numbers that grow one at a time, up to limit, and must not both reach bound.
type counters struct{ a, b, limit, bound int }

func (c counters) Key() uint64 { return uint64(c.a)<<56 | uint64(c.b) }

func (c counters) Violation() string {
	if c.a >= c.bound && c.b >= c.bound {
		return "both reach the bound"
	}
	return ""
}

func (c counters) Transitions() (list []Transition[counters]) {
	if c.a < c.limit {
		list = append(list, Transition[counters]{"a", counters{c.a + 1, c.b, c.limit, c.bound}})
	}
	if c.b < c.limit {
		list = append(list, Transition[counters]{"b", counters{c.a, c.b + 1, c.limit, c.bound}})
	}
	return list
}

func TestCheckVisitsEveryStateOnce(t *testing.T) {
	r := Check(counters{limit: 99, bound: 100}, 1_000_000)
	if r.States != 100*100 || !r.Complete || r.Violation != "" {
		t.Errorf("got %+v", r)
	}
}

func TestCheckStopsAtMaxStates(t *testing.T) {
	if r := Check(counters{limit: 99, bound: 100}, 50); r.Complete || r.States < 50 || r.States > 100 {
		t.Errorf("got %+v", r)
	}
}

func TestCheckGivesTheTraceToAViolation(t *testing.T) {
	r := Check(counters{limit: 5, bound: 2}, 1_000_000)
	if r.Complete || r.Violation != "both reach the bound" {
		t.Fatalf("got %+v", r)
	}
	c := counters{limit: 5, bound: 2}
	for _, event := range r.Trace {
		k := slices.IndexFunc(c.Transitions(), func(x Transition[counters]) bool { return x.Event == event })
		c = c.Transitions()[k].State
	}
	if c.Violation() == "" {
		t.Errorf("the trace %v leads to %+v, which violates no invariant", r.Trace, c)
	}
}
