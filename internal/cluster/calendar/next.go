package calendar

import "math/bits"

// Next returns the first occurrence after an instant, which is given in Unix seconds; false: there is none
// within the search horizon.
func (r *Recurrence) Next(after int64) (Occurrence, bool) {
	if r.intervalSeconds > 0 && !r.rules.WallClockIntervals {
		at := (floorDiv(after, r.intervalSeconds) + 1) * r.intervalSeconds
		days, secondOfDay := splitDay(at)
		local := newLocalTime(dateOfDay(days), secondOfDay, 0)
		return Occurrence{At: at, WallClock: at, LocalTime: local}, true
	}
	horizon := after + searchHorizonSeconds
	periods := r.zone.periods
	for i := r.zone.periodIndex(after); i < len(periods) && periods[i].start <= horizon; i++ {
		from := max(after+1, periods[i].start)
		o, ok := r.nextExisting(i, from, horizon)
		if inGap, found := r.nextInGap(i, from); found && (!ok || inGap.At < o.At) {
			o, ok = inGap, true
		}
		if ok {
			return o, true
		}
	}
	return Occurrence{}, false
}

// nextExisting returns the first occurrence in a period, at or after an instant, whose time of day exists as
// the expression specifies it.
func (r *Recurrence) nextExisting(i int, from, horizon int64) (Occurrence, bool) {
	period := r.zone.periods[i]
	civil := from + period.offset
	limit := min(period.end, horizon) + period.offset
	for {
		match, ok := r.nextCivil(civil, limit)
		if !ok {
			return Occurrence{}, false
		}
		o := Occurrence{At: match.civil - period.offset, WallClock: match.civil}
		if match.adjusted {
			o.Adjustment = AdjustedMissingDay
		}
		fold := uint64(0)
		if overlapEnd, repeated := r.existsInPreviousPeriod(i, match.civil); repeated {
			if r.rules.Fold == FirstFold {
				civil = overlapEnd
				continue
			}
			fold, o.Adjustment = 1, SecondOccurrence
		}
		if fold == 0 && r.rules.Fold == SecondFold && r.existsInNextPeriod(i, match.civil) {
			// All later local times of this period are repeated, too.
			return Occurrence{}, false
		}
		o.LocalTime = match.localTime(fold)
		return o, true
	}
}

// existsInPreviousPeriod reports whether a local time of a period also existed in the previous period,
// because the clocks were set back in between. overlapEnd is the first local time that did not exist in the
// previous period.
func (r *Recurrence) existsInPreviousPeriod(i int, civil int64) (overlapEnd int64, repeated bool) {
	if i == 0 {
		return 0, false
	}
	previous, period := r.zone.periods[i-1], r.zone.periods[i]
	return period.start + previous.offset,
		previous.offset > period.offset && civil-previous.offset < period.start
}

// existsInNextPeriod reports whether a local time of a period exists in the next period, too.
func (r *Recurrence) existsInNextPeriod(i int, civil int64) bool {
	if i+1 == len(r.zone.periods) {
		return false
	}
	period, next := r.zone.periods[i], r.zone.periods[i+1]
	return next.offset < period.offset && civil-next.offset >= period.end
}

// nextInGap returns the first occurrence in a period, at or after an instant, whose specified local time is
// in the gap at the period's start. It omits occurrences at the same instant as a regular one.
func (r *Recurrence) nextInGap(i int, from int64) (Occurrence, bool) {
	if i == 0 || r.rules.Gap == SkipGap {
		return Occurrence{}, false
	}
	previous, period := r.zone.periods[i-1], r.zone.periods[i]
	gapStart, gapEnd := period.start+previous.offset, period.start+period.offset
	if gapStart >= gapEnd || from > period.start && r.rules.Gap == AfterGap ||
		from >= period.start+(gapEnd-gapStart) {
		return Occurrence{}, false
	}
	civil := gapStart
	if r.rules.Gap == ShiftGap {
		civil = max(civil, from+previous.offset)
	}
	for {
		match, ok := r.nextCivil(civil, gapEnd)
		at := match.civil - previous.offset
		if r.rules.Gap == AfterGap {
			at = period.start
		}
		if !ok || at >= period.end {
			return Occurrence{}, false
		}
		if other, exists := r.nextExisting(i, at, at+1); exists && other.At == at {
			if r.rules.Gap == AfterGap {
				return Occurrence{}, false
			}
			civil = match.civil + 1
			continue
		}
		return Occurrence{At: at, WallClock: at + period.offset, Adjustment: AdjustedGap,
			LocalTime: match.localTime(0)}, true
	}
}

// civilMatch is a local time at which the recurrence occurs, without regard to gaps and folds.
type civilMatch struct {
	civil int64 // seconds since 1970 in local time
	matchedDate
}

// matchedDate is a date as the expression specifies it. If adjusted is set, the month does not have that day
// and a rule moves the occurrence to another one.
type matchedDate struct {
	date
	adjusted bool
}

func (m civilMatch) localTime(fold uint64) LocalTime {
	_, secondOfDay := splitDay(m.civil)
	return newLocalTime(m.date, secondOfDay, fold)
}

