package compat

import (
	"slices"
	"testing"
	"time"

	"github.com/robfig/cron/v3"

	"moorstack/internal/cluster/calendar"
)

// The explained kinds of difference between package calendar and robfig's cron.
const (
	gapDifference    = "local time in a gap: calendar fires after the gap, robfig skips it"
	onlyWithCalendar = "near a clock change: only in calendar"
	onlyWithRobfig   = "near a clock change: only in robfig"
)

// Package calendar and robfig's cron differ only near clock changes, and each difference is of an explained
// kind: it follows from the gap and fold rules, which robfig's cron does not have.
func TestCalendarAgainstRobfig(t *testing.T) {
	differences := map[string]int{}
	for _, name := range []string{"Europe/Berlin", "Australia/Lord_Howe", "Africa/Cairo", "Asia/Beirut",
		"Pacific/Apia", "Europe/Dublin", "Africa/Casablanca", "America/New_York", "Asia/Muscat", "UTC"} {
		sp := span{unixDate(2000, 1, 1), unixDate(2038, 1, 1)}
		if name == "Pacific/Apia" {
			// robfig's search never ends where a day is skipped: it computes that 30 December 2011, which
			// does not exist there, begins on the 31st, and so returns to the same day again and again.
			sp.from = unixDate(2012, 2, 1)
		}
		for _, x := range expressions {
			if x.cron != everyQuarterHour { // compared with a scanner only
				compareWithRobfig(t, name, x.cron, sp, differences)
			}
		}
	}
	for kind, n := range differences {
		t.Logf("%5d %s", n, kind)
	}
	if differences[gapDifference] == 0 {
		t.Error("no occurrence falls into a gap")
	}
}

// compareWithRobfig compares an expression's occurrences in a span and counts the explained differences by
// kind.
func compareWithRobfig(t *testing.T, zoneName, expression string, sp span, differences map[string]int) {
	t.Helper()
	zone := mustLookup(t, zoneName)
	changes := offsetChanges(zone)
	calendarTimes := calendarOccurrences(mustParse(t, expression, zone, calendar.Rules{}), sp)
	robfigTimes := robfigOccurrences(t, zoneName, expression, sp)
	for at, adjustment := range calendarTimes {
		switch {
		case robfigTimes[at]:
		case adjustment == calendar.AdjustedGap:
			differences[gapDifference]++
		case isNear(at, changes):
			differences[onlyWithCalendar]++
		default:
			t.Errorf("%s %q: only calendar has %d, but no clock change is near", zoneName, expression, at)
		}
	}
	for at := range robfigTimes {
		if _, ok := calendarTimes[at]; ok {
			continue
		}
		if !isNear(at, changes) {
			t.Errorf("%s %q: only robfig has %d, but no clock change is near", zoneName, expression, at)
		}
		differences[onlyWithRobfig]++
	}
}

func calendarOccurrences(r *calendar.Recurrence, sp span) map[int64]calendar.Adjustment {
	found := map[int64]calendar.Adjustment{}
	for o, ok := r.Next(sp.from); ok && o.At < sp.to; o, ok = r.Next(o.At) {
		found[o.At] = o.Adjustment
	}
	return found
}

func robfigOccurrences(t *testing.T, zoneName, expression string, sp span) map[int64]bool {
	t.Helper()
	loc, err := time.LoadLocation(zoneName)
	if err != nil {
		t.Fatal(err)
	}
	schedule, err := cron.ParseStandard("CRON_TZ=" + zoneName + " " + expression)
	if err != nil {
		t.Fatal(err)
	}
	found := map[int64]bool{}
	at := schedule.Next(time.Unix(sp.from, 0).In(loc))
	for ; !at.IsZero() && at.Unix() < sp.to; at = schedule.Next(at) {
		found[at.Unix()] = true
	}
	return found
}

// isNear reports whether an instant is within a day of one of the sorted changes.
func isNear(at int64, changes []int64) bool {
	n, _ := slices.BinarySearch(changes, at)
	for _, change := range changes[max(0, n-1):min(len(changes), n+1)] {
		if d := at - change; d > -secondsPerDay && d < secondsPerDay {
			return true
		}
	}
	return false
}
