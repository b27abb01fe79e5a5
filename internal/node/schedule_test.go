package node

import (
	"testing"
	"time"

	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/proxy/broker"
)

func TestTriggersAreFoundByName(t *testing.T) {
	p := &schedule.Policy{Triggers: []schedule.Trigger{{Name: "a"}, {Name: "b"}}}
	if got := findTrigger(p, "b"); got != &p.Triggers[1] {
		t.Errorf("got %v, want trigger b", got)
	}
	if got := findTrigger(p, "c"); got != nil {
		t.Errorf("got %v for an unknown name, want nil", got)
	}
}

// newTestScheduleDriver returns a driver with the trigger "a" of a class that all workers recognise by its
// key for 10 s. It schedules no turns. The cluster time is 100 s.
func newTestScheduleDriver() *scheduleDriver {
	class := replicated.Class{Name: "c", Idempotency: "dedup", KeyScope: "all", Timeout: 2 * time.Second,
		KeyWindow: 10 * time.Second}
	return &scheduleDriver{policy: &schedule.Policy{Triggers: []schedule.Trigger{{Name: "a", Class: "c"}}},
		classes: map[string]replicated.Class{"c": class}, pending: map[uint64]*occurrence{},
		clock:         schedule.ClusterClock{ClusterTime: int64(100 * time.Second)},
		turnScheduled: true, env: &environment{}}
}

// A job that may have run is submitted again only if it can't outlast its key window, whether it may have run
// here or under an earlier session.
func TestOccurrenceIsRepeatedWithinItsKeyWindowOnly(t *testing.T) {
	s := newTestScheduleDriver()
	class := s.classes["c"]
	redelivered := func(intendedAt int64) occurrence {
		return occurrence{Firing: schedule.Firing{Redelivered: true, IntendedAt: intendedAt}}
	}
	for _, c := range []struct {
		name       string
		occurrence occurrence
		age        time.Duration // of what may have run here
		want       bool
	}{
		{"never ran", occurrence{}, 0, true},
		{"may have run here lately", occurrence{mayHaveRunSince: time.Second}, 7 * time.Second, true},
		{"may have run here long ago", occurrence{mayHaveRunSince: time.Second}, 8 * time.Second, false},
		{"redelivered lately", redelivered(94), 0, true},
		{"redelivered late", redelivered(93), 0, false},
	} {
		if got := s.mayRepeat(&c.occurrence, class, c.occurrence.mayHaveRunSince+c.age); got != c.want {
			t.Errorf("%s: may be repeated: %v, want %v", c.name, got, c.want)
		}
	}
}

// An occurrence is released only if its job certainly never ran: the next owner submits it whatever its
// class.
func TestOccurrenceThatMayHaveRunIsNotReleased(t *testing.T) {
	for name, c := range map[string]struct {
		mayHaveRun, redelivered bool
		want                    schedule.Result
	}{
		"never ran":    {false, false, schedule.Released},
		"may have run": {true, false, schedule.Failed},
		"redelivered":  {false, true, schedule.Failed},
	} {
		s := newTestScheduleDriver()
		o := &occurrence{Firing: schedule.Firing{Trigger: "a", Redelivered: c.redelivered}, driver: s,
			submittedAt: time.Second}
		o.Respond(broker.Response{Kind: broker.Rejected, MayHaveRun: c.mayHaveRun})
		s.release(o)
		if got := s.outcomes[0].Result; got != c.want {
			t.Errorf("%s: the outcome is %v, want %v", name, got, c.want)
		}
	}
}
