package rollout

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/modelcheck"
)

// Transitions implements modelcheck.State.
func (m *model) Transitions() (list []modelcheck.Transition[*model]) {
	for _, e := range m.events() {
		next := m.clone()
		next.handleEvent(e)
		list = append(list, modelcheck.Transition[*model]{Event: e.name, State: next})
	}
	return list
}

var maxStates = flag.Int64("explore", 40_000, "maximum number of states of the model to visit")

func TestPromiseHoldsInEveryState(t *testing.T) {
	for _, l := range []limits{
		{instances: 2, changes: 2, isolations: 1},
		{instances: 2, changes: 1, crashes: 1, losses: 1, isolations: 1},
		{instances: 3, changes: 1},
		{instances: 3, changes: 2},
		{instances: 3, changes: 1, isolations: 1},
		{instances: 3, changes: 1, crashes: 1, losses: 1, leaderStalls: 1},
		{instances: 3, changes: 2, isolations: 1},
		{instances: 3, changes: 2, crashes: 1},
		{instances: 3, changes: 2, losses: 1, leaderStalls: 1},
		{instances: 3, changes: 2, crashes: 1, losses: 1, isolations: 1, leaderStalls: 1, newLeaders: 1},
	} {
		l.promptDelivery = true
		startedAt := time.Now()
		r := modelcheck.Check(newModel(l), *maxStates)
		if r.Violation != "" {
			t.Errorf("%+v: %s:\n%s", l, r.Violation, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%+v: %d states, complete: %v, %v", l, r.States, r.Complete,
			time.Since(startedAt).Round(time.Second/10))
	}
}

// The model must find a violation for each omitted guard, including a clock that is slower than the bounds
// allow.
func TestModelFindsEachMissingGuard(t *testing.T) {
	for _, g := range []guard{twoPhases, confirmedClosing, leaseFromRequest, monotonicClock,
		clockReadWhenAdmitting, closedUntilSession, clockRateWithinTheBound} {
		t.Run(string(g), func(t *testing.T) {
			l := limits{instances: 2, changes: 1, isolations: 1, promptDelivery: true, omittedGuard: g}
			if g == closedUntilSession {
				l.crashes = 1
			}
			r := modelcheck.Check(newModel(l), 2_000_000)
			if r.Violation == "" {
				t.Fatalf("no violation found in %d states", r.States)
			}
			t.Logf("violation found after %d states, with a trace of %d events: %s", r.States, len(r.Trace),
				r.Violation)
		})
	}
}

// randomWalk applies events in a random order that the seed determines, until there is a violation or the
// walk ends.
func randomWalk(l limits, seed uint64) (events int, violation string, trace []string) {
	const maxEvents, redraws = 500, 6
	rng := rand.New(rand.NewPCG(seed, 1))
	m := newModel(l)
	// One instance is mostly stalled: its events are delayed, except that its reports arrive.
	stalled := fmt.Sprint(" ", 1+rng.IntN(l.instances+1))
	isStalled := func(e event) bool {
		return strings.HasSuffix(e.name, stalled) && !strings.HasPrefix(e.name, deliverReport)
	}
	for events = 0; events < maxEvents; events++ {
		next := m.events()
		if len(next) == 0 {
			return events, "", nil
		}
		k := rng.IntN(len(next))
		for redraw := 0; isStalled(next[k]) && redraw < redraws; redraw++ {
			k = rng.IntN(len(next))
		}
		m.handleEvent(next[k])
		trace = append(trace, next[k].name)
		if violation = m.Violation(); violation != "" {
			return events, violation, trace
		}
	}
	return events, "", nil
}

func TestPromiseHoldsOnRandomWalks(t *testing.T) {
	const walks = 1500
	l := limits{instances: 3, changes: 2, endsAt: 30 * leaderStep, crashes: 1, losses: 2, newLeaders: 2,
		leaderStalls: 1}
	total := 0
	for seed := range uint64(walks) {
		events, violation, trace := randomWalk(l, seed)
		total += events
		if violation != "" {
			t.Fatalf("seed %d: %s:\n%s", seed, violation, strings.Join(trace, "\n"))
		}
	}
	t.Logf("%d walks with %d events in total", walks, total)
}
