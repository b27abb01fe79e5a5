package calendar

// Next is the first occurrence after an instant; false: there is none within some years.
func (p *Plan) Next(after int64) (Occurrence, bool) {
	if p.every > 0 && !p.rules.OnTheWall {
		at := (floorDiv(after, p.every) + 1) * p.every
		y, m, d := dateOf(floorDiv(at, daySecs))
		secs := int(at - floorDiv(at, daySecs)*daySecs)
		return Occurrence{At: at, Wall: at, Name: name(y, m, d, secs, 0)}, true
	}
	most := after + horizon
	periods := p.zone.periods
	for i := p.zone.index(after); i < len(periods) && periods[i].start <= most; i++ {
		lower := max(after+1, periods[i].start)
		o, ok := p.natural(i, lower, most)
		if moved, is := p.moved(i, lower); is && (!ok || moved.At < o.At) {
			o, ok = moved, true
		}
		if ok {
			return o, true
		}
	}
	return Occurrence{}, false
}

// natural is the first occurrence in a period whose local time is there as the expression gives it.
func (p *Plan) natural(i int, lower, most int64) (Occurrence, bool) {
	now := p.zone.periods[i]
	civil := lower + now.offset
	limit := min(now.end, most) + now.offset
	for {
		c, day, ok := p.civilFrom(civil, limit)
		if !ok {
			return Occurrence{}, false
		}
		o := Occurrence{At: c - now.offset, Wall: c}
		if day.moved {
			o.Deed = MovedDay
		}
		fold := uint64(0)
		if i > 0 {
			// Was it there before the clocks were set back?
			if was := p.zone.periods[i-1]; was.offset > now.offset && c-was.offset < now.start {
				if p.rules.Fold == FirstFold {
					civil = now.start + was.offset
					continue
				}
				fold, o.Deed = 1, Second
			}
		}
		if fold == 0 && p.rules.Fold == SecondFold && i+1 < len(p.zone.periods) {
			// Will it be there again? So will all that follow in this period.
			if next := p.zone.periods[i+1]; next.offset < now.offset && c-next.offset >= now.end {
				return Occurrence{}, false
			}
		}
		o.Name = name(day.y, day.m, day.d, int(c-floorDiv(c, daySecs)*daySecs), fold)
		return o, true
	}
}

// moved is the first occurrence that comes in a period because the shift at its start leaves its local
// time out. One that would come at the instant of another of the plan's is that other one.
func (p *Plan) moved(i int, lower int64) (Occurrence, bool) {
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
		c, day, ok := p.civilFrom(from, to)
		at := c - was.offset
		if p.rules.Gap == AfterGap {
			at = now.start
		}
		if !ok || at >= now.end {
			return Occurrence{}, false
		}
		if n, is := p.natural(i, at, at+1); is && n.At == at {
			if p.rules.Gap == AfterGap {
				return Occurrence{}, false
			}
			from = c + 1
			continue
		}
		return Occurrence{At: at, Wall: at + now.offset, Deed: MovedGap,
			Name: name(day.y, day.m, day.d, int(c-floorDiv(c, daySecs)*daySecs), 0)}, true
	}
}

// day is a local date, by the name that the expression has for it.
type day struct {
	y, m, d int
	moved   bool
}

// civilFrom is the first local time at or after c, and before limit, at which the plan comes if local
// time ran on evenly.
func (p *Plan) civilFrom(c, limit int64) (int64, day, bool) {
	number := floorDiv(c, daySecs)
	secs := int(c - number*daySecs)
	y, m, d := dateOf(number)
	for number*daySecs < limit {
		if day, ok := p.day(y, m, d); ok {
			if s := p.timeFrom(secs); s >= 0 {
				c := number*daySecs + int64(s)
				return c, day, c < limit
			}
		}
		secs = 0
		if !p.monthCounts(y, m) {
			number += int64(daysIn(y, m) - d + 1)
			d = daysIn(y, m) + 1
		} else {
			number++
			d++
		}
		if d > daysIn(y, m) {
			if d, m = 1, m+1; m > 12 {
				m, y = 1, y+1
			}
		}
	}
	return 0, day{}, false
}

// monthCounts says whether any day of a month may be one of the plan's.
func (p *Plan) monthCounts(y, m int) bool {
	if p.every > 0 || has(p.month, m) {
		return true
	}
	before := m - 1
	if before == 0 {
		before = 12
	}
	return has(p.month, before) && (p.rules.Leap == NextDay || p.rules.Short == NextDay)
}

// day says whether a date is one of the plan's, and by which name: its own, or that of a day that the
// month, or the one before, lacks.
func (p *Plan) day(y, m, d int) (day, bool) {
	if p.every > 0 {
		return day{y, m, d, false}, true
	}
	if has(p.month, m) {
		dom := has(p.dom, d) || p.last && d == daysIn(y, m)
		weekday := int((dayNumber(y, m, d)%7 + 11) % 7)
		dow := has(p.dow, weekday)
		// As cron has it: where both are restricted, either will do.
		if p.dom&star != 0 || p.dow&star != 0 {
			if dom && dow {
				return day{y, m, d, false}, true
			}
		} else if dom || dow {
			return day{y, m, d, false}, true
		}
		if d == daysIn(y, m) {
			if e := p.lacks(y, m, LastDay); e > 0 {
				return day{y, m, e, true}, true
			}
		}
	}
	if d == 1 {
		py, pm := y, m-1
		if pm == 0 {
			py, pm = y-1, 12
		}
		if has(p.month, pm) {
			if e := p.lacks(py, pm, NextDay); e > 0 {
				return day{py, pm, e, true}, true
			}
		}
	}
	return day{}, false
}

// lacks is the first day that the plan names and a month lacks, where the rule for it is the given one.
func (p *Plan) lacks(y, m int, rule DayRule) int {
	if p.dom&star != 0 {
		return 0
	}
	for e := from(p.dom, daysIn(y, m)+1); e > 0; e = from(p.dom, e+1) {
		of := p.rules.Short
		if m == 2 && e == 29 {
			of = p.rules.Leap
		}
		if of == rule {
			return e
		}
	}
	return 0
}

// timeFrom is the first second of a day, at or after the given one, at which the plan comes; -1: none.
func (p *Plan) timeFrom(secs int) int {
	if p.every > 0 {
		n := (int64(secs) + p.every - 1) / p.every * p.every
		if n >= daySecs {
			return -1
		}
		return int(n)
	}
	h, m, s := secs/3600, secs/60%60, secs%60
	hour := from(p.hour, h)
	if hour < 0 {
		return -1
	}
	if hour == h {
		minute := from(p.minute, m)
		if minute == m {
			if second := from(p.second, s); second >= 0 {
				return hour*3600 + minute*60 + second
			}
			minute = from(p.minute, m+1)
		}
		if minute >= 0 {
			return hour*3600 + minute*60 + from(p.second, 0)
		}
		if hour = from(p.hour, h+1); hour < 0 {
			return -1
		}
	}
	return hour*3600 + from(p.minute, 0)*60 + from(p.second, 0)
}
