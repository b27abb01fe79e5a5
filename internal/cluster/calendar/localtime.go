package calendar

import "fmt"

const secondsPerDay = 24 * 60 * 60

// LocalTime identifies an occurrence: the local date and time that the expression specifies, which need not
// exist, and whether it is the second of two identical local times. It is a number, so that thousands of them
// take little space in a log. The encoding is stored and must not change; 0 means no local time.
type LocalTime uint64

// newLocalTime encodes a date, the second of the day, and the fold: 1 for the second of two identical local
// times, otherwise 0.
func newLocalTime(d date, secondOfDay int, fold uint64) LocalTime {
	days := (uint64(d.year)*16+uint64(d.month))*32 + uint64(d.day)
	return LocalTime(days*secondsPerDay*2 + uint64(secondOfDay)*2 + fold)
}

// InSecondFold reports whether this is the second of two identical local times.
func (t LocalTime) InSecondFold() bool { return t&1 == 1 }

// String formats the local time as in 2026-03-29T02:30, with the suffix ~2 for the second of two identical
// local times.
func (t LocalTime) String() string {
	secs, days := int(t/2%secondsPerDay), t/2/secondsPerDay
	s := fmt.Sprintf("%04d-%02d-%02dT%02d:%02d", days/512, days/32%16, days%32, secs/3600, secs/60%60)
	if secs%60 != 0 {
		s += fmt.Sprintf(":%02d", secs%60)
	}
	if t.InSecondFold() {
		s += "~2"
	}
	return s
}

// date is a date in the Gregorian calendar. Its day may be one that the month does not have.
type date struct{ year, month, day int }

// daysInMonth returns the number of days in the date's month.
func (d date) daysInMonth() int {
	switch d.month {
	case 2:
		if d.year%4 == 0 && (d.year%100 != 0 || d.year%400 == 0) {
			return 29
		}
		return 28
	case 4, 6, 9, 11:
		return 30
	}
	return 31
}

// previousMonth returns the first day of the previous month.
func (d date) previousMonth() date {
	if d.month == 1 {
		return date{d.year - 1, 12, 1}
	}
	return date{d.year, d.month - 1, 1}
}

// nextMonth returns the first day of the next month.
func (d date) nextMonth() date {
	if d.month == 12 {
		return date{d.year + 1, 1, 1}
	}
	return date{d.year, d.month + 1, 1}
}

// weekday returns the day of the week, from 0 for Sunday to 6 for Saturday.
func (d date) weekday() int { return int((d.daysSinceEpoch()%7 + 11) % 7) }

// daysSinceEpoch returns the number of days since 1970-01-01 (days_from_civil in Hinnant, "chrono-compatible
// low-level date algorithms").
func (d date) daysSinceEpoch() int64 {
	y := d.year
	if d.month <= 2 {
		y--
	}
	era := floorDiv(int64(y), 400)
	yearOfEra := int64(y) - era*400
	dayOfYear := int64((153*((d.month+9)%12)+2)/5 + d.day - 1)
	return era*146097 + yearOfEra*365 + yearOfEra/4 - yearOfEra/100 + dayOfYear - 719468
}

// dateOfDay returns the date that is the given number of days after 1970-01-01 (Hinnant's civil_from_days).
func dateOfDay(days int64) date {
	days += 719468
	era := floorDiv(days, 146097)
	dayOfEra := days - era*146097
	yearOfEra := (dayOfEra - dayOfEra/1460 + dayOfEra/36524 - dayOfEra/146096) / 365
	dayOfYear := dayOfEra - (365*yearOfEra + yearOfEra/4 - yearOfEra/100)
	shiftedMonth := (5*dayOfYear + 2) / 153 // 0 is March
	d := date{int(yearOfEra + era*400), int(shiftedMonth) + 3, int(dayOfYear - (153*shiftedMonth+2)/5 + 1)}
	if d.month > 12 {
		d.month -= 12
	}
	if d.month <= 2 {
		d.year++
	}
	return d
}

// splitDay splits seconds since 1970 into whole days and the second of the day.
func splitDay(seconds int64) (days int64, secondOfDay int) {
	days = floorDiv(seconds, secondsPerDay)
	return days, int(seconds - days*secondsPerDay)
}

// floorDiv returns a/b rounded down, for positive b.
func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}