// nextCivil returns the first match at or after a local time and before the limit.
func (r *Recurrence) nextCivil(civil, limit int64) (civilMatch, bool) {
	days, secondOfDay := splitDay(civil)
	d := dateOfDay(days)
	for days*secondsPerDay < limit {
		if matched, ok := r.matchDay(d); ok {
			if s := r.nextTimeOfDay(secondOfDay); s >= 0 {
				civil := days*secondsPerDay + int64(s)
				return civilMatch{civil, matched}, civil < limit
			}
		}
		secondOfDay = 0
		if r.monthMayMatch(d) && d.day < d.daysInMonth() {
			days++
			d.day++
		} else {
			days += int64(d.daysInMonth() - d.day + 1)
			d = d.nextMonth()
		}
	}
	return civilMatch{}, false
}

// monthMayMatch reports whether the recurrence may occur on any day of a date's month.
func (r *Recurrence) monthMayMatch(d date) bool {
	if r.intervalSeconds > 0 || r.months.has(d.month) {
		return true
	}
	return r.months.has(d.previousMonth().month) &&
		(r.rules.LeapDay == NextDay || r.rules.ShortMonth == NextDay)
}

// matchDay reports whether the recurrence occurs on a date. It also returns the date that the expression
// specifies. That is the date itself, unless a rule moved the occurrence to it from a day that its month or
// the previous month does not have.
func (r *Recurrence) matchDay(d date) (matchedDate, bool) {
	if r.intervalSeconds > 0 {
		return matchedDate{date: d}, true
	}
	if r.months.has(d.month) {
		if r.matchExistingDay(d) {
			return matchedDate{date: d}, true
		}
		if d.day == d.daysInMonth() {
			if missing := r.firstMissingDay(d, LastDay); missing > 0 {
				return matchedDate{date{d.year, d.month, missing}, true}, true
			}
		}
	}
	if d.day == 1 {
		if previous := d.previousMonth(); r.months.has(previous.month) {
			if missing := r.firstMissingDay(previous, NextDay); missing > 0 {
				return matchedDate{date{previous.year, previous.month, missing}, true}, true
			}
		}
	}
	return matchedDate{}, false
}

// matchExistingDay reports whether the expression specifies a date. The date's month must match already.
func (r *Recurrence) matchExistingDay(d date) bool {
	dayOfMonth := r.daysOfMonth.has(d.day) || r.includesLastDay && d.day == d.daysInMonth()
	dayOfWeek := r.daysOfWeek.has(d.weekday())
	// As in cron, if both fields are restricted, it is enough that one of them matches.
	if r.daysOfMonth.unrestricted() || r.daysOfWeek.unrestricted() {
		return dayOfMonth && dayOfWeek
	}
	return dayOfMonth || dayOfWeek
}

// firstMissingDay returns the first day that the expression specifies, that a date's month does not have and
// to which the given rule applies; 0: there is none.
func (r *Recurrence) firstMissingDay(d date, rule MissingDayRule) int {
	if r.daysOfMonth.unrestricted() {
		return 0
	}
	for day := r.daysOfMonth.next(d.daysInMonth() + 1); day > 0; day = r.daysOfMonth.next(day + 1) {
		applies := r.rules.ShortMonth
		if d.month == 2 && day == 29 {
			applies = r.rules.LeapDay
		}
		if applies == rule {
			return day
		}
	}
	return 0
}

// nextTimeOfDay returns the first second of the day, at or after the given one, at which the recurrence
// occurs, or -1.
func (r *Recurrence) nextTimeOfDay(secondOfDay int) int {
	if r.intervalSeconds > 0 {
		next := (int64(secondOfDay) + r.intervalSeconds - 1) / r.intervalSeconds * r.intervalSeconds
		if next >= secondsPerDay {
			return -1
		}
		return int(next)
	}
	h, m, s := secondOfDay/3600, secondOfDay/60%60, secondOfDay%60
	hour := r.hours.next(h)
	if hour < 0 {
		return -1
	}
	if hour == h {
		minute := r.minutes.next(m)
		if minute == m {
			if second := r.seconds.next(s); second >= 0 {
				return hour*3600 + minute*60 + second
			}
			minute = r.minutes.next(m + 1)
		}
		if minute >= 0 {
			return hour*3600 + minute*60 + r.seconds.next(0)
		}
		if hour = r.hours.next(h + 1); hour < 0 {
			return -1
		}
	}
	return hour*3600 + r.minutes.next(0)*60 + r.seconds.next(0)
}

// cronField is a field of a cron expression: one bit for each value, and unrestrictedBit.
type cronField uint64

// unrestrictedBit is the bit that package cron sets in a field that is "*" or "?".
const unrestrictedBit cronField = 1 << 63

func (f cronField) unrestricted() bool { return f&unrestrictedBit != 0 }

func (f cronField) has(value int) bool { return f>>uint(value)&1 == 1 }

// next returns the smallest value in the field that is at least the given one, or -1.
func (f cronField) next(value int) int {
	if rest := f &^ unrestrictedBit >> uint(value) << uint(value); rest != 0 {
		return bits.TrailingZeros64(uint64(rest))
	}
	return -1
}
