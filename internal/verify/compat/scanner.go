// Package versus plays two ways of doing one thing against each other: what stands here beside a plain
// way, a library's, or what stood at an earlier commit. A pair's outcome says what differs, and whether
// that is explained.
package compat

import (
	"time"

	"moorstack/internal/cluster/calendar"
)

// MinuteScanner finds occurrences in the plainest way: it looks at every minute. It shares nothing with
// package calendar but the rules' names.
type MinuteScanner struct {
	Minutes, Hours, Days, Months, Weekdays map[int]bool // nil: any
	Rules                                  calendar.Rules
}

// ScannedOccurrence is what the walker finds: an instant, and the local time that the expression gave.
type ScannedOccurrence struct {
	At         int64
	LocalTime  string
	SecondFold bool
}

const localTimeLayout = "2006-01-02T15:04"

// matches says whether a local time is one of the expression's.
func (w *MinuteScanner) matches(t time.Time) bool {
	in := func(set map[int]bool, n int) bool { return set == nil || set[n] }
	if !in(w.Minutes, t.Minute()) || !in(w.Hours, t.Hour()) || !in(w.Months, int(t.Month())) {
		return false
	}
	if w.Days != nil && w.Weekdays != nil {
		return w.Days[t.Day()] || w.Weekdays[int(t.Weekday())]
	}
	return in(w.Days, t.Day()) && in(w.Weekdays, int(t.Weekday()))
}

// Scan looks at every minute from one instant to before another. Steps are of 30 s, for a place whose
// offset once was no whole minute.
func (w *MinuteScanner) Scan(loc *time.Location, from, to int64) []ScannedOccurrence {
	const step, around = 30, 26 * 3600
	// Local times, as if they were UTC, of all instants around, and how often each has been there.
	local := func(at int64) int64 {
		_, offset := time.Unix(at, 0).In(loc).Zone()
		return at + int64(offset)
	}
	seen := map[int64][]int64{}
	for at := from - around; at < to+around; at += step {
		if c := local(at); c%60 == 0 {
			seen[c] = append(seen[c], at)
		}
	}
	found := map[int64]ScannedOccurrence{}
	natural := func(at int64) (ScannedOccurrence, bool) {
		c := local(at)
		if c%60 != 0 || !w.matches(time.Unix(c, 0).UTC()) {
			return ScannedOccurrence{}, false
		}
		all := seen[c]
		second := len(all) > 1 && all[0] != at
		if w.Rules.Fold == calendar.FirstFold && second ||
			w.Rules.Fold == calendar.SecondFold && all[len(all)-1] != at {
			return ScannedOccurrence{}, false
		}
		return ScannedOccurrence{at, time.Unix(c, 0).UTC().Format(localTimeLayout), second}, true
	}
	for at := from; at < to; at += step {
		if m, ok := natural(at); ok {
			found[at] = m
		}
	}
	if w.Rules.Gap != calendar.SkipGap {
		for at := from - around; at < to; at += step {
			before, now := local(at-step), local(at)
			first := true
			for c := (before + step + 59) / 60 * 60; c < now; c += 60 {
				if !w.matches(time.Unix(c, 0).UTC()) {
					continue
				}
				on := at + c - before - step
				if w.Rules.Gap == calendar.AfterGap {
					if on = at; !first {
						break
					}
					first = false
				}
				if _, taken := natural(on); !taken && on >= from && on < to {
					found[on] = ScannedOccurrence{on, time.Unix(c, 0).UTC().Format(localTimeLayout), false}
				}
			}
		}
	}
	var list []ScannedOccurrence
	for at := from; at < to; at += step {
		if m, ok := found[at]; ok {
			list = append(list, m)
		}
	}
	return list
}
