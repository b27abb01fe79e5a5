package calendar

// Next is the first occurrence after an instant; false: there is none within some years.
func (p *Recurrence) Next(after int64) (Occurrence, bool) {
	if p.intervalSeconds > 0 && !p.rules.WallClockIntervals {
		at := (floorDiv(after, p.intervalSeconds) + 1) * p.intervalSeconds
		y, m, d := dateOfDay(floorDiv(at, secondsPerDay))
		secs := int(at - floorDiv(at, secondsPerDay)*secondsPerDay)
		return Occurrence{At: at, WallClock: at, LocalTime: newLocalTime(y, m, d, secs, 0)}, true
	}
	most := after + searchHorizonSeconds
	periods := p.zone.periods
	for i := p.zone.periodIndex(after); i < len(periods) && periods[i].start <= most; i++ {
		lower := max(after+1, periods[i].start)
		o, ok := p.nextExisting(i, lower, most)
		if moved, is := p.nextInGap(i, lower); is && (!ok || moved.At < o.At) {
			o, ok = moved, true
		}
		if ok {
			return o, true
		}
	}
	return Occurrence{}, false
}

// nextExisting is the first occurrence in a period whose local time is there as the expression gives it.
func (p *Recurrence) nextExisting(i int, lower, most int64) (Occurrence, bool) {
	now := p.zone.periods[i]
	civil := lower + now.offset
	limit := min(now.end, most) + now.offset
	for {
		c, day, ok := p.nextCivil(civil, limit)
		if !ok {
			return Occurrence{}, false
		}
		o := Occurrence{At: c - now.offset, WallClock: c}
		if day.adjusted {
			o.Adjustment = AdjustedMissingDay
		}
		fold := uint64(0)
		if i > 0 {
			// Was it there before the clocks were set back?
			if was := p.zone.periods[i-1]; was.offset > now.offset && c-was.offset < now.start {
				if p.rules.Fold == FirstFold {
					civil = now.start + was.offset
					continue
				}
				fold, o.Adjustment = 1, SecondOccurrence
			}
		}
		if fold == 0 && p.rules.Fold == SecondFold && i+1 < len(p.zone.periods) {
			// Will it be there again? So will all that follow in this period.
			if next := p.zone.periods[i+1]; next.offset < now.offset && c-next.offset >= now.end {
				return Occurrence{}, false
			}
		}
		o.LocalTime = newLocalTime(day.y, day.m, day.d, int(c-floorDiv(c, secondsPerDay)*secondsPerDay), fold)
		return o, true
	}
}

// nextInGap is the first occurrence that comes in a period because the shift at its start leaves its local
// time out. One that would come at the instant of another of the plan's is that other one.
func (p *Recurrence) nextInGap(i int, lower int64) (Occurrence, bool) {
	if i == 0 || p.rules.Gap == SkipGap {
		return Occurrence{}, false
	}
	was, now := p.zone.periods[i-1], p.zone.periods[i]
	from, to := now.start+was.offset, now.start+now.offset // local times that are not there
	if from >= to || lower > now.start && p.rules.Gap == AfterGap || lower >= now.start+(to-from) {
		return Occurrence{}, false
	}
	if p.rules.Gap == ShiftGap {
		from = max(from, lower+was.offset)
	}
	for {
		c, day, ok := p.nextCivil(from, to)
		at := c - was.offset
		if p.rules.Gap == AfterGap {
			at = now.start
		}
		if !ok || at >= now.end {
			return Occurrence{}, false
		}
		if n, is := p.nextExisting(i, at, at+1); is && n.At == at {
			if p.rules.Gap == AfterGap {
				return Occurrence{}, false
			}
			from = c + 1
			continue
		}
		return Occurrence{At: at, WallClock: at + now.offset, Adjustment: AdjustedGap,
			LocalTime: newLocalTime(
				day.y,
				day.m,
				day.d,
				int(c-floorDiv(c, secondsPerDay)*secondsPerDay),
				0,
			)}, true
	}
}

// matchedDate is a local date, by the name that the expression has for it.
type matchedDate struct {
	y, m, d  int
	adjusted bool
}

