package platform

import (
	"testing"
	"time"
)

// Start times are resolved correctly when the local clock, the workers' clocks or all clocks are stepped, by
// seconds or by an hour. A start is never estimated much earlier than it was.
func TestStartTimesUnderClockSteps(t *testing.T) {
	const start = 1000 * time.Hour
	const confirmed, now = start + time.Second, start + 2*time.Second
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for name, reported := range map[string]time.Duration{"all clocks": start + step,
			"local clock": start} {
			s := startTimes{}
			s.confirm(confirmed)
			if got := s.resolve("w", reported, now, step); got < start || got > now {
				t.Errorf("%s stepped by %v: estimated %v after the start, listed %v after the start",
					name, step, got-start, now-start)
			}
		}
		s := startTimes{}
		s.confirm(confirmed)
		got := s.resolve("w", start+step, now, 0)
		if got > now || step == -time.Hour && got < start || step == 0 && got != start {
			t.Errorf("all clocks but the local one stepped by %v: estimated %v after the start",
				step, got-start)
		}
	}
}

func TestStartTimesAreRemembered(t *testing.T) {
	s := startTimes{}
	if got := s.resolve("old", 10*time.Second, time.Hour, 0); got != 10*time.Second {
		t.Errorf("first list of a process: %v, want 10s", got)
	}
	if got := s.resolve("ahead", 2*time.Hour, time.Hour, 0); got != time.Hour {
		t.Errorf("reported start in the future: %v, want 1h", got)
	}
	s.confirm(time.Hour)
	if got := s.resolve("old", 10*time.Second, 2*time.Hour, 0); got != 10*time.Second {
		t.Errorf("listed again with the same start: %v, want 10s", got)
	}
	if got := s.resolve("ahead", 2*time.Hour, 3*time.Hour, 0); got != time.Hour {
		t.Errorf("listed again when the reported start has passed: %v, want 1h", got)
	}
	if got := s.resolve("never", 0, time.Hour, 0); got != 0 {
		t.Errorf("start long ago: %v, want 0", got)
	}
	for i := range maxRememberedStarts + 10 {
		s.resolve(time.Duration(i).String(), time.Second, time.Hour, 0)
	}
	if len(s.known) > maxRememberedStarts {
		t.Errorf("%d start times are remembered, more than the limit", len(s.known))
	}
}
