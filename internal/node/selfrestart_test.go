package node

import (
	"os"
	"syscall"
	"testing"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
)

func TestSelfRestart(t *testing.T) {
	const member, incarnation = 1, 7
	plan := rollingrestart.Plan{MaxUnavailable: 1, Status: rollingrestart.Rolling,
		Steps: []rollingrestart.Step{{Member: member, Phase: rollingrestart.Restarting,
			Incarnation: incarnation}}}
	note, err := plan.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name        string
		incarnation uint64
		setting     string
		order       os.Signal // external
		restarting  bool
		restarts    bool
	}{
		{"its step, in place", incarnation, restartByStarting, nil, true, true},
		{"its step, by ending", incarnation, restartByEnding, nil, true, false},
		{"the step of the incarnation before", incarnation + 1, restartByStarting, nil, false, false},
		{"ordered to end as well", incarnation, restartByStarting, syscall.SIGTERM, true, false},
		{"ordered to reload as well", incarnation, restartByStarting, syscall.SIGHUP, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			env, _ := testEnvironment(t)
			s := newSelfRestart(env, c.setting)
			outside := make(chan os.Signal)
			defer close(outside)
			signals := s.merge(outside)
			if c.order != nil {
				outside <- c.order
				if got := <-signals; got != c.order {
					t.Errorf("got signal %v, want %v", got, c.order)
				}
			}
			for range 2 { // the second time must have no effect
				s.planChanged(leasedtask.PlanChanged{Note: note, Member: member, Incarnation: c.incarnation})
			}
			want := 0
			if c.restarting {
				want = 1
			}
			if len(signals) != want || s.restarts() != c.restarts {
				t.Errorf("%d signals, want %d; restarts %v", len(signals), want, s.restarts())
			}
		})
	}
}
