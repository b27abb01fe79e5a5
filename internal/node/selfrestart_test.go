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
		signal      os.Signal // external
		wantSignal  bool
		wantRestart bool
	}{
		{"its step, in place", incarnation, restartInPlace, nil, true, true},
		{"its step, by ending", incarnation, restartByExit, nil, true, false},
		{"the step of the incarnation before", incarnation + 1, restartInPlace, nil, false, false},
		{"ordered to end as well", incarnation, restartInPlace, syscall.SIGTERM, true, false},
		{"ordered to reload as well", incarnation, restartInPlace, syscall.SIGHUP, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			env, _ := testEnvironment(t)
			s := newSelfRestart(env, c.setting)
			external := make(chan os.Signal)
			defer close(external)
			signals := s.mergeSignals(external)
			if c.signal != nil {
				external <- c.signal
				if got := <-signals; got != c.signal {
					t.Errorf("got signal %v, want %v", got, c.signal)
				}
			}
			for range 2 { // the second time must have no effect
				s.planChanged(leasedtask.PlanChanged{Note: note, Member: member, Incarnation: c.incarnation})
			}
			want := 0
			if c.wantSignal {
				want = 1
			}
			if len(signals) != want || s.shouldRestart() != c.wantRestart {
				t.Errorf("got %d signals, want %d; got restart %v", len(signals), want, s.shouldRestart())
			}
		})
	}
}