// nextCivil is the first local time at or after c, and before limit, at which the plan comes if local
// time ran on evenly.
func (p *Recurrence) nextCivil(c, limit int64) (int64, matchedDate, bool) {
	number := floorDiv(c, secondsPerDay)
	secs := int(c - number*secondsPerDay)
	y, m, d := dateOfDay(number)
	for number*secondsPerDay < limit {
		if day, ok := p.matchDay(y, m, d); ok {
			if s := p.nextTimeOfDay(secs); s >= 0 {
				c := number*secondsPerDay + int64(s)
				return c, day, c < limit
			}
		}
		secs = 0
		if !p.monthMayMatch(y, m) {
			number += int64(daysInMonth(y, m) - d + 1)
			d = daysInMonth(y, m) + 1
		} else {
			number++
			d++
		}
		if d > daysInMonth(y, m) {
			if d, m = 1, m+1; m > 12 {
				m, y = 1, y+1
			}
		}
	}
	return 0, matchedDate{}, false
}

// monthMayMatch says whether any day of a month may be one of the plan's.
func (p *Recurrence) monthMayMatch(y, m int) bool {
	if p.intervalSeconds > 0 || hasBit(p.months, m) {
		return true
	}
	before := m - 1
	if before == 0 {
		before = 12
	}
	return hasBit(p.months, before) && (p.rules.LeapDay == NextDay || p.rules.ShortMonth == NextDay)
}

// matchDay says whether a date is one of the plan's, and by which name: its own, or that of a day that the
// month, or the one before, lacks.
func (p *Recurrence) matchDay(y, m, d int) (matchedDate, bool) {
	if p.intervalSeconds > 0 {
		return matchedDate{y, m, d, false}, true
	}
	if hasBit(p.months, m) {
		dom := hasBit(p.daysOfMonth, d) || p.includesLastDay && d == daysInMonth(y, m)
		weekday := int((daysSinceEpoch(y, m, d)%7 + 11) % 7)
		dow := hasBit(p.daysOfWeek, weekday)
		// As cron has it: where both are restricted, either will do.
		if p.daysOfMonth&unrestrictedBit != 0 || p.daysOfWeek&unrestrictedBit != 0 {
			if dom && dow {
				return matchedDate{y, m, d, false}, true
			}
		} else if dom || dow {
			return matchedDate{y, m, d, false}, true
		}
		if d == daysInMonth(y, m) {
			if e := p.firstMissingDay(y, m, LastDay); e > 0 {
				return matchedDate{y, m, e, true}, true
			}
		}
	}
	if d == 1 {
		py, pm := y, m-1
		if pm == 0 {
			py, pm = y-1, 12
		}
		if hasBit(p.months, pm) {
			if e := p.firstMissingDay(py, pm, NextDay); e > 0 {
				return matchedDate{py, pm, e, true}, true
			}
		}
	}
	return matchedDate{}, false
}

// firstMissingDay is the first day that the plan names and a month lacks, where the rule for it is the given
// one.
func (p *Recurrence) firstMissingDay(y, m int, rule MissingDayRule) int {
	if p.daysOfMonth&unrestrictedBit != 0 {
		return 0
	}
	for e := nextBit(p.daysOfMonth, daysInMonth(y, m)+1); e > 0; e = nextBit(p.daysOfMonth, e+1) {
		of := p.rules.ShortMonth
		if m == 2 && e == 29 {
			of = p.rules.LeapDay
		}
		if of == rule {
			return e
		}
	}
	return 0
}

// nextTimeOfDay is the first second of a day, at or after the given one, at which the plan comes; -1: none.
func (p *Recurrence) nextTimeOfDay(secs int) int {
	if p.intervalSeconds > 0 {
		n := (int64(secs) + p.intervalSeconds - 1) / p.intervalSeconds * p.intervalSeconds
		if n >= secondsPerDay {
			return -1
		}
		return int(n)
	}
	h, m, s := secs/3600, secs/60%60, secs%60
	hour := nextBit(p.hours, h)
	if hour < 0 {
		return -1
	}
	if hour == h {
		minute := nextBit(p.minutes, m)
		if minute == m {
			if second := nextBit(p.seconds, s); second >= 0 {
				return hour*3600 + minute*60 + second
			}
			minute = nextBit(p.minutes, m+1)
		}
		if minute >= 0 {
			return hour*3600 + minute*60 + nextBit(p.seconds, 0)
		}
		if hour = nextBit(p.hours, h+1); hour < 0 {
			return -1
		}
	}
	return hour*3600 + nextBit(p.minutes, 0)*60 + nextBit(p.seconds, 0)
}
