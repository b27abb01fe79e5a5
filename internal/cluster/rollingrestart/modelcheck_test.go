package rollingrestart

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/modelcheck"
)

var maxStates = flag.Int64("states", 200_000, "visit at most so many states of the model")

// Whatever the order of events: no more instances than the stated number are out, none exits twice, and the
// plan is done when all are back.
func TestPlanHoldsInEveryState(t *testing.T) {
	for name, l := range map[string]limits{
		"a rolling restart":          {controllers: 1, evaluations: 7},
		"a death":                    {controllers: 1, evaluations: 8, deaths: 1},
		"an operation":               {controllers: 1, evaluations: 8, operations: 1},
		"two controllers":            {controllers: 2, evaluations: 7},
		"a death and two operations": {controllers: 2, evaluations: 12, deaths: 1, operations: 2},
	} {
		t.Run(name, func(t *testing.T) {
			m := &model{remaining: l, lastIncarnation: 3}
			var members []Member
			for k := range m.instances {
				id := uint64(k + 1)
				m.instances[k] = modelInstance{Incarnation: id, Session: id, Up: true}
				members = append(members, Member{ID: id, Name: fmt.Sprint("n", id), Voter: true})
			}
			var err error
			m.plan, err = Start(Plan{}, Options{MaxUnavailable: 1, Timeout: time.Minute}, members)
			if err != nil {
				t.Fatal(err)
			}
			m.notes = []Plan{m.plan}
			r := modelcheck.Check(m, *maxStates)
			t.Logf("%d states, complete: %v", r.States, r.Complete)
			if r.Violation != "" {
				t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
			}
		})
	}
}
