// Package calendar computes the occurrences of a recurring event that is defined in local time: by an
// expression, a time zone and rules for daylight-saving changes and missing days.
//
// An occurrence is identified by its LocalTime: the local date and time that the expression gives, and
// whether it is the second of two where the clocks are set back. The instant follows from the local time by
// the zone's rules, and never the reverse: rules change, and what was fired under a local time must not be
// fired under it again.
//
// Nothing here reads a clock. The search goes by days and by the zone's changes of offset, never second by
// second, and it ends: an expression without occurrences is rejected when it is parsed.
package calendar
