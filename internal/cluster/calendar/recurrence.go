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

// searchHorizonSeconds limits the search for the next occurrence. 17 years are enough: there are at most
// eight years between two 29ths of February (1896 to 1904, 2096 to 2104), and one of them may be skipped
// because it falls into a gap.
const searchHorizonSeconds = 17 * 366 * secondsPerDay

// Recurrence is a parsed expression with a time zone and rules. It is immutable.
type Recurrence struct {
	// The fields of the expression, in the representation of package cron.
	seconds, minutes, hours, daysOfMonth, months, daysOfWeek cronField

	includesLastDay bool  // the days include the month's last day
	intervalSeconds int64 // 0: no interval, the fields apply
	zone            *Zone
	rules           Rules
}

// Parse parses an expression: the five fields of cron, optionally preceded by a field for seconds, with L for
// the month's last day; a descriptor such as @daily; or an interval such as "@every 90m".
//
// The error texts are part of what a group replicates, since schedule.ParsePolicy returns them. They must be
// the same in all versions of the program.
func Parse(expression string, zone *Zone, rules Rules) (*Recurrence, error) {
	r := &Recurrence{zone: zone, rules: rules}
	// The cron parser would accept a time zone in the expression, in addition to the recurrence's.
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

// extractLastDay removes L, which the cron parser does not support, from the day-of-month field and reports
// whether it was the only day in that field.
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
		fields[dayField], only = "1", true // a placeholder, which Parse ignores
	}
	return only
}

// Zone returns the recurrence's time zone.
func (r *Recurrence) Zone() *Zone { return r.zone }

// Adjustment describes how the recurrence's rules changed an occurrence, if they did.
type Adjustment uint8

// The adjustments.
const (
	Unadjusted         Adjustment = iota
	AdjustedMissingDay            // the month does not have the specified day
	AdjustedGap                   // the specified local time is in a gap
	SecondOccurrence              // the second of two identical local times
)

// adjustmentNames describe the adjustments in previews, indexed by Adjustment.
var adjustmentNames = [...]string{"", "the month lacks its day", "its local time does not exist",
	"the second of two"}

// String returns the adjustment's description in previews.
func (a Adjustment) String() string { return adjustmentNames[min(int(a), len(adjustmentNames)-1)] }

// Occurrence is one occurrence of a recurrence.
type Occurrence struct {
	At         int64 // Unix seconds
	WallClock  int64 // the local time at that instant, as seconds since 1970 in local time
	LocalTime  LocalTime
	Adjustment Adjustment
}
