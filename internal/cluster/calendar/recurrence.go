package calendar

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// Limits of intervals, in seconds.
const (
	maxElapsedInterval   = 366 * secondsPerDay
	maxWallClockInterval = secondsPerDay
)

// searchHorizonSeconds is how far a search for the next occurrence goes: from 1896 to 1904, and from 2096 to
// 2104, there are eight years between two 29ths of February, and one that falls into a gap may be skipped.
const searchHorizonSeconds = 17 * 366 * secondsPerDay

// Recurrence is a parsed expression in a zone, with rules. It is immutable.
type Recurrence struct {
	// The fields of the expression, a bit for each value, as package cron has them.
	seconds, minutes, hours, daysOfMonth, months, daysOfWeek cronField

	includesLastDay bool  // the month's last day is among the days
	intervalSeconds int64 // 0: the fields count
	zone            *Zone
	rules           Rules
}

// Parse parses an expression: five fields as cron has them, six with seconds before them, L for the month's
// last day, or @daily and the like, or "@every 90m".
//
// Hazard: the texts of its errors are part of what a group replicates, as schedule.ParsePolicy returns them:
// instances of all versions must give the same.
func Parse(expression string, zone *Zone, rules Rules) (*Recurrence, error) {
	r := &Recurrence{zone: zone, rules: rules}
	// Hazard: the cron parser would accept a zone of its own here.
	if strings.Contains(expression, "TZ=") {
		return nil, errors.New("the zone is given by zone=, not within the expression")
	}
	fields := strings.Fields(expression)
	if len(fields) == 0 {
		return nil, errors.New("there is no expression, as in \"30 6 * * MON,WED,FRI\"")
	}
	lastDayOnly := false
	if len(fields) == 5 || len(fields) == 6 {
		lastDayOnly = r.extractLastDay(fields)
	}
	parser := cron.NewParser(cron.SecondOptional | cron.Minute | cron.Hour | cron.Dom | cron.Month |
		cron.Dow | cron.Descriptor)
	parsed, err := parser.Parse(strings.Join(fields, " "))
	if err != nil {
		return nil, fmt.Errorf("%w (five fields: minute, hour, day of the month, month, day of the week)",
			err)
	}
	switch s := parsed.(type) {
	case cron.ConstantDelaySchedule:
		r.intervalSeconds = int64(s.Delay / time.Second)
		if r.intervalSeconds > maxElapsedInterval ||
			rules.WallClockIntervals && r.intervalSeconds > maxWallClockInterval {
			return nil, fmt.Errorf("an interval of %v is too long; 24h on the wall, and 8784h in elapsed "+
				"time, are the most", s.Delay)
		}
	case *cron.SpecSchedule:
		r.seconds, r.minutes, r.hours = cronField(s.Second), cronField(s.Minute), cronField(s.Hour)
		r.months, r.daysOfWeek = cronField(s.Month), cronField(s.Dow)
		if !lastDayOnly {
			r.daysOfMonth = cronField(s.Dom)
		}
	default:
		return nil, fmt.Errorf("%q is no expression that is known here", expression)
	}
	if _, ok := r.Next(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Unix()); !ok {
		return nil, errors.New("it never comes: no month of those has such a day")
	}
	return r, nil
}

// extractLastDay removes L, which the cron parser does not know, from the field of the day of the month, and
// reports whether it was the only day there.
func (r *Recurrence) extractLastDay(fields []string) (only bool) {
	dayField := len(fields) - 3
	var others []string
	for _, day := range strings.Split(fields[dayField], ",") {
		if day == "L" {
			r.includesLastDay = true
		} else {
			others = append(others, day)
		}
	}
	if fields[dayField] = strings.Join(others, ","); r.includesLastDay && len(others) == 0 {
		fields[dayField], only = "1", true // any day: Parse drops it
	}
	return only
}

// Zone returns the recurrence's time zone.
func (r *Recurrence) Zone() *Zone { return r.zone }

// Adjustment is what the rules did to an occurrence.
type Adjustment uint8

// The adjustments.
const (
	Unadjusted         Adjustment = iota
	AdjustedMissingDay            // the month does not have its day
	AdjustedGap                   // its local time is in a gap
	SecondOccurrence              // it is the second of two
)

// adjustmentNames are the adjustments as operators read them.
var adjustmentNames = [...]string{"", "the month lacks its day", "its local time is left out",
	"the second of two"}

// String names the adjustment as operators read it.
func (a Adjustment) String() string { return adjustmentNames[min(int(a), len(adjustmentNames)-1)] }

// Occurrence is one occurrence of a recurrence.
type Occurrence struct {
	At         int64 // Unix seconds
	WallClock  int64 // shown by local clocks then, as seconds since 1970 there
	LocalTime  LocalTime
	Adjustment Adjustment
}
