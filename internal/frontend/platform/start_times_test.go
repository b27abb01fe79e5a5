package platform

import (
	"testing"
	"time"
)

// A worker's start is found whichever clocks are stepped, by seconds or by an hour, and is never estimated
// much earlier than it was.
func TestStartTimesUnderClockSteps(t *testing.T) {
	const start = 1000 * time.Hour
	const confirmed, now = start + time.Second, start + 2*time.Second
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for name, reported := range map[string]time.Duration{"all clocks": start + step,
			"ours alone": start} {
			s := startTimes{}
			s.confirm(confirmed)
			if got := s.resolve("w", reported, now, step); got < start || got > now {
				t.Errorf("%s stepped by %v: estimated %v after its start, listed %v after it", name, step,
					got-start, now-start)
			}
		}
		s := startTimes{}
		s.confirm(confirmed)
		got := s.resolve("w", start+step, now, 0)
		if got > now || step == -time.Hour && got < start || step == 0 && got != start {
			t.Errorf("all but ours stepped by %v: %v after its start", step, got-start)
		}
	}
}

func TestStartTimesAreRemembered(t *testing.T) {
	s := startTimes{}
	if got := s.resolve("old", 10*time.Second, time.Hour, 0); got != 10*time.Second {
		t.Errorf("the first list of a process: %v", got)
	}
	if got := s.resolve("ahead", 2*time.Hour, time.Hour, 0); got != time.Hour {
		t.Errorf("ahead of us: %v", got)
	}
	s.confirm(time.Hour)
	if got := s.resolve("old", 10*time.Second, 2*time.Hour, 0); got != 10*time.Second {
		t.Errorf("listed again, with the same start: %v", got)
	}
	if got := s.resolve("ahead", 2*time.Hour, 3*time.Hour, 0); got != time.Hour {
		t.Errorf("listed again, once its time has come: %v", got)
	}
	if got := s.resolve("never", 0, time.Hour, 0); got != 0 {
		t.Errorf("long ago: %v", got)
	}
	for i := range maxRememberedStarts + 10 {
		s.resolve(time.Duration(i).String(), time.Second, time.Hour, 0)
	}
	if len(s.known) > maxRememberedStarts {
		t.Errorf("%d starts are remembered", len(s.known))
	}
}
