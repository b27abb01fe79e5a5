// Package calendar says when something that is planned in people's time comes: from an expression, a zone
// and rules to occurrences.
//
// An occurrence is named by what people call it: the local date and time that the expression gives, and
// which of two it is where the clocks are set back. The instant follows from the name by the zone's
// rules, and never the reverse: rules change, and what was fired under a name must not be fired under it
// again.
//
// Nothing here reads a clock. The walk goes by days and by the zone's changes of offset, never second by
// second, and it ends: an expression that never comes is refused when it is read.
package calendar

import (
	"fmt"
	"math/bits"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// MissingDayRule is what becomes of a day that the month lacks.
type MissingDayRule uint8

// The rules for days.
const (
	SkipDay MissingDayRule = iota // there is no occurrence in that month
	LastDay                       // it comes on the month's last day
	NextDay                       // it comes on the first of the next month
)

// GapRule is what becomes of a local time that a shift of the clocks leaves out.
type GapRule uint8

// The rules for gaps.
const (
	AfterGap GapRule = iota // all that the gap leaves out comes once, at the first instant after it
	ShiftGap                // each comes later, by as much as the clocks were set
	SkipGap
)

// FoldRule is which of two is meant where a local time comes twice.
type FoldRule uint8

// The rules for folds.
const (
	FirstFold FoldRule = iota
	SecondFold
	BothFolds
)

// Rules are what an expression leaves open. The zero value is the default.
type Rules struct {
	LeapDay    MissingDayRule // of 29 February in a year that has none
	ShortMonth MissingDayRule // of other days that a month lacks
	Gap        GapRule
	Fold       FoldRule
	// WallClockIntervals has intervals be counted from each local midnight, and not in elapsed time.
	WallClockIntervals bool
}

// The words for the rules, as files have them.
var (
	MissingDayRuleNames = []string{"skip", "last", "next"}
	GapRuleNames        = []string{"after", "shift", "skip"}
	FoldRuleNames       = []string{"first", "second", "both"}
)

const (
	unrestrictedBit = 1 << 63 // in a field: it was not restricted
	secondsPerDay   = 24 * 60 * 60
)

// Recurrence is an expression in a zone, with rules.
type Recurrence struct {
	seconds, minutes, hours, daysOfMonth, months, daysOfWeek uint64

	includesLastDay bool  // the month's last day is among the days
	intervalSeconds int64 // seconds; 0: it goes by the fields
	zone            *Zone
	rules           Rules
}

// searchHorizonSeconds is how far a walk looks, in seconds: from 1896 to 1904, and from 2096 to 2104, there
// are eight years between two 29ths of February, and one that falls into a gap may be left out.
const searchHorizonSeconds = 17 * 366 * secondsPerDay

// Parse reads an expression: five fields as cron has them, six with seconds before them, L for the
// month's last day, or @daily and its like, or "@every 90m".
func Parse(expr string, zone *Zone, rules Rules) (*Recurrence, error) {
	p := &Recurrence{zone: zone, rules: rules}
	// Hazard: the parser would take a zone of its own from here.
	if strings.Contains(expr, "TZ=") {
		return nil, fmt.Errorf("the zone is given by zone=, not within the expression")
	}
	fields := strings.Fields(expr)
	if len(fields) == 0 {
		return nil, fmt.Errorf("there is no expression, as in \"30 6 * * MON,WED,FRI\"")
	}
	only := false
	if len(fields) == 5 || len(fields) == 6 {
		only = p.extractLastDay(fields)
	}
	parser := cron.NewParser(cron.SecondOptional | cron.Minute | cron.Hour | cron.Dom | cron.Month |
		cron.Dow | cron.Descriptor)
	s, err := parser.Parse(strings.Join(fields, " "))
	if err != nil {
		return nil, fmt.Errorf("%w (five fields: minute, hour, day of the month, month, day of the week)",
			err)
	}
	switch s := s.(type) {
	case cron.ConstantDelaySchedule:
		if p.intervalSeconds = int64(s.Delay / time.Second); p.intervalSeconds > 366*secondsPerDay ||
			rules.WallClockIntervals && p.intervalSeconds > secondsPerDay {
			return nil, fmt.Errorf("an interval of %v is too long; 24h on the wall, and 8784h in elapsed "+
				"time, are the most", s.Delay)
		}
	case *cron.SpecSchedule:
		p.seconds, p.minutes, p.hours, p.months, p.daysOfWeek = s.Second, s.Minute, s.Hour, s.Month, s.Dow
		if p.daysOfMonth = s.Dom; only {
			p.daysOfMonth = 0
		}
	default:
		return nil, fmt.Errorf("%q is no expression that is known here", expr)
	}
	if _, ok := p.Next(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Unix()); !ok {
		return nil, fmt.Errorf("it never comes: no month of those has such a day")
	}
	return p, nil
}

// extractLastDay takes L, which the parser does not know, out of the day of the month, and says whether it
// was alone there.
func (p *Recurrence) extractLastDay(fields []string) (only bool) {
	at := len(fields) - 3
	var rest []string
	for _, part := range strings.Split(fields[at], ",") {
		if part == "L" {
			p.includesLastDay = true
		} else {
			rest = append(rest, part)
		}
	}
	if fields[at] = strings.Join(rest, ","); p.includesLastDay && len(rest) == 0 {
		fields[at], only = "1", true
	}
	return only
}

// Zone is where the plan counts.
func (p *Recurrence) Zone() *Zone { return p.zone }

// Adjustment is what the rules did to an occurrence.
type Adjustment uint8

// What rules do.
const (
	Unadjusted         Adjustment = iota
	AdjustedMissingDay            // the month lacks its day
	AdjustedGap                   // its local time is left out
	SecondOccurrence              // the second of two
)

func (d Adjustment) String() string {
	return [...]string{"", "the month lacks its day", "its local time is left out",
		"the second of two"}[min(int(d), 3)]
}

// Occurrence is one time at which a plan comes.
type Occurrence struct {
	At         int64 // Unix seconds
	WallClock  int64 // what local clocks show then, as seconds since 1970 there
	LocalTime  LocalTime
	Adjustment Adjustment
}

// LocalTime is what people call an occurrence: the local date and time that the expression gave, which need
// not exist, and the fold. It is a number, so that thousands are short in a log.
type LocalTime uint64

// newLocalTime makes a Name.
func newLocalTime(y, m, d, secs int, fold uint64) LocalTime {
	return LocalTime(((uint64(y)*16+uint64(m))*32+uint64(d))*secondsPerDay*2 + uint64(secs)*2 + fold)
}

// InSecondFold says whether it is the second of two.
func (n LocalTime) InSecondFold() bool { return n&1 == 1 }

// String writes it, as in 2026-03-29T02:30, with ~2 where it is the second of two.
func (n LocalTime) String() string {
	secs, rest := int(n/2%secondsPerDay), n/2/secondsPerDay
	s := fmt.Sprintf("%04d-%02d-%02dT%02d:%02d", rest/512, rest/32%16, rest%32, secs/3600, secs/60%60)
	if secs%60 != 0 {
		s += fmt.Sprintf(":%02d", secs%60)
	}
	if n.InSecondFold() {
		s += "~2"
	}
	return s
}

// daysInMonth is how many days a month has.
func daysInMonth(y, m int) int {
	switch m {
	case 2:
		if y%4 == 0 && (y%100 != 0 || y%400 == 0) {
			return 29
		}
		return 28
	case 4, 6, 9, 11:
		return 30
	}
	return 31
}

// daysSinceEpoch is the number of days from 1970 to a date (Hinnant, "chrono-compatible low-level date
// algorithms").
func daysSinceEpoch(y, m, d int) int64 {
	if m <= 2 {
		y--
	}
	era := floorDiv(int64(y), 400)
	yoe := int64(y) - era*400
	doy := int64((153*((m+9)%12)+2)/5 + d - 1)
	return era*146097 + yoe*365 + yoe/4 - yoe/100 + doy - 719468
}

// dateOfDay is the date of a day's number.
func dateOfDay(n int64) (y, m, d int) {
	n += 719468
	era := floorDiv(n, 146097)
	doe := n - era*146097
	yoe := (doe - doe/1460 + doe/36524 - doe/146096) / 365
	doy := doe - (365*yoe + yoe/4 - yoe/100)
	mp := (5*doy + 2) / 153
	d = int(doy - (153*mp+2)/5 + 1)
	if m = int(mp) + 3; m > 12 {
		m -= 12
	}
	y = int(yoe + era*400)
	if m <= 2 {
		y++
	}
	return y, m, d
}

func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}

// hasBit says whether a bit of a field is set.
func hasBit(field uint64, n int) bool { return field>>uint(n)&1 == 1 }

// nextBit gives the first bit of a field that is set at n or above, or -1.
func nextBit(field uint64, n int) int {
	if rest := field &^ unrestrictedBit >> uint(n) << uint(n); rest != 0 {
		return bits.TrailingZeros64(rest)
	}
	return -1
}
