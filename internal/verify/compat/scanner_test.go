package compat

import (
	"time"

	"moorstack/internal/cluster/calendar"
)

// minuteScanner is a reference implementation that finds occurrences by checking every minute. It uses
// nothing of package calendar except the type and the constants of the rules.
type minuteScanner struct {
	minutes, hours, days, weekdays map[int]bool // nil: any
	rules                          calendar.Rules
}

// scannedOccurrence is an instant, in Unix seconds, and the local time that the expression matched.
type scannedOccurrence struct {
	at         int64
	localTime  string
	secondFold bool
}

const (
	localTimeLayout = "2006-01-02T15:04"
	// scanStep is the step of a scan, in seconds: half a minute, because one zone once had an offset that was
	// not a whole number of minutes.
	scanStep = 30
	// scanMargin is how far outside a span a clock change may affect it, in seconds. It is more than a day,
	// the largest clock change.
	scanMargin = 26 * 60 * 60
)

// matches reports whether the expression matches a local time.
func (m *minuteScanner) matches(t time.Time) bool {
	in := func(set map[int]bool, n int) bool { return set == nil || set[n] }
	if !in(m.minutes, t.Minute()) || !in(m.hours, t.Hour()) {
		return false
	}
	if m.days != nil && m.weekdays != nil {
		return m.days[t.Day()] || m.weekdays[int(t.Weekday())]
	}
	return in(m.days, t.Day()) && in(m.weekdays, int(t.Weekday()))
}

// scan returns the occurrences in [from, to), in order.
func (m *minuteScanner) scan(loc *time.Location, from, to int64) []scannedOccurrence {
	s := scan{minuteScanner: m, loc: loc, from: from, to: to, instants: map[int64][]int64{},
		found: map[int64]scannedOccurrence{}}
	for at := from - scanMargin; at < to+scanMargin; at += scanStep {
		if c := s.civil(at); c%60 == 0 {
			s.instants[c] = append(s.instants[c], at)
		}
	}
	for at := from; at < to; at += scanStep {
		if o, ok := s.occurrenceAt(at); ok {
			s.found[at] = o
		}
	}
	if m.rules.Gap != calendar.SkipGap {
		for at := from - scanMargin; at < to; at += scanStep {
			s.addFromGap(at)
		}
	}
	var list []scannedOccurrence
	for at := from; at < to; at += scanStep {
		if o, ok := s.found[at]; ok {
			list = append(list, o)
		}
	}
	return list
}

// scan is the state of a scan of a span.
type scan struct {
	*minuteScanner
	loc      *time.Location
	from, to int64
	instants map[int64][]int64 // by civil minute: the instants at which local clocks show it
	found    map[int64]scannedOccurrence
}

// civil returns the local time at an instant, in seconds since 1970-01-01T00:00 local time.
func (s *scan) civil(at int64) int64 {
	_, offset := time.Unix(at, 0).In(s.loc).Zone()
	return at + int64(offset)
}

// occurrenceAt returns the occurrence at an instant, if its local time matches and the fold rule selects it.
func (s *scan) occurrenceAt(at int64) (scannedOccurrence, bool) {
	c := s.civil(at)
	if c%60 != 0 || !s.matches(time.Unix(c, 0).UTC()) {
		return scannedOccurrence{}, false
	}
	instants := s.instants[c]
	isSecond := len(instants) > 1 && instants[0] != at
	isLast := instants[len(instants)-1] == at
	if s.rules.Fold == calendar.FirstFold && isSecond || s.rules.Fold == calendar.SecondFold && !isLast {
		return scannedOccurrence{}, false
	}
	return scannedOccurrence{at, time.Unix(c, 0).UTC().Format(localTimeLayout), isSecond}, true
}

// addFromGap adds the occurrences whose local times are in the gap that ends at an instant, if there is one.
func (s *scan) addFromGap(at int64) {
	before, now := s.civil(at-scanStep), s.civil(at)
	first := true
	for c := (before + scanStep + 59) / 60 * 60; c < now; c += 60 {
		if !s.matches(time.Unix(c, 0).UTC()) {
			continue
		}
		occursAt := at + c - before - scanStep
		if s.rules.Gap == calendar.AfterGap {
			if occursAt = at; !first {
				break
			}
			first = false
		}
		if _, taken := s.occurrenceAt(occursAt); !taken && occursAt >= s.from && occursAt < s.to {
			local := time.Unix(c, 0).UTC().Format(localTimeLayout)
			s.found[occursAt] = scannedOccurrence{occursAt, local, false}
		}
	}
}
