package hotrestart

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"moorstack/balancer"
)

// stateAt returns a state that is sent at now, in which every other time is a minute earlier.
func stateAt(now time.Duration) *State {
	at := now - time.Minute
	return &State{
		SentAt: now,
		Maintenance: []Maintenance{
			{Endpoint: "a", Active: true, StartedAt: at},
			{Endpoint: "b", StartedAt: at, EndedAt: at},
		},
		WorkerStarts: map[string]WorkerStart{"a": {Reported: 7, At: at}},
		Balancer: balancer.LearnedState{
			RecentWaitAt: at,
			AveragedAt:   at,
			Quotas:       []balancer.TenantQuota{{Tokens: 3, UpdatedAt: at}},
			Workers: map[balancer.WorkerID]balancer.WorkerRecord{1: {RunTimeFactor: 1, LastWaitAt: at,
				FailureScoreAt: at, StartedAt: at,
				SlowStartSent: []balancer.SentWork{{At: at, Work: 2}}}},
		},
	}
}

// If the wall clock is stepped between the starts of two processes, inherited times would lie in the future
// or too far in the past. They must be as long ago by the receiver's clock as they were by the sender's. The
// time that a message is under way must not be treated as a step.
func TestRebaseTimesAfterClockStep(t *testing.T) {
	const now = 1000 * time.Hour
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		got, want := stateAt(now), stateAt(now+step)
		got.RebaseTimes(now + step)
		got.SentAt = want.SentAt
		if !reflect.DeepEqual(got, want) {
			a, _ := json.Marshal(got)
			b, _ := json.Marshal(want)
			t.Errorf("stepped by %v:\n%s, want\n%s", step, a, b)
		}
	}
	got := stateAt(now)
	got.RebaseTimes(now + minClockStep/2)
	if !reflect.DeepEqual(got, stateAt(now)) {
		t.Error("the time that the message was under way was treated as a clock step")
	}
	older := stateAt(now)
	older.SentAt = 0
	older.RebaseTimes(now + time.Hour)
	if older.Maintenance[0].StartedAt != now-time.Minute {
		t.Error("times from a process that does not send its clock were shifted")
	}
}

// RebaseTimes must shift every time in LearnedState. The test fails if a new field is left out.
func TestRebaseShiftsEveryLearnedTime(t *testing.T) {
	var walk func(v reflect.Value, path string)
	walk = func(v reflect.Value, path string) {
		switch {
		case v.Type() == reflect.TypeFor[time.Duration]():
			if got := time.Duration(v.Int()); got != 100*time.Hour-time.Minute+time.Hour {
				t.Errorf("%s is %v, want it shifted by an hour", path, got)
			}
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				walk(v.Field(i), path+"."+v.Type().Field(i).Name)
			}
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				walk(v.Index(i), path)
			}
		case v.Kind() == reflect.Map:
			for _, k := range v.MapKeys() {
				walk(v.MapIndex(k), path)
			}
		}
	}
	s := stateAt(100 * time.Hour)
	s.RebaseTimes(101 * time.Hour)
	walk(reflect.ValueOf(s.Balancer), "LearnedState")
}
