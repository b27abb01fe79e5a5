package rollingrestart

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/modelcheck"
)

var maxStates = flag.Int64("states", 200_000, "maximum `number` of states of the model to visit")

// In any order of events, no more instances are restarting at once than the plan allows, no instance exits
// again for the same restart, and the plan is done only when all instances are back.
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
			m.committed = []Plan{m.plan}
			r := modelcheck.Check(m, *maxStates)
			t.Logf("%d states, complete: %v", r.States, r.Complete)
			if r.Violation != "" {
				t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
			}
		})
	}
}
